// One call on its way through the system: plain structs and the interfaces
// between the front end, the dispatcher, the peer links and the target client.
// Nothing here depends on an encoding.
//
// Index of this file
//   [1] Heads
//   [2] Bodies and answers
//   [3] Call handler and call fate
#pragma once

#include "idempotency/idempotency.h"

#include <boost/asio/awaitable.hpp>
#include <optional>

namespace sassafrasquay {

namespace asio = boost::asio;

//-----------------------------------------------------------------------------
// [1] Heads
//-----------------------------------------------------------------------------

struct HeaderField
{
  std::string m_name;
  std::string m_value;

  bool operator==(const HeaderField&) const = default;
};

// Request bodies up to this size travel with the head and can be sent again.
inline constexpr size_t kMaxInlineBodyBytes = 64 * 1024;

struct RequestHead
{
  CallId m_call;
  std::string m_requestId; // the caller's own name for the request, for logs
  std::string m_host;      // as the caller sent it; only at the entry node
  std::string m_service;
  std::string m_method;
  std::string m_path;                 // request target, with the query
  std::vector<HeaderField> m_headers; // without hop-by-hop headers
  uint64_t m_identity = 0;            // of the content, for quarantine
  Duration m_remaining{};             // caller's remaining time when sent
  bool m_hasExplicitTimeout =
    false;                       // by the caller or its route; entry node only
  Duration m_latencyObjective{}; // rest of the latency objective; 0: none
  uint32_t m_routeClass = 0;     // requests of one class take similar work
  uint32_t m_maxAttempts = 0;    // targets that may run it; 0: no bound
  bool m_mayQueue = true;        // else refused when it cannot start at once
  uint8_t m_priority = 100;
  bool m_idempotent = false;
  bool m_retrySpent = false;            // an earlier layer used its retry
  uint64_t m_nodeIncarnation = 0;       // of the target's node it is meant for
  Duration m_age{};                     // since the attempt began, upper bound
  std::optional<uint64_t> m_bodyLength; // absent: chunked
  std::optional<std::string> m_body;    // whole body, when small

  bool operator==(const RequestHead&) const = default;
};

struct ResponseHead
{
  uint16_t m_status = 0;
  std::vector<HeaderField> m_headers;   // without hop-by-hop headers
  std::optional<uint64_t> m_bodyLength; // absent: chunked
  bool m_hasBody = true;                // false for HEAD, 204 and 304

  bool operator==(const ResponseHead&) const = default;
};

//-----------------------------------------------------------------------------
// [2] Bodies and answers
//-----------------------------------------------------------------------------

struct BodyChunk
{
  std::error_code m_error;  // the body ended early
  std::string_view m_bytes; // valid until the next Read
  bool m_last = false;
};

class BodySource
{
public:
  virtual ~BodySource() = default;
  virtual asio::awaitable<BodyChunk> Read() = 0;
};

class ResponseSink
{
public:
  virtual ~ResponseSink() = default;
  // The target's node will dispatch the call; a streamed body may follow.
  virtual asio::awaitable<void> Admitted() { co_return; }
  // The head may be held back until the first body bytes.
  virtual asio::awaitable<std::error_code> WriteHead(ResponseHead aHead) = 0;
  // aLast ends the answer; an answer without it is visibly incomplete.
  virtual asio::awaitable<std::error_code> WriteBody(std::string_view aBytes,
                                                     bool aLast) = 0;
};

//-----------------------------------------------------------------------------
// [3] Call handler
//-----------------------------------------------------------------------------

struct CallResult
{
  ResultCode m_code = ResultCode::Ok; // Ok: the whole answer was passed on
  Executed m_executed = Executed::No;
  bool m_admitted = false;        // the target's node accepted it for dispatch
  bool m_responseStarted = false; // some of the answer reached the sink
  bool m_bodyConsumed = false;    // streamed body bytes were consumed
  uint16_t m_status = 0;          // of the target's answer
  bool m_hasLoad = false;
  LoadReport m_load;
  Duration m_latency{};       // to the start of the answer
  Duration m_totalDuration{}; // of the whole request, at the entry node
  bool m_linkFailed = false;  // a silent or stale link, not the target's doing
  Duration m_retryAfter{};    // after a refusal: when a further try makes sense
};

// Carries one attempt to its end: the gateway beside the target, or a peer.
class CallHandler : public virtual Component
{
public:
  virtual asio::awaitable<CallResult> Handle(const RequestHead& aHead,
                                             BodySource& aBody,
                                             ResponseSink& aAnswer) = 0;
};

// Answers what became of a call, and forbids a call it has not seen.
class CallResolver : public virtual Component
{
public:
  virtual ResolveReply Resolve(const ResolveRequest& aRequest) = 0;
};

} // namespace sassafrasquay
