#include "membership/membership_impl.h"

#include <algorithm>
#include <cmath>

namespace sassafrasquay {

namespace {

constexpr size_t kMaximumIndirectProbes = 64;

} // namespace

// Lifeguard's local health multiplier: a node that is slow itself waits longer
// before it suspects others.
Duration
Membership::Impl::ScaleByLocalHealth(Duration aDuration) const
{
  return aDuration * (1 + m_localHealthScore);
}

Duration
Membership::Impl::SuspicionTimeout() const
{
  const double members = static_cast<double>(m_table.LiveCount() + 1);
  const double factor = m_settings.m_suspicionFactor * std::log10(members);
  const auto timeout = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::nano>(
      factor * static_cast<double>(m_settings.m_probePeriod.count())));
  return std::max(timeout, m_settings.m_minimumSuspicionTimeout);
}

MemberKey
Membership::Impl::NextLiveMember(MemberKey aExcept)
{
  // The gossip order is random, so its next member is a random choice. The
  // second iteration skips aExcept.
  for (int i = 0; i < 2; ++i) {
    const MemberKey key = m_gossipOrder.Next(m_table, m_random, false);
    if (key != aExcept) {
      return key;
    }
  }
  return 0;
}

void
Membership::Impl::TickProbe()
{
  if (m_probe && !m_probe->m_indirectRequested &&
      m_now >= m_probe->m_indirectAt) {
    RequestIndirectProbes();
  }
  if (m_probe && m_now >= m_probe->m_deadline) {
    OnProbeFailed();
  }
  if (!m_probe && m_now >= m_nextProbe) {
    StartProbe();
  }
}

void
Membership::Impl::StartProbe()
{
  m_nextProbe = m_now + ScaleByLocalHealth(m_settings.m_probePeriod);
  const MemberKey key = m_probeOrder.Next(m_table, m_random, true);
  if (key == 0) {
    return;
  }
  Probe probe;
  probe.m_target = key;
  probe.m_sequence = ++m_sequence;
  probe.m_indirectAt = m_now + ScaleByLocalHealth(m_settings.m_probeTimeout);
  probe.m_deadline = m_nextProbe;
  Datagram ping = MakeDatagram(MessageKind::Ping);
  ping.m_sequence = probe.m_sequence;
  ping.m_to = key;
  AppendReceiverSummary(ping, key, nullptr);
  // A probe suppressed by the byte budget must not count as failed.
  if (Send(m_table.Find(key)->m_info.m_peer, std::move(ping))) {
    m_probe = probe;
  }
}

void
Membership::Impl::RequestIndirectProbes()
{
  m_probe->m_indirectRequested = true;
  const Entry* target = m_table.Find(m_probe->m_target);
  if (target == nullptr) {
    return;
  }
  std::set<MemberKey> helpers;
  for (size_t i = 0; i < m_settings.m_indirectProbeCount; ++i) {
    const MemberKey helper = NextLiveMember(m_probe->m_target);
    if (helper == 0 || !helpers.insert(helper).second) {
      break;
    }
    Datagram request = MakeDatagram(MessageKind::PingRequest);
    request.m_sequence = m_probe->m_sequence;
    request.m_target = target->m_info.m_peer;
    request.m_to = m_probe->m_target;
    const bool sent =
      Send(m_table.Find(helper)->m_info.m_peer, std::move(request));
    m_probe->m_requestsSent += sent ? 1 : 0;
  }
}

void
Membership::Impl::OnProbeFailed()
{
  const Probe probe = *m_probe;
  m_probe.reset();
  ++m_stats.m_probesFailed;
  // Missing nacks indicate that this node is slow or cut off.
  if (probe.m_requestsSent == 0 || probe.m_nacks < probe.m_requestsSent) {
    m_localHealthScore =
      std::min(m_localHealthScore + 1, m_settings.m_maximumLocalHealthScore);
  }
  if (m_suspicionPausedUntil && m_now < *m_suspicionPausedUntil) {
    return;
  }
  const Entry* entry = m_table.Find(probe.m_target);
  if (entry == nullptr || entry->m_summary.m_health != MemberHealth::Alive) {
    return;
  }
  MemberSummary summary = entry->m_summary;
  summary.m_health = MemberHealth::Suspect;
  MergeUpdate(summary, entry->m_info.m_peer, true);
}

void
Membership::Impl::TickIndirectProbes()
{
  for (auto& [sequence, indirectProbe] : m_indirectProbes) {
    if (!indirectProbe.m_nacked && m_now >= indirectProbe.m_nackAt) {
      indirectProbe.m_nacked = true;
      Datagram nack = MakeDatagram(MessageKind::Nack);
      nack.m_sequence = indirectProbe.m_requesterSequence;
      Send(indirectProbe.m_requester, std::move(nack));
    }
  }
  std::erase_if(m_indirectProbes, [this](const auto& aItem) {
    return m_now >= aItem.second.m_expiresAt;
  });
}

