/** @file content_index.h Contents of requests that crashes are blamed on, and begins of answers. */
#ifndef LABURNUMWEIR_FLEET_CONTENT_INDEX_H
#define LABURNUMWEIR_FLEET_CONTENT_INDEX_H

#include "core/clock_base.h"
#include "core/hash_func.h"
#include "core/id_type.h"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace laburnumweir {

/** Something that several requests may have in common: a shared part of their prompts, or the whole
 * request if a caller sends it again. */
using ContentId = StringId<struct ContentTag>;

/** What holds a content. */
enum class ContentHolder : std::uint8_t
{
  Suspect, ///< A request that was at the crash of an upstream.
  Entry    ///< A quarantine.
};

namespace detail {

/** Hash of contents, which callers choose. */
struct ContentHash
{
  std::size_t operator()(const ContentId& aContent) const { return ProcessHash(aContent.Value()); }
};

/** State of a content that is held. */
struct HeldState
{
  std::uint32_t suspects_ = 0;             ///< Suspects that hold it.
  std::uint32_t entries_ = 0;              ///< Quarantines that hold it.
  TimePoint lastBegun_ = TimePoint::min(); ///< When an answer to a request with it last began.
};

} // namespace detail

/** A content that is held; the same object as long as anything holds it. */
using HeldContent = std::pair<const ContentId, detail::HeldState>;

/** Contents that are held together, without repetition and in the order of their addresses. */
using ContentSet = std::vector<const HeldContent*>;

/** @return whether a set holds all contents of another one. */
bool
Includes(const ContentSet& aAll, const ContentSet& aSome);

/**
 * Keeps each content that is held once, however many requests it belongs to, and when an answer to
 * a request with it last began. Begins of other contents are kept for kCrashReportTime, in case a
 * crash is reported late, kMaxRecentBegins of them at most. Not thread-safe.
 */
class ContentIndex
{
public:
  /** When answers last began, by content. */
  using BeginTable = std::map<ContentId, TimePoint>;

  /** @param aClock time source; must outlive this. */
  explicit ContentIndex(const Clock& aClock)
    : clock_(aClock)
  {
  }

  /** Holds contents until Release(). @return the set of them. */
  ContentSet Hold(std::span<const ContentId> aContents, ContentHolder aHolder);
  /** Ends a Hold() of the same contents and holder; they must not be used afterwards. */
  void Release(std::span<const HeldContent* const> aContents, ContentHolder aHolder);
  /** @return those of the contents that are held by a holder of this kind. */
  ContentSet FindHeld(std::span<const ContentId> aContents, ContentHolder aHolder) const;
  /** @return the content; nullptr if it is not held. */
  const HeldContent* Find(const ContentId& aContent) const;

  /** Records that an answer to a request with a content began. */
  void OnBegun(const ContentId& aContent, TimePoint aTime);
  /** @return whether an answer to a request with a content has begun since a time. */
  bool IsCleared(const ContentId& aContent, TimePoint aSince) const;
  /** @return when answers to requests with held contents last began, within kCrashReportTime;
   * kMaxReportedBegins contents at most. */
  const BeginTable& RecentOfHeld() const { return recentOfHeld_; }

  /** Forgets old begins. */
  void Expire();
  /** @return number of contents that are held. */
  std::size_t Held() const { return held_.size(); }
  /** @return estimated bytes of memory. */
  std::size_t Bytes() const;

private:
  struct Recent
  {
    ContentId content_;
    TimePoint begunAt_;
  };
  using RecentTable = boost::multi_index_container<
    Recent,
    boost::multi_index::indexed_by<
      boost::multi_index::sequenced<>,
      boost::multi_index::hashed_unique<
        boost::multi_index::member<Recent, ContentId, &Recent::content_>,
        detail::ContentHash>>>;

  const Clock& clock_;
  std::unordered_map<ContentId, detail::HeldState, detail::ContentHash> held_;
  RecentTable recent_;            ///< Begins, the last recorded one last.
  BeginTable recentOfHeld_;       ///< See RecentOfHeld().
  std::size_t longTextBytes_ = 0; ///< Text of held contents that takes memory of its own.
};

} // namespace laburnumweir

#endif
