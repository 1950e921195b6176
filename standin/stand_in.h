/** @file stand_in.h Base of the stand-ins: control endpoint, scripted faults and records. */
#ifndef LABURNUMWEIR_STANDIN_STAND_IN_H
#define LABURNUMWEIR_STANDIN_STAND_IN_H

#include "standin/fault_list.h"
#include "standin/http_server.h"
#include "standin/settings.h"

#include <boost/json/object.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumweir::standin {

/** A stand-in of one outside system on one port. */
class StandIn
{
public:
  /**
   * @param aContext runs the stand-in; must outlive it.
   * @param aName name in the configuration.
   * @param aSettings settings; the base reads the common ones.
   */
  StandIn(boost::asio::io_context& aContext, std::string aName, Settings& aSettings);
  virtual ~StandIn() = default;
  StandIn(const StandIn&) = delete;
  StandIn& operator=(const StandIn&) = delete;

  /** Starts to listen. @param aAddress IP address. @param aPort port; 0 = any. @return the port. */
  std::uint16_t Listen(const std::string& aAddress, std::uint16_t aPort);
  /** @return the port. */
  std::uint16_t Port() const { return server_.Port(); }
  /** @return the name. */
  const std::string& Name() const { return name_; }
  /**
   * Answers a request to the control endpoint.
   * @param aAction "faults", "stats" or "restart".
   * @param aRequest the request.
   * @param aReply receives the answer.
   */
  void Control(const std::string& aAction, const Request& aRequest, Reply& aReply);

protected:
  /** Answers a request. @param aRequest the request. @param aReply receives the answer. */
  virtual void Handle(const Request& aRequest, const std::shared_ptr<Reply>& aReply) = 0;
  /** Adds the fields that every answer carries. */
  virtual void Prepare(const Request&, Reply&) {}
  /** Refuses a request before anything was done. @param aReply receives the refusal. */
  virtual void Refuse(Reply& aReply, int aStatus);
  /** Adds to the statistics. @param aStats what is reported. */
  virtual void AddStats(boost::json::object& aStats) const = 0;
  /** Restarts. @param aDown how long the stand-in cannot be reached. */
  virtual void Restart(std::chrono::nanoseconds aDown);
  /** @return kinds of faults known beside the common ones. */
  virtual std::span<const std::string_view> OwnFaultKinds() const { return {}; }
  /** Called when the faults were replaced. */
  virtual void OnFaults() {}

  /** Runs a function later. @param aDelay delay. @param aFunction function. */
  void After(std::chrono::nanoseconds aDelay, std::function<void()> aFunction);
  /** Counts a run. @param aRequest the request that runs. */
  void CountRun(const Request& aRequest);
  /** Stops listening and resets all connections. @param aDown how long. */
  void GoDown(std::chrono::nanoseconds aDown);
  /** @return the scripted faults. */
  FaultList& Faults() { return faults_; }
  boost::asio::io_context& Context() { return context_; }
  /** @return a pointer that expires with the stand-in, for callbacks that may outlive it. */
  std::weak_ptr<void> Alive() const { return alive_; }

private:
  void Serve(Request aRequest, const std::shared_ptr<Reply>& aReply);
  void ServeNow(const Request& aRequest, const std::shared_ptr<Reply>& aReply);
  void Record(const Request& aRequest);
  std::string StatsText(bool aBrief) const;

  boost::asio::io_context& context_;               ///< Runs the stand-in.
  std::string name_;                               ///< Name in the configuration.
  HttpServer server_;                              ///< Listens.
  FaultList faults_;                               ///< Scripted faults.
  std::size_t maxRecorded_;                        ///< Requests to keep.
  std::deque<Request> recorded_;                   ///< Newest requests.
  std::uint64_t requests_ = 0;                     ///< Requests received.
  std::uint64_t restarts_ = 0;                     ///< Restarts ordered.
  std::uint64_t downGeneration_ = 0;               ///< Counts outages, to end only the newest.
  std::map<std::string, std::uint64_t> runsById_;  ///< Runs by X-Request-Id.
  std::map<std::string, std::uint64_t> runsByKey_; ///< Runs by Idempotency-Key.
  std::shared_ptr<void> alive_ = std::make_shared<int>(0); ///< Expires with the stand-in.
};

/** @return the text of an error body. @param aCode stable code. @param aMessage for people. */
std::string
ErrorBody(std::string_view aCode, std::string_view aMessage);

/** @return the object in a body, or an empty one. @param aBody JSON text. @param aIsValid result.
 */
boost::json::object
ParseObject(const std::string& aBody, bool& aIsValid);

} // namespace laburnumweir::standin

#endif
