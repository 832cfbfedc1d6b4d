// Implementation of Membership. Internal to membership.
//
// Index of this file
//   [1] Parts: byte budget, order of endpoints, stored notice
//   [2] Membership::Impl: probing, dissemination, anti-entropy
#pragma once

#include "membership/member_table.h"

#include <set>
#include <tuple>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Parts
//-----------------------------------------------------------------------------

// Token bucket over bytes. A datagram that does not fit is not sent, so the
// budget holds under any load.
class ByteBudget
{
public:
  ByteBudget(size_t aRate, size_t aBurst, TimePoint aNow)
    : m_rate(static_cast<double>(aRate))
    , m_burst(static_cast<double>(aBurst))
    , m_tokens(static_cast<double>(aBurst))
    , m_refilledAt(aNow)
  {
  }

  void Refill(TimePoint aNow);
  size_t Available() const { return static_cast<size_t>(m_tokens); }
  void Spend(size_t aBytes) { m_tokens -= static_cast<double>(aBytes); }

private:
  double m_rate;
  double m_burst;
  double m_tokens;
  TimePoint m_refilledAt;
};

struct EndpointLess
{
  bool operator()(const Endpoint& aOne, const Endpoint& aOther) const
  {
    return std::tie(aOne.m_address, aOne.m_port) <
           std::tie(aOther.m_address, aOther.m_port);
  }
};

struct StoredNotice
{
  QuarantineNotice m_notice; // m_remaining is unused; see m_expiresAt
  TimePoint m_expiresAt{};
  size_t m_transmitsLeft = 0;
};

//-----------------------------------------------------------------------------
// [2] Membership::Impl
//-----------------------------------------------------------------------------

class Membership::Impl
{
public:
  Impl(MembershipSettings aSettings,
       MemberRecord aSelf,
       const MessageSizer& aSizer,
       Random& aRandom,
       TimePoint aNow);

  // membership.cpp
  MembershipActions Join(std::vector<Endpoint> aSeeds, TimePoint aNow);
  MembershipActions AddSeeds(const std::vector<Endpoint>& aSeeds,
                             TimePoint aNow);
  MembershipActions OnDatagram(const Endpoint& aFrom,
                               const Datagram& aDatagram,
                               TimePoint aNow);
  MembershipActions Tick(TimePoint aNow);
  TimePoint NextTickTime() const;
  MembershipActions SetTarget(const TargetInfo& aTarget, TimePoint aNow);
  MembershipActions Leave(TimePoint aNow);
  MembershipActions Stop(TimePoint aNow);
  MembershipActions SendConfigNotices(const std::vector<NodeId>& aNodes,
                                      TimePoint aNow);
  MembershipActions AddQuarantineNotice(const QuarantineNotice& aNotice,
                                        TimePoint aNow);
  bool Isolated(TimePoint aNow) const;

  MembershipSettings m_settings;
  MemberTable m_table;
  MembershipStats m_stats;
  LogPosition m_configPosition;
  MemberKey m_selfKey;
  bool m_joined = false;

  const Entry& Self() const { return *m_table.Find(m_selfKey); }

private:
  struct Probe
  {
    MemberKey m_target = 0;
    uint64_t m_sequence = 0;
    TimePoint m_indirectAt{};
    TimePoint m_deadline{};
    bool m_indirectRequested = false;
    size_t m_requestsSent = 0; // for indirect probes
    size_t m_nacks = 0;
  };
  // A probe on behalf of another node.
  struct IndirectProbe
  {
    Endpoint m_requester;
    uint64_t m_requesterSequence = 0;
    TimePoint m_nackAt{};
    bool m_nacked = false;
    TimePoint m_expiresAt{};
  };
  struct PendingFetch
  {
    Endpoint m_from;
    TimePoint m_nextAttempt{};
    unsigned m_attempts = 0;
  };

  // membership.cpp
  Entry& SelfEntry() { return *m_table.Find(m_selfKey); }
  void BeginEvent(TimePoint aNow);
  MembershipActions EndEvent();
  void DetectPause(TimePoint aNow);
  void ApplyMergeResult(MergeResult aResult,
                        MemberKey aKey,
                        const TableChange& aChange,
                        bool aPropagate);
  void MergeUpdate(const MemberSummary& aSummary,
                   const Endpoint& aFrom,
                   bool aPropagate);
  void MergeUpdate(const MemberRecord& aRecord,
                   const Endpoint& aFrom,
                   bool aPropagate);
  void MergeOwnSummary(const MemberSummary& aSummary);
  void ReviseSelf(UpdatePriority aPriority, bool aSendRecord);
  void MergeSender(const Endpoint& aFrom, const Datagram& aDatagram);
  void Dispatch(const Endpoint& aFrom, const Datagram& aDatagram);

