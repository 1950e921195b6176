/** @file suspect_table.h Requests that were in flight when engines crashed. */
#ifndef LABURNUMWEIR_DISPATCH_SUSPECT_TABLE_H
#define LABURNUMWEIR_DISPATCH_SUSPECT_TABLE_H

#include "core/clock_base.h"
#include "core/id_type.h"
#include "dispatch/slot_type.h"
#include "table/dispatch_const.h"

#include <compare>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumweir {

/** Identifies equal requests of a workspace: the start of a SHA-256 digest. */
struct RequestDigest
{
  std::uint64_t high_ = 0; ///< First 8 bytes.
  std::uint64_t low_ = 0;  ///< Next 8 bytes.

  auto operator<=>(const RequestDigest&) const = default;
};

/** @return the digest of a request. */
RequestDigest
DigestOf(const WorkspaceId& aWorkspace, std::string_view aBody);

/** A request was in flight on an engine when it crashed. */
struct SuspectMark
{
  RequestDigest digest_; ///< The request.
  UpstreamId engine_;    ///< Engine that crashed.
  std::string epoch_;    ///< Its life that ended; one crash counts once, whoever tells of it.
  bool isCause_ = false; ///< The crash names this request as its cause.
  Duration age_{};       ///< Time since the crash.
};

/** Whether a request may run on an engine. */
enum class SuspectVerdict : std::uint8_t
{
  Allowed, ///< It may run.
  Refused, ///< It is refused everywhere, as not run.
  NotHere, ///< It was in flight when this engine crashed; another engine may run it.
  Later,   ///< Too many requests with marks run on this engine now.
};

/**
 * Marks of requests that were in flight when engines crashed. The owner of an engine grants every
 * request there, so it knows all that were in flight and makes the marks; peers merge them. A crash
 * names its cause if one request ran alone, or if exactly one of those in flight has the most
 * earlier marks. Marked requests are kept apart from each other, so a request that was only there
 * at a crash is not refused: of 32 in flight at a first crash 4 run together, and of those with two
 * marks one. A request never runs again on an engine that crashed with it, and has three engines in
 * all (RendezvousPlacement), so it costs three engines at most, also when hosts run it at the same
 * moment. Not thread-safe.
 */
class SuspectTable
{
public:
  /** @param aClock time source; must outlive the table. */
  explicit SuspectTable(const Clock& aClock)
    : clock_(aClock)
  {
  }

  /** @return whether a request is refused everywhere; asked by the entry host. */
  bool IsRefused(const RequestDigest& aDigest) const;
  /** @return whether a request may start on an engine now; asked by the engine's owner. */
  SuspectVerdict Test(const RequestDigest& aDigest, const UpstreamId& aEngine) const;
  /** Notes a grant, after Test() allowed it. */
  void Start(const PinKey& aKey, const RequestDigest& aDigest, const UpstreamId& aEngine);
  /** Notes the end of a request. */
  void End(const PinKey& aKey, const UpstreamId& aEngine);
  /**
   * Notes a crash.
   * @param aEngine engine that crashed. @param aEpoch its life that ended.
   * @return the new marks, to be sent to the peers.
   */
  std::vector<SuspectMark> OnCrash(const UpstreamId& aEngine, const std::string& aEpoch);
  /** Forgets what runs on an engine that stopped as planned or went to another owner. */
  void Forget(const UpstreamId& aEngine) { running_.erase(aEngine); }
  /** Adds marks of a peer; marks that are known already are ignored. */
  void Merge(std::span<const SuspectMark> aMarks);
  /** @return all marks with their present age, for a peer that starts. */
  std::vector<SuspectMark> Marks() const;
  /** Drops marks that have expired. */
  void Tick();
  /** @return number of digests with marks. */
  std::size_t Size() const { return suspects_.size(); }

private:
  struct Mark
  {
    UpstreamId engine_;    ///< Engine that crashed.
    std::string epoch_;    ///< Its life.
    TimePoint expires_;    ///< End of the mark.
    bool isCause_ = false; ///< Whether it names the request as the cause.
  };
  struct Suspect
  {
    std::vector<Mark> marks_; ///< Marks, one for each crash.
  };

  std::size_t MarksOf(const RequestDigest& aDigest) const;
  void Add(const SuspectMark& aMark);
  void MakeRoom();

  const Clock& clock_;                                            ///< Time source.
  std::map<RequestDigest, Suspect> suspects_;                     ///< Marks by request.
  std::map<UpstreamId, std::map<PinKey, RequestDigest>> running_; ///< Grants by engine.
};

} // namespace laburnumweir

#endif
