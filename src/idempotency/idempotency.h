// At most once: which non-idempotent call may be dispatched, and what may be
// said about one whose answer is missing.
//
// Pure decision code: events with their time in, actions out. The reasons are
// on docs/decisions/at-most-once.md.
//
// Index of this file
//   [1] Identities: node incarnations
//   [2] Limits
//   [3] Call ledger at the target's node
#pragma once

#include "core/core.h"

#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Identities
//-----------------------------------------------------------------------------

// One run of a node's process. A restart has a new incarnation and remembers
// nothing of the one before.
struct NodeInstance
{
  NodeId m_node;
  uint64_t m_incarnation = 0;

  bool operator==(const NodeInstance&) const = default;
  bool operator<(const NodeInstance& aOther) const
  {
    return std::tie(m_node.m_value, m_incarnation) <
           std::tie(aOther.m_node.m_value, aOther.m_incarnation);
  }
};

//-----------------------------------------------------------------------------
// [2] Limits
//-----------------------------------------------------------------------------

struct IdempotencyLimits
{
  // Records are kept this long after a call's end. An entry node asks for the
  // outcome within the caller's remaining time, so a record has to outlast the
  // longest time limit of a call and the transport delay of the question.
  Duration m_retention{ std::chrono::minutes(2) };
  // A call older than this when it would start is refused. Less than
  // m_retention, so that no call starts after its tombstone expired.
  Duration m_maxCallAge{ std::chrono::minutes(1) };

  // Bounds of memory: 84 bytes for a call, as bench/ledger_cost measures.
  size_t m_maxCalls = 90000;
  size_t m_maxRefused = 10000; // refusals; the oldest are dropped first
};

//-----------------------------------------------------------------------------
// [3] Call ledger
//-----------------------------------------------------------------------------

// A call as it reaches the target's node.
struct IncomingCall
{
  CallId m_call;
  uint64_t m_incarnation = 0; // of the target's node that the call is meant for
  bool m_idempotent = false;
  // Upper bound of the time since the attempt began at the entry node: the age
  // stated by the entry node when it took the link, plus the time since this
  // node's last frame on that link.
  Duration m_age{};
  TimePoint m_deadline = TimePoint::max();
};

enum class RegisterVerdict : uint8_t
{
  Accepted, // recorded; Start, Refuse or Resolve decides
  Refused,  // proof: it did not run here and will not
  Unproven, // meant for another incarnation: not run here, no proof
  Duplicate // the same call again: no reply, the first one gets it
};

struct RegisterResult
{
  RegisterVerdict m_verdict = RegisterVerdict::Refused;
  ResultCode m_code = ResultCode::Ok; // when refused or unproven
};

struct StartResult
{
  bool m_mayDispatch = false;         // send to the target now
  ResultCode m_code = ResultCode::Ok; // else refused: proof
};

enum class CallOutcome : uint8_t
{
  Completed, // the target's whole answer
  Shed,      // the target stated that it did not run the request
  Unsent,    // no byte of the request reached the target
  Broken     // anything else: it may have run
};

enum class CallState : uint8_t
{
  NeverReceived, // proof: never dispatched here and never will be
  Queued,        // accepted, not yet started
  Running,       // the target works on it
  Completed,     // it ran
  Broken,        // it may have run
  Refused,       // proof: not run, with a code
  Unknown        // no record that could prove anything
};

// True when the state proves that the call did not run and will not.
constexpr bool
ProvesNotRun(CallState aState)
{
  return aState == CallState::NeverReceived || aState == CallState::Refused;
}

struct ResolveRequest
{
  CallId m_call;
  uint64_t m_incarnation = 0; // of the node that the call was sent to
  Duration m_age{};           // as in IncomingCall
  bool m_withdraw = false;    // a queued call is to be forbidden
};

struct ResolveReply
{
  CallState m_state = CallState::Unknown;
  ResultCode m_code = ResultCode::Ok; // when refused
  bool m_withdrawn = false;           // was queued: remove it from admission
};

class CallLedger : public Component
{
public:
  // Before admission. Idempotent calls are recorded until they end only.
  virtual RegisterResult Register(const IncomingCall& aHead,
                                  TimePoint aNow) = 0;
  // Right before the first byte goes to the target. False for a call that was
  // withdrawn, expired or is not queued.
  virtual StartResult Start(const CallId& aCall, TimePoint aNow) = 0;
  // Admission or a check refused a queued call. False when it was not queued,
  // so that the refusal is not proof.
  virtual bool Refuse(const CallId& aCall,
                      ResultCode aCode,
                      TimePoint aNow) = 0;
  // Ends a started call.
  virtual void Finish(const CallId& aCall,
                      CallOutcome aEnd,
                      TimePoint aNow) = 0;
  // Only for non-idempotent calls. Leaves a tombstone for an unseen call.
  virtual ResolveReply Resolve(const ResolveRequest& aRequest,
                               TimePoint aNow) = 0;
  virtual size_t Size() const = 0; // records of calls
};

std::unique_ptr<CallLedger>
MakeCallLedger(NodeInstance aSelf, IdempotencyLimits aLimits);

} // namespace sassafrasquay
