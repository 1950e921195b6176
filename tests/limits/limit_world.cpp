/** @file limit_world.cpp Hosts with drifting clocks, a faulty network and a membership log. */
#include "limits/limit_world.h"

#include "core/hash_func.h"
#include "limits/baseline_limiter.h"
#include "limits/token_holder.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace laburnumweir::testing {

using std::chrono::milliseconds;

namespace {

/** Interval at which hosts renew their evidence. */
constexpr Duration kRefresh = milliseconds(250);
/** TCP/IP and framing of one message, half of the 128 bytes measured for an exchange. */
constexpr std::uint64_t kFraming = 64;

/** Clock of a host: starts anywhere and runs fast or slow. */
class DriftingClock : public Clock
{
public:
  DriftingClock(const Duration& aNow, Duration aOffset, double aError)
    : now_(aNow)
    , offset_(aOffset)
    , error_(aError)
  {
  }
  TimePoint Now() const override
  {
    const auto drift = static_cast<std::int64_t>(static_cast<double>(now_.count()) * error_);
    return TimePoint(now_ + offset_ + Duration(drift));
  }
  WallTime WallNow() const override
  {
    return WallTime(std::chrono::duration_cast<WallTime::duration>(now_));
  }

private:
  const Duration& now_; ///< True time.
  Duration offset_;     ///< Start.
  double error_;        ///< Rate error.
};

std::uint64_t
VarintSize(std::uint64_t aValue)
{
  std::uint64_t size = 1;
  while (aValue >= 128) {
    aValue >>= 7;
    ++size;
  }
  return size;
}

/** Size of fields as protobuf writes them: a tag byte and the value; zeros are left out. */
std::uint64_t
FieldSize(std::initializer_list<std::int64_t> aValues)
{
  std::uint64_t size = 0;
  for (const std::int64_t value : aValues) {
    size += value == 0 ? 0 : 1 + VarintSize(static_cast<std::uint64_t>(value));
  }
  return size;
}

std::uint64_t
EnvelopeSize(const WorkspaceId& aWorkspace, const HolderId& aHolder)
{
  return 6 + 2 + aWorkspace.Value().size() + 2 + aHolder.host_.Value().size() +
         FieldSize({ static_cast<std::int64_t>(aHolder.incarnation_) });
}

std::uint64_t
SizeOf(const GrantRequest& aRequest)
{
  std::uint64_t size = EnvelopeSize(aRequest.workspace_, aRequest.holder_);
  size += FieldSize({ static_cast<std::int64_t>(aRequest.epoch_),
                      static_cast<std::int64_t>(aRequest.account_),
                      static_cast<std::int64_t>(aRequest.sequence_),
                      aRequest.granted_,
                      aRequest.debt_,
                      aRequest.demand_,
                      aRequest.queued_,
                      aRequest.head_ });
  for (const BatchReport& batch : aRequest.batches_) {
    size +=
      2 +
      FieldSize(
        { static_cast<std::int64_t>(batch.batch_), batch.taken_, batch.returned_, batch.spent_ });
  }
  return size;
}

std::uint64_t
SizeOf(const GrantAnswer& aAnswer)
{
  return 6 + FieldSize({ static_cast<std::int64_t>(aAnswer.epoch_),
                         static_cast<std::int64_t>(aAnswer.sequence_),
                         aAnswer.granted_,
                         aAnswer.keep_,
                         aAnswer.renewAfter_ / milliseconds(1),
                         aAnswer.availableIn_ / milliseconds(1) });
}

std::uint64_t
SizeOf(const SingleRequest& aRequest)
{
  return EnvelopeSize(aRequest.workspace_, aRequest.holder_) +
         FieldSize({ static_cast<std::int64_t>(aRequest.epoch_),
                     static_cast<std::int64_t>(aRequest.sequence_),
                     aRequest.tokens_ });
}

std::uint64_t
SizeOf(const SingleAnswer& aAnswer)
{
  return 6 + FieldSize({ static_cast<std::int64_t>(aAnswer.epoch_),
                         static_cast<std::int64_t>(aAnswer.sequence_),
                         aAnswer.isGranted_ ? 1 : 0,
                         aAnswer.availableIn_ / milliseconds(1) });
}

} // namespace

/** A record of the membership stream. */
struct LimitWorld::Membership
{
  Duration at_{};                                          ///< Time of the append.
  std::vector<std::optional<std::uint64_t>> incarnations_; ///< By host; none = no member.
  std::vector<HostId> owners_;                             ///< By workspace.
  std::size_t members_ = 0;                                ///< Number of members.
};

