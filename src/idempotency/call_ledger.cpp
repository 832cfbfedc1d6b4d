// In-memory records of the calls that arrived for this node's target.
#include "idempotency/idempotency.h"

#include <algorithm>
#include <deque>
#include <unordered_map>

namespace sassafrasquay {

namespace {

struct CallRecord
{
  TimePoint m_time; // queued: latest start; ended: when it ended
  ResultCode m_code = ResultCode::Ok;
  CallState m_state = CallState::Queued;
  bool m_idempotent = false;
};

struct EndedCall
{
  TimePoint m_time;
  CallId m_call;
};

class InMemoryCallLedger : public CallLedger
{
public:
  InMemoryCallLedger(NodeInstance aSelf, IdempotencyLimits aLimits)
    : m_self(std::move(aSelf))
    , m_limits(aLimits)
  {
  }

  RegisterResult Register(const IncomingCall& aIncoming,
                          TimePoint aNow) override;
  StartResult Start(const CallId& aCall, TimePoint aNow) override;
  bool Refuse(const CallId& aCall, ResultCode aCode, TimePoint aNow) override;
  void Finish(const CallId& aCall,
              CallOutcome aOutcome,
              TimePoint aNow) override;
  ResolveReply Resolve(const ResolveRequest& aRequest, TimePoint aNow) override;
  size_t Size() const override { return m_calls.size(); }

private:
  using Calls = std::unordered_map<CallId, CallRecord>;

  RegisterResult ResultOfDuplicate(const CallRecord& aRecord) const;
  RegisterResult AddRefused(const IncomingCall& aIncoming,
                            ResultCode aCode,
                            TimePoint);
  void AddQueued(const IncomingCall& aIncoming, TimePoint aNow);
  void MarkRefused(Calls::iterator aCall, ResultCode aCode, TimePoint aNow);
  void MarkEnded(Calls::iterator aCall, CallState aState, TimePoint aNow);
  ResolveReply AddTombstone(const ResolveRequest& aRequest, TimePoint aNow);
  void RemoveExpired(TimePoint aNow);

