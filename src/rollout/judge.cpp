// Verdict of the deciding node.
#include "rollout/version_test.h"

#include <cmath>

namespace sassafrasquay {

namespace {

// A block of a route is compared when it has this many requests of the old
// version.
constexpr double kBlockRequests = 20;
// Requests of the old version below which all since the order count, not only
// the recent ones.
constexpr double kMinRecentRequests = 50;
// Weight of the products that start with the first block; the rest is spread
// over the period.
constexpr double kFirstWeight = 0.25;
// Evidence at which other targets are tried, and evidence that targets beside
// the most suspicious one must add to a verdict.
const double kSuspicion = std::log(50);
const double kConfirmation = std::log(20);
// A version is not promoted while the evidence against it exceeds this.
const double kDoubt = std::log(20);
// Part of the canary share that must have arrived at the new version.
constexpr double kMinArrivals = 0.25;

RouteCounts
Difference(const RouteEvidence& aNow, const RouteEvidence& aBefore)
{
  RouteCounts counts;
  counts.m_requests = double(aNow.m_requests - aBefore.m_requests);
  counts.m_failures = double(aNow.m_failures - aBefore.m_failures);
  for (size_t i = 0; i < kLatencyBuckets; ++i) {
    counts.m_latencies[i] =
      double(aNow.m_latencies[i]) - double(aBefore.m_latencies[i]);
    counts.m_adjusted[i] =
      double(aNow.m_adjusted[i]) - double(aBefore.m_adjusted[i]);
  }
  return counts;
}

// Old evidence, or a message that is not from an EvidenceCounter.
bool
IsBehind(const RouteEvidence& aNow, const RouteEvidence& aBefore)
{
  if (aNow.m_requests < aBefore.m_requests ||
      aNow.m_failures < aBefore.m_failures) {
    return true;
  }
  uint64_t responses = 0;
  for (size_t i = 0; i < kLatencyBuckets; ++i) {
    if (aNow.m_latencies[i] < aBefore.m_latencies[i] ||
        aNow.m_adjusted[i] < aBefore.m_adjusted[i]) {
      return true;
    }
    responses += aNow.m_latencies[i];
  }
  return aNow.m_failures + responses != aNow.m_requests;
}

// Entry nodes learn of a new round within this time. Requests that reach the
// target of the last round later, beyond a few that were on their way, show
// that it was chosen again.
constexpr Duration kRoundTime = std::chrono::seconds(1);
constexpr uint64_t kRoundSlack = 5;

class SequentialJudge : public RolloutJudge
{
public:
  SequentialJudge(RolloutSettings aSettings, const Rollout& aRollout)
    : m_settings(aSettings)
    , m_order(aRollout.m_order)
  {
  }

  void OnEvidence(const RolloutEvidence& aEvidence, TimePoint aNow) override;
  RolloutVerdict Judge(const Rollout& aCurrent,
                       const RolloutSituation& aSituation,
                       TimePoint aNow) override;

private:
  // Last counts of one node in one incarnation, by route class.
  struct Source
  {
    uint64_t m_incarnation = 0;
    std::string m_version;
    std::map<uint32_t, RouteEvidence> m_routes;
  };
  struct Route
  {
    RouteCounts m_recent; // of the old version, decaying
    RouteCounts m_total;  // of the old version
    std::map<NodeId, RouteCounts> m_oldTargets;
    // Since the last comparison.
    RouteCounts m_oldBlock;
    std::map<NodeId, RouteCounts> m_newBlock; // by target
    std::optional<TimePoint> m_blockStart;
    // Products of the route, and by target.
    EvidenceProduct m_product;
    std::map<NodeId, EvidenceProduct> m_targets;
  };
  // Strongest evidence against the version.
  struct Suspicion
  {
    double m_evidence = 0;
    RolloutReason m_reason = RolloutReason::Collecting;
    std::optional<uint32_t> m_routeClass;
    NodeId m_target; // the one with most of the evidence
    double m_targetEvidence = 0;
  };

  void Count(Route& aRoute,
             const NodeId& aNode,
             bool aIsNew,
             const RouteCounts& aCounts,
             TimePoint aNow);
  void CompareBlocks(TimePoint aNow);
  void CloseBlock(Route& aRoute,
                  double aWeight,
                  BlockRatios& aAllRoutes,
                  TimePoint aNow);
  static void Find(const EvidenceProduct& aProduct,
                   const std::map<NodeId, EvidenceProduct>& aTargets,
                   std::optional<uint32_t> aRouteClass,
                   Suspicion& aSuspicion);
  Suspicion FindSuspicion() const;
  double Threshold() const;
  RolloutReason TryPromote(const RolloutSituation& aSituation,
                           double aEvidence,
                           Duration aAge) const;
  bool MustTryOther(const NodeId& aTarget, TimePoint aNow);
  void Decide(const Rollout& aCurrent,
              const RolloutSituation& aSituation,
              Duration aAge,
              TimePoint aNow,
              RolloutVerdict& aVerdict);

