#include "membership/membership_impl.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// Data types
//-----------------------------------------------------------------------------

MemberKey
MemberKeyOf(const NodeId& aId)
{
  const MemberKey key = StableHash(aId.m_value);
  return key == 0 ? 1 : key; // 0 means no member
}

bool
Supersedes(const MemberSummary& aNew, const MemberSummary& aOld)
{
  return std::tie(aNew.m_incarnation, aNew.m_revision, aNew.m_health) >
         std::tie(aOld.m_incarnation, aOld.m_revision, aOld.m_health);
}

MemberState
StateOf(const MemberSummary& aSummary)
{
  if (aSummary.m_health >= MemberHealth::Dead) {
    return MemberState::Dead;
  }
  if (aSummary.m_leaving) {
    return MemberState::Leaving;
  }
  return aSummary.m_health == MemberHealth::Suspect ? MemberState::Suspect
                                                    : MemberState::Alive;
}

TargetInfo
ToTargetInfo(const MemberRecord& aRecord)
{
  const MemberInfo& info = aRecord.m_info;
  const MemberSummary& summary = aRecord.m_summary;
  return { .m_node = info.m_id,
           .m_service = info.m_service,
           .m_zone = info.m_zone,
           .m_region = info.m_region,
           .m_peer = info.m_peer,
           .m_slots = info.m_slots,
           .m_incarnation = info.m_targetIncarnation,
           .m_cold = summary.m_cold,
           .m_leaving = summary.m_leaving || summary.m_targetLeaving,
           .m_nodeIncarnation = summary.m_incarnation,
           .m_version = info.m_targetVersion };
}

