// Encoding of the messages between nodes: plain structs to and from Cap'n
// Proto. Frames on a link are a 4-byte little-endian length and the message.
//
// Index of this file
//   [1] Versions and limits
//   [2] Frame contents
//   [3] Encode and decode
#pragma once

#include "call/call.h"
#include "routes/routes.h"

#include <variant>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Versions and limits
//-----------------------------------------------------------------------------

inline constexpr uint16_t kProtocolVersion = 2;
inline constexpr uint16_t kOldestProtocolVersion = 2; // still understood
inline constexpr size_t kMaxFrameBytes = 1024 * 1024; // larger closes the link
inline constexpr size_t kMaxChunkBytes = 64 * 1024;   // body bytes in a frame
inline constexpr size_t kFramePrefixBytes = 4;        // length in front
// Ages and remaining times beyond this are cut off, so that adding to them
// cannot overflow. Far above every retention time.
inline constexpr Duration kLongestSpan = std::chrono::hours(24);

//-----------------------------------------------------------------------------
// [2] Frame contents
//-----------------------------------------------------------------------------

struct HelloFrame
{
  uint16_t m_version = kProtocolVersion;
  uint16_t m_oldestVersion = kOldestProtocolVersion;
  NodeId m_node;
  uint64_t m_incarnation = 0; // of the node
  std::string m_zone;
  uint64_t m_configVersion = 0;
  std::string m_nonce; // fresh random bytes, signed by the other side
  std::string m_tag;   // only in the accepting side's hello
};

struct AuthenticateFrame
{
  std::string m_tag; // proves that the connecting side holds a peer key
};

struct BodyChunkFrame
{
  std::string m_bytes;
  bool m_last = false;
};

struct AdmittedFrame
{};

struct AnswerChunkFrame
{
  std::string m_bytes;
  bool m_last = false;
};

struct EndedFrame
{
  ResultCode m_code = ResultCode::Ok;
  Executed m_executed = Executed::No;
  bool m_hasLoad = false;
  LoadReport m_load;
};

struct WorkingFrame
{};

struct CancelFrame
{};

// Asks for what operators have published.
struct ConfigRequestFrame
{};

struct ConfigResponseFrame
{
  std::optional<PublishedConfig> m_state; // absent: nothing is known
};

// The sender begins no call on this link any more, also none that has crossed
// this frame.
struct ClosingFrame
{};

using FrameContent = std::variant<HelloFrame,
                                  AuthenticateFrame,
                                  RequestHead,
                                  BodyChunkFrame,
                                  AdmittedFrame,
                                  ResponseHead,
                                  AnswerChunkFrame,
                                  EndedFrame,
                                  WorkingFrame,
                                  CancelFrame,
                                  ResolveRequest, // m_call is the frame's
                                  ResolveReply,
                                  ConfigRequestFrame,
                                  ConfigResponseFrame,
                                  ClosingFrame>;

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

// Reads the length prefix; aBytes holds kFramePrefixBytes bytes.
uint32_t
DecodeFramePrefix(const unsigned char* aBytes);

// Decodes one message without its prefix. MalformedFrame when the bytes are
// not a valid message; never throws. Values of an enumeration that this
// version does not know are read as the one that proves nothing.
std::error_code
DecodeFrame(std::string_view aBytes, PeerFrame& aFrame);

} // namespace sassafrasquay