/** A host and its process. */
struct LimitWorld::Host
{
  /** A submitted request that is not settled. */
  struct Request
  {
    std::size_t workspace_ = 0; ///< Workspace.
    TokenCount tokens_ = 0;     ///< Upper bound.
    TokenCount spent_ = 0;      ///< True count.
    Duration runs_{};           ///< Time until it is settled.
    Duration submitted_{};      ///< True time.
  };

  HostId name_;                                               ///< Name.
  std::uint64_t life_ = 0;                                    ///< Incarnation; 0 = never started.
  bool isAlive_ = false;                                      ///< Whether the process runs.
  Duration pausedUntil_{};                                    ///< End of a pause.
  Duration logCutUntil_{};                                    ///< End of a cut from the log.
  Duration peersCutUntil_{};                                  ///< End of a cut from the peers.
  std::unique_ptr<DriftingClock> clock_;                      ///< Clock.
  std::unique_ptr<TokenLimiter> limiter_;                     ///< Limiter.
  std::map<std::size_t, std::unique_ptr<BucketOwner>> owned_; ///< Owned workspaces.
  std::map<ReservationId, Request> requests_;                 ///< Waiting or running.
  std::size_t folded_ = 0;                                    ///< Membership records folded.
  std::size_t rules_ = 0;                                     ///< Rules folded.
  std::vector<std::function<void()>> inbox_;                  ///< What arrived during a pause.
};

LimitWorld::LimitWorld(const WorldOptions& aOptions)
  : options_(aOptions)
  , random_(aOptions.seed_)
{
  for (std::size_t i = 0; i < options_.workspaces_; ++i) {
    names_.emplace_back("workspace-" + std::to_string(i));
  }
  rules_.emplace_back(Duration::zero(), options_.rule_);
  for (std::size_t i = 0; i < options_.hosts_; ++i) {
    hosts_.push_back(std::make_unique<Host>());
    hosts_.back()->name_ = HostId("host-" + std::to_string(i));
    const auto parts = static_cast<std::int64_t>(random_.Below(2001)) - 1000;
    const double error = options_.clockError_ * static_cast<double>(parts) / 1000.0;
    const Duration offset = milliseconds(random_.Below(1'000'000));
    hosts_.back()->clock_ = std::make_unique<DriftingClock>(now_, offset, error);
  }
  Append(std::vector<std::optional<std::uint64_t>>(options_.hosts_, 1));
  for (std::size_t i = 0; i < options_.hosts_; ++i) {
    Start(i);
  }
}

LimitWorld::~LimitWorld() = default;

void
LimitWorld::At(Duration aTime, std::function<void()> aAction)
{
  events_.emplace(std::pair(aTime, nextEvent_++), std::move(aAction));
}

void
LimitWorld::Run(Duration aTime)
{
  const Duration end = now_ + aTime;
  while (!events_.empty() && events_.begin()->first.first <= end) {
    auto event = events_.extract(events_.begin());
    now_ = std::max(now_, event.key().first);
    event.mapped()();
  }
  now_ = end;
}

bool
LimitWorld::IsAlive(std::size_t aHost) const
{
  return hosts_[aHost]->isAlive_;
}

HostId
LimitWorld::OwnerAt(std::size_t aRecord, std::size_t aWorkspace) const
{
  return log_[aRecord].owners_[aWorkspace];
}

std::size_t
LimitWorld::OwnerOf(std::size_t aWorkspace) const
{
  const HostId owner = OwnerAt(log_.size() - 1, aWorkspace);
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (hosts_[i]->name_ == owner) {
      return i;
    }
  }
  return 0;
}

void
LimitWorld::Append(std::vector<std::optional<std::uint64_t>> aIncarnations)
{
  Membership record{ now_, std::move(aIncarnations), {}, 0 };
  std::vector<HostId> members;
  for (std::size_t i = 0; i < record.incarnations_.size(); ++i) {
    if (record.incarnations_[i]) {
      members.push_back(hosts_[i]->name_);
    }
  }
  record.members_ = members.size();
  for (const WorkspaceId& name : names_) {
    record.owners_.push_back(RendezvousOwner(members, name.Value()));
  }
  log_.push_back(std::move(record));
}