  RolloutSettings m_settings;
  RolloutOrder m_order;
  std::map<NodeId, Source> m_sources;
  std::map<uint32_t, Route> m_routes;
  // Products over all routes together.
  EvidenceProduct m_product;
  std::map<NodeId, EvidenceProduct> m_targets;
  std::optional<TimePoint> m_orderedAt; // the earliest one reported
  std::optional<TimePoint> m_comparedAt;
  std::optional<TimePoint> m_promotedAt;
  // Targets after whose suspicion the round rose.
  struct Tried
  {
    TimePoint m_at;          // of the last rise
    uint64_t m_requests = 0; // of the target until then
  };
  std::map<NodeId, Tried> m_tried;
  std::map<NodeId, uint64_t> m_newRequests; // by target
  VersionTotals m_old;
  VersionTotals m_new;
  // Requests of the old version since the first one of the new version.
  uint64_t m_oldBesideNew = 0;
  Duration m_oldLatency{}; // sum
  Duration m_newLatency{};
};

void
SequentialJudge::OnEvidence(const RolloutEvidence& aEvidence, TimePoint aNow)
{
  if (aEvidence.m_service != m_order.m_service ||
      !IsSameOrder(aEvidence.m_position, m_order.m_position)) {
    return;
  }
  const TimePoint orderedAt = aNow - aEvidence.m_age;
  m_orderedAt = std::min(m_orderedAt.value_or(orderedAt), orderedAt);
  Source& source = m_sources[aEvidence.m_node];
  if (aEvidence.m_incarnation < source.m_incarnation) {
    return;
  }
  if (aEvidence.m_incarnation != source.m_incarnation ||
      aEvidence.m_version != source.m_version) {
    source = Source();
    source.m_incarnation = aEvidence.m_incarnation;
    source.m_version = aEvidence.m_version;
  }
  const bool isNew = aEvidence.m_version == m_order.m_version;
  for (const RouteEvidence& route : aEvidence.m_routes) {
    RouteEvidence& before = source.m_routes[route.m_routeClass];
    if (IsBehind(route, before)) {
      continue;
    }
    VersionTotals& totals = isNew ? m_new : m_old;
    if (isNew) {
      m_newRequests[aEvidence.m_node] += route.m_requests - before.m_requests;
    } else if (m_new.m_requests > 0) {
      m_oldBesideNew += route.m_requests - before.m_requests;
    }
    totals.m_requests += route.m_requests - before.m_requests;
    totals.m_failures += route.m_failures - before.m_failures;
    (isNew ? m_newLatency : m_oldLatency) +=
      route.m_latencySum - before.m_latencySum;
    Count(m_routes[route.m_routeClass],
          aEvidence.m_node,
          isNew,
          Difference(route, before),
          aNow);
    before = route;
  }
}

void
SequentialJudge::Count(Route& aRoute,
                       const NodeId& aNode,
                       bool aIsNew,
                       const RouteCounts& aCounts,
                       TimePoint aNow)
{
  if (aCounts.m_requests == 0) {
    return;
  }
  if (!aRoute.m_blockStart) {
    aRoute.m_blockStart = aNow;
  }
  if (aIsNew) {
    aRoute.m_newBlock[aNode].Add(aCounts);
  } else {
    aRoute.m_oldBlock.Add(aCounts);
    aRoute.m_oldTargets[aNode].Add(aCounts);
  }
}

// Compares the routes that have enough requests of the old version. Without
// any, the versions did not run in the same time.
void
SequentialJudge::CompareBlocks(TimePoint aNow)
{
  double weight = kFirstWeight;
  if (m_comparedAt) {
    weight = (1 - kFirstWeight) * (FloatSeconds(aNow - *m_comparedAt) /
                                   FloatSeconds(m_order.m_period));
  }
  BlockRatios allRoutes;
  bool hasNew = false;
  for (auto& [routeClass, route] : m_routes) {
    if (route.m_oldBlock.m_requests >= kBlockRequests) {
      hasNew |= !route.m_newBlock.empty();
      CloseBlock(route, weight, allRoutes, aNow);
    }
  }
  if (hasNew) {
    m_product.Add(allRoutes, weight);
    m_comparedAt = aNow;
  }
}

// Adds the ratios of the route to aAllRoutes.
void
SequentialJudge::CloseBlock(Route& aRoute,
                            double aWeight,
                            BlockRatios& aAllRoutes,
                            TimePoint aNow)
{
  const double elapsed = FloatSeconds(aNow - *aRoute.m_blockStart) /
                         FloatSeconds(m_settings.m_baselineTime);
  aRoute.m_recent.Scale(std::exp(-std::max(
    elapsed, aRoute.m_oldBlock.m_requests / m_settings.m_baselineRequests)));
  aRoute.m_recent.Add(aRoute.m_oldBlock);
  aRoute.m_total.Add(aRoute.m_oldBlock);
  if (!aRoute.m_newBlock.empty()) {
    const bool isEnough = aRoute.m_recent.m_requests >= kMinRecentRequests;
    const BlockTest test(m_settings,
                         isEnough ? aRoute.m_recent : aRoute.m_total,
                         aRoute.m_oldBlock,
                         DispersionOf(aRoute.m_oldTargets));
    RouteCounts all;
    for (const auto& [node, counts] : aRoute.m_newBlock) {
      all.Add(counts);
      const BlockRatios ratios = test.Compare(counts);
      aRoute.m_targets[node].Add(ratios, aWeight);
      m_targets[node].Add(ratios, aWeight);
    }
    const BlockRatios ratios = test.Compare(all);
    aRoute.m_product.Add(ratios, aWeight);
    aAllRoutes.Add(ratios);
    if (test.OldChanged()) {
      // Forgets most of what was before, so that the next blocks are compared
      // with the old version as it is now.
      const double before =
        aRoute.m_recent.m_requests - aRoute.m_oldBlock.m_requests;
      aRoute.m_recent.Scale(
        std::min(1.0, aRoute.m_oldBlock.m_requests / std::max(before, 1.0)));
      aRoute.m_recent.Add(aRoute.m_oldBlock);
      aRoute.m_total = aRoute.m_recent;
    }
  }
  aRoute.m_oldBlock = RouteCounts();
  aRoute.m_newBlock.clear();
  aRoute.m_blockStart.reset();
}

// Replaces aSuspicion when aProduct is stronger.
void
SequentialJudge::Find(const EvidenceProduct& aProduct,
                      const std::map<NodeId, EvidenceProduct>& aTargets,
                      std::optional<uint32_t> aRouteClass,
                      Suspicion& aSuspicion)
{
  const double evidence = aProduct.Strongest();
  if (evidence <= aSuspicion.m_evidence) {
    return;
  }
  const bool fails = aProduct.Failures() >= aProduct.Slowness();
  aSuspicion = { evidence,
                 fails ? RolloutReason::Failures : RolloutReason::Slowness,
                 aRouteClass,
                 {},
                 0 };
  for (const auto& [node, target] : aTargets) {
    const double own = target.Strongest();
    if (own > aSuspicion.m_targetEvidence) {
      aSuspicion.m_target = node;
      aSuspicion.m_targetEvidence = own;
    }
  }
}

SequentialJudge::Suspicion
SequentialJudge::FindSuspicion() const
{
  Suspicion suspicion;
  Find(m_product, m_targets, std::nullopt, suspicion);
  for (const auto& [routeClass, route] : m_routes) {
    Find(route.m_product, route.m_targets, routeClass, suspicion);
  }
  return suspicion;
}

// The false alarm rate is divided among all tests on each route and on all
// routes together.
double
SequentialJudge::Threshold() const
{
  const double products = kTestsPerProduct * (double(m_routes.size()) + 1);
  return std::log(products / m_settings.m_falseAlarmRate);
}

// Returns NothingAgainst when the version may be promoted.
RolloutReason
SequentialJudge::TryPromote(const RolloutSituation& aSituation,
                            double aEvidence,
                            Duration aAge) const
{
  if (aSituation.m_newTargets == 0 ||
      aSituation.m_newTargets <
        m_settings.m_minCapacity * aSituation.m_oldTargets) {
    return RolloutReason::NoTargets;
  }
  const FloatSeconds period = m_order.m_period;
  const FloatSeconds latest = m_settings.m_completeAt * period -
                              FloatSeconds(m_settings.m_rampTime) -
                              FloatSeconds(m_settings.m_drainTime);
  const FloatSeconds promoteAt =
    std::max(latest, m_settings.m_earliestPromotion * period);
  const uint64_t comparable =
    m_new.m_requests == 0 ? m_old.m_requests : m_oldBesideNew;
  const double expected =
    m_settings.m_canaryShare * double(comparable) * kMinArrivals;
  if (aAge < promoteAt || aEvidence >= kDoubt ||
      double(m_new.m_requests) < std::floor(expected)) {
    return RolloutReason::Collecting;
  }
  return aSituation.m_storeReachable ? RolloutReason::NothingAgainst
                                     : RolloutReason::StoreAway;
}

// True when the target became suspicious, or has got requests since the round
// rose for it. Canaries are chosen among the usable targets, so the next round
// may choose the same target when others have come or gone.
bool
SequentialJudge::MustTryOther(const NodeId& aTarget, TimePoint aNow)
{
  const uint64_t requests = m_newRequests[aTarget];
  const auto [entry, isNew] = m_tried.try_emplace(aTarget);
  Tried& tried = entry->second;
  const bool isStillUsed = aNow >= tried.m_at + kRoundTime &&
                           requests > tried.m_requests + kRoundSlack;
  if (!isNew && !isStillUsed) {
    return false;
  }
  tried = { aNow, requests };
  return true;
}

void
SequentialJudge::Decide(const Rollout& aCurrent,
                        const RolloutSituation& aSituation,
                        Duration aAge,
                        TimePoint aNow,
                        RolloutVerdict& aVerdict)
{
  const Suspicion suspicion = FindSuspicion();
  aVerdict.m_evidence = suspicion.m_evidence;
  aVerdict.m_routeClass = suspicion.m_routeClass;
  const bool isConfirmed =
    aSituation.m_newTargets < m_settings.m_minTargets ||
    suspicion.m_evidence - suspicion.m_targetEvidence >= kConfirmation;
  if (suspicion.m_evidence >= Threshold() && isConfirmed) {
    aVerdict.m_step = RolloutStep::RolledBack;
    aVerdict.m_reason = suspicion.m_reason;
    return;
  }
  if (aCurrent.m_step == RolloutStep::Promoting) {
    m_promotedAt = aCurrent.m_promotedAt.value_or(m_promotedAt.value_or(aNow));
    aVerdict.m_reason = RolloutReason::NothingAgainst;
    if (aNow - *m_promotedAt >=
        m_settings.m_rampTime + m_settings.m_drainTime) {
      aVerdict.m_step = aSituation.m_storeReachable ? RolloutStep::Completed
                                                    : RolloutStep::Promoting;
      aVerdict.m_reason = aSituation.m_storeReachable
                            ? RolloutReason::NothingAgainst
                            : RolloutReason::StoreAway;
    }
    return;
  }
  aVerdict.m_reason = TryPromote(aSituation, suspicion.m_evidence, aAge);
  if (aVerdict.m_reason == RolloutReason::NothingAgainst) {
    aVerdict.m_step = RolloutStep::Promoting;
  } else if (suspicion.m_targetEvidence >= kSuspicion && !isConfirmed) {
    aVerdict.m_reason = RolloutReason::OneTarget;
    aVerdict.m_round += MustTryOther(suspicion.m_target, aNow) ? 1 : 0;
  }
}

RolloutVerdict
SequentialJudge::Judge(const Rollout& aCurrent,
                       const RolloutSituation& aSituation,
                       TimePoint aNow)
{
  CompareBlocks(aNow);
  m_orderedAt =
    std::min(m_orderedAt.value_or(aCurrent.m_learnedAt), aCurrent.m_learnedAt);
  RolloutVerdict verdict;
  verdict.m_step = aCurrent.m_step;
  verdict.m_round = aCurrent.m_round;
  if (!aCurrent.IsFinal()) {
    Decide(aCurrent, aSituation, aNow - *m_orderedAt, aNow, verdict);
  }
  m_old.m_meanLatency =
    m_oldLatency /
    std::max<int64_t>(1, int64_t(m_old.m_requests - m_old.m_failures));
  m_new.m_meanLatency =
    m_newLatency /
    std::max<int64_t>(1, int64_t(m_new.m_requests - m_new.m_failures));
  verdict.m_old = m_old;
  verdict.m_new = m_new;
  return verdict;
}

} // namespace

std::string_view
ToString(RolloutReason aReason)
{
  switch (aReason) {
    case RolloutReason::Collecting:
      return "collecting evidence";
    case RolloutReason::NoTargets:
      return "too few targets of the new version";
    case RolloutReason::StoreAway:
      return "waiting for the operators' log";
    case RolloutReason::OneTarget:
      return "evidence against one target only";
    case RolloutReason::Failures:
      return "fails more often than the old version";
    case RolloutReason::Slowness:
      return "is slower than the old version";
    case RolloutReason::NothingAgainst:
      return "no significant difference";
  }
  return "unknown";
}

std::unique_ptr<RolloutJudge>
MakeRolloutJudge(RolloutSettings aSettings, const Rollout& aRollout)
{
  return std::make_unique<SequentialJudge>(aSettings, aRollout);
}

} // namespace sassafrasquay
