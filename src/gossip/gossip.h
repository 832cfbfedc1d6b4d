// Gossip: carries the datagrams of `membership` over UDP.
//
// Index of this file
//   [1] Codec: datagrams to and from bytes
//   [2] Seal: key id, sequence and tag around the encoded datagram
//   [3] Gossip: the interface that other services use
//   [4] GossipService: socket, timer and counters
#pragma once

#include "kernel/kernel.h"
#include "membership/membership.h"

#include <boost/asio/ip/udp.hpp>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Codec
//-----------------------------------------------------------------------------

using Bytes = std::vector<uint8_t>;

// Cap'n Proto, packed.
Bytes
EncodeDatagram(const Datagram& aDatagram);

// False for anything that is not a whole, plausible datagram; aDatagram is
// then unspecified. Never throws on malformed input.
bool
DecodeDatagram(std::span<const uint8_t> aBytes, Datagram& aDatagram);

// Upper bounds of the packed encoding including seal, UDP and IP headers.
class GossipSizeBounds : public MessageSizer
{
public:
  size_t Envelope(const Datagram& aDatagram) const override;
  size_t SizeOf(const MemberSummary& aBrief) const override;
  size_t SizeOf(const MemberRecord& aRecord) const override;
  size_t SizeOf(const QuarantineNotice& aRumour) const override;
  size_t DigestSize(size_t aCount) const override;
  size_t WantedSize(size_t aCount) const override;
};

//-----------------------------------------------------------------------------
// [2] Seal
//-----------------------------------------------------------------------------

struct GossipKey
{
  uint32_t m_id = 0;
  std::string m_secret;
};

// Layout: version (1), key id (4), sequence (8), payload, tag (16); integers
// are little-endian. The tag is HMAC-SHA256 over all bytes before it,
// truncated to 128 bits.
constexpr size_t kSealHeader = 13;
constexpr size_t kSealTag = 16;
constexpr size_t kIpUdpHeaderBytes = 28;  // IPv4
constexpr size_t kLargestDatagram = 1500; // longer ones are rejected

Bytes
SignDatagram(const GossipKey& aKey,
             uint64_t aSequence,
             std::span<const uint8_t> aBody);

enum class VerifyResult : uint8_t
{
  Ok,
  Malformed, // too short, too long or of another version
  UnknownKey,
  BadTag
};

// aBody refers into aBytes. Accepts any key of aKeys.
VerifyResult
VerifyDatagram(std::span<const GossipKey> aKeys,
               std::span<const uint8_t> aBytes,
               uint64_t& aSequence,
               std::span<const uint8_t>& aBody);

// Sequences already seen from one sender process.
class ReplayWindow
{
public:
  // False for a repeated or too old sequence, and for an older incarnation.
  bool Accept(uint64_t aIncarnation, uint64_t aSequence);

private:
  uint64_t m_incarnation = 0;
  uint64_t m_highest = 0;
  uint64_t m_seen = 0; // bit i: sequence m_highest - i was seen
};

//-----------------------------------------------------------------------------
// [3] Gossip
//-----------------------------------------------------------------------------

struct GossipCounters
{
  uint64_t m_sentDatagrams = 0;
  uint64_t m_sentBytes = 0; // with IP and UDP headers
  uint64_t m_receivedDatagrams = 0;
  uint64_t m_receivedBytes = 0;
  uint64_t m_sendErrors = 0;
  uint64_t m_receiveErrors = 0;
  uint64_t m_malformed = 0;
  uint64_t m_unknownKey = 0;
  uint64_t m_badTag = 0;
  uint64_t m_replayed = 0;
  Duration m_cpuTime{}; // of this service's work
};

// Told about every change, on the thread of the kernel's executor. It must
// not call back into Gossip's modifying functions.
class GossipListener
{
public:
  virtual ~GossipListener() = default;
  // m_sends is empty; the datagrams are on their way.
  virtual void OnMembershipChanges(const MembershipActions& aActions) = 0;
};

