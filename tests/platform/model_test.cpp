/** @file model_test.cpp Logic of the stand-ins: log, host list, weight store, engine and faults. */
#include "standin/engine_model.h"
#include "standin/fault_list.h"
#include "standin/host_table.h"
#include "standin/load_share.h"
#include "standin/log_store.h"

#include <array>
#include <boost/json.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace laburnumweir::standin {
namespace {

using std::chrono::milliseconds;

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::hours(1) + milliseconds(aMs));
}

/** Guards against a log whose offsets have holes, repeat, or move when old records expire. */
RC_GTEST_PROP(LogStoreProperty, ReadsAreASuffixOfWhatWasAppended, ())
{
  LogLimits limits;
  limits.appendsPerSecond_ = 1e9;
  limits.appendBurst_ = 1e9;
  limits.maxRecords_ = *rc::gen::inRange(1, 20);
  limits.maxAge_ = milliseconds(*rc::gen::inRange(1, 100));
  LogStore store(limits);
  std::vector<std::pair<int, std::string>> all;
  int now = 0;
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
    rc::gen::pair(rc::gen::inRange(0, 40), rc::gen::inRange(0, 5)));
  for (const auto& [wait, count] : steps) {
    now += wait;
    std::vector<NewRecord> records;
    const auto before = all.size();
    for (int i = 0; i < count; ++i) {
      records.push_back({ std::to_string(all.size()), "d" });
      all.emplace_back(now, records.back().id_);
    }
    if (count > 0) {
      RC_ASSERT(store.Append("s", records, At(now), {}) == std::optional<LogOffset>(before));
    }
    std::size_t first = all.size() > limits.maxRecords_ ? all.size() - limits.maxRecords_ : 0;
    while (first < all.size() && milliseconds(now - all[first].first) > limits.maxAge_) {
      ++first;
    }
    const auto from = *rc::gen::inRange<std::size_t>(0, all.size() + 2);
    const auto read = store.Read("s", from, 3, At(now));
    RC_ASSERT(read.first_ == first);
    RC_ASSERT(read.end_ == all.size());
    const auto start = std::max(from, first);
    RC_ASSERT(read.records_.size() ==
              (start < all.size() ? std::min<std::size_t>(3, all.size() - start) : 0));
    for (std::size_t i = 0; i < read.records_.size(); ++i) {
      RC_ASSERT(read.records_[i].offset_ == start + i);
      RC_ASSERT(read.records_[i].id_ == all[start + i].second);
    }
  }
}

/** Guards against an append limit that counts records or streams rather than appends. */
TEST(LogStore, LimitsAppendsOfAllStreamsTogether)
{
  LogLimits limits;
  limits.appendsPerSecond_ = 100;
  limits.appendBurst_ = 2;
  LogStore store(limits);
  const std::vector<NewRecord> two{ { "a", "" }, { "b", "" } };
  EXPECT_TRUE(store.Append("s", two, At(0), {}));
  EXPECT_TRUE(store.Append("t", two, At(0), {}));
  EXPECT_FALSE(store.Append("s", two, At(0), {}));
  EXPECT_EQ(2U, store.End("s"));
  EXPECT_FALSE(store.Append("s", two, At(9), {}));
  EXPECT_TRUE(store.Append("s", two, At(11), {}));
  EXPECT_EQ(4U, store.End("s"));
}

std::vector<std::string>
Listed(HostTable& aTable, int aMs)
{
  std::vector<std::string> names;
  for (const auto& host : aTable.List(At(aMs))) {
    names.push_back(host.id_.Value() + (host.isLeaving_ ? "!" : ""));
  }
  return names;
}

