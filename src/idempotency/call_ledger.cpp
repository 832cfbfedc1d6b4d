// Ledger of the calls that reached this node for its target.
#include "idempotency/idempotency.h"

#include <algorithm>
#include <deque>
#include <unordered_map>

namespace sassafrasquay {

namespace {

struct Record
{
  TimePoint m_time; // queued: latest start; ended: the end
  ResultCode m_code = ResultCode::Ok;
  CallState m_state = CallState::Queued;
  bool m_idempotent = false;
};

struct Ended
{
  TimePoint m_at;
  CallId m_call;
};

class MemoryCallLedger : public CallLedger
{
public:
  MemoryCallLedger(NodeInstance aSelf, IdempotencyLimits aLimits)
    : m_self(std::move(aSelf))
    , m_limits(aLimits)
  {
  }

  RegisterResult Register(const IncomingCall& aHead, TimePoint aNow) override;
  StartResult Start(const CallId& aCall, TimePoint aNow) override;
  bool Refuse(const CallId& aCall, ResultCode aCode, TimePoint aNow) override;
  void Finish(const CallId& aCall, CallOutcome aEnd, TimePoint aNow) override;
  ResolveReply Resolve(const ResolveRequest& aRequest, TimePoint aNow) override;
  size_t Size() const override { return m_calls.size(); }

private:
  using Calls = std::unordered_map<CallId, Record>;

  RegisterResult Known(const Record& aRecord) const;
  RegisterResult RefuseNew(const IncomingCall& aHead,
                           ResultCode aCode,
                           TimePoint);
  void Accept(const IncomingCall& aHead, TimePoint aNow);
  void MarkNotRun(Calls::iterator aCall, ResultCode aCode, TimePoint aNow);
  void MarkEnded(Calls::iterator aCall, CallState aState, TimePoint aNow);
  ResolveReply LeaveTombstone(const ResolveRequest& aRequest, TimePoint aNow);
  void Expire(TimePoint aNow);

