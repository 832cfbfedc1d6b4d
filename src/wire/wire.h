// Wire format of the peer protocol: converts frames between plain structs and
// Cap'n Proto. On a link, each frame is a 4-byte little-endian length followed
// by the Cap'n Proto message.
//
// Index of this file
//   [1] Versions and limits
//   [2] Frame contents
//   [3] Encode and decode
#pragma once

#include "call/call.h"
#include "quota/quota.h"
#include "routes/routes.h"

#include <variant>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Versions and limits
//-----------------------------------------------------------------------------

inline constexpr uint16_t kProtocolVersion = 2;
inline constexpr uint16_t kOldestProtocolVersion = 2; // still supported
inline constexpr size_t kMaxFrameBytes = 1024 * 1024; // larger closes the link
inline constexpr size_t kMaxChunkBytes = 64 * 1024;   // body bytes in a frame
inline constexpr size_t kFramePrefixBytes = 4;        // length prefix
// Ages, remaining times and latency objectives are clamped to this value when
// decoded, so that adding to them cannot overflow. It is far above every
// retention time.
inline constexpr Duration kMaxWireDuration = std::chrono::hours(24);

//-----------------------------------------------------------------------------
// [2] Frame contents
//-----------------------------------------------------------------------------

struct HelloFrame
{
  uint16_t m_version = kProtocolVersion;
  uint16_t m_oldestVersion = kOldestProtocolVersion;
  NodeId m_node;
  uint64_t m_incarnation = 0; // of the node process
  std::string m_zone;
  uint64_t m_configVersion = 0; // not set by this version
  std::string m_nonce; // random bytes that the other side authenticates
  std::string m_tag;   // HMAC of the peer's nonce; only from the accepting side
};

struct AuthenticateFrame
{
  std::string m_tag; // HMAC that proves possession of a peer key
};

struct BodyChunkFrame
{
  std::string m_bytes;
  bool m_last = false;
};

// The target's node will dispatch the call; the entry node may now send body
// chunks.
struct AdmittedFrame
{};

struct ResponseChunkFrame
{
  std::string m_bytes;
  bool m_last = false;
};

// Last frame of a call.
struct CallResultFrame
{
  ResultCode m_code = ResultCode::Ok;
  Executed m_executed = Executed::No;
  bool m_hasLoad = false;
  LoadReport m_load;
  Duration m_retryAfter{}; // after a refusal: suggested delay of a retry
};

// Sent periodically while the call is in progress.
struct HeartbeatFrame
{};

// Not sent by this version: a node closes the link to cancel a call.
struct CancelFrame
{};

// Requests the operators' published configuration.
struct ConfigRequestFrame
{};

struct ConfigResponseFrame
{
  std::optional<PublishedConfig> m_state; // absent: the node has none
};

// The sender accepts no more calls on this link, including a call that was sent
// before this frame was received. Similar to GOAWAY in HTTP/2.
struct ClosingFrame
{};

// Requests what the target beside the receiver did for a roll-out, and tells
// the sender's decision.
struct RolloutEvidenceRequest
{
  RolloutDecision m_decision;
};

struct RolloutEvidenceReply
{
  // Of the receiver; another order when it has not got this one.
  RolloutDecision m_decision;
  std::optional<RolloutEvidence> m_evidence; // without its node
};

// Tells a decision; answered with the receiver's own one for the service.
struct RolloutDecisionFrame
{
  RolloutDecision m_decision;
};

using FrameContent = std::variant<HelloFrame,
                                  AuthenticateFrame,
                                  RequestHead,
                                  BodyChunkFrame,
                                  AdmittedFrame,
                                  ResponseHead,
                                  ResponseChunkFrame,
                                  CallResultFrame,
                                  HeartbeatFrame,
                                  CancelFrame,
                                  ResolveRequest, // m_call from PeerFrame
                                  ResolveReply,
                                  ConfigRequestFrame,
                                  ConfigResponseFrame,
                                  ClosingFrame,
                                  TokenRequest,
                                  TokenReply,
                                  RolloutEvidenceRequest,
                                  RolloutEvidenceReply,
                                  RolloutDecisionFrame>;

struct PeerFrame
{
  CallId m_call;
  FrameContent m_content;
};

//-----------------------------------------------------------------------------
// [3] Encode and decode
//-----------------------------------------------------------------------------

// Appends the length prefix and the message to aOut.
void
EncodeFrame(const PeerFrame& aFrame, std::string& aOut);

// Returns the message length in bytes; aBytes has kFramePrefixBytes bytes.
uint32_t
DecodeFramePrefix(const unsigned char* aBytes);

// Decodes one message without its length prefix. Returns MalformedFrame for
// bytes that are not a valid message; never throws. An unknown enumeration
// value decodes as one that does not prove that a call was not executed.
std::error_code
DecodeFrame(std::string_view aBytes, PeerFrame& aFrame);

} // namespace sassafrasquay
