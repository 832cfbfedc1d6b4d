#include "membership/membership_impl.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// Plain data
//-----------------------------------------------------------------------------

MemberKey
MemberKeyOf(const NodeId& aId)
{
  const MemberKey key = StableHash(aId.m_value);
  return key == 0 ? 1 : key; // 0 stands for "nobody"
}

bool
Supersedes(const MemberSummary& aNew, const MemberSummary& aOld)
{
  return std::tie(aNew.m_incarnation, aNew.m_revision, aNew.m_health) >
         std::tie(aOld.m_incarnation, aOld.m_revision, aOld.m_health);
}

MemberState
StateOf(const MemberSummary& aBrief)
{
  if (aBrief.m_health >= MemberHealth::Dead) {
    return MemberState::Dead;
  }
  if (aBrief.m_leaving) {
    return MemberState::Leaving;
  }
  return aBrief.m_health == MemberHealth::Suspect ? MemberState::Suspect
                                                  : MemberState::Alive;
}

TargetInfo
ToTargetInfo(const MemberRecord& aRecord)
{
  const MemberInfo& info = aRecord.m_info;
  const MemberSummary& brief = aRecord.m_summary;
  return { .m_node = info.m_id,
           .m_service = info.m_service,
           .m_zone = info.m_zone,
           .m_region = info.m_region,
           .m_peer = info.m_peer,
           .m_slots = info.m_slots,
           .m_incarnation = info.m_targetIncarnation,
           .m_cold = brief.m_cold,
           .m_leaving = brief.m_leaving || brief.m_targetLeaving,
           .m_nodeIncarnation = brief.m_incarnation };
}

size_t
MessageSizer::Total(const Datagram& aDatagram) const
{
  size_t total = Envelope(aDatagram);
  for (const MemberSummary& brief : aDatagram.m_briefs) {
    total += SizeOf(brief);
  }
  for (const MemberRecord& record : aDatagram.m_records) {
    total += SizeOf(record);
  }
  for (const QuarantineNotice& rumour : aDatagram.m_quarantineNotices) {
    total += SizeOf(rumour);
  }
  return total + DigestSize(aDatagram.m_digest.size()) +
         WantedSize(aDatagram.m_wanted.size());
}

//-----------------------------------------------------------------------------
// Events
//-----------------------------------------------------------------------------

Membership::Impl::Impl(MembershipSettings aSettings,
                       MemberRecord aSelf,
                       const MessageSizer& aSizer,
                       Random& aRandom,
                       TimePoint aNow)
  : m_settings(aSettings)
  , m_table(aSettings.m_maximumMembers)
  , m_selfKey(MemberKeyOf(aSelf.m_info.m_id))
  , m_sizer(aSizer)
  , m_random(aRandom)
  , m_budget(aSettings.m_bytesPerSecond, aSettings.m_burstBytes, aNow)
  , m_now(aNow)
  , m_sequence(aRandom.Next() >> 16)
  , m_lastHeard(aNow)
  , m_nextProbe(aNow)
  , m_nextGossip(aNow)
  , m_nextDigest(aNow)
  , m_nextRetry(aNow)
  , m_nextForget(aNow)
{
  aSelf.m_summary.m_key = m_selfKey;
  aSelf.m_summary.m_health = MemberHealth::Alive;
  aSelf.m_summary.m_infoVersion = 1; // 0 stands for "no information"
  m_table.Insert(aSelf);
}

MembershipActions
Membership::Impl::Join(std::vector<Endpoint> aSeeds, TimePoint aNow)
{
  // Nodes that start together must not probe in step.
  const auto spread = [&](Duration aPeriod) {
    return aNow + Duration(m_random.NextBelow(static_cast<uint64_t>(
                    std::max<int64_t>(1, aPeriod.count()))));
  };
  m_now = aNow;
  m_lastHeard = aNow;
  m_started = true;
  m_seeds = std::move(aSeeds);
  std::erase(m_seeds, Self().m_info.m_peer);
  m_joinStarted = aNow;
  m_nextProbe = spread(m_settings.m_probePeriod);
  m_nextGossip = spread(m_settings.m_gossipPeriod);
  m_nextDigest = spread(m_settings.m_digestPeriod);
  m_nextRetry = spread(m_settings.m_reconnectPeriod);
  m_nextForget = aNow + m_settings.m_reconnectPeriod;
  m_nextPull = aNow;
  Begin(aNow);
  if (m_seeds.empty()) {
    m_joined = true;
    m_actions.m_joined = true;
    m_nextPull = TimePoint::max();
  } else {
    TickPull();
  }
  return Finish();
}

