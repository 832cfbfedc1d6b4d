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

constexpr uint8_t kAuthVersion = 1;
constexpr uint32_t kMaximumListItems = 512;
constexpr size_t kMaximumTextBytes = 255;
// Cap'n Proto traversal limit. A datagram of 1,500 packed bytes stays far below
// it unless it is crafted to expand.
constexpr uint64_t kTraversalWords = 8192;

//-----------------------------------------------------------------------------
// Sizes of the packed encoding
//-----------------------------------------------------------------------------

// Packed size of a pointer word: tag byte, two bytes each of offset and size,
// and one byte of kind.
constexpr size_t kPackedPointerBytes = 6;
constexpr size_t kPackedZeroWordBytes = 2;

size_t
PackedWordSize(uint64_t aWord)
{
  if (aWord == 0) {
    return kPackedZeroWordBytes;
  }
  size_t used = 0;
  for (; aWord != 0; aWord >>= 8) {
    used += (aWord & 0xFF) != 0 ? 1 : 0;
  }
  return used == 8 ? 10 : 1 + used;
}

size_t
PackedTextSize(std::string_view aText)
{
  const size_t words = aText.size() / 8 + 1;
  return aText.empty() ? 0 : aText.size() + 2 * words;
}

size_t
PackedListOverhead(bool aEmpty)
{
  return aEmpty ? kPackedZeroWordBytes
                : 2 * kPackedPointerBytes; // pointer and tag word
}

//-----------------------------------------------------------------------------
// Encoding
//-----------------------------------------------------------------------------

void
Write(gossipwire::Brief::Builder aBuilder, const MemberSummary& aSummary)
{
  aBuilder.setKey(aSummary.m_key);
  aBuilder.setIncarnation(aSummary.m_incarnation);
  aBuilder.setRevision(aSummary.m_revision);
  aBuilder.setInfoVersion(aSummary.m_infoVersion);
  aBuilder.setHealth(static_cast<uint8_t>(aSummary.m_health));
  aBuilder.setLeaving(aSummary.m_leaving);
  aBuilder.setCold(aSummary.m_cold);
  aBuilder.setTargetLeaving(aSummary.m_targetLeaving);
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
  if (!info.m_targetVersion.empty()) {
    aBuilder.setTargetVersion(info.m_targetVersion);
  }
}

uint32_t
ToMilliseconds(Duration aDuration)
{
  const int64_t count =
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
  return static_cast<uint32_t>(
    std::clamp<int64_t>(count, 0, std::numeric_limits<uint32_t>::max()));
}

