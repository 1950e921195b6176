/** @file metrics.h Counters, gauges and histograms with a text exposition. */
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

/** A number that only grows. */
class Counter
{
public:
  /** Adds to the counter. @param aCount how much. */
  void Add(std::uint64_t aCount = 1) { value_.fetch_add(aCount, std::memory_order_relaxed); }
  /** @return the current value. */
  std::uint64_t Value() const { return value_.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> value_{ 0 }; ///< Current value.
};

/** Distribution of durations, in seconds. */
class DurationHistogram
{
public:
  DurationHistogram();
  ~DurationHistogram();
  DurationHistogram(const DurationHistogram&) = delete;
  DurationHistogram& operator=(const DurationHistogram&) = delete;

  /** Records a duration. @param aDuration the duration. */
  void Record(std::chrono::nanoseconds aDuration);
  /**
   * Writes bucket, sum and count lines.
   * @param aName name of the metric.
   * @param aLabels labels in exposition form without braces; may be empty.
   * @param aText receives the lines.
   */
  void Print(std::string_view aName, std::string_view aLabels, std::string& aText) const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_; ///< Buckets.
};

/**
 * All metrics of a process. A family has one label; the number of its values is bounded, and
 * further values share the value `other`, so that callers cannot grow the memory of a host.
 */
class Metrics
{
public:
  /** Most values of a label before further ones are counted as `other`. */
  static constexpr std::size_t kMaxLabelValues = 128;

  /**
   * Finds or makes a counter.
   * @param aName name of the metric.
   * @param aLabel name of the label; empty for none.
   * @param aValue value of the label.
   * @return the counter; valid as long as this object.
   */
  Counter& GetCounter(std::string_view aName,
                      std::string_view aLabel = {},
                      std::string_view aValue = {});
  /** Finds or makes a histogram; parameters as GetCounter(). @return the histogram. */
  DurationHistogram& GetHistogram(std::string_view aName,
                                  std::string_view aLabel = {},
                                  std::string_view aValue = {});
  /**
   * Sets the source of a gauge.
   * @param aName name of the metric.
   * @param aRead called at each scrape, on the scraping thread.
   */
  void SetGauge(std::string_view aName, std::function<double()> aRead);
  /** Sets the help text of a metric. @param aName its name. @param aHelp the text. */
  void SetHelp(std::string_view aName, std::string_view aHelp);
  /** @return all metrics in the text exposition format. */
  std::string Print() const;

private:
  /** Metrics of one name, by label in exposition form. */
  template<typename Metric>
  struct Family
  {
    std::map<std::string, std::unique_ptr<Metric>, std::less<>> metrics_; ///< By label.
  };

  template<typename Metric>
  static Metric& Find(std::map<std::string, Family<Metric>, std::less<>>& aFamilies,
                      std::string_view aName,
                      std::string_view aLabel,
                      std::string_view aValue);
  void PrintHead(std::string& aText, std::string_view aName, std::string_view aType) const;

  mutable std::mutex mutex_; ///< Guards the maps; not held while a metric is updated.
  std::map<std::string, Family<Counter>, std::less<>> counters_;             ///< Counters.
  std::map<std::string, Family<DurationHistogram>, std::less<>> histograms_; ///< Histograms.
  std::map<std::string, std::function<double()>, std::less<>> gauges_;       ///< Gauges.
  std::map<std::string, std::string, std::less<>> helps_;                    ///< Help texts.
};

} // namespace laburnumweir

#endif
