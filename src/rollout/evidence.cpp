// Counts beside a target, and which node collects them.
#include "rollout/rollout.h"

#include <cmath>

namespace sassafrasquay {

namespace {

// Bounds the memory for classes, which the operators choose.
constexpr size_t kMaxClasses = 256;

} // namespace

size_t
LatencyBucket(Duration aLatency)
{
  if (aLatency <= kFirstLatency) {
    return 0;
  }
  const double ratio = FloatSeconds(aLatency) / FloatSeconds(kFirstLatency);
  return std::min(static_cast<size_t>(2 * std::log2(ratio)),
                  kLatencyBuckets - 1);
}

void
EvidenceCounter::SetOrder(const Rollout* aRollout)
{
  if (!aRollout) {
    m_order.reset();
    m_routes.clear();
    return;
  }
  if (!m_order || !IsSameOrder(*m_order, aRollout->m_order)) {
    m_routes.clear();
    m_learnedAt = aRollout->m_learnedAt;
  }
  m_order = aRollout->m_order;
}

void
EvidenceCounter::OnResult(uint32_t aRouteClass,
                          TargetResult aResult,
                          Duration aLatency,
                          bool aCold,
                          uint32_t aSlowness)
{
  if (!m_order || aCold || aResult == TargetResult::Ignored ||
      (m_routes.size() >= kMaxClasses && !m_routes.contains(aRouteClass))) {
    return;
  }
  RouteEvidence& route = m_routes[aRouteClass];
  route.m_routeClass = aRouteClass;
  ++route.m_requests;
  if (aResult == TargetResult::Failed) {
    ++route.m_failures;
    return;
  }
  route.m_latencySum += aLatency;
  ++route.m_latencies[LatencyBucket(aLatency)];
  if (aSlowness > 0) {
    ++route.m_adjusted[LatencyBucket(aLatency * 100 / aSlowness)];
  }
}

std::optional<RolloutEvidence>
EvidenceCounter::Evidence(TimePoint aNow) const
{
  if (!m_order) {
    return std::nullopt;
  }
  RolloutEvidence evidence;
  evidence.m_service = m_order->m_service;
  evidence.m_position = m_order->m_position;
  evidence.m_age = aNow - m_learnedAt;
  for (const auto& [routeClass, route] : m_routes) {
    evidence.m_routes.push_back(route);
  }
  return evidence;
}

std::optional<NodeId>
DeciderOf(std::string_view aService, std::span<const NodeId> aNodes)
{
  const uint64_t seed = StableHash(aService);
  const NodeId* best = nullptr;
  uint64_t bestScore = 0;
  for (const NodeId& node : aNodes) {
    const uint64_t score = StableHash(node.m_value, seed);
    if (!best || score < bestScore || (score == bestScore && node < *best)) {
      best = &node;
      bestScore = score;
    }
  }
  return best ? std::optional(*best) : std::nullopt;
}

} // namespace sassafrasquay
