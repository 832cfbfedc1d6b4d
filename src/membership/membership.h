// Membership: the nodes of the fleet, their addresses and their health.
//
// Index of this file
//   [1] Members: summary and full record of a node
//   [2] Messages: the datagram that nodes exchange, and its encoded size
//   [3] Settings: periods, limits and byte budget
//   [4] Actions: results that the owner of a Membership carries out
//   [5] Membership: SWIM-style probing, dissemination and anti-entropy
#pragma once

#include "core/core.h"

#include <map>
#include <memory>
#include <optional>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Members
//-----------------------------------------------------------------------------

// Hash of the node id. Two ids with the same key cannot be members at the same
// time; at 2,800 members the probability of a collision is about 1 in 10^12.
using MemberKey = uint64_t;

MemberKey
MemberKeyOf(const NodeId& aId);

// Reachability of a node, as disseminated in the fleet.
enum class MemberHealth : uint8_t
{
  Alive,
  Suspect, // a probe failed; the node may refute until the suspicion timeout
  Dead,    // crashed or unreachable; contacted again at a low rate
  Left     // stopped in an orderly way
};

enum class MemberState : uint8_t
{
  Alive,
  Suspect,
  Leaving, // announced that it stops; takes no new requests
  Dead     // MemberHealth::Dead or MemberHealth::Left
};

// The part of a record that changes often. Summaries of one node are ordered
// by incarnation, revision and health. Only the node itself raises the
// revision, so it refutes a suspicion by publishing a higher one.
struct MemberSummary
{
  MemberKey m_key = 0;
  uint64_t m_incarnation = 0; // of the node process
  uint32_t m_revision = 0;
  uint32_t m_infoVersion = 0; // of MemberInfo, within the incarnation
  MemberHealth m_health = MemberHealth::Alive;
  bool m_leaving = false; // the node is about to stop
  bool m_cold = false;    // the target is in cold start
  bool m_targetLeaving = false;

  bool operator==(const MemberSummary&) const = default;
};

// True when aNew overrides aOld.
bool
Supersedes(const MemberSummary& aNew, const MemberSummary& aOld);

MemberState
StateOf(const MemberSummary& aSummary);

// The part of a record that rarely changes.
struct MemberInfo
{
  NodeId m_id;
  Endpoint m_peer;
  std::string m_region;
  std::string m_zone;
  std::string m_service; // empty until the target has registered
  uint32_t m_slots = 0;
  uint64_t m_targetIncarnation = 0;
  std::string m_targetVersion; // may be empty

  bool operator==(const MemberInfo&) const = default;
};

struct MemberRecord
{
  MemberSummary m_summary;
  MemberInfo m_info;

  bool operator==(const MemberRecord&) const = default;
};

// A member as seen by other modules.
struct Member
{
  MemberRecord m_record;
  MemberState m_state = MemberState::Alive;
  LogPosition m_configPosition; // last one received from the member itself
};

// The member's target as a routing candidate.
TargetInfo
ToTargetInfo(const MemberRecord& aRecord);

// A request identity that was in flight when a target crashed, or that has been
// cleared of that crash. Disseminated on behalf of `quarantine`.
struct QuarantineNotice
{
  uint64_t m_identity = 0; // hash that identifies the request
  uint64_t m_crash = 0;    // id of the crash
  bool m_cleared = false;
  Duration m_remaining{}; // until expiry; relative, as node clocks differ

  bool operator==(const QuarantineNotice&) const = default;
};

//-----------------------------------------------------------------------------
// [2] Messages
//-----------------------------------------------------------------------------

enum class MessageKind : uint8_t
{
  Ping,        // request for an Ack with the same sequence
  Ack,         // a probe or an indirect probe succeeded
  PingRequest, // request to probe m_target on behalf of the sender
  Nack,        // m_target did not respond to the indirect probe in time
  Updates,     // summaries, records and notices only
  SyncRequest, // request for a page of records from key m_from
  SyncPage,    // all live records with keys in [m_from, m_to]
  Digest,      // hash of the table, in m_digest
  Listing,     // all summaries with keys in [m_from, m_to]
  Fetch        // request for the records of m_wanted
};

