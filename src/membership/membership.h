// Membership: which nodes exist, where they are, and whether they respond.
//
// Index of this file
//   [1] Members: what is known about a node, in short and in full
//   [2] Messages: the datagram that nodes exchange, and its size
//   [3] Settings: periods, bounds and budget
//   [4] Actions: what the owner of a Membership has to do
//   [5] Membership: SWIM-style probing, dissemination and synchronisation
#pragma once

#include "core/core.h"

#include <map>
#include <memory>
#include <optional>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Members
//-----------------------------------------------------------------------------

// Hash of the node id. Two ids with the same key cannot be members together;
// at 2,800 members the odds are about 1 in 10^12.
using MemberKey = uint64_t;

MemberKey
MemberKeyOf(const NodeId& aId);

// What the fleet believes about the reachability of a node.
enum class MemberHealth : uint8_t
{
  Alive,
  Suspect, // a probe failed; the node has time to object
  Dead,    // crashed or unreachable; tried again at a low rate
  Left     // stopped by its own word
};

enum class MemberState : uint8_t
{
  Alive,
  Suspect,
  Leaving, // announced its stop; takes no new work
  Dead
};

// The part of a record that changes often. Statements about one node are
// ordered by incarnation, revision and health; only the node itself raises
// the revision, so its own word overrides any suspicion of an older revision.
struct MemberSummary
{
  MemberKey m_key = 0;
  uint64_t m_incarnation = 0; // of the node process
  uint32_t m_revision = 0;
  uint32_t m_infoVersion = 0; // of the MemberInfo, within the incarnation
  MemberHealth m_health = MemberHealth::Alive;
  bool m_leaving = false; // the node stops
  bool m_cold = false;    // the target is in cold start
  bool m_targetLeaving = false;

  bool operator==(const MemberSummary&) const = default;
};

// True when aNew overrides aOld.
bool
Supersedes(const MemberSummary& aNew, const MemberSummary& aOld);

MemberState
StateOf(const MemberSummary& aBrief);

// The part of a record that seldom changes.
struct MemberInfo
{
  NodeId m_id;
  Endpoint m_peer;
  std::string m_region;
  std::string m_zone;
  std::string m_service; // empty until the target has announced itself
  uint32_t m_slots = 0;
  uint64_t m_targetIncarnation = 0;

  bool operator==(const MemberInfo&) const = default;
};

struct MemberRecord
{
  MemberSummary m_summary;
  MemberInfo m_info;

  bool operator==(const MemberRecord&) const = default;
};

// A member as other modules see it.
struct Member
{
  MemberRecord m_record;
  MemberState m_state = MemberState::Alive;
  uint64_t m_configVersion = 0; // last one heard from the member itself
};

// The member's target in the form that routing uses.
TargetInfo
ToTargetInfo(const MemberRecord& aRecord);

// A request identity that was in flight when a target crashed, or has been
// cleared of that crash; passed on for `quarantine`.
struct QuarantineNotice
{
  uint64_t m_identity = 0;
  uint64_t m_crash = 0;
  bool m_cleared = false;
  Duration m_remaining{}; // until it expires, so that clocks need not agree

  bool operator==(const QuarantineNotice&) const = default;
};

//-----------------------------------------------------------------------------
// [2] Messages
//-----------------------------------------------------------------------------

enum class MessageKind : uint8_t
{
  Ping,        // answer with Ack and the same sequence
  Ack,         // a probe or an indirect probe succeeded
  PingRequest, // probe m_target for the sender
  Nack,        // the helper is fine but m_target did not answer in time
  News,        // updates only
  SyncRequest, // send records with keys from m_from
  SyncPage,    // all live records with keys in [m_from, m_to]
  Digest,      // compare m_digest with the table
  Listing,     // all briefs with keys in [m_from, m_to]
  Fetch        // send the records of m_wanted
};

struct Datagram
{
  MessageKind m_kind = MessageKind::Ping;
  MemberSummary m_sender;
  uint64_t m_configVersion = 0; // in force at the sender
  uint64_t m_sequence = 0;      // matches Ack and Nack with a probe
  Endpoint m_target;            // PingRequest
  MemberKey m_from = 0;
  MemberKey m_to = 0;
  bool m_senderJoined = false; // the sender has joined, so its table is whole
  std::vector<MemberSummary> m_briefs;
  std::vector<MemberRecord> m_records;
  std::vector<QuarantineNotice> m_quarantineNotices;
  std::vector<uint32_t> m_digest;
  std::vector<MemberKey> m_wanted;

  bool operator==(const Datagram&) const = default;
};

// Upper bounds of encoded sizes, given by whoever encodes the datagrams.
class MessageSizer : public Component
{
public:
  // A datagram without its lists, including every header down to IP.
  virtual size_t Envelope(const Datagram& aDatagram) const = 0;
  virtual size_t SizeOf(const MemberSummary& aBrief) const = 0;
  virtual size_t SizeOf(const MemberRecord& aRecord) const = 0;
  virtual size_t SizeOf(const QuarantineNotice& aRumour) const = 0;
  virtual size_t DigestSize(size_t aCount) const = 0;
  virtual size_t WantedSize(size_t aCount) const = 0;

  // The whole datagram.
  size_t Total(const Datagram& aDatagram) const;
};

//-----------------------------------------------------------------------------
// [3] Settings
//-----------------------------------------------------------------------------

