/** @file limits_compare.cpp Compares three ways to limit workspaces on one recorded arrival trace.
 */
#include "limits/limit_world.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace {

using namespace laburnumweir;
using laburnumweir::testing::LimitWay;
using laburnumweir::testing::LimitWorld;
using laburnumweir::testing::WorldOptions;
using std::chrono::milliseconds;
namespace po = boost::program_options;

/** A request of the trace. */
struct Arrival
{
  std::int64_t at_ = 0;   ///< Milliseconds since the start.
  std::size_t host_ = 0;  ///< Host.
  TokenCount bound_ = 0;  ///< Upper bound.
  TokenCount spent_ = 0;  ///< True count.
  std::int64_t runs_ = 0; ///< Milliseconds until it is settled.
};

/** What a trace is made of. */
struct TraceOptions
{
  std::uint64_t seed_ = 1;   ///< Seed.
  std::size_t hosts_ = 8;    ///< Number of hosts.
  double requests_ = 40;     ///< Requests per second of the workspace.
  double seconds_ = 60;      ///< Length.
  TokenCount mean_ = 500;    ///< Mean bound of a request.
  double hotShare_ = 1;      ///< Part of the requests that goes to the hot host.
  double shift_ = 20;        ///< Seconds after which the hot host changes.
  double spentShare_ = 1;    ///< True count as a part of the bound.
  std::int64_t runs_ = 3000; ///< Mean run time in ms.
};

void
WriteTrace(const std::string& aPath, const TraceOptions& aOptions)
{
  std::mt19937_64 random(aOptions.seed_);
  std::exponential_distribution<double> gap(aOptions.requests_);
  std::uniform_real_distribution<double> part(0.0, 1.0);
  std::uniform_int_distribution<std::size_t> anyHost(0, aOptions.hosts_ - 1);
  std::ofstream file(aPath);
  file << "# ms host bound spent run_ms\n";
  for (double at = gap(random); at < aOptions.seconds_; at += gap(random)) {
    const auto hot = static_cast<std::size_t>(at / aOptions.shift_) % aOptions.hosts_;
    const std::size_t host = part(random) < aOptions.hotShare_ ? hot : anyHost(random);
    const auto bound =
      static_cast<TokenCount>(static_cast<double>(aOptions.mean_) * (0.5 + part(random)));
    const auto spent = static_cast<TokenCount>(static_cast<double>(bound) * aOptions.spentShare_);
    const auto runs =
      static_cast<std::int64_t>(static_cast<double>(aOptions.runs_) * (0.5 + part(random)));
    file << std::llround(at * 1000) << ' ' << host << ' ' << bound << ' ' << spent << ' ' << runs
         << '\n';
  }
  if (!file.flush()) {
    throw std::runtime_error("cannot write the trace to " + aPath);
  }
}

std::vector<Arrival>
ReadTrace(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    throw std::runtime_error("cannot read the trace from " + aPath);
  }
  std::vector<Arrival> result;
  std::string line;
  for (int number = 1; std::getline(file, line); ++number) {
    if (line.empty() || line.front() == '#') {
      continue;
    }
    std::istringstream text(line);
    Arrival arrival;
    if (!(text >> arrival.at_ >> arrival.host_ >> arrival.bound_ >> arrival.spent_ >>
          arrival.runs_)) {
      throw std::runtime_error(aPath + ":" + std::to_string(number) + ": expected five numbers");
    }
    result.push_back(arrival);
  }
  return result;
}

/** Result of one way. */
struct Row
{
  double overspend_ = 0;   ///< Tokens above rate*t + burst.
  double refused_ = 0;     ///< Percent refused, without the first 10 s.
  double refusedKill_ = 0; ///< Percent refused in the 10 s after the kill.
  double recovery_ = 0;    ///< Seconds from the kill to the last refusal within 30 s.
  double waitP99_ = 0;     ///< 99th percentile of the waits in ms.
  double messages_ = 0;    ///< Messages per request.
  double bytes_ = 0;       ///< Bytes/s per host, sent and received.
};

