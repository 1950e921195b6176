/** @file metrics.h Counters, gauges and histograms in the Prometheus text format. */
#ifndef LABURNUMWEIR_METRICS_METRICS_H
#define LABURNUMWEIR_METRICS_METRICS_H

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumweir {

/** A monotonically increasing number. Methods may be called from any thread. */
class Counter
{
public:
  void Add(std::uint64_t aCount = 1) { value_.fetch_add(aCount, std::memory_order_relaxed); }
  std::uint64_t Value() const { return value_.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> value_{ 0 };
};

/** Distribution of durations, printed in seconds. Record() may be called from any thread. */
class DurationHistogram
{
public:
  DurationHistogram();
  ~DurationHistogram();
  DurationHistogram(const DurationHistogram&) = delete;
  DurationHistogram& operator=(const DurationHistogram&) = delete;

  /** @param aDuration a negative duration is counted as 0. */
  void Record(std::chrono::nanoseconds aDuration);
  /**
   * Appends the lines of the cumulative buckets, the sum and the count.
   * @param aName name of the metric.
   * @param aLabels labels as `name="value"` without braces, separated by commas; may be empty.
   * @param aText receives the lines.
   */
  void Print(std::string_view aName, std::string_view aLabels, std::string& aText) const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/**
 * All metrics of a process. A metric has at most one label. The number of values of a label is
 * bounded and further values are counted under `other`, so that callers who invent values cannot
 * use up the memory of a host.
 */
class Metrics
{
public:
  /** Maximum number of values of a label, not counting `other`. */
  static constexpr std::size_t kMaxLabelValues = 128;

  /**
   * Returns a counter and creates it on first use.
   * @param aName name of the metric.
   * @param aLabel name of the label; empty for a metric without one.
   * @param aValue value of the label.
   * @return the counter; valid as long as this object.
   */
  Counter& GetCounter(std::string_view aName,
                      std::string_view aLabel = {},
                      std::string_view aValue = {});
  /** Returns a histogram and creates it on first use. The parameters are those of GetCounter(). */
  DurationHistogram& GetHistogram(std::string_view aName,
                                  std::string_view aLabel = {},
                                  std::string_view aValue = {});
  /**
   * Sets the function that returns the value of a gauge.
   * @param aRead called in Print(), on the thread of the caller and with the lock of the metrics
   * held.
   */
  void SetGauge(std::string_view aName, std::function<double()> aRead);
  /** Sets the help text of a metric; the text must not contain line breaks. */
  void SetHelp(std::string_view aName, std::string_view aHelp);
  /** @return all metrics in the Prometheus text format. */
  std::string Print() const;

private:
  /** All metrics with the same name. */
  template<typename Metric>
  struct Family
  {
    std::map<std::string, std::unique_ptr<Metric>, std::less<>> metrics_; ///< By `label="value"`.
  };

  template<typename Metric>
  static Metric& FindOrCreate(std::map<std::string, Family<Metric>, std::less<>>& aFamilies,
                              std::string_view aName,
                              std::string_view aLabel,
                              std::string_view aValue);
  void PrintHeader(std::string& aText, std::string_view aName, std::string_view aType) const;

  mutable std::mutex mutex_; ///< Guards the maps; not held while a counter or histogram is updated.
  std::map<std::string, Family<Counter>, std::less<>> counters_;
  std::map<std::string, Family<DurationHistogram>, std::less<>> histograms_;
  std::map<std::string, std::function<double()>, std::less<>> gauges_;
  std::map<std::string, std::string, std::less<>> helpTexts_;
};

} // namespace laburnumweir

#endif
