// The service "gateway": admission, then the call to the own target.
#include "logging/logging.h"
#include "metrics/metrics.h"
#include "quarantine/quarantine.h"
#include "targets/target_reports.h"
#include "upstream/target_probes.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace sassafrasquay {

namespace {

constexpr uint32_t kMaxSlots = 4096;

// A queued call that waits for its verdict.
struct Waiter
{
  Event m_event;
  std::optional<QueuedCallVerdict> m_verdict;

  explicit Waiter(const asio::any_io_executor& aExecutor)
    : m_event(aExecutor)
  {
  }
};

class Gateway
  : public Service
  , public CallHandler
  , public CallResolver
  , public TargetControl
{
public:
  explicit Gateway(UpstreamSettings aSettings)
    : m_settings(std::move(aSettings))
  {
  }

  asio::awaitable<void> Start(Kernel& aKernel) override;
  asio::awaitable<void> Stop() override;

  asio::awaitable<CallResult> Handle(const RequestHead& aHead,
                                     BodySource& aBody,
                                     ResponseSink& aAnswer) override;
  ResolveReply Resolve(const ResolveRequest& aRequest) override;

  std::error_code Announce(const TargetAnnouncement& aTarget) override;
  void Drain(std::string_view aTargetId) override;
  void SetNodeLeaving() override { m_nodeLeaving = true; }
  void MarkLost() override;
  void MarkCold() override;
  void SetColdRemaining(Duration aLeft) override;
  void SetServiceConfig(const ServiceConfig& aTraits) override;
  void ReportLoad(uint32_t aInUse, uint32_t aQueued) override;
  std::optional<TargetAnnouncement> Target() const override { return m_target; }
  LoadReport Load() const override
  {
    LoadReport report = m_admission->Report(m_clock->Now());
    report.m_slowness = m_slowness;
    report.m_incarnation = m_target ? m_target->m_incarnation : 0;
    report.m_leaving = report.m_leaving || m_nodeLeaving;
    return report;
  }
  Event& Changed() override { return *m_changed; }

private:
  friend class AdmittedCall;

  RegisterResult BeginCall(const RequestHead& aHead, TimePoint aDeadline);
  asio::awaitable<AdmissionResult> Admit(const RequestHead& aHead,
                                         TimePoint aDeadline);
  std::optional<ResultCode> CheckStart(const RequestHead& aHead);
  CallResult Refuse(ResultCode aCode) const;
  CallResult RefuseQueued(const RequestHead& aHead, ResultCode aCode);
  CallResult Unproven(const RegisterResult& aBegin) const;
  asio::awaitable<void> CheckTargetAlive(uint64_t aIncarnation);
  void RecordCrash();
  void TakeLoad(const std::optional<TargetLoad>& aLoad);
  asio::awaitable<void> FindTarget();
  asio::awaitable<void> RefreshLoad();
  asio::awaitable<void> RunProbes();
  void ArmTick();
  void Deliver(const std::vector<QueuedCallVerdict>& aEvents);
  void LogPlacement(const RequestHead& aHead, const AdmissionResult& aResult);
  asio::awaitable<void> RunTicks();

  UpstreamSettings m_settings;
  asio::any_io_executor m_executor;
  std::shared_ptr<Clock> m_clock;
  std::shared_ptr<Logger> m_logger;
  std::shared_ptr<AdmissionController> m_admission;
  std::shared_ptr<CallLedger> m_ledger;
  std::shared_ptr<Quarantine> m_quarantine;
  MetricCounter* m_crashes = nullptr;
  std::unique_ptr<TargetClient> m_client;
  std::unique_ptr<TargetProbes> m_probes;
  std::optional<TargetAnnouncement> m_target;
  AnnouncementPolicy m_leaves;
  std::unordered_map<CallId, Waiter*> m_waiting;
  std::unordered_map<CallId, RequestIdentity> m_running; // at the target now
  TimePoint m_armed = TimePoint::max(); // when the tick coroutine wakes
  std::unique_ptr<Event> m_changed;     // the target's state
  std::unique_ptr<Event> m_queued;      // a tick may be due earlier than before
  uint32_t m_slowness = 100;            // as the target last stated it
  TimePoint m_loadAt{};                 // when it did
  bool m_nodeLeaving = false;
  uint64_t m_process = 0; // counts the targets that were announced
  uint32_t m_calls = 0;
  bool m_stopping = false;
};

// Holds a slot and the ledger's record of a running call; ends both on every
// way out, also on cancellation.
class AdmittedCall
{
public:
  AdmittedCall(Gateway& aGateway, const RequestHead& aHead)
    : m_gateway(aGateway)
    , m_call(aHead.m_call)
    , m_identity(aHead.m_identity)
    , m_started(aGateway.m_clock->Now())
    , m_answered(m_started)
  {
    ++m_gateway.m_calls;
  }
  AdmittedCall(const AdmittedCall&) = delete;
  AdmittedCall& operator=(const AdmittedCall&) = delete;
  ~AdmittedCall()
  {
    const TimePoint now = m_gateway.m_clock->Now();
    const FinishedRequest outcome{ m_end, m_answered - m_started };
    m_gateway.Deliver(m_gateway.m_admission->Finish(m_call, outcome, now));
    if (m_sent) {
      EndRecords(now);
    }
    --m_gateway.m_calls;
    if (m_gateway.m_calls == 0) {
      m_gateway.m_changed->Notify();
    }
  }

