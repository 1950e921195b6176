/** @file load_share.h Loads of weights that share the bandwidth of the weight store. */
#ifndef LABURNUMWEIR_STANDIN_LOAD_SHARE_H
#define LABURNUMWEIR_STANDIN_LOAD_SHARE_H

#include "core/clock_base.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laburnumweir::standin {

/** Up to a number of loads run at full speed; more share that bandwidth evenly. */
class LoadShare
{
public:
  /** @param aLoadTime time of a load at full speed. @param aFullSpeed loads at full speed. */
  LoadShare(Duration aLoadTime, std::size_t aFullSpeed);

  /** Starts a load. @return false if the id is in use. */
  bool Start(const std::string& aId, TimePoint aNow);
  /** Ends a load early. @return false if there is none. */
  bool Abort(const std::string& aId, TimePoint aNow);
  /** @return ids of the loads that are complete; they are forgotten. */
  std::vector<std::string> TakeComplete(TimePoint aNow);
  /** @return when the next load will be complete, if nothing changes. */
  std::optional<TimePoint> NextCompletion() const;
  /** @return loads in flight. */
  std::size_t InFlight() const { return left_.size(); }

private:
  double Speed() const;
  void Advance(TimePoint aNow);

  Duration loadTime_;                    ///< Time of a load at full speed.
  std::size_t fullSpeed_;                ///< Loads at full speed.
  TimePoint last_{};                     ///< Time up to which progress is counted.
  std::map<std::string, Duration> left_; ///< Time left at full speed, by load.
};

} // namespace laburnumweir::standin

#endif
