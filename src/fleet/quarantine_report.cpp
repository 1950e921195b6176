/** @file quarantine_report.cpp What a host tells the others of crashes, in messages of limited
 * size. */
#include "fleet/quarantine.h"

#include "table/quarantine_const.h"

#include <algorithm>
#include <span>

namespace laburnumweir {

namespace {

using std::chrono::milliseconds;

// Quotes, comma and numbers of a row, and quotes and comma of a content.
constexpr std::size_t kRowBytes = 60;
constexpr std::size_t kContentBytes = 3;

milliseconds
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<milliseconds>(aDuration);
}

/** Adds the rows whose turn it is. All rows have the same turns, and each turn has as many rows as
 * fit, but one at least. */
void
AddRowsOfTurn(const std::vector<detail::ReportRow>& aRows,
              std::size_t aMaxBytes,
              std::size_t aTurn,
              QuarantineReport& aReport)
{
  std::vector<std::size_t> turns; // first rows
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < aRows.size(); ++i) {
    bytes += aRows[i].bytes_;
    if (turns.empty() || bytes > aMaxBytes) {
      turns.push_back(i);
      bytes = aRows[i].bytes_;
    }
  }
  if (turns.empty()) {
    return;
  }
  const auto turn = aTurn % turns.size();
  const auto end = turn + 1 < turns.size() ? turns[turn + 1] : aRows.size();
  for (auto i = turns[turn]; i < end; ++i) {
    aRows[i].add_(aReport);
  }
}

std::size_t
BytesOf(std::span<const HeldContent* const> aContents)
{
  std::size_t bytes = kRowBytes;
  for (const auto* content : aContents) {
    bytes += content->first.Value().size() + kContentBytes;
  }
  return bytes;
}

std::vector<ContentId>
IdsOf(std::span<const HeldContent* const> aContents)
{
  std::vector<ContentId> ids;
  ids.reserve(aContents.size());
  for (const auto* content : aContents) {
    ids.push_back(content->first);
  }
  return ids;
}

/** @return those of the contents without a begin since a time. */
std::vector<ContentId>
UnclearedIds(std::span<const HeldContent* const> aContents, TimePoint aSince)
{
  std::vector<ContentId> ids;
  for (const auto* content : aContents) {
    if (content->second.lastBegun_ <= aSince) {
      ids.push_back(content->first);
    }
  }
  return ids;
}

} // namespace

QuarantineReport
Quarantine::Report() const
{
  const auto now = clock_.Now();
  std::vector<detail::ReportRow> rows;
  std::vector<detail::ReportRow> longRows; // of suspects with many parts
  std::vector<detail::ReportRow> longEntries;
  for (const auto& entry : entries_) {
    const auto bytes = BytesOf(entry.contents_);
    if (entry.until_ - now < kMinReportedQuarantine || bytes > kMaxLongRowBytes) {
      continue;
    }
    const bool isLong = entry.contents_.size() > kMaxPartsOfRow;
    (isLong ? longEntries : rows).push_back({ bytes, [&entry, now](QuarantineReport& aReport) {
                                               aReport.entries_.push_back(
                                                 { IdsOf(entry.contents_),
                                                   ToMilliseconds(now - entry.since_),
                                                   ToMilliseconds(entry.until_ - now) });
                                             } });
  }
  AppendSuspects(rows, longRows);
  for (const auto& [content, time] : index_.RecentOfHeld()) {
    rows.push_back({ kRowBytes + content.Value().size(),
                     [&content = content, age = now - time](QuarantineReport& aReport) {
                       aReport.begun_.push_back({ content, ToMilliseconds(age) });
                     } });
  }
  QuarantineReport report;
  AddRowsOfTurn(rows, kMaxReportedBytes, reportTurn_, report);
  AddRowsOfTurn(longRows, kMaxReportedBytes, reportTurn_, report);
  if (reportTurn_ % kLongQuarantineTurns == 0) {
    AddRowsOfTurn(longEntries, kMaxReportedBytes, reportTurn_ / kLongQuarantineTurns, report);
  }
  return report;
}

void
Quarantine::AppendSuspects(std::vector<detail::ReportRow>& aRows,
                           std::vector<detail::ReportRow>& aLongRows) const
{
  const auto now = clock_.Now();
  const auto rowOf = [now](const HeldSuspect& aSuspect, std::vector<ContentId> aParts) {
    return CrashSuspect{ aSuspect.process_,
                         { std::move(aParts), aSuspect.request_->first },
                         ToMilliseconds(now - aSuspect.at_) };
  };
  std::size_t suspects = 0;
  std::size_t longSuspects = 0;
  for (const bool hasParts : { true, false }) {
    for (auto position = suspects_.All().rbegin(); position != suspects_.All().rend(); ++position) {
      const auto& suspect = *position;
      const std::span<const HeldContent* const> parts(suspect.parts_);
      const bool isLong = parts.size() > kMaxPartsOfRow;
      if (parts.empty() == hasParts ||
          now - suspect.at_ >= (isLong ? kLongCrashReportTime : kCrashReportTime)) {
        continue;
      }
      if (!isLong && ++suspects <= kMaxReportedSuspects) {
        aRows.push_back({ BytesOf(parts), [&suspect, rowOf](QuarantineReport& aReport) {
                           aReport.suspects_.push_back(rowOf(suspect, IdsOf(suspect.parts_)));
                         } });
      }
      if (!isLong || ++longSuspects > kMaxReportedSuspects) {
        continue;
      }
      for (std::size_t first = 0; first < parts.size(); first += kMaxPartsOfRow) {
        const auto piece = parts.subspan(first, std::min(kMaxPartsOfRow, parts.size() - first));
        aLongRows.push_back({ BytesOf(piece), [&suspect, piece, rowOf](QuarantineReport& aReport) {
                               // The begins that cleared the others may be forgotten elsewhere.
                               auto uncleared = UnclearedIds(piece, suspect.at_);
                               if (!uncleared.empty()) {
                                 aReport.suspects_.push_back(rowOf(suspect, std::move(uncleared)));
                               }
                             } });
      }
    }
  }
}

} // namespace laburnumweir
