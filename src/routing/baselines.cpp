// Baseline routers for comparison: random, round robin, least outstanding and
// plain power of two choices.
#include "routing/table.h"

namespace sassafrasquay {

namespace {

// Handles membership, zones and requests in flight. A subclass implements Pick.
class BaselineRouter : public Router
{
public:
  void SetTargets(std::string_view aService,
                  const std::vector<TargetInfo>& aTargets,
                  TimePoint aNow) override
  {
    m_table.SetTargets(aService, aTargets, aNow);
  }
  void SetZonesOut(const std::vector<std::string>& aZones,
                   TimePoint aNow) override
  {
    m_table.SetZonesOut(aZones, aNow);
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
  void OnSent(TargetIndex aTarget, TimePoint) override
  {
    m_table.OnSent(aTarget);
  }
  void OnEnd(TargetIndex aTarget,
             const RouteFeedback& aFeedback,
             TimePoint aNow) override
  {
    const LoadReport& load = aFeedback.m_load;
    if (m_table.OnEnd(aTarget) && aFeedback.m_hasLoad && load.m_leaving &&
        load.m_incarnation >= Target(aTarget)->m_incarnation) {
      m_table.MarkReportedLeaving(aTarget, aNow);
    }
  }
  uint32_t InFlight(TargetIndex aTarget) const override
  {
    return m_table.InFlight(aTarget);
  }

protected:
  explicit BaselineRouter(Random& aRandom)
    : m_random(aRandom)
  {
  }
  // aCandidates is not empty.
  virtual TargetIndex Pick(const std::vector<TargetIndex>& aCandidates) = 0;

  Random& m_random;
  TargetTable m_table;
  std::vector<TargetIndex> m_candidates; // reused to avoid allocations
};

RouteDecision
BaselineRouter::Choose(const RouteRequest& aRequest, TimePoint aNow)
{
  RouteDecision decision;
  TargetTable::Service* service = m_table.Find(aRequest.m_service);
  if (service == nullptr) {
    return decision;
  }
  m_table.UpdateUsableIfDue(*service, aNow);
  m_candidates.clear();
  for (const TargetIndex index :
       m_table.PoolFor(*service, aRequest.m_roles).m_usable) {
    if (!IsExcluded(aRequest, index)) {
      m_candidates.push_back(index);
    }
  }
  decision.m_candidates = static_cast<uint32_t>(m_candidates.size());
  if (m_candidates.empty()) {
    return decision;
  }
  decision.m_target = Pick(m_candidates);
  decision.m_reason = m_candidates.size() == 1 ? RouteReason::OnlyCandidate
                                               : RouteReason::LowestScore;
  return decision;
}

class RandomRouter : public BaselineRouter
{
public:
  explicit RandomRouter(Random& aRandom)
    : BaselineRouter(aRandom)
  {
  }

private:
  TargetIndex Pick(const std::vector<TargetIndex>& aCandidates) override
  {
    return aCandidates[m_random.NextBelow(aCandidates.size())];
  }
};

class RoundRobinRouter : public BaselineRouter
{
public:
  // Starts at a random position, so that entry nodes do not send to the same
  // targets at the same time.
  explicit RoundRobinRouter(Random& aRandom)
    : BaselineRouter(aRandom)
    , m_next(aRandom.NextBelow(1000))
  {
  }

private:
  TargetIndex Pick(const std::vector<TargetIndex>& aCandidates) override
  {
    return aCandidates[m_next++ % aCandidates.size()];
  }

  uint64_t m_next;
};

class LeastOutstandingRouter : public BaselineRouter
{
public:
  explicit LeastOutstandingRouter(Random& aRandom)
    : BaselineRouter(aRandom)
  {
  }

private:
  TargetIndex Pick(const std::vector<TargetIndex>& aCandidates) override
  {
    TargetIndex best = aCandidates.front();
    uint32_t ties = 0;
    for (const TargetIndex index : aCandidates) {
      if (InFlight(index) < InFlight(best)) {
        best = index;
        ties = 1;
      } else if (InFlight(index) == InFlight(best) &&
                 m_random.NextBelow(++ties) == 0) {
        best = index;
      }
    }
    return best;
  }
};

class TwoChoicesRouter : public BaselineRouter
{
public:
  explicit TwoChoicesRouter(Random& aRandom)
    : BaselineRouter(aRandom)
  {
  }

private:
  TargetIndex Pick(const std::vector<TargetIndex>& aCandidates) override
  {
    const size_t size = aCandidates.size();
    const size_t first = m_random.NextBelow(size);
    if (size == 1) {
      return aCandidates[first];
    }
    const size_t second = (first + 1 + m_random.NextBelow(size - 1)) % size;
    const TargetIndex one = aCandidates[first];
    const TargetIndex two = aCandidates[second];
    return InFlight(two) < InFlight(one) ? two : one;
  }
};

} // namespace

std::unique_ptr<Router>
MakeRandomRouter(
  RouterSettings /*aSettings*/, // NOLINT(performance-unnecessary-value-param)
  Random& aRandom)
{
  return std::make_unique<RandomRouter>(aRandom);
}

std::unique_ptr<Router>
MakeRoundRobinRouter(
  RouterSettings /*aSettings*/, // NOLINT(performance-unnecessary-value-param)
  Random& aRandom)
{
  return std::make_unique<RoundRobinRouter>(aRandom);
}

std::unique_ptr<Router>
MakeLeastOutstandingRouter(
  RouterSettings /*aSettings*/, // NOLINT(performance-unnecessary-value-param)
  Random& aRandom)
{
  return std::make_unique<LeastOutstandingRouter>(aRandom);
}

std::unique_ptr<Router>
MakeTwoChoicesRouter(
  RouterSettings /*aSettings*/, // NOLINT(performance-unnecessary-value-param)
  Random& aRandom)
{
  return std::make_unique<TwoChoicesRouter>(aRandom);
}

} // namespace sassafrasquay