size_t
MessageSizer::TotalSize(const Datagram& aDatagram) const
{
  size_t total = EnvelopeSize(aDatagram);
  for (const MemberSummary& summary : aDatagram.m_summaries) {
    total += SizeOf(summary);
  }
  for (const MemberRecord& record : aDatagram.m_records) {
    total += SizeOf(record);
  }
  for (const QuarantineNotice& notice : aDatagram.m_quarantineNotices) {
    total += SizeOf(notice);
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
  , m_lastReceived(aNow)
  , m_nextProbe(aNow)
  , m_nextGossip(aNow)
  , m_nextDigest(aNow)
  , m_nextReconnect(aNow)
  , m_nextRemoval(aNow)
{
  aSelf.m_summary.m_key = m_selfKey;
  aSelf.m_summary.m_health = MemberHealth::Alive;
  aSelf.m_summary.m_infoVersion = 1; // 0 means that the MemberInfo is unknown
  m_table.Insert(aSelf);
}

MembershipActions
Membership::Impl::Join(std::vector<Endpoint> aSeeds, TimePoint aNow)
{
  // A random phase keeps nodes that start together from probing in step.
  const auto randomPhase = [&](Duration aPeriod) {
    return aNow + Duration(m_random.NextBelow(static_cast<uint64_t>(
                    std::max<int64_t>(1, aPeriod.count()))));
  };
  m_now = aNow;
  m_lastReceived = aNow;
  m_started = true;
  m_seeds = std::move(aSeeds);
  std::erase(m_seeds, Self().m_info.m_peer);
  m_joinStarted = aNow;
  m_nextProbe = randomPhase(m_settings.m_probePeriod);
  m_nextGossip = randomPhase(m_settings.m_gossipPeriod);
  m_nextDigest = randomPhase(m_settings.m_digestPeriod);
  m_nextReconnect = randomPhase(m_settings.m_reconnectPeriod);
  m_nextRemoval = aNow + m_settings.m_reconnectPeriod;
  m_nextPull = aNow;
  BeginEvent(aNow);
  if (m_seeds.empty()) {
    m_joined = true;
    m_actions.m_joined = true;
    m_nextPull = TimePoint::max();
  } else {
    TickJoinPull();
  }
  return EndEvent();
}

MembershipActions
Membership::Impl::AddSeeds(const std::vector<Endpoint>& aSeeds, TimePoint aNow)
{
  if (!m_started || m_stopped) {
    return {};
  }
  BeginEvent(aNow);
  for (const Endpoint& seed : aSeeds) {
    const bool pending =
      std::find(m_seedContacts.begin(), m_seedContacts.end(), seed) !=
      m_seedContacts.end();
    if (!pending && seed != Self().m_info.m_peer) {
      m_seedContacts.push_back(seed);
    }
  }
  // Shuffled, so that nodes that start together contact different seeds first.
  for (size_t i = m_seedContacts.size(); i > 1; --i) {
    std::swap(m_seedContacts[i - 1], m_seedContacts[m_random.NextBelow(i)]);
  }
  m_nextSeedContact = m_now;
  TickSeedContacts();
  return EndEvent();
}

void
Membership::Impl::BeginEvent(TimePoint aNow)
{
  m_now = std::max(m_now, aNow);
  m_budget.Refill(m_now);
  DetectPause(m_now);
}

MembershipActions
Membership::Impl::EndEvent()
{
  m_expectedTick = NextTickTime();
  return std::exchange(m_actions, MembershipActions());
}

void
Membership::Impl::DetectPause(TimePoint aNow)
{
  if (m_expectedTick == TimePoint::max() ||
      aNow - m_expectedTick <= m_settings.m_pauseThreshold) {
    return;
  }
  // Missing datagrams during the pause do not show that other members failed:
  // cancel the open probe and restart every suspicion timeout. The suspicions
  // are disseminated again, because a suspect that missed them cannot refute.
  m_localHealthScore = m_settings.m_maximumLocalHealthScore;
  m_probe.reset();
  m_indirectProbes.clear();
  m_lastReceived = aNow;
  for (auto& [key, deadline] : m_suspects) {
    deadline = aNow + SuspicionTimeout();
    m_table.QueueUpdate(
      *m_table.Find(key), TransmitLimit(), UpdatePriority::Health, false);
  }
  m_suspicionPausedUntil = aNow + 2 * SuspicionTimeout();
  m_nextProbe = aNow;
  m_nextDigest = aNow;
  m_expectedTick = aNow;
  m_actions.m_pauseDetected = true;
}

MembershipActions
Membership::Impl::OnDatagram(const Endpoint& aFrom,
                             const Datagram& aDatagram,
                             TimePoint aNow)
{
  if (!m_started || m_stopped || aDatagram.m_sender.m_key == m_selfKey) {
    return {};
  }
  BeginEvent(aNow);
  ++m_stats.m_datagramsReceived;
  m_lastReceived = m_now;
  // Records first, so that the summaries find their entries.
  const bool propagate = aDatagram.m_kind != MessageKind::SyncPage;
  for (const MemberRecord& record : aDatagram.m_records) {
    MergeUpdate(record, aFrom, propagate);
  }
  MergeSender(aFrom, aDatagram);
  for (const MemberSummary& summary : aDatagram.m_summaries) {
    MergeUpdate(summary, aFrom, propagate);
  }
  for (const QuarantineNotice& notice : aDatagram.m_quarantineNotices) {
    MergeNotice(notice, false);
  }
  Dispatch(aFrom, aDatagram);
  return EndEvent();
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
    case MessageKind::Updates:
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
  BeginEvent(aNow);
  TickSuspects();
  TickIndirectProbes();
  TickProbe();
  TickJoinPull();
  TickSeedContacts();
  TickGossip();
  TickFetches();
  TickDigest();
  TickReconnect();
  TickRemoval();
  return EndEvent();
}

TimePoint
Membership::Impl::NextTickTime() const
{
  if (!m_started || m_stopped) {
    return TimePoint::max();
  }
  TimePoint next = std::min({ m_nextDigest, m_nextReconnect, m_nextRemoval });
  next = std::min(next, m_nextPull);
  if (!m_seedContacts.empty()) {
    next = std::min(next, m_nextSeedContact);
  }
  if (m_probe) {
    next = std::min(next,
                    m_probe->m_indirectRequested ? m_probe->m_deadline
                                                 : m_probe->m_indirectAt);
  } else {
    next = std::min(next, m_nextProbe);
  }
  if (HasQueuedUpdates()) {
    next = std::min(next, m_nextGossip);
  }
  for (const auto& [sequence, indirectProbe] : m_indirectProbes) {
    next = std::min(next,
                    indirectProbe.m_nacked ? indirectProbe.m_expiresAt
                                           : indirectProbe.m_nackAt);
  }
  if (m_suspicionPausedUntil) {
    next = std::min(next, *m_suspicionPausedUntil); // timeouts are on hold
  } else {
    for (const auto& [key, deadline] : m_suspects) {
      next = std::min(next, deadline);
    }
  }
  for (const auto& [key, pending] : m_pendingFetches) {
    next = std::min(next, pending.m_nextAttempt);
  }
  return std::max(next, m_now);
}

MembershipActions
Membership::Impl::SetTarget(const TargetInfo& aTarget, TimePoint aNow)
{
  if (m_stopped) {
    return {};
  }
  BeginEvent(aNow);
  Entry& self = SelfEntry();
  MemberInfo info = self.m_info;
  info.m_service = aTarget.m_service;
  info.m_slots = aTarget.m_slots;
  info.m_targetIncarnation = aTarget.m_incarnation;
  info.m_targetVersion = aTarget.m_version;
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
    ReviseSelf(newFlags ? UpdatePriority::Flags : UpdatePriority::Record,
               newInfo);
  }
  return EndEvent();
}

MembershipActions
Membership::Impl::Leave(TimePoint aNow)
{
  if (m_stopped || Self().m_summary.m_leaving) {
    return {};
  }
  BeginEvent(aNow);
  SelfEntry().m_summary.m_leaving = true;
  ReviseSelf(UpdatePriority::Flags, false);
  return EndEvent();
}

MembershipActions
Membership::Impl::Stop(TimePoint aNow)
{
  if (m_stopped) {
    return {};
  }
  BeginEvent(aNow);
  SelfEntry().m_summary.m_leaving = true;
  ReviseSelf(UpdatePriority::Flags, false);
  SelfEntry().m_summary.m_health = MemberHealth::Left;
  // Sent to several members, because this node cannot repeat the update later.
  // If all datagrams are lost, probing detects the absence.
  const size_t targets = 2 * m_settings.m_fanOut;
  for (size_t i = 0; i < std::min(targets, m_table.LiveCount()); ++i) {
    const MemberKey key = m_gossipOrder.Next(m_table, m_random, false);
    if (key != 0) {
      Send(m_table.Find(key)->m_info.m_peer,
           MakeDatagram(MessageKind::Updates),
           true);
    }
  }
  m_stopped = true;
  return EndEvent();
}

MembershipActions
Membership::Impl::AddQuarantineNotice(const QuarantineNotice& aNotice,
                                      TimePoint aNow)
{
  if (m_stopped) {
    return {};
  }
  BeginEvent(aNow);
  MergeNotice(aNotice, true);
  return EndEvent();
}

bool
Membership::Impl::Isolated(TimePoint aNow) const
{
  const bool hasOthers = m_table.All().size() > 1;
  return hasOthers && aNow - m_lastReceived > m_settings.m_isolatedAfter;
}

//-----------------------------------------------------------------------------
// Merging of received updates
//-----------------------------------------------------------------------------

void
Membership::Impl::ReviseSelf(UpdatePriority aPriority, bool aSendRecord)
{
  Entry& self = SelfEntry();
  ++self.m_summary.m_revision;
  m_table.QueueUpdate(self, TransmitLimit(), aPriority, aSendRecord);
  m_actions.m_changes.push_back({ self.ToMember() });
}

void
Membership::Impl::MergeOwnSummary(const MemberSummary& aSummary)
{
  MemberSummary& self = SelfEntry().m_summary;
  if (aSummary.m_incarnation > self.m_incarnation) {
    m_actions.m_supersededBy = aSummary.m_incarnation;
    return;
  }
  if (!Supersedes(aSummary, self)) {
    return;
  }
  self.m_revision = aSummary.m_revision; // ReviseSelf increments it
  ++m_stats.m_refutations;
  m_localHealthScore =
    std::min(m_localHealthScore + 1, m_settings.m_maximumLocalHealthScore);
  ReviseSelf(UpdatePriority::Health, false);
}

void
Membership::Impl::ApplyMergeResult(MergeResult aResult,
                                   MemberKey aKey,
                                   const TableChange& aChange,
                                   bool aPropagate)
{
  Entry* entry = m_table.Find(aKey);
  if (entry == nullptr) {
    return;
  }
  if (aResult == MergeResult::Duplicate && entry->m_transmitsLeft > 0 &&
      entry->m_priority != UpdatePriority::Flags) {
    --entry->m_transmitsLeft; // another member disseminates it already
  }
  if (aResult != MergeResult::Applied) {
    return;
  }
  if (entry->m_summary.m_health == MemberHealth::Suspect) {
    m_suspects.try_emplace(aKey, m_now + SuspicionTimeout());
  } else {
    m_suspects.erase(aKey);
  }
  if (aPropagate) {
    m_table.QueueUpdate(
      *entry, TransmitLimit(), aChange.m_priority, aChange.m_infoChanged);
  }
  if (entry->HasInfo() || entry->IsDeadOrLeft()) {
    m_actions.m_changes.push_back({ entry->ToMember() });
  }
}

void
Membership::Impl::MergeUpdate(const MemberSummary& aSummary,
                              const Endpoint& aFrom,
                              bool aPropagate)
{
  if (aSummary.m_key == m_selfKey) {
    return MergeOwnSummary(aSummary);
  }
  TableChange change;
  const MergeResult result = m_table.Apply(aSummary, m_now, change);
  if (result == MergeResult::UnknownMember) {
    if (aSummary.m_health < MemberHealth::Dead) {
      QueueFetch(aSummary.m_key, aFrom);
    }
    return;
  }
  ApplyMergeResult(result, aSummary.m_key, change, aPropagate);
  const Entry* entry = m_table.Find(aSummary.m_key);
  if (!entry->InfoIsCurrent() && !entry->IsDeadOrLeft()) {
    QueueFetch(aSummary.m_key, aFrom);
  }
}

void
Membership::Impl::MergeUpdate(const MemberRecord& aRecord,
                              const Endpoint& aFrom,
                              bool aPropagate)
{
  const MemberKey key = aRecord.m_summary.m_key;
  if (key == m_selfKey) {
    return MergeOwnSummary(aRecord.m_summary);
  }
  const bool listed = m_table.Find(key) != nullptr;
  TableChange change;
  const MergeResult result = m_table.Apply(aRecord, m_now, change);
  if (!listed && result == MergeResult::Applied) {
    m_probeOrder.Add(key, m_random);
    m_gossipOrder.Add(key, m_random);
  }
  ApplyMergeResult(result, key, change, aPropagate);
  const Entry* entry = m_table.Find(key);
  if (entry != nullptr && entry->InfoIsCurrent()) {
    m_pendingFetches.erase(key);
  } else if (entry != nullptr && !entry->IsDeadOrLeft()) {
    QueueFetch(key, aFrom);
  }
}

void
Membership::Impl::MergeSender(const Endpoint& aFrom, const Datagram& aDatagram)
{
  const MemberKey key = aDatagram.m_sender.m_key;
  MergeUpdate(aDatagram.m_sender, aFrom, true);
  Entry* entry = m_table.Find(key);
  if (entry != nullptr &&
      entry->m_summary.m_incarnation == aDatagram.m_sender.m_incarnation) {
    entry->m_configPosition =
      std::max(entry->m_configPosition, aDatagram.m_configPosition);
  }
  // Reported for every datagram, because a request to the peer may be lost.
  if (aDatagram.m_configPosition > m_configPosition) {
    const bool listed = entry != nullptr && entry->HasInfo();
    m_actions.m_newerConfigPeer = listed ? entry->m_info.m_peer : aFrom;
  }
  if (aDatagram.m_isConfigNotice && entry != nullptr && entry->HasInfo()) {
    m_actions.m_configWatcher = entry->m_info.m_id;
  }
  // A datagram from a member listed as dead may mean that a partition has
  // healed: compare tables at once.
  if (entry != nullptr && entry->IsDeadOrLeft() && !entry->HasLeft()) {
    TimePoint& last = m_digestsSent[aFrom];
    if (last == TimePoint{} || m_now - last > m_settings.m_probePeriod) {
      last = m_now;
      SendDigest(aFrom);
    }
  }
}

//-----------------------------------------------------------------------------
// Public interface
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
Membership::SetConfigPosition(const LogPosition& aPosition)
{
  m_impl->m_configPosition = std::max(m_impl->m_configPosition, aPosition);
}

MembershipActions
Membership::SendConfigNotices(const std::vector<NodeId>& aNodes, TimePoint aNow)
{
  return m_impl->SendConfigNotices(aNodes, aNow);
}

MembershipActions
Membership::AddQuarantineNotice(const QuarantineNotice& aNotice, TimePoint aNow)
{
  return m_impl->AddQuarantineNotice(aNotice, aNow);
}

MemberRecord
Membership::Self() const
{
  return m_impl->Self().ToRecord();
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
    if (entry.HasInfo() || entry.IsDeadOrLeft()) {
      members.push_back(entry.ToMember());
    }
  }
  return members;
}

std::optional<Member>
Membership::Find(const NodeId& aId) const
{
  const Entry* entry = std::as_const(m_impl->m_table).Find(MemberKeyOf(aId));
  if (entry == nullptr || (!entry->HasInfo() && !entry->IsDeadOrLeft())) {
    return std::nullopt;
  }
  return entry->ToMember();
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
