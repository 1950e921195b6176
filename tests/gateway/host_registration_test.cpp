/** @file host_registration_test.cpp Tests that hosts that start at the same time learn of each
 * other. */
#include "gateway/host_registration.h"

#include "gateway/gateway_support.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing::NiceMock;

class HostRegistrationTest : public testing::Test
{
protected:
  HostRegistrationTest()
  {
    // Writes take longer than reads, as in a log that processes appends one at a time.
    ON_CALL(store_, PublishHost)
      .WillByDefault([this](const HostRecord& aRecord, const auto& aCallback) {
        writeTime_ += 3ms;
        scheduler_.After(writeTime_, [this, aRecord, aCallback] {
          if (!isDown_) {
            records_.hosts_.push_back(aRecord);
          }
          aCallback(isDown_ ? make_error_code(StoreError::Unreachable) : std::error_code());
        });
      });
    ON_CALL(store_, ReadHostTopic).WillByDefault([this](const auto& aCallback) {
      scheduler_.After(2ms, [this, aCallback] {
        aCallback(isDown_ ? make_error_code(StoreError::Unreachable) : std::error_code(), records_);
      });
    });
  }

  /** @return registration of a host; the hosts that it reads are added to read_. */
  std::shared_ptr<HostRegistration> Make(const std::string& aId)
  {
    return std::make_shared<HostRegistration>(
      store_,
      scheduler_,
      HostRecord{ HostId(aId), { "10.0.0.1", 7600 }, DataCentreId("dc1") },
      [this, aId](const HostTopicRecords& aRecords) {
        for (const auto& host : aRecords.hosts_) {
          read_[aId].push_back(host.id_.Value());
        }
      });
  }
  bool Knows(const std::string& aHost, const std::string& aOther)
  {
    const auto& read = read_[aHost];
    return std::find(read.begin(), read.end(), aOther) != read.end();
  }

  FakeClock clock_;
  testing_support::FakeScheduler scheduler_{ clock_ };
  NiceMock<testing_support::MockStore> store_;
  HostTopicRecords records_; ///< Records in the store.
  std::map<std::string, std::vector<std::string>> read_;
  Duration writeTime_{};
  bool isDown_ = false;
};

// Guards against two store readers that never learn of each other, since each read the records
// before the other had written its own; gossip tells store readers only of hosts that are none.
TEST_F(HostRegistrationTest, OfTwoHostsThatStartTogetherOneReadsTheOther)
{
  std::vector<std::shared_ptr<HostRegistration>> hosts;
  for (const auto* id : { "h1", "h2", "h3" }) {
    hosts.push_back(Make(id));
    hosts.back()->Start();
  }
  scheduler_.Run(1s);
  EXPECT_TRUE(Knows("h1", "h2") || Knows("h2", "h1"));
  EXPECT_TRUE(Knows("h1", "h3") || Knows("h3", "h1"));
  EXPECT_TRUE(Knows("h2", "h3") || Knows("h3", "h2"));
}

// Guards against gone hosts that all others take for live store readers at once: their records stay
// in the store, and after a restore every host reads them again.
TEST_F(HostRegistrationTest, ReadsEachHostOnlyOnceOverARestore)
{
  records_.hosts_ = { { HostId("gone"), { "10.0.0.9", 7600 }, DataCentreId("dc1") } };
  const auto host = Make("h1");
  host->Start();
  scheduler_.Run(1s);
  records_.hosts_ = { { HostId("gone"), { "10.0.0.9", 7600 }, DataCentreId("dc1") },
                      { HostId("h2"), { "10.0.0.2", 7600 }, DataCentreId("dc1") } };
  host->Publish();
  scheduler_.Run(1s);
  EXPECT_EQ(records_.hosts_.back().id_, HostId("h1"));
  EXPECT_EQ(read_["h1"], (std::vector<std::string>{ "gone", "h1", "h2" }));
}

TEST_F(HostRegistrationTest, RepeatsFailedCalls)
{
  isDown_ = true;
  const auto host = Make("h1");
  host->Start();
  scheduler_.Run(2s);
  EXPECT_TRUE(read_.empty());
  isDown_ = false;
  scheduler_.Run(1s);
  EXPECT_TRUE(Knows("h1", "h1"));
}

} // namespace
} // namespace laburnumweir
