/** @file platform_fixture.h Helpers of the tests of the platform clients and the stand-ins. */
#ifndef LABURNUMWEIR_TESTS_PLATFORM_PLATFORM_FIXTURE_H
#define LABURNUMWEIR_TESTS_PLATFORM_PLATFORM_FIXTURE_H

#include "http/json_client.h"
#include "http/json_field.h"
#include "standin/program.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <gtest/gtest.h>
#include <sstream>
#include <string>

namespace laburnumweir {

/** Runs a context until a condition holds. @return false if it did not within the time. */
inline bool
RunUntil(boost::asio::io_context& aContext,
         const std::function<bool()>& aCondition,
         std::chrono::milliseconds aTimeout = std::chrono::seconds(10))
{
  const auto end = std::chrono::steady_clock::now() + aTimeout;
  aContext.restart();
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    aContext.run_one_for(std::chrono::milliseconds(10));
    aContext.restart();
  }
  return true;
}

/** Stand-ins and a client on one context. */
class StandInTest : public ::testing::Test
{
protected:
  /** Starts stand-ins. @param aConfig the configuration. */
  void Start(const std::string& aConfig)
  {
    std::ostringstream output;
    program_.Start(aConfig, output);
  }

  /** @return where a stand-in listens. @param aName its name. */
  Endpoint Where(const std::string& aName) { return { "127.0.0.1", program_.Port(aName) }; }

  /** Sends a request and waits for its answer. @param aName name of the stand-in. */
  HttpAnswer Exchange(const std::string& aName,
                      const std::string& aMethod,
                      const std::string& aTarget,
                      const std::string& aBody = {},
                      const HeaderList& aHeaders = {})
  {
    JsonClient client(context_, Where(aName));
    HttpAnswer result;
    bool isDone = false;
    HttpExchange exchange{ aMethod, aTarget, aHeaders, aBody, std::chrono::seconds(5) };
    client.Send(std::move(exchange), [&](std::error_code aError, HttpAnswer aAnswer) {
      error_ = aError;
      result = std::move(aAnswer);
      isDone = true;
    });
    EXPECT_TRUE(RunUntil(context_, [&] { return isDone; }));
    return result;
  }

  /** Replaces the faults. @param aName name of the stand-in. @param aList faults without the
   * brackets. */
  void SetFaults(const std::string& aName, const std::string& aList)
  {
    const auto answer = Exchange(aName, "PUT", "/control/faults", "{\"faults\":[" + aList + "]}");
    ASSERT_EQ(200, answer.status_) << answer.body_;
  }

  /** @return the statistics. @param aName name of the stand-in. */
  boost::json::object Stats(const std::string& aName)
  {
    boost::json::object stats;
    EXPECT_TRUE(ParseJsonObject(Exchange(aName, "GET", "/control/stats").body_, stats));
    return stats;
  }

  /** @return a number of the statistics. @param aName name of the stand-in. @param aKey key. */
  std::int64_t Stat(const std::string& aName, const std::string& aKey)
  {
    return Stats(aName).at(aKey).to_number<std::int64_t>();
  }

  /** Lets time pass. @param aTime how long. */
  void Pass(std::chrono::milliseconds aTime)
  {
    RunUntil(
      context_, [] { return false; }, aTime);
  }

  boost::asio::io_context context_;      ///< Runs clients and stand-ins.
  standin::Program program_{ context_ }; ///< The stand-ins.
  std::error_code error_;                ///< Error of the last exchange.
};

} // namespace laburnumweir

#endif