void
Membership::Impl::TickSuspects()
{
  if (m_suspicionPausedUntil) {
    if (m_now < *m_suspicionPausedUntil) {
      return;
    }
    m_suspicionPausedUntil.reset();
  }
  std::vector<MemberKey> overdue;
  for (const auto& [key, deadline] : m_suspects) {
    if (m_now >= deadline) {
      overdue.push_back(key);
    }
  }
  for (const MemberKey key : overdue) {
    m_suspects.erase(key);
    const Entry* entry = m_table.Find(key);
    if (entry == nullptr) {
      continue;
    }
    MemberSummary summary = entry->m_summary;
    summary.m_health = MemberHealth::Dead;
    MergeUpdate(summary, entry->m_info.m_peer, true);
  }
}

// Pings one unreachable member, or one seed that is not a member, so that the
// sides of a healed partition merge.
void
Membership::Impl::TickReconnect()
{
  if (m_now < m_nextReconnect) {
    return;
  }
  m_nextReconnect = m_now + m_settings.m_reconnectPeriod;
  std::vector<std::pair<Endpoint, MemberKey>> candidates;
  std::set<Endpoint, EndpointLess> listed;
  for (const auto& [key, entry] : m_table.All()) {
    listed.insert(entry.m_info.m_peer);
    if (entry.IsDeadOrLeft() && !entry.HasLeft()) {
      candidates.emplace_back(entry.m_info.m_peer, key);
    }
  }
  for (const Endpoint& seed : m_seeds) {
    if (!listed.contains(seed)) {
      candidates.emplace_back(seed, 0);
    }
  }
  if (candidates.empty()) {
    return;
  }
  const auto& [endpoint, key] =
    candidates[m_random.NextBelow(candidates.size())];
  Datagram ping = MakeDatagram(MessageKind::Ping);
  ping.m_to = key;
  AppendReceiverSummary(ping, key, nullptr);
  Send(endpoint, std::move(ping));
}

void
Membership::Impl::TickRemoval()
{
  if (m_now < m_nextRemoval) {
    return;
  }
  m_nextRemoval = m_now + m_settings.m_reconnectPeriod;
  std::vector<MemberKey> expired;
  for (const auto& [key, entry] : m_table.All()) {
    if (entry.IsDeadOrLeft() &&
        m_now - entry.m_deadSince >= m_settings.m_removeDeadAfter) {
      expired.push_back(key);
    }
  }
  for (const MemberKey key : expired) {
    m_actions.m_changes.push_back({ m_table.Find(key)->ToMember(), true });
    m_table.Erase(key);
    m_pendingFetches.erase(key);
  }
  std::erase_if(m_digestsSent, [this](const auto& aItem) {
    return m_now - aItem.second > m_settings.m_reconnectPeriod;
  });
}

void
Membership::Impl::OnPing(const Endpoint& aFrom, const Datagram& aDatagram)
{
  // A new node may use the address of an earlier one; its Ack must not count as
  // a response of the earlier node.
  if (aDatagram.m_to != 0 && aDatagram.m_to != m_selfKey) {
    return;
  }
  Datagram ack = MakeDatagram(MessageKind::Ack);
  ack.m_sequence = aDatagram.m_sequence;
  AppendReceiverSummary(ack, aDatagram.m_sender.m_key, &aDatagram.m_sender);
  Send(aFrom, std::move(ack));
}

void
Membership::Impl::OnPingRequest(const Endpoint& aFrom,
                                const Datagram& aDatagram)
{
  if (m_indirectProbes.size() >= kMaximumIndirectProbes) {
    return;
  }
  Datagram ping = MakeDatagram(MessageKind::Ping);
  ping.m_sequence = ++m_sequence;
  ping.m_to = aDatagram.m_to;
  AppendReceiverSummary(ping, aDatagram.m_to, nullptr);
  if (Send(aDatagram.m_target, std::move(ping))) {
    IndirectProbe& indirectProbe = m_indirectProbes[m_sequence];
    indirectProbe.m_requester = aFrom;
    indirectProbe.m_requesterSequence = aDatagram.m_sequence;
    indirectProbe.m_nackAt = m_now + m_settings.m_probeTimeout;
    indirectProbe.m_expiresAt =
      m_now + ScaleByLocalHealth(m_settings.m_probePeriod);
  }
}

void
Membership::Impl::OnAck(const Datagram& aDatagram)
{
  if (m_probe && m_probe->m_sequence == aDatagram.m_sequence) {
    m_probe.reset();
    m_suspicionPausedUntil.reset();
    m_localHealthScore -= m_localHealthScore > 0 ? 1 : 0;
    return;
  }
  const auto indirectProbe = m_indirectProbes.find(aDatagram.m_sequence);
  if (indirectProbe == m_indirectProbes.end()) {
    return;
  }
  Datagram ack = MakeDatagram(MessageKind::Ack);
  ack.m_sequence = indirectProbe->second.m_requesterSequence;
  Send(indirectProbe->second.m_requester, std::move(ack));
  m_indirectProbes.erase(indirectProbe);
}

void
Membership::Impl::OnNack(const Datagram& aDatagram)
{
  if (m_probe && m_probe->m_sequence == aDatagram.m_sequence) {
    ++m_probe->m_nacks;
  }
}

} // namespace sassafrasquay
