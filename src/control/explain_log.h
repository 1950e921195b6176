/** @file explain_log.h What was decided for recent requests, and why. */
#ifndef LABURNUMWEIR_CONTROL_EXPLAIN_LOG_H
#define LABURNUMWEIR_CONTROL_EXPLAIN_LOG_H

#include "core/clock_base.h"
#include "core/id_type.h"

#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnumweir {

/** Keeps a line for each step of the newest requests, in bounded memory. Safe from any thread. */
class ExplainLog
{
public:
  /** Most requests that are kept. */
  static constexpr std::size_t kMaxRequests = 4000;
  /** Most steps of one request that are kept. */
  static constexpr std::size_t kMaxSteps = 24;

  /** @param aClock times the steps; must outlive the log. */
  explicit ExplainLog(const Clock& aClock);

  /**
   * Adds a step.
   * @param aRequest the request.
   * @param aStep what was decided and why; never a key or a prompt.
   */
  void Add(const RequestId& aRequest, std::string aStep);
  /** @param aRequest the request. @return a line for each step; empty if it is not known. */
  std::vector<std::string> Find(const RequestId& aRequest) const;

private:
  struct Entry
  {
    TimePoint start_;                ///< Time of the first step.
    std::vector<std::string> steps_; ///< Lines.
  };

  const Clock& clock_;       ///< Time source.
  mutable std::mutex mutex_; ///< Guards the fields below; held for a look-up only.
  std::unordered_map<RequestId, Entry> entries_; ///< Steps by request.
  std::deque<RequestId> sequence_;               ///< Requests, oldest first.
};

} // namespace laburnumweir

#endif
