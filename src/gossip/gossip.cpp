#include "gossip/gossip.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <ctime>

namespace sassafrasquay {

namespace {

using asio::ip::udp;

// Delay after a receive error, so that a persistent error causes no busy loop.
constexpr Duration kReceiveErrorDelay = std::chrono::milliseconds(100);

// Limits the rate of ticks, so that an overdue event causes no busy loop.
constexpr Duration kMinimumTickInterval = std::chrono::milliseconds(1);

Duration
ThreadCpuTime()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

// Adds the CPU time of a scope to a counter.
class CpuMeter
{
public:
  explicit CpuMeter(Duration& aTotal)
    : m_total(aTotal)
    , m_start(ThreadCpuTime())
  {
  }
  ~CpuMeter() { m_total += ThreadCpuTime() - m_start; }
  CpuMeter(const CpuMeter&) = delete;
  CpuMeter& operator=(const CpuMeter&) = delete;

private:
  Duration& m_total;
  Duration m_start;
};

Endpoint
FromAsio(const udp::endpoint& aEndpoint)
{
  return { aEndpoint.address().to_string(), aEndpoint.port() };
}

} // namespace

GossipService::GossipService(GossipSettings aSettings)
  : m_settings(std::move(aSettings))
{
  m_keys.push_back(m_settings.m_key);
  if (m_settings.m_previousKey) {
    m_keys.push_back(*m_settings.m_previousKey);
  }
}

GossipService::~GossipService() = default;

asio::awaitable<void>
GossipService::Start(Kernel& aKernel)
{
  m_clock = aKernel.Find<Clock>("clock");
  m_random = aKernel.Find<Random>("random");
  const auto executor = aKernel.Executor();
  Endpoint& peer = m_settings.m_self.m_info.m_peer;
  const Endpoint listen = m_settings.m_listen.value_or(peer);
  m_socket = std::make_unique<udp::socket>(
    executor,
    udp::endpoint(asio::ip::make_address(listen.m_address), listen.m_port));
  m_socket->non_blocking(true);
  if (peer.m_port == 0 || peer == listen) {
    peer = FromAsio(m_socket->local_endpoint());
  }
  m_rescheduled = std::make_unique<Event>(executor);
  m_ended = std::make_unique<Event>(executor);
  const TimePoint now = m_clock->Now();
  m_membership = std::make_unique<Membership>(
    m_settings.m_membership, m_settings.m_self, m_sizer, *m_random, now);
  m_running = 2;
  asio::co_spawn(executor, ReceiveDatagrams(), asio::detached);
  asio::co_spawn(executor, RunTimer(), asio::detached);
  Perform(m_membership->Join(m_settings.m_seeds, now));
  co_return;
}

asio::awaitable<void>
GossipService::Stop()
{
  if (!m_membership || m_stopping) {
    co_return;
  }
  Perform(m_membership->Stop(m_clock->Now()));
  m_stopping = true;
  boost::system::error_code ignored;
  m_socket->close(ignored);
  m_rescheduled->Notify();
  while (m_running > 0) {
    co_await m_ended->Wait();
  }
}

asio::awaitable<void>
GossipService::ReceiveDatagrams()
{
  while (!m_stopping) {
    const auto [error] = co_await m_socket->async_wait(
      udp::socket::wait_read, asio::as_tuple(asio::use_awaitable));
    if (m_stopping) {
      break;
    }
    if (error || !ReceiveOne()) {
      ++m_counters.m_receiveErrors;
      co_await m_rescheduled->WaitFor(kReceiveErrorDelay);
    }
  }
  --m_running;
  m_ended->Notify();
}

bool
GossipService::ReceiveOne()
{
  const CpuMeter meter(m_counters.m_cpuTime);
  // One byte more than allowed, to detect excess length.
  std::array<uint8_t, kMaximumDatagramBytes + 1> buffer;
  udp::endpoint from;
  boost::system::error_code error;
  const size_t size =
    m_socket->receive_from(asio::buffer(buffer), from, 0, error);
  if (error) { // a bad UDP checksum makes the socket ready without data
    return error == asio::error::would_block;
  }
  Handle(from, std::span<const uint8_t>(buffer.data(), size));
  return true;
}

asio::awaitable<void>
GossipService::RunTimer()
{
  while (!m_stopping) {
    m_scheduledTick = m_membership->NextTickTime();
    const Duration wait = m_scheduledTick - m_clock->Now();
    co_await m_rescheduled->WaitFor(std::max(wait, kMinimumTickInterval));
    if (m_stopping) {
      break;
    }
    const TimePoint now = m_clock->Now();
    if (now >= m_membership->NextTickTime()) {
      const CpuMeter meter(m_counters.m_cpuTime);
      Perform(m_membership->Tick(now));
    }
  }
  --m_running;
  m_ended->Notify();
}

void
GossipService::Handle(const udp::endpoint& aFrom,
                      std::span<const uint8_t> aBytes)
{
  ++m_counters.m_receivedDatagrams;
  m_counters.m_receivedBytes += aBytes.size() + kIpUdpHeaderBytes;
  uint64_t sequence = 0;
  std::span<const uint8_t> body;
  switch (VerifyDatagram(m_keys, aBytes, sequence, body)) {
    case VerifyResult::Ok:
      break;
    case VerifyResult::Malformed:
      ++m_counters.m_malformed;
      return;
    case VerifyResult::UnknownKey:
      ++m_counters.m_unknownKey;
      return;
    case VerifyResult::BadTag:
      ++m_counters.m_badTag;
      return;
  }
  Datagram datagram;
  if (!DecodeDatagram(body, datagram)) {
    ++m_counters.m_malformed;
    return;
  }
  ReplayWindow& window = m_replayWindows[datagram.m_sender.m_key];
  if (!window.Accept(datagram.m_sender.m_incarnation, sequence)) {
    ++m_counters.m_replayed;
    return;
  }
  Perform(m_membership->OnDatagram(FromAsio(aFrom), datagram, m_clock->Now()));
}

void
GossipService::Perform(MembershipActions aActions)
{
  for (const MembershipActions::Send& send : aActions.m_sends) {
    SendTo(send.m_to, send.m_datagram);
  }
  aActions.m_sends.clear();
  for (const MemberChange& change : aActions.m_changes) {
    if (change.m_removed) {
      m_replayWindows.erase(change.m_member.m_record.m_summary.m_key);
    }
  }
  if (m_membership->NextTickTime() < m_scheduledTick) {
    m_rescheduled->Notify();
  }
  const bool changed = !aActions.m_changes.empty() ||
                       !aActions.m_quarantineNotices.empty() ||
                       aActions.m_joined || aActions.m_pauseDetected ||
                       aActions.m_newerConfigPeer || aActions.m_configWatcher ||
                       aActions.m_supersededBy;
  if (!changed) {
    return;
  }
  // Copied, because a listener may remove itself.
  const auto listeners = m_listeners;
  for (GossipListener* listener : listeners) {
    listener->OnMembershipChanges(aActions);
  }
}

void
GossipService::SendTo(const Endpoint& aTo, const Datagram& aDatagram)
{
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aTo.m_address, error);
  if (error) {
    ++m_counters.m_sendErrors;
    return;
  }
  const Bytes bytes =
    SignDatagram(m_keys.front(), ++m_sequence, EncodeDatagram(aDatagram));
  m_socket->send_to(
    asio::buffer(bytes), udp::endpoint(address, aTo.m_port), 0, error);
  if (error) { // on a full socket buffer the datagram is lost
    ++m_counters.m_sendErrors;
    return;
  }
  ++m_counters.m_sentDatagrams;
  m_counters.m_sentBytes += bytes.size() + kIpUdpHeaderBytes;
}

