/** @file rule_type.h Rules that operators set, as typed values. */
#ifndef LABURNUMWEIR_RULES_RULE_TYPE_H
#define LABURNUMWEIR_RULES_RULE_TYPE_H

#include "core/clock_base.h"
#include "core/id_type.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laburnumweir {

/** A workspace and its limit across all hosts. */
struct WorkspaceRule
{
  WorkspaceId id_;       ///< Name of the workspace.
  TokenCount rate_ = 0;  ///< Tokens per second.
  TokenCount burst_ = 0; ///< Most tokens at once.

  bool operator==(const WorkspaceRule&) const = default;
};

/** A key that callers of a workspace may show. */
struct KeyRule
{
  WorkspaceId workspace_; ///< Workspace that the key belongs to.
  KeyDigest digest_;      ///< SHA-256 of the key; the key itself is never stored.
  std::string name_;      ///< Name for people, may be empty.

  bool operator==(const KeyRule&) const = default;
};

/** A class of requests. */
struct ClassRule
{
  ClassId id_;                                   ///< Name of the class.
  std::chrono::milliseconds maxWait_{ 2000 };    ///< Longest wait in the queue.
  std::optional<std::chrono::minutes> deadline_; ///< Minute of the day by which work must be done.
  std::string zone_ = "UTC";                     ///< IANA time zone of the deadline.

  bool operator==(const ClassRule&) const = default;
};

/** Order of classes in some hours of the day. */
struct OrderRule
{
  bool isDefault_ = false;         ///< Applies where no other order does.
  std::chrono::minutes from_{ 0 }; ///< Start, minute of the day.
  std::chrono::minutes to_{ 0 };   ///< End, exclusive; before the start means past midnight.
  std::string zone_ = "UTC";       ///< IANA time zone of the hours.
  std::vector<ClassId> classes_;   ///< Classes, first served first.

  bool operator==(const OrderRule&) const = default;
};

/** A path prefix that leads to a plain service. */
struct RouteRule
{
  std::string prefix_;       ///< Path prefix, begins with '/'.
  ServiceName service_;      ///< Service that answers.
  bool isOpen_ = false;      ///< Needs no key.
  bool neverRepeat_ = false; ///< At most once; needs an idempotency key.
  ClassId class_;            ///< Class of its requests, may be empty.

  bool operator==(const RouteRule&) const = default;
};

/** A data centre, in service or not. */
struct DataCentreRule
{
  DataCentreId id_;       ///< Name of the data centre.
  bool inService_ = true; ///< Whether it gets new work.

  bool operator==(const DataCentreRule&) const = default;
};

/** Kind of an upstream. */
enum class UpstreamKind : std::uint8_t
{
  Engine, ///< Model engine that serves adapters.
  Service ///< Plain service.
};

/** An upstream and how to reach it. */
struct UpstreamRule
{
  UpstreamId id_;                            ///< Name of the upstream.
  UpstreamKind kind_ = UpstreamKind::Engine; ///< Model engine or plain service.
  std::string address_;                      ///< IP address.
  std::uint16_t port_ = 0;                   ///< TCP port.
  DataCentreId dataCentre_;                  ///< Data centre it stands in.
  std::string model_;                        ///< Base model (engines).
  std::uint32_t slots_ = 0;                  ///< Adapter slots (engines).
  std::uint32_t maxRunning_ = 0;             ///< Most concurrent requests (engines); 0 = no limit.
  bool checksFencing_ = false;               ///< Refuses orders with an old fencing number.
  bool isLeaving_ = false;                   ///< Gets no new work.
  ServiceName service_;                      ///< Service name (plain services).

  bool operator==(const UpstreamRule&) const = default;
};

/** All rules in force at one revision. */
struct RuleSet
{
  std::map<WorkspaceId, WorkspaceRule> workspaces_;    ///< Workspaces by name.
  std::map<KeyDigest, KeyRule> keys_;                  ///< Keys by digest.
  std::map<ClassId, ClassRule> classes_;               ///< Classes by name.
  std::vector<OrderRule> orders_;                      ///< Orders in file sequence.
  std::map<std::string, RouteRule> routes_;            ///< Routes by prefix.
  std::map<DataCentreId, DataCentreRule> dataCentres_; ///< Data centres by name.
  std::map<UpstreamId, UpstreamRule> upstreams_;       ///< Upstreams by name.

  bool operator==(const RuleSet&) const = default;
};

} // namespace laburnumweir

#endif
