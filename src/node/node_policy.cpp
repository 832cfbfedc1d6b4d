// Call policies with and without published routes.
#include "node/node_policy.h"

#include "admission/admission.h"
#include "logging/logging.h"
#include "rollout_service/rollout_service.h"
#include "routing/routing.h"
#include "upstream/upstream.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <unordered_map>

namespace sassafrasquay {

namespace {

constexpr size_t kMaxCachedServices = 1024;
// Priority of rank 0; each further rank is lower by kPriorityStep.
constexpr uint32_t kHighestPriority = 250;
constexpr uint32_t kPriorityStep = 10;

uint8_t
PriorityOf(uint32_t aRank)
{
  return static_cast<uint8_t>(
    kHighestPriority -
    std::min(kHighestPriority,
             kPriorityStep * std::min(kHighestPriority, aRank)));
}

//-----------------------------------------------------------------------------
// Fleet configuration only
//-----------------------------------------------------------------------------

class StaticPolicy : public NodePolicy
{
public:
  explicit StaticPolicy(PolicySettings aSettings)
    : m_settings(std::move(aSettings))
  {
  }

  std::vector<std::string> RequiredServices() const override
  {
    return { "gateway" };
  }
  asio::awaitable<void> Start(Kernel& aKernel) override;
  asio::awaitable<void> Stop() override;
  std::optional<ResultCode> Apply(RequestHead& aHead,
                                  std::optional<Duration> aTimeout) override;
  CallPreview Preview(const RequestHead& aHead,
                      std::optional<Duration> aTimeout) const override;
  std::optional<PublishedConfig> CurrentConfig() const override
  {
    return std::nullopt;
  }
  uint64_t ConfigVersion() const override { return ConfigPosition().m_offset; }
  LogPosition ConfigPosition() const override { return {}; }
  std::optional<AccountLimit> LimitOf(std::string_view) const override
  {
    return std::nullopt;
  }
  std::vector<std::string> LargestAccounts(size_t) const override { return {}; }
  bool SetAccount(RequestHead&) const override { return false; }
  bool IsReady() const override { return true; }
  void Offer(PublishedConfig, std::string_view) override {}
  Event& Changed() override { return *m_changed; }

protected:
  const ServiceSettings& SettingsFor(const std::string& aService);
  // As SettingsFor, without the cache.
  ServiceSettings ComputeSettings(const std::string& aService) const
  {
    return EffectiveSettings(
      m_settings.m_fleetConfig, aService, m_settings.m_zone, "");
  }
  // Called when the target's service may have changed.
  virtual void ApplyTargetSettings();

  PolicySettings m_settings;
  std::shared_ptr<Clock> m_clock;
  std::shared_ptr<Logger> m_logger;
  std::shared_ptr<Router> m_router;
  std::shared_ptr<AdmissionController> m_admission;
  std::shared_ptr<TargetControl> m_target;

private:
  static std::optional<ResultCode> ApplySettings(
    const ServiceSettings& aSettings,
    std::optional<Duration> aTimeout,
    RequestHead& aHead);
  asio::awaitable<void> WatchTarget();

