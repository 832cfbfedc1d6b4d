#include "membership/membership_impl.h"

#include <algorithm>
#include <cmath>

namespace sassafrasquay {

namespace {

constexpr size_t kMaximumRelays = 64;

} // namespace

// A node that is slow itself waits longer before it blames others.
Duration
Membership::Impl::Scaled(Duration aDuration) const
{
  return aDuration * (1 + m_localHealth);
}

Duration
Membership::Impl::SuspicionTimeout() const
{
  const double members = static_cast<double>(m_table.LiveCount() + 1);
  const double factor = m_settings.m_suspicionFactor * std::log10(members);
  const auto timeout = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::nano>(
      factor * static_cast<double>(m_settings.m_probePeriod.count())));
  return std::max(timeout, m_settings.m_suspicionMinimum);
}

MemberKey
Membership::Impl::RandomLive(MemberKey aExcept)
{
  // Any position of the ring is random to the outside; a second step avoids
  // the member that must not be chosen.
  for (int i = 0; i < 2; ++i) {
    const MemberKey key = m_gossipRing.Next(m_table, m_random, false);
    if (key != aExcept) {
      return key;
    }
  }
  return 0;
}

void
Membership::Impl::TickProbe()
{
  if (m_probe && !m_probe->m_indirect && m_now >= m_probe->m_indirectAt) {
    AskHelpers();
  }
  if (m_probe && m_now >= m_probe->m_deadline) {
    FailProbe();
  }
  if (!m_probe && m_now >= m_nextProbe) {
    StartProbe();
  }
}

void
Membership::Impl::StartProbe()
{
  m_nextProbe = m_now + Scaled(m_settings.m_probePeriod);
  const MemberKey key = m_probeRing.Next(m_table, m_random, true);
  if (key == 0) {
    return;
  }
  Probe probe;
  probe.m_target = key;
  probe.m_sequence = ++m_sequence;
  probe.m_indirectAt = m_now + Scaled(m_settings.m_probeTimeout);
  probe.m_deadline = m_nextProbe;
  Datagram ping = Make(MessageKind::Ping);
  ping.m_sequence = probe.m_sequence;
  ping.m_to = key;
  Verdict(ping, key, nullptr);
  // A probe that the budget suppressed proves nothing.
  if (Send(m_table.Find(key)->m_info.m_peer, std::move(ping))) {
    m_probe = probe;
  }
}

void
Membership::Impl::AskHelpers()
{
  m_probe->m_indirect = true;
  const Entry* target = m_table.Find(m_probe->m_target);
  if (target == nullptr) {
    return;
  }
  std::set<MemberKey> helpers;
  for (size_t i = 0; i < m_settings.m_helpers; ++i) {
    const MemberKey helper = RandomLive(m_probe->m_target);
    if (helper == 0 || !helpers.insert(helper).second) {
      break;
    }
    Datagram request = Make(MessageKind::PingRequest);
    request.m_sequence = m_probe->m_sequence;
    request.m_target = target->m_info.m_peer;
    request.m_to = m_probe->m_target;
    const bool sent =
      Send(m_table.Find(helper)->m_info.m_peer, std::move(request));
    m_probe->m_asked += sent ? 1 : 0;
  }
}

void
Membership::Impl::FailProbe()
{
  const Probe probe = *m_probe;
  m_probe.reset();
  ++m_stats.m_probesFailed;
  // Helpers that do not even answer "no" point to this node being cut off.
  if (probe.m_asked == 0 || probe.m_nacks < probe.m_asked) {
    m_localHealth =
      std::min(m_localHealth + 1, m_settings.m_localHealthMaximum);
  }
  if (m_unprovenUntil && m_now < *m_unprovenUntil) {
    return;
  }
  const Entry* entry = m_table.Find(probe.m_target);
  if (entry == nullptr || entry->m_summary.m_health != MemberHealth::Alive) {
    return;
  }
  MemberSummary verdict = entry->m_summary;
  verdict.m_health = MemberHealth::Suspect;
  Learn(verdict, entry->m_info.m_peer, true);
}

void
Membership::Impl::TickRelays()
{
  for (auto& [sequence, relay] : m_relays) {
    if (!relay.m_nacked && m_now >= relay.m_nackAt) {
      relay.m_nacked = true;
      Datagram nack = Make(MessageKind::Nack);
      nack.m_sequence = relay.m_theirSequence;
      Send(relay.m_requester, std::move(nack));
    }
  }
  std::erase_if(m_relays, [this](const auto& aItem) {
    return m_now >= aItem.second.m_until;
  });
}

