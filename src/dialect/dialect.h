// How callers and targets speak HTTP to a node: the header fields in which a
// call's identity, time limit and outcome travel. The rest of the system works
// on RequestHead, CallResult and ResponseInfo, so that another dialect needs no
// change elsewhere.
//
// Index of this file
//   [1] Callers
//   [2] Targets
//   [3] The project's own dialect
#pragma once

#include "call/call.h"

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Callers
//-----------------------------------------------------------------------------

// An answer that the node makes itself.
struct LocalReply
{
  uint16_t m_status = 503;
  std::vector<HeaderField> m_headers;
  std::string m_body; // plain text
};

class CallerDialect : public virtual Component
{
public:
  // Takes what the caller says about its request out of the header fields and
  // into the head; method, path, host and fields are set. aAsked is the time
  // that the caller is willing to wait, if it says so. Returns InvalidHeader
  // for a value that makes no sense.
  virtual std::optional<ResultCode> ParseRequest(
    RequestHead& aHead,
    std::optional<Duration>& aAsked) const = 0;
  virtual LocalReply MakeLocalReply(const RequestHead& aHead,
                                    const CallResult& aResult) const = 0;
};

//-----------------------------------------------------------------------------
// [2] Targets
//-----------------------------------------------------------------------------

enum class ResponseKind : uint8_t
{
  Matching,    // answers this request
  NotExecuted, // the target states that it did not run the request
  WrongTarget, // another target has the address; it did not run the request
  Stale,       // belongs to an earlier request on the connection
  Invalid      // not an answer that a sound target gives
};

struct TargetLoad
{
  uint32_t m_running = 0;
  uint32_t m_waiting = 0;
  uint32_t m_slots = 0;
  uint32_t m_slowness = 100; // time that work takes now, in % of the usual
};

struct ResponseInfo
{
  ResponseKind m_kind = ResponseKind::Matching;
  std::optional<TargetLoad> m_load;
};

// What a target says of itself when it is asked for its health.
struct HealthReport
{
  bool m_healthy = false;
  std::string m_id;                // empty: not said
  Duration m_coldStartRemaining{}; // zero: warm
  std::optional<TargetLoad> m_load;
};

class TargetDialect : public virtual Component
{
public:
  // Adds the fields that the target expects; aTargetId is empty when the
  // target has announced no id.
  virtual void AddRequestHeaders(const RequestHead& aHead,
                                 const std::string& aTargetId,
                                 Duration aRemaining,
                                 std::vector<HeaderField>& aFields) const = 0;
  virtual ResponseInfo ParseResponse(const RequestHead& aHead,
                                     const ResponseHead& aAnswer) const = 0;
  virtual HealthReport ParseHealth(const ResponseHead& aAnswer) const = 0;
  // Path of a request that cancels a call; empty when the target cancels by
  // itself as soon as the connection closes.
  virtual std::string CancelPath(const CallId& aCall) const = 0;
};

//-----------------------------------------------------------------------------
// [3] The project's own dialect
//-----------------------------------------------------------------------------

// Described in docs/callers.md and docs/design.md.
std::shared_ptr<CallerDialect>
MakeCallerDialect();
std::shared_ptr<TargetDialect>
MakeTargetDialect();

// The value of a field, or nullopt; names are compared without case.
std::optional<std::string_view>
FindHeader(const std::vector<HeaderField>& aFields, std::string_view aName);
void
RemoveHeader(std::vector<HeaderField>& aFields, std::string_view aName);

} // namespace sassafrasquay
