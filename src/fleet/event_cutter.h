/** @file event_cutter.h Cuts an event stream into whole events. */
#ifndef LABURNUMWEIR_FLEET_EVENT_CUTTER_H
#define LABURNUMWEIR_FLEET_EVENT_CUTTER_H

#include <cstddef>
#include <string>
#include <string_view>

namespace laburnumweir {

/**
 * Holds back the part of a stream after its last whole event, so that a stream which goes on at
 * another upstream joins at an event. Remembers the id of the last whole event.
 */
class EventCutter
{
public:
  /** Bytes of one event that are held back at most; more is no event stream. */
  static constexpr std::size_t kMaxEventBytes = std::size_t{ 1 } << 20;

  /**
   * Adds bytes of the stream.
   * @param aBytes bytes as they came.
   * @param aWhole receives the whole events that are now complete, perhaps none.
   * @return false if an event is too large.
   */
  bool Add(std::string_view aBytes, std::string& aWhole);
  /** Drops the part of an event that was held back: the stream broke off. */
  void DropPart() { part_.clear(); }
  /** @return whether a part of an event is held back. */
  bool HasPart() const { return !part_.empty(); }
  /** @return id of the last whole event; empty if none had one. */
  const std::string& LastId() const { return lastId_; }
  /** @return whole events so far. */
  std::size_t Events() const { return events_; }

private:
  void Note(std::string_view aEvent);

  std::string part_;       ///< Start of an event that is not complete.
  std::string lastId_;     ///< Id of the last whole event.
  std::size_t events_ = 0; ///< Whole events.
};

} // namespace laburnumweir

#endif