struct MembershipSettings
{
  Duration m_probePeriod = std::chrono::seconds(1);
  Duration m_probeTimeout = std::chrono::milliseconds(300); // then helpers
  size_t m_helpers = 3;
  // Time to object is this factor x log10(members + 1) x probe period.
  double m_suspicionFactor = 3;
  Duration m_suspicionMinimum = std::chrono::seconds(4);
  unsigned m_localHealthMaximum = 8;

  // Fresh news goes to m_fanOut further members each m_gossipPeriod.
  Duration m_gossipPeriod = std::chrono::milliseconds(200);
  size_t m_fanOut = 3;
  size_t m_extraCopies = 8; // copies = this + ln(members + 1)

  size_t m_datagramBytes = 1200; // largest datagram
  // Any second's sends stay within rate + burst = 7,000 bytes, half of the
  // 14 KB/s that a node may spend on control.
  size_t m_bytesPerSecond = 5400;
  size_t m_burstBytes = 1600;

  Duration m_digestPeriod = std::chrono::seconds(10);
  Duration m_reconnectPeriod =
    std::chrono::seconds(10); // one unreachable member
  Duration m_forgetAfter = std::chrono::hours(1);
  // A page each 100 ms is 12 KB/s at the joining node.
  Duration m_pagePeriod = std::chrono::milliseconds(100);
  Duration m_pageTimeout = std::chrono::milliseconds(300);
  Duration m_seedContactPeriod = std::chrono::milliseconds(50);
  Duration m_bootstrapWait = std::chrono::seconds(5); // no seed has a table
  Duration m_pauseThreshold = std::chrono::seconds(2);
  Duration m_isolatedAfter = std::chrono::seconds(4);

  size_t m_maximumMembers = 10000;
  size_t m_maximumRumours = 64;
  Duration m_rumourLifetime = std::chrono::hours(1); // upper bound
};

// Gossip periods after which news of the first rank (leaving, cold) has
// reached all of aMembers when nothing is lost: 20 rounds, 4 s, for 2,800.
size_t
NewsRounds(size_t aMembers);

//-----------------------------------------------------------------------------
// [4] Actions
//-----------------------------------------------------------------------------

struct MemberChange
{
  Member m_member;
  bool m_removed = false; // no longer listed
};

struct MembershipActions
{
  struct Send
  {
    Endpoint m_to;
    Datagram m_datagram;
  };
  std::vector<Send> m_sends;
  std::vector<MemberChange> m_changes;
  std::vector<QuarantineNotice> m_quarantineNotices; // new ones, or now cleared
  bool m_joined = false; // the table has become whole
  bool m_woke = false;   // the process was paused
  // A peer applies a newer configuration than this node; ask it. Comes with
  // each datagram of such a peer, so one question at a time is enough.
  std::optional<Endpoint> m_newerConfigPeer;
  // Another process with this node id runs under this higher incarnation.
  std::optional<uint64_t> m_supersededBy;
};

// Counters since the start.
struct MembershipStats
{
  uint64_t m_bytesSent = 0; // upper bounds of the MessageSizer
  uint64_t m_datagramsSent = 0;
  uint64_t m_datagramsReceived = 0;
  uint64_t m_sendsSuppressed = 0; // not sent to stay within the byte budget
  uint64_t m_probesFailed = 0;
  uint64_t m_refutations = 0; // objections to a suspicion of this node
};

//-----------------------------------------------------------------------------
// [5] Membership
//-----------------------------------------------------------------------------

// Decides; the owner sends, receives and calls Tick no later than NextTickTime.
// Not safe for use by several threads.
class Membership
{
public:
  // aSelf needs id, endpoint, region, zone and an incarnation above those of
  // earlier processes of the same node. aSizer and aRandom must outlive this.
  Membership(MembershipSettings aSettings,
             MemberRecord aSelf,
             const MessageSizer& aSizer,
             Random& aRandom,
             TimePoint aNow);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Starts joining through aSeeds; without seeds the node is the first one.
  MembershipActions Join(std::vector<Endpoint> aSeeds, TimePoint aNow);
  // Introduces a joined node to further nodes, one each m_seedContactPeriod.
  // They answer with what they know, so tables of nodes that started on their
  // own are merged.
  MembershipActions AddSeeds(const std::vector<Endpoint>& aSeeds,
                             TimePoint aNow);
  MembershipActions OnDatagram(const Endpoint& aFrom,
                               const Datagram& aDatagram,
                               TimePoint aNow);
  MembershipActions Tick(TimePoint aNow);
  TimePoint NextTickTime() const;

  // The node's own target announced itself, became cold or warm, or leaves.
  MembershipActions SetTarget(const TargetInfo& aTarget, TimePoint aNow);
  // The node stops soon: it still answers, and others send it no new work.
  MembershipActions Leave(TimePoint aNow);
  // Last words; the object ignores every event from here on.
  MembershipActions Stop(TimePoint aNow);
  void SetConfigVersion(uint64_t aVersion);
  MembershipActions AddQuarantineNotice(const QuarantineNotice& aRumour,
                                        TimePoint aNow);

  MemberRecord Self() const;
  bool Joined() const;
  // Nothing was heard from anybody though other members are listed.
  bool Isolated(TimePoint aNow) const;
  // Every listed member with current information, this node included.
  std::vector<Member> Members() const;
  std::optional<Member> Find(const NodeId& aId) const;
  size_t LiveMemberCount() const; // listed members that are not gone
  const MembershipStats& Stats() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace sassafrasquay
