/** @file stream_origin_test.cpp Tests which software version a fleet of hosts takes a stream to
 * have begun on, while hosts are killed and versions come and go.
 */
#include "gateway/stream_origin_service.h"

#include "fleet/fleet_support.h"
#include "gateway/gateway_support.h"
#include "gateway/software_recorder.h"
#include "table/stream_const.h"

#include <gtest/gtest.h>
#include <memory>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing::NiceMock;
using testing_support::MakeEngine;

const ServiceName kService("llm");

/** What the store holds for all hosts. */
struct SharedStore
{
  std::map<UpstreamId, UpstreamEntry> upstreams_;
  std::vector<UpstreamChange> changes_; ///< All changes of upstreams_.
  bool keepsHistory_ = false; ///< Otherwise each read of the upstreams gets the whole state again.
  std::map<ServiceName, SoftwareRecord> software_;
  std::vector<StreamOriginRecord> origins_;
  StoreEra era_ = 0;
  int originWrites_ = 0;
};

class Fleet;

/** A process of a host. */
class Host : public StreamOriginSender
{
public:
  Host(Fleet& aFleet, int aNumber, bool aIsFirstStart);

  void SendOrigins(const Endpoint& aTo, const StreamOriginMessage& aMessage) override;
  OriginResult Find(const std::string& aAttempt, const ServiceName& aService = kService);
  void Record(const std::string& aAttempt, const std::string& aVersion)
  {
    service_->Record(RequestId(aAttempt), { kService, SoftwareVersion(aVersion) });
  }

  Fleet& fleet_;
  HostRecord self_;
  NiceMock<testing_support::MockStore> store_;
  FleetState state_;
  PeerTable peers_;
  SoftwareHistory history_;
  bool isCutOff_ = false; ///< From the store.
  bool isAlone_ = false;  ///< No messages about origins arrive here.
  std::shared_ptr<StoreWatch> watch_;
  std::shared_ptr<StreamOriginService> service_;
  std::shared_ptr<SoftwareRecorder> recorder_;

private:
  void ServeStore();
};

/** Eight hosts with a store; datagrams take 2 ms. */
class Fleet
{
public:
  Fleet()
  {
    SetUpstream("e1", "v1");
    StartHosts(true);
  }
  void SetUpstream(const std::string& aId, const std::string& aVersion)
  {
    auto entry = MakeEngine(aId);
    entry.software_ = SoftwareVersion(aVersion);
    store_.upstreams_[entry.id_] = entry;
    store_.changes_.push_back({ entry.id_, entry });
  }
  void RemoveUpstream(const std::string& aId)
  {
    store_.upstreams_.erase(UpstreamId(aId));
    store_.changes_.push_back({ UpstreamId(aId), std::nullopt });
  }
  /** Starts all hosts anew, as after they have been killed at once. */
  void StartHosts(bool aIsFirstStart = false)
  {
    hosts_.clear();
    for (int number = 0; number < 8; ++number) {
      hosts_.push_back(std::make_unique<Host>(*this, number, aIsFirstStart));
    }
    Run(2s);
  }
  void Kill(std::size_t aHost) { hosts_[aHost].reset(); }
  void Run(Duration aTime)
  {
    for (; aTime > 0ms; aTime -= 100ms) {
      for (auto& host : hosts_) {
        for (const auto& peer : hosts_) {
          if (host && peer && host != peer) {
            host->peers_.OnMessage(peer->self_, 1, ++messages_);
          }
        }
      }
      scheduler_.Run(100ms);
    }
  }

  FakeClock clock_;
  testing_support::FakeScheduler scheduler_{ clock_ };
  SharedStore store_;
  std::vector<std::unique_ptr<Host>> hosts_; ///< Empty where a host was killed.
  std::uint64_t messages_ = 0;
};