void
LimitWorld::Start(std::size_t aHost)
{
  Host& host = *hosts_[aHost];
  if (host.isAlive_) {
    return;
  }
  ++host.life_;
  host.isAlive_ = true;
  host.pausedUntil_ = {};
  host.owned_.clear();
  host.requests_.clear();
  host.inbox_.clear();
  host.folded_ = 0;
  host.rules_ = 0;
  const HolderId self{ host.name_, host.life_ };
  switch (options_.way_) {
    case LimitWay::Chunks:
      host.limiter_ = std::make_unique<TokenHolder>(self, *host.clock_, options_.settings_);
      break;
    case LimitWay::Split:
      host.limiter_ = std::make_unique<StaticSplitLimiter>(*host.clock_, options_.settings_);
      break;
    case LimitWay::Single:
      host.limiter_ = std::make_unique<SingleGrantLimiter>(self, *host.clock_, options_.settings_);
      break;
  }
  auto incarnations = log_.back().incarnations_;
  if (incarnations[aHost] != host.life_) {
    incarnations[aHost] = host.life_;
    Append(std::move(incarnations));
  }
  const std::uint64_t life = host.life_;
  At(now_ + milliseconds(random_.Below(20)), [this, aHost, life] { TickHost(aHost, life); });
  At(now_ + milliseconds(random_.Below(50)), [this, aHost, life] { Refresh(aHost, life); });
}

void
LimitWorld::Kill(std::size_t aHost)
{
  Host& host = *hosts_[aHost];
  if (!host.isAlive_) {
    return;
  }
  host.isAlive_ = false;
  counts_.lost_ += host.requests_.size();
  host.requests_.clear();
  host.owned_.clear();
  const std::uint64_t life = host.life_;
  At(now_ + options_.detection_, [this, aHost, life] {
    if (log_.back().incarnations_[aHost] == life) {
      Remove(aHost);
    }
  });
}

void
LimitWorld::Remove(std::size_t aHost)
{
  auto incarnations = log_.back().incarnations_;
  const auto members = std::count_if(incarnations.begin(),
                                     incarnations.end(),
                                     [](const auto& aEntry) { return aEntry.has_value(); });
  if (members > 1 && incarnations[aHost]) {
    incarnations[aHost].reset();
    Append(std::move(incarnations));
  }
}

void
LimitWorld::Pause(std::size_t aHost, Duration aTime)
{
  Host& host = *hosts_[aHost];
  if (!host.isAlive_ || host.pausedUntil_ > now_) {
    return;
  }
  host.pausedUntil_ = now_ + aTime;
  const std::uint64_t life = host.life_;
  At(host.pausedUntil_, [this, aHost, life] {
    Host& resumed = *hosts_[aHost];
    if (resumed.life_ != life || !resumed.isAlive_) {
      return;
    }
    for (auto& action : std::exchange(resumed.inbox_, {})) {
      action();
    }
  });
}

void
LimitWorld::CutLog(std::size_t aHost, Duration aTime)
{
  hosts_[aHost]->logCutUntil_ = now_ + aTime;
}

void
LimitWorld::CutPeers(std::size_t aHost, Duration aTime)
{
  hosts_[aHost]->peersCutUntil_ = now_ + aTime;
}

void
LimitWorld::Drain(std::size_t aHost)
{
  Deliver(aHost, [this, aHost] {
    LimitOutput output;
    hosts_[aHost]->limiter_->Drain(output);
    Handle(aHost, output);
  });
}

void
LimitWorld::SetRule(const BucketRule& aRule)
{
  rules_.emplace_back(now_, aRule);
}

void
LimitWorld::Deliver(std::size_t aHost, std::function<void()> aAction)
{
  Host& host = *hosts_[aHost];
  if (!host.isAlive_) {
    return;
  }
  if (host.pausedUntil_ > now_) {
    host.inbox_.push_back(std::move(aAction));
    return;
  }
  aAction();
}

void
LimitWorld::TickHost(std::size_t aHost, std::uint64_t aLife)
{
  Host& host = *hosts_[aHost];
  if (!host.isAlive_ || host.life_ != aLife) {
    return;
  }
  if (host.pausedUntil_ <= now_) {
    LimitOutput output;
    host.limiter_->Tick(output);
    Handle(aHost, output);
  }
  At(std::max(now_ + options_.tick_, host.pausedUntil_),
     [this, aHost, aLife] { TickHost(aHost, aLife); });
}

void
LimitWorld::Refresh(std::size_t aHost, std::uint64_t aLife)
{
  Host& host = *hosts_[aHost];
  if (!host.isAlive_ || host.life_ != aLife) {
    return;
  }
  if (host.pausedUntil_ <= now_ && host.logCutUntil_ <= now_) {
    // The answer tells of the log's end when the question was sent, the least that the rule allows.
    const TimePoint evidence = host.clock_->Now();
    const std::size_t records = log_.size();
    const std::size_t rules = rules_.size();
    const Duration delay = options_.latency_ + milliseconds(random_.Below(20));
    At(now_ + delay, [this, aHost, aLife, records, rules, evidence] {
      if (hosts_[aHost]->life_ == aLife) {
        Deliver(aHost, [this, aHost, aLife, records, rules, evidence] {
          if (hosts_[aHost]->life_ == aLife) {
            Fold(aHost, records, rules, evidence);
          }
        });
      }
    });
  }
  At(std::max(now_ + kRefresh, host.pausedUntil_), [this, aHost, aLife] { Refresh(aHost, aLife); });
}

