// Working parts of Membership. Internal to membership.
//
// Index of this file
//   [1] Outbox: composes datagrams within the byte budget
//   [2] Membership::Impl: probing, dissemination, synchronisation
#pragma once

#include "membership/member_table.h"

#include <set>
#include <tuple>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Outbox
//-----------------------------------------------------------------------------

// Token bucket over bytes; a send that does not fit is suppressed, so the
// budget holds whatever the fleet does.
class ByteBudget
{
public:
  ByteBudget(size_t aRate, size_t aBurst, TimePoint aNow)
    : m_rate(static_cast<double>(aRate))
    , m_burst(static_cast<double>(aBurst))
    , m_tokens(static_cast<double>(aBurst))
    , m_at(aNow)
  {
  }

  void Refill(TimePoint aNow);
  size_t Available() const { return static_cast<size_t>(m_tokens); }
  void Spend(size_t aBytes) { m_tokens -= static_cast<double>(aBytes); }

private:
  double m_rate;
  double m_burst;
  double m_tokens;
  TimePoint m_at;
};

struct EndpointLess
{
  bool operator()(const Endpoint& aOne, const Endpoint& aOther) const
  {
    return std::tie(aOne.m_address, aOne.m_port) <
           std::tie(aOther.m_address, aOther.m_port);
  }
};

struct HeldRumour
{
  QuarantineNotice m_rumour; // m_remaining is unused; see m_until
  TimePoint m_until{};
  size_t m_copies = 0;
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
  MembershipActions AddQuarantineNotice(const QuarantineNotice& aRumour,
                                        TimePoint aNow);
  bool Isolated(TimePoint aNow) const;

  MembershipSettings m_settings;
  MemberTable m_table;
  MembershipStats m_stats;
  uint64_t m_configVersion = 0;
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
    bool m_indirect = false;
    size_t m_asked = 0; // helpers
    size_t m_nacks = 0;
  };
  // A probe made for another node.
  struct Relay
  {
    Endpoint m_requester;
    uint64_t m_theirSequence = 0;
    TimePoint m_nackAt{};
    bool m_nacked = false;
    TimePoint m_until{};
  };
  struct Wanted
  {
    Endpoint m_from;
    TimePoint m_at{};
    unsigned m_tries = 0;
  };

  // membership.cpp
  Entry& SelfEntry() { return *m_table.Find(m_selfKey); }
  void Begin(TimePoint aNow);
  MembershipActions Finish();
  void NoticePause(TimePoint aNow);
  void Merged(Merge aResult,
              MemberKey aKey,
              const TableChange& aChange,
              bool aTell);
  void Learn(const MemberSummary& aBrief, const Endpoint& aFrom, bool aTell);
  void Learn(const MemberRecord& aRecord, const Endpoint& aFrom, bool aTell);
  void LearnAboutSelf(const MemberSummary& aBrief);
  void ReviseSelf(NewsRank aRank, bool aFull);
  void NoticeSender(const Endpoint& aFrom, const Datagram& aDatagram);
  void Dispatch(const Endpoint& aFrom, const Datagram& aDatagram);

  // dissemination.cpp
  size_t Copies() const;
  Datagram Make(MessageKind aKind) const;
  void Verdict(Datagram& aDatagram,
               MemberKey aKey,
               const MemberSummary* aTheirs);
  // Largest datagram other than a probe or its answer at this moment.
  size_t BulkLimit() const;
  bool Send(const Endpoint& aTo, Datagram aDatagram, bool aFanOut = false);
  void AddNews(Datagram& aDatagram, size_t aRoom, bool aFanOut);
  void AddRumours(Datagram& aDatagram, size_t& aRoom, bool aFanOut);
  bool NewsQueued() const;
  bool WorthADatagram();
  void TickGossip();
  void LearnRumour(const QuarantineNotice& aRumour, bool aOwn);

  // probing.cpp
  Duration Scaled(Duration aDuration) const;
  Duration SuspicionTimeout() const;
  MemberKey RandomLive(MemberKey aExcept);
  void TickProbe();
  void StartProbe();
  void AskHelpers();
  void FailProbe();
  void TickRelays();
  void TickSuspects();
  void TickRetry();
  void TickForget();
  void OnPing(const Endpoint& aFrom, const Datagram& aDatagram);
  void OnPingRequest(const Endpoint& aFrom, const Datagram& aDatagram);
  void OnAck(const Datagram& aDatagram);
  void OnNack(const Datagram& aDatagram);

  // sync.cpp
  void TickPull();
  void TickContacts();
  void TickWanted();
  void TickDigest();
  Endpoint PageSource();
  void Want(MemberKey aKey, const Endpoint& aFrom);
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

  Ring m_probeRing;
  Ring m_gossipRing;
  std::optional<Probe> m_probe;
  std::map<uint64_t, Relay> m_relays;
  std::map<MemberKey, TimePoint> m_suspects; // end of the time to object
  uint64_t m_sequence;
  unsigned m_localHealth = 0; // 0: timely; grows with signs of own slowness
  // Set on waking: until a probe succeeds or this time passes, this node's
  // own timing is in doubt and it accuses nobody.
  std::optional<TimePoint> m_unprovenUntil;
  TimePoint m_expectedWake = TimePoint::max();
  TimePoint m_lastHeard;

  std::vector<HeldRumour> m_quarantineNotices;

  std::vector<Endpoint> m_seeds;
  size_t m_seedAt = 0;
  MemberKey m_pullFrom = 0; // first key still to pull while joining
  bool m_pageReceived = false;
  bool m_anyPage = false; // even an incomplete one
  TimePoint m_joinStarted{};
  std::map<MemberKey, Wanted> m_wanted;
  std::vector<Endpoint> m_contacts; // to introduce this node to
  TimePoint m_nextContact{};

  TimePoint m_nextProbe;
  TimePoint m_nextGossip;
  TimePoint m_nextPull = TimePoint::max();
  TimePoint m_nextDigest;
  TimePoint m_nextRetry;
  TimePoint m_nextForget;
  std::map<Endpoint, TimePoint, EndpointLess>
    m_digestsSent; // by member thought to be gone
};

} // namespace sassafrasquay
