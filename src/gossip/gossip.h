// Gossip: sends and receives the datagrams of `membership` over UDP.
//
// Index of this file
//   [1] Codec: encoding and decoding of datagrams
//   [2] Authentication: key id, sequence and HMAC tag of a datagram
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

// Returns packed Cap'n Proto.
Bytes
EncodeDatagram(const Datagram& aDatagram);

// Returns false for input that is not a complete and valid datagram; aDatagram
// is then unspecified. Does not throw on malformed input.
bool
DecodeDatagram(std::span<const uint8_t> aBytes, Datagram& aDatagram);

// Upper bounds of the packed encoding, including authentication, UDP and IP
// headers.
class GossipSizeBounds : public MessageSizer
{
public:
  size_t EnvelopeSize(const Datagram& aDatagram) const override;
  size_t SizeOf(const MemberSummary& aSummary) const override;
  size_t SizeOf(const MemberRecord& aRecord) const override;
  size_t SizeOf(const QuarantineNotice& aNotice) const override;
  size_t DigestSize(size_t aCount) const override;
  size_t WantedSize(size_t aCount) const override;
};

//-----------------------------------------------------------------------------
// [2] Authentication
//-----------------------------------------------------------------------------

struct GossipKey
{
  uint32_t m_id = 0;
  std::string m_secret;
};

// Layout: version (1), key id (4), sequence (8), payload, tag (16); integers
// are little-endian. The tag is HMAC-SHA256 over all bytes before it,
// truncated to 128 bits.
constexpr size_t kAuthHeaderBytes = 13;
constexpr size_t kAuthTagBytes = 16;
constexpr size_t kIpUdpHeaderBytes = 28;       // IPv4
constexpr size_t kMaximumDatagramBytes = 1500; // longer datagrams are rejected

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

// Accepts any key of aKeys. aBody refers into aBytes.
VerifyResult
VerifyDatagram(std::span<const GossipKey> aKeys,
               std::span<const uint8_t> aBytes,
               uint64_t& aSequence,
               std::span<const uint8_t>& aBody);

// Replay protection: the sequences received from one sender process.
class ReplayWindow
{
public:
  // Returns false for a repeated or too old sequence and for an older
  // incarnation.
  bool Accept(uint64_t aIncarnation, uint64_t aSequence);

private:
  uint64_t m_incarnation = 0;
  uint64_t m_highest = 0;
  uint64_t m_seen = 0; // bit i: sequence m_highest - i was received
};

//-----------------------------------------------------------------------------
// [3] Gossip
//-----------------------------------------------------------------------------

struct GossipCounters
{
  uint64_t m_sentDatagrams = 0;
  uint64_t m_sentBytes = 0; // including IP and UDP headers
  uint64_t m_receivedDatagrams = 0;
  uint64_t m_receivedBytes = 0;
  uint64_t m_sendErrors = 0;
  uint64_t m_receiveErrors = 0;
  uint64_t m_malformed = 0;
  uint64_t m_unknownKey = 0;
  uint64_t m_badTag = 0;
  uint64_t m_replayed = 0;
  Duration m_cpuTime{}; // of this service
};

// Called for every change, on the thread of the kernel's executor. A listener
// must not call Gossip's modifying functions.
class GossipListener
{
public:
  virtual ~GossipListener() = default;
  // aActions.m_sends is empty, because the datagrams have been sent.
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
  // Contacts further nodes, one after the other.
  virtual void AddSeeds(const std::vector<Endpoint>& aSeeds) = 0;
  virtual void Leave() = 0;
  virtual void SetConfigPosition(const LogPosition& aPosition) = 0;
  // See Membership::SendConfigNotices.
  virtual void SendConfigNotices(const std::vector<NodeId>& /*aNodes*/) {}
  virtual void AddQuarantineNotice(const QuarantineNotice& aNotice) = 0;
  // aListener must outlive the service or be removed.
  virtual void AddListener(GossipListener& aListener) = 0;
  virtual void RemoveListener(GossipListener& aListener) = 0;
  // Signs with aKey from now on and still accepts the previous key.
  virtual void RotateKey(GossipKey aKey) = 0;
  virtual GossipCounters Counters() const = 0;
};

//-----------------------------------------------------------------------------
// [4] GossipService
//-----------------------------------------------------------------------------

struct GossipSettings
{
  MembershipSettings m_membership;
  MemberRecord m_self; // if m_peer has port 0, the bound port is used
  // Address to bind, if it differs from the peer address in m_self, which is
  // the one that other nodes use.
  std::optional<Endpoint> m_listen;
  std::vector<Endpoint> m_seeds;
  GossipKey m_key;
  std::optional<GossipKey> m_previousKey; // accepted during a key rotation
};

// Start finds "clock" and "random" and binds the listen address.
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
  void SetConfigPosition(const LogPosition& aPosition) override;
  void SendConfigNotices(const std::vector<NodeId>& aNodes) override;
  void AddQuarantineNotice(const QuarantineNotice& aNotice) override;
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
  std::vector<GossipKey> m_keys; // the first one signs
  std::shared_ptr<Clock> m_clock;
  std::shared_ptr<Random> m_random;
  GossipSizeBounds m_sizer;
  std::unique_ptr<Membership> m_membership;
  std::unique_ptr<asio::ip::udp::socket> m_socket;
  std::unique_ptr<Event> m_rescheduled; // NextTickTime is now earlier
  std::unique_ptr<Event> m_ended;
  TimePoint m_scheduledTick = TimePoint::max(); // when RunTimer resumes
  size_t m_running = 0;                         // coroutines
  bool m_stopping = false;
  uint64_t m_sequence = 0;
  std::map<MemberKey, ReplayWindow> m_replayWindows;
  std::vector<GossipListener*> m_listeners;
  GossipCounters m_counters;
};

} // namespace sassafrasquay
