// The production router: power of d choices by expected response time.
#include "routing/score.h"
#include "routing/selection.h"
#include "routing/table.h"

namespace sassafrasquay {

namespace {

class ProductionRouter : public Router
{
public:
  ProductionRouter(RouterSettings aSettings, Random& aRandom)
    : m_settings(std::move(aSettings))
    , m_random(aRandom)
    , m_table(m_settings.m_zone)
  {
    m_settings.m_maxChoices =
      std::min<uint32_t>(m_settings.m_maxChoices, kMaxDraws);
  }

  void SetTargets(std::string_view aService,
                  const std::vector<TargetInfo>& aTargets,
                  TimePoint aNow) override;
  void SetZonesOut(const std::vector<std::string>& aZones,
                   TimePoint aNow) override
  {
    Apply(m_table.SetZonesOut(aZones, aNow), aNow);
  }
  bool HasService(std::string_view aService) const override
  {
    return m_table.HasService(aService);
  }
  const TargetInfo* Target(TargetIndex aTarget) const override
  {
    return m_table.Target(aTarget);
  }
  RouteDecision Choose(const RouteRequest& aRequest, TimePoint aNow) override;
  RouteExplanation Explain(const RouteRequest& aRequest,
                           TimePoint aNow,
                           Random& aRandom) const override;
  void OnSent(TargetIndex aTarget, TimePoint aNow) override;
  void OnEnd(TargetIndex aTarget,
             const RouteFeedback& aFeedback,
             TimePoint aNow) override;
  void OnReport(TargetIndex aTarget,
                const LoadReport& aLoad,
                TimePoint aReportedAt) override;
  uint32_t InFlight(TargetIndex aTarget) const override
  {
    return m_table.InFlight(aTarget);
  }

private:
  // Target changes.
  void Apply(const std::vector<ChangedTarget>& aChanges, TimePoint aNow);
  void ResetEstimate(TargetIndex aTarget, double aShare, TimePoint aNow);
  void SetCold(TargetEstimate& aEstimate, bool aCold, TimePoint aNow);
  double RoundTrip(const TargetInfo& aInfo) const;

  // Selection. Only the random source changes.
  RouteDecision Select(const TargetTable::Pool& aPool,
                       const ServiceAverages& aAverages,
                       const RouteRequest& aRequest,
                       TimePoint aNow,
                       Random& aRandom,
                       Selection& aSelection) const;
  uint32_t CountCandidates(const TargetTable::Pool& aPool,
                           const RouteRequest& aRequest) const;
  // Scores a drawn target. False when its share of requests, in a slow start or
  // a cold start, leaves it out this time.
  bool Consider(TargetIndex aTarget,
                double aPenalty,
                const ServiceAverages& aAverages,
                TimePoint aNow,
                Random& aRandom,
                Selection& aSelection) const;
  bool ChooseNear(const TargetTable::Pool& aPool,
                  const ServiceAverages& aAverages,
                  const RouteRequest& aRequest,
                  TimePoint aNow,
                  Random& aRandom,
                  Selection& aSelection) const;
  bool IsNear(TargetIndex aTarget) const
  {
    return m_table.At(aTarget).m_info.m_zone == m_settings.m_zone;
  }
  RouteReason ZoneReason(TargetIndex aTarget) const;
  // Of a target in another zone, in seconds.
  double ZonePenalty(const RouteRequest& aRequest,
                     const ServiceAverages& aAverages) const;
  TargetIndex Explore(const TargetTable::Pool& aPool,
                      const RouteRequest& aRequest,
                      TimePoint aNow,
                      Random& aRandom) const;
  TargetExplanation ExplainTarget(TargetIndex aTarget,
                                  const RouteRequest& aRequest,
                                  TimePoint aNow) const;
  ScoreParts PartsOfScore(TargetIndex aTarget,
                          const ServiceAverages& aAverages,
                          TimePoint aNow) const
  {
    return ScoreTarget(m_estimates[aTarget],
                       m_table.InFlight(aTarget),
                       aAverages,
                       m_settings,
                       aNow);
  }
  // Expected time from now to the response, in seconds.
  double Score(TargetIndex aTarget,
               const ServiceAverages& aAverages,
               TimePoint aNow) const
  {
    return PartsOfScore(aTarget, aAverages, aNow).Total().count();
  }
  ServiceAverages& AveragesOf(TargetIndex aTarget)
  {
    return m_averages[m_table.At(aTarget).m_service];
  }
  const ServiceAverages& AveragesOf(TargetIndex aTarget) const
  {
    return m_averages[m_table.At(aTarget).m_service];
  }

