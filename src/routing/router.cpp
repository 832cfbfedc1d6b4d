// The production router: power of d choices on the expected time to an answer.
#include "routing/estimate.h"
#include "routing/table.h"

#include <cmath>

namespace sassafrasquay {

namespace {

class ProductionRouter : public Router
{
public:
  ProductionRouter(RouterSettings aSettings, Random& aRandom)
    : m_settings(std::move(aSettings))
    , m_random(aRandom)
  {
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
  void OnSent(TargetIndex aTarget, TimePoint aNow) override;
  void OnEnd(TargetIndex aTarget,
             const RouteFeedback& aFeedback,
             TimePoint aNow) override;
  void OnReport(TargetIndex aTarget,
                const LoadReport& aLoad,
                TimePoint aReported) override;
  uint32_t InFlight(TargetIndex aTarget) const override
  {
    return m_table.InFlight(aTarget);
  }

private:
  struct Draws
  {
    std::array<TargetIndex, kMaxDraws> m_drawn{};
    size_t m_count = 0;
  };
  struct Best
  {
    TargetIndex m_target = kNoTarget;
    double m_score = 0;

    void Take(TargetIndex aTarget, double aScore)
    {
      if (m_target == kNoTarget || aScore < m_score) {
        m_target = aTarget;
        m_score = aScore;
      }
    }
  };

  // Changes of targets.
  void Apply(const std::vector<ChangedTarget>& aChanges, TimePoint aNow);
  void StartAnew(TargetIndex aTarget, double aShare, TimePoint aNow);
  void SetCold(Estimate& aEstimate, bool aCold, TimePoint aNow);
  double Distance(const TargetInfo& aInfo) const;

  // Choice.
  uint32_t Candidates(const TargetTable::Service& aService,
                      const RouteRequest& aRequest) const;
  TargetIndex Draw(const TargetTable::Service& aService,
                   const RouteRequest& aRequest,
                   Draws& aDraws);
  TargetIndex Explore(const TargetTable::Service& aService,
                      const RouteRequest& aRequest,
                      TimePoint aNow);
  double Load(TargetIndex aTarget,
              const Typical& aTypical,
              TimePoint aNow) const;
  double Score(TargetIndex aTarget,
               const Typical& aTypical,
               TimePoint aNow) const;
  double Latency(const Estimate& aEstimate,
                 double aTypical,
                 TimePoint aNow) const;
  double Share(const Estimate& aEstimate, TimePoint aNow) const;
  Typical& TypicalOf(TargetIndex aTarget)
  {
    return m_typical[m_table.At(aTarget).m_service];
  }

  // Evidence.
  void TakeReport(TargetIndex aTarget, const LoadReport& aLoad, TimePoint aAt);
  void TakeLatency(TargetIndex aTarget,
                   const RouteFeedback& aFeedback,
                   TimePoint aNow);
  void TakeFailure(Estimate& aEstimate, double aGain, TimePoint aNow);

  RouterSettings m_settings;
  Random& m_random;
  TargetTable m_table;
  std::vector<Estimate> m_estimates; // by target
  std::vector<Typical> m_typical;    // by service
};

double
ProductionRouter::Distance(const TargetInfo& aInfo) const
{
  if (aInfo.m_region != m_settings.m_region) {
    return 2 * Seconds(m_settings.m_regionLatency);
  }
  if (aInfo.m_zone != m_settings.m_zone) {
    return 2 * Seconds(m_settings.m_zoneLatency);
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
  m_typical.resize(m_table.Services());
  for (const TargetIndex index : service->m_all) {
    const TargetInfo& info = m_table.At(index).m_info;
    Estimate& estimate = m_estimates[index];
    estimate.m_distance = Distance(info);
    estimate.m_slots = std::max(1U, info.m_slots);
    // A report is newer than what membership has said all along, but not than
    // what it says now for the first time.
    if (!estimate.m_hasLoad || info.m_cold != estimate.m_listedCold) {
      estimate.m_limit = estimate.m_slots;
      SetCold(estimate, info.m_cold, aNow);
    }
    estimate.m_listedCold = info.m_cold;
  }
}

void
ProductionRouter::Apply(const std::vector<ChangedTarget>& aChanges,
                        TimePoint aNow)
{
  for (const ChangedTarget& change : aChanges) {
    // A service that is seen for the first time needs no ramp: all of its
    // targets would have the same share.
    const double share =
      change.m_change == TargetChange::Known ? 1.0 : kRampStart;
    if (change.m_change == TargetChange::Returned) {
      m_estimates[change.m_target].m_rampStart = share;
      m_estimates[change.m_target].m_rampAt = aNow;
    } else {
      StartAnew(change.m_target, share, aNow);
    }
  }
}

void
ProductionRouter::StartAnew(TargetIndex aTarget, double aShare, TimePoint aNow)
{
  const TargetInfo& info = m_table.At(aTarget).m_info;
  Estimate estimate;
  estimate.m_distance = Distance(info);
  estimate.m_slots = std::max(1U, info.m_slots);
  estimate.m_limit = estimate.m_slots;
  estimate.m_rampStart = aShare;
  estimate.m_rampAt = aNow;
  estimate.m_chosenAt = aNow;
  estimate.m_quietSince = aNow;
  estimate.m_incarnation = info.m_incarnation;
  m_estimates[aTarget] = estimate;
}

void
ProductionRouter::SetCold(Estimate& aEstimate, bool aCold, TimePoint aNow)
{
  if (aCold == aEstimate.m_cold) {
    return;
  }
  aEstimate.m_rampStart = aCold ? kColdShare : Share(aEstimate, aNow);
  aEstimate.m_cold = aCold;
  aEstimate.m_rampAt = aNow;
}

uint32_t
ProductionRouter::Candidates(const TargetTable::Service& aService,
                             const RouteRequest& aRequest) const
{
  auto count = static_cast<uint32_t>(aService.m_usable.size());
  const size_t excluded = std::min(aRequest.m_excludedCount, kMaxExcluded);
  for (size_t i = 0; i < excluded; ++i) {
    const TargetIndex index = aRequest.m_excluded[i];
    const auto begin = aRequest.m_excluded.begin();
    const auto end = begin + static_cast<ptrdiff_t>(i);
    const bool counts = index < m_table.Size() && m_table.At(index).m_usable &&
                        &aService == m_table.Of(index) &&
                        std::find(begin, end, index) == end;
    count -= counts ? 1 : 0;
  }
  return count;
}

TargetIndex
ProductionRouter::Draw(const TargetTable::Service& aService,
                       const RouteRequest& aRequest,
                       Draws& aDraws)
{
  const size_t size = aService.m_usable.size();
  const auto end =
    aDraws.m_drawn.begin() + static_cast<ptrdiff_t>(aDraws.m_count);
  const auto fresh = [&](TargetIndex aIndex) {
    return !IsExcluded(aRequest, aIndex) &&
           std::find(aDraws.m_drawn.begin(), end, aIndex) == end;
  };
  // A few tries at random, then the next one in order: bounded in time.
  size_t at = 0;
  for (int i = 0; i < 3; ++i) {
    at = m_random.NextBelow(size);
    if (fresh(aService.m_usable[at])) {
      break;
    }
  }
  for (size_t i = 0; i < size; ++i) {
    const TargetIndex index = aService.m_usable[at];
    if (fresh(index)) {
      aDraws.m_drawn[aDraws.m_count++] = index;
      return index;
    }
    at = at + 1 == size ? 0 : at + 1;
  }
  return kNoTarget;
}

TargetIndex
ProductionRouter::Explore(const TargetTable::Service& aService,
                          const RouteRequest& aRequest,
                          TimePoint aNow)
{
  if ((m_random.Next() & kExploreMask) != 0) {
    return kNoTarget;
  }
  const TargetIndex index =
    aService.m_usable[m_random.NextBelow(aService.m_usable.size())];
  const bool idle = aNow - m_estimates[index].m_chosenAt > kExploreIdle;
  return idle && !IsExcluded(aRequest, index) ? index : kNoTarget;
}

// Share of a full target's requests: 1 when nothing speaks against it.
double
ProductionRouter::Share(const Estimate& aEstimate, TimePoint aNow) const
{
  const bool full =
    aEstimate.m_rampStart >= 1 || m_settings.m_slowStartWindow.count() <= 0;
  if (!aEstimate.m_cold && full) {
    return 1;
  }
  const double age = Seconds(aNow - aEstimate.m_rampAt);
  if (!aEstimate.m_cold) {
    const double rise = age / Seconds(m_settings.m_slowStartWindow);
    return std::min(1.0,
                    aEstimate.m_rampStart + rise * (1 - aEstimate.m_rampStart));
  }
  const double bound =
    std::min(kColdShareMax, aEstimate.m_limit / aEstimate.m_slots);
  return std::min(bound, kColdShare + kColdRise * age);
}

// Service time of a target; a report counts until the first answer.
double
ProductionRouter::Latency(const Estimate& aEstimate,
                          double aTypical,
                          TimePoint aNow) const
{
  if (aEstimate.m_latency <= 0) {
    return std::max(aTypical, aEstimate.m_reportedLatency);
  }
  const double fade = Fade(FloatSeconds(aNow - aEstimate.m_latencyAt),
                           FloatSeconds(m_settings.m_latencyFall));
  return aTypical + (aEstimate.m_latency - aTypical) * fade;
}

// Expected requests at the target. Without a report, or with an old one, it is
// as busy as usual in the service: a target that nothing is known of must not
// look idle.
double
ProductionRouter::Load(TargetIndex aTarget,
                       const Typical& aTypical,
                       TimePoint aNow) const
{
  const Estimate& estimate = m_estimates[aTarget];
  const double usual = aTypical.m_utilisation * estimate.m_limit;
  if (!estimate.m_hasLoad) {
    return usual + m_table.InFlight(aTarget);
  }
  // A report says little about the load after about one service time, and its
  // mean little after some seconds.
  const FloatSeconds age = aNow - estimate.m_loadAt;
  const double mean =
    usual + (estimate.m_loadMean - usual) * Fade(age, kLoadMeanFall);
  const double load = mean + (estimate.m_load - mean) *
                               Fade(age, FloatSeconds(aTypical.m_latency));
  return std::max<double>(m_table.InFlight(aTarget),
                          load + estimate.m_sentSince);
}

// Expected time from now to the answer, in seconds.
double
ProductionRouter::Score(TargetIndex aTarget,
                        const Typical& aTypical,
                        TimePoint aNow) const
{
  const Estimate& estimate = m_estimates[aTarget];
  const double typical = aTypical.m_latency;
  double latency =
    typical * Significant(Latency(estimate, typical, aNow) / typical);
  if (m_table.InFlight(aTarget) > 0) {
    // A target that has answered nothing for so long takes at least as long.
    const double quiet = Seconds(aNow - estimate.m_quietSince);
    latency = std::max(latency, quiet - estimate.m_distance);
  }
  const double load = Load(aTarget, aTypical, aNow);
  // Requests that must end first, smoothed because the load is uncertain.
  const double excess = load + 1 - estimate.m_limit;
  const double width = estimate.m_limit;
  const double waiting =
    0.5 * (excess + std::sqrt(excess * excess + width * width));
  double score = latency * (1 + waiting / estimate.m_limit);
  if (estimate.m_failure > 0) {
    const double failure =
      estimate.m_failure * Fade(FloatSeconds(aNow - estimate.m_failureAt),
                                FloatSeconds(m_settings.m_failureFall));
    score += typical * kFailureCost * failure * failure;
  }
  if (estimate.m_refusal > 0) {
    score += typical * kRefusalCost * estimate.m_refusal *
             Fade(FloatSeconds(aNow - estimate.m_refusalAt), kRefusalFall);
  }
  return estimate.m_distance + score;
}

RouteDecision
ProductionRouter::Choose(const RouteRequest& aRequest, TimePoint aNow)
{
  RouteDecision decision;
  TargetTable::Service* service = m_table.Find(aRequest.m_service);
  if (service == nullptr) {
    return decision;
  }
  m_table.Recheck(*service, aNow);
  decision.m_candidates = Candidates(*service, aRequest);
  if (decision.m_candidates == 0) {
    return decision;
  }
  const Typical& typical = TypicalOf(service->m_all.front());
  decision.m_target = Explore(*service, aRequest, aNow);
  if (decision.m_target != kNoTarget) {
    decision.m_reason = RouteReason::Exploration;
    decision.m_score = Score(decision.m_target, typical, aNow);
    return decision;
  }
  Draws draws;
  Best best;
  Best reserve; // of those whose share is small now
  uint32_t accepted = 0;
  const size_t most = std::min<size_t>({ kMaxDraws,
                                         std::max(1U, m_settings.m_maxChoices),
                                         decision.m_candidates });
  while (draws.m_count < most) {
    const bool enough = accepted >= m_settings.m_choices;
    if (enough && best.m_score < kDrawMore * typical.m_latency) {
      break;
    }
    const TargetIndex index = Draw(*service, aRequest, draws);
    const double score = Score(index, typical, aNow);
    const double share = Share(m_estimates[index], aNow);
    if (share >= 1 || m_random.NextDouble() < share) {
      best.Take(index, score);
      ++accepted;
    } else {
      reserve.Take(index, score / share);
    }
  }
  const bool last = best.m_target == kNoTarget;
  decision.m_target = last ? reserve.m_target : best.m_target;
  decision.m_score = last ? reserve.m_score : best.m_score;
  decision.m_reason = decision.m_candidates == 1 ? RouteReason::OnlyCandidate
                      : last                     ? RouteReason::LastResort
                                                 : RouteReason::LowestScore;
  return decision;
}

void
ProductionRouter::OnSent(TargetIndex aTarget, TimePoint aNow)
{
  if (Target(aTarget) == nullptr) {
    return;
  }
  Estimate& estimate = m_estimates[aTarget];
  if (m_table.InFlight(aTarget) == 0) {
    estimate.m_quietSince = aNow;
  }
  m_table.OnSent(aTarget);
  ++estimate.m_sentSince;
  estimate.m_chosenAt = aNow;
}

void
ProductionRouter::OnReport(TargetIndex aTarget,
                           const LoadReport& aLoad,
                           TimePoint aReported)
{
  if (Target(aTarget) != nullptr) {
    TakeReport(aTarget, aLoad, aReported);
  }
}

void
ProductionRouter::TakeReport(TargetIndex aTarget,
                             const LoadReport& aLoad,
                             TimePoint aAt)
{
  if (aLoad.m_incarnation != 0) {
    Estimate& known = m_estimates[aTarget];
    if (aLoad.m_incarnation < known.m_incarnation) {
      return; // about a target that is gone
    }
    if (aLoad.m_incarnation > known.m_incarnation) {
      StartAnew(aTarget, kRampStart, aAt);
      m_estimates[aTarget].m_incarnation = aLoad.m_incarnation;
    }
  }
  Estimate& estimate = m_estimates[aTarget];
  if (estimate.m_hasLoad && aAt < estimate.m_loadAt) {
    return; // overtaken by a newer report
  }
  estimate.m_load = aLoad.m_inFlight + aLoad.m_queued;
  estimate.m_loadMean =
    estimate.m_hasLoad
      ? estimate.m_loadMean +
          kLoadMeanGain * (estimate.m_load - estimate.m_loadMean)
      : estimate.m_load;
  estimate.m_hasLoad = true;
  estimate.m_loadAt = aAt;
  estimate.m_sentSince = 0;
  if (!aLoad.m_cold) {
    Typical& typical = TypicalOf(aTarget);
    const double utilisation = estimate.m_load / std::max(1U, aLoad.m_limit);
    typical.m_utilisation +=
      Typical::Gain(typical.m_reports) * (utilisation - typical.m_utilisation);
  }
  estimate.m_slots = aLoad.m_slots > 0 ? aLoad.m_slots : estimate.m_slots;
  estimate.m_limit = std::max(1U, aLoad.m_limit);
  estimate.m_reportedLatency = Seconds(aLoad.m_latency);
  SetCold(estimate, aLoad.m_cold, aAt);
  if (aLoad.m_leaving) {
    m_table.SayLeaving(aTarget, aAt);
  }
}

void
ProductionRouter::TakeLatency(TargetIndex aTarget,
                              const RouteFeedback& aFeedback,
                              TimePoint aNow)
{
  Estimate& estimate = m_estimates[aTarget];
  double sample = Seconds(aFeedback.m_latency) - estimate.m_distance;
  if (aFeedback.m_hasLoad) {
    // Without the wait in the target's queue, which the load stands for.
    sample *= estimate.m_limit / (estimate.m_limit + aFeedback.m_load.m_queued);
  }
  sample = std::max(sample, 1e-6);
  Typical& typical = TypicalOf(aTarget);
  if (estimate.m_latency <= 0) {
    estimate.m_latency = sample;
  } else {
    estimate.m_latency = Latency(estimate, typical.m_latency, aNow);
    const double gain =
      sample > estimate.m_latency ? kLatencyRise : kLatencyDrop;
    estimate.m_latency += gain * (sample - estimate.m_latency);
  }
  estimate.m_latencyAt = aNow;
  typical.m_latency +=
    Typical::Gain(typical.m_answers) * (estimate.m_latency - typical.m_latency);
}

void
ProductionRouter::TakeFailure(Estimate& aEstimate, double aGain, TimePoint aNow)
{
  const double faded =
    aEstimate.m_failure * Fade(FloatSeconds(aNow - aEstimate.m_failureAt),
                               FloatSeconds(m_settings.m_failureFall));
  aEstimate.m_failure = faded + aGain * (1 - faded);
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
  const uint64_t before = m_estimates[aTarget].m_incarnation;
  if (aFeedback.m_hasLoad) {
    TakeReport(aTarget, aFeedback.m_load, aNow);
  }
  Estimate& estimate = m_estimates[aTarget];
  estimate.m_quietSince = aNow;
  // An attempt on an older incarnation says nothing about the present one.
  if (aFeedback.m_hasLoad && aFeedback.m_load.m_incarnation != 0 &&
      aFeedback.m_load.m_incarnation < before) {
    return;
  }
  switch (aFeedback.m_outcome) {
    case AttemptOutcome::Succeeded:
      TakeLatency(aTarget, aFeedback, aNow);
      estimate.m_failure *= kFailureDrop;
      break;
    case AttemptOutcome::Failed:
      // A fast failure must not look like a fast answer.
      if (Seconds(aFeedback.m_latency) - estimate.m_distance >
          estimate.m_latency) {
        TakeLatency(aTarget, aFeedback, aNow);
      }
      TakeFailure(estimate, kFailureGain, aNow);
      break;
    case AttemptOutcome::Refused:
      estimate.m_refusal =
        estimate.m_refusal *
        Fade(FloatSeconds(aNow - estimate.m_refusalAt), kRefusalFall);
      estimate.m_refusal += kRefusalGain * (1 - estimate.m_refusal);
      estimate.m_refusalAt = aNow;
      break;
    case AttemptOutcome::Unreachable:
      TakeFailure(estimate, kUnreachableGain, aNow);
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