  NodeInstance m_self;
  IdempotencyLimits m_limits;
  Calls m_calls;
  std::deque<Ended> m_ended; // may have run, and tombstones
  std::deque<Ended> m_refused;
};

RegisterResult
MemoryCallLedger::Register(const IncomingCall& aHead, TimePoint aNow)
{
  Expire(aNow);
  if (aHead.m_incarnation != m_self.m_incarnation) {
    return { RegisterVerdict::Unproven, ResultCode::PeerLost };
  }
  const auto known = m_calls.find(aHead.m_call);
  if (known != m_calls.end()) {
    return Known(known->second);
  }
  if (aHead.m_idempotent) {
    Accept(aHead, aNow);
    return { RegisterVerdict::Accepted, ResultCode::Ok };
  }
  // Its record may have expired already, so a refusal would prove nothing.
  if (aHead.m_age >= m_limits.m_retention) {
    return { RegisterVerdict::Unproven, ResultCode::PeerLost };
  }
  if (aHead.m_age >= m_limits.m_maxCallAge) {
    return RefuseNew(aHead, ResultCode::ExpiredBeforeRun, aNow);
  }
  // At the bound new work is refused; forgetting a record would turn a later
  // "not run" into a guess.
  if (m_calls.size() - m_refused.size() >= m_limits.m_maxCalls) {
    return RefuseNew(aHead, ResultCode::Overloaded, aNow);
  }
  Accept(aHead, aNow);
  return { RegisterVerdict::Accepted, ResultCode::Ok };
}

RegisterResult
MemoryCallLedger::Known(const Record& aRecord) const
{
  if (ProvesNotRun(aRecord.m_state)) {
    return { RegisterVerdict::Refused, aRecord.m_code };
  }
  return { RegisterVerdict::Duplicate, ResultCode::Ok };
}

RegisterResult
MemoryCallLedger::RefuseNew(const IncomingCall& aHead,
                            ResultCode aCode,
                            TimePoint aNow)
{
  const auto added = m_calls.emplace(aHead.m_call, Record{}).first;
  MarkNotRun(added, aCode, aNow);
  return { RegisterVerdict::Refused, aCode };
}

void
MemoryCallLedger::Accept(const IncomingCall& aHead, TimePoint aNow)
{
  Record record;
  record.m_idempotent = aHead.m_idempotent;
  record.m_time = aHead.m_deadline;
  if (!aHead.m_idempotent) {
    record.m_time =
      std::min(aHead.m_deadline, aNow + (m_limits.m_maxCallAge - aHead.m_age));
  }
  m_calls.emplace(aHead.m_call, record);
}

StartResult
MemoryCallLedger::Start(const CallId& aCall, TimePoint aNow)
{
  const auto found = m_calls.find(aCall);
  if (found == m_calls.end()) {
    return { false, ResultCode::ExpiredBeforeRun };
  }
  if (found->second.m_state != CallState::Queued) {
    return { false, found->second.m_code };
  }
  if (aNow >= found->second.m_time) {
    MarkNotRun(found, ResultCode::ExpiredBeforeRun, aNow);
    return { false, ResultCode::ExpiredBeforeRun };
  }
  found->second.m_state = CallState::Running;
  return { true, ResultCode::Ok };
}

bool
MemoryCallLedger::Refuse(const CallId& aCall, ResultCode aCode, TimePoint aNow)
{
  const auto found = m_calls.find(aCall);
  if (found == m_calls.end() || found->second.m_state != CallState::Queued) {
    return false;
  }
  MarkNotRun(found, aCode, aNow);
  return true;
}

void
MemoryCallLedger::Finish(const CallId& aCall, CallOutcome aEnd, TimePoint aNow)
{
  const auto found = m_calls.find(aCall);
  if (found == m_calls.end() || found->second.m_state != CallState::Running) {
    return;
  }
  switch (aEnd) {
    case CallOutcome::Shed:
      MarkNotRun(found, ResultCode::TargetShed, aNow);
      return;
    case CallOutcome::Unsent:
      MarkNotRun(found, ResultCode::TargetUnreachable, aNow);
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
MemoryCallLedger::MarkNotRun(Calls::iterator aCall,
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
  m_refused.push_back({ aNow, aCall->first });
  // A refusal's record only guards against the same frame arriving again,
  // which the link excludes within an exchange; the oldest may go.
  if (m_refused.size() > m_limits.m_maxRefused) {
    m_calls.erase(m_refused.front().m_call);
    m_refused.pop_front();
  }
}

void
MemoryCallLedger::MarkEnded(Calls::iterator aCall,
                            CallState aState,
                            TimePoint aNow)
{
  if (aCall->second.m_idempotent) {
    m_calls.erase(aCall);
    return;
  }
  aCall->second.m_state = aState;
  aCall->second.m_time = aNow;
  m_ended.push_back({ aNow, aCall->first });
}

ResolveReply
MemoryCallLedger::Resolve(const ResolveRequest& aRequest, TimePoint aNow)
{
  Expire(aNow);
  ResolveReply reply;
  if (aRequest.m_incarnation != m_self.m_incarnation) {
    return reply;
  }
  const auto found = m_calls.find(aRequest.m_call);
  if (found == m_calls.end()) {
    return LeaveTombstone(aRequest, aNow);
  }
  if (found->second.m_state == CallState::Queued && aRequest.m_withdraw &&
      !found->second.m_idempotent) {
    MarkNotRun(found, ResultCode::ExpiredBeforeRun, aNow);
    reply.m_withdrawn = true;
  }
  reply.m_state = found->second.m_state;
  reply.m_code = found->second.m_code;
  return reply;
}

ResolveReply
MemoryCallLedger::LeaveTombstone(const ResolveRequest& aRequest, TimePoint aNow)
{
  ResolveReply reply;
  // The record of an older call may have expired; and without room for a
  // tombstone nothing can be promised.
  const size_t bound = m_limits.m_maxCalls + 2 * m_limits.m_maxRefused;
  if (aRequest.m_age >= m_limits.m_retention || m_calls.size() >= bound) {
    return reply;
  }
  Record tombstone;
  tombstone.m_state = CallState::NeverReceived;
  tombstone.m_code = ResultCode::ExpiredBeforeRun;
  tombstone.m_time = aNow;
  m_calls.emplace(aRequest.m_call, tombstone);
  m_ended.push_back({ aNow, aRequest.m_call });
  reply.m_state = CallState::NeverReceived;
  reply.m_code = tombstone.m_code;
  return reply;
}

void
MemoryCallLedger::Expire(TimePoint aNow)
{
  const TimePoint limit = aNow - m_limits.m_retention;
  while (!m_ended.empty() && m_ended.front().m_at <= limit) {
    m_calls.erase(m_ended.front().m_call);
    m_ended.pop_front();
  }
  while (!m_refused.empty() && m_refused.front().m_at <= limit) {
    m_calls.erase(m_refused.front().m_call);
    m_refused.pop_front();
  }
}

} // namespace

std::unique_ptr<CallLedger>
MakeCallLedger(NodeInstance aSelf, IdempotencyLimits aLimits)
{
  return std::make_unique<MemoryCallLedger>(std::move(aSelf), aLimits);
}

} // namespace sassafrasquay
