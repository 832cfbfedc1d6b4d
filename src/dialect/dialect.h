// The HTTP dialects of callers and targets: the header fields that carry the
// identity, timeout and outcome of a call. The rest of the system works on
// RequestHead, CallResult and ResponseInfo, so that another dialect needs no
// change elsewhere.
//
// Index of this file
//   [1] Callers
//   [2] Targets
//   [3] Default dialect
#pragma once

#include "call/call.h"

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Callers
//-----------------------------------------------------------------------------

// A response that the node generates itself.
struct LocalReply
{
  uint16_t m_status = 503;
  std::vector<HeaderField> m_headers;
  std::string m_body; // plain text
};

class CallerDialect : public virtual Component
{
public:
  // Moves the values of the dialect's header fields into the other members of
  // the head; its method, path, host and fields are already set. aTimeout
  // receives the caller's timeout, if the request has one. Returns
  // InvalidHeader for an invalid value.
  virtual std::optional<ResultCode> ParseRequest(
    RequestHead& aHead,
    std::optional<Duration>& aTimeout) const = 0;
  // The id of the request during which a target made this one, as far as its
  // fields show; empty for a request of a caller.
  virtual std::string_view ParentId(const RequestHead& /*aHead*/) const
  {
    return {};
  }
  // Removes the caller's credentials from the fields that targets get, and sets
  // the client account instead. Called after ParseRequest, once the account of
  // the key is known, if the configuration has client accounts.
  virtual void ReplaceCredentials(RequestHead& /*aHead*/) const {}
  virtual LocalReply MakeLocalReply(const RequestHead& aHead,
                                    const CallResult& aResult) const = 0;
};

//-----------------------------------------------------------------------------
// [2] Targets
//-----------------------------------------------------------------------------

enum class ResponseKind : uint8_t
{
  Matching,    // belongs to this request
  NotExecuted, // the target did not execute the request
  WrongTarget, // another target has the address; not executed
  Stale,       // belongs to an earlier request on the connection
  Invalid      // violates the dialect
};

struct TargetLoad
{
  uint32_t m_running = 0;
  uint32_t m_waiting = 0;
  uint32_t m_slots = 0;
  uint32_t m_slowness = 100; // current processing time in % of the usual one
};

struct ResponseInfo
{
  ResponseKind m_kind = ResponseKind::Matching;
  bool m_hasRequestId = false; // it repeats the id of its request
  std::optional<TargetLoad> m_load;
};

// Content of a health response.
struct HealthReport
{
  bool m_healthy = false;
  std::string m_id;                // empty: not reported
  Duration m_coldStartRemaining{}; // zero: warm
  std::optional<TargetLoad> m_load;
};

class TargetDialect : public virtual Component
{
public:
  // Adds the dialect's fields to a request; aTargetId is empty when the target
  // has announced no id.
  virtual void AddRequestHeaders(const RequestHead& aHead,
                                 const std::string& aTargetId,
                                 Duration aRemaining,
                                 std::vector<HeaderField>& aFields) const = 0;
  // The id that a target repeats in its responses to this request. Empty when
  // the request has none.
  virtual std::string ResponseId(const RequestHead& aHead) const = 0;
  virtual ResponseInfo ParseResponse(const RequestHead& aHead,
                                     const ResponseHead& aResponse) const = 0;
  virtual HealthReport ParseHealth(const ResponseHead& aResponse) const = 0;
  // Path of the request that cancels a call; empty when the target cancels on
  // its own when the connection closes.
  virtual std::string CancelPath(const CallId& aCall) const = 0;
};

//-----------------------------------------------------------------------------
// [3] Default dialect
//-----------------------------------------------------------------------------

// Described in docs/callers.md and docs/design.md.
std::shared_ptr<CallerDialect>
MakeCallerDialect();
std::shared_ptr<TargetDialect>
MakeTargetDialect();

// Value of the first field with this name, compared without case, or nullopt.
std::optional<std::string_view>
FindHeader(const std::vector<HeaderField>& aFields, std::string_view aName);
void
RemoveHeader(std::vector<HeaderField>& aFields, std::string_view aName);

} // namespace sassafrasquay
