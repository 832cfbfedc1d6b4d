// Finds the other nodes through the directory that outlasts them.
#include "node/seed_finder.h"

#include "gossip/gossip.h"
#include "logging/logging.h"
#include "store/store.h"

#include <algorithm>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>

namespace sassafrasquay {

namespace {

class SeedFinder : public Service
{
public:
  explicit SeedFinder(SeedDiscoverySettings aSettings)
    : m_settings(std::move(aSettings))
    , m_backoff(m_settings.m_firstBackoff)
  {
  }

  std::vector<std::string> RequiredServices() const override
  {
    return { "gossip" };
  }
  asio::awaitable<void> Start(Kernel& aKernel) override;
  asio::awaitable<void> Stop() override;

private:
  asio::awaitable<void> Run();
  asio::awaitable<void> FindPeers();
  asio::awaitable<bool> PublishSelf();
  asio::awaitable<bool> ReadDirectory();
  asio::awaitable<void> Backoff();
  bool IsAlone() const { return m_gossip->Members().size() < 2; }

  SeedDiscoverySettings m_settings;
  std::shared_ptr<Logger> m_logger;
  std::shared_ptr<Gossip> m_gossip;
  std::shared_ptr<NodeDirectory> m_directory;
  std::unique_ptr<Event> m_ended;
  asio::cancellation_signal m_cancel;
  Duration m_backoff;
  bool m_known = false; // the directory has an entry of this node
  bool m_running = false;
  bool m_stopping = false;
};

asio::awaitable<void>
SeedFinder::Start(Kernel& aKernel)
{
  m_logger = aKernel.Find<Logger>("logger");
  m_gossip = aKernel.Find<Gossip>("gossip");
  m_directory = aKernel.Find<NodeDirectory>("node_directory");
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
SeedFinder::Stop()
{
  m_stopping = true;
  m_cancel.emit(asio::cancellation_type::terminal);
  while (m_running) {
    co_await m_ended->Wait();
  }
}

asio::awaitable<void>
SeedFinder::Run()
{
  co_await FindPeers();
  while (!m_stopping) {
    co_await m_ended->WaitFor(m_settings.m_aloneAgain);
    if (IsAlone() && !m_stopping) {
      co_await ReadDirectory();
    }
  }
}

asio::awaitable<void>
SeedFinder::FindPeers()
{
  bool listed = co_await ReadDirectory();
  while (!listed && !m_stopping) {
    co_await Backoff();
    listed = co_await ReadDirectory();
  }
  if (m_known) {
    co_return; // restarted: the entry of the process before is still there
  }
  bool published = co_await PublishSelf();
  while (!published && !m_stopping) {
    co_await Backoff();
    published = co_await PublishSelf();
  }
  co_await m_ended->WaitFor(m_settings.m_settle);
  co_await ReadDirectory();
}

asio::awaitable<bool>
SeedFinder::PublishSelf()
{
  const std::error_code error =
    co_await m_directory->Publish(m_settings.m_self, m_settings.m_timeout);
  m_logger->Write(
    error ? LogLevel::Warning : LogLevel::Info,
    error ? "directory_publish_failed" : "directory_published",
    { { "peer", ToString(m_settings.m_self) }, { "error", error.message() } });
  co_return !error;
}

asio::awaitable<bool>
SeedFinder::ReadDirectory()
{
  const DirectoryResult listed =
    co_await m_directory->List(m_settings.m_timeout);
  m_logger->Write(listed.m_error ? LogLevel::Warning : LogLevel::Info,
                  listed.m_error ? "directory_read_failed" : "directory_read",
                  { { "nodes", static_cast<uint64_t>(listed.m_nodes.size()) },
                    { "error", listed.m_error.message() } });
  if (!listed.m_error) {
    m_known = std::find(listed.m_nodes.begin(),
                        listed.m_nodes.end(),
                        m_settings.m_self) != listed.m_nodes.end();
    m_gossip->AddSeeds(listed.m_nodes);
  }
  co_return !listed.m_error;
}

asio::awaitable<void>
SeedFinder::Backoff()
{
  co_await m_ended->WaitFor(m_backoff);
  m_backoff = std::min(2 * m_backoff, m_settings.m_lastBackoff);
}

} // namespace

std::shared_ptr<Service>
MakeSeedDiscovery(SeedDiscoverySettings aSettings)
{
  return std::make_shared<SeedFinder>(std::move(aSettings));
}

} // namespace sassafrasquay