std::vector<Member>
GossipService::Members() const
{
  return m_membership ? m_membership->Members() : std::vector<Member>();
}

std::optional<Member>
GossipService::FindMember(const NodeId& aId) const
{
  return m_membership ? m_membership->Find(aId) : std::nullopt;
}

bool
GossipService::Joined() const
{
  return m_membership && m_membership->Joined();
}

bool
GossipService::Isolated() const
{
  return m_membership && m_membership->Isolated(m_clock->Now());
}

void
GossipService::SetTarget(const TargetInfo& aTarget)
{
  Perform(m_membership->SetTarget(aTarget, m_clock->Now()));
}

void
GossipService::AddSeeds(const std::vector<Endpoint>& aSeeds)
{
  Perform(m_membership->AddSeeds(aSeeds, m_clock->Now()));
}

void
GossipService::Leave()
{
  Perform(m_membership->Leave(m_clock->Now()));
}

void
GossipService::SetConfigPosition(const LogPosition& aPosition)
{
  m_membership->SetConfigPosition(aPosition);
}

void
GossipService::SendConfigNotices(const std::vector<NodeId>& aNodes)
{
  Perform(m_membership->SendConfigNotices(aNodes, m_clock->Now()));
}

void
GossipService::AddQuarantineNotice(const QuarantineNotice& aNotice)
{
  Perform(m_membership->AddQuarantineNotice(aNotice, m_clock->Now()));
}

void
GossipService::AddListener(GossipListener& aListener)
{
  m_listeners.push_back(&aListener);
}

void
GossipService::RemoveListener(GossipListener& aListener)
{
  std::erase(m_listeners, &aListener);
}

void
GossipService::RotateKey(GossipKey aKey)
{
  m_keys = { std::move(aKey), m_keys.front() };
}

} // namespace sassafrasquay