Row
Replay(const std::vector<Arrival>& aTrace,
       const WorldOptions& aOptions,
       double aKillAt,
       double aWarmUp)
{
  LimitWorld world(aOptions);
  world.Run(std::chrono::seconds(5));
  const Duration start = world.Now();
  auto& counts = world.Counts();
  counts = {};
  const auto killAt = static_cast<std::int64_t>(aKillAt * 1000);
  const auto warmUp = static_cast<std::int64_t>(aWarmUp * 1000);
  bool isKilled = aKillAt <= 0;
  std::size_t killed = aOptions.hosts_;
  std::uint64_t warmRefused = 0;
  std::uint64_t warmSubmitted = 0;
  std::uint64_t killRefused = 0;
  std::uint64_t killSubmitted = 0;
  std::uint64_t lastRefused = 0;
  Row row;
  const auto advance = [&](std::int64_t aTo) {
    const Duration target = start + milliseconds(aTo);
    if (target > world.Now()) {
      world.Run(target - world.Now());
    }
  };
  const std::int64_t end = (aTrace.empty() ? 0 : aTrace.back().at_) + 2000;
  std::size_t next = 0;
  // Steps of 10 ms, so that the time of each refusal is known.
  for (std::int64_t at = 0; at <= end; at += 10) {
    if (!isKilled && at >= killAt) {
      isKilled = true;
      killed = world.OwnerOf(0);
      world.Kill(killed);
    }
    advance(at);
    for (; next < aTrace.size() && aTrace[next].at_ < at + 10; ++next) {
      const Arrival& arrival = aTrace[next];
      advance(arrival.at_);
      // The load balancer sends nothing to a host that is down.
      const std::size_t host =
        arrival.host_ == killed ? (killed + 1) % aOptions.hosts_ : arrival.host_;
      world.Submit(host, 0, arrival.bound_, arrival.spent_, milliseconds(arrival.runs_));
      if (arrival.at_ >= warmUp) {
        ++warmSubmitted;
      }
      if (aKillAt > 0 && arrival.at_ >= killAt && arrival.at_ < killAt + 10'000) {
        ++killSubmitted;
      }
    }
    const std::uint64_t fresh = counts.refused_ - lastRefused;
    lastRefused = counts.refused_;
    if (fresh > 0) {
      if (at >= warmUp) {
        warmRefused += fresh;
      }
      // A refusal comes up to the longest wait after its request.
      if (aKillAt > 0 && at >= killAt && at < killAt + 11'500) {
        killRefused += fresh;
      }
      if (aKillAt > 0 && at >= killAt && at < killAt + 30'000) {
        row.recovery_ = static_cast<double>(at - killAt) / 1000;
      }
    }
  }
  const auto percent = [](std::uint64_t aPart, std::uint64_t aAll) {
    return aAll == 0 ? 0.0 : 100.0 * static_cast<double>(aPart) / static_cast<double>(aAll);
  };
  row.overspend_ = world.Overspend();
  row.refused_ = percent(warmRefused, warmSubmitted);
  row.refusedKill_ = percent(killRefused, killSubmitted);
  row.messages_ =
    static_cast<double>(counts.messages_) / std::max(1.0, static_cast<double>(counts.submitted_));
  // Each byte is sent by one host and received by another.
  row.bytes_ = 2.0 * static_cast<double>(counts.bytes_) / (static_cast<double>(end) / 1000) /
               static_cast<double>(aOptions.hosts_);
  if (!counts.waits_.empty()) {
    std::sort(counts.waits_.begin(), counts.waits_.end());
    const Duration wait = counts.waits_[counts.waits_.size() * 99 / 100];
    row.waitP99_ = std::chrono::duration<double, std::milli>(wait).count();
  }
  return row;
}

