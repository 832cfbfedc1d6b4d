// Keeps the operators' published state up to date.
#include "node/operator_follower.h"

#include "gossip/gossip.h"
#include "logging/logging.h"
#include "node/node_policy.h"
#include "store/store.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace sassafrasquay {

namespace {

constexpr Duration kAskTimeout = std::chrono::seconds(1);
// Pause after a question that a peer did not answer. Datagrams of peers with a
// newer state arrive several times a second.
constexpr Duration kAskPause = std::chrono::milliseconds(200);

class OperatorFollower
  : public Service
  , public GossipListener
{
public:
  explicit OperatorFollower(ConfigWatcherSettings aSettings)
    : m_settings(aSettings)
    , m_backoff(aSettings.m_firstBackoff)
  {
  }

  std::vector<std::string> RequiredServices() const override
  {
    return { "gossip", "peer_client", "call_policy" };
  }
  asio::awaitable<void> Start(Kernel& aKernel) override;
  asio::awaitable<void> Stop() override;
  void OnMembershipChanges(const MembershipActions& aActions) override;

private:
  asio::awaitable<void> FollowStore();
  asio::awaitable<std::error_code> AskStore();
  asio::awaitable<void> AskPeer(Endpoint aPeer);
  void NoteStore(const std::error_code& aError);

  ConfigWatcherSettings m_settings;
  asio::any_io_executor m_executor;
  std::shared_ptr<Logger> m_logger;
  std::shared_ptr<Gossip> m_gossip;
  std::shared_ptr<PeerClient> m_peers;
  std::shared_ptr<ConfigFeed> m_feed;
  std::shared_ptr<NodePolicy> m_policy;
  std::unique_ptr<Event> m_ended;
  asio::cancellation_signal m_cancel;
  Duration m_backoff;
  PublishedConfig m_known; // the store's last answer
  bool m_readWhole = true; // the known state is not enough to follow on
  bool m_reachable = true; // the last question was answered
  bool m_asking = false;
  bool m_stopping = false;
  size_t m_running = 0; // coroutines
};

asio::awaitable<void>
OperatorFollower::Start(Kernel& aKernel)
{
  m_executor = aKernel.Executor();
  m_logger = aKernel.Find<Logger>("logger");
  m_gossip = aKernel.Find<Gossip>("gossip");
  m_peers = aKernel.Find<PeerClient>("peer_client");
  m_feed = aKernel.Find<ConfigFeed>("operator_feed");
  m_policy = aKernel.Find<NodePolicy>("call_policy");
  m_ended = std::make_unique<Event>(m_executor);
  m_gossip->AddListener(*this);
  ++m_running;
  asio::co_spawn(m_executor,
                 FollowStore(),
                 asio::bind_cancellation_slot(
                   m_cancel.slot(), [this](const std::exception_ptr&) {
                     --m_running;
                     m_ended->Notify();
                   }));
  co_return;
}

asio::awaitable<void>
OperatorFollower::Stop()
{
  m_stopping = true;
  m_gossip->RemoveListener(*this);
  m_cancel.emit(asio::cancellation_type::terminal);
  while (m_running > 0) {
    co_await m_ended->Wait();
  }
}

asio::awaitable<void>
OperatorFollower::FollowStore()
{
  while (!m_stopping) {
    const std::error_code error = co_await AskStore();
    NoteStore(error);
    if (!error) {
      m_backoff = m_settings.m_firstBackoff;
      continue;
    }
    if (error == ResultCode::LogHistoryGone) {
      m_readWhole = true;
      continue;
    }
    co_await m_ended->WaitFor(m_backoff);
    m_backoff = std::min(2 * m_backoff, m_settings.m_lastBackoff);
  }
}

asio::awaitable<std::error_code>
OperatorFollower::AskStore()
{
  // A peer may have given a newer state than the store's last answer.
  const std::optional<PublishedConfig> inForce = m_policy->CurrentConfig();
  if (inForce && inForce->m_position > m_known.m_position) {
    m_known = *inForce;
  }
  ConfigFeedResult result;
  if (m_readWhole) {
    result = co_await m_feed->Read(m_settings.m_timeout);
  } else {
    PublishedConfig base = m_known;
    result = co_await m_feed->Watch(
      std::move(base), m_settings.m_wait, m_settings.m_timeout);
  }
  if (result.m_error) {
    co_return result.m_error;
  }
  m_readWhole = false;
  m_known = result.m_state;
  m_policy->Offer(std::move(result.m_state), "store");
  m_gossip->SetConfigVersion(m_policy->ConfigVersion());
  co_return std::error_code();
}

// One line for each loss and each return of the store.
void
OperatorFollower::NoteStore(const std::error_code& aError)
{
  const bool reachable = !aError || aError == ResultCode::LogHistoryGone;
  if (reachable != m_reachable && !m_stopping) {
    m_reachable = reachable;
    m_logger->Write(reachable ? LogLevel::Info : LogLevel::Warning,
                    reachable ? "store_regained" : "store_lost",
                    { { "error", aError.message() },
                      { "position", m_policy->ConfigVersion() } });
  }
}

void
OperatorFollower::OnMembershipChanges(const MembershipActions& aActions)
{
  // One question at a time: every datagram of a newer peer asks for one.
  if (aActions.m_newerConfigPeer && !m_asking && !m_stopping) {
    m_asking = true;
    ++m_running;
    asio::co_spawn(
      m_executor, AskPeer(*aActions.m_newerConfigPeer), asio::detached);
  }
}

asio::awaitable<void>
OperatorFollower::AskPeer(Endpoint aPeer)
{
  FrameContent question = ConfigRequestFrame{};
  const std::optional<PeerResponse> answer =
    co_await m_peers->Query(aPeer, std::move(question), kAskTimeout);
  const auto* config =
    answer ? std::get_if<ConfigResponseFrame>(&answer->m_content) : nullptr;
  if (config != nullptr && config->m_state) {
    m_policy->Offer(*config->m_state, "peer " + ToString(aPeer));
    m_gossip->SetConfigVersion(m_policy->ConfigVersion());
  } else {
    m_logger->Write(LogLevel::Warning,
                    "config_not_received_from_peer",
                    { { "peer", ToString(aPeer) } });
    co_await m_ended->WaitFor(kAskPause);
  }
  m_asking = false;
  --m_running;
  m_ended->Notify();
}

} // namespace

std::shared_ptr<Service>
MakeConfigWatcher(ConfigWatcherSettings aSettings)
{
  return std::make_shared<OperatorFollower>(aSettings);
}

} // namespace sassafrasquay
