/** @file metrics.cpp Counters, gauges and histograms in the Prometheus text format. */
#include "metrics/metrics.h"

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <sstream>

namespace laburnumweir {

namespace {

namespace bh = boost::histogram;

using ThreadSafeCount = bh::accumulators::count<std::uint64_t, true>;
using Axis = bh::axis::variable<double, bh::use_default, bh::axis::option::overflow_t>;

/** Upper bounds of the buckets in seconds. Bounds lie close together around the two latency
 * targets, 80 ms and 2 s. */
const std::vector<double>&
BucketBounds()
{
  static const std::vector<double> kBoundsSeconds{ 0.0,  0.0005, 0.001, 0.002, 0.003, 0.005,
                                                   0.01, 0.02,   0.04,  0.08,  0.12,  0.25,
                                                   0.5,  1.0,    1.5,   2.0,   3.0,   5.0,
                                                   10.0, 30.0,   60.0,  300.0 };
  return kBoundsSeconds;
}

auto
MakeBuckets()
{
  return bh::make_histogram_with(bh::dense_storage<ThreadSafeCount>(), Axis(BucketBounds()));
}

std::string
FormatNumber(double aValue)
{
  std::ostringstream text;
  text << aValue;
  return text.str();
}

std::string
EscapeLabel(std::string_view aValue)
{
  std::string text;
  for (const char c : aValue) {
    if (c == '\\' || c == '"') {
      text.push_back('\\');
      text.push_back(c);
    } else if (c == '\n') {
      text += "\\n";
    } else {
      text.push_back(c);
    }
  }
  return text;
}

void
AppendSample(std::string& aText,
             std::string_view aName,
             std::string_view aLabels,
             std::string_view aValue)
{
  aText += aName;
  if (!aLabels.empty()) {
    aText += "{";
    aText += aLabels;
    aText += "}";
  }
  aText += " ";
  aText += aValue;
  aText += "\n";
}

} // namespace

struct DurationHistogram::Impl
{
  decltype(MakeBuckets()) buckets_ = MakeBuckets();
  std::atomic<std::uint64_t> sumNs_{ 0 }; ///< Sum of all durations.
};

DurationHistogram::DurationHistogram()
  : impl_(std::make_unique<Impl>())
{
}

DurationHistogram::~DurationHistogram() = default;

void
DurationHistogram::Record(std::chrono::nanoseconds aDuration)
{
  const auto duration = std::max(aDuration, std::chrono::nanoseconds::zero());
  impl_->buckets_(std::chrono::duration<double>(duration).count());
  impl_->sumNs_.fetch_add(static_cast<std::uint64_t>(duration.count()), std::memory_order_relaxed);
}

void
DurationHistogram::Print(std::string_view aName, std::string_view aLabels, std::string& aText) const
{
  const std::string name(aName);
  const std::string labelPrefix = aLabels.empty() ? std::string() : std::string(aLabels) + ",";
  std::uint64_t total = 0;
  const auto& axis = impl_->buckets_.axis();
  for (int i = 0; i < axis.size(); ++i) {
    total += impl_->buckets_.at(i).value();
    AppendSample(aText,
                 name + "_bucket",
                 labelPrefix + "le=\"" + FormatNumber(axis.bin(i).upper()) + "\"",
                 std::to_string(total));
  }
  total += impl_->buckets_.at(axis.size()).value();
  AppendSample(aText, name + "_bucket", labelPrefix + "le=\"+Inf\"", std::to_string(total));
  AppendSample(
    aText, name + "_sum", aLabels, FormatNumber(static_cast<double>(impl_->sumNs_.load()) / 1e9));
  AppendSample(aText, name + "_count", aLabels, std::to_string(total));
}

template<typename Metric>
Metric&
Metrics::FindOrCreate(std::map<std::string, Family<Metric>, std::less<>>& aFamilies,
                      std::string_view aName,
                      std::string_view aLabel,
                      std::string_view aValue)
{
  auto family = aFamilies.find(aName);
  if (family == aFamilies.end()) {
    family = aFamilies.try_emplace(std::string(aName)).first;
  }
  auto& metrics = family->second.metrics_;
  const auto formatLabel = [&](std::string_view aText) {
    return aLabel.empty() ? std::string() : std::string(aLabel) + "=\"" + EscapeLabel(aText) + "\"";
  };
  std::string label = formatLabel(aValue);
  auto found = metrics.find(label);
  if (found == metrics.end()) {
    if (metrics.size() >= kMaxLabelValues) {
      label = formatLabel("other");
    }
    found = metrics.try_emplace(label, std::make_unique<Metric>()).first;
  }
  return *found->second;
}

Counter&
Metrics::GetCounter(std::string_view aName, std::string_view aLabel, std::string_view aValue)
{
  const std::lock_guard lock(mutex_);
  return FindOrCreate(counters_, aName, aLabel, aValue);
}

DurationHistogram&
Metrics::GetHistogram(std::string_view aName, std::string_view aLabel, std::string_view aValue)
{
  const std::lock_guard lock(mutex_);
  return FindOrCreate(histograms_, aName, aLabel, aValue);
}

void
Metrics::SetGauge(std::string_view aName, std::function<double()> aRead)
{
  const std::lock_guard lock(mutex_);
  gauges_[std::string(aName)] = std::move(aRead);
}

void
Metrics::SetHelp(std::string_view aName, std::string_view aHelp)
{
  const std::lock_guard lock(mutex_);
  helpTexts_[std::string(aName)] = std::string(aHelp);
}

void
Metrics::PrintHeader(std::string& aText, std::string_view aName, std::string_view aType) const
{
  const auto help = helpTexts_.find(aName);
  if (help != helpTexts_.end()) {
    aText += "# HELP " + help->first + " " + help->second + "\n";
  }
  aText += "# TYPE " + std::string(aName) + " " + std::string(aType) + "\n";
}

std::string
Metrics::Print() const
{
  const std::lock_guard lock(mutex_);
  std::string text;
  for (const auto& [name, family] : counters_) {
    PrintHeader(text, name, "counter");
    for (const auto& [label, counter] : family.metrics_) {
      AppendSample(text, name, label, std::to_string(counter->Value()));
    }
  }
  for (const auto& [name, family] : histograms_) {
    PrintHeader(text, name, "histogram");
    for (const auto& [label, histogram] : family.metrics_) {
      histogram->Print(name, label, text);
    }
  }
  for (const auto& [name, read] : gauges_) {
    PrintHeader(text, name, "gauge");
    AppendSample(text, name, {}, FormatNumber(read()));
  }
  return text;
}

} // namespace laburnumweir