struct Datagram
{
  MessageKind m_kind = MessageKind::Ping;
  MemberSummary m_sender;
  LogPosition m_configPosition; // in force at the sender
  uint64_t m_sequence = 0;      // matches an Ack or Nack with its probe
  Endpoint m_target;            // PingRequest
  MemberKey m_from = 0;
  // Ping, PingRequest: the probed member; 0: whichever node has the address.
  MemberKey m_to = 0;
  bool m_senderJoined = false;   // the sender's table is complete
  bool m_isConfigNotice = false; // the sender watches the operators' log
  std::vector<MemberSummary> m_summaries;
  std::vector<MemberRecord> m_records;
  std::vector<QuarantineNotice> m_quarantineNotices;
  std::vector<uint32_t> m_digest;
  std::vector<MemberKey> m_wanted;

  bool operator==(const Datagram&) const = default;
};

// Upper bounds of encoded sizes, implemented by the encoder of the datagrams.
class MessageSizer : public Component
{
public:
  // A datagram without its lists, including every header down to IP.
  virtual size_t EnvelopeSize(const Datagram& aDatagram) const = 0;
  virtual size_t SizeOf(const MemberSummary& aSummary) const = 0;
  virtual size_t SizeOf(const MemberRecord& aRecord) const = 0;
  virtual size_t SizeOf(const QuarantineNotice& aNotice) const = 0;
  virtual size_t DigestSize(size_t aCount) const = 0;
  virtual size_t WantedSize(size_t aCount) const = 0;

  // A datagram with its lists.
  size_t TotalSize(const Datagram& aDatagram) const;
};

//-----------------------------------------------------------------------------
// [3] Settings
//-----------------------------------------------------------------------------

struct MembershipSettings
{
  Duration m_probePeriod = std::chrono::seconds(1);
  // Indirect probes are requested after this time.
  Duration m_probeTimeout = std::chrono::milliseconds(300);
  size_t m_indirectProbeCount = 3;
  // Suspicion timeout = this factor x log10(members + 1) x probe period.
  double m_suspicionFactor = 3;
  Duration m_minimumSuspicionTimeout = std::chrono::seconds(4);
  unsigned m_maximumLocalHealthScore = 8;

  // Queued updates are sent to m_fanOut members each m_gossipPeriod.
  Duration m_gossipPeriod = std::chrono::milliseconds(200);
  size_t m_fanOut = 3;
  size_t m_baseTransmits = 8; // transmits of an update = this + ln(members + 1)

  size_t m_datagramBytes = 1200; // largest datagram
  // The bytes sent in any one second stay within rate + burst = 7,000, half of
  // the 14 KB/s allowed for a node's control traffic.
  size_t m_bytesPerSecond = 5400;
  size_t m_burstBytes = 1600;

  Duration m_digestPeriod = std::chrono::seconds(10);
  // One unreachable member is contacted each period.
  Duration m_reconnectPeriod = std::chrono::seconds(10);
  Duration m_removeDeadAfter = std::chrono::hours(1);
  // One page each 100 ms is 12 KB/s at the joining node.
  Duration m_pagePeriod = std::chrono::milliseconds(100);
  Duration m_pageTimeout = std::chrono::milliseconds(300);
  Duration m_seedContactPeriod = std::chrono::milliseconds(50);
  // Joining ends after this time if seeds respond but none has a complete
  // table.
  Duration m_bootstrapTimeout = std::chrono::seconds(5);
  Duration m_pauseThreshold = std::chrono::seconds(2);
  Duration m_isolatedAfter = std::chrono::seconds(4);

  size_t m_maximumMembers = 10000;
  size_t m_maximumNotices = 64;
  Duration m_maximumNoticeLifetime = std::chrono::hours(1);
};

