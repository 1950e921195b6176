/** @file quarantine_service_test.cpp Tests which quarantines are written to the store and read. */
#include "gateway/quarantine_service.h"

#include "gateway/gateway_support.h"
#include "table/quarantine_const.h"

#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing::NiceMock;
using Contents = std::vector<ContentId>;

class QuarantineServiceTest : public testing::Test
{
protected:
  QuarantineServiceTest()
  {
    ON_CALL(store_, WriteQuarantine)
      .WillByDefault([this](const QuarantineRecord& aRecord, const auto& aCallback) {
        if (!isStoreDown_) {
          stored_[aRecord.contents_] = aRecord;
        }
        aCallback(isStoreDown_ ? make_error_code(StoreError::Unreachable) : std::error_code());
      });
    ON_CALL(store_, RemoveQuarantine)
      .WillByDefault([this](std::span<const ContentId> aContents, const auto& aCallback) {
        stored_.erase(Contents(aContents.begin(), aContents.end()));
        aCallback({});
      });
    service_->Start();
  }

  void CrashThree(const Contents& aContents)
  {
    for (int i = 0; i < 3; ++i) {
      scheduler_.Run(200ms);
      ++process_;
      quarantine_.OnCut({ UpstreamId("u"), process_ },
                        { aContents, ContentId("request:" + std::to_string(process_)) });
    }
  }
  std::vector<QuarantineRecord> Stored() const
  {
    std::vector<QuarantineRecord> records;
    for (const auto& [contents, record] : stored_) {
      records.push_back(record);
    }
    return records;
  }

  FakeClock clock_;
  testing_support::FakeScheduler scheduler_{ clock_ };
  NiceMock<testing_support::MockStore> store_;
  Quarantine quarantine_{ clock_ };
  std::map<Contents, QuarantineRecord> stored_; ///< Records in the store.
  bool isStoreDown_ = false;
  bool isReader_ = true; ///< Whether the host updates records.
  std::shared_ptr<QuarantineService> service_ =
    std::make_shared<QuarantineService>(store_, quarantine_, clock_, scheduler_, [this] {
      return isReader_;
    });
  std::int64_t process_ = 0; ///< Start time of the last process that crashed.
};

const Contents kBad{ ContentId("bad") };
const Contents kBadAndRare{ ContentId("bad"), ContentId("rare") };

// Guards against a fleet that learns anew, at the cost of three upstreams, what it knew before all
// its hosts were killed.
TEST_F(QuarantineServiceTest, HostsThatStartLearnWhatTheStoreHolds)
{
  isReader_ = false;
  CrashThree(kBad);
  scheduler_.Run(300ms);
  Quarantine restarted(clock_);
  QuarantineService(store_, restarted, clock_, scheduler_, [] { return false; }).OnStored(Stored());
  EXPECT_TRUE(restarted.TimeLeft({ kBad, {} }));
}

TEST_F(QuarantineServiceTest, RepeatsFailedWrites)
{
  isStoreDown_ = true;
  CrashThree(kBad);
  scheduler_.Run(2s);
  EXPECT_TRUE(stored_.empty());
  isStoreDown_ = false;
  scheduler_.Run(1s);
  EXPECT_EQ(stored_.size(), 1U);
}

// Guards against a wrong quarantine that comes back with each restart after it was lifted.
TEST_F(QuarantineServiceTest, StoreReadersUpdateRecords)
{
  CrashThree(kBadAndRare);
  scheduler_.Run(300ms);
  EXPECT_TRUE(stored_.contains(kBadAndRare));
  quarantine_.OnBegun({ UpstreamId("sound"), 1 }, clock_.Now(), { { kBadAndRare[1] }, {} });
  scheduler_.Run(300ms);
  EXPECT_EQ(stored_.size(), 1U);
  EXPECT_TRUE(stored_.contains(kBad));
  quarantine_.OnBegun({ UpstreamId("sound"), 1 }, clock_.Now(), { kBad, {} });
  scheduler_.Run(300ms);
  EXPECT_TRUE(stored_.empty());
}