  NodeInstance m_self;
  IdempotencyLimits m_limits;
  Calls m_calls;
  std::deque<EndedCall> m_endedCalls; // calls that may have run, and tombstones
  std::deque<EndedCall> m_refusedCalls;
};

RegisterResult
InMemoryCallLedger::Register(const IncomingCall& aIncoming, TimePoint aNow)
{
  RemoveExpired(aNow);
  if (aIncoming.m_incarnation != m_self.m_incarnation) {
    return { RegisterVerdict::Unverifiable, ResultCode::PeerLost };
  }
  const auto existing = m_calls.find(aIncoming.m_call);
  if (existing != m_calls.end()) {
    return ResultOfDuplicate(existing->second);
  }
  if (aIncoming.m_idempotent) {
    AddQueued(aIncoming, aNow);
    return { RegisterVerdict::Accepted, ResultCode::Ok };
  }
  // A record of this call may have expired, so a refusal would prove nothing.
  if (aIncoming.m_age >= m_limits.m_retention) {
    return { RegisterVerdict::Unverifiable, ResultCode::PeerLost };
  }
  if (aIncoming.m_age >= m_limits.m_maxCallAge) {
    return AddRefused(aIncoming, ResultCode::ExpiredBeforeRun, aNow);
  }
  // A full ledger refuses new calls. If it dropped a record instead, it could
  // later report that call as not run although it ran.
  if (m_calls.size() - m_refusedCalls.size() >= m_limits.m_maxCalls) {
    return AddRefused(aIncoming, ResultCode::Overloaded, aNow);
  }
  AddQueued(aIncoming, aNow);
  return { RegisterVerdict::Accepted, ResultCode::Ok };
}

RegisterResult
InMemoryCallLedger::ResultOfDuplicate(const CallRecord& aRecord) const
{
  if (ProvesNotRun(aRecord.m_state)) {
    return { RegisterVerdict::Refused, aRecord.m_code };
  }
  return { RegisterVerdict::Duplicate, ResultCode::Ok };
}

RegisterResult
InMemoryCallLedger::AddRefused(const IncomingCall& aIncoming,
                               ResultCode aCode,
                               TimePoint aNow)
{
  const auto added = m_calls.emplace(aIncoming.m_call, CallRecord{}).first;
  MarkRefused(added, aCode, aNow);
  return { RegisterVerdict::Refused, aCode };
}

void
InMemoryCallLedger::AddQueued(const IncomingCall& aIncoming, TimePoint aNow)
{
  CallRecord record;
  record.m_idempotent = aIncoming.m_idempotent;
  record.m_time = aIncoming.m_deadline;
  if (!aIncoming.m_idempotent) {
    record.m_time = std::min(aIncoming.m_deadline,
                             aNow + (m_limits.m_maxCallAge - aIncoming.m_age));
  }
  m_calls.emplace(aIncoming.m_call, record);
}

StartResult
InMemoryCallLedger::Start(const CallId& aCall, TimePoint aNow)
{
  const auto found = m_calls.find(aCall);
  if (found == m_calls.end()) {
    return { false, ResultCode::ExpiredBeforeRun };
  }
  if (found->second.m_state != CallState::Queued) {
    return { false, found->second.m_code };
  }
  if (aNow >= found->second.m_time) {
    MarkRefused(found, ResultCode::ExpiredBeforeRun, aNow);
    return { false, ResultCode::ExpiredBeforeRun };
  }
  found->second.m_state = CallState::Running;
  return { true, ResultCode::Ok };
}

bool
InMemoryCallLedger::Refuse(const CallId& aCall,
                           ResultCode aCode,
                           TimePoint aNow)
{
  const auto found = m_calls.find(aCall);
  if (found == m_calls.end() || found->second.m_state != CallState::Queued) {
    return false;
  }
  MarkRefused(found, aCode, aNow);
  return true;
}

void
InMemoryCallLedger::Finish(const CallId& aCall,
                           CallOutcome aOutcome,
                           TimePoint aNow)
{
  const auto found = m_calls.find(aCall);
  if (found == m_calls.end() || found->second.m_state != CallState::Running) {
    return;
  }
  switch (aOutcome) {
    case CallOutcome::Shed:
      MarkRefused(found, ResultCode::TargetShed, aNow);
      return;
    case CallOutcome::Unsent:
      MarkRefused(found, ResultCode::TargetUnreachable, aNow);
      return;
    case CallOutcome::Completed:
      MarkEnded(found, CallState::Completed, aNow);
      return;
    case CallOutcome::Broken:
      MarkEnded(found, CallState::Broken, aNow);
      return;
  }
}

void
InMemoryCallLedger::MarkRefused(Calls::iterator aCall,
                                ResultCode aCode,
                                TimePoint aNow)
{
  if (aCall->second.m_idempotent) {
    m_calls.erase(aCall);
    return;
  }
  aCall->second.m_state = CallState::Refused;
  aCall->second.m_code = aCode;
  aCall->second.m_time = aNow;
  m_refusedCalls.push_back({ aNow, aCall->first });
  // The record of a refused call only guards against a second copy of its
  // frame, which a link never delivers within an exchange. The oldest may be
  // dropped.
  if (m_refusedCalls.size() > m_limits.m_maxRefused) {
    m_calls.erase(m_refusedCalls.front().m_call);
    m_refusedCalls.pop_front();
  }
}

void
InMemoryCallLedger::MarkEnded(Calls::iterator aCall,
                              CallState aState,
                              TimePoint aNow)
{
  if (aCall->second.m_idempotent) {
    m_calls.erase(aCall);
    return;
  }
  aCall->second.m_state = aState;
  aCall->second.m_time = aNow;
  m_endedCalls.push_back({ aNow, aCall->first });
}

ResolveReply
InMemoryCallLedger::Resolve(const ResolveRequest& aRequest, TimePoint aNow)
{
  RemoveExpired(aNow);
  ResolveReply reply;
  if (aRequest.m_incarnation != m_self.m_incarnation) {
    return reply;
  }
  const auto found = m_calls.find(aRequest.m_call);
  if (found == m_calls.end()) {
    return AddTombstone(aRequest, aNow);
  }
  if (found->second.m_state == CallState::Queued && aRequest.m_withdraw &&
      !found->second.m_idempotent) {
    MarkRefused(found, ResultCode::ExpiredBeforeRun, aNow);
    reply.m_withdrawn = true;
  }
  reply.m_state = found->second.m_state;
  reply.m_code = found->second.m_code;
  return reply;
}

ResolveReply
InMemoryCallLedger::AddTombstone(const ResolveRequest& aRequest, TimePoint aNow)
{
  ResolveReply reply;
  // The record of an older call may have expired. Without room for a tombstone,
  // the ledger could not refuse the call when it arrives.
  const size_t maxRecords = m_limits.m_maxCalls + 2 * m_limits.m_maxRefused;
  if (aRequest.m_age >= m_limits.m_retention || m_calls.size() >= maxRecords) {
    return reply;
  }
  CallRecord tombstone;
  tombstone.m_state = CallState::NeverReceived;
  tombstone.m_code = ResultCode::ExpiredBeforeRun;
  tombstone.m_time = aNow;
  m_calls.emplace(aRequest.m_call, tombstone);
  m_endedCalls.push_back({ aNow, aRequest.m_call });
  reply.m_state = CallState::NeverReceived;
  reply.m_code = tombstone.m_code;
  return reply;
}

void
InMemoryCallLedger::RemoveExpired(TimePoint aNow)
{
  const TimePoint expiryLimit = aNow - m_limits.m_retention;
  while (!m_endedCalls.empty() && m_endedCalls.front().m_time <= expiryLimit) {
    m_calls.erase(m_endedCalls.front().m_call);
    m_endedCalls.pop_front();
  }
  while (!m_refusedCalls.empty() &&
         m_refusedCalls.front().m_time <= expiryLimit) {
    m_calls.erase(m_refusedCalls.front().m_call);
    m_refusedCalls.pop_front();
  }
}

} // namespace

std::unique_ptr<CallLedger>
MakeCallLedger(NodeInstance aSelf, IdempotencyLimits aLimits)
{
  return std::make_unique<InMemoryCallLedger>(std::move(aSelf), aLimits);
}

} // namespace sassafrasquay
