// Roll-outs: operators order that a service moves to another version of its
// targets, which run beside the old ones. A small share of the requests goes to
// a few targets of the new version, the canaries. One node compares what both
// versions did with the same routes in the same time, and either rolls the
// version back or moves all requests to it.
//
// Decision code without I/O. docs/design/rollouts.md has the reasons and the
// failures.
//
// Index of this file
//   [1] Orders and decisions
//   [2] RolloutTable: the orders in force and their progress
//   [3] Evidence: what the targets of both versions did
//   [4] Choice of the deciding node
//   [5] RolloutJudge: verdict of the deciding node
//   [6] RolloutSplit: targets that an entry node may use
//   [7] Settings
#pragma once

#include "core/core.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Orders and decisions
//-----------------------------------------------------------------------------

struct RolloutOrder
{
  std::string m_service;
  std::string m_version; // of the targets that the service moves to
  Duration m_period{};   // in which a good version has to be completed
  LogPosition m_position;

  bool operator==(const RolloutOrder&) const = default;
};

// True for an order and its copy that the operators wrote again after the log
// had lost it: the content is equal, and the positions are equal or belong to
// different eras.
bool
IsSameOrder(const RolloutOrder& aLeft, const RolloutOrder& aRight);

// For messages, which name an order by its position: true when both positions
// can belong to one order of a service. A retained position stands for any
// position of its era, since the order is not in that era's log.
bool
IsSameOrder(const LogPosition& aLeft, const LogPosition& aRight);

// The values are those of RolloutDecision in src/wire/peer.capnp.
enum class RolloutStep : uint8_t
{
  Canary = 0,    // a small share of the requests goes to the new version
  Promoting = 1, // all requests move to it; the old targets finish theirs
  Completed = 2, // the old targets may be stopped
  RolledBack = 3 // the new version gets no requests
};

std::string_view
ToString(RolloutStep aStep);

struct RolloutDecision
{
  std::string m_service;
  std::string m_version;
  LogPosition m_position; // of the order
  RolloutStep m_step = RolloutStep::Canary;
  // Selects the canaries among the targets of the new version. It rises when
  // the evidence against the version rests on a single target.
  uint32_t m_round = 0;
  // The verdict is in the operators' log, or was read from there. The first one
  // that was written there counts, so it replaces an unwritten verdict.
  bool m_stored = false;

  bool operator==(const RolloutDecision&) const = default;
};

//-----------------------------------------------------------------------------
// [2] RolloutTable
//-----------------------------------------------------------------------------

// An order in force.
struct Rollout
{
  RolloutOrder m_order;
  RolloutStep m_step = RolloutStep::Canary;
  uint32_t m_round = 0;
  bool m_stored = false;
  TimePoint m_learnedAt;                 // by this node
  std::optional<TimePoint> m_promotedAt; // when this node learned of Promoting

  bool IsFinal() const
  {
    return m_step == RolloutStep::Completed ||
           m_step == RolloutStep::RolledBack;
  }
  RolloutDecision Decision() const;
};

// The latest order of each service, in every node. Orders arrive from the
// operators' log and from peers, repeatedly and in any order; so do decisions.
class RolloutTable
{
public:
  // Takes the orders of a configuration. An order that is missing there stays
  // in force. Returns true when an order was added, replaced or got a later
  // position. An order without a position, version or period is ignored.
  bool Update(std::span<const RolloutOrder> aOrders, TimePoint aNow);
  // Returns true when the decision changed the progress of its order. A
  // decision about another order has no effect. Completed counts as Promoting
  // until it is stored. aNow: start of the time of promotion, should this node
  // become the deciding one.
  bool Decide(const RolloutDecision& aDecision,
              std::optional<TimePoint> aNow = std::nullopt);
  // Returns nullptr when no order was received for the service.
  const Rollout* Find(std::string_view aService) const;
  const std::map<std::string, Rollout, std::less<>>& All() const
  {
    return m_rollouts;
  }
  // The orders in force, to be sent to peers. One that a later era has lost has
  // a retained position.
  std::vector<RolloutOrder> Orders() const;
  // Versions of the service that were ordered earlier and not completed. Their
  // targets get no requests.
  std::vector<std::string> AbandonedVersions(std::string_view aService) const;
  bool Empty() const { return m_rollouts.empty(); }

private:
  struct History
  {
    std::vector<RolloutOrder> m_replaced; // the latest ones
    std::set<std::string> m_abandoned;    // versions
  };

  std::map<std::string, Rollout, std::less<>> m_rollouts; // by service
  std::map<std::string, History, std::less<>> m_history;  // by service
};

//-----------------------------------------------------------------------------
// [3] Evidence
//-----------------------------------------------------------------------------

