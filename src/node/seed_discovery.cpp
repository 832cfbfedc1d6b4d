// Discovers other nodes through the node directory.
#include "node/seed_discovery.h"

#include "accounts/accounts.h"
#include "gossip/gossip.h"
#include "logging/logging.h"
#include "peer/peer.h"
#include "store/store.h"

#include <algorithm>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>

namespace sassafrasquay {

namespace {

class SeedDiscovery
  : public Service
  , public FleetDirectory
{
public:
  explicit SeedDiscovery(SeedDiscoverySettings aSettings)
    : m_settings(std::move(aSettings))
    , m_backoff(m_settings.m_initialBackoff)
  {
  }

  std::vector<std::string> RequiredServices() const override
  {
    return { "gossip" };
  }
  asio::awaitable<void> Start(Kernel& aKernel) override;
  asio::awaitable<void> Stop() override;
  const std::vector<Endpoint>& Listed() const override { return m_listed; }
  bool HasRestarted() const override { return m_hasRestarted; }

private:
  asio::awaitable<void> Run();
  asio::awaitable<void> FindPeers();
  asio::awaitable<bool> PublishSelf();
  asio::awaitable<bool> ReadDirectory();
  asio::awaitable<void> WaitBackoff();
  bool HasNoPeers() const { return m_gossip->Members().size() < 2; }
  bool MayHaveLostEntry() const;

  SeedDiscoverySettings m_settings;
  std::shared_ptr<Logger> m_logger;
  std::shared_ptr<Gossip> m_gossip;
  std::shared_ptr<NodeDirectory> m_directory;
  std::shared_ptr<PublishedConfigSource> m_config;
  std::unique_ptr<Event> m_ended;
  asio::cancellation_signal m_cancel;
  Duration m_backoff;
  std::vector<Endpoint> m_listed; // at the last read
  bool m_isListed = false;        // the directory contains this node
  bool m_hasRestarted = false;    // it did so at the first read
  uint64_t m_entryEra = 0;        // in which it did, when that was last seen
  bool m_running = false;
  bool m_stopping = false;
};

asio::awaitable<void>
SeedDiscovery::Start(Kernel& aKernel)
{
  m_logger = aKernel.Find<Logger>("logger");
  m_gossip = aKernel.Find<Gossip>("gossip");
  m_directory = aKernel.Find<NodeDirectory>("node_directory");
  m_config = aKernel.Find<PublishedConfigSource>("operator_state");
  m_ended = std::make_unique<Event>(aKernel.Executor());
  m_running = true;
  asio::co_spawn(aKernel.Executor(),
                 Run(),
                 asio::bind_cancellation_slot(
                   m_cancel.slot(), [this](const std::exception_ptr&) {
                     m_running = false;
                     m_ended->Notify();
                   }));
  co_return;
}

asio::awaitable<void>
SeedDiscovery::Stop()
{
  m_stopping = true;
  m_cancel.emit(asio::cancellation_type::terminal);
  while (m_running) {
    co_await m_ended->Wait();
  }
}

asio::awaitable<void>
SeedDiscovery::Run()
{
  co_await FindPeers();
  while (!m_stopping) {
    co_await m_ended->WaitFor(m_settings.m_rereadInterval);
    if (HasNoPeers() && !m_stopping) {
      co_await ReadDirectory();
    }
    if (MayHaveLostEntry() && !m_stopping) {
      co_await PublishSelf();
    }
  }
}

// The store has come back from an older copy since the entry was last seen.
// Without it, a node that starts later may find no other.
bool
SeedDiscovery::MayHaveLostEntry() const
{
  const std::optional<PublishedConfig> config = m_config->CurrentConfig();
  return config && config->m_position.m_era > m_entryEra;
}

asio::awaitable<void>
SeedDiscovery::FindPeers()
{
  bool listed = co_await ReadDirectory();
  while (!listed && !m_stopping) {
    co_await WaitBackoff();
    listed = co_await ReadDirectory();
  }
  if (m_isListed) {
    co_return; // restarted: the entry of the previous process still exists
  }
  bool published = co_await PublishSelf();
  while (!published && !m_stopping) {
    co_await WaitBackoff();
    published = co_await PublishSelf();
  }
  co_await m_ended->WaitFor(m_settings.m_settleTime);
  co_await ReadDirectory();
}

asio::awaitable<bool>
SeedDiscovery::PublishSelf()
{
  const DirectoryWriteResult result =
    co_await m_directory->Publish(m_settings.m_self, m_settings.m_timeout);
  const std::error_code& error = result.m_error;
  if (!error) {
    m_entryEra = result.m_era;
  }
  m_logger->Write(
    error ? LogLevel::Warning : LogLevel::Info,
    error ? "directory_publish_failed" : "directory_published",
    { { "peer", ToString(m_settings.m_self) }, { "error", error.message() } });
  co_return !error;
}

asio::awaitable<bool>
SeedDiscovery::ReadDirectory()
{
  const DirectoryResult listed =
    co_await m_directory->List(m_settings.m_timeout);
  m_logger->Write(listed.m_error ? LogLevel::Warning : LogLevel::Info,
                  listed.m_error ? "directory_read_failed" : "directory_read",
                  { { "nodes", static_cast<uint64_t>(listed.m_nodes.size()) },
                    { "unusable", listed.m_unusable },
                    { "error", listed.m_error.message() } });
  if (!listed.m_error) {
    m_isListed = std::find(listed.m_nodes.begin(),
                           listed.m_nodes.end(),
                           m_settings.m_self) != listed.m_nodes.end();
    m_hasRestarted = m_hasRestarted || (m_listed.empty() && m_isListed);
    m_listed = listed.m_nodes;
    m_entryEra = m_isListed ? listed.m_era : m_entryEra;
    m_gossip->AddSeeds(listed.m_nodes);
    m_backoff = m_settings.m_initialBackoff;
  }
  co_return !listed.m_error;
}

asio::awaitable<void>
SeedDiscovery::WaitBackoff()
{
  co_await m_ended->WaitFor(m_backoff);
  m_backoff = std::min(2 * m_backoff, m_settings.m_maxBackoff);
}

} // namespace

std::shared_ptr<Service>
MakeSeedDiscovery(SeedDiscoverySettings aSettings)
{
  return std::make_shared<SeedDiscovery>(std::move(aSettings));
}

} // namespace sassafrasquay