MembershipActions
Membership::Impl::AddSeeds(const std::vector<Endpoint>& aSeeds, TimePoint aNow)
{
  if (!m_started || m_stopped) {
    return {};
  }
  Begin(aNow);
  for (const Endpoint& seed : aSeeds) {
    const bool known =
      std::find(m_contacts.begin(), m_contacts.end(), seed) != m_contacts.end();
    if (!known && seed != Self().m_info.m_peer) {
      m_contacts.push_back(seed);
    }
  }
  // Nodes that start together must not all begin with the same one.
  for (size_t i = m_contacts.size(); i > 1; --i) {
    std::swap(m_contacts[i - 1], m_contacts[m_random.NextBelow(i)]);
  }
  m_nextContact = m_now;
  TickContacts();
  return Finish();
}

void
Membership::Impl::Begin(TimePoint aNow)
{
  m_now = std::max(m_now, aNow);
  m_budget.Refill(m_now);
  NoticePause(m_now);
}

MembershipActions
Membership::Impl::Finish()
{
  m_expectedWake = NextTickTime();
  return std::exchange(m_actions, MembershipActions());
}

void
Membership::Impl::NoticePause(TimePoint aNow)
{
  if (m_expectedWake == TimePoint::max() ||
      aNow - m_expectedWake <= m_settings.m_pauseThreshold) {
    return;
  }
  // Silence during the pause says nothing about others: drop the open probe
  // and give every suspect its whole time again. The suspicions are told once
  // more, because the suspects may have missed them and must hear to object.
  m_localHealth = m_settings.m_localHealthMaximum;
  m_probe.reset();
  m_relays.clear();
  m_lastHeard = aNow;
  for (auto& [key, until] : m_suspects) {
    until = aNow + SuspicionTimeout();
    m_table.Announce(
      *m_table.Find(key), Copies(), NewsRank::MemberHealth, false);
  }
  m_unprovenUntil = aNow + 2 * SuspicionTimeout();
  m_nextProbe = aNow;
  m_nextDigest = aNow;
  m_expectedWake = aNow;
  m_actions.m_woke = true;
}

MembershipActions
Membership::Impl::OnDatagram(const Endpoint& aFrom,
                             const Datagram& aDatagram,
                             TimePoint aNow)
{
  if (!m_started || m_stopped || aDatagram.m_sender.m_key == m_selfKey) {
    return {};
  }
  Begin(aNow);
  ++m_stats.m_datagramsReceived;
  m_lastHeard = m_now;
  // Records come first, so that briefs find their entries.
  const bool tell = aDatagram.m_kind != MessageKind::SyncPage;
  for (const MemberRecord& record : aDatagram.m_records) {
    Learn(record, aFrom, tell);
  }
  NoticeSender(aFrom, aDatagram);
  for (const MemberSummary& brief : aDatagram.m_briefs) {
    Learn(brief, aFrom, tell);
  }
  for (const QuarantineNotice& rumour : aDatagram.m_quarantineNotices) {
    LearnRumour(rumour, false);
  }
  Dispatch(aFrom, aDatagram);
  return Finish();
}

void
Membership::Impl::Dispatch(const Endpoint& aFrom, const Datagram& aDatagram)
{
  switch (aDatagram.m_kind) {
    case MessageKind::Ping:
      return OnPing(aFrom, aDatagram);
    case MessageKind::Ack:
      return OnAck(aDatagram);
    case MessageKind::PingRequest:
      return OnPingRequest(aFrom, aDatagram);
    case MessageKind::Nack:
      return OnNack(aDatagram);
    case MessageKind::News:
      return;
    case MessageKind::SyncRequest:
      return OnSyncRequest(aFrom, aDatagram);
    case MessageKind::SyncPage:
      return OnSyncPage(aFrom, aDatagram);
    case MessageKind::Digest:
      return OnDigest(aFrom, aDatagram);
    case MessageKind::Listing:
      return OnListing(aFrom, aDatagram);
    case MessageKind::Fetch:
      return OnFetch(aFrom, aDatagram);
  }
}