// Bucket i holds latencies from kFirstLatency * 2^(i/2), the last one all above
// it, the first one all below its end.
inline constexpr size_t kLatencyBuckets = 40;
inline constexpr Duration kFirstLatency = std::chrono::microseconds(250);
using LatencyCounts = std::array<uint32_t, kLatencyBuckets>;

size_t
LatencyBucket(Duration aLatency);

// Counts for the requests of one class since the order.
struct RouteEvidence
{
  uint32_t m_routeClass = 0;
  uint64_t m_requests = 0;
  uint64_t m_failures = 0;
  Duration m_latencySum{}; // of the requests that did not fail
  LatencyCounts m_latencies{};
  // Latencies divided by the slowness of the target's machine at that time, as
  // far as the target reports it: what other work on the machine adds hides the
  // difference between versions. All 0 when it is not reported.
  LatencyCounts m_adjusted{};

  bool operator==(const RouteEvidence&) const = default;
};

// What the target beside one node did since the order.
struct RolloutEvidence
{
  NodeId m_node;
  uint64_t m_incarnation = 0; // of the counters: they are 0 at its beginning
  std::string m_service;
  std::string m_version;  // of the target
  LogPosition m_position; // of the order
  Duration m_age{};       // since the node learned of the order
  std::vector<RouteEvidence> m_routes;

  bool operator==(const RolloutEvidence&) const = default;
};

enum class TargetResult : uint8_t
{
  Good,   // a whole response with a status below 500
  Failed, // 5xx, reset, invalid response, or no response in time after sending
  Ignored // refused before sending, or ended by its caller
};

// Counts at the node beside a target, whichever version it has.
class EvidenceCounter
{
public:
  // Starts at 0 for an order that differs from the last one. aRollout: nullptr
  // when the service has no order; then nothing is counted. Decided roll-outs
  // are counted until the next order.
  void SetOrder(const Rollout* aRollout);
  // aLatency: from sending the request to the target to the end of its
  // response. Requests that were sent while the target was cold are not
  // counted. aSlowness: of the machine, as LoadReport::m_slowness; 0: unknown.
  void OnResult(uint32_t aRouteClass,
                TargetResult aResult,
                Duration aLatency,
                bool aCold,
                uint32_t aSlowness = 0);
  // Fills in all but node, incarnation and version. nullopt without an order.
  std::optional<RolloutEvidence> Evidence(TimePoint aNow) const;

private:
  std::optional<RolloutOrder> m_order;
  TimePoint m_learnedAt;
  std::map<uint32_t, RouteEvidence> m_routes;
};

//-----------------------------------------------------------------------------
// [4] Choice of the deciding node
//-----------------------------------------------------------------------------

// Rendezvous hash over the reachable nodes beside targets of the service, of
// both versions. nullopt when aNodes is empty.
std::optional<NodeId>
DeciderOf(std::string_view aService, std::span<const NodeId> aNodes);

//-----------------------------------------------------------------------------
// [5] RolloutJudge
//-----------------------------------------------------------------------------

// Input of the verdict beside the evidence.
struct RolloutSituation
{
  bool m_storeReachable = false;
  uint32_t m_oldTargets = 0; // usable ones, in zones that are in service
  uint32_t m_newTargets = 0; // likewise, cold ones included
};

enum class RolloutReason : uint8_t
{
  Collecting,    // too little evidence, or too early
  NoTargets,     // too few usable targets of the new version
  StoreAway,     // would have been promoted or completed otherwise
  OneTarget,     // evidence against a single target; others are tried
  Failures,      // fails significantly more often than the old version
  Slowness,      // is significantly slower than the old version
  NothingAgainst // enough evidence without a significant difference
};

std::string_view
ToString(RolloutReason aReason);

// Counts of both versions, for logs, metrics and the status command.
struct VersionTotals
{
  uint64_t m_requests = 0;
  uint64_t m_failures = 0;
  Duration m_meanLatency{};
};

struct RolloutVerdict
{
  RolloutStep m_step = RolloutStep::Canary;
  uint32_t m_round = 0;
  RolloutReason m_reason = RolloutReason::Collecting;
  // Of the strongest evidence against the version: nullopt stands for all
  // routes together.
  std::optional<uint32_t> m_routeClass;
  double m_evidence = 0; // natural logarithm; see RolloutSettings
  VersionTotals m_old;
  VersionTotals m_new;
};

// Compares the versions of one order. A new deciding node begins with a new
// judge: the counts are cumulative, so nothing has to be handed over.
class RolloutJudge : public Component
{
public:
  // Adds the counts of one node; in any order and repeatedly. Evidence of
  // another order is ignored. aEvidence.m_version decides the side.
  virtual void OnEvidence(const RolloutEvidence& aEvidence, TimePoint aNow) = 0;
  // To be called after each poll of the nodes. aCurrent: progress of the same
  // order. The result's step is never behind it, and equals it once it is
  // final. Before Completed is passed to RolloutTable::Decide, it must be in
  // the operators' log; RolledBack must take effect at once.
  virtual RolloutVerdict Judge(const Rollout& aCurrent,
                               const RolloutSituation& aSituation,
                               TimePoint aNow) = 0;
};