Host::Host(Fleet& aFleet, int aNumber, bool aIsFirstStart)
  : fleet_(aFleet)
  , self_{ HostId("h" + std::to_string(aNumber)),
           { "10.0.0.1", static_cast<std::uint16_t>(aNumber) },
           DataCentreId("dc1") }
  , state_(aFleet.clock_, self_.id_, self_.dataCentre_)
  , peers_(aFleet.clock_, self_)
  , history_(aFleet.clock_, aIsFirstStart)
{
  ServeStore();
  WatchSettings settings;
  settings.upstreamInterval_ = 800ms;
  watch_ = std::make_shared<StoreWatch>(
    store_, state_, fleet_.clock_, fleet_.scheduler_, settings, [this] {
      if (state_.HasUpstreams()) {
        history_.OnUpstreams(state_.Upstreams(),
                             state_.TakeSoftwareSightings(),
                             fleet_.clock_.Now() - watch_->Position().upstreamAge_);
      }
    });
  service_ = std::make_shared<StreamOriginService>(
    StreamOriginContext{
      store_, fleet_.clock_, fleet_.scheduler_, state_, peers_, history_, *watch_, *this },
    self_);
  recorder_ = std::make_shared<SoftwareRecorder>(
    store_, state_, history_, fleet_.scheduler_, [] { return true; });
  HostTopicRecords records;
  records.era_ = fleet_.store_.era_;
  for (const auto& [service, record] : fleet_.store_.software_) {
    records.software_.push_back(record);
  }
  recorder_->OnStored(records);
  watch_->Start();
  service_->Start();
  recorder_->Start();
}

void
Host::ServeStore()
{
  ON_CALL(store_, ReadAll)
    .WillByDefault([this](ChangeStream aStream, const FleetStore::ChangesCallback& aCallback) {
      ChangeBatch batch;
      batch.isSnapshot_ = true;
      if (aStream == ChangeStream::Operators) {
        Route route;
        route.repeat_ = RepeatRule::Stream;
        route.isResumable_ = true;
        route.timeout_ = 10s;
        FleetConfig config;
        config.version_ = 1;
        config.routes_ = { route };
        batch.changes_ = { config };
      } else {
        for (const auto& [id, entry] : fleet_.store_.upstreams_) {
          batch.changes_.emplace_back(UpstreamChange{ id, entry });
        }
        batch.next_ = fleet_.store_.changes_.size();
      }
      aCallback(isCutOff_ ? make_error_code(StoreError::Unreachable) : std::error_code(),
                std::move(batch));
    });
  ON_CALL(store_, ReadChanges)
    .WillByDefault(
      [this](ChangeStream aStream, StorePosition aFrom, const auto&, const auto& aCallback) {
        const auto& changes = fleet_.store_.changes_;
        ChangeBatch batch;
        if (aStream == ChangeStream::Upstreams && !fleet_.store_.keepsHistory_) {
          aCallback(StoreError::HistoryLost, batch);
        } else if (aStream == ChangeStream::Upstreams) {
          batch.isGapless_ = true;
          batch.next_ = changes.size();
          batch.changes_.assign(changes.begin() + static_cast<std::ptrdiff_t>(aFrom.next_),
                                changes.end());
          aCallback(isCutOff_ ? make_error_code(StoreError::Unreachable) : std::error_code(),
                    batch);
        }
      });
  ON_CALL(store_, WriteSoftware).WillByDefault([this](const auto& aRecord, const auto& aCallback) {
    fleet_.store_.software_[aRecord.service_] = aRecord;
    aCallback({});
  });
  ON_CALL(store_, AppendOrigins).WillByDefault([this](auto aRecords, const auto& aCallback) {
    ++fleet_.store_.originWrites_;
    auto& origins = fleet_.store_.origins_;
    origins.insert(origins.end(), aRecords.begin(), aRecords.end());
    aCallback({});
  });
  ON_CALL(store_, ReadOrigins).WillByDefault([this](const auto&, const auto& aCallback) {
    aCallback(isCutOff_ ? make_error_code(StoreError::Unreachable) : std::error_code(),
              { fleet_.store_.origins_, {}, true });
  });
}