MembershipActions
Membership::Impl::Tick(TimePoint aNow)
{
  if (!m_started || m_stopped) {
    return {};
  }
  Begin(aNow);
  TickSuspects();
  TickRelays();
  TickProbe();
  TickPull();
  TickContacts();
  TickGossip();
  TickWanted();
  TickDigest();
  TickRetry();
  TickForget();
  return Finish();
}

TimePoint
Membership::Impl::NextTickTime() const
{
  if (!m_started || m_stopped) {
    return TimePoint::max();
  }
  TimePoint next = std::min({ m_nextDigest, m_nextRetry, m_nextForget });
  next = std::min(next, m_nextPull);
  if (!m_contacts.empty()) {
    next = std::min(next, m_nextContact);
  }
  if (m_probe) {
    next = std::min(
      next, m_probe->m_indirect ? m_probe->m_deadline : m_probe->m_indirectAt);
  } else {
    next = std::min(next, m_nextProbe);
  }
  if (NewsQueued()) {
    next = std::min(next, m_nextGossip);
  }
  for (const auto& [sequence, relay] : m_relays) {
    next = std::min(next, relay.m_nacked ? relay.m_until : relay.m_nackAt);
  }
  if (m_unprovenUntil) {
    next = std::min(next, *m_unprovenUntil); // suspects wait for this
  } else {
    for (const auto& [key, until] : m_suspects) {
      next = std::min(next, until);
    }
  }
  for (const auto& [key, wanted] : m_wanted) {
    next = std::min(next, wanted.m_at);
  }
  return std::max(next, m_now);
}

MembershipActions
Membership::Impl::SetTarget(const TargetInfo& aTarget, TimePoint aNow)
{
  if (m_stopped) {
    return {};
  }
  Begin(aNow);
  Entry& self = SelfEntry();
  MemberInfo info = self.m_info;
  info.m_service = aTarget.m_service;
  info.m_slots = aTarget.m_slots;
  info.m_targetIncarnation = aTarget.m_incarnation;
  const bool newInfo = info != self.m_info;
  const bool newFlags = aTarget.m_cold != self.m_summary.m_cold ||
                        aTarget.m_leaving != self.m_summary.m_targetLeaving;
  if (newInfo) {
    self.m_info = info;
    self.m_infoVersion = ++self.m_summary.m_infoVersion;
  }
  self.m_summary.m_cold = aTarget.m_cold;
  self.m_summary.m_targetLeaving = aTarget.m_leaving;
  if (newInfo || newFlags) {
    ReviseSelf(newFlags ? NewsRank::Flags : NewsRank::Record, newInfo);
  }
  return Finish();
}

MembershipActions
Membership::Impl::Leave(TimePoint aNow)
{
  if (m_stopped || Self().m_summary.m_leaving) {
    return {};
  }
  Begin(aNow);
  SelfEntry().m_summary.m_leaving = true;
  ReviseSelf(NewsRank::Flags, false);
  return Finish();
}

MembershipActions
Membership::Impl::Stop(TimePoint aNow)
{
  if (m_stopped) {
    return {};
  }
  Begin(aNow);
  SelfEntry().m_summary.m_leaving = true;
  ReviseSelf(NewsRank::Flags, false);
  SelfEntry().m_summary.m_health = MemberHealth::Left;
  // Several copies, because nobody is left to repeat the news when all of
  // them are lost; probing would then find out.
  const size_t targets = 2 * m_settings.m_fanOut;
  for (size_t i = 0; i < std::min(targets, m_table.LiveCount()); ++i) {
    const MemberKey key = m_gossipRing.Next(m_table, m_random, false);
    if (key != 0) {
      Send(m_table.Find(key)->m_info.m_peer, Make(MessageKind::News), true);
    }
  }
  m_stopped = true;
  return Finish();
}