  // Feedback.
  void ApplyReport(TargetIndex aTarget, const LoadReport& aLoad, TimePoint aAt);
  void AddLatencySample(TargetIndex aTarget,
                        const RouteFeedback& aFeedback,
                        TimePoint aNow);
  void AddFailure(TargetEstimate& aEstimate, double aGain, TimePoint aNow);

  RouterSettings m_settings;
  Random& m_random;
  TargetTable m_table;
  std::vector<TargetEstimate> m_estimates; // by target
  std::vector<ServiceAverages> m_averages; // by service
  ClassSizes m_responseSizes;
};

double
ProductionRouter::RoundTrip(const TargetInfo& aInfo) const
{
  if (aInfo.m_region != m_settings.m_region) {
    return 2 * ToSeconds(m_settings.m_regionLatency);
  }
  if (aInfo.m_zone != m_settings.m_zone) {
    return 2 * ToSeconds(m_settings.m_zoneLatency);
  }
  return 0;
}

void
ProductionRouter::SetTargets(std::string_view aService,
                             const std::vector<TargetInfo>& aTargets,
                             TimePoint aNow)
{
  const auto changes = m_table.SetTargets(aService, aTargets, aNow);
  m_estimates.resize(std::max(m_estimates.size(), m_table.Size()));
  Apply(changes, aNow);
  const TargetTable::Service* service = m_table.Find(aService);
  if (service == nullptr) {
    return;
  }
  m_averages.resize(m_table.ServiceCount());
  for (const TargetIndex index : service->m_all) {
    const TargetInfo& info = m_table.At(index).m_info;
    TargetEstimate& estimate = m_estimates[index];
    estimate.m_roundTrip = RoundTrip(info);
    estimate.m_slots = std::max(1U, info.m_slots);
    // A load report takes precedence over the value of membership, unless that
    // value has changed.
    if (!estimate.m_hasLoad || info.m_cold != estimate.m_membershipCold) {
      estimate.m_limit = estimate.m_slots;
      SetCold(estimate, info.m_cold, aNow);
    }
    estimate.m_membershipCold = info.m_cold;
  }
}

void
ProductionRouter::Apply(const std::vector<ChangedTarget>& aChanges,
                        TimePoint aNow)
{
  for (const ChangedTarget& change : aChanges) {
    // The first targets of a service need no slow start: all of them would have
    // the same share.
    const double share =
      change.m_change == TargetChange::Initial ? 1.0 : kRampStartShare;
    if (change.m_change == TargetChange::Returned) {
      m_estimates[change.m_target].m_rampStartShare = share;
      m_estimates[change.m_target].m_rampStartAt = aNow;
    } else {
      ResetEstimate(change.m_target, share, aNow);
    }
  }
}

void
ProductionRouter::ResetEstimate(TargetIndex aTarget,
                                double aShare,
                                TimePoint aNow)
{
  const TargetInfo& info = m_table.At(aTarget).m_info;
  TargetEstimate estimate;
  estimate.m_roundTrip = RoundTrip(info);
  estimate.m_slots = std::max(1U, info.m_slots);
  estimate.m_limit = estimate.m_slots;
  estimate.m_rampStartShare = aShare;
  estimate.m_rampStartAt = aNow;
  estimate.m_lastChosenAt = aNow;
  estimate.m_noResponseSince = aNow;
  estimate.m_incarnation = info.m_incarnation;
  m_estimates[aTarget] = estimate;
}

void
ProductionRouter::SetCold(TargetEstimate& aEstimate, bool aCold, TimePoint aNow)
{
  if (aCold == aEstimate.m_cold) {
    return;
  }
  aEstimate.m_rampStartShare =
    aCold ? kColdShare : ShareOf(aEstimate, m_settings, aNow);
  aEstimate.m_cold = aCold;
  aEstimate.m_rampStartAt = aNow;
}

uint32_t
ProductionRouter::CountCandidates(const TargetTable::Pool& aPool,
                                  const RouteRequest& aRequest) const
{
  auto count = static_cast<uint32_t>(aPool.m_usable.size());
  const size_t excluded = std::min(aRequest.m_excludedCount, kMaxExcluded);
  for (size_t i = 0; i < excluded; ++i) {
    const TargetIndex index = aRequest.m_excluded[i];
    const auto begin = aRequest.m_excluded.begin();
    const auto end = begin + static_cast<ptrdiff_t>(i);
    const bool counts =
      std::find(begin, end, index) == end &&
      std::find(aPool.m_usable.begin(), aPool.m_usable.end(), index) !=
        aPool.m_usable.end();
    count -= counts ? 1 : 0;
  }
  return count;
}

TargetIndex
ProductionRouter::Explore(const TargetTable::Pool& aPool,
                          const RouteRequest& aRequest,
                          TimePoint aNow,
                          Random& aRandom) const
{
  if ((aRandom.Next() & kExploreMask) != 0) {
    return kNoTarget;
  }
  const TargetIndex index =
    aPool.m_usable[aRandom.NextBelow(aPool.m_usable.size())];
  const bool idle = aNow - m_estimates[index].m_lastChosenAt > kExploreIdle;
  return idle && !IsExcluded(aRequest, index) ? index : kNoTarget;
}

RouteDecision
ProductionRouter::Choose(const RouteRequest& aRequest, TimePoint aNow)
{
  TargetTable::Service* service = m_table.Find(aRequest.m_service);
  if (service == nullptr || service->m_all.empty()) {
    return {};
  }
  m_table.UpdateUsableIfDue(*service, aNow);
  Selection selection;
  return Select(m_table.PoolFor(*service, aRequest.m_roles),
                AveragesOf(service->m_all.front()),
                aRequest,
                aNow,
                m_random,
                selection);
}

RouteDecision
ProductionRouter::Select(const TargetTable::Pool& aPool,
                         const ServiceAverages& aAverages,
                         const RouteRequest& aRequest,
                         TimePoint aNow,
                         Random& aRandom,
                         Selection& aSelection) const
{
  RouteDecision decision;
  decision.m_candidates = CountCandidates(aPool, aRequest);
  if (decision.m_candidates == 0) {
    return decision;
  }
  decision.m_target = Explore(aPool, aRequest, aNow, aRandom);
  if (decision.m_target != kNoTarget) {
    decision.m_reason = RouteReason::Exploration;
    decision.m_score = Score(decision.m_target, aAverages, aNow);
    return decision;
  }
  const bool isNear =
    ChooseNear(aPool, aAverages, aRequest, aNow, aRandom, aSelection);
  const double penalty = ZonePenalty(aRequest, aAverages);
  const size_t maxDraws = std::min<size_t>(
    { kMaxDraws,
      aSelection.m_draws.m_count + std::max(1U, m_settings.m_maxChoices),
      decision.m_candidates });
  aSelection.m_accepted = 0;
  while (!isNear && aSelection.m_draws.m_count < maxDraws) {
    const bool enough = aSelection.m_accepted >= m_settings.m_choices;
    if (enough &&
        aSelection.m_best.m_score < kExtraDrawThreshold * aAverages.m_latency) {
      break;
    }
    const TargetIndex index =
      aSelection.m_draws.Draw(aPool.m_usable, aRequest, aRandom);
    Consider(
      index, IsNear(index) ? 0 : penalty, aAverages, aNow, aRandom, aSelection);
  }
  const Best& best = aSelection.m_best;
  const Best& fallback = aSelection.m_fallback;
  const bool onlyFallback = best.m_target == kNoTarget;
  decision.m_target = onlyFallback ? fallback.m_target : best.m_target;
  decision.m_score = onlyFallback ? fallback.m_score : best.m_score;
  decision.m_reason = decision.m_candidates == 1 ? RouteReason::OnlyCandidate
                      : onlyFallback             ? RouteReason::LastResort
                                                 : ZoneReason(best.m_target);
  return decision;
}

RouteReason
ProductionRouter::ZoneReason(TargetIndex aTarget) const
{
  if (m_settings.m_zoneMargin <= 0) {
    return RouteReason::LowestScore;
  }
  return IsNear(aTarget) ? RouteReason::OwnZone : RouteReason::OtherZone;
}

bool
ProductionRouter::Consider(TargetIndex aTarget,
                           double aPenalty,
                           const ServiceAverages& aAverages,
                           TimePoint aNow,
                           Random& aRandom,
                           Selection& aSelection) const
{
  const double score = Score(aTarget, aAverages, aNow) + aPenalty;
  const double share = ShareOf(m_estimates[aTarget], m_settings, aNow);
  if (share < 1 && aRandom.NextDouble() >= share) {
    aSelection.m_fallback.Update(aTarget, score / share);
    return false;
  }
  aSelection.m_best.Update(aTarget, score);
  ++aSelection.m_accepted;
  return true;
}

// Draws targets of the entry node's own zone. True when the best of them has
// room, so that the request need not leave the zone.
bool
ProductionRouter::ChooseNear(const TargetTable::Pool& aPool,
                             const ServiceAverages& aAverages,
                             const RouteRequest& aRequest,
                             TimePoint aNow,
                             Random& aRandom,
                             Selection& aSelection) const
{
  if (m_settings.m_zoneMargin <= 0) {
    return false;
  }
  while (aSelection.m_accepted < m_settings.m_choices &&
         aSelection.m_draws.m_count < m_settings.m_maxChoices) {
    const TargetIndex index =
      aSelection.m_draws.Draw(aPool.m_near, aRequest, aRandom);
    if (index == kNoTarget) {
      break;
    }
    Consider(index, 0, aAverages, aNow, aRandom, aSelection);
  }
  return aSelection.m_accepted > 0 &&
         aSelection.m_best.m_score < kExtraDrawThreshold * aAverages.m_latency;
}

double
ProductionRouter::ZonePenalty(const RouteRequest& aRequest,
                              const ServiceAverages& aAverages) const
{
  const double bytes = static_cast<double>(aRequest.m_requestBytes) +
                       m_responseSizes.Mean(aRequest.m_routeClass);
  return m_settings.m_zoneMargin * aAverages.m_latency +
         m_settings.m_zoneByteCost.count() * bytes;
}

RouteExplanation
ProductionRouter::Explain(const RouteRequest& aRequest,
                          TimePoint aNow,
                          Random& aRandom) const
{
  RouteExplanation explanation;
  const TargetTable::Service* found = m_table.Find(aRequest.m_service);
  if (found == nullptr || found->m_all.empty()) {
    return explanation;
  }
  TargetTable::Service service = m_table.ServiceAt(*found, aNow);
  const TargetTable::Pool& pool = m_table.PoolFor(service, aRequest.m_roles);
  const ServiceAverages& averages = AveragesOf(service.m_all.front());
  explanation.m_isKnown = true;
  explanation.m_usualLatency = FloatSeconds(averages.m_latency);
  explanation.m_utilisation = averages.m_utilisation;
  Selection selection;
  explanation.m_decision =
    Select(pool, averages, aRequest, aNow, aRandom, selection);
  const std::unique_ptr<Random> trials = aRandom.Copy();
  std::map<TargetIndex, int> chosen;
  for (int i = 0; i < kExplainTrials; ++i) {
    Selection trial;
    ++chosen[Select(pool, averages, aRequest, aNow, *trials, trial).m_target];
  }
  const auto& draws = selection.m_draws;
  const auto end =
    draws.m_targets.begin() + static_cast<ptrdiff_t>(draws.m_count);
  for (const TargetIndex index : service.m_all) {
    TargetExplanation target = ExplainTarget(index, aRequest, aNow);
    target.m_sampled = std::find(draws.m_targets.begin(), end, index) != end;
    target.m_probability = static_cast<double>(chosen[index]) / kExplainTrials;
    explanation.m_targets.push_back(std::move(target));
  }
  return explanation;
}

TargetExplanation
ProductionRouter::ExplainTarget(TargetIndex aTarget,
                                const RouteRequest& aRequest,
                                TimePoint aNow) const
{
  const ServiceAverages& averages = AveragesOf(aTarget);
  TargetExplanation target;
  target.m_target = aTarget;
  target.m_info = m_table.At(aTarget).m_info;
  target.m_info.m_cold = m_estimates[aTarget].m_cold;
  target.m_exclusion = m_table.ExclusionOf(aTarget, aNow);
  if (target.m_exclusion == RouteExclusion::None &&
      IsExcluded(aRequest, aTarget)) {
    target.m_exclusion = RouteExclusion::EarlierAttempt;
  }
  if (target.m_exclusion == RouteExclusion::None &&
      (target.m_info.m_roles & aRequest.m_roles) == 0) {
    target.m_exclusion = RouteExclusion::OtherVersion;
  }
  target.m_parts = PartsOfScore(aTarget, averages, aNow);
  if (!IsNear(aTarget)) {
    target.m_zonePenalty = FloatSeconds(ZonePenalty(aRequest, averages));
  }
  target.m_score = target.m_parts.Total() + target.m_zonePenalty;
  target.m_share = ShareOf(m_estimates[aTarget], m_settings, aNow);
  return target;
}

void
ProductionRouter::OnSent(TargetIndex aTarget, TimePoint aNow)
{
  if (Target(aTarget) == nullptr) {
    return;
  }
  TargetEstimate& estimate = m_estimates[aTarget];
  if (m_table.InFlight(aTarget) == 0) {
    estimate.m_noResponseSince = aNow;
  }
  m_table.OnSent(aTarget);
  ++estimate.m_sentSinceReport;
  estimate.m_lastChosenAt = aNow;
}

void
ProductionRouter::OnReport(TargetIndex aTarget,
                           const LoadReport& aLoad,
                           TimePoint aReportedAt)
{
  if (Target(aTarget) != nullptr) {
    ApplyReport(aTarget, aLoad, aReportedAt);
  }
}

void
ProductionRouter::ApplyReport(TargetIndex aTarget,
                              const LoadReport& aLoad,
                              TimePoint aAt)
{
  if (aLoad.m_incarnation != 0) {
    TargetEstimate& current = m_estimates[aTarget];
    if (aLoad.m_incarnation < current.m_incarnation) {
      return; // report about a previous incarnation
    }
    if (aLoad.m_incarnation > current.m_incarnation) {
      ResetEstimate(aTarget, kRampStartShare, aAt);
      m_estimates[aTarget].m_incarnation = aLoad.m_incarnation;
    }
  }
  TargetEstimate& estimate = m_estimates[aTarget];
  if (estimate.m_hasLoad && aAt < estimate.m_loadAt) {
    return; // older than the current report
  }
  estimate.m_load = aLoad.m_inFlight + aLoad.m_queued;
  estimate.m_loadMean =
    estimate.m_hasLoad
      ? estimate.m_loadMean +
          kLoadMeanGain * (estimate.m_load - estimate.m_loadMean)
      : estimate.m_load;
  estimate.m_hasLoad = true;
  estimate.m_loadAt = aAt;
  estimate.m_sentSinceReport = 0;
  if (!aLoad.m_cold) {
    ServiceAverages& averages = AveragesOf(aTarget);
    const double utilisation = estimate.m_load / std::max(1U, aLoad.m_limit);
    averages.m_utilisation +=
      ServiceAverages::Gain(averages.m_utilisationSamples) *
      (utilisation - averages.m_utilisation);
  }
  estimate.m_slots = aLoad.m_slots > 0 ? aLoad.m_slots : estimate.m_slots;
  estimate.m_limit = std::max(1U, aLoad.m_limit);
  estimate.m_reportedLatency = ToSeconds(aLoad.m_latency);
  SetCold(estimate, aLoad.m_cold, aAt);
  if (aLoad.m_leaving) {
    m_table.MarkReportedLeaving(aTarget, aAt);
  }
}

void
ProductionRouter::AddLatencySample(TargetIndex aTarget,
                                   const RouteFeedback& aFeedback,
                                   TimePoint aNow)
{
  TargetEstimate& estimate = m_estimates[aTarget];
  double sample = ToSeconds(aFeedback.m_latency) - estimate.m_roundTrip;
  if (aFeedback.m_hasLoad) {
    // Excludes the time in the target's queue; Score derives it from the load.
    sample *= estimate.m_limit / (estimate.m_limit + aFeedback.m_load.m_queued);
  }
  sample = std::max(sample, 1e-6);
  ServiceAverages& averages = AveragesOf(aTarget);
  if (estimate.m_latency <= 0) {
    estimate.m_latency = sample;
  } else {
    estimate.m_latency =
      LatencyOf(estimate, averages.m_latency, m_settings, aNow);
    const double gain =
      sample > estimate.m_latency ? kLatencyRiseGain : kLatencyFallGain;
    estimate.m_latency += gain * (sample - estimate.m_latency);
  }
  estimate.m_latencyAt = aNow;
  averages.m_latency += ServiceAverages::Gain(averages.m_latencySamples) *
                        (estimate.m_latency - averages.m_latency);
}

void
ProductionRouter::AddFailure(TargetEstimate& aEstimate,
                             double aGain,
                             TimePoint aNow)
{
  const double decayed =
    aEstimate.m_failure *
    ExponentialDecay(FloatSeconds(aNow - aEstimate.m_failureAt),
                     FloatSeconds(m_settings.m_failureDecay));
  aEstimate.m_failure = decayed + aGain * (1 - decayed);
  aEstimate.m_failureAt = aNow;
}

void
ProductionRouter::OnEnd(TargetIndex aTarget,
                        const RouteFeedback& aFeedback,
                        TimePoint aNow)
{
  if (!m_table.OnEnd(aTarget)) {
    return;
  }
  if (aFeedback.m_responseBytes > 0) {
    m_responseSizes.Add(aFeedback.m_routeClass, aFeedback.m_responseBytes);
  }
  const uint64_t before = m_estimates[aTarget].m_incarnation;
  if (aFeedback.m_hasLoad) {
    ApplyReport(aTarget, aFeedback.m_load, aNow);
  }
  TargetEstimate& estimate = m_estimates[aTarget];
  estimate.m_noResponseSince = aNow;
  // An attempt on a previous incarnation does not affect the estimates.
  if (aFeedback.m_hasLoad && aFeedback.m_load.m_incarnation != 0 &&
      aFeedback.m_load.m_incarnation < before) {
    return;
  }
  switch (aFeedback.m_outcome) {
    case AttemptOutcome::Succeeded:
      AddLatencySample(aTarget, aFeedback, aNow);
      estimate.m_failure *= kSuccessFactor;
      break;
    case AttemptOutcome::Failed:
      // A fast failure must not reduce the latency estimate.
      if (ToSeconds(aFeedback.m_latency) - estimate.m_roundTrip >
          estimate.m_latency) {
        AddLatencySample(aTarget, aFeedback, aNow);
      }
      AddFailure(estimate, kFailureGain, aNow);
      break;
    case AttemptOutcome::Refused:
      estimate.m_refusal =
        estimate.m_refusal *
        ExponentialDecay(FloatSeconds(aNow - estimate.m_refusalAt),
                         kRefusalDecay);
      estimate.m_refusal += kRefusalGain * (1 - estimate.m_refusal);
      estimate.m_refusalAt = aNow;
      break;
    case AttemptOutcome::Unreachable:
      AddFailure(estimate, kUnreachableGain, aNow);
      break;
    case AttemptOutcome::Abandoned:
      // The time until then is a lower bound of the latency.
      if (ToSeconds(aFeedback.m_latency) - estimate.m_roundTrip >
          estimate.m_latency) {
        AddLatencySample(aTarget, aFeedback, aNow);
      }
      break;
  }
}

} // namespace

std::unique_ptr<Router>
MakeRouter(RouterSettings aSettings, Random& aRandom)
{
  return std::make_unique<ProductionRouter>(std::move(aSettings), aRandom);
}

} // namespace sassafrasquay