  void AnswerBegan() { m_answered = m_gateway.m_clock->Now(); }
  Duration Latency() const { return m_answered - m_started; }

  RequestOutcome m_end = RequestOutcome::Cancelled; // unless set before the end
  CallOutcome m_fate = CallOutcome::Broken;         // the same
  bool m_sent = false; // the ledger has started the call

private:
  void EndRecords(TimePoint aNow)
  {
    m_gateway.m_ledger->Finish(m_call, m_fate, aNow);
    // A crash has already ended the records of what ran at the time.
    if (m_gateway.m_running.erase(m_call) > 0) {
      const bool completed = m_fate == CallOutcome::Completed;
      m_gateway.m_quarantine->OnFinished(m_identity, completed, aNow);
    }
    const bool abandoned =
      m_end == RequestOutcome::Cancelled || m_end == RequestOutcome::TimedOut;
    if (abandoned && m_gateway.m_target) {
      asio::co_spawn(
        m_gateway.m_executor,
        m_gateway.m_client->Cancel(m_gateway.m_target->m_address, m_call),
        asio::detached);
    }
  }

  Gateway& m_gateway;
  CallId m_call;
  RequestIdentity m_identity;
  TimePoint m_started;
  TimePoint m_answered;
};

asio::awaitable<void>
Gateway::Start(Kernel& aKernel)
{
  m_executor = aKernel.Executor();
  m_clock = aKernel.Find<Clock>("clock");
  m_logger = aKernel.Find<Logger>("logger");
  m_admission = aKernel.Find<AdmissionController>("admission");
  m_ledger = aKernel.Find<CallLedger>("ledger");
  m_quarantine = aKernel.Find<Quarantine>("quarantine");
  m_crashes = &aKernel.Find<Metrics>("metrics")->Counter(
    "sassafrasquay_target_crashes_total",
    "Crashes of the own target seen while requests ran.",
    {});
  m_client = MakeTargetClient(m_settings,
                              m_executor,
                              m_clock,
                              aKernel.Find<TargetDialect>("target_dialect"));
  m_changed = std::make_unique<Event>(m_executor);
  m_queued = std::make_unique<Event>(m_executor);
  asio::co_spawn(m_executor, RunTicks(), asio::detached);
  m_probes =
    std::make_unique<TargetProbes>(m_settings, m_executor, m_clock, *m_client);
  if (!m_settings.m_expectedService.empty()) {
    asio::co_spawn(m_executor, FindTarget(), asio::detached);
  }
  if (m_settings.m_loadMaxAge > Duration::zero()) {
    asio::co_spawn(m_executor, RunProbes(), asio::detached);
  }
  co_return;
}

asio::awaitable<void>
Gateway::Stop()
{
  m_stopping = true;
  m_queued->Notify();
  while (m_calls > 0) {
    co_await m_changed->Wait();
  }
  m_client->CloseIdle();
}

asio::awaitable<void>
Gateway::RunTicks()
{
  while (!m_stopping) {
    m_armed = m_admission->NextTick();
    Duration delay = Duration::max();
    if (m_armed != TimePoint::max()) {
      delay = std::max(m_armed - m_clock->Now(), Duration::zero());
    }
    const bool rearmed = co_await m_queued->WaitFor(delay);
    if (!rearmed) {
      Deliver(m_admission->Tick(m_clock->Now()));
    }
  }
}

// Wakes the tick coroutine when something is due before it would wake.
void
Gateway::ArmTick()
{
  if (m_admission->NextTick() < m_armed) {
    m_queued->Notify();
  }
}

void
Gateway::Deliver(const std::vector<QueuedCallVerdict>& aEvents)
{
  for (const QueuedCallVerdict& event : aEvents) {
    const auto found = m_waiting.find(event.m_call);
    if (found != m_waiting.end()) {
      found->second->m_verdict = event;
      found->second->m_event.Notify();
    }
  }
  ArmTick();
}

RegisterResult
Gateway::BeginCall(const RequestHead& aHead, TimePoint aDeadline)
{
  IncomingCall call;
  call.m_call = aHead.m_call;
  call.m_incarnation = aHead.m_nodeIncarnation;
  call.m_idempotent = aHead.m_idempotent;
  call.m_age = aHead.m_age;
  call.m_deadline = aDeadline;
  return m_ledger->Register(call, m_clock->Now());
}

asio::awaitable<AdmissionResult>
Gateway::Admit(const RequestHead& aHead, TimePoint aDeadline)
{
  AdmissionRequest request;
  request.m_call = aHead.m_call;
  request.m_deadline = aDeadline;
  request.m_priority = aHead.m_priority;
  request.m_class = aHead.m_routeClass;
  request.m_mayQueue = aHead.m_mayQueue;
  if (aHead.m_latencyObjective > Duration::zero()) {
    request.m_latencyObjective = m_clock->Now() + aHead.m_latencyObjective;
  }
  AdmissionResult result = m_admission->Offer(request, m_clock->Now());
  LogPlacement(aHead, result);
  if (result.m_verdict != AdmissionVerdict::Queued) {
    co_return result;
  }
  Waiter waiter(m_executor);
  // Leaves the queue on every way out; a call admitted while its coroutine is
  // being cancelled gives its slot back.
  struct Guard
  {
    Gateway& m_gateway;
    const CallId& m_call;
    Waiter& m_waiter;
    bool m_taken = false;
    ~Guard()
    {
      m_gateway.m_waiting.erase(m_call);
      if (m_taken) {
        return;
      }
      const TimePoint now = m_gateway.m_clock->Now();
      if (!m_gateway.m_admission->RemoveQueued(m_call, now) &&
          m_waiter.m_verdict && m_waiter.m_verdict->m_admitted) {
        const FinishedRequest outcome{ RequestOutcome::Cancelled,
                                       Duration::zero() };
        m_gateway.Deliver(m_gateway.m_admission->Finish(m_call, outcome, now));
      }
    }
  };
  Guard guard{ *this, aHead.m_call, waiter };
  m_waiting.emplace(aHead.m_call, &waiter);
  ArmTick();
  if (m_admission->IsBlockedBySlowness()) {
    m_queued->Notify();
  }
  while (!waiter.m_verdict) {
    co_await waiter.m_event.Wait();
  }
  guard.m_taken = true;
  result.m_verdict = waiter.m_verdict->m_admitted ? AdmissionVerdict::Admitted
                                                  : AdmissionVerdict::Refused;
  result.m_code = waiter.m_verdict->m_code;
  co_return result;
}

CallResult
Gateway::Refuse(ResultCode aCode) const
{
  CallResult result;
  result.m_code = aCode;
  result.m_run = Run::No;
  result.m_hasLoad = true;
  result.m_load = Load();
  return result;
}

// A refusal of a call that the ledger has accepted is proof only when the
// ledger confirms that the call was still queued.
CallResult
Gateway::RefuseQueued(const RequestHead& aHead, ResultCode aCode)
{
  const bool proven = m_ledger->Refuse(aHead.m_call, aCode, m_clock->Now());
  CallResult result = Refuse(aCode);
  result.m_run = proven ? Run::No : Run::Maybe;
  return result;
}

CallResult
Gateway::Unproven(const RegisterResult& aBegin) const
{
  CallResult result = Refuse(aBegin.m_code);
  if (aBegin.m_verdict != RegisterVerdict::Refused) {
    result.m_run = Run::Maybe;
  }
  if (aBegin.m_verdict == RegisterVerdict::Duplicate) {
    result.m_code = ResultCode::DuplicateInProgress;
  }
  return result;
}

// Last checks before the first byte goes to the target.
std::optional<ResultCode>
Gateway::CheckStart(const RequestHead& aHead)
{
  const TimePoint now = m_clock->Now();
  if (!m_target) {
    return ResultCode::NotReady; // lost while the call was queued
  }
  const QuarantineDecision checked = m_quarantine->Start(aHead.m_identity, now);
  if (checked.m_verdict != QuarantineVerdict::Allowed) {
    return checked.m_code;
  }
  const StartResult started = m_ledger->Start(aHead.m_call, now);
  if (!started.m_mayDispatch) {
    m_quarantine->OnFinished(aHead.m_identity, false, now);
    return started.m_code;
  }
  m_running.emplace(aHead.m_call, aHead.m_identity);
  return std::nullopt;
}

asio::awaitable<CallResult>
Gateway::Handle(const RequestHead& aHead,
                BodySource& aBody,
                ResponseSink& aAnswer)
{
  const TimePoint deadline = m_clock->Now() + aHead.m_remaining;
  const RegisterResult begun = BeginCall(aHead, deadline);
  if (begun.m_verdict != RegisterVerdict::Accepted) {
    co_return Unproven(begun);
  }
  if (!m_target || m_target->m_service != aHead.m_service) {
    co_return RefuseQueued(aHead, ResultCode::NotReady);
  }
  m_probes->OnRequest();
  co_await RefreshLoad();
  const AdmissionResult admitted = co_await Admit(aHead, deadline);
  if (admitted.m_verdict != AdmissionVerdict::Admitted) {
    co_return RefuseQueued(aHead, admitted.m_code);
  }
  AdmittedCall call(*this, aHead);
  if (const auto refused = CheckStart(aHead)) {
    co_return RefuseQueued(aHead, *refused);
  }
  call.m_sent = true;
  if (!aHead.m_body) {
    co_await aAnswer.Admitted(); // the body may follow
  }
  const TargetAnnouncement target = *m_target;
  const bool keepReading = !aHead.m_idempotent;
  const std::function<void()> answerBegan = [&call]() { call.AnswerBegan(); };
  const TargetResult sent = co_await m_client->Send(
    target, aHead, aBody, aAnswer, deadline, keepReading, answerBegan);
  call.m_end = sent.m_end;
  call.m_fate = CallOutcomeOf(sent);
  TakeLoad(sent.m_load);
  if (sent.m_code == ResultCode::WrongTarget && m_target == target) {
    MarkLost(); // until the one that has the address now reports
  } else if (sent.m_end == RequestOutcome::Broken) {
    co_await CheckTargetAlive(target.m_incarnation);
  }
  CallResult result;
  result.m_code = sent.m_code;
  result.m_run = sent.m_run;
  result.m_admitted = true;
  result.m_responseStarted = sent.m_responseStarted;
  result.m_bodyConsumed = sent.m_bodyConsumed;
  result.m_status = sent.m_status;
  result.m_latency = call.Latency();
  result.m_hasLoad = true;
  result.m_load = Load();
  co_return result;
}

// A broken connection is taken for a crash only when the target accepts no new
// one; it may have closed a single connection for reasons of its own.
asio::awaitable<void>
Gateway::CheckTargetAlive(uint64_t aIncarnation)
{
  if (!m_target || m_target->m_incarnation != aIncarnation) {
    co_return;
  }
  const Endpoint target = m_target->m_address;
  const bool accepts = co_await m_client->Accepts(target);
  const bool same = m_target && m_target->m_incarnation == aIncarnation;
  if (!accepts && same) {
    RecordCrash();
  }
}

void
Gateway::RecordCrash()
{
  std::vector<RequestIdentity> identities;
  identities.reserve(m_running.size());
  for (const auto& [call, identity] : m_running) {
    identities.push_back(identity);
  }
  m_running.clear();
  const TimePoint now = m_clock->Now();
  const CrashId crash = CrashIdOf(m_settings.m_node, m_target->m_incarnation);
  m_quarantine->OnCrash(crash, identities, now);
  m_crashes->Add();
  m_logger->Write(
    LogLevel::Error,
    "target_crashed",
    { { "incarnation", m_target->m_incarnation },
      { "in_flight", static_cast<uint64_t>(identities.size()) } });
  m_target.reset();
  m_admission->ClearTarget(now);
  m_client->CloseIdle();
  ArmTick();
  m_changed->Notify();
}

void
Gateway::LogPlacement(const RequestHead& aHead, const AdmissionResult& aResult)
{
  if (!m_logger->WantsDecision()) {
    return;
  }
  static constexpr std::array<std::string_view, 3> kVerdicts = { "admitted",
                                                                 "queued",
                                                                 "refused" };
  const bool refused = aResult.m_verdict == AdmissionVerdict::Refused;
  const LoadReport load = Load();
  m_logger->Write(
    LogLevel::Info,
    "placement",
    { { "id", aHead.m_requestId },
      { "call", ToString(aHead.m_call) },
      { "service", aHead.m_service },
      { "verdict", kVerdicts[static_cast<size_t>(aResult.m_verdict)] },
      { "reason", refused ? ResultRowFor(aResult.m_code).m_name : "capacity" },
      { "in_flight", load.m_inFlight },
      { "limit", load.m_limit },
      { "queued", load.m_queued },
      { "slowness", load.m_slowness },
      { "load_age_ms", m_clock->Now() - m_loadAt },
      { "cold", load.m_cold },
      { "remaining_ms", aHead.m_remaining } });
}

ResolveReply
Gateway::Resolve(const ResolveRequest& aRequest)
{
  const TimePoint now = m_clock->Now();
  ResolveReply reply = m_ledger->Resolve(aRequest, now);
  const auto waiting = m_waiting.find(aRequest.m_call);
  if (reply.m_withdrawn && waiting != m_waiting.end()) {
    // Its coroutine ends as for a refusal; the ledger forbids the call.
    m_admission->RemoveQueued(aRequest.m_call, now);
    waiting->second->m_verdict =
      QueuedCallVerdict{ aRequest.m_call, false, reply.m_code };
    waiting->second->m_event.Notify();
  }
  ArmTick();
  return reply;
}

std::error_code
Gateway::Announce(const TargetAnnouncement& aTarget)
{
  const bool valid = !aTarget.m_service.empty() && aTarget.m_slots > 0 &&
                     aTarget.m_slots <= kMaxSlots &&
                     aTarget.m_address.m_port != 0;
  if (!valid) {
    return ResultCode::InvalidHeader;
  }
  if (m_target == aTarget) {
    return {};
  }
  if (!m_target && !m_leaves.ReportMayAnnounce(aTarget.m_id)) {
    m_logger->Write(
      LogLevel::Info, "target_doubted", { { "target", aTarget.m_id } });
    return {};
  }
  const bool completes = m_target && m_target->m_id == aTarget.m_id &&
                         m_target->m_incarnation == kUnknownIncarnation;
  m_target = aTarget;
  if (!completes) {
    ++m_process;
  }
  m_admission->SetTarget(aTarget.m_slots, m_process, m_clock->Now());
  ArmTick();
  m_logger->Write(LogLevel::Info,
                  "target_announced",
                  { { "service", aTarget.m_service },
                    { "address", ToString(aTarget.m_address) },
                    { "slots", aTarget.m_slots },
                    { "incarnation", aTarget.m_incarnation } });
  m_changed->Notify();
  return {};
}

void
Gateway::Drain(std::string_view aTargetId)
{
  if (!aTargetId.empty()) {
    m_leaves.OnLeave(aTargetId);
  }
  if (!m_target || (!aTargetId.empty() && m_target->m_id != aTargetId)) {
    return;
  }
  const bool before = m_admission->Report(m_clock->Now()).m_leaving;
  m_admission->SetLeaving(true, m_clock->Now());
  ArmTick();
  if (!before) {
    m_logger->Write(LogLevel::Info, "target_draining", {});
    m_changed->Notify();
  }
}

void
Gateway::MarkLost()
{
  if (!m_target) {
    return;
  }
  m_logger->Write(LogLevel::Warning,
                  "target_lost",
                  { { "target", m_target->m_id },
                    { "incarnation", m_target->m_incarnation } });
  m_target.reset();
  m_admission->ClearTarget(m_clock->Now());
  ArmTick();
  m_changed->Notify();
}

void
Gateway::SetColdRemaining(Duration aLeft)
{
  const bool before = m_admission->Report(m_clock->Now()).m_cold;
  m_admission->SetColdStartRemaining(aLeft, m_clock->Now());
  ArmTick();
  if (before != (aLeft > Duration::zero())) {
    m_logger->Write(LogLevel::Info, "target_cold", { { "left_ms", aLeft } });
    m_changed->Notify();
  }
}

void
Gateway::SetServiceConfig(const ServiceConfig& aTraits)
{
  m_probes->SetPath(aTraits.m_healthPath);
  m_admission->SetColdStartRate(aTraits.m_coldRequestsPerSecond);
}

void
Gateway::TakeLoad(const std::optional<TargetLoad>& aLoad)
{
  if (!aLoad) {
    return;
  }
  m_loadAt = m_clock->Now();
  m_slowness = std::max(1U, aLoad->m_slowness);
  m_admission->SetSlowness(m_slowness, m_loadAt);
  ArmTick();
}

// Asks for the expected target after the node's start.
asio::awaitable<void>
Gateway::FindTarget()
{
  asio::steady_timer timer(m_executor);
  const TimePoint end = m_clock->Now() + m_settings.m_discoveryTime;
  while (!m_stopping && !m_target && m_clock->Now() < end) {
    const std::optional<FoundTarget> found = co_await m_probes->AskExpected();
    if (found && !m_target) {
      m_leaves.OnHealth(found->m_target.m_id, found->m_healthy);
    }
    if (found && found->m_healthy && !m_target &&
        m_leaves.HealthMayAnnounce(found->m_target.m_id)) {
      Announce(found->m_target);
      SetColdRemaining(found->m_coldStartRemaining);
      TakeLoad(found->m_load);
    }
    timer.expires_after(m_settings.m_discoveryPause);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

// Asks the target for its load when its last word is too old.
asio::awaitable<void>
Gateway::RefreshLoad()
{
  if (!m_target) {
    co_return;
  }
  const TargetAnnouncement target = *m_target;
  const std::optional<TargetLoad> load =
    co_await m_probes->AskLoad(target, m_loadAt);
  if (m_target == target) {
    TakeLoad(load);
  }
}

// Watches for the end of a spell of slowness while requests wait for it.
asio::awaitable<void>
Gateway::RunProbes()
{
  asio::steady_timer timer(m_executor);
  while (!m_stopping) {
    if (!m_admission->IsBlockedBySlowness()) {
      co_await m_queued->Wait();
      continue;
    }
    timer.expires_after(m_settings.m_loadMaxAge);
    co_await timer.async_wait(asio::use_awaitable);
    co_await RefreshLoad();
  }
}

void
Gateway::MarkCold()
{
  m_admission->EnterColdStart(m_clock->Now());
  ArmTick();
  m_logger->Write(LogLevel::Info, "target_cold", {});
  m_changed->Notify();
}

void
Gateway::ReportLoad(uint32_t aInUse, uint32_t aQueued)
{
  m_logger->Write(LogLevel::Debug,
                  "target_load",
                  { { "in_use", aInUse }, { "queued", aQueued } });
}

} // namespace

std::shared_ptr<Service>
MakeGateway(UpstreamSettings aSettings)
{
  return std::make_shared<Gateway>(std::move(aSettings));
}

} // namespace sassafrasquay
