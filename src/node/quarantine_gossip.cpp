// Passes quarantine updates to gossip, and received notices to quarantine.
#include "node/quarantine_gossip.h"

#include "gossip/gossip.h"
#include "logging/logging.h"
#include "quarantine/quarantine.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace sassafrasquay {

namespace {

// The default gossip period.
constexpr Duration kInterval = std::chrono::milliseconds(200);
constexpr size_t kUpdatesPerInterval = 16;

class QuarantineGossip
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
  asio::awaitable<void> SendUpdates();

  std::shared_ptr<Clock> m_clock;
  std::shared_ptr<Logger> m_logger;
  std::shared_ptr<Quarantine> m_quarantine;
  std::shared_ptr<Gossip> m_gossip;
  // Notices carry the time until they expire, updates their age.
  Duration m_retention = QuarantineSettings().m_retention;
  std::unique_ptr<Event> m_changed;
  bool m_running = false;
  bool m_stopping = false;
};

asio::awaitable<void>
QuarantineGossip::Start(Kernel& aKernel)
{
  m_clock = aKernel.Find<Clock>("clock");
  m_logger = aKernel.Find<Logger>("logger");
  m_quarantine = aKernel.Find<Quarantine>("quarantine");
  m_gossip = aKernel.Find<Gossip>("gossip");
  m_changed = std::make_unique<Event>(aKernel.Executor());
  m_gossip->AddListener(*this);
  m_running = true;
  asio::co_spawn(aKernel.Executor(), SendUpdates(), asio::detached);
  co_return;
}

asio::awaitable<void>
QuarantineGossip::Stop()
{
  m_stopping = true;
  m_changed->Notify();
  while (m_running) {
    co_await m_changed->Wait();
  }
  m_gossip->RemoveListener(*this);
}

asio::awaitable<void>
QuarantineGossip::SendUpdates()
{
  while (!m_stopping) {
    const TimePoint now = m_clock->Now();
    m_quarantine->RemoveExpired(now);
    for (const SuspectUpdate& update :
         m_quarantine->NextUpdates(kUpdatesPerInterval, now)) {
      m_gossip->AddQuarantineNotice(
        { .m_identity = update.m_identity,
          .m_crash = update.m_crash,
          .m_cleared = update.m_cleared,
          .m_remaining = m_retention - update.m_age });
    }
    co_await m_changed->WaitFor(kInterval);
  }
  m_running = false;
  m_changed->Notify();
}

void
QuarantineGossip::OnMembershipChanges(const MembershipActions& aActions)
{
  for (const QuarantineNotice& notice : aActions.m_quarantineNotices) {
    const SuspectUpdate update{
      .m_identity = notice.m_identity,
      .m_crash = notice.m_crash,
      .m_cleared = notice.m_cleared,
      .m_age = std::max(m_retention - notice.m_remaining, Duration::zero()),
    };
    const bool changed = m_quarantine->MergeUpdate(update, m_clock->Now());
    if (changed) {
      m_logger->Write(
        LogLevel::Warning,
        "suspect_learned",
        { { "identity", notice.m_identity }, { "cleared", notice.m_cleared } });
    }
  }
}

} // namespace

std::shared_ptr<Service>
MakeQuarantineGossip()
{
  return std::make_shared<QuarantineGossip>();
}

} // namespace sassafrasquay