int
Main(int aArgc, char** aArgv)
{
  TraceOptions trace;
  std::string path = "limits-trace.txt";
  double load = 0.9;
  double burst = 4;
  double kill = 0;
  double warmUp = 10;
  std::int64_t maxWait = 1500;
  po::options_description options(
    "Compares ways to limit workspaces on one arrival trace. Options");
  options.add_options()("help", "print this text")(
    "seed", po::value(&trace.seed_)->default_value(1), "seed of the trace and of the latencies")(
    "trace",
    po::value(&path)->default_value(path),
    "file that the trace is written to and read from")("reuse",
                                                       "read the trace as it is, do not write it")(
    "hosts", po::value(&trace.hosts_)->default_value(8), "number of hosts")(
    "requests", po::value(&trace.requests_)->default_value(40), "requests per second")(
    "seconds", po::value(&trace.seconds_)->default_value(60), "length of the trace")(
    "mean", po::value(&trace.mean_)->default_value(500), "mean upper bound of a request in tokens")(
    "hot", po::value(&trace.hotShare_)->default_value(1), "part of the requests at the hot host")(
    "shift", po::value(&trace.shift_)->default_value(20), "seconds until another host is hot")(
    "spent", po::value(&trace.spentShare_)->default_value(1), "true count as a part of the bound")(
    "run-ms", po::value(&trace.runs_)->default_value(3000), "mean run time of a request")(
    "load",
    po::value(&load)->default_value(0.9),
    "tokens truly spent per second, as a part of the rate")(
    "burst", po::value(&burst)->default_value(4), "burst in seconds of the rate")(
    "kill",
    po::value(&kill)->default_value(0),
    "second at which the owner's host is killed; 0 = never")(
    "warm-up",
    po::value(&warmUp)->default_value(10),
    "seconds at the start that are not counted as refused")(
    "max-wait-ms", po::value(&maxWait)->default_value(1500), "longest wait for tokens");
  po::variables_map values;
  po::store(po::parse_command_line(aArgc, aArgv, options), values);
  po::notify(values);
  if (values.count("help") != 0) {
    std::cout << options;
    return 0;
  }
  if (values.count("reuse") == 0) {
    WriteTrace(path, trace);
  }
  const std::vector<Arrival> arrivals = ReadTrace(path);
  WorldOptions world;
  world.hosts_ = trace.hosts_;
  world.seed_ = trace.seed_;
  world.settings_.maxWait_ = milliseconds(maxWait);
  world.rule_.rate_ = static_cast<TokenCount>(trace.requests_ * static_cast<double>(trace.mean_) *
                                              trace.spentShare_ / load);
  world.rule_.burst_ = static_cast<TokenCount>(static_cast<double>(world.rule_.rate_) * burst);
  std::cout << arrivals.size() << " requests, " << trace.hosts_ << " hosts, rate "
            << world.rule_.rate_ << ", burst " << world.rule_.burst_ << '\n'
            << "way     overspend  refused%  refused%10s  recovery_s  wait_p99_ms  msgs/req  "
               "bytes/s/host\n"
            << std::fixed;
  const std::vector<std::pair<std::string, LimitWay>> ways{ { "chunks", LimitWay::Chunks },
                                                            { "split", LimitWay::Split },
                                                            { "single", LimitWay::Single } };
  for (const auto& [name, way] : ways) {
    world.way_ = way;
    const Row row = Replay(arrivals, world, kill, warmUp);
    std::cout << std::left << std::setw(8) << name << std::right << std::setprecision(0)
              << std::setw(9) << row.overspend_ << std::setprecision(3) << std::setw(10)
              << row.refused_ << std::setw(13) << row.refusedKill_ << std::setprecision(2)
              << std::setw(12) << row.recovery_ << std::setprecision(1) << std::setw(13)
              << row.waitP99_ << std::setprecision(3) << std::setw(10) << row.messages_
              << std::setprecision(1) << std::setw(14) << row.bytes_ << '\n';
  }
  return 0;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  try {
    return Main(aArgc, aArgv);
  } catch (const po::error& error) {
    std::cerr << "limits_compare: " << error.what() << "; see --help\n";
    return 2;
  } catch (const std::exception& error) {
    std::cerr << "limits_compare: " << error.what() << '\n';
    return 1;
  }
}
