// At-most-once execution: decides whether a non-idempotent call may be
// dispatched, and what is known about a call whose response is missing.
//
// Decisions only: each function gets an event and the time, and returns what to
// do. docs/decisions/at-most-once.md gives the reasons.
//
// Index of this file
//   [1] Node instances
//   [2] Limits
//   [3] Call ledger at the target's node
//   [4] Requests that a connection has carried
#pragma once

#include "core/core.h"

#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Node instances
//-----------------------------------------------------------------------------

// One process of a node. A restarted node has a new incarnation and none of the
// records of the previous one.
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
  // Time for which a record is kept after the call's end. An entry node asks
  // for the outcome within the caller's remaining time, so a record must
  // outlast the longest timeout of a call plus the transport delay of the
  // ResolveRequest.
  Duration m_retention{ std::chrono::minutes(2) };
  // A call that is older than this when it would start is refused. Must be less
  // than m_retention, so that no call starts after its tombstone has expired.
  Duration m_maxCallAge{ std::chrono::minutes(1) };

  // A record takes 84 bytes (bench/ledger_cost).
  size_t m_maxCalls = 90000;   // not counting refused calls
  size_t m_maxRefused = 10000; // refused calls; the oldest are dropped first
};

//-----------------------------------------------------------------------------
// [3] Call ledger
//-----------------------------------------------------------------------------

// A call that arrives at the target's node.
struct IncomingCall
{
  CallId m_call;
  uint64_t m_incarnation = 0; // of the node that the call is addressed to
  bool m_idempotent = false;
  // Upper bound of the time since the attempt began at the entry node: the age
  // that the entry node sent when it acquired the link, plus the time since
  // this node's last frame on that link.
  Duration m_age{};
  TimePoint m_deadline = TimePoint::max();
};

enum class RegisterVerdict : uint8_t
{
  Accepted,     // recorded as queued; Start, Refuse or Resolve follows
  Refused,      // proven: it did not run here and will not
  Unverifiable, // not dispatched now, but it may have run before
  Duplicate     // already recorded; only the first copy gets the result
};

struct RegisterResult
{
  RegisterVerdict m_verdict = RegisterVerdict::Refused;
  ResultCode m_code = ResultCode::Ok; // when refused or unverifiable
};

struct StartResult
{
  bool m_mayDispatch = false;         // send to the target now
  ResultCode m_code = ResultCode::Ok; // else the reason; proven not to run
};

enum class CallOutcome : uint8_t
{
  Completed, // the target sent a whole response
  Shed,      // the target reported that it did not run the request
  Unsent,    // no byte of the request reached the target
  Broken     // anything else: it may have run
};

enum class CallState : uint8_t
{
  NeverReceived, // proven: it was not dispatched here and will not be
  Queued,        // accepted, not yet started
  Running,       // dispatched to the target
  Completed,     // it ran, and the whole response arrived
  Broken,        // it may have run
  Refused,       // proven: it did not run; m_code is the reason
  Unknown        // no record, and it may have run
};

// True when the state proves that the call did not run and will not run.
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
  bool m_withdraw = false;    // refuse the call if it is still queued
};

struct ResolveReply
{
  CallState m_state = CallState::Unknown;
  ResultCode m_code = ResultCode::Ok; // when refused
  bool m_withdrawn = false;           // was queued; remove it from admission
};

class CallLedger : public Component
{
public:
  // Called before admission. Records of idempotent calls are removed when the
  // call ends.
  virtual RegisterResult Register(const IncomingCall& aIncoming,
                                  TimePoint aNow) = 0;
  // Called just before the first byte is sent to the target. Refuses
  // a call that was withdrawn, has expired or is not queued.
  virtual StartResult Start(const CallId& aCall, TimePoint aNow) = 0;
  // Called when admission or a later check refuses a queued call. Returns false
  // when the call was not queued; the refusal then proves nothing.
  virtual bool Refuse(const CallId& aCall,
                      ResultCode aCode,
                      TimePoint aNow) = 0;
  // Ends a call that was started.
  virtual void Finish(const CallId& aCall,
                      CallOutcome aOutcome,
                      TimePoint aNow) = 0;
  // Returns what is known about a non-idempotent call. Adds a tombstone for a
  // call that has not arrived, so that it is refused when it does.
  virtual ResolveReply Resolve(const ResolveRequest& aRequest,
                               TimePoint aNow) = 0;
  virtual size_t Size() const = 0; // number of call records
};

std::unique_ptr<CallLedger>
MakeCallLedger(NodeInstance aSelf, IdempotencyLimits aLimits);

//-----------------------------------------------------------------------------
// [4] Requests that a connection has carried
//-----------------------------------------------------------------------------

// Ids of the requests sent on one connection to a target. A target may send a
// second copy of a response at any later time, and the copy has the same id.
// So a request that is sent again needs a connection that has not carried it:
// there the copy of a rejection would be taken for the response to a request
// that the target runs.
class CarriedRequests
{
public:
  // aId: as the target repeats it in its responses; empty: it repeats none.
  void Add(std::string_view aId);
  bool MayCarry(std::string_view aId) const;
  // True when the connection must carry no further request: another id would
  // not be remembered, or a response without an id may follow.
  bool IsFull() const { return m_full; }

private:
  // Hashes; two ids with the same hash only cause a further connection.
  std::vector<uint64_t> m_ids;
  bool m_full = false;
};

} // namespace sassafrasquay