/** Guards against a host list without the lag and the expiry that the platform has. */
TEST(HostTable, LagsAndExpires)
{
  using Names = std::vector<std::string>;
  HostTable table(milliseconds(100), milliseconds(1000));
  const ListedHost host{ HostId("a"), { "127.0.0.1", 1 }, DataCentreId("dc"), false };
  table.Put(host, At(0));
  EXPECT_EQ(Names(), Listed(table, 99));
  EXPECT_EQ(Names{ "a" }, Listed(table, 100));
  EXPECT_TRUE(table.MarkLeaving("a", true, At(200)));
  EXPECT_EQ(Names{ "a" }, Listed(table, 299));
  EXPECT_EQ(Names{ "a!" }, Listed(table, 300));
  table.Put(host, At(500));
  EXPECT_EQ(Names{ "a!" }, Listed(table, 700)) << "the mark outlives a refresh";
  EXPECT_EQ(Names{ "a!" }, Listed(table, 1600));
  EXPECT_EQ(Names(), Listed(table, 1601));
  EXPECT_FALSE(table.MarkLeaving("b", true, At(0)));
  EXPECT_TRUE(table.Remove("a", At(1700)));
  table.Put(host, At(1800));
  EXPECT_EQ(Names(), Listed(table, 1850));
  EXPECT_EQ(Names{ "a" }, Listed(table, 1900));
}

/** Guards against loads whose time does not grow with their number beyond eight. */
TEST(LoadShare, SlowsDownInProportionBeyondFullSpeed)
{
  LoadShare share(milliseconds(250), 8);
  for (int i = 0; i < 8; ++i) {
    EXPECT_TRUE(share.Start("a" + std::to_string(i), At(0)));
  }
  EXPECT_FALSE(share.Start("a0", At(0)));
  EXPECT_EQ(At(250), share.NextCompletion());
  for (int i = 0; i < 8; ++i) {
    share.Start("b" + std::to_string(i), At(0));
  }
  EXPECT_EQ(At(500), share.NextCompletion());
  EXPECT_TRUE(share.TakeComplete(At(499)).empty());
  for (int i = 0; i < 4; ++i) {
    EXPECT_TRUE(share.Abort("b" + std::to_string(i), At(499)));
  }
  EXPECT_EQ(12U, share.TakeComplete(At(500)).size());
  EXPECT_EQ(0U, share.InFlight());
  EXPECT_FALSE(share.NextCompletion().has_value());
}

/** Guards against a load that is started late and shares the progress of earlier ones. */
TEST(LoadShare, CountsProgressAtTheSpeedOfEachInterval)
{
  LoadShare share(milliseconds(100), 1);
  share.Start("a", At(0));
  share.Start("b", At(50));
  EXPECT_EQ(At(150), share.NextCompletion());
  EXPECT_EQ(std::vector<std::string>{ "a" }, share.TakeComplete(At(150)));
  EXPECT_EQ(At(200), share.NextCompletion());
}

EngineLimits
Limits()
{
  EngineLimits limits;
  limits.slots_ = 2;
  limits.maxRunning_ = 2;
  limits.overload_ = 4;
  limits.tokenBase_ = milliseconds(10);
  limits.tokenPerRunning_ = milliseconds(2);
  limits.coldTime_ = milliseconds(1000);
  limits.coldMaxRunning_ = 1;
  return limits;
}

const AdapterRef kA{ "a", "1" };
const AdapterRef kB{ "b", "1" };
const AdapterRef kC{ "c", "1" };

/** An engine with adapters a and b. */
EngineModel
Engine(const EngineLimits& aLimits)
{
  EngineModel model(aLimits, "e1", At(0));
  model.ExecLoad({ kA, {}, 5 });
  model.FinishLoad(kA, true);
  model.ExecLoad({ kB, {}, 5 });
  model.FinishLoad(kB, true);
  return model;
}

/** Guards against an engine that runs a request without its adapter, or before it is loaded. */
TEST(EngineModel, AdmitsOnlyResidentAdapters)
{
  EngineModel model(Limits(), "e1", At(0));
  EXPECT_EQ(Admission::NotLoaded, model.Admit(1, kA, 0, At(0)));
  EXPECT_EQ(LoadTest::Ok, model.ExecLoad({ kA, {}, 1 }));
  EXPECT_EQ(LoadTest::AlreadyLoading, model.ExecLoad({ kA, {}, 1 }));
  EXPECT_EQ(Admission::NotLoaded, model.Admit(1, kA, 0, At(0)));
  EXPECT_TRUE(model.Report().resident_.empty());
  model.FinishLoad(kA, true);
  EXPECT_EQ(LoadTest::AlreadyResident, model.ExecLoad({ kA, {}, 1 }));
  EXPECT_EQ(Admission::Started, model.Admit(1, kA, 0, At(0)));
  EXPECT_EQ(Admission::NotLoaded, model.Admit(2, { "a", "2" }, 0, At(0)));
  EXPECT_EQ(1U, model.Counts().loads_);
}