void
LimitWorld::Fold(std::size_t aHost, std::size_t aRecords, std::size_t aRules, TimePoint aEvidence)
{
  Host& host = *hosts_[aHost];
  if (aRecords < host.folded_ || aRules < host.rules_) {
    return;
  }
  for (; host.rules_ < aRules; ++host.rules_) {
    for (const WorkspaceId& name : names_) {
      host.limiter_->SetRule(name, rules_[host.rules_].second);
    }
    for (auto& [workspace, owner] : host.owned_) {
      owner->SetRule(rules_[host.rules_].second);
    }
  }
  const BucketRule& rule = rules_[host.rules_ - 1].second;
  for (; host.folded_ < aRecords; ++host.folded_) {
    const Membership& record = log_[host.folded_];
    const bool isMember = record.incarnations_[aHost] == host.life_;
    for (std::size_t i = 0; i < names_.size(); ++i) {
      if (!isMember || record.owners_[i] != host.name_) {
        host.owned_.erase(i);
      } else if (!host.owned_.contains(i)) {
        host.owned_.emplace(i,
                            std::make_unique<BucketOwner>(
                              names_[i], rule, host.folded_ + 1, *host.clock_, options_.settings_));
      }
    }
  }
  for (auto& [workspace, owner] : host.owned_) {
    owner->SetMembership(host.folded_, aEvidence);
  }
  // A host that was removed does not admit until it has joined again.
  if (log_[host.folded_ - 1].incarnations_[aHost] == host.life_) {
    host.limiter_->SetMembership(host.folded_, aEvidence, log_[host.folded_ - 1].members_);
  }
}

void
LimitWorld::Transmit(std::size_t aFrom, std::size_t aTo, const std::function<void()>& aDeliver)
{
  ++counts_.messages_;
  const auto isCut = [this](std::size_t aHost) { return hosts_[aHost]->peersCutUntil_ > now_; };
  if (aFrom != aTo && (isCut(aFrom) || isCut(aTo))) {
    return;
  }
  const auto hits = [this](int aPercent) {
    return aPercent > 0 && random_.Below(100) < static_cast<std::uint64_t>(aPercent);
  };
  if (hits(faults_.lost_)) {
    return;
  }
  const int copies = hits(faults_.duplicated_) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    Duration delay = options_.latency_ + std::chrono::microseconds(random_.Below(500));
    if (hits(faults_.delayed_)) {
      delay += milliseconds(random_.Below(static_cast<std::uint64_t>(
        std::max<std::int64_t>(1, faults_.maxDelay_ / milliseconds(1)))));
    }
    At(now_ + delay, [this, aTo, aDeliver] { Deliver(aTo, aDeliver); });
  }
}

void
LimitWorld::SendRequest(std::size_t aFrom, const LimitMessage& aMessage)
{
  const WorkspaceId& workspace = std::visit(
    [](const auto& aRequest) -> const WorkspaceId& { return aRequest.workspace_; }, aMessage);
  const auto index =
    static_cast<std::size_t>(std::find(names_.begin(), names_.end(), workspace) - names_.begin());
  Host& from = *hosts_[aFrom];
  const HostId owner = OwnerAt(from.folded_ - 1, index);
  const std::uint64_t life = from.life_;
  std::size_t to = 0;
  while (hosts_[to]->name_ != owner) {
    ++to;
  }
  counts_.bytes_ +=
    kFraming + std::visit([](const auto& aRequest) { return SizeOf(aRequest); }, aMessage);
  Transmit(aFrom, to, [this, aFrom, to, life, index, aMessage] {
    const auto owned = hosts_[to]->owned_.find(index);
    if (owned == hosts_[to]->owned_.end()) {
      return;
    }
    std::visit(
      [&](const auto& aRequest) {
        const auto answer = owned->second->Handle(aRequest);
        counts_.bytes_ += kFraming + SizeOf(answer);
        Transmit(to, aFrom, [this, aFrom, life, answer] {
          if (hosts_[aFrom]->life_ == life) {
            LimitOutput output;
            hosts_[aFrom]->limiter_->Receive(answer, output);
            Handle(aFrom, output);
          }
        });
      },
      aMessage);
  });
}

