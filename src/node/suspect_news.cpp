// News of requests that crash targets, between quarantine and gossip.
#include "node/suspect_news.h"

#include "gossip/gossip.h"
#include "logging/logging.h"
#include "quarantine/quarantine.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace sassafrasquay {

namespace {

// As often as gossip sends fresh news.
constexpr Duration kInterval = std::chrono::milliseconds(200);
constexpr size_t kNewsPerInterval = 16;

class SuspectNewsCarrier
  : public Service
  , public GossipListener
{
public:
  std::vector<std::string> RequiredServices() const override
  {
    return { "gossip" };
  }
  asio::awaitable<void> Start(Kernel& aKernel) override;
  asio::awaitable<void> Stop() override;
  void OnMembershipChanges(const MembershipActions& aActions) override;

private:
  asio::awaitable<void> PassOnNews();

  std::shared_ptr<Clock> m_clock;
  std::shared_ptr<Logger> m_logger;
  std::shared_ptr<Quarantine> m_quarantine;
  std::shared_ptr<Gossip> m_gossip;
  // A rumour tells how long it counts, news how old it is.
  Duration m_retention = QuarantineSettings().m_retention;
  std::unique_ptr<Event> m_changed;
  bool m_running = false;
  bool m_stopping = false;
};

asio::awaitable<void>
SuspectNewsCarrier::Start(Kernel& aKernel)
{
  m_clock = aKernel.Find<Clock>("clock");
  m_logger = aKernel.Find<Logger>("logger");
  m_quarantine = aKernel.Find<Quarantine>("quarantine");
  m_gossip = aKernel.Find<Gossip>("gossip");
  m_changed = std::make_unique<Event>(aKernel.Executor());
  m_gossip->AddListener(*this);
  m_running = true;
  asio::co_spawn(aKernel.Executor(), PassOnNews(), asio::detached);
  co_return;
}

asio::awaitable<void>
SuspectNewsCarrier::Stop()
{
  m_stopping = true;
  m_changed->Notify();
  while (m_running) {
    co_await m_changed->Wait();
  }
  m_gossip->RemoveListener(*this);
}

asio::awaitable<void>
SuspectNewsCarrier::PassOnNews()
{
  while (!m_stopping) {
    const TimePoint now = m_clock->Now();
    m_quarantine->RemoveExpired(now);
    for (const SuspectUpdate& news :
         m_quarantine->NextUpdates(kNewsPerInterval, now)) {
      m_gossip->AddQuarantineNotice(
        { .m_identity = news.m_identity,
          .m_crash = news.m_crash,
          .m_cleared = news.m_cleared,
          .m_remaining = m_retention - news.m_age });
    }
    co_await m_changed->WaitFor(kInterval);
  }
  m_running = false;
  m_changed->Notify();
}

void
SuspectNewsCarrier::OnMembershipChanges(const MembershipActions& aActions)
{
  for (const QuarantineNotice& rumour : aActions.m_quarantineNotices) {
    const SuspectUpdate news{
      .m_identity = rumour.m_identity,
      .m_crash = rumour.m_crash,
      .m_cleared = rumour.m_cleared,
      .m_age = std::max(m_retention - rumour.m_remaining, Duration::zero()),
    };
    const bool changed = m_quarantine->MergeUpdate(news, m_clock->Now());
    if (changed) {
      m_logger->Write(
        LogLevel::Warning,
        "suspect_learned",
        { { "identity", rumour.m_identity }, { "cleared", rumour.m_cleared } });
    }
  }
}

} // namespace

std::shared_ptr<Service>
MakeQuarantineGossip()
{
  return std::make_shared<SuspectNewsCarrier>();
}

} // namespace sassafrasquay
