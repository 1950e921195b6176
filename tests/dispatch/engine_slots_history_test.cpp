/** @file engine_slots_history_test.cpp Random histories of one engine, its owners and its users. */
#include "dispatch/clock_error_func.h"
#include "dispatch/engine_slots.h"
#include "dispatch/held_pins.h"

#include "dispatch/fake_clock.h"
#include "dispatch/history.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace laburnumweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kHosts = 3;
constexpr std::uint32_t kSlots = 3;
constexpr int kAdapters = 6;
const UpstreamId kEngine("e1");

/** The true state of the engine; it protects nothing by itself. */
struct TrueEngine
{
  struct Run
  {
    std::size_t host_ = 0;  ///< Host that sent it.
    RequestId request_;     ///< Request.
    AdapterRef adapter_;    ///< Adapter.
    TimePoint deadline_;    ///< Deadline of the request.
    bool hasHolder_ = true; ///< The host still reads the answer.
  };
  int epoch_ = 1;                 ///< Life.
  std::set<AdapterRef> resident_; ///< Adapters loaded.
  std::vector<Run> runs_;         ///< Requests that run.

  std::string Epoch() const { return "epoch-" + std::to_string(epoch_); }
  EngineReport Report() const
  {
    EngineReport report{ Epoch(), "base", kSlots, static_cast<std::uint32_t>(runs_.size()), {} };
    for (const AdapterRef& adapter : resident_) {
      const auto running = std::count_if(
        runs_.begin(), runs_.end(), [&](const Run& aRun) { return aRun.adapter_ == adapter; });
      report.resident_.push_back({ adapter, static_cast<std::uint32_t>(running) });
    }
    return report;
  }
};

/**
 * One engine, three hosts that use it, and owners that follow each other. Messages are lost on
 * either way, reports lag and come late, holders die or fall silent while their streams go on,
 * orders are answered late or not at all, and the engine restarts.
 */
class SlotWorld
{
public:
  static constexpr std::uint32_t kActions = 36;
  static std::string NameOf(std::uint32_t aAction)
  {
    static const std::array<const char*, kActions> kNames{
      "ask",    "ask",        "ask",     "ask",    "ask",  "poll",    "poll",    "poll",
      "poll",   "poll",       "send",    "send",   "send", "send",    "send",    "send",
      "finish", "finish",     "finish",  "cancel", "lose", "renew",   "renew",   "renew",
      "report", "report",     "report",  "load",   "load", "endload", "endload", "restart",
      "owner",  "takereport", "advance", "advance"
    };
    return kNames[aAction];
  }

  SlotWorld()
  {
    for (std::size_t i = 0; i < kHosts; ++i) {
      held_.emplace_back(clock_);
    }
    owners_.push_back({ std::make_unique<EngineSlots>(clock_, kSettings), 1, TimePoint::max() });
    views_.fill(1);
    Snapshot();
    clock_.Advance(seconds(1));
    owners_.back().slots_->OnReport(engine_.Report(), clock_.Now());
  }

  void Run(std::uint32_t aAction, std::uint32_t aFirst, std::uint32_t aSecond)
  {
    const std::string name = NameOf(aAction);
    const std::size_t host = aFirst % kHosts;
    if (name == "ask") {
      const RequestId request("r" + std::to_string(next_++));
      const AdapterRef adapter{ "a" + std::to_string(aSecond % kAdapters), "v1" };
      asked_.push_back({ host, request, adapter, clock_.Now() + seconds(2 + aSecond % 9) });
      Ask(asked_.back(), aFirst / kHosts % 8);
    } else if (name == "poll" && !asked_.empty()) {
      Ask(asked_[aFirst % asked_.size()], aSecond % 8);
    } else if (name == "send") {
      Send(aFirst);
    } else if (name == "finish") {
      Finish(aFirst, aSecond);
    } else if (name == "cancel") {
      Cancel(aFirst, aSecond);
    } else if (name == "lose") {
      // The host dies; its streams go on at the engine, and its grants are gone.
      if (aSecond % 8 == 0) {
        for (TrueEngine::Run& run : engine_.runs_) {
          run.hasHolder_ = run.hasHolder_ && run.host_ != host;
        }
        held_[host].Clear();
        std::erase_if(asked_, [&](const Asked& aAsked) { return aAsked.host_ == host; });
      }
    } else if (name == "renew") {
      if (Owner* owner = OwnerSeenBy(host); owner != nullptr && aSecond % 4 != 0) {
        owner->slots_->Renew(HostId("h" + std::to_string(host)),
                             held_[host].Renewals(kEngine, views_[host]));
      }
    } else if (name == "report") {
      // The state may lie before the question by the lag.
      const Duration lag = milliseconds(aFirst % (kReportLag / milliseconds(1)));
      reports_.push_back({ SnapshotAt(clock_.Now() - lag), clock_.Now() });
      if (aSecond % 2 == 0) {
        TakeReport(static_cast<std::uint32_t>(reports_.size() - 1));
      }
    } else if (name == "takereport") {
      TakeReport(aFirst);
    } else if (name == "load") {
      StartLoad(aSecond);
    } else if (name == "endload") {
      EndLoad(aFirst, aSecond);
    } else if (name == "restart") {
      if (aSecond % 30 == 0) {
        ++engine_.epoch_;
        engine_.resident_.clear();
        engine_.runs_.clear();
        orders_.clear();
      }
    } else if (name == "owner") {
      if (aSecond % 20 == 0) {
        ChangeOwner();
      }
    } else if (name == "advance") {
      Advance(milliseconds(1 + aFirst % 900), aSecond);
    }
    Snapshot();
  }
  void Finish() {}

private:
  static constexpr SlotSettings kSettings{ .slots_ = kSlots,
                                           .maxRunning_ = 6,
                                           .windowInitial_ = 4 };