void
WriteLists(gossipwire::Message::Builder aBuilder, const Datagram& aDatagram)
{
  if (!aDatagram.m_summaries.empty()) {
    auto list =
      aBuilder.initBriefs(static_cast<unsigned>(aDatagram.m_summaries.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
      Write(list[i], aDatagram.m_summaries[i]);
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
      const QuarantineNotice& notice = aDatagram.m_quarantineNotices[i];
      list[i].setIdentity(notice.m_identity);
      list[i].setCrash(notice.m_crash);
      list[i].setCleared(notice.m_cleared);
      list[i].setRemainingMs(ToMilliseconds(notice.m_remaining));
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
Read(gossipwire::Brief::Reader aReader, MemberSummary& aSummary)
{
  if (aReader.getHealth() > static_cast<uint8_t>(MemberHealth::Left)) {
    return false;
  }
  aSummary.m_key = aReader.getKey();
  aSummary.m_incarnation = aReader.getIncarnation();
  aSummary.m_revision = aReader.getRevision();
  aSummary.m_infoVersion = aReader.getInfoVersion();
  aSummary.m_health = static_cast<MemberHealth>(aReader.getHealth());
  aSummary.m_leaving = aReader.getLeaving();
  aSummary.m_cold = aReader.getCold();
  aSummary.m_targetLeaving = aReader.getTargetLeaving();
  return aSummary.m_key != 0;
}

bool
Read(capnp::Text::Reader aReader, std::string& aText)
{
  aText.assign(aReader.begin(), aReader.end());
  return aText.size() <= kMaximumTextBytes;
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
         Read(aReader.getTargetVersion(), info.m_targetVersion) &&
         !info.m_id.m_value.empty() &&
         MemberKeyOf(info.m_id) == aRecord.m_summary.m_key;
}

bool
Read(gossipwire::Rumour::Reader aReader, QuarantineNotice& aNotice)
{
  aNotice.m_identity = aReader.getIdentity();
  aNotice.m_crash = aReader.getCrash();
  aNotice.m_cleared = aReader.getCleared();
  aNotice.m_remaining = std::chrono::milliseconds(aReader.getRemainingMs());
  return true;
}

template<class List, class Item>
bool
ReadList(List aList, std::vector<Item>& aItems)
{
  if (aList.size() > kMaximumListItems) {
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
  aDatagram.m_configPosition = { aReader.getConfigEra(),
                                 aReader.getConfigVersion(),
                                 aReader.getConfigRetained() };
  aDatagram.m_isConfigNotice = aReader.getConfigNotice();
  aDatagram.m_sequence = aReader.getSequence();
  aDatagram.m_target.m_port = aReader.getTargetPort();
  aDatagram.m_from = aReader.getFrom();
  aDatagram.m_to = aReader.getTo();
  const auto digest = aReader.getDigest();
  const auto wanted = aReader.getWanted();
  if (digest.size() > kMaximumListItems || wanted.size() > kMaximumListItems) {
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
         ReadList(aReader.getBriefs(), aDatagram.m_summaries) &&
         ReadList(aReader.getRecords(), aDatagram.m_records) &&
         ReadList(aReader.getRumours(), aDatagram.m_quarantineNotices);
}

//-----------------------------------------------------------------------------
// Authentication helpers
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

std::array<uint8_t, kAuthTagBytes>
ComputeTag(const GossipKey& aKey, std::span<const uint8_t> aBytes)
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
  std::array<uint8_t, kAuthTagBytes> tag{};
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
  message.setConfigEra(aDatagram.m_configPosition.m_era);
  message.setConfigVersion(aDatagram.m_configPosition.m_offset);
  message.setConfigRetained(aDatagram.m_configPosition.m_retained);
  message.setConfigNotice(aDatagram.m_isConfigNotice);
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
    return false; // not a Cap'n Proto message, or above the limits
  }
}

size_t
GossipSizeBounds::EnvelopeSize(const Datagram& aDatagram) const
{
  const bool hasTarget = !aDatagram.m_target.m_address.empty();
  const LogPosition& config = aDatagram.m_configPosition;
  const bool hasFlags =
    aDatagram.m_senderJoined || config.m_retained || aDatagram.m_isConfigNotice;
  return kIpUdpHeaderBytes + kAuthHeaderBytes + kAuthTagBytes +
         3 * kPackedPointerBytes + // segment table, root and sender pointers
         PackedWordSize(static_cast<uint64_t>(aDatagram.m_kind)) +
         (hasFlags ? 1 : 0) + (hasTarget ? 2 : 0) +
         PackedWordSize(config.m_offset) + PackedWordSize(config.m_era) +
         PackedWordSize(aDatagram.m_sequence) +
         PackedWordSize(aDatagram.m_from) + PackedWordSize(aDatagram.m_to) +
         SizeOf(aDatagram.m_sender) +
         (hasTarget ? kPackedPointerBytes : kPackedZeroWordBytes) +
         PackedTextSize(aDatagram.m_target.m_address) +
         PackedListOverhead(aDatagram.m_summaries.empty()) +
         PackedListOverhead(aDatagram.m_records.empty()) +
         PackedListOverhead(aDatagram.m_quarantineNotices.empty()) +
         PackedListOverhead(aDatagram.m_digest.empty()) +
         PackedListOverhead(aDatagram.m_wanted.empty());
}

size_t
GossipSizeBounds::SizeOf(const MemberSummary& aSummary) const
{
  const uint64_t versions =
    static_cast<uint64_t>(aSummary.m_infoVersion) << 32 | aSummary.m_revision;
  return PackedWordSize(aSummary.m_key) +
         PackedWordSize(aSummary.m_incarnation) + PackedWordSize(versions) +
         3; // health and flags: tag and two bytes
}

size_t
GossipSizeBounds::SizeOf(const MemberRecord& aRecord) const
{
  const MemberInfo& info = aRecord.m_info;
  const uint64_t numbers =
    static_cast<uint64_t>(info.m_slots) << 32 | info.m_peer.m_port;
  return PackedWordSize(numbers) + PackedWordSize(info.m_targetIncarnation) +
         7 * kPackedPointerBytes + SizeOf(aRecord.m_summary) +
         PackedTextSize(info.m_id.m_value) +
         PackedTextSize(info.m_peer.m_address) + PackedTextSize(info.m_region) +
         PackedTextSize(info.m_zone) + PackedTextSize(info.m_service) +
         PackedTextSize(info.m_targetVersion);
}

size_t
GossipSizeBounds::SizeOf(const QuarantineNotice& aNotice) const
{
  const uint64_t numbers =
    static_cast<uint64_t>(ToMilliseconds(aNotice.m_remaining)) << 32 |
    (aNotice.m_cleared ? 1 : 0);
  return PackedWordSize(aNotice.m_identity) + PackedWordSize(aNotice.m_crash) +
         PackedWordSize(numbers);
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
// Authentication
//-----------------------------------------------------------------------------

Bytes
SignDatagram(const GossipKey& aKey,
             uint64_t aSequence,
             std::span<const uint8_t> aBody)
{
  Bytes bytes;
  bytes.reserve(kAuthHeaderBytes + aBody.size() + kAuthTagBytes);
  bytes.push_back(kAuthVersion);
  PutLittleEndian(bytes, aKey.m_id, 4);
  PutLittleEndian(bytes, aSequence, 8);
  bytes.insert(bytes.end(), aBody.begin(), aBody.end());
  const auto tag = ComputeTag(aKey, bytes);
  bytes.insert(bytes.end(), tag.begin(), tag.end());
  return bytes;
}

VerifyResult
VerifyDatagram(std::span<const GossipKey> aKeys,
               std::span<const uint8_t> aBytes,
               uint64_t& aSequence,
               std::span<const uint8_t>& aBody)
{
  if (aBytes.size() < kAuthHeaderBytes + kAuthTagBytes ||
      aBytes.size() > kMaximumDatagramBytes || aBytes[0] != kAuthVersion) {
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
  const size_t signedSize = aBytes.size() - kAuthTagBytes;
  const auto tag = ComputeTag(*key, aBytes.first(signedSize));
  // Constant time, to prevent a timing attack on the tag.
  if (CRYPTO_memcmp(tag.data(), aBytes.data() + signedSize, kAuthTagBytes) !=
      0) {
    return VerifyResult::BadTag;
  }
  aSequence = GetLittleEndian(aBytes.subspan(5, 8));
  aBody = aBytes.subspan(kAuthHeaderBytes, signedSize - kAuthHeaderBytes);
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