//-----------------------------------------------------------------------------
// [6] RolloutSplit
//-----------------------------------------------------------------------------

// Bits, so that a request can be allowed to use several. kNoRole: the target
// gets no requests.
enum class TargetRole : uint8_t
{
  Normal = 1,  // of the version in use
  Canary = 2,  // of the new version, gets the canary share
  Waiting = 4, // of the new version, gets requests from Promoting on
  Replaced = 8 // of the old version after Completed
};
using TargetRoles = uint8_t;
inline constexpr TargetRoles kNoRole = 0;

struct SplitTarget
{
  NodeId m_node;
  std::string m_version;
  bool m_usable = false; // ready, not leaving, in a zone that is in service
  bool m_cold = false;
};

// Targets that a request may use.
struct SplitChoice
{
  TargetRoles m_preferred = static_cast<TargetRoles>(TargetRole::Normal);
  // For when none of the preferred ones can take the request; may be kNoRole.
  TargetRoles m_fallback = kNoRole;
};

// Divides the requests of an entry node between the versions. Every entry node
// has the same canaries as long as it sees the same targets.
class RolloutSplit : public Component
{
public:
  // To be called after each change of aTable.
  virtual void SetRollouts(const RolloutTable& aTable, TimePoint aNow) = 0;
  // Replaces the targets of a service.
  virtual void SetTargets(std::string_view aService,
                          std::span<const SplitTarget> aTargets,
                          TimePoint aNow) = 0;
  // False: all targets of the service are Normal, and Choose need not be
  // called.
  virtual bool HasRollout(std::string_view aService) const = 0;
  // Changes after SetRollouts and SetTargets only. kNoRole for an unknown
  // target of a service with an order.
  virtual TargetRoles RoleOf(std::string_view aService,
                             const NodeId& aTarget) const = 0;
  // Must be called once for each attempt. aIsRetry: an earlier attempt of the
  // request was sent; it does not go to the new version then as long as the old
  // one has usable targets.
  virtual SplitChoice Choose(std::string_view aService,
                             uint32_t aRouteClass,
                             bool aIsRetry,
                             TimePoint aNow) = 0;
  // Current share of the new version in first attempts, for metrics.
  virtual double Share(std::string_view aService, TimePoint aNow) const = 0;
};

//-----------------------------------------------------------------------------
// [7] Settings
//-----------------------------------------------------------------------------

struct RolloutSettings
{
  // Share of a service's requests that may go to canaries. What the operators
  // tolerate for a bad version is above it, since nodes see different targets
  // for a moment.
  double m_canaryShare = 0.08;
  // Load of a canary, as a multiple of the average load of an old target. A
  // version may be bad under load only, so few canaries get a full load each.
  double m_canaryLoad = 1.25;
  // Promoting: time until the new version gets all requests, and time that the
  // old targets then have for those they are working on. Operators stop the old
  // targets at Completed without waiting for them.
  Duration m_rampTime{ std::chrono::seconds(2) };
  Duration m_drainTime{ std::chrono::milliseconds(1500) };

  // Part of the period at whose end a good version is to be completed. The rest
  // is a reserve for the write to the log. Versions may fail late, so there is
  // no reason to be earlier.
  double m_completeAt = 0.9;
  // Promoting does not begin before this part of the period.
  double m_earliestPromotion = 0.5;
  // Targets of the new version per old target that Promoting needs. The old
  // ones are stopped at Completed, so the new ones must carry the whole load.
  double m_minCapacity = 0.7;

  // Probability that a good version is rolled back, per order at most, if
  // requests are independent beyond the dispersion that the old targets show.
  double m_falseAlarmRate = 0.01;
  // Differences up to these do not count against a version: callers hardly
  // notice them, and targets of one version differ as much.
  double m_minFailureShare = 0.02; // above the share of the old version
  double m_minSlowShare = 0.05;    // of responses that are slower
  double m_minSlowdown = 2;        // by this factor
  // Evidence against at least this many targets rolls a version back, unless it
  // has fewer: a single target may be at fault itself.
  uint32_t m_minTargets = 2;
  // The old version's figures are those of this time, or of this number of
  // requests if that is shorter. Faults that both versions share come and go.
  Duration m_baselineTime{ std::chrono::seconds(5) };
  double m_baselineRequests = 300;
};

std::unique_ptr<RolloutJudge>
MakeRolloutJudge(RolloutSettings aSettings, const Rollout& aRollout);

// aNode: name of the entry node; spreads the first requests of the fleet to the
// canaries over time.
std::unique_ptr<RolloutSplit>
MakeRolloutSplit(RolloutSettings aSettings, const NodeId& aNode);

} // namespace sassafrasquay