  struct Owner
  {
    std::unique_ptr<EngineSlots> slots_; ///< State.
    std::uint64_t fencing_ = 0;          ///< Fencing token.
    TimePoint authorityEnds_;            ///< It is not fresh any more from then on.
  };
  struct Asked
  {
    std::size_t host_;
    RequestId request_;
    AdapterRef adapter_;
    TimePoint deadline_;
  };
  struct Order
  {
    std::size_t owner_;
    LoadOrder order_;
    TimePoint executeBy_;
    bool isExecuted_ = false;
    bool answerLost_ = false;
    int epoch_ = 0;
  };

  /** @return the owner in the view of a host, if it still may act. */
  Owner* OwnerSeenBy(std::size_t aHost)
  {
    for (Owner& owner : owners_) {
      if (owner.fencing_ == views_[aHost] && clock_.Now() < owner.authorityEnds_) {
        return &owner;
      }
    }
    return nullptr;
  }
  PinKey KeyOf(std::size_t aHost, const RequestId& aRequest) const
  {
    return { HostId("h" + std::to_string(aHost)), aRequest };
  }

  void Ask(const Asked& aAsked, std::uint32_t aLoss)
  {
    Owner* owner = OwnerSeenBy(aAsked.host_);
    if (owner == nullptr || aLoss == 0) {
      return;
    }
    const SlotRequest request{ KeyOf(aAsked.host_, aAsked.request_),
                               aAsked.adapter_,
                               aAsked.deadline_ };
    const std::uint32_t before = owner->slots_->InUse();
    const SlotAnswer answer = owner->slots_->Acquire(request);
    if (answer.verdict_ != SlotVerdict::Granted || IsUnderWay(aAsked.request_)) {
      return;
    }
    if (aLoss != 1) {
      held_[aAsked.host_].Add(aAsked.request_,
                              { kEngine,
                                aAsked.adapter_,
                                owner->slots_->Epoch(),
                                owner->fencing_,
                                {},
                                aAsked.deadline_,
                                false },
                              clock_.Now());
    }
    granted_[aAsked.request_] = aAsked;
    if (owner->slots_->InUse() > before) {
      RC_ASSERT(TrueUse() <= owner->slots_->WindowSize());
    }
  }
  bool IsUnderWay(const RequestId& aRequest) const { return sent_.contains(aRequest); }
  /** @return requests that run, and grants that can still be sent. */
  std::size_t TrueUse() const
  {
    std::size_t use = engine_.runs_.size();
    for (const auto& [request, asked] : granted_) {
      use += held_[asked.host_].TestSend(request, views_[asked.host_]) ? 1 : 0;
    }
    return use;
  }
  void Send(std::uint32_t aWhich)
  {
    if (granted_.empty()) {
      return;
    }
    const Asked asked = std::next(granted_.begin(), aWhich % granted_.size())->second;
    if (!held_[asked.host_].ExecSend(asked.request_, views_[asked.host_])) {
      return;
    }
    granted_.erase(asked.request_);
    std::erase_if(asked_, [&](const Asked& aOther) { return aOther.request_ == asked.request_; });
    sent_.insert(asked.request_);
    if (!engine_.resident_.contains(asked.adapter_)) {
      Release(asked.host_, asked.request_, RunEnd::Certain, 1);
      return;
    }
    engine_.runs_.push_back({ asked.host_, asked.request_, asked.adapter_, asked.deadline_, true });
    RC_ASSERT(engine_.runs_.size() <= kSettings.maxRunning_);
  }
  void Release(std::size_t aHost, const RequestId& aRequest, RunEnd aEnd, std::uint32_t aLoss)
  {
    held_[aHost].Remove(aRequest);
    if (Owner* owner = OwnerSeenBy(aHost); owner != nullptr && aLoss % 4 != 0) {
      owner->slots_->Release(KeyOf(aHost, aRequest), aEnd);
    }
  }
  void Finish(std::uint32_t aWhich, std::uint32_t aLoss)
  {
    if (engine_.runs_.empty()) {
      return;
    }
    const auto run =
      engine_.runs_.begin() + static_cast<std::ptrdiff_t>(aWhich % engine_.runs_.size());
    const TrueEngine::Run ended = *run;
    engine_.runs_.erase(run);
    if (ended.hasHolder_) {
      Release(ended.host_, ended.request_, RunEnd::Certain, aLoss);
      if (Owner* owner = OwnerSeenBy(ended.host_); owner != nullptr && aLoss % 3 != 0) {
        owner->slots_->OnEpoch(engine_.Epoch(), clock_.Now());
        owner->slots_->OnSuccess(milliseconds(100));
      }
    }
  }
  void Cancel(std::uint32_t aWhich, std::uint32_t aLoss)
  {
    if (engine_.runs_.empty()) {
      return;
    }
    TrueEngine::Run& run = engine_.runs_[aWhich % engine_.runs_.size()];
    if (run.hasHolder_) {
      run.hasHolder_ = false;
      Release(run.host_, run.request_, RunEnd::Uncertain, aLoss);
    }
  }
  void TakeReport(std::uint32_t aWhich)
  {
    if (reports_.empty()) {
      return;
    }
    const auto report = reports_.begin() + static_cast<std::ptrdiff_t>(aWhich % reports_.size());
    Owner& owner = owners_.back();
    if (clock_.Now() < owner.authorityEnds_) {
      owner.slots_->OnReport(report->first, report->second);
    }
    reports_.erase(report);
  }
  void StartLoad(std::uint32_t aSecond)
  {
    for (std::size_t i = 0; i < owners_.size(); ++i) {
      if (clock_.Now() >= owners_[i].authorityEnds_) {
        continue;
      }
      for (const AdapterRef& adapter : owners_[i].slots_->PendingLoads()) {
        if (const auto order = owners_[i].slots_->StartLoad(adapter)) {
          CheckVictim(order->evict_);
          orders_.push_back({ i, *order, clock_.Now() + kOrderTime, false, false, engine_.epoch_ });
          if (aSecond % 2 == 0) {
            Execute(orders_.back());
          }
          return;
        }
      }
    }
  }
  /** An adapter in use: a request runs on it, or a host may still send one. */
  void CheckVictim(const AdapterRef& aVictim) const
  {
    for (const TrueEngine::Run& run : engine_.runs_) {
      RC_ASSERT(run.adapter_ != aVictim);
    }
    for (const auto& [request, asked] : granted_) {
      RC_ASSERT(asked.adapter_ != aVictim ||
                !held_[asked.host_].TestSend(request, views_[asked.host_]) ||
                !engine_.resident_.contains(aVictim) || !IsCurrent(asked, request));
    }
  }
  /** A grant for an earlier life of the engine protects nothing in the present one. */
  bool IsCurrent(const Asked& aAsked, const RequestId& aRequest) const
  {
    const auto renewals = held_[aAsked.host_].Renewals(kEngine, views_[aAsked.host_]);
    return std::any_of(renewals.begin(), renewals.end(), [&](const PinRenewal& aPin) {
      return aPin.request_ == aRequest && aPin.epoch_ == engine_.Epoch();
    });
  }
  void Execute(Order& aOrder)
  {
    if (aOrder.isExecuted_ || aOrder.epoch_ != engine_.epoch_) {
      return;
    }
    aOrder.isExecuted_ = true;
    CheckVictim(aOrder.order_.evict_);
    engine_.resident_.erase(aOrder.order_.evict_);
    if (engine_.resident_.size() < kSlots) {
      engine_.resident_.insert(aOrder.order_.adapter_);
    }
  }
  void EndLoad(std::uint32_t aWhich, std::uint32_t aOutcome)
  {
    if (orders_.empty()) {
      return;
    }
    const std::size_t index = aWhich % orders_.size();
    Order& order = orders_[index];
    EngineSlots& slots = *owners_[order.owner_].slots_;
    if (order.answerLost_) {
      return;
    }
    if (aOutcome % 20 == 0) {
      slots.LoadFinished(order.order_.number_, LoadOutcome::Unknown);
      order.answerLost_ = true;
      return;
    }
    if (aOutcome % 20 == 1 && !order.isExecuted_) {
      slots.LoadFinished(order.order_.number_, LoadOutcome::Failed);
    } else {
      Execute(order);
      const bool isLoaded = engine_.resident_.contains(order.order_.adapter_);
      slots.LoadFinished(order.order_.number_,
                         isLoaded ? LoadOutcome::Loaded : LoadOutcome::Failed);
    }
    orders_.erase(orders_.begin() + static_cast<std::ptrdiff_t>(index));
  }
  void ChangeOwner()
  {
    // The old owner may act until it is no longer fresh; hosts fold the change within that time.
    Owner& old = owners_.back();
    if (old.authorityEnds_ != TimePoint::max()) {
      return;
    }
    const TimePoint ends = clock_.Now() + kFreshnessBound;
    old.authorityEnds_ = ends;
    owners_.push_back(
      { std::make_unique<EngineSlots>(clock_, kSettings), old.fencing_ + 1, TimePoint::max() });
    owners_.back().slots_->TakeOver(clock_.Now() + WithClockError(kFreshnessBound));
  }
  void Advance(Duration aTime, std::uint32_t aSecond)
  {
    clock_.Advance(aTime);
    for (std::size_t host = 0; host < kHosts; ++host) {
      const Owner& newest = owners_.back();
      const bool mustFold =
        owners_.size() > 1 && clock_.Now() >= owners_[owners_.size() - 2].authorityEnds_;
      if (mustFold || (aSecond >> host) % 2 == 0) {
        views_[host] = newest.fencing_;
      }
    }
    std::erase_if(engine_.runs_, [&](const TrueEngine::Run& aRun) {
      return clock_.Now() >= aRun.deadline_ + kOrphanedRunGrace;
    });
    std::erase_if(asked_, [&](const Asked& aAsked) { return clock_.Now() >= aAsked.deadline_; });
    // An order that was sent takes effect within its time, or never.
    for (Order& order : orders_) {
      if (!order.isExecuted_ && clock_.Now() >= order.executeBy_) {
        order.isExecuted_ = true;
      }
    }
    std::erase_if(orders_,
                  [](const Order& aOrder) { return aOrder.isExecuted_ && aOrder.answerLost_; });
    for (Owner& owner : owners_) {
      if (clock_.Now() < owner.authorityEnds_) {
        owner.slots_->Tick();
        owner.slots_->TakeNotices();
      }
    }
  }
  void Snapshot()
  {
    snapshots_.push_back({ clock_.Now(), engine_ });
    while (snapshots_.front().first + seconds(3) < clock_.Now()) {
      snapshots_.pop_front();
    }
  }
  EngineReport SnapshotAt(TimePoint aTime) const
  {
    const TrueEngine* latest = &snapshots_.front().second;
    for (const auto& [time, engine] : snapshots_) {
      latest = time <= aTime ? &engine : latest;
    }
    return latest->Report();
  }

  /** Longest way of an order; shorter than a takeover, which the engine's fencing backs up. */
  static constexpr Duration kOrderTime = seconds(2);

  FakeClock clock_;
  TrueEngine engine_;
  std::vector<Owner> owners_;
  std::array<std::uint64_t, kHosts> views_{};
  std::vector<HeldPins> held_;
  std::vector<Asked> asked_;
  std::map<RequestId, Asked> granted_;
  std::set<RequestId> sent_;
  std::vector<Order> orders_;
  std::vector<std::pair<EngineReport, TimePoint>> reports_;
  std::deque<std::pair<TimePoint, TrueEngine>> snapshots_;
  int next_ = 0;
};

/**
 * Guards against the eviction of an adapter in use and against more requests than the window, also
 * when owners change, messages are lost, and hosts die while their streams go on.
 */
TEST(EngineSlotsHistory, NeverEvictsAnAdapterInUseNorExceedsTheWindow)
{
  RunHistories<SlotWorld>(4000, 20240606, 1500);
}

} // namespace
} // namespace laburnumweir
