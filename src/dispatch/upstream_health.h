/** @file upstream_health.h Health of an upstream as one host sees it. */
#ifndef LABURNUMWEIR_DISPATCH_UPSTREAM_HEALTH_H
#define LABURNUMWEIR_DISPATCH_UPSTREAM_HEALTH_H

#include "core/clock_base.h"
#include "core/random_base.h"
#include "core/upstream_client_base.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace laburnumweir {

/** State of an upstream. */
enum class HealthState : std::uint8_t
{
  Cold,    ///< Nothing has succeeded since its start.
  Warming, ///< It answers, and its window grows.
  Healthy, ///< It answers under full load.
  Suspect, ///< It fails; it gets probes only.
  Down,    ///< Probes fail too; they become rarer.
  Leaving, ///< A rule or the host list says that it leaves.
};

/** @return the name of a state for logs and operators. */
std::string_view
NameOf(HealthState aState);

/**
 * Health of one upstream. Answers and probes decide; reports and the host list are hints, which can
 * make an upstream suspect but neither down nor healthy. Not thread-safe.
 */
class UpstreamHealth
{
public:
  /** @param aClock time source. @param aRandom jitter of probes. Both must outlive this. */
  UpstreamHealth(const Clock& aClock, RandomSource& aRandom);
  ~UpstreamHealth();
  UpstreamHealth(const UpstreamHealth&) = delete;
  UpstreamHealth& operator=(const UpstreamHealth&) = delete;

  /** @return the state. */
  HealthState State() const;
  /** @return whether it may get new requests. */
  bool TakesNewWork() const;
  /** Notes how an attempt ended. A refusal for load or for the adapter is no failure. */
  void OnAttempt(const AttemptResult& aResult);
  /** Notes the epoch in an answer or report; a new one makes it cold. */
  void OnEpoch(std::string_view aEpoch);
  /** Notes a latency jump: it has become cold without a restart. */
  void OnLatencyJump();
  /** Notes whether a report could be read; a hint. */
  void OnReport(bool aWasRead);
  /** Notes the answer to a probe, which is sent on a new connection. */
  void OnProbe(bool aSucceeded);
  /** Sets whether a rule says that it leaves. */
  void SetLeaving(bool aIsLeaving);
  /** @return whether a probe is due; the next one is then due later. */
  bool TakeProbe();

private:
  struct Impl;
  void ScheduleProbe();

  const Clock& clock_;          ///< Time source.
  RandomSource& random_;        ///< Jitter.
  std::unique_ptr<Impl> impl_;  ///< State machine.
  std::string epoch_;           ///< Last epoch seen.
  std::uint32_t failures_ = 0;  ///< Successive failed attempts.
  std::uint32_t successes_ = 0; ///< Successes since it was cold.
  std::uint32_t reports_ = 0;   ///< Successive failed reports.
  std::uint32_t probes_ = 0;    ///< Successive failed probes.
  TimePoint nextProbe_;         ///< When the next probe is due.
};

} // namespace laburnumweir

#endif
