/** @file config_view_base.h What control services need to know of the agreed state. */
#ifndef LABURNUMWEIR_CONTROL_CONFIG_VIEW_BASE_H
#define LABURNUMWEIR_CONTROL_CONFIG_VIEW_BASE_H

#include "core/clock_base.h"
#include "state/config_state.h"

namespace laburnumweir {

/** The agreed state as this host knows it. Used on the control thread only. */
class ConfigView
{
public:
  virtual ~ConfigView() = default;
  /** @return the folded state, or nullptr if there is none. */
  virtual const ConfigState* State() const = 0;
  /** @return whether this host may act on the state now: it is fresh and this host is a member. */
  virtual bool MayAct() const = 0;
  /**
   * @param aOffset offset of a membership record.
   * @return whether so many members know of it that nobody can go on for long without it.
   */
  virtual bool IsMembershipKnown(LogOffset aOffset) const = 0;
  /** @return time at which the folded state was certainly the newest. */
  virtual TimePoint Evidence() const = 0;
};

/** Told of changes of the agreed state, on the control thread. */
class ConfigListener
{
public:
  virtual ~ConfigListener() = default;
  /**
   * A record was folded. Called for each record, so that an owner sees each change of ownership.
   * @param aState the state after it.
   */
  virtual void OnRecord(const ConfigState& aState) = 0;
  /**
   * The state was replaced as a whole; changes in between were not seen.
   * @param aState the new state.
   */
  virtual void OnJump(const ConfigState& aState) = 0;
  /**
   * Called some times a second while there is a state.
   * @param aState the state.
   */
  virtual void OnTick(const ConfigState& aState) { (void)aState; }
};

} // namespace laburnumweir

#endif
