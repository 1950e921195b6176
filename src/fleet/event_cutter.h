/** @file event_cutter.h Splits a server-sent event stream into complete events. */
#ifndef LABURNUMWEIR_FLEET_EVENT_CUTTER_H
#define LABURNUMWEIR_FLEET_EVENT_CUTTER_H

#include <cstddef>
#include <string>
#include <string_view>

namespace laburnumweir {

/**
 * Buffers the bytes of a stream after its last complete event, so that a stream that is continued
 * at another upstream is joined between two events. Keeps the id of the last complete event.
 */
class EventSplitter
{
public:
  /** Maximum size of one event; a stream that exceeds it is not a valid event stream. A host holds
   * an incomplete event for each stream that it serves, so it must bear some hundred of this size.
   */
  static constexpr std::size_t kMaxEventBytes = std::size_t{ 64 } << 10;
  /** Maximum size of the id of an event. Callers and this host send it back in a header field, next
   * to others within the limit of a head. */
  static constexpr std::size_t kMaxIdBytes = 1024;

  /**
   * Appends received bytes of the stream.
   * @param aComplete is set to the events that these bytes complete, perhaps none.
   * @return false if the incomplete event exceeds kMaxEventBytes, or if the bytes after those in
   * aComplete are no event, have an id that cannot be the value of a header field, or do not
   * continue the stream.
   */
  bool Add(std::string_view aBytes, std::string& aComplete);
  /**
   * Discards the incomplete event, because the stream was cut. The next bytes come from an upstream
   * that was asked to continue after LastEventId(), so its first id must come after that one.
   */
  void Resume();
  /** @return whether an incomplete event is buffered. */
  bool HasPart() const { return !incomplete_.empty(); }
  /** @return the id set by the last event that has one; empty if none has. */
  const std::string& LastEventId() const { return lastId_; }
  /** @return the number of complete events; blocks without data and id, such as comments, are none.
   */
  std::size_t Events() const { return events_; }

private:
  /** @return false if the text is no event or does not continue the stream. */
  bool OnCompleteEvent(std::string_view aEvent);

  std::string incomplete_; ///< Start of an incomplete event.
  std::string lastId_;
  std::size_t events_ = 0;
  bool isResumed_ = false; ///< No id was received since Resume().
};

} // namespace laburnumweir

#endif
