/** @file bootstrap.h Reads the configuration stream from the earliest retained record. */
#ifndef LABURNUMWEIR_STATE_BOOTSTRAP_H
#define LABURNUMWEIR_STATE_BOOTSTRAP_H

#include "state/config_state.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace laburnumweir {

/** How far a reader is. */
enum class ReaderStatus : std::uint8_t
{
  Empty,       ///< Nothing was read yet.
  NoSnapshot,  ///< Records were read, but no usable snapshot is among them yet.
  Ready,       ///< There is a state.
  Unsupported, ///< A record has a newer schema; this release cannot go on.
};

/**
 * Follows the configuration stream and holds the state. After a gap it drops the state and starts
 * again. It never gives out a state older than one it held before: an answer to a peer that goes
 * back would let that peer count an outdated agreement.
 */
class ConfigReader
{
public:
  /** @return offset to read from next; after a restart the earliest one that is retained. */
  LogOffset WantedOffset() const;

  /**
   * Tells what the log retains, before the records of the answer are added.
   * @param aFirst earliest retained offset.
   * @return false if there was a gap and the state was dropped; read again from WantedOffset().
   */
  bool OnExtent(LogOffset aFirst);

  /**
   * Adds a record.
   * @param aOffset its offset.
   * @param aData its text.
   * @return what was done.
   */
  FoldOutcome Add(LogOffset aOffset, std::string_view aData);

  /**
   * Takes the state of a peer (FetchState) if it is newer than the own one.
   * @param aData snapshot record of the peer.
   * @return whether it was taken.
   */
  bool Adopt(std::string_view aData);

  /** @return how far the reader is. */
  ReaderStatus Status() const;
  /** @return the state, or nullptr if there is none that may be used. */
  const ConfigState* State() const;
  /** @return number of times that a gap made the reader drop its state. */
  std::uint64_t GapCount() const { return gaps_; }

private:
  void Drop(LogOffset aFirst);
  bool TryStart();

  std::optional<ConfigState> state_;                      ///< Folded state.
  std::vector<std::pair<LogOffset, std::string>> buffer_; ///< Records read without a state.
  std::optional<LogOffset> first_;                        ///< First offset of this start.
  LogOffset next_ = 0;                                    ///< Next offset to read.
  LogOffset floor_ = 0;                                   ///< Newest offset ever held.
  std::uint64_t gaps_ = 0;                                ///< Number of gaps.
  bool isUnsupported_ = false;                            ///< Met a newer schema.
};

} // namespace laburnumweir

#endif