void
LimitWorld::Handle(std::size_t aHost, LimitOutput& aOutput)
{
  for (const LimitMessage& message : aOutput.messages_) {
    SendRequest(aHost, message);
  }
  for (const LocalReservation& decision : aOutput.decisions_) {
    Decided(aHost, decision);
  }
}

void
LimitWorld::Decided(std::size_t aHost, const LocalReservation& aDecision)
{
  Host& host = *hosts_[aHost];
  const auto found = host.requests_.find(aDecision.id_);
  if (found == host.requests_.end()) {
    return;
  }
  const Host::Request request = found->second;
  if (aDecision.status_ == ReserveStatus::Refused) {
    ++counts_.refused_;
    host.requests_.erase(found);
    return;
  }
  ++counts_.granted_;
  counts_.waits_.push_back(now_ - request.submitted_);
  admissions_.push_back(
    Admission{ now_, request.workspace_, std::min(request.tokens_, request.spent_) });
  const std::uint64_t life = host.life_;
  const ReservationId id = aDecision.id_;
  At(now_ + request.runs_, [this, aHost, life, id, request] {
    if (hosts_[aHost]->life_ != life) {
      return;
    }
    Deliver(aHost, [this, aHost, life, id, request] {
      Host& settling = *hosts_[aHost];
      if (settling.life_ != life) {
        return;
      }
      settling.requests_.erase(id);
      excess_ += std::max<TokenCount>(0, request.spent_ - request.tokens_);
      LimitOutput output;
      settling.limiter_->Settle(id, request.spent_, output);
      Handle(aHost, output);
    });
  });
}

void
LimitWorld::Submit(std::size_t aHost,
                   std::size_t aWorkspace,
                   TokenCount aTokens,
                   TokenCount aSpent,
                   Duration aRuns)
{
  Host& host = *hosts_[aHost];
  if (!host.isAlive_) {
    return;
  }
  ++counts_.submitted_;
  const Duration submitted = now_;
  Deliver(aHost, [this, aHost, aWorkspace, aTokens, aSpent, aRuns, submitted] {
    Host& serving = *hosts_[aHost];
    LimitOutput output;
    LocalReservation result = serving.limiter_->Reserve(names_[aWorkspace], aTokens, output);
    if (result.id_ == 0) {
      ++counts_.refused_;
    } else {
      serving.requests_.emplace(result.id_,
                                Host::Request{ aWorkspace, aTokens, aSpent, aRuns, submitted });
      if (result.status_ != ReserveStatus::Waiting) {
        Decided(aHost, result);
      }
    }
    Handle(aHost, output);
  });
}

double
LimitWorld::Overspend() const
{
  // An owner or holder may follow an older rule for this long.
  const Duration slack =
    options_.settings_.freshnessBound_ + options_.settings_.lease_ + milliseconds(1000);
  const auto ruleAt = [&](Duration aFrom, Duration aTo) {
    BucketRule most;
    for (std::size_t i = 0; i < rules_.size(); ++i) {
      const bool hasEnded = i + 1 < rules_.size() && rules_[i + 1].first + slack <= aFrom;
      if (!hasEnded && rules_[i].first <= aTo) {
        most.rate_ = std::max(most.rate_, rules_[i].second.rate_);
        most.burst_ = std::max(most.burst_, rules_[i].second.burst_);
      }
    }
    return most;
  };
  double worst = 0;
  // A window is judged by the largest burst in it: one pass for each burst, over the parts of the
  // run that have no larger one.
  for (const auto& [since, judged] : rules_) {
    const auto burst = static_cast<double>(judged.burst_);
    for (std::size_t workspace = 0; workspace < names_.size(); ++workspace) {
      // Largest sum of a window that ends here, less what the rate allows for its length.
      double above = 0;
      Duration last{};
      for (const Admission& admission : admissions_) {
        if (admission.workspace_ != workspace) {
          continue;
        }
        const BucketRule rule = ruleAt(last, admission.at_);
        const double elapsed = std::chrono::duration<double>(admission.at_ - last).count();
        last = admission.at_;
        if (rule.burst_ > judged.burst_) {
          above = 0;
          continue;
        }
        above -= elapsed * static_cast<double>(rule.rate_) * (1 + options_.clockError_);
        above = std::max(above, 0.0) + static_cast<double>(admission.tokens_);
        worst = std::max(worst, above - burst - 1);
      }
    }
  }
  return worst;
}

} // namespace laburnumweir::testing