  std::unordered_map<std::string, ServiceSettings> m_cache; // by service
  std::unique_ptr<Event> m_changed;
  bool m_running = false;
  bool m_stopping = false;
};

asio::awaitable<void>
StaticPolicy::Start(Kernel& aKernel)
{
  m_clock = aKernel.Find<Clock>("clock");
  m_logger = aKernel.Find<Logger>("logger");
  m_router = aKernel.Find<Router>("router");
  m_admission = aKernel.Find<AdmissionController>("admission");
  m_target = aKernel.Find<TargetControl>("gateway");
  m_changed = std::make_unique<Event>(aKernel.Executor());
  const FleetSettings& fleet = m_settings.m_fleetConfig.m_fleet;
  std::vector<std::string> zones;
  zones.reserve(fleet.m_zonesOut.size());
  for (const ZoneOutOfService& zone : fleet.m_zonesOut) {
    zones.push_back(zone.m_zone);
  }
  m_router->SetZonesOut(zones, m_clock->Now());
  m_admission->SetZoneOut(fleet.IsOutOfService(m_settings.m_zone),
                          m_clock->Now());
  m_running = true;
  asio::co_spawn(aKernel.Executor(), WatchTarget(), asio::detached);
  co_return;
}

asio::awaitable<void>
StaticPolicy::Stop()
{
  m_stopping = true;
  m_target->Changed().Notify();
  while (m_running) {
    co_await m_changed->Wait();
  }
}

// The overrides that apply depend on the service that the target announces.
asio::awaitable<void>
StaticPolicy::WatchTarget()
{
  while (!m_stopping) {
    ApplyTargetSettings();
    co_await m_target->Changed().Wait();
  }
  m_running = false;
  m_changed->Notify();
}

void
StaticPolicy::ApplyTargetSettings()
{
  const auto target = m_target->Target();
  if (!target) {
    return;
  }
  const ServiceSettings service = EffectiveSettings(m_settings.m_fleetConfig,
                                                    target->m_service,
                                                    m_settings.m_zone,
                                                    m_settings.m_node.m_value);
  AdmissionSettings settings;
  settings.m_queuePerSlot = service.m_queuePerSlot;
  settings.m_coldLimit = service.m_coldLimit;
  m_admission->SetSettings(settings);
}

const ServiceSettings&
StaticPolicy::SettingsFor(const std::string& aService)
{
  const auto found = m_cache.find(aService);
  if (found != m_cache.end()) {
    return found->second;
  }
  // Callers choose the service name, so the size of the cache is limited.
  if (m_cache.size() >= kMaxCachedServices) {
    m_cache.clear();
  }
  return m_cache.emplace(aService, ComputeSettings(aService)).first->second;
}

std::optional<ResultCode>
StaticPolicy::Apply(RequestHead& aHead, std::optional<Duration> aTimeout)
{
  if (!m_router->HasService(aHead.m_service)) {
    return ResultCode::UnknownService;
  }
  return ApplySettings(SettingsFor(aHead.m_service), aTimeout, aHead);
}

std::optional<ResultCode>
StaticPolicy::ApplySettings(const ServiceSettings& aSettings,
                            std::optional<Duration> aTimeout,
                            RequestHead& aHead)
{
  if (aHead.m_bodyLength.value_or(0) > aSettings.m_maxBodyBytes) {
    return ResultCode::BodyTooLarge;
  }
  aHead.m_priority = aSettings.m_priority;
  aHead.m_idempotent = IsIdempotent(aSettings, aHead.m_method, aHead.m_path);
  aHead.m_remaining = std::min(aTimeout.value_or(aSettings.m_defaultTimeout),
                               aSettings.m_maxTimeout);
  aHead.m_hasExplicitTimeout = aTimeout.has_value();
  aHead.m_hedgeShare = HedgeShare(aSettings, aHead.m_path);
  return std::nullopt;
}

CallPreview
StaticPolicy::Preview(const RequestHead& aHead,
                      std::optional<Duration> aTimeout) const
{
  CallPreview preview;
  preview.m_head = aHead;
  preview.m_refusal = m_router->HasService(aHead.m_service)
                        ? ApplySettings(ComputeSettings(aHead.m_service),
                                        aTimeout,
                                        preview.m_head)
                        : ResultCode::UnknownService;
  return preview;
}

//-----------------------------------------------------------------------------
// Published routes
//-----------------------------------------------------------------------------

class PublishedPolicy : public StaticPolicy
{
public:
  using StaticPolicy::StaticPolicy;

  asio::awaitable<void> Start(Kernel& aKernel) override;
  std::optional<ResultCode> Apply(RequestHead& aHead,
                                  std::optional<Duration> aTimeout) override;
  CallPreview Preview(const RequestHead& aHead,
                      std::optional<Duration> aTimeout) const override;
  bool HasAccounts() const override
  {
    return Routes() != nullptr && !Routes()->m_accounts.empty();
  }
  CallerLimits Limits() const override
  {
    return Routes() ? Routes()->m_limits : CallerLimits();
  }
  std::optional<PublishedConfig> CurrentConfig() const override
  {
    if (ConfigPosition() == LogPosition()) {
      return std::nullopt;
    }
    PublishedConfig config = m_active->Config();
    config.m_rollouts = m_rollouts->Table().Orders();
    return config;
  }
  LogPosition ConfigPosition() const override
  {
    return m_active ? m_active->Config().m_position : LogPosition();
  }
  std::optional<AccountLimit> LimitOf(std::string_view aAccount) const override;
  std::vector<std::string> LargestAccounts(size_t aCount) const override;
  bool SetAccount(RequestHead& aHead) const override;
  bool IsReady() const override { return Routes() != nullptr; }
  void Offer(PublishedConfig aConfig, std::string_view aSource) override;
  void Settle() override;

protected:
  void ApplyTargetSettings() override;

private:
  const RouteTable* Routes() const
  {
    return m_active ? m_active->Routes().get() : nullptr;
  }
  // Returns nullptr and sets aRefusal when the request has no route.
  const Route* FindRouteOf(const RequestHead& aHead,
                           std::optional<ResultCode>& aRefusal) const;
  // aSettings: of the service that was chosen.
  void ApplyRoute(const Route& aRoute,
                  const ServiceSettings& aSettings,
                  std::optional<Duration> aTimeout,
                  RequestHead& aHead) const;
  bool IsOwnZoneOut() const;
  void ApplyZones(bool aWasOut);

