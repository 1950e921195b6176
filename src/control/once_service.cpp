/** @file once_service.cpp Readers of the at-most-once partitions that this host owns. */
#include "control/once_service.h"

#include "control/once_wire_func.h"
#include "core/hash_func.h"
#include "once/once_record_func.h"

namespace laburnumweir {

namespace {

using namespace std::chrono_literals;

constexpr Duration kTickInterval = 50ms;
constexpr Duration kReadRetry = 200ms;
constexpr std::size_t kMaxReadRecords = 1000;
// The log answers a waiting read as soon as there is a record.
constexpr std::chrono::milliseconds kReadWait = 5s;
constexpr std::size_t kProcessNameBytes = 8;

AppendResult
ResultOf(std::error_code aError)
{
  if (!aError) {
    return AppendResult::Done;
  }
  const bool hasNoEffect = aError == LogError::Refused || aError == LogError::Unreachable;
  return hasNoEffect ? AppendResult::NoEffect : AppendResult::InDoubt;
}

/** Makes the sender ask again, by then at the new reader. */
void
AnswerUnsupported(const PeerTransport::Responder& aRespond)
{
  wire::Envelope answer;
  answer.mutable_unsupported();
  aRespond(std::move(answer));
}

void
AnswerNotRun(const PeerTransport::Responder& aRespond, std::string aMessage)
{
  OnceAnswer answer;
  answer.decision_ = OnceDecision::NotRun;
  answer.message_ = std::move(aMessage);
  aRespond(ToWire(answer));
}

} // namespace

OnceService::OnceService(PeerRouter& aRouter,
                         const ConfigView& aView,
                         const Clock& aClock,
                         Scheduler& aScheduler,
                         LogClient& aLog,
                         const OnceSettings& aSettings)
  : router_(aRouter)
  , view_(aView)
  , clock_(aClock)
  , scheduler_(aScheduler)
  , log_(aLog)
  , settings_(aSettings)
  , process_(SecureRandomHex(kProcessNameBytes))
{
  router_.Handle(wire::Envelope::kOnceBegin,
                 [this](const wire::Envelope& aRequest, const PeerTransport::Responder& aRespond) {
                   ServeBegin(aRequest, aRespond);
                 });
  router_.Handle(wire::Envelope::kOnceReport,
                 [this](const wire::Envelope& aRequest, const PeerTransport::Responder& aRespond) {
                   ServeReport(aRequest, aRespond);
                 });
}

void
OnceService::Start()
{
  RepeatWhileAlive(scheduler_, kTickInterval, weak_from_this(), [this] { Tick(); });
}

void
OnceService::OnRecord(const ConfigState& aState)
{
  for (std::uint32_t number = 0; number < settings_.partitions_; ++number) {
    const bool isOwner = aState.OwnerOfPartition(number) == router_.Self();
    const auto found = partitions_.find(number);
    if (!isOwner && found != partitions_.end()) {
      DropPartition(number);
    } else if (isOwner && found == partitions_.end()) {
      const std::uint64_t tenure = ++tenures_;
      const ReaderId id(router_.Self().Value() + "/" + process_ + "/" + std::to_string(tenure));
      auto partition = std::make_shared<Partition>(
        Partition{ tenure, OnceStreamName(number), OnceReader(id, clock_, settings_), false });
      partitions_[number] = partition;
      Read(partition);
    }
  }
}

void
OnceService::OnJump(const ConfigState& aState)
{
  // A reader needs no lease: the offset order of the stream decides between two of them.
  OnRecord(aState);
}

void
OnceService::DropPartition(std::uint32_t aNumber)
{
  partitions_.erase(aNumber);
  std::erase_if(begins_, [aNumber](const auto& aEntry) {
    if (aEntry.second.partition_ != aNumber) {
      return false;
    }
    // Only the reader that appended a begin can permit it, so an attempt that waits here never
    // runs.
    AnswerNotRun(aEntry.second.respond_, "the reader of the partition has changed");
    return true;
  });
  std::erase_if(reports_, [aNumber](const auto& aEntry) {
    if (aEntry.second.partition_ == aNumber) {
      AnswerUnsupported(aEntry.second.respond_);
      return true;
    }
    return false;
  });
}

OnceService::PartitionPointer
OnceService::Find(const OnceKey& aKey) const
{
  const auto found = partitions_.find(PartitionOf(aKey, settings_.partitions_));
  return found == partitions_.end() ? nullptr : found->second;
}

bool
OnceService::IsCurrent(const PartitionPointer& aPartition) const
{
  for (const auto& [number, partition] : partitions_) {
    if (partition == aPartition) {
      return true;
    }
  }
  return false;
}

void
OnceService::ServeBegin(const wire::Envelope& aRequest, const PeerTransport::Responder& aRespond)
{
  const OnceBegin begin = FromWire(aRequest.once_begin());
  const auto partition = Find(begin.key_);
  if (!partition) {
    AnswerNotRun(aRespond, "the host asked does not read this partition");
    return;
  }
  begins_[begin.attempt_] = { PartitionOf(begin.key_, settings_.partitions_), aRespond };
  OnceOutput output;
  partition->reader_.Begin(begin, output);
  Deliver(output);
  AppendSoon(partition);
}

void
OnceService::ServeReport(const wire::Envelope& aRequest, const PeerTransport::Responder& aRespond)
{
  const OnceReport report = FromWire(aRequest.once_report());
  const auto partition = Find(report.key_);
  if (!partition) {
    AnswerUnsupported(aRespond);
    return;
  }
  reports_[report.attempt_] = { PartitionOf(report.key_, settings_.partitions_), aRespond };
  OnceOutput output;
  partition->reader_.Report(report, output);
  Deliver(output);
  AppendSoon(partition);
}

void
OnceService::AppendSoon(const PartitionPointer& aPartition)
{
  Append(aPartition);
  if (aPartition->isAppending_) {
    return;
  }
  // Records wait a little for others, so that one append carries several.
  scheduler_.After(settings_.batchWait_, [this, weak = weak_from_this(), aPartition] {
    if (!weak.expired() && IsCurrent(aPartition)) {
      Append(aPartition);
    }
  });
}

void
OnceService::Tick()
{
  // Copied, since answers can lead to changes of the map.
  const auto partitions = partitions_;
  for (const auto& [number, partition] : partitions) {
    OnceOutput output;
    partition->reader_.Tick(output);
    Deliver(output);
    Append(partition);
  }
}

void
OnceService::Read(const PartitionPointer& aPartition)
{
  const auto wait = aPartition->reader_.IsReady() ? kReadWait : std::chrono::milliseconds(0);
  log_.Read(
    aPartition->stream_,
    aPartition->reader_.NextOffset(),
    kMaxReadRecords,
    wait,
    [this, weak = weak_from_this(), aPartition](std::error_code aError, const ReadResult& aResult) {
      if (weak.expired() || !IsCurrent(aPartition)) {
        return;
      }
      if (aError) {
        scheduler_.After(kReadRetry, [this, weak, aPartition] {
          if (!weak.expired() && IsCurrent(aPartition)) {
            Read(aPartition);
          }
        });
        return;
      }
      OnceOutput output;
      aPartition->reader_.OnRead(aResult, output);
      Deliver(output);
      Read(aPartition);
    });
}

void
OnceService::Append(const PartitionPointer& aPartition)
{
  if (aPartition->isAppending_ || !view_.MayAct()) {
    return;
  }
  auto records = aPartition->reader_.TakeAppend();
  if (records.empty()) {
    return;
  }
  aPartition->isAppending_ = true;
  log_.Append(aPartition->stream_,
              std::move(records),
              [this, weak = weak_from_this(), aPartition](std::error_code aError, LogOffset) {
                if (weak.expired()) {
                  return;
                }
                aPartition->isAppending_ = false;
                OnceOutput output;
                aPartition->reader_.OnAppend(ResultOf(aError), output);
                Deliver(output);
                if (IsCurrent(aPartition)) {
                  Append(aPartition);
                }
              });
}

void
OnceService::Deliver(const OnceOutput& aOutput)
{
  for (const auto& answer : aOutput.answers_) {
    const auto found = begins_.find(answer.attempt_);
    if (found == begins_.end() || answer.decision_ == OnceDecision::Wait) {
      continue;
    }
    const auto respond = std::move(found->second.respond_);
    begins_.erase(found);
    respond(ToWire(answer));
  }
  for (const auto& stored : aOutput.stored_) {
    const auto found = reports_.find(stored.attempt_);
    if (found == reports_.end()) {
      continue;
    }
    const auto respond = std::move(found->second.respond_);
    reports_.erase(found);
    wire::Envelope answer;
    answer.mutable_done();
    respond(std::move(answer));
  }
}

} // namespace laburnumweir
