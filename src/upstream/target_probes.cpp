// Health and load probes of the local target, within a probe budget.
#include "upstream/target_probes.h"

namespace sassafrasquay {

namespace {

ProbeBudgetSettings
BudgetOf(const UpstreamSettings& aSettings)
{
  ProbeBudgetSettings budget;
  budget.m_perSecond = aSettings.m_probesPerSecond;
  budget.m_burst = aSettings.m_probesPerSecond;
  budget.m_perRequest = aSettings.m_probesPerRequest;
  return budget;
}

} // namespace

TargetProbes::TargetProbes(UpstreamSettings aSettings,
                           const asio::any_io_executor& aExecutor,
                           std::shared_ptr<Clock> aClock,
                           TargetClient& aClient)
  : m_settings(std::move(aSettings))
  , m_clock(std::move(aClock))
  , m_client(aClient)
  , m_probeFinished(aExecutor)
{
  if (m_settings.m_loadMaxAge > Duration::zero()) {
    m_budget.emplace(BudgetOf(m_settings), m_clock->Now());
  }
}

void
TargetProbes::OnRequest()
{
  if (m_budget) {
    m_budget->OnRequest();
  }
}

bool
TargetProbes::IsLoadProbed() const
{
  return m_budget && m_reportsLoad && !m_path.empty();
}

asio::awaitable<std::optional<TargetLoad>>
TargetProbes::ProbeLoad(const TargetAnnouncement& aTarget,
                        TimePoint aLastReport)
{
  if (!IsLoadProbed() ||
      m_clock->Now() - aLastReport < m_settings.m_loadMaxAge) {
    co_return std::nullopt;
  }
  if (m_probing) {
    co_await m_probeFinished.Wait();
    co_return std::nullopt;
  }
  if (!m_budget->TryAcquire(m_clock->Now())) {
    co_return std::nullopt;
  }
  // Wakes the concurrent callers on every exit path, also on cancellation.
  struct Guard
  {
    TargetProbes& m_probes;
    explicit Guard(TargetProbes& aProbes)
      : m_probes(aProbes)
    {
      m_probes.m_probing = true;
    }
    ~Guard()
    {
      m_probes.m_probing = false;
      m_probes.m_probeFinished.Notify();
    }
  };
  const Guard guard(*this);
  const std::optional<HealthReport> health =
    co_await m_client.Probe(aTarget.m_address, m_path);
  const bool sameTarget =
    health && (health->m_id.empty() || health->m_id == aTarget.m_id);
  if (!sameTarget) {
    co_return std::nullopt;
  }
  m_reportsLoad = health->m_load.has_value();
  co_return health->m_load;
}

asio::awaitable<std::optional<DiscoveredTarget>>
TargetProbes::ProbeExpectedTarget()
{
  if (m_path.empty()) {
    co_return std::nullopt;
  }
  const std::optional<HealthReport> health =
    co_await m_client.Probe(m_settings.m_expectedAddress, m_path);
  if (!health || health->m_id.empty()) {
    co_return std::nullopt;
  }
  DiscoveredTarget found;
  found.m_healthy = health->m_healthy;
  found.m_target.m_id = health->m_id;
  if (!health->m_healthy || !health->m_load) {
    co_return found;
  }
  found.m_target.m_service = m_settings.m_expectedService;
  found.m_target.m_slots = health->m_load->m_slots;
  found.m_target.m_address = m_settings.m_expectedAddress;
  found.m_target.m_incarnation = kUnknownIncarnation;
  found.m_coldStartRemaining = health->m_coldStartRemaining;
  found.m_load = *health->m_load;
  co_return found;
}

} // namespace sassafrasquay