void
Membership::Impl::TickSuspects()
{
  if (m_unprovenUntil) {
    if (m_now < *m_unprovenUntil) {
      return;
    }
    m_unprovenUntil.reset();
  }
  std::vector<MemberKey> overdue;
  for (const auto& [key, until] : m_suspects) {
    if (m_now >= until) {
      overdue.push_back(key);
    }
  }
  for (const MemberKey key : overdue) {
    m_suspects.erase(key);
    const Entry* entry = m_table.Find(key);
    if (entry == nullptr) {
      continue;
    }
    MemberSummary verdict = entry->m_summary;
    verdict.m_health = MemberHealth::Dead;
    Learn(verdict, entry->m_info.m_peer, true);
  }
}

// One unreachable member, or one seed that is not a member, is tried again so
// that the sides of a healed partition find each other.
void
Membership::Impl::TickRetry()
{
  if (m_now < m_nextRetry) {
    return;
  }
  m_nextRetry = m_now + m_settings.m_reconnectPeriod;
  std::vector<std::pair<Endpoint, MemberKey>> candidates;
  std::set<Endpoint, EndpointLess> listed;
  for (const auto& [key, entry] : m_table.All()) {
    listed.insert(entry.m_info.m_peer);
    if (entry.Dead() && !entry.Left()) {
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
  Datagram ping = Make(MessageKind::Ping);
  ping.m_to = key;
  Verdict(ping, key, nullptr);
  Send(endpoint, std::move(ping));
}

void
Membership::Impl::TickForget()
{
  if (m_now < m_nextForget) {
    return;
  }
  m_nextForget = m_now + m_settings.m_reconnectPeriod;
  std::vector<MemberKey> expired;
  for (const auto& [key, entry] : m_table.All()) {
    if (entry.Dead() && m_now - entry.m_goneSince >= m_settings.m_forgetAfter) {
      expired.push_back(key);
    }
  }
  for (const MemberKey key : expired) {
    m_actions.m_changes.push_back({ m_table.Find(key)->View(), true });
    m_table.Erase(key);
    m_wanted.erase(key);
  }
  std::erase_if(m_digestsSent, [this](const auto& aItem) {
    return m_now - aItem.second > m_settings.m_reconnectPeriod;
  });
}

void
Membership::Impl::OnPing(const Endpoint& aFrom, const Datagram& aDatagram)
{
  // An address may be in use by a new node; it must not vouch for the old one.
  if (aDatagram.m_to != 0 && aDatagram.m_to != m_selfKey) {
    return;
  }
  Datagram ack = Make(MessageKind::Ack);
  ack.m_sequence = aDatagram.m_sequence;
  Verdict(ack, aDatagram.m_sender.m_key, &aDatagram.m_sender);
  Send(aFrom, std::move(ack));
}

void
Membership::Impl::OnPingRequest(const Endpoint& aFrom,
                                const Datagram& aDatagram)
{
  if (m_relays.size() >= kMaximumRelays) {
    return;
  }
  Datagram ping = Make(MessageKind::Ping);
  ping.m_sequence = ++m_sequence;
  ping.m_to = aDatagram.m_to;
  Verdict(ping, aDatagram.m_to, nullptr);
  if (Send(aDatagram.m_target, std::move(ping))) {
    Relay& relay = m_relays[m_sequence];
    relay.m_requester = aFrom;
    relay.m_theirSequence = aDatagram.m_sequence;
    relay.m_nackAt = m_now + m_settings.m_probeTimeout;
    relay.m_until = m_now + Scaled(m_settings.m_probePeriod);
  }
}

void
Membership::Impl::OnAck(const Datagram& aDatagram)
{
  if (m_probe && m_probe->m_sequence == aDatagram.m_sequence) {
    m_probe.reset();
    m_unprovenUntil.reset();
    m_localHealth -= m_localHealth > 0 ? 1 : 0;
    return;
  }
  const auto relay = m_relays.find(aDatagram.m_sequence);
  if (relay == m_relays.end()) {
    return;
  }
  Datagram ack = Make(MessageKind::Ack);
  ack.m_sequence = relay->second.m_theirSequence;
  Send(relay->second.m_requester, std::move(ack));
  m_relays.erase(relay);
}

void
Membership::Impl::OnNack(const Datagram& aDatagram)
{
  if (m_probe && m_probe->m_sequence == aDatagram.m_sequence) {
    ++m_probe->m_nacks;
  }
}

} // namespace sassafrasquay
