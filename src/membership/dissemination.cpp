#include "membership/membership_impl.h"

#include <algorithm>
#include <cmath>

namespace sassafrasquay {

namespace {

// Part of the byte budget that only probes and their responses may use, because
// a suppressed response makes a live member suspect.
constexpr size_t kProbeReserveBytes = 400;
// While the budget is short, updates of priority Health wait until they fill
// most of a datagram; otherwise headers would take a third of the budget.
constexpr size_t kMinimumBatchBytes = 900;
constexpr size_t kNoticesPerDatagram = 8;
constexpr size_t kSummariesPerDatagram = 64;
constexpr size_t kTypicalSummaryBytes = 28; // encoded
// A notice with less time left is ignored. Transit time is not subtracted, so
// two nodes could otherwise send an expired notice back to each other.
constexpr Duration kMinimumNoticeLifetime = std::chrono::seconds(1);

bool
IsProbing(MessageKind aKind)
{
  return aKind == MessageKind::Ping || aKind == MessageKind::Ack ||
         aKind == MessageKind::PingRequest || aKind == MessageKind::Nack;
}

} // namespace

// In each round the number of informed members grows by a factor of up to
// 1 + fan-out, until most are informed; each further round reaches a remaining
// member with probability 1 - e^-3. log2(n) allows for members that receive the
// update more than once.
size_t
DisseminationRounds(size_t aMembers)
{
  return 8 + static_cast<size_t>(
               std::ceil(std::log2(static_cast<double>(aMembers))));
}

void
ByteBudget::Refill(TimePoint aNow)
{
  if (aNow > m_refilledAt) {
    const std::chrono::duration<double> elapsed = aNow - m_refilledAt;
    m_tokens = std::min(m_burst, m_tokens + m_rate * elapsed.count());
    m_refilledAt = aNow;
  }
}

// An epidemic in which each informed member transmits c times misses a given
// member with probability e^-c. c = 8 + ln(n) misses any of n members with
// probability e^-8; the digest exchange repairs that case.
size_t
Membership::Impl::TransmitLimit() const
{
  const double members = static_cast<double>(m_table.LiveCount() + 1);
  return m_settings.m_baseTransmits +
         static_cast<size_t>(std::ceil(std::log(members)));
}

Datagram
Membership::Impl::MakeDatagram(MessageKind aKind) const
{
  Datagram datagram;
  datagram.m_kind = aKind;
  datagram.m_sender = Self().m_summary;
  datagram.m_configPosition = m_configPosition;
  return datagram;
}

// Adds this node's summary of the receiver aKey if it supersedes aReceived or,
// without aReceived, if it is not alive. The receiver can then refute a
// suspicion at once (Lifeguard's buddy system).
void
Membership::Impl::AppendReceiverSummary(Datagram& aDatagram,
                                        MemberKey aKey,
                                        const MemberSummary* aReceived)
{
  const Entry* entry = m_table.Find(aKey);
  if (entry == nullptr) {
    return;
  }
  const bool needsUpdate = aReceived != nullptr
                             ? Supersedes(entry->m_summary, *aReceived)
                             : entry->m_summary.m_health != MemberHealth::Alive;
  if (needsUpdate) {
    aDatagram.m_summaries.push_back(entry->m_summary);
  }
}

size_t
Membership::Impl::BulkLimit() const
{
  const size_t available = m_budget.Available();
  return std::min(m_settings.m_datagramBytes,
                  available - std::min(available, kProbeReserveBytes));
}

bool
Membership::Impl::Send(const Endpoint& aTo,
                       Datagram aDatagram,
                       bool aRoundRobin)
{
  const size_t base = m_sizer.TotalSize(aDatagram);
  const size_t limit = BulkLimit();
  const size_t allowed =
    IsProbing(aDatagram.m_kind) ? m_budget.Available() : limit;
  if (base > allowed) {
    ++m_stats.m_sendsSuppressed;
    return false;
  }
  if (limit > base) {
    AppendUpdates(aDatagram, limit - base, aRoundRobin);
  }
  const size_t bytes = m_sizer.TotalSize(aDatagram);
  m_budget.Spend(bytes);
  m_stats.m_bytesSent += bytes;
  ++m_stats.m_datagramsSent;
  m_actions.m_sends.push_back({ aTo, std::move(aDatagram) });
  return true;
}

void
Membership::Impl::AppendUpdates(Datagram& aDatagram,
                                size_t aRoom,
                                bool aRoundRobin)
{
  AppendNotices(aDatagram, aRoom, aRoundRobin);
  for (Entry* entry : m_table.QueuedUpdates(kSummariesPerDatagram)) {
    const size_t size = entry->m_sendRecord && entry->InfoIsCurrent()
                          ? m_sizer.SizeOf(entry->ToRecord())
                          : m_sizer.SizeOf(entry->m_summary);
    if (size > aRoom) {
      break;
    }
    aRoom -= size;
    if (entry->m_sendRecord && entry->InfoIsCurrent()) {
      aDatagram.m_records.push_back(entry->ToRecord());
    } else {
      aDatagram.m_summaries.push_back(entry->m_summary);
    }
    // Flags count as transmitted only in round-robin order, which reaches
    // distinct members; a probe may reach a member that has the update.
    if (aRoundRobin || entry->m_priority != UpdatePriority::Flags) {
      --entry->m_transmitsLeft;
    }
  }
}

void
Membership::Impl::AppendNotices(Datagram& aDatagram,
                                size_t& aRoom,
                                bool aRoundRobin)
{
  for (StoredNotice& stored : m_quarantineNotices) {
    const Duration remaining = stored.m_expiresAt - m_now;
    if (stored.m_transmitsLeft == 0 || remaining < kMinimumNoticeLifetime ||
        aDatagram.m_quarantineNotices.size() >= kNoticesPerDatagram) {
      continue;
    }
    QuarantineNotice notice = stored.m_notice;
    notice.m_remaining = remaining;
    const size_t size = m_sizer.SizeOf(notice);
    if (size > aRoom) {
      return;
    }
    aRoom -= size;
    aDatagram.m_quarantineNotices.push_back(notice);
    stored.m_transmitsLeft -= aRoundRobin ? 1 : 0;
  }
}

bool
Membership::Impl::HasQueuedUpdates() const
{
  const bool hasNotices = std::any_of(
    m_quarantineNotices.begin(),
    m_quarantineNotices.end(),
    [](const auto& aStored) { return aStored.m_transmitsLeft > 0; });
  return hasNotices || m_table.HasQueuedUpdates();
}

bool
Membership::Impl::ShouldSendUpdates()
{
  const size_t base = m_sizer.EnvelopeSize(MakeDatagram(MessageKind::Updates));
  const size_t queuedBytes = m_table.QueuedUpdateCount() * kTypicalSummaryBytes;
  const size_t requiredBytes = m_table.HasUpdatesAbove(UpdatePriority::Health)
                                 ? 2 * kTypicalSummaryBytes
                                 : std::min(queuedBytes, kMinimumBatchBytes);
  return m_budget.Available() >= kProbeReserveBytes + base + requiredBytes;
}

void
Membership::Impl::TickGossip()
{
  std::erase_if(m_quarantineNotices, [this](const auto& aStored) {
    return aStored.m_expiresAt <= m_now;
  });
  m_table.QueuedUpdateCount(); // drops entries without transmits left
  if (!HasQueuedUpdates() || m_now < m_nextGossip) {
    return;
  }
  m_nextGossip = m_now + m_settings.m_gossipPeriod;
  const size_t others = m_table.LiveCount() - 1;
  for (size_t i = 0; i < std::min(m_settings.m_fanOut, others); ++i) {
    if (!ShouldSendUpdates()) {
      return;
    }
    const MemberKey key = m_gossipOrder.Next(m_table, m_random, false);
    if (key == 0) {
      break;
    }
    Datagram datagram = MakeDatagram(MessageKind::Updates);
    AppendReceiverSummary(datagram, key, nullptr);
    Send(m_table.Find(key)->m_info.m_peer, std::move(datagram), true);
    m_table.QueuedUpdateCount();
    if (!HasQueuedUpdates()) {
      return;
    }
  }
  if (others == 0) {
    m_table.ClearUpdates(); // a member that joins pulls the table
  }
}

MembershipActions
Membership::Impl::SendConfigNotices(const std::vector<NodeId>& aNodes,
                                    TimePoint aNow)
{
  if (!m_started || m_stopped) {
    return {};
  }
  BeginEvent(aNow);
  Datagram notice = MakeDatagram(MessageKind::Updates);
  notice.m_isConfigNotice = true;
  const size_t bytes = m_sizer.TotalSize(notice);
  for (const NodeId& node : aNodes) {
    const Entry* entry = m_table.Find(MemberKeyOf(node));
    if (entry != nullptr && entry->HasInfo()) {
      m_stats.m_bytesSent += bytes;
      ++m_stats.m_datagramsSent;
      m_actions.m_sends.push_back({ entry->m_info.m_peer, notice });
    }
  }
  return EndEvent();
}

void
Membership::Impl::MergeNotice(const QuarantineNotice& aNotice, bool aLocal)
{
  if (aNotice.m_remaining < kMinimumNoticeLifetime) {
    return;
  }
  const TimePoint expiresAt =
    m_now + std::min(aNotice.m_remaining, m_settings.m_maximumNoticeLifetime);
  const auto found =
    std::find_if(m_quarantineNotices.begin(),
                 m_quarantineNotices.end(),
                 [&](const auto& aStored) {
                   return aStored.m_notice.m_identity == aNotice.m_identity &&
                          aStored.m_notice.m_crash == aNotice.m_crash;
                 });
  StoredNotice stored{ aNotice, expiresAt, TransmitLimit() };
  if (found == m_quarantineNotices.end()) {
    if (m_quarantineNotices.size() >= m_settings.m_maximumNotices) {
      // Replace the notice that expires first.
      m_quarantineNotices.erase(
        std::min_element(m_quarantineNotices.begin(),
                         m_quarantineNotices.end(),
                         [](const auto& aOne, const auto& aOther) {
                           return aOne.m_expiresAt < aOther.m_expiresAt;
                         }));
    }
    m_quarantineNotices.push_back(stored);
  } else if (aNotice.m_cleared && !found->m_notice.m_cleared) {
    *found = stored;
  } else {
    return;
  }
  if (!aLocal) {
    m_actions.m_quarantineNotices.push_back(aNotice);
  }
}

} // namespace sassafrasquay
