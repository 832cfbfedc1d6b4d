#include "gossip/generated/gossip.capnp.h"
#include "gossip/gossip.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <cstring>
#include <kj/exception.h>
#include <kj/io.h>
#include <limits>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace sassafrasquay {

namespace {

constexpr uint8_t kSealVersion = 1;
constexpr uint32_t kLongestList = 512;
constexpr size_t kLongestText = 255;
// Words that a reader may visit; a datagram of 1,500 packed bytes that is not
// crafted for expansion stays far below.
constexpr uint64_t kTraversalWords = 8192;

//-----------------------------------------------------------------------------
// Sizes of the packed encoding
//-----------------------------------------------------------------------------

// A pointer word: tag byte, two bytes of offset and two of size each, and one
// byte of kind.
constexpr size_t kPointer = 6;
constexpr size_t kZeroWord = 2;

size_t
WordSize(uint64_t aWord)
{
  if (aWord == 0) {
    return kZeroWord;
  }
  size_t used = 0;
  for (; aWord != 0; aWord >>= 8) {
    used += (aWord & 0xFF) != 0 ? 1 : 0;
  }
  return used == 8 ? 10 : 1 + used;
}

size_t
TextSize(std::string_view aText)
{
  const size_t words = aText.size() / 8 + 1;
  return aText.empty() ? 0 : aText.size() + 2 * words;
}

size_t
ListSize(bool aEmpty)
{
  return aEmpty ? kZeroWord : 2 * kPointer; // pointer and tag word
}

//-----------------------------------------------------------------------------
// Encoding
//-----------------------------------------------------------------------------

void
Write(gossipwire::Brief::Builder aBuilder, const MemberSummary& aBrief)
{
  aBuilder.setKey(aBrief.m_key);
  aBuilder.setIncarnation(aBrief.m_incarnation);
  aBuilder.setRevision(aBrief.m_revision);
  aBuilder.setInfoVersion(aBrief.m_infoVersion);
  aBuilder.setHealth(static_cast<uint8_t>(aBrief.m_health));
  aBuilder.setLeaving(aBrief.m_leaving);
  aBuilder.setCold(aBrief.m_cold);
  aBuilder.setTargetLeaving(aBrief.m_targetLeaving);
}

void
Write(gossipwire::Record::Builder aBuilder, const MemberRecord& aRecord)
{
  const MemberInfo& info = aRecord.m_info;
  Write(aBuilder.initBrief(), aRecord.m_summary);
  aBuilder.setId(info.m_id.m_value);
  aBuilder.setAddress(info.m_peer.m_address);
  aBuilder.setPort(info.m_peer.m_port);
  aBuilder.setRegion(info.m_region);
  aBuilder.setZone(info.m_zone);
  if (!info.m_service.empty()) {
    aBuilder.setService(info.m_service);
  }
  aBuilder.setSlots(info.m_slots);
  aBuilder.setTargetIncarnation(info.m_targetIncarnation);
}

uint32_t
Milliseconds(Duration aDuration)
{
  const int64_t count =
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
  return static_cast<uint32_t>(
    std::clamp<int64_t>(count, 0, std::numeric_limits<uint32_t>::max()));
}

void
WriteLists(gossipwire::Message::Builder aBuilder, const Datagram& aDatagram)
{
  if (!aDatagram.m_briefs.empty()) {
    auto list =
      aBuilder.initBriefs(static_cast<unsigned>(aDatagram.m_briefs.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
      Write(list[i], aDatagram.m_briefs[i]);
    }
  }
  if (!aDatagram.m_records.empty()) {
    auto list =
      aBuilder.initRecords(static_cast<unsigned>(aDatagram.m_records.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
      Write(list[i], aDatagram.m_records[i]);
    }
  }
  if (!aDatagram.m_quarantineNotices.empty()) {
    auto list = aBuilder.initRumours(
      static_cast<unsigned>(aDatagram.m_quarantineNotices.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
      const QuarantineNotice& rumour = aDatagram.m_quarantineNotices[i];
      list[i].setIdentity(rumour.m_identity);
      list[i].setCrash(rumour.m_crash);
      list[i].setCleared(rumour.m_cleared);
      list[i].setRemainingMs(Milliseconds(rumour.m_remaining));
    }
  }
  if (!aDatagram.m_digest.empty()) {
    aBuilder.setDigest(
      kj::arrayPtr(aDatagram.m_digest.data(), aDatagram.m_digest.size()));
  }
  if (!aDatagram.m_wanted.empty()) {
    aBuilder.setWanted(
      kj::arrayPtr(aDatagram.m_wanted.data(), aDatagram.m_wanted.size()));
  }
}

//-----------------------------------------------------------------------------
// Decoding
//-----------------------------------------------------------------------------

bool
Read(gossipwire::Brief::Reader aReader, MemberSummary& aBrief)
{
  if (aReader.getHealth() > static_cast<uint8_t>(MemberHealth::Left)) {
    return false;
  }
  aBrief.m_key = aReader.getKey();
  aBrief.m_incarnation = aReader.getIncarnation();
  aBrief.m_revision = aReader.getRevision();
  aBrief.m_infoVersion = aReader.getInfoVersion();
  aBrief.m_health = static_cast<MemberHealth>(aReader.getHealth());
  aBrief.m_leaving = aReader.getLeaving();
  aBrief.m_cold = aReader.getCold();
  aBrief.m_targetLeaving = aReader.getTargetLeaving();
  return aBrief.m_key != 0;
}

bool
Read(capnp::Text::Reader aReader, std::string& aText)
{
  aText.assign(aReader.begin(), aReader.end());
  return aText.size() <= kLongestText;
}

bool
Read(gossipwire::Record::Reader aReader, MemberRecord& aRecord)
{
  MemberInfo& info = aRecord.m_info;
  info.m_peer.m_port = aReader.getPort();
  info.m_slots = aReader.getSlots();
  info.m_targetIncarnation = aReader.getTargetIncarnation();
  return Read(aReader.getBrief(), aRecord.m_summary) &&
         Read(aReader.getId(), info.m_id.m_value) &&
         Read(aReader.getAddress(), info.m_peer.m_address) &&
         Read(aReader.getRegion(), info.m_region) &&
         Read(aReader.getZone(), info.m_zone) &&
         Read(aReader.getService(), info.m_service) &&
         !info.m_id.m_value.empty() &&
         MemberKeyOf(info.m_id) == aRecord.m_summary.m_key;
}

bool
Read(gossipwire::Rumour::Reader aReader, QuarantineNotice& aRumour)
{
  aRumour.m_identity = aReader.getIdentity();
  aRumour.m_crash = aReader.getCrash();
  aRumour.m_cleared = aReader.getCleared();
  aRumour.m_remaining = std::chrono::milliseconds(aReader.getRemainingMs());
  return true;
}

template<class List, class Item>
bool
ReadList(List aList, std::vector<Item>& aItems)
{
  if (aList.size() > kLongestList) {
    return false;
  }
  aItems.resize(aList.size());
  for (unsigned i = 0; i < aList.size(); ++i) {
    if (!Read(aList[i], aItems[i])) {
      return false;
    }
  }
  return true;
}

bool
ReadMessage(gossipwire::Message::Reader aReader, Datagram& aDatagram)
{
  if (aReader.getKind() > static_cast<uint8_t>(MessageKind::Fetch)) {
    return false;
  }
  aDatagram.m_kind = static_cast<MessageKind>(aReader.getKind());
  aDatagram.m_senderJoined = aReader.getComplete();
  aDatagram.m_configVersion = aReader.getConfigVersion();
  aDatagram.m_sequence = aReader.getSequence();
  aDatagram.m_target.m_port = aReader.getTargetPort();
  aDatagram.m_from = aReader.getFrom();
  aDatagram.m_to = aReader.getTo();
  const auto digest = aReader.getDigest();
  const auto wanted = aReader.getWanted();
  if (digest.size() > kLongestList || wanted.size() > kLongestList) {
    return false;
  }
  aDatagram.m_digest.clear();
  for (const uint32_t word : digest) {
    aDatagram.m_digest.push_back(word);
  }
  aDatagram.m_wanted.clear();
  for (const uint64_t key : wanted) {
    aDatagram.m_wanted.push_back(key);
  }
  return Read(aReader.getSender(), aDatagram.m_sender) &&
         Read(aReader.getTargetAddress(), aDatagram.m_target.m_address) &&
         ReadList(aReader.getBriefs(), aDatagram.m_briefs) &&
         ReadList(aReader.getRecords(), aDatagram.m_records) &&
         ReadList(aReader.getRumours(), aDatagram.m_quarantineNotices);
}

//-----------------------------------------------------------------------------
// Seal helpers
//-----------------------------------------------------------------------------

void
PutLittleEndian(Bytes& aBytes, uint64_t aValue, size_t aWidth)
{
  for (size_t i = 0; i < aWidth; ++i) {
    aBytes.push_back(static_cast<uint8_t>(aValue >> (8 * i)));
  }
}

uint64_t
GetLittleEndian(std::span<const uint8_t> aBytes)
{
  uint64_t value = 0;
  for (size_t i = aBytes.size(); i > 0; --i) {
    value = value << 8 | aBytes[i - 1];
  }
  return value;
}

std::array<uint8_t, kSealTag>
TagOf(const GossipKey& aKey, std::span<const uint8_t> aBytes)
{
  std::array<uint8_t, EVP_MAX_MD_SIZE> full{};
  unsigned length = 0;
  HMAC(EVP_sha256(),
       aKey.m_secret.data(),
       static_cast<int>(aKey.m_secret.size()),
       aBytes.data(),
       aBytes.size(),
       full.data(),
       &length);
  std::array<uint8_t, kSealTag> tag{};
  std::copy_n(full.begin(), tag.size(), tag.begin());
  return tag;
}

} // namespace

//-----------------------------------------------------------------------------
// Codec
//-----------------------------------------------------------------------------

Bytes
EncodeDatagram(const Datagram& aDatagram)
{
  capnp::word scratch[1024] = {};
  capnp::MallocMessageBuilder builder(kj::arrayPtr(scratch, 1024));
  auto message = builder.initRoot<gossipwire::Message>();
  message.setKind(static_cast<uint8_t>(aDatagram.m_kind));
  message.setComplete(aDatagram.m_senderJoined);
  message.setConfigVersion(aDatagram.m_configVersion);
  message.setSequence(aDatagram.m_sequence);
  message.setFrom(aDatagram.m_from);
  message.setTo(aDatagram.m_to);
  if (!aDatagram.m_target.m_address.empty()) {
    message.setTargetAddress(aDatagram.m_target.m_address);
    message.setTargetPort(aDatagram.m_target.m_port);
  }
  Write(message.initSender(), aDatagram.m_sender);
  WriteLists(message, aDatagram);
  kj::VectorOutputStream out(2048);
  capnp::writePackedMessage(out, builder);
  const auto bytes = out.getArray();
  return { bytes.begin(), bytes.end() };
}

bool
DecodeDatagram(std::span<const uint8_t> aBytes, Datagram& aDatagram)
{
  try {
    kj::ArrayInputStream in(kj::arrayPtr(aBytes.data(), aBytes.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kTraversalWords;
    options.nestingLimit = 8;
    capnp::PackedMessageReader reader(in, options);
    return ReadMessage(reader.getRoot<gossipwire::Message>(), aDatagram);
  } catch (const kj::Exception&) {
    return false; // not a Cap'n Proto message, or beyond the limits
  }
}

size_t
GossipSizeBounds::Envelope(const Datagram& aDatagram) const
{
  const bool targeted = !aDatagram.m_target.m_address.empty();
  return kIpUdpHeaderBytes + kSealHeader + kSealTag +
         3 * kPointer + // segment table, root and sender pointers
         WordSize(static_cast<uint64_t>(aDatagram.m_kind)) +
         (aDatagram.m_senderJoined ? 1 : 0) + (targeted ? 2 : 0) +
         WordSize(aDatagram.m_configVersion) + WordSize(aDatagram.m_sequence) +
         WordSize(aDatagram.m_from) + WordSize(aDatagram.m_to) +
         SizeOf(aDatagram.m_sender) + (targeted ? kPointer : kZeroWord) +
         TextSize(aDatagram.m_target.m_address) +
         ListSize(aDatagram.m_briefs.empty()) +
         ListSize(aDatagram.m_records.empty()) +
         ListSize(aDatagram.m_quarantineNotices.empty()) +
         ListSize(aDatagram.m_digest.empty()) +
         ListSize(aDatagram.m_wanted.empty());
}

size_t
GossipSizeBounds::SizeOf(const MemberSummary& aBrief) const
{
  const uint64_t versions =
    static_cast<uint64_t>(aBrief.m_infoVersion) << 32 | aBrief.m_revision;
  return WordSize(aBrief.m_key) + WordSize(aBrief.m_incarnation) +
         WordSize(versions) + 3; // health and flags: tag and two bytes
}

size_t
GossipSizeBounds::SizeOf(const MemberRecord& aRecord) const
{
  const MemberInfo& info = aRecord.m_info;
  const uint64_t numbers =
    static_cast<uint64_t>(info.m_slots) << 32 | info.m_peer.m_port;
  return WordSize(numbers) + WordSize(info.m_targetIncarnation) + 6 * kPointer +
         SizeOf(aRecord.m_summary) + TextSize(info.m_id.m_value) +
         TextSize(info.m_peer.m_address) + TextSize(info.m_region) +
         TextSize(info.m_zone) + TextSize(info.m_service);
}

size_t
GossipSizeBounds::SizeOf(const QuarantineNotice& aRumour) const
{
  const uint64_t numbers =
    static_cast<uint64_t>(Milliseconds(aRumour.m_remaining)) << 32 |
    (aRumour.m_cleared ? 1 : 0);
  return WordSize(aRumour.m_identity) + WordSize(aRumour.m_crash) +
         WordSize(numbers);
}

size_t
GossipSizeBounds::DigestSize(size_t aCount) const
{
  return (aCount + 1) / 2 * 10;
}

size_t
GossipSizeBounds::WantedSize(size_t aCount) const
{
  return aCount * 10;
}

//-----------------------------------------------------------------------------
// Seal
//-----------------------------------------------------------------------------

Bytes
SignDatagram(const GossipKey& aKey,
             uint64_t aSequence,
             std::span<const uint8_t> aBody)
{
  Bytes bytes;
  bytes.reserve(kSealHeader + aBody.size() + kSealTag);
  bytes.push_back(kSealVersion);
  PutLittleEndian(bytes, aKey.m_id, 4);
  PutLittleEndian(bytes, aSequence, 8);
  bytes.insert(bytes.end(), aBody.begin(), aBody.end());
  const auto tag = TagOf(aKey, bytes);
  bytes.insert(bytes.end(), tag.begin(), tag.end());
  return bytes;
}

VerifyResult
VerifyDatagram(std::span<const GossipKey> aKeys,
               std::span<const uint8_t> aBytes,
               uint64_t& aSequence,
               std::span<const uint8_t>& aBody)
{
  if (aBytes.size() < kSealHeader + kSealTag ||
      aBytes.size() > kLargestDatagram || aBytes[0] != kSealVersion) {
    return VerifyResult::Malformed;
  }
  const uint64_t id = GetLittleEndian(aBytes.subspan(1, 4));
  const auto key =
    std::find_if(aKeys.begin(), aKeys.end(), [&](const GossipKey& aKey) {
      return aKey.m_id == id;
    });
  if (key == aKeys.end()) {
    return VerifyResult::UnknownKey;
  }
  const size_t signedSize = aBytes.size() - kSealTag;
  const auto tag = TagOf(*key, aBytes.first(signedSize));
  // Constant time, so that a forger learns nothing from the duration.
  if (CRYPTO_memcmp(tag.data(), aBytes.data() + signedSize, kSealTag) != 0) {
    return VerifyResult::BadTag;
  }
  aSequence = GetLittleEndian(aBytes.subspan(5, 8));
  aBody = aBytes.subspan(kSealHeader, signedSize - kSealHeader);
  return VerifyResult::Ok;
}

bool
ReplayWindow::Accept(uint64_t aIncarnation, uint64_t aSequence)
{
  if (aIncarnation < m_incarnation || aSequence == 0) {
    return false;
  }
  if (aIncarnation > m_incarnation) {
    m_incarnation = aIncarnation;
    m_highest = aSequence;
    m_seen = 1;
    return true;
  }
  if (aSequence > m_highest) {
    const uint64_t shift = aSequence - m_highest;
    m_seen = shift < 64 ? m_seen << shift | 1 : 1;
    m_highest = aSequence;
    return true;
  }
  const uint64_t age = m_highest - aSequence;
  if (age >= 64 || (m_seen >> age & 1) != 0) {
    return false;
  }
  m_seen |= uint64_t{ 1 } << age;
  return true;
}

} // namespace sassafrasquay