/** Guards against a failed load that leaves its slot taken. */
TEST(EngineModel, FailedLoadFreesItsSlot)
{
  EngineModel model(Limits(), "e1", At(0));
  model.ExecLoad({ kA, {}, 1 });
  model.ExecLoad({ kB, {}, 1 });
  EXPECT_EQ(LoadTest::NoSlot, model.ExecLoad({ kC, {}, 1 }));
  EXPECT_EQ(LoadTest::InUse, model.ExecLoad({ kC, kA, 1 })) << "a is being loaded";
  model.FinishLoad(kA, false);
  EXPECT_EQ(LoadTest::Ok, model.ExecLoad({ kC, {}, 1 }));
}

/** Guards against a queue that ignores priority, and against starting more than the batch holds. */
TEST(EngineModel, StartsWaitingRequestsByPriorityThenByArrival)
{
  auto model = Engine(Limits());
  EXPECT_EQ(Admission::Started, model.Admit(1, kA, 9, At(0)));
  EXPECT_EQ(milliseconds(12), model.TokenTime());
  EXPECT_EQ(Admission::Started, model.Admit(2, kB, 9, At(0)));
  EXPECT_EQ(milliseconds(14), model.TokenTime());
  EXPECT_EQ(Admission::Queued, model.Admit(3, kA, 5, At(0)));
  EXPECT_EQ(Admission::Queued, model.Admit(4, kA, 1, At(0)));
  EXPECT_EQ(Admission::Overloaded, model.Admit(5, kA, 0, At(0)));
  EXPECT_EQ(4U, model.Finish(1, At(0)));
  EXPECT_EQ(Admission::Queued, model.Admit(6, kA, 5, At(0)));
  EXPECT_EQ(3U, model.Finish(4, At(0)));
  EXPECT_EQ(6U, model.Finish(3, At(0)));
  EXPECT_FALSE(model.Finish(6, At(0)));
  EXPECT_FALSE(model.Finish(6, At(0)));
  EXPECT_EQ(1U, model.Report().running_);
}

/** Guards against a stand-in that hides the eviction of an adapter in use. */
TEST(EngineModel, RefusesOrCountsEvictionInUse)
{
  auto strict = Engine(Limits());
  strict.Admit(1, kA, 0, At(0));
  EXPECT_EQ(LoadTest::InUse, strict.ExecLoad({ kC, kA, 5 }));
  EXPECT_EQ(LoadTest::Ok, strict.ExecLoad({ kC, kB, 5 }));
  EXPECT_EQ(0U, strict.Counts().evictionsInUse_);

  auto limits = Limits();
  limits.allowsEvictInUse_ = true;
  auto lenient = Engine(limits);
  lenient.Admit(1, kA, 0, At(0));
  lenient.Admit(2, kA, 0, At(0));
  lenient.Admit(3, kA, 0, At(0));
  EXPECT_EQ(LoadTest::Ok, lenient.ExecLoad({ kC, kA, 5 }));
  EXPECT_EQ(1U, lenient.Counts().evictionsInUse_);
  EXPECT_EQ(3U, lenient.Finish(1, At(0))) << "requests of an evicted adapter still end";
  EXPECT_EQ(1U, lenient.Counts().evictions_);
}

/** Guards against eviction of an adapter that only waiting requests use. */
TEST(EngineModel, WaitingRequestsKeepTheirAdapterInUse)
{
  auto model = Engine(Limits());
  model.Admit(1, kA, 0, At(0));
  model.Admit(2, kA, 0, At(0));
  model.Admit(3, kB, 0, At(0));
  EXPECT_EQ(LoadTest::InUse, model.ExecLoad({ kC, kB, 5 }));
  EXPECT_FALSE(model.Finish(3, At(0)));
  EXPECT_EQ(LoadTest::Ok, model.ExecLoad({ kC, kB, 5 }));
}