MembershipActions
Membership::Impl::AddQuarantineNotice(const QuarantineNotice& aRumour,
                                      TimePoint aNow)
{
  if (m_stopped) {
    return {};
  }
  Begin(aNow);
  LearnRumour(aRumour, true);
  return Finish();
}

bool
Membership::Impl::Isolated(TimePoint aNow) const
{
  const bool others = m_table.All().size() > 1;
  return others && aNow - m_lastHeard > m_settings.m_isolatedAfter;
}

//-----------------------------------------------------------------------------
// Learning
//-----------------------------------------------------------------------------

void
Membership::Impl::ReviseSelf(NewsRank aRank, bool aFull)
{
  Entry& self = SelfEntry();
  ++self.m_summary.m_revision;
  m_table.Announce(self, Copies(), aRank, aFull);
  m_actions.m_changes.push_back({ self.View() });
}

void
Membership::Impl::LearnAboutSelf(const MemberSummary& aBrief)
{
  MemberSummary& self = SelfEntry().m_summary;
  if (aBrief.m_incarnation > self.m_incarnation) {
    m_actions.m_supersededBy = aBrief.m_incarnation;
    return;
  }
  if (!Supersedes(aBrief, self)) {
    return;
  }
  self.m_revision = aBrief.m_revision; // ReviseSelf goes one higher
  ++m_stats.m_refutations;
  m_localHealth = std::min(m_localHealth + 1, m_settings.m_localHealthMaximum);
  ReviseSelf(NewsRank::MemberHealth, false);
}

void
Membership::Impl::Merged(Merge aResult,
                         MemberKey aKey,
                         const TableChange& aChange,
                         bool aTell)
{
  Entry* entry = m_table.Find(aKey);
  if (entry == nullptr) {
    return;
  }
  if (aResult == Merge::Same && entry->m_copies > 0 &&
      entry->m_rank != NewsRank::Flags) {
    --entry->m_copies; // others tell it already
  }
  if (aResult != Merge::Applied) {
    return;
  }
  if (entry->m_summary.m_health == MemberHealth::Suspect) {
    m_suspects.try_emplace(aKey, m_now + SuspicionTimeout());
  } else {
    m_suspects.erase(aKey);
  }
  if (aTell) {
    m_table.Announce(*entry, Copies(), aChange.m_rank, aChange.m_newInfo);
  }
  if (entry->Usable() || entry->Dead()) {
    m_actions.m_changes.push_back({ entry->View() });
  }
}

void
Membership::Impl::Learn(const MemberSummary& aBrief,
                        const Endpoint& aFrom,
                        bool aTell)
{
  if (aBrief.m_key == m_selfKey) {
    return LearnAboutSelf(aBrief);
  }
  TableChange change;
  const Merge result = m_table.Apply(aBrief, m_now, change);
  if (result == Merge::Unknown) {
    if (aBrief.m_health < MemberHealth::Dead) {
      Want(aBrief.m_key, aFrom);
    }
    return;
  }
  Merged(result, aBrief.m_key, change, aTell);
  const Entry* entry = m_table.Find(aBrief.m_key);
  if (!entry->Current() && !entry->Dead()) {
    Want(aBrief.m_key, aFrom);
  }
}

void
Membership::Impl::Learn(const MemberRecord& aRecord,
                        const Endpoint& aFrom,
                        bool aTell)
{
  const MemberKey key = aRecord.m_summary.m_key;
  if (key == m_selfKey) {
    return LearnAboutSelf(aRecord.m_summary);
  }
  const bool known = m_table.Find(key) != nullptr;
  TableChange change;
  const Merge result = m_table.Apply(aRecord, m_now, change);
  if (!known && result == Merge::Applied) {
    m_probeRing.Add(key, m_random);
    m_gossipRing.Add(key, m_random);
  }
  Merged(result, key, change, aTell);
  const Entry* entry = m_table.Find(key);
  if (entry != nullptr && entry->Current()) {
    m_wanted.erase(key);
  } else if (entry != nullptr && !entry->Dead()) {
    Want(key, aFrom);
  }
}