void
Host::SendOrigins(const Endpoint& aTo, const StreamOriginMessage& aMessage)
{
  fleet_.scheduler_.After(2ms, [&fleet = fleet_, from = self_, aTo, aMessage] {
    if (const auto& target = fleet.hosts_[aTo.port_]; target && !target->isAlone_) {
      target->service_->OnMessage(from, aMessage);
    }
  });
}

OriginResult
Host::Find(const std::string& aAttempt, const ServiceName& aService)
{
  std::optional<OriginResult> result;
  service_->Find(RequestId(aAttempt), aService, [&](const auto& aResult) { result = aResult; });
  fleet_.Run(kOriginSearchTime + 100ms);
  EXPECT_TRUE(result) << "the search does not end";
  return result.value_or(OriginResult());
}

class StreamOriginTest : public testing::Test
{
protected:
  /** @return version on which a host takes a stream to have begun; empty if it does not know. */
  std::string VersionAt(std::size_t aHost,
                        const std::string& aAttempt,
                        const ServiceName& aService = kService)
  {
    const auto result = fleet_.hosts_[aHost]->Find(aAttempt, aService);
    return result.origin_ && !result.origin_->isAmbiguous_ ? result.origin_->software_.Value() : "";
  }

  Fleet fleet_;
};

// Guards against streams that a caller resumes at another host, where they go on at another version
// or not at all, since the host that served them was killed with others.
TEST_F(StreamOriginTest, HostsThatAreLeftKnowTheOrigin)
{
  fleet_.SetUpstream("e2", "v2");
  fleet_.Run(2s);
  fleet_.hosts_[0]->Record("a", "v1");
  fleet_.hosts_[1]->Record("b", "v2");
  fleet_.Run(300ms);
  fleet_.store_.origins_.clear();
  for (const std::size_t killed : { 0, 1, 2 }) {
    fleet_.Kill(killed);
  }
  for (std::size_t host = 3; host < 8; ++host) {
    EXPECT_EQ(VersionAt(host, "a"), "v1");
    EXPECT_EQ(VersionAt(host, "b"), "v2");
  }
}

// Guards against joined streams, and against streams that are all refused, after all hosts were
// killed while two versions served or the servers of one had just left.
TEST_F(StreamOriginTest, OriginsSurviveTheEndOfAllHosts)
{
  fleet_.hosts_[0]->Record("before", "v1"); // while there is one version only
  fleet_.Run(1s);
  EXPECT_EQ(fleet_.store_.originWrites_, 0);
  fleet_.SetUpstream("e2", "v2");
  fleet_.Run(2s);
  fleet_.hosts_[1]->Record("a", "v1");
  fleet_.hosts_[2]->Record("b", "v2");
  fleet_.Run(500ms);
  fleet_.RemoveUpstream("e1");
  fleet_.StartHosts();
  EXPECT_EQ(VersionAt(3, "before"), "v1");
  EXPECT_EQ(VersionAt(3, "a"), "v1");
  EXPECT_EQ(VersionAt(4, "b"), "v2");
  EXPECT_EQ(VersionAt(5, "unknown"), "") << "only v2 serves, but v1 has just left";
}

// Guards against streams that are all refused after all hosts were killed although only one version
// can have begun them.
TEST_F(StreamOriginTest, TheOnlyVersionBeganAllStreams)
{
  fleet_.StartHosts();
  EXPECT_EQ(VersionAt(0, "a"), "v1");
  EXPECT_EQ(VersionAt(0, ""), "v1") << "the caller names the last event only";
  EXPECT_EQ(VersionAt(0, "a", ServiceName()), "") << "one of several services began it";
  fleet_.SetUpstream("e2", "v2");
  EXPECT_EQ(VersionAt(0, "a"), "") << "may have begun on v2, which this host has yet to read of";
  fleet_.RemoveUpstream("e1");
  fleet_.Run(20s);
  fleet_.StartHosts();
  EXPECT_EQ(VersionAt(0, "a"), "") << "v1 was in use 20 s ago";
  fleet_.Run(2 * 10s + kSoftwareUseLag);
  EXPECT_EQ(VersionAt(0, "a"), "v2") << "no stream lasts for 30 s";
}

