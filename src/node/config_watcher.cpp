// Keeps the operators' published configuration up to date.
#include "node/config_watcher.h"

#include "gossip/gossip.h"
#include "logging/logging.h"
#include "metrics/metrics.h"
#include "node/node_policy.h"
#include "store/store.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace sassafrasquay {

namespace {

constexpr Duration kPeerQueryTimeout = std::chrono::seconds(1);
// Pause after a query that yielded no configuration. Datagrams of peers with a
// newer one arrive several times a second, and each can start a query.
constexpr Duration kPeerQueryPause = std::chrono::milliseconds(200);

FetchOutcome
OutcomeOf(const std::error_code& aError)
{
  if (!aError) {
    return FetchOutcome::Ok;
  }
  return aError == ResultCode::LogHistoryGone ? FetchOutcome::HistoryGone
                                              : FetchOutcome::Failed;
}

class ConfigWatcher
  : public Service
  , public ConfigRefresher
  , public GossipListener
{
public:
  explicit ConfigWatcher(ConfigWatcherSettings aSettings)
    : m_settings(std::move(aSettings))
    , m_schedule(m_settings.m_initialBackoff, m_settings.m_maxBackoff)
    , m_settlePeriod(m_settings.m_settleTime)
    , m_duty(m_settings.m_node, m_settings.m_duty)
  {
  }

  std::vector<std::string> RequiredServices() const override
  {
    return { "gossip", "peer_client", "call_policy" };
  }
  asio::awaitable<void> Start(Kernel& aKernel) override;
  asio::awaitable<void> Stop() override;
  asio::awaitable<void> Refresh(Duration aLimit) override;
  void OnMembershipChanges(const MembershipActions& aActions) override;

private:
  asio::awaitable<void> WatchStore();
  asio::awaitable<void> NotifyFollowers();
  // Waits while notices of other nodes replace a watch of this node's own.
  asio::awaitable<void> WaitWhileNotified();
  bool MustWatchStore() const;
  void UpdateDuty();
  void SendNotices();
  asio::awaitable<std::error_code> FetchFromStore();
  asio::awaitable<void> FetchFromPeer(Endpoint aPeer);
  void StartPeerQuery(const Endpoint& aPeer);
  std::optional<Endpoint> ChoosePeer();
  void LogStoreReachability(const std::error_code& aError);
  void LogDuty(bool aWatches);
  void Spawn(asio::awaitable<void> aTask, asio::cancellation_signal& aCancel);

  ConfigWatcherSettings m_settings;
  asio::any_io_executor m_executor;
  std::shared_ptr<Clock> m_clock;
  std::shared_ptr<Random> m_random;
  std::shared_ptr<Logger> m_logger;
  std::shared_ptr<Gossip> m_gossip;
  std::shared_ptr<PeerClient> m_peers;
  std::shared_ptr<ConfigFeed> m_feed;
  std::shared_ptr<NodePolicy> m_policy;
  MetricCounter* m_unusableRecords = nullptr;
  MetricGauge* m_watches = nullptr;
  std::unique_ptr<Event> m_ended;
  std::unique_ptr<Event> m_dutyChanged;
  asio::cancellation_signal m_cancelWatch;
  asio::cancellation_signal m_cancelNotices;
  FetchSchedule m_schedule;
  SettlePeriod m_settlePeriod;
  WatchDuty m_duty;
  PublishedConfig m_base;       // starting point of the next watch
  bool m_storeReachable = true; // at the last request
  bool m_hasContact = false;    // the last request succeeded
  bool m_watchesStore = true;   // as logged last
  bool m_membersChanged = true; // since the last UpdateDuty
  bool m_queryingPeer = false;
  bool m_stopping = false;
  size_t m_running = 0; // coroutines
};

asio::awaitable<void>
ConfigWatcher::Start(Kernel& aKernel)
{
  m_executor = aKernel.Executor();
  m_clock = aKernel.Find<Clock>("clock");
  m_random = aKernel.Find<Random>("random");
  m_logger = aKernel.Find<Logger>("logger");
  m_gossip = aKernel.Find<Gossip>("gossip");
  m_peers = aKernel.Find<PeerClient>("peer_client");
  m_feed = aKernel.Find<ConfigFeed>("operator_feed");
  m_policy = aKernel.Find<NodePolicy>("call_policy");
  m_unusableRecords = &aKernel.Find<Metrics>("metrics")->Counter(
    "sassafrasquay_store_unusable_records_total",
    "Records of the operators' topic that could not be decoded.",
    {});
  m_watches = &aKernel.Find<Metrics>("metrics")->Gauge(
    "sassafrasquay_config_watches_store",
    "1 while this node waits for changes at the store, 0 while it relies on "
    "notices of other nodes.",
    {});
  m_watches->Set(1);
  m_ended = std::make_unique<Event>(m_executor);
  m_dutyChanged = std::make_unique<Event>(m_executor);
  m_gossip->AddListener(*this);
  Spawn(WatchStore(), m_cancelWatch);
  Spawn(NotifyFollowers(), m_cancelNotices);
  co_return;
}

void
ConfigWatcher::Spawn(asio::awaitable<void> aTask,
                     asio::cancellation_signal& aCancel)
{
  ++m_running;
  asio::co_spawn(m_executor,
                 std::move(aTask),
                 asio::bind_cancellation_slot(
                   aCancel.slot(), [this](const std::exception_ptr&) {
                     --m_running;
                     m_ended->Notify();
                   }));
}

asio::awaitable<void>
ConfigWatcher::Stop()
{
  m_stopping = true;
  m_gossip->RemoveListener(*this);
  m_cancelWatch.emit(asio::cancellation_type::terminal);
  m_cancelNotices.emit(asio::cancellation_type::terminal);
  while (m_running > 0) {
    co_await m_ended->Wait();
  }
}

asio::awaitable<void>
ConfigWatcher::WatchStore()
{
  while (!m_stopping) {
    if (!MustWatchStore()) {
      co_await WaitWhileNotified();
      continue;
    }
    const std::error_code error = co_await FetchFromStore();
    m_hasContact = !error;
    LogStoreReachability(error);
    const Duration pause = m_schedule.OnOutcome(OutcomeOf(error));
    if (pause > Duration::zero()) {
      co_await m_ended->WaitFor(pause);
    }
  }
}

// In an era of the log that has not settled, each node decides by what the log
// itself has.
bool
ConfigWatcher::MustWatchStore() const
{
  const uint64_t era = m_policy->ConfigPosition().m_era;
  const bool settled = era == 0 || m_settlePeriod.IsSettled(era);
  return !settled || m_schedule.Next() == FetchKind::Read ||
         m_duty.ReliesUntil() <= m_clock->Now();
}

asio::awaitable<void>
ConfigWatcher::WaitWhileNotified()
{
  LogDuty(false);
  while (!m_stopping && !MustWatchStore()) {
    const Duration left = m_duty.ReliesUntil() - m_clock->Now();
    co_await m_dutyChanged->WaitFor(left);
  }
  m_schedule.OnPause();
  LogDuty(true);
}

asio::awaitable<void>
ConfigWatcher::NotifyFollowers()
{
  while (!m_stopping) {
    if (m_membersChanged) {
      UpdateDuty();
    }
    if (m_duty.Followers().empty()) {
      co_await m_dutyChanged->Wait();
    } else if (m_hasContact) {
      SendNotices();
    }
    co_await m_ended->WaitFor(m_settings.m_duty.m_noticePeriod);
  }
}

void
ConfigWatcher::UpdateDuty()
{
  m_membersChanged = false;
  std::vector<NodeId> nodes;
  for (const Member& member : m_gossip->Members()) {
    const MemberInfo& info = member.m_record.m_info;
    if (member.m_state == MemberState::Alive &&
        info.m_zone == m_settings.m_zone) {
      nodes.push_back(info.m_id);
    }
  }
  m_duty.SetNodes(std::move(nodes));
  m_dutyChanged->Notify();
}

void
ConfigWatcher::SendNotices()
{
  m_gossip->SendConfigNotices(m_duty.Followers());
}

void
ConfigWatcher::LogDuty(bool aWatches)
{
  if (aWatches == m_watchesStore || m_stopping) {
    return;
  }
  m_watchesStore = aWatches;
  m_watches->Set(aWatches ? 1 : 0);
  m_logger->Write(LogLevel::Info,
                  aWatches ? "config_watch_begun" : "config_watch_left",
                  { { "watcher", m_duty.IsWatcher() } });
}

asio::awaitable<std::error_code>
ConfigWatcher::FetchFromStore()
{
  // A peer may have sent a newer configuration than the store's last one. With
  // retained changes it is not what the store has at its position.
  const std::optional<PublishedConfig> active = m_policy->CurrentConfig();
  if (active && !active->m_position.m_retained &&
      active->m_position > m_base.m_position) {
    m_base = *active;
  }
  ConfigFeedResult result;
  if (m_schedule.Next() == FetchKind::Read) {
    result = co_await m_feed->Read(m_settings.m_timeout);
  } else {
    const Duration longest =
      m_schedule.Next() == FetchKind::Check ? Duration() : m_settings.m_wait;
    const Duration wait = m_settlePeriod.LimitWait(longest, m_clock->Now());
    PublishedConfig base = m_base;
    result =
      co_await m_feed->Watch(std::move(base), wait, m_settings.m_timeout);
  }
  if (result.m_error) {
    if (OutcomeOf(result.m_error) == FetchOutcome::Failed) {
      m_settlePeriod.OnFailure();
    }
    co_return result.m_error;
  }
  m_schedule.SetHasEras(result.m_hasEras);
  const uint64_t era = result.m_state.m_position.m_era;
  if (result.m_unusable > 0) {
    m_unusableRecords->Add(static_cast<double>(result.m_unusable));
    m_logger->Write(LogLevel::Warning,
                    "config_records_skipped",
                    { { "count", result.m_unusable },
                      { "position", result.m_state.m_position.m_offset } });
  }
  m_base = result.m_state;
  const LogPosition previous = m_policy->ConfigPosition();
  m_policy->Offer(std::move(result.m_state), "store");
  if (m_settlePeriod.OnResponse(era, m_clock->Now())) {
    m_policy->Settle();
  }
  m_gossip->SetConfigPosition(m_policy->ConfigPosition());
  if (m_policy->ConfigPosition() > previous) {
    SendNotices();
  }
  co_return std::error_code();
}

// Logs only changes of the store's reachability.
void
ConfigWatcher::LogStoreReachability(const std::error_code& aError)
{
  const bool reachable = !aError || aError == ResultCode::LogHistoryGone;
  if (reachable != m_storeReachable && !m_stopping) {
    m_storeReachable = reachable;
    m_logger->Write(reachable ? LogLevel::Info : LogLevel::Warning,
                    reachable ? "store_regained" : "store_lost",
                    { { "error", aError.message() },
                      { "position", m_policy->ConfigPosition().m_offset } });
  }
}

void
ConfigWatcher::OnMembershipChanges(const MembershipActions& aActions)
{
  if (aActions.m_configWatcher) {
    m_duty.OnNotice(*aActions.m_configWatcher, m_clock->Now());
  }
  if (!aActions.m_changes.empty()) {
    m_membersChanged = true;
    m_dutyChanged->Notify();
  }
  // One query at a time, although every datagram of a peer with a newer
  // configuration reports that peer.
  if (aActions.m_newerConfigPeer) {
    StartPeerQuery(*aActions.m_newerConfigPeer);
  }
}

void
ConfigWatcher::StartPeerQuery(const Endpoint& aPeer)
{
  if (!m_queryingPeer && !m_stopping) {
    m_queryingPeer = true;
    ++m_running;
    asio::co_spawn(m_executor, FetchFromPeer(aPeer), asio::detached);
  }
}

// A member with a newer configuration, or else any other one.
std::optional<Endpoint>
ConfigWatcher::ChoosePeer()
{
  std::vector<Endpoint> near;
  std::vector<Endpoint> peers;
  for (const Member& member : m_gossip->Members()) {
    const MemberInfo& info = member.m_record.m_info;
    if (member.m_state != MemberState::Alive ||
        info.m_id == m_settings.m_node) {
      continue;
    }
    if (member.m_configPosition > m_policy->ConfigPosition()) {
      return info.m_peer;
    }
    (info.m_zone == m_settings.m_zone ? near : peers).push_back(info.m_peer);
  }
  if (!near.empty()) {
    peers = std::move(near);
  }
  return peers.empty()
           ? std::nullopt
           : std::optional(peers[m_random->NextBelow(peers.size())]);
}

asio::awaitable<void>
ConfigWatcher::Refresh(Duration aLimit)
{
  const TimePoint deadline = m_clock->Now() + aLimit;
  if (const auto peer = ChoosePeer()) {
    StartPeerQuery(*peer);
  }
  while (m_queryingPeer && m_clock->Now() < deadline) {
    co_await m_ended->WaitFor(deadline - m_clock->Now());
  }
}

asio::awaitable<void>
ConfigWatcher::FetchFromPeer(Endpoint aPeer)
{
  FrameContent request = ConfigRequestFrame{};
  const std::optional<PeerResponse> response =
    co_await m_peers->Query(aPeer, std::move(request), kPeerQueryTimeout);
  const auto* config =
    response ? std::get_if<ConfigResponseFrame>(&response->m_content) : nullptr;
  if (config != nullptr && config->m_state) {
    m_policy->Offer(*config->m_state, "peer " + ToString(aPeer));
    m_gossip->SetConfigPosition(m_policy->ConfigPosition());
  } else {
    m_logger->Write(LogLevel::Warning,
                    "config_not_received_from_peer",
                    { { "peer", ToString(aPeer) } });
    co_await m_ended->WaitFor(kPeerQueryPause);
  }
  m_queryingPeer = false;
  --m_running;
  m_ended->Notify();
}

} // namespace

std::shared_ptr<Service>
MakeConfigWatcher(ConfigWatcherSettings aSettings)
{
  return std::make_shared<ConfigWatcher>(std::move(aSettings));
}

} // namespace sassafrasquay