// Number of gossip periods in which an update of priority Flags (leaving, cold)
// reaches all of aMembers without packet loss: 20 periods, 4 s, for 2,800.
size_t
DisseminationRounds(size_t aMembers);

//-----------------------------------------------------------------------------
// [4] Actions
//-----------------------------------------------------------------------------

struct MemberChange
{
  Member m_member;
  bool m_removed = false; // removed from the table
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
  std::vector<QuarantineNotice> m_quarantineNotices; // new or now cleared
  bool m_joined = false;        // the table is now complete
  bool m_pauseDetected = false; // the process was suspended
  // A peer that applies a newer configuration than this node, to fetch it from.
  // Set for each datagram of such a peer, so one request at a time is enough
  // and a lost one is repeated.
  std::optional<Endpoint> m_newerConfigPeer;
  // A node that watches the operators' log has sent a notice.
  std::optional<NodeId> m_configWatcher;
  // Another process with this node id runs under this higher incarnation.
  std::optional<uint64_t> m_supersededBy;
};

// Counters since the start.
struct MembershipStats
{
  uint64_t m_bytesSent = 0; // upper bounds by MessageSizer
  uint64_t m_datagramsSent = 0;
  uint64_t m_datagramsReceived = 0;
  uint64_t m_sendsSuppressed = 0; // dropped to stay within the byte budget
  uint64_t m_probesFailed = 0;
  uint64_t m_refutations = 0; // refuted suspicions of this node
};

//-----------------------------------------------------------------------------
// [5] Membership
//-----------------------------------------------------------------------------

// Makes the decisions and does no I/O: the owner sends and receives the
// datagrams and calls Tick no later than NextTickTime. Not thread-safe.
class Membership
{
public:
  // aSelf must have an id, endpoint, region, zone and an incarnation above that
  // of any earlier process of the same node. aSizer and aRandom must outlive
  // this.
  Membership(MembershipSettings aSettings,
             MemberRecord aSelf,
             const MessageSizer& aSizer,
             Random& aRandom,
             TimePoint aNow);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Starts to join through aSeeds. Without seeds the node is the first member.
  MembershipActions Join(std::vector<Endpoint> aSeeds, TimePoint aNow);
  // Contacts further nodes, one each m_seedContactPeriod. They respond with a
  // page of their table, so nodes that started separately merge their tables.
  MembershipActions AddSeeds(const std::vector<Endpoint>& aSeeds,
                             TimePoint aNow);
  MembershipActions OnDatagram(const Endpoint& aFrom,
                               const Datagram& aDatagram,
                               TimePoint aNow);
  MembershipActions Tick(TimePoint aNow);
  TimePoint NextTickTime() const;

  // The local target registered, became cold or warm, or is about to stop.
  MembershipActions SetTarget(const TargetInfo& aTarget, TimePoint aNow);
  // Announces that the node is about to stop. It still responds, but other
  // nodes send it no new requests.
  MembershipActions Leave(TimePoint aNow);
  // Announces that the node has left; every later event is ignored.
  MembershipActions Stop(TimePoint aNow);
  void SetConfigPosition(const LogPosition& aPosition);
  // Notifies nodes that this one watches the operators' log, and of the
  // position of the configuration in force. Beyond the byte budget: the sender
  // limits the rate and the number of nodes.
  MembershipActions SendConfigNotices(const std::vector<NodeId>& aNodes,
                                      TimePoint aNow);
  MembershipActions AddQuarantineNotice(const QuarantineNotice& aNotice,
                                        TimePoint aNow);

  MemberRecord Self() const;
  bool Joined() const;
  // True if other members are listed but none has sent a datagram for
  // m_isolatedAfter.
  bool Isolated(TimePoint aNow) const;
  // The listed members whose MemberInfo is known or that are dead or have left,
  // including this node.
  std::vector<Member> Members() const;
  std::optional<Member> Find(const NodeId& aId) const;
  // The listed members that are neither dead nor left.
  size_t LiveMemberCount() const;
  const MembershipStats& Stats() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace sassafrasquay