// Guards against a joined stream at a host that starts on a copy of the store from before the
// second version, and at one that was out of touch with the store while it came and went.
TEST_F(StreamOriginTest, NothingFollowsFromAnIncompleteHistory)
{
  auto& host = *fleet_.hosts_[7];
  host.isCutOff_ = true;
  fleet_.Run(1s);
  const auto result = host.Find("a");
  EXPECT_FALSE(result.origin_);
  EXPECT_FALSE(result.isConclusive_) << "another host may know";
  fleet_.SetUpstream("e2", "v2");
  fleet_.Run(3s);
  fleet_.RemoveUpstream("e2");
  fleet_.Run(3s);
  host.isCutOff_ = false;
  fleet_.Run(2s);
  EXPECT_EQ(VersionAt(7, "a"), "");
  fleet_.store_.software_[kService] = { kService, { SoftwareVersion("v1") }, true, 0 };
  fleet_.store_.era_ = 1;
  fleet_.StartHosts();
  EXPECT_EQ(VersionAt(0, "a"), "");
}

/** How long a host is out of step. */
struct Absence
{
  const char* name_;
  bool keepsHistory_; ///< Whether the store keeps the records that the host has not read.
  Duration step_;     ///< Time between two of the things that happen meanwhile.
};

class OutOfStepTest
  : public StreamOriginTest
  , public testing::WithParamInterface<Absence>
{};

// Guards against a joined stream at a host that stood still or was cut off for a few seconds, in
// which upstreams of another version came, began streams at other hosts, and left.
TEST_P(OutOfStepTest, HostInfersNothingThatItCouldNotSee)
{
  fleet_.store_.keepsHistory_ = GetParam().keepsHistory_;
  fleet_.Run(2s);
  auto& host = *fleet_.hosts_[7];
  host.isCutOff_ = host.isAlone_ = true;
  fleet_.Run(200ms);
  fleet_.SetUpstream("e2", "v2");
  fleet_.Run(GetParam().step_);
  fleet_.hosts_[1]->Record("a", "v2");
  fleet_.Run(GetParam().step_);
  fleet_.RemoveUpstream("e2");
  fleet_.Run(GetParam().step_);
  host.isCutOff_ = false;
  EXPECT_EQ(VersionAt(7, "a"), "v2") << "by the store";
  EXPECT_EQ(VersionAt(7, "b"), "") << "may have begun on v2";
}

// In the shorter one, the host takes itself to have been in touch and defers no removals.
INSTANTIATE_TEST_SUITE_P(Absences,
                         OutOfStepTest,
                         testing::Values(Absence{ "StateOnly", false, 1s },
                                         Absence{ "AllRecords", true, 400ms },
                                         Absence{ "AllRecordsAfterAnOutage", true, 1s }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against a joined stream where two callers use the same id, and against one whose id cannot
// be told to other hosts.
TEST_F(StreamOriginTest, AnIdOfTwoStreamsIsAmbiguous)
{
  fleet_.SetUpstream("e2", "v2");
  fleet_.Run(2s);
  fleet_.hosts_[0]->Record("a", "v1");
  fleet_.hosts_[1]->Record("a", "v2");
  fleet_.hosts_[0]->Record("\xff", "v1");
  fleet_.Run(300ms);
  const auto result = fleet_.hosts_[5]->Find("a");
  ASSERT_TRUE(result.origin_);
  EXPECT_TRUE(result.origin_->isAmbiguous_);
  EXPECT_EQ(VersionAt(5, "\xff"), "");
}

} // namespace
} // namespace laburnumweir
