/** @file once_reader.cpp Decides for one partition which attempts may run. */
#include "once/once_reader.h"

#include <algorithm>
#include <utility>

namespace laburnumweir {

namespace {

OnceAnswer
MakeAnswer(OnceDecision aDecision, std::string aMessage = {})
{
  OnceAnswer answer;
  answer.decision_ = aDecision;
  answer.message_ = std::move(aMessage);
  return answer;
}

} // namespace

OnceReader::OnceReader(ReaderId aId, const Clock& aClock, const OnceSettings& aSettings)
  : id_(std::move(aId))
  , clock_(aClock)
  , settings_(aSettings)
  , ledger_(aSettings)
{
}

void
OnceReader::Enqueue(OnceRecord aRecord)
{
  std::string id = EncodeOnceRecord(aRecord, 0).id_;
  if (outgoing_.contains(id)) {
    return;
  }
  queue_.push_back(id);
  outgoing_.emplace(std::move(id), Outgoing{ std::move(aRecord), Stage::Queued, clock_.Now() });
}

void
OnceReader::Answer(const OnceBegin& aBegin, OnceAnswer aAnswer, OnceOutput& aOutput)
{
  aAnswer.key_ = aBegin.key_;
  aAnswer.attempt_ = aBegin.attempt_;
  aOutput.answers_.push_back(std::move(aAnswer));
}

OnceAnswer
OnceReader::FromEntry(const OnceEntry& aEntry, const OnceBegin& aBegin) const
{
  if (aEntry.requestDigest_ != aBegin.requestDigest_) {
    return MakeAnswer(OnceDecision::OtherRequest);
  }
  if (aEntry.state_ == OnceState::Done) {
    OnceAnswer answer = MakeAnswer(OnceDecision::Replay);
    answer.outcome_ = aEntry.outcome_;
    return answer;
  }
  return MakeAnswer(aEntry.attempt_ == aBegin.attempt_ ? OnceDecision::AlreadyPermitted
                                                       : OnceDecision::Unknown);
}

void
OnceReader::Begin(const OnceBegin& aBegin, OnceOutput& aOutput)
{
  for (const AttemptId& attempt : aBegin.abandoned_) {
    Report(OnceReport{ aBegin.key_, attempt, true, {} }, aOutput);
  }
  if (pending_.contains(aBegin.attempt_)) {
    return;
  }
  if (pending_.size() >= settings_.maxPending_) {
    Answer(aBegin, MakeAnswer(OnceDecision::NotRun, "too many undecided attempts"), aOutput);
    return;
  }
  Pending& pending = pending_[aBegin.attempt_];
  pending.begin_ = aBegin;
  pending.since_ = clock_.Now();
  if (isReady_) {
    Decide(pending, aOutput);
  }
}

void
OnceReader::Decide(const Pending& aPending, OnceOutput& aOutput)
{
  const OnceBegin begin = aPending.begin_;
  if (ledger_.IsClosed(begin.attempt_)) {
    Finish(begin.attempt_, MakeAnswer(OnceDecision::NotRun, "the attempt was given up"), aOutput);
    return;
  }
  const OnceEntry* entry = ledger_.Find(begin.key_, clock_.WallNow());
  if (entry != nullptr && !IsBeingReleased(*entry)) {
    Finish(begin.attempt_, FromEntry(*entry, begin), aOutput);
    return;
  }
  const auto [leader, isNew] = leaders_.emplace(begin.key_, begin.attempt_);
  if (!isNew && leader->second != begin.attempt_) {
    followers_[begin.key_].insert(begin.attempt_);
    return;
  }
  OnceRecord record;
  record.key_ = begin.key_;
  record.attempt_ = begin.attempt_;
  record.requestDigest_ = begin.requestDigest_;
  record.reader_ = id_;
  Enqueue(std::move(record));
}

bool
OnceReader::IsBeingReleased(const OnceEntry& aEntry) const
{
  OnceRecord release;
  release.kind_ = OnceRecordKind::Release;
  release.attempt_ = aEntry.attempt_;
  return aEntry.state_ == OnceState::Begun && outgoing_.contains(EncodeOnceRecord(release, 0).id_);
}

void
OnceReader::Finish(const AttemptId& aAttempt, OnceAnswer aAnswer, OnceOutput& aOutput)
{
  const auto found = pending_.find(aAttempt);
  if (found == pending_.end()) {
    return;
  }
  const OnceBegin begin = std::move(found->second.begin_);
  pending_.erase(found);
  Answer(begin, std::move(aAnswer), aOutput);
  if (const auto followers = followers_.find(begin.key_); followers != followers_.end()) {
    followers->second.erase(aAttempt);
  }
  const auto leader = leaders_.find(begin.key_);
  if (leader != leaders_.end() && leader->second == aAttempt) {
    leaders_.erase(leader);
    WakeFollowers(begin.key_, aOutput);
  }
}

void
OnceReader::WakeFollowers(const OnceKey& aKey, OnceOutput& aOutput)
{
  const auto found = followers_.find(aKey);
  if (found == followers_.end()) {
    return;
  }
  const std::set<AttemptId> attempts = std::move(found->second);
  followers_.erase(found);
  for (const AttemptId& attempt : attempts) {
    if (const auto pending = pending_.find(attempt); pending != pending_.end()) {
      Decide(pending->second, aOutput);
    }
  }
}

void
OnceReader::Report(const OnceReport& aReport, OnceOutput& aOutput)
{
  OnceRecord record;
  record.kind_ = aReport.isReleased_ ? OnceRecordKind::Release : OnceRecordKind::Outcome;
  record.key_ = aReport.key_;
  record.attempt_ = aReport.attempt_;
  record.outcome_ = aReport.outcome_;
  if (aReport.isReleased_) {
    Finish(aReport.attempt_, MakeAnswer(OnceDecision::NotRun, "the attempt was given up"), aOutput);
    if (ledger_.IsClosed(aReport.attempt_)) {
      aOutput.stored_.push_back(OnceStored{ aReport.attempt_ });
      return;
    }
  }
  Enqueue(std::move(record));
}

std::vector<NewRecord>
OnceReader::TakeAppend()
{
  std::vector<NewRecord> records;
  const TimePoint now = clock_.Now();
  if (isAppending_ || queue_.empty() || now < appendAfter_) {
    return records;
  }
  const bool isFull = queue_.size() >= settings_.maxBatch_;
  if (!isFull && now < outgoing_.at(queue_.front()).since_ + settings_.batchWait_) {
    return records;
  }
  while (!queue_.empty() && records.size() < settings_.maxBatch_) {
    Outgoing& outgoing = outgoing_.at(queue_.front());
    outgoing.stage_ = Stage::Appending;
    records.push_back(EncodeOnceRecord(outgoing.record_, settings_.maxBody_));
    appending_.push_back(std::move(queue_.front()));
    queue_.pop_front();
  }
  isAppending_ = true;
  return records;
}

void
OnceReader::OnAppend(AppendResult aResult, OnceOutput& aOutput)
{
  const TimePoint now = clock_.Now();
  const bool hadNoEffect = aResult == AppendResult::NoEffect;
  isAppending_ = false;
  if (hadNoEffect) {
    appendAfter_ = now + settings_.backoff_;
  }
  const std::vector<std::string> ids = std::exchange(appending_, {});
  std::vector<std::string> again;
  for (const std::string& id : ids) {
    const auto found = outgoing_.find(id);
    if (found == outgoing_.end()) {
      continue; // Read back before the answer came.
    }
    Outgoing& outgoing = found->second;
    outgoing.since_ = now;
    if (!hadNoEffect) {
      outgoing.stage_ = aResult == AppendResult::Done ? Stage::Appended : Stage::InDoubt;
    } else if (outgoing.record_.kind_ == OnceRecordKind::Begin) {
      const AttemptId attempt = outgoing.record_.attempt_;
      outgoing_.erase(found);
      Finish(attempt, MakeAnswer(OnceDecision::NotRun, "the log is not available"), aOutput);
    } else {
      outgoing.stage_ = Stage::Queued;
      again.push_back(id);
    }
  }
  queue_.insert(queue_.begin(), again.begin(), again.end());
}

void
OnceReader::Apply(const OnceFold& aFold, OnceOutput& aOutput)
{
  const OnceRecord& record = aFold.record_;
  if (aFold.effect_ == OnceFold::Effect::None && record.attempt_.IsEmpty()) {
    return;
  }
  const std::string id = EncodeOnceRecord(record, 0).id_;
  const bool wasOurs = outgoing_.contains(id);
  if (wasOurs && outgoing_.at(id).stage_ == Stage::Queued) {
    std::erase(queue_, id);
  }
  outgoing_.erase(id);
  switch (aFold.effect_) {
    case OnceFold::Effect::Won: {
      OnceAnswer answer = MakeAnswer(OnceDecision::Permit);
      answer.validity_ = settings_.permitValidity_;
      if (record.reader_ != id_) {
        answer = MakeAnswer(OnceDecision::AlreadyPermitted);
      }
      Finish(record.attempt_, std::move(answer), aOutput);
      break;
    }
    case OnceFold::Effect::Lost:
      if (const auto pending = pending_.find(record.attempt_); pending != pending_.end()) {
        const OnceEntry* entry = ledger_.Find(record.key_, clock_.WallNow());
        OnceAnswer answer = MakeAnswer(OnceDecision::Unknown);
        if (entry != nullptr) {
          // A new attempt wins once the release is in the log.
          answer = IsBeingReleased(*entry) ? MakeAnswer(OnceDecision::AlreadyPermitted)
                                           : FromEntry(*entry, pending->second.begin_);
        }
        Finish(record.attempt_, std::move(answer), aOutput);
      }
      break;
    case OnceFold::Effect::Stored:
    case OnceFold::Effect::Released:
      if (wasOurs) {
        aOutput.stored_.push_back(OnceStored{ record.attempt_ });
      }
      break;
    case OnceFold::Effect::None:
      Finish(record.attempt_, MakeAnswer(OnceDecision::AlreadyPermitted), aOutput);
      break;
  }
}

void
OnceReader::OnRead(const ReadResult& aResult, OnceOutput& aOutput)
{
  if (aResult.first_ > ledger_.NextOffset()) {
    ledger_.Restart(aResult.first_);
  }
  for (const LogRecord& record : aResult.records_) {
    if (record.offset_ < ledger_.NextOffset()) {
      continue;
    }
    if (record.offset_ > ledger_.NextOffset()) {
      return; // Not a continuation; the caller reads again from NextOffset().
    }
    Apply(ledger_.Fold(record), aOutput);
  }
  if (!isReady_ && ledger_.NextOffset() >= aResult.end_) {
    isReady_ = true;
    std::vector<AttemptId> waiting;
    for (const auto& [attempt, pending] : pending_) {
      waiting.push_back(attempt);
    }
    for (const AttemptId& attempt : waiting) {
      if (const auto pending = pending_.find(attempt); pending != pending_.end()) {
        Decide(pending->second, aOutput);
      }
    }
  }
}

void
OnceReader::Tick(OnceOutput& aOutput)
{
  const TimePoint now = clock_.Now();
  std::vector<AttemptId> late;
  for (const auto& [attempt, pending] : pending_) {
    if (pending.since_ + settings_.maxWait_ <= now) {
      late.push_back(attempt);
    }
  }
  for (const AttemptId& attempt : late) {
    // A begin that is not in the log yet must not be appended any more.
    OnceRecord record;
    record.attempt_ = attempt;
    const auto outgoing = outgoing_.find(EncodeOnceRecord(record, 0).id_);
    if (outgoing != outgoing_.end() && outgoing->second.stage_ != Stage::Appending) {
      std::erase(queue_, outgoing->first);
      outgoing_.erase(outgoing);
    }
    Finish(attempt, MakeAnswer(OnceDecision::NotRun, "the log did not answer in time"), aOutput);
  }
  for (auto& [id, outgoing] : outgoing_) {
    const bool isOpen = outgoing.stage_ == Stage::InDoubt || outgoing.stage_ == Stage::Appended;
    if (isOpen && outgoing.since_ + settings_.readBack_ <= now) {
      outgoing.stage_ = Stage::Queued;
      outgoing.since_ = now;
      queue_.push_back(id);
    }
  }
}

} // namespace laburnumweir
