/** @file software_history_test.cpp Tests what a host infers of software versions that it may not
 * have seen.
 */
#include "dispatch/fake_clock.h"
#include "fleet/fleet_support.h"
#include "fleet/software_history.h"

#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing_support::MakeEngine;

const ServiceName kService("llm");
constexpr Duration kPeriod = 30s;

class SoftwareHistoryTest : public testing::Test
{
protected:
  SoftwareHistoryTest()
  {
    ChangeBatch snapshot;
    snapshot.isSnapshot_ = true;
    Apply(snapshot, { Entry("e1", "v1") });
  }
  static UpstreamChange Entry(const std::string& aId, const std::string& aSoftware)
  {
    auto entry = MakeEngine(aId);
    entry.software_ = SoftwareVersion(aSoftware);
    return { entry.id_, entry };
  }
  static UpstreamChange Removal(const std::string& aId)
  {
    return { UpstreamId(aId), std::nullopt };
  }
  /** Applies changes that were requested just now. */
  void Apply(ChangeBatch aBatch, std::vector<FleetChange> aChanges)
  {
    aBatch.changes_ = std::move(aChanges);
    state_.ApplyUpstreams(aBatch, false);
    history_.OnUpstreams(state_.Upstreams(), state_.TakeSoftwareSightings(), clock_.Now());
  }
  void ApplyRecords(std::vector<FleetChange> aChanges)
  {
    ChangeBatch batch;
    batch.isGapless_ = true;
    batch.next_ = aChanges.size();
    Apply(batch, std::move(aChanges));
  }
  bool IsComplete() const { return history_.IsComplete(kService, kPeriod); }
  std::size_t Versions() const { return history_.Versions(kService, kPeriod).size(); }

  FakeClock clock_;
  FleetState state_{ clock_, HostId("h1"), DataCentreId("dc1") };
  SoftwareHistory history_{ clock_, true };
};

// Guards against a version that is missed because its upstream had gone when the records were read.
TEST_F(SoftwareHistoryTest, SeesAVersionThatCameAndWentInOneBatch)
{
  clock_.Advance(1min);
  ApplyRecords({ Entry("e2", "v2"), Removal("e2") });
  EXPECT_EQ(Versions(), 2U);
  EXPECT_TRUE(IsComplete()) << "however long ago the last records were read";
}

// Guards against a version that is missed because a store reader relays only that its upstream has
// gone.
TEST_F(SoftwareHistoryTest, KnowsThatARelayedRemovalWasOfAnUnseenUpstream)
{
  Apply({}, { Entry("e2", "v1") });
  clock_.Advance(300ms);
  Apply({}, { Removal("e2") });
  EXPECT_TRUE(IsComplete());
  clock_.Advance(300ms);
  Apply({}, { Removal("e2") });
  EXPECT_TRUE(IsComplete()) << "relayed twice";
  clock_.Advance(300ms);
  Apply({}, { Removal("e3") });
  EXPECT_FALSE(IsComplete());
  clock_.Advance(kPeriod);
  EXPECT_TRUE(IsComplete()) << "no stream lasts that long";
}

// Guards against a version that is missed because the store gave only its present state, after a
// time in which an upstream can come and go, or lost the record of one.
TEST_F(SoftwareHistoryTest, KnowsThatAStateMayLackAVersion)
{
  ChangeBatch snapshot;
  snapshot.isSnapshot_ = true;
  clock_.Advance(1s);
  Apply(snapshot, { Entry("e1", "v1") });
  EXPECT_TRUE(IsComplete());
  clock_.Advance(3s);
  Apply(snapshot, { Entry("e1", "v1") });
  EXPECT_FALSE(IsComplete());
  clock_.Advance(kPeriod);
  ApplyRecords({});
  EXPECT_TRUE(IsComplete());
  snapshot.era_ = 1;
  clock_.Advance(500ms);
  Apply(snapshot, { Entry("e1", "v1") });
  EXPECT_FALSE(IsComplete()) << "the store came back from an older copy";
}

} // namespace
} // namespace laburnumweir
