// Hedging by quantiles of response times.
#include "hedging/hedging.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <map>
#include <unordered_map>

namespace sassafrasquay {

namespace {

namespace acc = boost::accumulators;

// Weight of one attempt in Service::m_overload.
constexpr double kOverloadGain = 0.05;
// Bounds the memory for classes, which the operators choose.
constexpr size_t kMaxClasses = 256;

// Streaming quantile of the response times in the current window and the one
// before.
class WindowedQuantile
{
public:
  explicit WindowedQuantile(double aQuantile, TimePoint aNow)
    : m_quantile(aQuantile)
    , m_windowStart(aNow)
    , m_current(acc::quantile_probability = aQuantile)
  {
  }

  void Add(Duration aSample,
           Duration aWindow,
           size_t aMinSamples,
           TimePoint aNow)
  {
    const bool full = acc::count(m_current) >= aMinSamples;
    if (full && aNow - m_windowStart >= aWindow) {
      m_previous = Estimate();
      m_current = Accumulator(acc::quantile_probability = m_quantile);
      m_windowStart = aNow;
    }
    m_current(FloatSeconds(aSample).count());
  }
  // nullopt before aMinSamples samples.
  std::optional<Duration> Value(size_t aMinSamples) const
  {
    return acc::count(m_current) >= aMinSamples ? Estimate() : m_previous;
  }

private:
  using Accumulator = acc::accumulator_set<
    double,
    acc::stats<acc::tag::count, acc::tag::p_square_quantile>>;

  Duration Estimate() const
  {
    return std::chrono::duration_cast<Duration>(
      FloatSeconds(acc::p_square_quantile(m_current)));
  }

  double m_quantile;
  TimePoint m_windowStart;
  Accumulator m_current;
  std::optional<Duration> m_previous; // of the window before
};

struct ServiceState
{
  double m_tokens = 0;   // copies that may be sent now
  double m_overload = 0; // share of attempts refused for lack of room
  std::unordered_map<uint32_t, WindowedQuantile> m_classes;
};

class QuantileHedgePolicy : public HedgePolicy
{
public:
  explicit QuantileHedgePolicy(HedgeSettings aSettings)
    : m_settings(aSettings)
  {
  }

  void OnRequest(std::string_view aService, double aMaxShare) override
  {
    double& tokens = StateOf(aService).m_tokens;
    tokens = TokensAfterRequest(tokens, aMaxShare);
  }
  void OnResponse(std::string_view aService,
                  uint32_t aClass,
                  Duration aLatency,
                  TimePoint aNow) override;
  void OnAttempt(std::string_view aService, bool aOverloaded) override
  {
    double& overload = StateOf(aService).m_overload;
    overload += kOverloadGain * ((aOverloaded ? 1 : 0) - overload);
  }
  std::optional<Duration> DelayFor(const HedgeRequest& aRequest) override
  {
    return Explain(aRequest).m_delay;
  }
  HedgeDecision Explain(const HedgeRequest& aRequest) const override;
  bool TryTake(const HedgeRequest& aRequest) override;

private:
  ServiceState& StateOf(std::string_view aService);
  double TokensAfterRequest(double aTokens, double aMaxShare) const
  {
    return std::min(m_settings.m_maxTokens, aTokens + aMaxShare);
  }
  bool HasRoom(const ServiceState& aState, const HedgeRequest& aRequest) const
  {
    return aRequest.m_maxShare > 0 &&
           aRequest.m_candidates >= m_settings.m_minCandidates &&
           aState.m_overload <= m_settings.m_maxOverload;
  }

  HedgeSettings m_settings;
  std::map<std::string, ServiceState, std::less<>> m_services;
};

ServiceState&
QuantileHedgePolicy::StateOf(std::string_view aService)
{
  const auto found = m_services.find(aService);
  return found != m_services.end()
           ? found->second
           : m_services.emplace(std::string(aService), ServiceState())
               .first->second;
}

void
QuantileHedgePolicy::OnResponse(std::string_view aService,
                                uint32_t aClass,
                                Duration aLatency,
                                TimePoint aNow)
{
  auto& classes = StateOf(aService).m_classes;
  if (classes.size() >= kMaxClasses && !classes.contains(aClass)) {
    classes.clear();
  }
  classes.try_emplace(aClass, m_settings.m_quantile, aNow)
    .first->second.Add(
      aLatency, m_settings.m_window, m_settings.m_minSamples, aNow);
}

HedgeDecision
QuantileHedgePolicy::Explain(const HedgeRequest& aRequest) const
{
  HedgeDecision decision;
  if (aRequest.m_maxShare <= 0) {
    return decision;
  }
  const auto known = m_services.find(aRequest.m_service);
  static const ServiceState kNew;
  const ServiceState& state = known != m_services.end() ? known->second : kNew;
  decision.m_tokens = TokensAfterRequest(state.m_tokens, aRequest.m_maxShare);
  if (!HasRoom(state, aRequest)) {
    decision.m_reason = aRequest.m_candidates < m_settings.m_minCandidates
                          ? HedgeReason::FewCandidates
                          : HedgeReason::ServiceFull;
    return decision;
  }
  const auto found = state.m_classes.find(aRequest.m_routeClass);
  const std::optional<Duration> quantile =
    found != state.m_classes.end()
      ? found->second.Value(m_settings.m_minSamples)
      : std::nullopt;
  if (!quantile) {
    decision.m_reason = HedgeReason::FewSamples;
    return decision;
  }
  const Duration delay = std::max(*quantile, m_settings.m_minDelay);
  // Most copies respond within the quantile; one that cannot is of no use.
  if (2 * delay > aRequest.m_remaining) {
    decision.m_reason = HedgeReason::NoTimeLeft;
    return decision;
  }
  decision.m_delay = delay;
  decision.m_reason =
    decision.m_tokens < 1 ? HedgeReason::ShareUsedUp : HedgeReason::Allowed;
  return decision;
}

bool
QuantileHedgePolicy::TryTake(const HedgeRequest& aRequest)
{
  ServiceState& state = StateOf(aRequest.m_service);
  if (!HasRoom(state, aRequest) || state.m_tokens < 1) {
    return false;
  }
  state.m_tokens -= 1;
  return true;
}

} // namespace

std::string_view
ToString(HedgeReason aReason)
{
  switch (aReason) {
    case HedgeReason::Allowed:
      return "allowed";
    case HedgeReason::Off:
      break;
    case HedgeReason::FewCandidates:
      return "few_candidates";
    case HedgeReason::ServiceFull:
      return "service_full";
    case HedgeReason::FewSamples:
      return "few_samples";
    case HedgeReason::NoTimeLeft:
      return "no_time";
    case HedgeReason::ShareUsedUp:
      return "share_used_up";
  }
  return "off";
}

std::unique_ptr<HedgePolicy>
MakeHedgePolicy(HedgeSettings aSettings)
{
  return std::make_unique<QuantileHedgePolicy>(aSettings);
}

} // namespace sassafrasquay