void
Membership::Impl::NoticeSender(const Endpoint& aFrom, const Datagram& aDatagram)
{
  const MemberKey key = aDatagram.m_sender.m_key;
  Learn(aDatagram.m_sender, aFrom, true);
  Entry* entry = m_table.Find(key);
  if (entry != nullptr &&
      entry->m_summary.m_incarnation == aDatagram.m_sender.m_incarnation) {
    entry->m_configVersion =
      std::max(entry->m_configVersion, aDatagram.m_configVersion);
  }
  // Said with every datagram, because a question can stay without an answer.
  if (aDatagram.m_configVersion > m_configVersion) {
    const bool listed = entry != nullptr && entry->Usable();
    m_actions.m_newerConfigPeer = listed ? entry->m_info.m_peer : aFrom;
  }
  // A member listed as gone speaks: the two sides of a healed partition meet
  // here and compare tables at once.
  if (entry != nullptr && entry->Dead() && !entry->Left()) {
    TimePoint& last = m_digestsSent[aFrom];
    if (last == TimePoint{} || m_now - last > m_settings.m_probePeriod) {
      last = m_now;
      SendDigest(aFrom);
    }
  }
}

//-----------------------------------------------------------------------------
// Facade
//-----------------------------------------------------------------------------

Membership::Membership(MembershipSettings aSettings,
                       MemberRecord aSelf,
                       const MessageSizer& aSizer,
                       Random& aRandom,
                       TimePoint aNow)
  : m_impl(std::make_unique<Impl>(aSettings,
                                  std::move(aSelf),
                                  aSizer,
                                  aRandom,
                                  aNow))
{
}

Membership::~Membership() = default;

MembershipActions
Membership::Join(std::vector<Endpoint> aSeeds, TimePoint aNow)
{
  return m_impl->Join(std::move(aSeeds), aNow);
}

MembershipActions
Membership::AddSeeds(const std::vector<Endpoint>& aSeeds, TimePoint aNow)
{
  return m_impl->AddSeeds(aSeeds, aNow);
}

MembershipActions
Membership::OnDatagram(const Endpoint& aFrom,
                       const Datagram& aDatagram,
                       TimePoint aNow)
{
  return m_impl->OnDatagram(aFrom, aDatagram, aNow);
}

MembershipActions
Membership::Tick(TimePoint aNow)
{
  return m_impl->Tick(aNow);
}

TimePoint
Membership::NextTickTime() const
{
  return m_impl->NextTickTime();
}

MembershipActions
Membership::SetTarget(const TargetInfo& aTarget, TimePoint aNow)
{
  return m_impl->SetTarget(aTarget, aNow);
}

MembershipActions
Membership::Leave(TimePoint aNow)
{
  return m_impl->Leave(aNow);
}

MembershipActions
Membership::Stop(TimePoint aNow)
{
  return m_impl->Stop(aNow);
}

void
Membership::SetConfigVersion(uint64_t aVersion)
{
  m_impl->m_configVersion = std::max(m_impl->m_configVersion, aVersion);
}

MembershipActions
Membership::AddQuarantineNotice(const QuarantineNotice& aRumour, TimePoint aNow)
{
  return m_impl->AddQuarantineNotice(aRumour, aNow);
}

MemberRecord
Membership::Self() const
{
  return m_impl->Self().Record();
}

bool
Membership::Joined() const
{
  return m_impl->m_joined;
}

bool
Membership::Isolated(TimePoint aNow) const
{
  return m_impl->Isolated(aNow);
}

std::vector<Member>
Membership::Members() const
{
  std::vector<Member> members;
  members.reserve(m_impl->m_table.All().size());
  for (const auto& [key, entry] : m_impl->m_table.All()) {
    if (entry.Usable() || entry.Dead()) {
      members.push_back(entry.View());
    }
  }
  return members;
}

std::optional<Member>
Membership::Find(const NodeId& aId) const
{
  const Entry* entry = std::as_const(m_impl->m_table).Find(MemberKeyOf(aId));
  if (entry == nullptr || (!entry->Usable() && !entry->Dead())) {
    return std::nullopt;
  }
  return entry->View();
}

size_t
Membership::LiveMemberCount() const
{
  return m_impl->m_table.LiveCount();
}

const MembershipStats&
Membership::Stats() const
{
  return m_impl->m_stats;
}

} // namespace sassafrasquay
