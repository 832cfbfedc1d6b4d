#include "membership/membership_impl.h"

#include <algorithm>
#include <cmath>

namespace sassafrasquay {

namespace {

// Everything else leaves this much of the budget to probes and their answers;
// an answer that is suppressed makes a live member suspect.
constexpr size_t kProbeReserve = 400;
// News of rank Health waits until it fills most of a datagram while the
// budget is short; headers would otherwise eat a third of it.
constexpr size_t kWorthwhile = 900;
constexpr size_t kRumoursPerDatagram = 8;
constexpr size_t kBriefsPerDatagram = 64;
constexpr size_t kTypicalBrief = 28; // encoded bytes
// Below this rest a rumour is not worth learning; two nodes could otherwise
// teach it to each other again because transit time is not subtracted.
constexpr Duration kRumourMinimum = std::chrono::seconds(1);

bool
IsProbing(MessageKind aKind)
{
  return aKind == MessageKind::Ping || aKind == MessageKind::Ack ||
         aKind == MessageKind::PingRequest || aKind == MessageKind::Nack;
}

} // namespace

// The informed members multiply by up to 1 + fan-out in each round until most
// know; the rest is reached with probability 1 - e^-3 in each further round.
// log2(n) leaves room for the members that are told twice.
size_t
NewsRounds(size_t aMembers)
{
  return 8 + static_cast<size_t>(
               std::ceil(std::log2(static_cast<double>(aMembers))));
}

void
ByteBudget::Refill(TimePoint aNow)
{
  if (aNow > m_at) {
    const std::chrono::duration<double> elapsed = aNow - m_at;
    m_tokens = std::min(m_burst, m_tokens + m_rate * elapsed.count());
    m_at = aNow;
  }
}

// An epidemic in which every informed member sends c copies misses a given
// member with probability e^-c; c = 8 + ln(n) misses any of n members with
// probability e^-8, and the digest exchange repairs that.
size_t
Membership::Impl::Copies() const
{
  const double members = static_cast<double>(m_table.LiveCount() + 1);
  return m_settings.m_extraCopies +
         static_cast<size_t>(std::ceil(std::log(members)));
}

Datagram
Membership::Impl::Make(MessageKind aKind) const
{
  Datagram datagram;
  datagram.m_kind = aKind;
  datagram.m_sender = Self().m_summary;
  datagram.m_configVersion = m_configVersion;
  return datagram;
}

// Tells the receiver what is believed about it, so that it can object at once.
void
Membership::Impl::Verdict(Datagram& aDatagram,
                          MemberKey aKey,
                          const MemberSummary* aTheirs)
{
  const Entry* entry = m_table.Find(aKey);
  if (entry == nullptr) {
    return;
  }
  const bool disagrees = aTheirs != nullptr
                           ? Supersedes(entry->m_summary, *aTheirs)
                           : entry->m_summary.m_health != MemberHealth::Alive;
  if (disagrees) {
    aDatagram.m_briefs.push_back(entry->m_summary);
  }
}

size_t
Membership::Impl::BulkLimit() const
{
  const size_t available = m_budget.Available();
  return std::min(m_settings.m_datagramBytes,
                  available - std::min(available, kProbeReserve));
}

bool
Membership::Impl::Send(const Endpoint& aTo, Datagram aDatagram, bool aFanOut)
{
  const size_t base = m_sizer.Total(aDatagram);
  const size_t limit = BulkLimit();
  const size_t allowed =
    IsProbing(aDatagram.m_kind) ? m_budget.Available() : limit;
  if (base > allowed) {
    ++m_stats.m_sendsSuppressed;
    return false;
  }
  if (limit > base) {
    AddNews(aDatagram, limit - base, aFanOut);
  }
  const size_t bytes = m_sizer.Total(aDatagram);
  m_budget.Spend(bytes);
  m_stats.m_bytesSent += bytes;
  ++m_stats.m_datagramsSent;
  m_actions.m_sends.push_back({ aTo, std::move(aDatagram) });
  return true;
}

void
Membership::Impl::AddNews(Datagram& aDatagram, size_t aRoom, bool aFanOut)
{
  AddRumours(aDatagram, aRoom, aFanOut);
  for (Entry* entry : m_table.News(kBriefsPerDatagram)) {
    const size_t size = entry->m_fullNews && entry->Current()
                          ? m_sizer.SizeOf(entry->Record())
                          : m_sizer.SizeOf(entry->m_summary);
    if (size > aRoom) {
      break;
    }
    aRoom -= size;
    if (entry->m_fullNews && entry->Current()) {
      aDatagram.m_records.push_back(entry->Record());
    } else {
      aDatagram.m_briefs.push_back(entry->m_summary);
    }
    // Flags are counted only when sent along the ring, whose members are all
    // different; probes may meet the same member again.
    if (aFanOut || entry->m_rank != NewsRank::Flags) {
      --entry->m_copies;
    }
  }
}

void
Membership::Impl::AddRumours(Datagram& aDatagram, size_t& aRoom, bool aFanOut)
{
  for (HeldRumour& held : m_quarantineNotices) {
    const Duration remaining = held.m_until - m_now;
    if (held.m_copies == 0 || remaining < kRumourMinimum ||
        aDatagram.m_quarantineNotices.size() >= kRumoursPerDatagram) {
      continue;
    }
    QuarantineNotice rumour = held.m_rumour;
    rumour.m_remaining = remaining;
    const size_t size = m_sizer.SizeOf(rumour);
    if (size > aRoom) {
      return;
    }
    aRoom -= size;
    aDatagram.m_quarantineNotices.push_back(rumour);
    held.m_copies -= aFanOut ? 1 : 0;
  }
}

bool
Membership::Impl::NewsQueued() const
{
  const bool rumours =
    std::any_of(m_quarantineNotices.begin(),
                m_quarantineNotices.end(),
                [](const auto& aHeld) { return aHeld.m_copies > 0; });
  return rumours || m_table.NewsQueued();
}

bool
Membership::Impl::WorthADatagram()
{
  const size_t base = m_sizer.Envelope(Make(MessageKind::News));
  const size_t news = m_table.NewsCount() * kTypicalBrief;
  const size_t wanted = m_table.HasNewsAbove(NewsRank::MemberHealth)
                          ? 2 * kTypicalBrief
                          : std::min(news, kWorthwhile);
  return m_budget.Available() >= kProbeReserve + base + wanted;
}

void
Membership::Impl::TickGossip()
{
  std::erase_if(m_quarantineNotices,
                [this](const auto& aHeld) { return aHeld.m_until <= m_now; });
  m_table.NewsCount(); // drops entries without copies
  if (!NewsQueued() || m_now < m_nextGossip) {
    return;
  }
  m_nextGossip = m_now + m_settings.m_gossipPeriod;
  const size_t others = m_table.LiveCount() - 1;
  for (size_t i = 0; i < std::min(m_settings.m_fanOut, others); ++i) {
    if (!WorthADatagram()) {
      return;
    }
    const MemberKey key = m_gossipRing.Next(m_table, m_random, false);
    if (key == 0) {
      break;
    }
    Datagram datagram = Make(MessageKind::News);
    Verdict(datagram, key, nullptr);
    Send(m_table.Find(key)->m_info.m_peer, std::move(datagram), true);
    m_table.NewsCount();
    if (!NewsQueued()) {
      return;
    }
  }
  if (others == 0) {
    m_table.ClearNews(); // nobody to tell; joining members pull the table
  }
}

void
Membership::Impl::LearnRumour(const QuarantineNotice& aRumour, bool aOwn)
{
  if (aRumour.m_remaining < kRumourMinimum) {
    return;
  }
  const TimePoint until =
    m_now + std::min(aRumour.m_remaining, m_settings.m_rumourLifetime);
  const auto found =
    std::find_if(m_quarantineNotices.begin(),
                 m_quarantineNotices.end(),
                 [&](const auto& aHeld) {
                   return aHeld.m_rumour.m_identity == aRumour.m_identity &&
                          aHeld.m_rumour.m_crash == aRumour.m_crash;
                 });
  HeldRumour held{ aRumour, until, Copies() };
  if (found == m_quarantineNotices.end()) {
    if (m_quarantineNotices.size() >= m_settings.m_maximumRumours) {
      // The one that expires first makes room.
      m_quarantineNotices.erase(
        std::min_element(m_quarantineNotices.begin(),
                         m_quarantineNotices.end(),
                         [](const auto& aOne, const auto& aOther) {
                           return aOne.m_until < aOther.m_until;
                         }));
    }
    m_quarantineNotices.push_back(held);
  } else if (aRumour.m_cleared && !found->m_rumour.m_cleared) {
    *found = held;
  } else {
    return;
  }
  if (!aOwn) {
    m_actions.m_quarantineNotices.push_back(aRumour);
  }
}

} // namespace sassafrasquay
