/** @file rejection_log_test.cpp Tests of the count and log of rejected callers. */
#include "gateway/rejection_log.h"

#include <gtest/gtest.h>
#include <map>
#include <string>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;

// Guards against one log line for each hostile connection, and against rejections that are never
// logged.
TEST(RejectionLogTest, ReportsEachReasonOnceInAnInterval)
{
  std::map<std::string, std::uint64_t> counted;
  std::string reports;
  RejectionLog log([&](std::string_view aReason) { ++counted[std::string(aReason)]; },
                   [&](std::string_view aReason, std::uint64_t aCount) {
                     reports += std::string(aReason) + ":" + std::to_string(aCount) + " ";
                   });
  const RejectionLog::Time start{ 1h };
  for (int i = 0; i < 1000; ++i) {
    log.Record("memory", start + i * 1ms);
  }
  log.Record("malformed", start + 1s);
  EXPECT_EQ(reports, "memory:1 malformed:1 ");
  EXPECT_EQ(counted["memory"], 1000U);
  log.Flush(start + RejectionLog::kInterval);
  log.Flush(start + 10 * RejectionLog::kInterval);
  EXPECT_EQ(reports, "memory:1 malformed:1 memory:999 ");
}

} // namespace
} // namespace laburnumweir
