/** @file crash_suspects.h Requests that were at the crashes of upstreams, and what they share. */
#ifndef LABURNUMWEIR_FLEET_CRASH_SUSPECTS_H
#define LABURNUMWEIR_FLEET_CRASH_SUSPECTS_H

#include "core/clock_base.h"
#include "core/id_type.h"
#include "fleet/content_index.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace laburnumweir {

/** The contents of a request. */
struct RequestContents
{
  std::vector<ContentId> parts_; ///< Shared parts of its prompt.
  ContentId request_;            ///< Digest of the whole request; the same if it is sent again.
};

/** One process of an upstream: its id and its start time in Unix ms. */
using UpstreamProcess = std::pair<UpstreamId, std::int64_t>;

/** A request that was at the crash of an upstream. */
struct HeldSuspect
{
  UpstreamProcess process_;
  const HeldContent* request_; ///< Digest of the request.
  ContentSet parts_;
  TimePoint at_; ///< When the connection broke.
};

/** What several crashes have in common. */
struct CrashCause
{
  ContentSet contents_;     ///< Not empty.
  TimePoint lastCrash_;     ///< The last crash that led to it.
  std::size_t crashes_ = 0; ///< Crashes that count.
};

/**
 * The recent suspects, kMaxCrashSuspects of them with kMaxSuspectParts parts at most. The search
 * for a cause looks only at what one suspect shares with the others, so that its time grows with
 * the parts of the requests and its memory with those of one. Not thread-safe.
 */
class CrashSuspects
{
public:
  using Position = std::list<HeldSuspect>::const_iterator;
  /** Tells whether a quarantine includes contents. */
  using IsQuarantined = std::function<bool(const ContentSet&)>;

  /** @param aIndex keeps the contents; must outlive this. */
  explicit CrashSuspects(ContentIndex& aIndex)
    : index_(aIndex)
  {
  }
  ~CrashSuspects();
  CrashSuspects(const CrashSuspects&) = delete;
  CrashSuspects& operator=(const CrashSuspects&) = delete;

  /**
   * Adds a suspect, or the parts of one that are not known yet: hosts report a long prompt in
   * several messages.
   * @return whether the suspect or a part of it is new and there is room.
   */
  bool Add(const UpstreamProcess& aProcess, const RequestContents& aContents, TimePoint aAt);
  /** @return the suspect; the end of All() if there is none. */
  Position Find(const UpstreamProcess& aProcess, const ContentId& aRequest) const;
  /** @return what enough crashes have in common with a suspect's parts; none if they do not. */
  std::optional<CrashCause> FindParts(const HeldSuspect& aSuspect,
                                      const IsQuarantined& aIsQuarantined) const;
  /** @return the request of a suspect if it was at enough crashes; none if not. */
  std::optional<CrashCause> FindRequest(const HeldSuspect& aSuspect,
                                        const IsQuarantined& aIsQuarantined) const;

  /** Removes the suspects of which a function tells so. @return their number. */
  std::size_t RemoveIf(const std::function<bool(const HeldSuspect&)>& aCondition);
  /** @return the suspects, oldest first. */
  const std::list<HeldSuspect>& All() const { return suspects_; }
  /** @return estimated bytes of memory without the contents themselves. */
  std::size_t Bytes() const;

private:
  using Mutable = std::list<HeldSuspect>::iterator;

  /** @return whether a part was not known. */
  bool AddParts(Mutable aSuspect, std::span<const ContentId> aParts);
  /**
   * Drops the oldest candidate without parts: of the many requests that waited at an upstream, one
   * more or less says little.
   * @param aForParts whether a candidate with parts may be dropped if there is no other.
   * @return false if none was dropped.
   */
  bool MakeRoom(const std::function<bool(const HeldSuspect&)>& aIsCandidate, bool aForParts);
  /** While there are too many parts, drops the oldest suspect that has more than its share. */
  void LimitParts(Position aKept);
  void Remove(Position aSuspect);

  ContentIndex& index_;
  std::list<HeldSuspect> suspects_; ///< Oldest first.
  std::size_t parts_ = 0;           ///< Of all suspects.
};

} // namespace laburnumweir

#endif