  // dissemination.cpp
  size_t TransmitLimit() const;
  Datagram MakeDatagram(MessageKind aKind) const;
  void AppendReceiverSummary(Datagram& aDatagram,
                             MemberKey aKey,
                             const MemberSummary* aReceived);
  // Largest datagram that may be sent now, other than a probe or its response.
  size_t BulkLimit() const;
  bool Send(const Endpoint& aTo, Datagram aDatagram, bool aRoundRobin = false);
  void AppendUpdates(Datagram& aDatagram, size_t aRoom, bool aRoundRobin);
  void AppendNotices(Datagram& aDatagram, size_t& aRoom, bool aRoundRobin);
  bool HasQueuedUpdates() const;
  bool ShouldSendUpdates();
  void TickGossip();
  void MergeNotice(const QuarantineNotice& aNotice, bool aLocal);

  // probing.cpp
  Duration ScaleByLocalHealth(Duration aDuration) const;
  Duration SuspicionTimeout() const;
  MemberKey NextLiveMember(MemberKey aExcept);
  void TickProbe();
  void StartProbe();
  void RequestIndirectProbes();
  void OnProbeFailed();
  void TickIndirectProbes();
  void TickSuspects();
  void TickReconnect();
  void TickRemoval();
  void OnPing(const Endpoint& aFrom, const Datagram& aDatagram);
  void OnPingRequest(const Endpoint& aFrom, const Datagram& aDatagram);
  void OnAck(const Datagram& aDatagram);
  void OnNack(const Datagram& aDatagram);

  // sync.cpp
  void TickJoinPull();
  void TickSeedContacts();
  void TickFetches();
  void TickDigest();
  Endpoint NextPageSource();
  void QueueFetch(MemberKey aKey, const Endpoint& aFrom);
  void SendDigest(const Endpoint& aTo);
  void OnSyncRequest(const Endpoint& aFrom, const Datagram& aDatagram);
  void OnSyncPage(const Endpoint& aFrom, const Datagram& aDatagram);
  void OnDigest(const Endpoint& aFrom, const Datagram& aDatagram);
  void SendListing(const Endpoint& aTo, size_t aBucket);
  void OnListing(const Endpoint& aFrom, const Datagram& aDatagram);
  void OnFetch(const Endpoint& aFrom, const Datagram& aDatagram);
  void SendRecords(const Endpoint& aTo, const std::vector<MemberKey>& aKeys);

  const MessageSizer& m_sizer;
  Random& m_random;
  ByteBudget m_budget;
  MembershipActions m_actions;
  TimePoint m_now;
  bool m_started = false;
  bool m_stopped = false;

  RandomRoundRobin m_probeOrder;
  RandomRoundRobin m_gossipOrder;
  std::optional<Probe> m_probe;
  std::map<uint64_t, IndirectProbe> m_indirectProbes;
  std::map<MemberKey, TimePoint> m_suspects; // end of the suspicion timeout
  uint64_t m_sequence;
  unsigned m_localHealthScore = 0; // Lifeguard; 0: this node responds in time
  // Set after a pause of the process, when this node's own timing is
  // unreliable. Until a probe succeeds or this time passes, the node declares
  // no member suspect or dead.
  std::optional<TimePoint> m_suspicionPausedUntil;
  TimePoint m_expectedTick = TimePoint::max();
  TimePoint m_lastReceived;

  std::vector<StoredNotice> m_quarantineNotices;

  std::vector<Endpoint> m_seeds;
  size_t m_nextSeed = 0;
  MemberKey m_pullFrom = 0; // first key still to pull while joining
  bool m_completePageReceived = false;
  bool m_anyPageReceived = false; // also from a sender that has not joined
  TimePoint m_joinStarted{};
  std::map<MemberKey, PendingFetch> m_pendingFetches;
  std::vector<Endpoint> m_seedContacts; // to be contacted by AddSeeds
  TimePoint m_nextSeedContact{};

  TimePoint m_nextProbe;
  TimePoint m_nextGossip;
  TimePoint m_nextPull = TimePoint::max();
  TimePoint m_nextDigest;
  TimePoint m_nextReconnect;
  TimePoint m_nextRemoval;
  std::map<Endpoint, TimePoint, EndpointLess>
    m_digestsSent; // to members listed as dead, for a rate limit
};

} // namespace sassafrasquay
