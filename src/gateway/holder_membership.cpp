/** @file holder_membership.cpp Membership of this host in the group of engine holders. */
#include "gateway/holder_membership.h"

#include "logging/logging_func.h"

#include <string>

namespace laburnumweir {

void
HolderMembership::Leave()
{
  isLeaving_ = true;
  LeaveGroup();
}

void
HolderMembership::SetAway(bool aIsAway)
{
  if (isLeaving_ || isAway_ == aIsAway) {
    return;
  }
  isAway_ = aIsAway;
  if (isAway_) {
    LeaveGroup();
  }
}

void
HolderMembership::LeaveGroup()
{
  ++term_;
  context_.lease_.OnMembershipLost();
  context_.store_.LeaveGroup(settings_.memberId_, [](std::error_code aError) {
    LogEvent(LogLevel::Info, "group_left", { { "error", aError ? aError.message() : "" } });
  });
}

void
HolderMembership::Join()
{
  if (isLeaving_) {
    return;
  }
  if (isAway_) {
    ScheduleJoin();
    return;
  }
  const auto sentAt = context_.clock_.Now();
  auto callback = [weak = weak_from_this(), sentAt, term = term_](
                    std::error_code aError, const GroupMembership& aMembership) {
    const auto self = weak.lock();
    if (!self || self->isLeaving_) {
      return;
    }
    // The answer may be that to a membership that was given up meanwhile.
    if (self->term_ == term) {
      self->OnJoined(sentAt, aError, aMembership);
    }
    self->ScheduleJoin();
  };
  context_.store_.JoinGroup(settings_.memberId_,
                            context_.lease_.GroupGeneration(),
                            settings_.memberTimeout_,
                            std::move(callback));
}

void
HolderMembership::ScheduleJoin()
{
  context_.scheduler_.After(settings_.joinInterval_, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->Join();
    }
  });
}

void
HolderMembership::OnJoined(TimePoint aSentAt,
                           std::error_code aError,
                           const GroupMembership& aMembership)
{
  auto& lease = context_.lease_;
  if (isJoined_ != !aError) {
    isJoined_ = !aError;
    LogEvent(isJoined_ ? LogLevel::Info : LogLevel::Warn,
             isJoined_ ? "group_joined" : "group_lost",
             { { "error", aError ? aError.message() : "" } });
  }
  if (aError != make_error_code(StoreError::Unreachable)) {
    OnEra(aMembership.era_);
  }
  hasTriedJoin_ = true;
  if (aError == make_error_code(StoreError::NotMember) && aMembership.era_ == lease.Era()) {
    lease.OnMembershipLost();
  }
  if (!aError && lease.OnMembership(aSentAt, aMembership)) {
    std::string partitions;
    for (const auto partition : aMembership.partitions_) {
      partitions += (partitions.empty() ? "" : ",") + std::to_string(partition);
    }
    LogEvent(LogLevel::Info,
             "partitions_held",
             { { "era", std::to_string(aMembership.era_) },
               { "generation", std::to_string(aMembership.generation_) },
               { "partitions", partitions } });
  }
}

void
HolderMembership::OnEra(StoreEra aEra)
{
  // After a lost join the records that this host wrote at its start may be of an older era.
  const bool isRestored = hasTriedJoin_ && aEra > context_.lease_.Era();
  context_.lease_.OnEra(aEra);
  if (isRestored) {
    LogEvent(LogLevel::Info, "group_restored", { { "era", std::to_string(aEra) } });
    context_.onStoreRestored_();
  }
}

} // namespace laburnumweir
