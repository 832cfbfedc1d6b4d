// Connects gossip and routing.
#include "node/fleet_view.h"

#include "gossip/gossip.h"
#include "logging/logging.h"
#include "metrics/metrics.h"
#include "retry/repeat_budget.h"
#include "rollout_service/rollout_service.h"
#include "routing/routing.h"
#include "upstream/upstream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <set>

namespace sassafrasquay {

namespace {

// Admission switches between cold and warm without a notification, so the state
// of the local target is polled as well.
constexpr Duration kPublishInterval = std::chrono::seconds(1);

class FleetView
  : public Service
  , public GossipListener
{
public:
  FleetView(NodeId aSelf, std::string aZone, std::string aRegion)
    : m_self(std::move(aSelf))
    , m_zone(std::move(aZone))
    , m_region(std::move(aRegion))
  {
  }

  std::vector<std::string> RequiredServices() const override
  {
    return { "gossip", "gateway" };
  }
  asio::awaitable<void> Start(Kernel& aKernel) override;
  asio::awaitable<void> Stop() override;
  void OnMembershipChanges(const MembershipActions& aActions) override;

private:
  asio::awaitable<void> PublishLocalTarget();
  asio::awaitable<void> WatchRollouts();
  TargetInfo LocalTarget() const;
  void ApplyChange(const MemberChange& aChange,
                   std::set<std::string>& aServices);
  void CountMember(const MemberChange& aChange);
  void UpdateRepeatBudget();
  void UpdateRouter(const std::set<std::string>& aServices);
  void UpdateTargetGauges(const std::string& aService,
                          const std::vector<TargetInfo>& aTargets);
  void LogChange(const MemberChange& aChange);

  NodeId m_self;
  std::string m_zone;
  std::string m_region;
  std::shared_ptr<Clock> m_clock;
  std::shared_ptr<Logger> m_logger;
  std::shared_ptr<Metrics> m_metrics;
  std::shared_ptr<Gossip> m_gossip;
  std::shared_ptr<Router> m_router;
  std::shared_ptr<RepeatBudget> m_repeatBudget;
  std::shared_ptr<TargetControl> m_target;
  std::shared_ptr<Rollouts> m_rollouts;
  std::map<NodeId, TargetInfo> m_targets;          // usable targets by node
  std::map<NodeId, std::string> m_serviceOfMember; // of each listed member
  std::map<std::string, size_t> m_memberCounts;    // by service
  std::unique_ptr<Event> m_ended;
  bool m_stopping = false;
  size_t m_running = 0; // coroutines
};

asio::awaitable<void>
FleetView::Start(Kernel& aKernel)
{
  m_clock = aKernel.Find<Clock>("clock");
  m_logger = aKernel.Find<Logger>("logger");
  m_metrics = aKernel.Find<Metrics>("metrics");
  m_gossip = aKernel.Find<Gossip>("gossip");
  m_router = aKernel.Find<Router>("router");
  m_repeatBudget = aKernel.Find<RepeatBudget>("repeat_budget");
  m_target = aKernel.Find<TargetControl>("gateway");
  m_rollouts = aKernel.Find<Rollouts>("rollouts");
  m_ended = std::make_unique<Event>(aKernel.Executor());
  m_gossip->AddListener(*this);
  MembershipActions all;
  for (const Member& member : m_gossip->Members()) {
    all.m_changes.push_back({ member, false });
  }
  OnMembershipChanges(all);
  m_running = 2;
  asio::co_spawn(aKernel.Executor(), PublishLocalTarget(), asio::detached);
  asio::co_spawn(aKernel.Executor(), WatchRollouts(), asio::detached);
  co_return;
}

asio::awaitable<void>
FleetView::Stop()
{
  m_stopping = true;
  m_target->Changed().Notify();
  m_rollouts->Changed().Notify();
  while (m_running > 0) {
    co_await m_ended->Wait();
  }
  m_gossip->RemoveListener(*this);
}

TargetInfo
FleetView::LocalTarget() const
{
  TargetInfo info;
  info.m_node = m_self;
  info.m_zone = m_zone;
  info.m_region = m_region;
  if (const auto target = m_target->Target()) {
    const LoadReport load = m_target->Load();
    info.m_service = target->m_service;
    info.m_slots = target->m_slots;
    info.m_version = target->m_version;
    info.m_incarnation = target->m_incarnation;
    info.m_cold = load.m_cold;
    info.m_leaving = load.m_leaving;
  }
  return info;
}

asio::awaitable<void>
FleetView::PublishLocalTarget()
{
  TargetInfo published;
  while (!m_stopping) {
    const TargetInfo current = LocalTarget();
    if (current != published) {
      m_gossip->SetTarget(current);
      published = current;
      UpdateRepeatBudget();
    }
    co_await m_target->Changed().WaitFor(kPublishInterval);
  }
  --m_running;
  m_ended->Notify();
}

// Orders and decisions change the roles of targets.
asio::awaitable<void>
FleetView::WatchRollouts()
{
  while (!m_stopping) {
    co_await m_rollouts->Changed().Wait();
    std::set<std::string> services;
    for (const auto& [service, rollout] : m_rollouts->Table().All()) {
      services.insert(service);
    }
    UpdateRouter(services);
  }
  --m_running;
  m_ended->Notify();
}

void
FleetView::OnMembershipChanges(const MembershipActions& aActions)
{
  std::set<std::string> services;
  for (const MemberChange& change : aActions.m_changes) {
    ApplyChange(change, services);
  }
  UpdateRouter(services);
  UpdateRepeatBudget();
}

// Members that do not respond count as well: this node may be the one that is
// cut off, and they may still use their part.
void
FleetView::UpdateRepeatBudget()
{
  const auto target = m_target->Target();
  const auto count =
    target ? m_memberCounts.find(target->m_service) : m_memberCounts.end();
  if (count != m_memberCounts.end()) {
    m_repeatBudget->SetTargetCount(count->second, m_clock->Now());
  }
}

void
FleetView::CountMember(const MemberChange& aChange)
{
  const MemberInfo& info = aChange.m_member.m_record.m_info;
  const auto known = m_serviceOfMember.find(info.m_id);
  if (known != m_serviceOfMember.end()) {
    const auto count = m_memberCounts.find(known->second);
    if (--count->second == 0) {
      m_memberCounts.erase(count);
    }
    m_serviceOfMember.erase(known);
  }
  if (!aChange.m_removed && !info.m_service.empty()) {
    m_serviceOfMember.emplace(info.m_id, info.m_service);
    ++m_memberCounts[info.m_service];
  }
}

void
FleetView::ApplyChange(const MemberChange& aChange,
                       std::set<std::string>& aServices)
{
  LogChange(aChange);
  CountMember(aChange);
  TargetInfo info = ToTargetInfo(aChange.m_member.m_record);
  const MemberState state = aChange.m_member.m_state;
  info.m_leaving = info.m_leaving || state == MemberState::Leaving;
  const auto previous = m_targets.find(info.m_node);
  if (previous != m_targets.end()) {
    aServices.insert(previous->second.m_service);
    m_targets.erase(previous);
  }
  const bool usable =
    !aChange.m_removed && state != MemberState::Dead && !info.m_service.empty();
  if (usable) {
    aServices.insert(info.m_service);
    m_targets.emplace(info.m_node, std::move(info));
  }
}

void
FleetView::UpdateRouter(const std::set<std::string>& aServices)
{
  std::map<std::string, std::vector<TargetInfo>> lists;
  for (const std::string& service : aServices) {
    lists[service];
  }
  for (const auto& [node, info] : m_targets) {
    const auto list = lists.find(info.m_service);
    if (list != lists.end()) {
      list->second.push_back(info);
    }
  }
  for (auto& [service, targets] : lists) {
    m_rollouts->AssignRoles(service, targets);
    m_router->SetTargets(service, targets, m_clock->Now());
    UpdateTargetGauges(service, targets);
  }
}

void
FleetView::UpdateTargetGauges(const std::string& aService,
                              const std::vector<TargetInfo>& aTargets)
{
  std::array<size_t, 3> counts{}; // warm, cold, leaving
  for (const TargetInfo& target : aTargets) {
    ++counts[target.m_leaving ? 2 : (target.m_cold ? 1 : 0)];
  }
  static constexpr std::array kStates = { "warm", "cold", "leaving" };
  for (size_t i = 0; i < counts.size(); ++i) {
    m_metrics
      ->Gauge("sassafrasquay_service_targets",
              "Known targets of a service, by state.",
              { { "service", aService }, { "state", kStates[i] } })
      .Set(static_cast<double>(counts[i]));
  }
}

void
FleetView::LogChange(const MemberChange& aChange)
{
  static constexpr std::array<std::string_view, 4> kStates = {
    "alive", "suspect", "leaving", "gone"
  };
  const MemberRecord& record = aChange.m_member.m_record;
  m_logger->Write(
    LogLevel::Info,
    "member_changed",
    { { "node", record.m_info.m_id.m_value },
      { "state", kStates[static_cast<size_t>(aChange.m_member.m_state)] },
      { "forgotten", aChange.m_removed },
      { "service", record.m_info.m_service },
      { "zone", record.m_info.m_zone },
      { "cold", record.m_summary.m_cold },
      { "target_leaving", ToTargetInfo(record).m_leaving } });
}

} // namespace

std::shared_ptr<Service>
MakeFleetView(NodeId aSelf, std::string aZone, std::string aRegion)
{
  return std::make_shared<FleetView>(
    std::move(aSelf), std::move(aZone), std::move(aRegion));
}

} // namespace sassafrasquay
