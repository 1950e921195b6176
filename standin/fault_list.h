/** @file fault_list.h Scripted faults of a stand-in. */
#ifndef LABURNUMWEIR_STANDIN_FAULT_LIST_H
#define LABURNUMWEIR_STANDIN_FAULT_LIST_H

#include "standin/http_server.h"

#include <boost/json/value.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumweir::standin {

/** One scripted fault and the requests that it applies to. */
struct Fault
{
  std::string kind_;              ///< What goes wrong.
  std::string method_;            ///< Only requests with this method; empty = any.
  std::string pathPrefix_;        ///< Only paths that start with this.
  std::string bodyContains_;      ///< Only bodies that contain this.
  std::string requestId_;         ///< Only this X-Request-Id; empty = any.
  std::uint64_t skip_ = 0;        ///< Matching requests to leave alone first.
  std::uint64_t count_ = 0;       ///< Matching requests to apply to after those.
  std::chrono::nanoseconds ms_{}; ///< Delay or duration.
  std::uint64_t bytes_ = 0;       ///< Bytes of the body that are sent.
  std::uint64_t tokens_ = 0;      ///< Tokens that are generated first.
  std::uint64_t limit_ = 0;       ///< Limit of a cold engine.
  int status_ = 0;                ///< HTTP status of the answer.
  std::string text_;              ///< Text of the fault: marker, request id or version.
};

/** The faults of a stand-in; earlier ones are applied first. */
class FaultList
{
public:
  /**
   * Reads `{"faults":[...]}`. Throws std::runtime_error on an invalid list.
   * @param aValue the JSON value. @param aKinds kinds that the stand-in knows.
   */
  static FaultList Parse(const boost::json::value& aValue,
                         std::span<const std::string_view> aKinds);

  /**
   * Finds a fault that applies to a request and counts it.
   * @param aKinds kinds wanted. @param aRequest the request.
   */
  std::optional<Fault> Take(std::span<const std::string_view> aKinds, const Request& aRequest);
  /** @return all faults. */
  const std::vector<Fault>& Faults() const { return faults_; }
  /** @return how often each kind was applied. */
  const std::map<std::string, std::uint64_t>& Applied() const { return applied_; }
  /** Adds the counts of an earlier list. @param aApplied the counts. */
  void KeepCounts(const std::map<std::string, std::uint64_t>& aApplied) { applied_ = aApplied; }

private:
  std::vector<Fault> faults_;                    ///< In the sequence given.
  std::map<std::string, std::uint64_t> applied_; ///< By kind.
};

} // namespace laburnumweir::standin

#endif
