/** @file metrics_test.cpp Tests of the text format and of the bound on label values. */
#include "metrics/metrics.h"

#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;

/** Guards against buckets that are not cumulative, and against a wrong count, label or help text,
 * which scrapers would misread. */
TEST(Metrics, PrintsTheTextExposition)
{
  Metrics metrics;
  metrics.SetHelp("requests_total", "Requests by workspace.");
  metrics.GetCounter("requests_total", "workspace", "a\"b").Add(3);
  metrics.GetHistogram("wait_seconds", "class", "x").Record(70ms);
  metrics.GetHistogram("wait_seconds", "class", "x").Record(400s);
  metrics.SetGauge("members", [] { return 8.0; });
  const std::string text = metrics.Print();
  EXPECT_NE(std::string::npos, text.find("# HELP requests_total Requests by workspace.\n"));
  EXPECT_NE(std::string::npos, text.find("requests_total{workspace=\"a\\\"b\"} 3\n"));
  EXPECT_NE(std::string::npos, text.find("wait_seconds_bucket{class=\"x\",le=\"0.04\"} 0\n"));
  EXPECT_NE(std::string::npos, text.find("wait_seconds_bucket{class=\"x\",le=\"0.08\"} 1\n"));
  EXPECT_NE(std::string::npos, text.find("wait_seconds_bucket{class=\"x\",le=\"300\"} 1\n"));
  EXPECT_NE(std::string::npos, text.find("wait_seconds_bucket{class=\"x\",le=\"+Inf\"} 2\n"));
  EXPECT_NE(std::string::npos, text.find("wait_seconds_count{class=\"x\"} 2\n"));
  EXPECT_NE(std::string::npos, text.find("members 8\n"));
}

/** Guards against memory use that grows with the label values that callers invent. */
TEST(Metrics, LabelValuesAreBounded)
{
  Metrics metrics;
  for (int i = 0; i < 1000; ++i) {
    metrics.GetCounter("c", "class", std::to_string(i)).Add();
  }
  const std::string text = metrics.Print();
  EXPECT_NE(std::string::npos, text.find("c{class=\"other\"} 872\n"));
}

} // namespace
} // namespace laburnumweir
