/** @file published_state.h The agreed state as the control thread publishes it to traffic threads.
 */
#ifndef LABURNUMWEIR_CONTROL_PUBLISHED_STATE_H
#define LABURNUMWEIR_CONTROL_PUBLISHED_STATE_H

#include "core/clock_base.h"
#include "state/config_state.h"

#include <atomic>
#include <memory>

namespace laburnumweir {

/** An immutable view of the agreed state and how long it may be acted on. */
struct PublishedState
{
  std::shared_ptr<const ConfigState> config_; ///< Folded state; null if there is none.
  TimePoint evidence_;                        ///< When this was certainly the newest state.
  TimePoint freshUntil_;                      ///< Requests are admitted only before this time.
  bool isDraining_ = false;                   ///< The host is being shut down.

  /** @param aNow time. @return whether a request may be admitted or sent now. */
  bool MayAdmit(TimePoint aNow) const { return config_ != nullptr && aNow < freshUntil_; }
};

/** Hands states from the control thread to traffic threads without a lock that control can hold. */
class StatePublisher
{
public:
  StatePublisher()
    : current_(std::make_shared<const PublishedState>())
  {
  }
  /** Publishes a state. @param aState the state. */
  void Publish(PublishedState aState)
  {
    current_.store(std::make_shared<const PublishedState>(std::move(aState)));
  }
  /** @return the newest state; never null. */
  std::shared_ptr<const PublishedState> Get() const { return current_.load(); }

private:
  std::atomic<std::shared_ptr<const PublishedState>> current_; ///< Newest state.
};

} // namespace laburnumweir

#endif