// Guards against memory that grows with each content that is cleared of a long combination: each
// change leaves a record that may have to be removed.
TEST_F(QuarantineServiceTest, EndsOfALongCombinationAreLimited)
{
  Contents parts;
  for (int i = 0; i < 1800; ++i) {
    parts.emplace_back("p" + std::to_string(1000 + i));
  }
  CrashThree(parts);
  scheduler_.Run(300ms);
  for (std::size_t i = 0; i < 40; ++i) {
    quarantine_.OnBegun({ UpstreamId("sound"), 1 }, clock_.Now(), { { parts[i] }, {} });
    scheduler_.Run(300ms);
  }
  ASSERT_EQ(stored_.size(), 1U);
  EXPECT_EQ(stored_.begin()->first.size(), parts.size() - 40);
  std::size_t removed = 0;
  ON_CALL(store_, RemoveQuarantine)
    .WillByDefault([&](std::span<const ContentId> aContents, const auto& aCallback) {
      removed += aContents.size();
      aCallback({});
    });
  service_->WriteAll();
  scheduler_.Run(2s);
  EXPECT_GT(removed, 0U);
  EXPECT_LE(removed, kMaxEndedContents);
}

// Guards against hosts that start after the store was restored and run what crashes upstreams: the
// copy is older than the quarantine. And against a quarantine that comes back: the copy is older
// than its end.
TEST_F(QuarantineServiceTest, StoreReadersWriteTheirStateToARestoredStore)
{
  const Contents lifted{ ContentId("lifted") };
  CrashThree(lifted);
  scheduler_.Run(300ms);
  const auto copy = stored_;
  CrashThree(kBad);
  const auto end = clock_.Now() + kQuarantineTime;
  quarantine_.OnBegun({ UpstreamId("sound"), 1 }, clock_.Now(), { lifted, {} });
  scheduler_.Run(300ms);
  ASSERT_EQ(stored_.size(), 1U);
  stored_ = copy;
  isReader_ = false;
  service_->WriteAll();
  scheduler_.Run(2s);
  EXPECT_TRUE(stored_.contains(lifted)) << "of all hosts only a few write";
  isReader_ = true;
  service_->WriteAll();
  const auto until = clock_.WallNow() + (end - clock_.Now());
  scheduler_.Run(2s);
  ASSERT_EQ(stored_.size(), 1U);
  ASSERT_TRUE(stored_.contains(kBad));
  EXPECT_LE(stored_.at(kBad).until_, until);
  EXPECT_GE(stored_.at(kBad).until_, until - 10ms);
}

// Guards against a quarantine that comes back on all hosts, which read the records of the hosts
// again after the store was restored from a copy that is older than the end of the quarantine.
TEST_F(QuarantineServiceTest, AppliesRecordsOnlyAtTheStart)
{
  service_->OnStored({});
  const std::vector<QuarantineRecord> records{ { kBad, clock_.WallNow() + 100s } };
  service_->OnStored(records);
  EXPECT_FALSE(quarantine_.TimeLeft({ kBad, {} }));
}

TEST_F(QuarantineServiceTest, IgnoresRecordsThatHaveEndedAndLimitsTheOthers)
{
  const Contents ended{ ContentId("ended") };
  const std::vector<QuarantineRecord> records{ { ended, clock_.WallNow() - 1s },
                                               { kBad, clock_.WallNow() + 100h } };
  service_->OnStored(records);
  EXPECT_FALSE(quarantine_.TimeLeft({ ended, {} }));
  const auto left = quarantine_.TimeLeft({ kBad, {} });
  ASSERT_TRUE(left);
  EXPECT_LE(*left, kQuarantineTime) << "the time of day of the writer was wrong";
}

} // namespace
} // namespace laburnumweir