  std::shared_ptr<RouteTableDecoder> m_decoder;
  std::shared_ptr<Rollouts> m_rollouts;
  std::unique_ptr<ActiveConfig> m_active;
  WeightedChoice m_choice;
};

asio::awaitable<void>
PublishedPolicy::Start(Kernel& aKernel)
{
  m_decoder = aKernel.Find<RouteTableDecoder>("route_documents");
  m_rollouts = aKernel.Find<Rollouts>("rollouts");
  m_active = std::make_unique<ActiveConfig>(*m_decoder);
  co_await StaticPolicy::Start(aKernel);
}

std::optional<ResultCode>
PublishedPolicy::Apply(RequestHead& aHead, std::optional<Duration> aTimeout)
{
  std::optional<ResultCode> refusal;
  const Route* route = FindRouteOf(aHead, refusal);
  if (refusal) {
    return refusal;
  }
  aHead.m_service = m_choice.Choose(*route);
  ApplyRoute(*route, SettingsFor(aHead.m_service), aTimeout, aHead);
  return std::nullopt;
}

CallPreview
PublishedPolicy::Preview(const RequestHead& aHead,
                         std::optional<Duration> aTimeout) const
{
  CallPreview preview;
  RequestHead& head = preview.m_head;
  head = aHead;
  const ClientAccount* account =
    Routes() != nullptr ? FindAccountByName(*Routes(), head.m_account)
                        : nullptr;
  if (account != nullptr && !account->m_keys.empty()) {
    head.m_apiKey = account->m_keys.front();
  }
  const Route* route = FindRouteOf(head, preview.m_refusal);
  if (route != nullptr) {
    preview.m_route = *route;
  }
  if (!preview.m_refusal) {
    head.m_service = m_choice.Preview(*route);
    ApplyRoute(*route, ComputeSettings(head.m_service), aTimeout, head);
  }
  return preview;
}

const Route*
PublishedPolicy::FindRouteOf(const RequestHead& aHead,
                             std::optional<ResultCode>& aRefusal) const
{
  const RouteTable* table = Routes();
  if (table == nullptr) {
    aRefusal = ResultCode::NotReady;
    return nullptr;
  }
  const Route* route = FindRoute(*table, aHead.m_host, aHead.m_path);
  if (route == nullptr) {
    aRefusal = ResultCode::NoRoute;
    return nullptr;
  }
  const bool needsKey = !table->m_accounts.empty() && !route->m_public;
  if (needsKey && aHead.m_apiKey.empty()) {
    aRefusal = ResultCode::UnknownKey;
  }
  return route;
}

void
PublishedPolicy::ApplyRoute(const Route& aRoute,
                            const ServiceSettings& aSettings,
                            std::optional<Duration> aTimeout,
                            RequestHead& aHead) const
{
  aHead.m_idempotent = aRoute.m_idempotent;
  aHead.m_maxAttempts = aRoute.m_maxAttempts;
  aHead.m_priority = PriorityOf(aRoute.m_priorityRank);
  // Checked again by "key_check", as this node may lack a newer configuration.
  aHead.m_isKeyUnknown =
    HasAccounts() && !aHead.m_apiKey.empty() && !SetAccount(aHead);
  aHead.m_routeClass = static_cast<uint32_t>(StableHash(aRoute.m_name));
  aHead.m_latencyObjective = aRoute.m_latencyObjective;
  aHead.m_remaining = std::min(aTimeout.value_or(aSettings.m_defaultTimeout),
                               aSettings.m_maxTimeout);
  aHead.m_hasExplicitTimeout = aTimeout.has_value();
  aHead.m_hedgeShare = HedgeShare(aSettings, aHead.m_path);
  if (aRoute.m_timeout > Duration::zero()) {
    aHead.m_remaining = std::min(aHead.m_remaining, aRoute.m_timeout);
    aHead.m_hasExplicitTimeout = true;
  }
}

std::optional<AccountLimit>
PublishedPolicy::LimitOf(std::string_view aAccount) const
{
  const ClientAccount* account =
    Routes() != nullptr ? FindAccountByName(*Routes(), aAccount) : nullptr;
  if (account == nullptr || account->m_requestsPerSecond <= 0) {
    return std::nullopt;
  }
  return AccountLimit{ account->m_requestsPerSecond, account->m_burst };
}

std::vector<std::string>
PublishedPolicy::LargestAccounts(size_t aCount) const
{
  std::vector<const ClientAccount*> accounts;
  for (const ClientAccount& account : Routes()->m_accounts) {
    accounts.push_back(&account);
  }
  const size_t count = std::min(aCount, accounts.size());
  std::partial_sort(
    accounts.begin(),
    accounts.begin() + static_cast<std::ptrdiff_t>(count),
    accounts.end(),
    [](const ClientAccount* aLeft, const ClientAccount* aRight) {
      return aLeft->m_requestsPerSecond > aRight->m_requestsPerSecond;
    });
  std::vector<std::string> names;
  for (size_t i = 0; i < count; ++i) {
    names.push_back(accounts[i]->m_name);
  }
  return names;
}

bool
PublishedPolicy::SetAccount(RequestHead& aHead) const
{
  const ClientAccount* account =
    Routes() != nullptr ? FindAccount(*Routes(), aHead.m_apiKey) : nullptr;
  if (account == nullptr) {
    return false;
  }
  aHead.m_account = account->m_name;
  if (account->m_priorityRank) {
    aHead.m_priority = PriorityOf(*account->m_priorityRank);
  }
  if (account->m_requestsPerSecond > 0) {
    aHead.m_accountWeight = account->m_requestsPerSecond;
  }
  return true;
}

bool
PublishedPolicy::IsOwnZoneOut() const
{
  const std::vector<std::string>& zones = m_active->Config().m_zonesOut;
  return std::binary_search(zones.begin(), zones.end(), m_settings.m_zone);
}

void
PublishedPolicy::ApplyZones(bool aWasOut)
{
  const bool isOut = IsOwnZoneOut();
  const TimePoint now = m_clock->Now();
  m_router->SetZonesOut(m_active->Config().m_zonesOut, now);
  m_admission->SetZoneOut(isOut, now);
  m_rollouts->SetConfig(m_active->Config());
  if (aWasOut && !isOut) {
    m_target->MarkCold(); // until it reports that it is warm
  }
}

void
PublishedPolicy::Offer(PublishedConfig aConfig, std::string_view aSource)
{
  const bool wasOut = IsOwnZoneOut();
  const OfferResult result = m_active->Offer(std::move(aConfig));
  if (result == OfferResult::Older) {
    return;
  }
  const PublishedConfig& config = m_active->Config();
  ApplyTargetSettings();
  LogLevel level = LogLevel::Info;
  std::string_view event = "config_applied";
  if (result == OfferResult::Rejected) {
    level = LogLevel::Error;
    event = "config_rejected";
  } else if (result == OfferResult::Retained) {
    level = LogLevel::Warning;
    event = "config_retained";
  }
  m_logger->Write(
    level,
    event,
    { { "era", config.m_position.m_era },
      { "position", config.m_position.m_offset },
      { "version", Routes() != nullptr ? Routes()->m_version : 0 },
      { "zones_out", static_cast<uint64_t>(config.m_zonesOut.size()) },
      { "own_zone_out", IsOwnZoneOut() },
      { "source", aSource },
      { "fault", m_active->RejectReason() } });
  ApplyZones(wasOut);
  Changed().Notify();
}

void
PublishedPolicy::Settle()
{
  const bool wasOut = IsOwnZoneOut();
  if (!m_active->Settle()) {
    return;
  }
  ApplyZones(wasOut);
  const PublishedConfig& config = m_active->Config();
  m_logger->Write(
    LogLevel::Warning,
    "config_settled",
    { { "era", config.m_position.m_era },
      { "position", config.m_position.m_offset },
      { "zones_out", static_cast<uint64_t>(config.m_zonesOut.size()) },
      { "own_zone_out", IsOwnZoneOut() } });
  Changed().Notify();
}

void
PublishedPolicy::ApplyTargetSettings()
{
  StaticPolicy::ApplyTargetSettings();
  const auto target = m_target->Target();
  const RouteTable* table = Routes();
  if (table == nullptr) {
    return;
  }
  const auto found =
    table->m_services.find(target ? target->m_service : m_settings.m_service);
  if (found != table->m_services.end()) {
    m_target->SetServiceConfig(found->second);
  }
}

} // namespace

std::shared_ptr<NodePolicy>
MakeStaticPolicy(PolicySettings aSettings)
{
  return std::make_shared<StaticPolicy>(std::move(aSettings));
}

std::shared_ptr<NodePolicy>
MakePublishedPolicy(PolicySettings aSettings)
{
  return std::make_shared<PublishedPolicy>(std::move(aSettings));
}

} // namespace sassafrasquay