/** Guards against stale orders that pass unseen, with either kind of engine. */
TEST(EngineModel, RefusesOrCountsStaleOrders)
{
  auto checking = Engine(Limits());
  EXPECT_EQ(LoadTest::StaleFencing, checking.ExecLoad({ kC, kA, 4 }));
  EXPECT_EQ(1U, checking.Counts().staleOrdersRefused_);
  EXPECT_EQ(0U, checking.Counts().staleOrdersAccepted_);
  checking.Reset("e2", At(0));
  EXPECT_EQ(LoadTest::Ok, checking.ExecLoad({ kC, {}, 4 }));
  EXPECT_EQ(1U, checking.Counts().staleOrdersAccepted_) << "a restarted engine has forgotten 5";

  auto limits = Limits();
  limits.checksFencing_ = false;
  auto ignoring = Engine(limits);
  EXPECT_EQ(LoadTest::Ok, ignoring.ExecLoad({ kC, kA, 4 }));
  EXPECT_EQ(1U, ignoring.Counts().staleOrdersAccepted_);
}

/** Guards against a cold engine that takes any load, or stays cold for ever. */
TEST(EngineModel, IsOverloadedOnlyInTheColdState)
{
  auto model = Engine(Limits());
  model.Admit(1, kA, 0, At(0));
  EXPECT_FALSE(model.IsOverloadedCold(At(0)));
  model.Admit(2, kA, 0, At(0));
  EXPECT_TRUE(model.IsOverloadedCold(At(999)));
  EXPECT_FALSE(model.IsOverloadedCold(At(1000)));
  EXPECT_EQ(2U, model.Counts().maxRunningCold_);
  model.SetCold(At(3000), 0);
  EXPECT_TRUE(model.IsOverloadedCold(At(2000)));
  model.Reset("e2", At(4000));
  EXPECT_EQ("e2", model.Report().epoch_);
  EXPECT_EQ(0U, model.Report().running_);
  EXPECT_TRUE(model.Report().resident_.empty());
  EXPECT_FALSE(model.IsOverloadedCold(At(4000)));
}

/** Guards against faults that hit other requests than those scripted. */
TEST(FaultList, AppliesToTheScriptedRequests)
{
  const std::array<std::string_view, 2> kinds{ "silent", "reset" };
  auto faults = FaultList::Parse(
    boost::json::parse(
      R"({"faults":[{"kind":"silent","skip":1,"count":2,"match":{"method":"POST","path":"/a","body":"x"}},)"
      R"({"kind":"reset","match":{"request_id":"r1"}}]})"),
    kinds);
  Request request;
  request.method_ = "POST";
  request.path_ = "/a/b";
  request.body_ = "axb";
  EXPECT_FALSE(faults.Take(kinds, request));
  EXPECT_TRUE(faults.Take(kinds, request));
  request.body_ = "ab";
  EXPECT_FALSE(faults.Take(kinds, request));
  request.body_ = "axb";
  request.path_ = "/b";
  EXPECT_FALSE(faults.Take(kinds, request));
  request.path_ = "/a";
  request.method_ = "GET";
  EXPECT_FALSE(faults.Take(kinds, request));
  request.method_ = "POST";
  EXPECT_FALSE(faults.Take(std::array<std::string_view, 1>{ "reset" }, request));
  EXPECT_TRUE(faults.Take(kinds, request));
  EXPECT_FALSE(faults.Take(kinds, request));
  request.headers_.emplace_back("x-request-id", "r1");
  EXPECT_EQ("reset", faults.Take(kinds, request)->kind_);
  EXPECT_EQ(2U, faults.Applied().at("silent"));
}

/** Guards against a misspelt fault that makes a test pass without any fault. */
TEST(FaultList, RejectsWhatItDoesNotKnow)
{
  const std::array<std::string_view, 1> kinds{ "silent" };
  for (const auto* text : { R"({"faults":[{"kind":"silnt"}]})",
                            R"({"faults":[{"kind":"silent","cuont":1}]})",
                            R"({"faults":[{"kind":"silent","match":{"pth":"/"}}]})",
                            R"({"faults":[{"kind":"silent","count":-1}]})",
                            R"({"faults":[{"kind":"silent","status":99}]})",
                            R"({"faults":[7]})",
                            R"({"faults":{}})",
                            R"({})",
                            "[]" }) {
    EXPECT_THROW(FaultList::Parse(boost::json::parse(text), kinds), std::runtime_error) << text;
  }
}

} // namespace
} // namespace laburnumweir::standin
