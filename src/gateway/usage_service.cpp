/** @file usage_service.cpp Counts the requests of this host and exchanges counts with the holder.
 */
#include "gateway/usage_service.h"

#include "core/hash_func.h"
#include "table/usage_const.h"

#include <utility>

namespace laburnumweir {

namespace {

/** @return the cells divided into parts that fit into a datagram each. The last cells are left out
 * if there are too many. */
std::vector<std::vector<UsageCell>>
Divide(std::vector<UsageCell> aCells)
{
  constexpr std::size_t kNumberBytes = 24; // window, count and separators
  std::vector<std::vector<UsageCell>> parts;
  std::size_t bytes = kMaxUsageBytes;
  for (auto& cell : aCells) {
    const auto size = kNumberBytes + cell.workspace_.Value().size();
    if (bytes + size > kMaxUsageBytes) {
      if (parts.size() == kMaxUsageDatagrams) {
        break;
      }
      parts.emplace_back();
      bytes = 0;
    }
    bytes += size;
    parts.back().push_back(std::move(cell));
  }
  return parts;
}

} // namespace

UsageService::UsageService(const UsageContext& aContext, UsageProcess aSelf)
  : context_(aContext)
  , self_(std::move(aSelf))
{
  sources_.emplace(self_, Source(context_.reporter_.Scale()));
}

void
UsageService::Start()
{
  // Hosts that start at the same time send at different times, so that their datagrams do not fill
  // the receive buffer of the holder.
  const Duration phase(RendezvousWeight(self_.host_.Value(), "usage") %
                       static_cast<std::uint64_t>(kUsageSendInterval.count()));
  context_.scheduler_.After(phase, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      RepeatWhileAlive(self->context_.scheduler_, kUsageSendInterval, weak, [service = self.get()] {
        service->SendCounts();
      });
    }
  });
}

void
UsageService::OnBegun(const WorkspaceId& aWorkspace)
{
  sources_.at(self_).counter_.Record(aWorkspace, context_.clock_.WallNow());
}

void
UsageService::Collect(const UsageProcess& aProcess, std::span<const UsageCell> aCells)
{
  const auto newest =
    context_.reporter_.Scale().WindowAt(context_.time_.Now()) + kUsageSpareWindows;
  context_.counts_.Add(aProcess, aCells, context_.reporter_.FirstOpen(), newest);
}

bool
UsageService::Keep(const UsageProcess& aProcess,
                   const HostRecord& aFrom,
                   std::span<const UsageCell> aCells)
{
  auto source = sources_.find(aProcess);
  if (source == sources_.end()) {
    if (sources_.size() > kMaxUsageBackups) {
      return false;
    }
    source = sources_.emplace(aProcess, Source(context_.reporter_.Scale())).first;
    source->second.origin_ = aFrom.gossip_;
  }
  source->second.counter_.Raise(aCells, context_.clock_.WallNow());
  return true;
}

std::optional<Endpoint>
UsageService::BackupHost() const
{
  std::optional<Endpoint> backup;
  std::uint64_t highest = 0;
  for (const auto& peer : context_.peers_.LivePeers()) {
    const auto weight = RendezvousWeight(peer.host_.id_.Value(), "usage-backup");
    if (!backup || weight > highest) {
      backup = peer.host_.gossip_;
      highest = weight;
    }
  }
  return backup;
}

void
UsageService::SendCounts()
{
  const auto wallTime = context_.clock_.WallNow();
  context_.time_.Expire();
  for (auto& [process, source] : sources_) {
    source.counter_.Expire(wallTime);
  }
  std::erase_if(sources_, [this](const auto& aItem) {
    return aItem.first != self_ && aItem.second.counter_.Counts(0).empty();
  });
  const bool isHolder = context_.lease_.HeldSince().has_value();
  if (isHolder) {
    context_.time_.OnWallTime(self_.host_, wallTime);
  }
  const auto holder = context_.peers_.HolderOf(kUsagePartition);
  for (auto& [process, source] : sources_) {
    if (!isHolder) {
      // A process that is the holder has its own counts.
      SendSource(process, source, holder == source.origin_ ? std::nullopt : holder, false);
      continue;
    }
    Collect(process, source.counter_.Counts(context_.reporter_.FirstOpen()));
    if (process == self_) {
      source.firstOpen_ = context_.reporter_.FirstOpen();
      SendSource(process, source, BackupHost(), true);
    }
  }
}

void
UsageService::SendSource(const UsageProcess& aProcess,
                         Source& aSource,
                         const std::optional<Endpoint>& aTarget,
                         bool aIsBackup)
{
  if (aTarget != aSource.target_) {
    aSource.target_ = aTarget;
    aSource.counter_.ForgetConfirmed();
    aSource.firstOpen_ = 0;
    aSource.open_.clear();
  }
  if (!aTarget || aSource.counter_.Counts(aSource.firstOpen_).empty()) {
    return;
  }
  auto parts = Divide(aSource.counter_.Unconfirmed(aSource.firstOpen_));
  if (parts.empty()) {
    // The answer tells whether the receiver has lost the confirmed counts.
    parts.emplace_back();
  }
  for (auto& part : parts) {
    UsageMessage message;
    message.number_ = ++lastNumber_;
    message.wallTime_ = context_.clock_.WallNow();
    message.cells_ = part;
    message.isBackup_ = aIsBackup;
    if (aProcess != self_) {
      message.origin_ = aProcess;
    }
    aSource.open_[message.number_] = std::move(part);
    context_.sender_.SendUsage(*aTarget, message);
  }
  while (aSource.open_.size() > kMaxOpenUsageMessages) {
    aSource.open_.erase(aSource.open_.begin());
  }
}

void
UsageService::OnMessage(const HostRecord& aFrom,
                        std::int64_t aStartedAt,
                        const UsageMessage& aMessage)
{
  const UsageProcess sender{ aFrom.id_, aStartedAt };
  if (const auto& confirmation = aMessage.confirmation_) {
    OnConfirmed({ sender, confirmation->term_ }, *confirmation);
  }
  if (aMessage.number_ == 0) {
    return;
  }
  UsageMessage answer;
  if (context_.lease_.HeldSince()) {
    // The lease may be newer than the last tick of the reporter, which then discards the counts;
    // the term in the next confirmation shows that.
    context_.time_.OnWallTime(aFrom.id_, aMessage.wallTime_);
    Collect(aMessage.origin_.value_or(sender), aMessage.cells_);
    answer.confirmation_ = UsageConfirmation{ aMessage.number_,
                                              context_.reporter_.Term(),
                                              context_.reporter_.FirstOpen() };
  } else if (aMessage.isBackup_ && Keep(sender, aFrom, aMessage.cells_)) {
    answer.confirmation_ = UsageConfirmation{ aMessage.number_, 0, 0 };
  } else {
    return;
  }
  context_.sender_.SendUsage(aFrom.gossip_, answer);
}

void
UsageService::OnConfirmed(const Collector& aCollector, const UsageConfirmation& aConfirmation)
{
  for (auto& [process, source] : sources_) {
    const auto found = source.open_.find(aConfirmation.number_);
    if (found == source.open_.end()) {
      continue;
    }
    if (source.collector_ != aCollector) {
      source.collector_ = aCollector;
      source.counter_.ForgetConfirmed();
    }
    source.counter_.Confirm(found->second);
    source.open_.erase(found);
    source.firstOpen_ = aConfirmation.firstOpen_;
  }
}

} // namespace laburnumweir
