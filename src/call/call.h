// Data of a call and the interfaces between the front end, the dispatcher, the
// peer links and the target client. Independent of any encoding.
//
// Index of this file
//   [1] Request and response heads
//   [2] Body source and response sink
//   [3] Call handler and call resolver
#pragma once

#include "idempotency/idempotency.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <optional>

namespace sassafrasquay {

namespace asio = boost::asio;

//-----------------------------------------------------------------------------
// [1] Request and response heads
//-----------------------------------------------------------------------------

struct HeaderField
{
  std::string m_name;
  std::string m_value;

  bool operator==(const HeaderField&) const = default;
};

// Request bodies up to this size are sent together with the head and can be
// replayed by a retry.
inline constexpr size_t kMaxInlineBodyBytes = 64 * 1024;

struct RequestHead
{
  CallId m_call;
  std::string m_requestId;     // request id set by the caller, for logs
  std::string m_host;          // as sent by the caller; only at the entry node
  std::string m_apiKey;        // as sent by the caller; only at the entry node
  bool m_isKeyUnknown = false; // to this node; only at the entry node
  std::string m_account;       // client account of the key; empty: none
  double m_accountWeight = 1;  // share of the account when targets are full
  std::string m_service;
  std::string m_method;
  std::string m_path;                 // request target, with the query
  std::vector<HeaderField> m_headers; // without hop-by-hop headers
  uint64_t m_identity = 0;            // hash of the content, for quarantine
  Duration m_remaining{};             // caller's remaining time when sent
  bool m_hasExplicitTimeout = false;  // set by caller or route; entry node only
  Duration m_latencyObjective{};      // rest of the latency objective; 0: none
  double m_hedgeShare = 0;    // of requests that may be hedged; entry node only
  uint32_t m_routeClass = 0;  // requests of one class cost about the same
  uint32_t m_maxAttempts = 0; // targets that may execute it; 0: no limit
  bool m_mayQueue = true;     // false: refuse unless it can start at once
  bool m_repeat = false;      // an earlier attempt may have reached a target
  uint8_t m_priority = 100;
  bool m_idempotent = false;
  bool m_retrySpent = false;      // a previous layer already retries
  bool m_isSubrequest = false;    // sent by a target that runs another request
  bool m_isHedge = false;         // second copy of a slow request
  bool m_knowsRollout = false;    // the sender has a roll-out of the service
  uint64_t m_nodeIncarnation = 0; // expected incarnation of target's node
  Duration m_age{};               // since the attempt began, upper bound
  std::optional<uint64_t> m_bodyLength; // absent: chunked
  std::optional<std::string> m_body;    // whole body, if small

  bool operator==(const RequestHead&) const = default;
};

// Takes time that has passed from what is left of the request's.
inline void
SpendTime(RequestHead& aHead, Duration aElapsed)
{
  aHead.m_remaining -= aElapsed;
  if (aHead.m_latencyObjective > Duration::zero()) {
    // Zero means a request without a latency objective.
    aHead.m_latencyObjective =
      std::max(aHead.m_latencyObjective - aElapsed, Duration(1));
  }
}

struct ResponseHead
{
  uint16_t m_status = 0;
  std::vector<HeaderField> m_headers;   // without hop-by-hop headers
  std::optional<uint64_t> m_bodyLength; // absent: chunked
  bool m_hasBody = true;                // false for HEAD, 204 and 304

  bool operator==(const ResponseHead&) const = default;
};

//-----------------------------------------------------------------------------
// [2] Body source and response sink
//-----------------------------------------------------------------------------

struct BodyChunk
{
  std::error_code m_error;  // set when the body ended early
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
  // Called when the target's node has admitted the call: the body may be sent.
  virtual asio::awaitable<void> Admitted() { co_return; }
  // An implementation may buffer the head until the first body bytes.
  virtual asio::awaitable<std::error_code> WriteHead(ResponseHead aHead) = 0;
  // aLast ends the response. Without it the receiver sees that the response is
  // incomplete.
  virtual asio::awaitable<std::error_code> WriteBody(std::string_view aBytes,
                                                     bool aLast) = 0;
};

//-----------------------------------------------------------------------------
// [3] Call handler and call resolver
//-----------------------------------------------------------------------------

struct CallResult
{
  ResultCode m_code = ResultCode::Ok; // Ok: the whole response was forwarded
  Executed m_executed = Executed::No;
  bool m_admitted = false;        // the target's node accepted it for dispatch
  bool m_responseStarted = false; // a part of the response reached the sink
  bool m_bodyConsumed = false;    // bytes of a streamed body were read
  uint16_t m_status = 0;          // HTTP status of the target's response
  bool m_hasLoad = false;
  LoadReport m_load;
  Duration m_latency{};       // to the start of the response
  Duration m_totalDuration{}; // of the whole request, at the entry node
  bool m_linkFailed = false;  // stale or unresponsive peer link; not the target
  Duration m_retryAfter{};    // after a refusal: suggested delay of a retry
};

// Handles one attempt: the gateway on the target's VM, or a peer client.
class CallHandler : public virtual Component
{
public:
  virtual asio::awaitable<CallResult> Handle(const RequestHead& aHead,
                                             BodySource& aBody,
                                             ResponseSink& aResponse) = 0;
};

// Reports the state of a call. For a call that has not arrived, it records a
// tombstone if possible, so that the call is refused when it arrives.
class CallResolver : public virtual Component
{
public:
  virtual ResolveReply Resolve(const ResolveRequest& aRequest) = 0;
};

} // namespace sassafrasquay
