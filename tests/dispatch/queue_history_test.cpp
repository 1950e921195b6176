/** @file queue_history_test.cpp Random histories of the queue against a plain account. */
#include "dispatch/request_queue.h"

#include "dispatch/fake_clock.h"
#include "dispatch/history.h"

#include <array>
#include <map>
#include <set>

namespace laburnumweir {
namespace {

using std::chrono::milliseconds;

const std::array<ClassId, 3> kClasses{ ClassId("a"), ClassId("b"), ClassId("c") };
const std::array<WorkspaceId, 4> kWorkspaces{ WorkspaceId("v"),
                                              WorkspaceId("w"),
                                              WorkspaceId("x"),
                                              WorkspaceId("y") };

/** Any calls; every request must end exactly once, and in time. */
class EndsWorld
{
public:
  static constexpr std::uint32_t kActions = 8;
  static std::string NameOf(std::uint32_t aAction) { return "action-" + std::to_string(aAction); }

  void Run(std::uint32_t aAction, std::uint32_t aFirst, std::uint32_t aSecond)
  {
    switch (aAction) {
      case 0:
      case 1:
      case 2:
        Push(aFirst, aSecond);
        break;
      case 3:
      case 4:
        Pop(aFirst);
        break;
      case 5:
        Return(aFirst, aSecond);
        break;
      case 6:
        if (!open_.empty()) {
          const QueueTicket ticket = *std::next(open_.begin(), aFirst % open_.size());
          RC_ASSERT(queue_.Cancel(ticket));
          open_.erase(ticket);
        }
        break;
      default:
        clock_.Advance(milliseconds(aFirst % 400));
        for (const RefusedEntry& refused : queue_.TakeExpired()) {
          RC_ASSERT(refused.entry_.startBy_ <= clock_.Now());
          End(refused.entry_.ticket_);
        }
    }
    RC_ASSERT(queue_.Size() == open_.size());
    RC_ASSERT(queue_.Size() <= 12U);
  }
  void Finish()
  {
    clock_.Advance(std::chrono::hours(1));
    for (const RefusedEntry& refused : queue_.TakeExpired()) {
      End(refused.entry_.ticket_);
    }
    RC_ASSERT(open_.empty());
    RC_ASSERT(queue_.QueuedTokens() == 0);
  }

private:
  void Push(std::uint32_t aFirst, std::uint32_t aSecond)
  {
    QueueEntry entry;
    entry.class_ = kClasses[aFirst % 3];
    entry.workspace_ = kWorkspaces[aFirst / 3 % 4];
    entry.tokens_ = 1 + aSecond % 9000;
    entry.startBy_ = clock_.Now() + milliseconds(aSecond % 3000);
    if (aFirst % 5 == 0) {
      entry.deadline_ = entry.startBy_;
    }
    const PushResult result = queue_.Push(entry, kClasses);
    if (result.displaced_) {
      End(result.displaced_->entry_.ticket_);
    }
    if (result.refusal_ == QueueRefusal::None) {
      RC_ASSERT(open_.insert(result.ticket_).second);
    }
  }
  void Pop(std::uint32_t aFirst)
  {
    const std::array<ClassId, 2> order{ kClasses[aFirst % 3], kClasses[aFirst / 3 % 3] };
    if (const auto entry = queue_.Pop(order)) {
      RC_ASSERT(clock_.Now() < entry->startBy_);
      RC_ASSERT(entry->notBefore_ <= clock_.Now());
      End(entry->ticket_);
      taken_[entry->ticket_] = *entry;
    }
  }
  void Return(std::uint32_t aFirst, std::uint32_t aSecond)
  {
    if (!taken_.empty() && queue_.Size() < 12) {
      const auto entry = std::next(taken_.begin(), aFirst % taken_.size());
      open_.insert(entry->first);
      queue_.Return(entry->second, clock_.Now() + milliseconds(aSecond % 300));
      taken_.erase(entry);
    }
  }
  /** Each ticket leaves the queue once: started, refused or cancelled. */
  void End(QueueTicket aTicket) { RC_ASSERT(open_.erase(aTicket) == 1U); }

  FakeClock clock_;
  RequestQueue queue_{ clock_, { .quantum_ = 1000, .maxPerWorkspace_ = 5, .maxTotal_ = 12 } };
  std::set<QueueTicket> open_;
  std::map<QueueTicket, QueueEntry> taken_;
};

/** Guards against a request that is both started and refused, lost, or started after its bound. */
TEST(QueueHistory, EveryRequestEndsOnce)
{
  RunHistories<EndsWorld>(2000, 20240601, 100);
}

/** Pushes and pops in one class; backlogged workspaces must get equal shares. */
class ShareWorld
{
public:
  static constexpr std::uint32_t kActions = 5;
  static std::string NameOf(std::uint32_t aAction) { return aAction < 2 ? "push" : "pop"; }

  void Run(std::uint32_t aAction, std::uint32_t aFirst, std::uint32_t aSecond)
  {
    if (aAction < 2) {
      // Some workspaces send large requests, some many small ones.
      const std::size_t workspace = aFirst % 4;
      const TokenCount tokens = 1 + aSecond % (workspace < 2 ? kLargest : kLargest / 20);
      for (std::uint32_t i = 0; i < 1 + aFirst % 7; ++i) {
        QueueEntry entry;
        entry.class_ = kClasses[0];
        entry.workspace_ = kWorkspaces[workspace];
        entry.tokens_ = tokens;
        entry.startBy_ = clock_.Now() + std::chrono::hours(1);
        RC_ASSERT(queue_.Push(entry, kClasses).refusal_ == QueueRefusal::None);
        if (queued_[workspace]++ == 0) {
          Restart(workspace);
        }
      }
      return;
    }
    const auto entry = queue_.Pop(kClasses);
    if (!entry) {
      return;
    }
    for (std::size_t i = 0; i < 4; ++i) {
      if (kWorkspaces[i] == entry->workspace_) {
        for (std::size_t other = 0; other < 4; ++other) {
          lead_[i][other] += entry->tokens_;
          lead_[other][i] -= entry->tokens_;
        }
        if (--queued_[i] == 0) {
          Restart(i);
        }
      }
    }
    for (std::size_t i = 0; i < 4; ++i) {
      for (std::size_t other = 0; other < 4; ++other) {
        if (i != other && queued_[i] > 0 && queued_[other] > 0) {
          RC_ASSERT(lead_[i][other] <= kQuantum + 2 * kLargest);
        }
      }
    }
  }
  void Finish() {}

private:
  static constexpr TokenCount kQuantum = 1000;
  static constexpr TokenCount kLargest = 2500;

  /** Shares are compared only while both workspaces have requests queued without a break. */
  void Restart(std::size_t aWorkspace)
  {
    for (std::size_t other = 0; other < 4; ++other) {
      lead_[aWorkspace][other] = 0;
      lead_[other][aWorkspace] = 0;
    }
  }

  FakeClock clock_;
  RequestQueue queue_{ clock_,
                       { .quantum_ = kQuantum, .maxPerWorkspace_ = 10000, .maxTotal_ = 10000 } };
  std::array<int, 4> queued_{};
  std::array<std::array<TokenCount, 4>, 4> lead_{};
};

/**
 * Guards against a workspace that gets less than its share while it is backlogged. The bound of
 * deficit round robin is one quantum and, at each end of the interval, one request that does not
 * fit.
 */
TEST(QueueHistory, BackloggedWorkspacesGetEqualShares)
{
  RunHistories<ShareWorld>(2000, 20240602, 200);
}

} // namespace
} // namespace laburnumweir