class Gossip : public virtual Component
{
public:
  virtual std::vector<Member> Members() const = 0;
  virtual std::optional<Member> FindMember(const NodeId& aId) const = 0;
  virtual bool Joined() const = 0;
  virtual bool Isolated() const = 0;
  virtual void SetTarget(const TargetInfo& aTarget) = 0;
  // Introduces this node to others, one after the other.
  virtual void AddSeeds(const std::vector<Endpoint>& aSeeds) = 0;
  virtual void Leave() = 0;
  virtual void SetConfigVersion(uint64_t aVersion) = 0;
  virtual void AddQuarantineNotice(const QuarantineNotice& aRumour) = 0;
  // aListener must outlive the service or be removed.
  virtual void AddListener(GossipListener& aListener) = 0;
  virtual void RemoveListener(GossipListener& aListener) = 0;
  // Seals with aKey from now on and still accepts the key used before.
  virtual void RotateKey(GossipKey aKey) = 0;
  virtual GossipCounters Counters() const = 0;
};

//-----------------------------------------------------------------------------
// [4] GossipService
//-----------------------------------------------------------------------------

struct GossipSettings
{
  MembershipSettings m_membership;
  MemberRecord m_self; // port 0 in m_peer: the bound port is used
  // Bound in place of m_self's peer address, which other nodes then use.
  std::optional<Endpoint> m_listen;
  std::vector<Endpoint> m_seeds;
  GossipKey m_key;
  std::optional<GossipKey> m_previousKey; // accepted during a rotation
};

// Finds "clock" and "random" at start; binds the listen address.
class GossipService
  : public Service
  , public Gossip
{
public:
  explicit GossipService(GossipSettings aSettings);
  ~GossipService() override;

  asio::awaitable<void> Start(Kernel& aKernel) override;
  asio::awaitable<void> Stop() override;

  std::vector<Member> Members() const override;
  std::optional<Member> FindMember(const NodeId& aId) const override;
  bool Joined() const override;
  bool Isolated() const override;
  void SetTarget(const TargetInfo& aTarget) override;
  void AddSeeds(const std::vector<Endpoint>& aSeeds) override;
  void Leave() override;
  void SetConfigVersion(uint64_t aVersion) override;
  void AddQuarantineNotice(const QuarantineNotice& aRumour) override;
  void AddListener(GossipListener& aListener) override;
  void RemoveListener(GossipListener& aListener) override;
  void RotateKey(GossipKey aKey) override;
  GossipCounters Counters() const override { return m_counters; }

private:
  asio::awaitable<void> ReceiveDatagrams();
  asio::awaitable<void> RunTimer();
  bool ReceiveOne(); // false on a socket error
  void Handle(const asio::ip::udp::endpoint& aFrom,
              std::span<const uint8_t> aBytes);
  void Perform(MembershipActions aActions);
  void SendTo(const Endpoint& aTo, const Datagram& aDatagram);

  GossipSettings m_settings;
  std::vector<GossipKey> m_keys; // the first one seals
  std::shared_ptr<Clock> m_clock;
  std::shared_ptr<Random> m_random;
  GossipSizeBounds m_sizer;
  std::unique_ptr<Membership> m_membership;
  std::unique_ptr<asio::ip::udp::socket> m_socket;
  std::unique_ptr<Event> m_rescheduled; // NextTickTime has moved forward
  std::unique_ptr<Event> m_ended;
  TimePoint m_armed = TimePoint::max(); // when the timer coroutine wakes
  size_t m_running = 0;                 // coroutines
  bool m_stopping = false;
  uint64_t m_sequence = 0;
  std::map<MemberKey, ReplayWindow> m_windows;
  std::vector<GossipListener*> m_listeners;
  GossipCounters m_counters;
};

} // namespace sassafrasquay
