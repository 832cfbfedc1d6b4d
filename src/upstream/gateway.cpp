// The service "gateway": admission, then the call to the local target.
#include "call/running_requests.h"
#include "logging/logging.h"
#include "metrics/metrics.h"
#include "quarantine/quarantine.h"
#include "retry/repeat_budget.h"
#include "rollout_service/rollout_service.h"
#include "targets/target_reports.h"
#include "upstream/account_metrics.h"
#include "upstream/call_queue.h"
#include "upstream/placement_log.h"
#include "upstream/target_probes.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace sassafrasquay {

namespace {

constexpr uint32_t kMaxSlots = 4096;

RepeatKind
RepeatKindOf(const RequestHead& aHead)
{
  if (aHead.m_isHedge) {
    return RepeatKind::ExtraCopy;
  }
  return aHead.m_retrySpent ? RepeatKind::Executed : RepeatKind::Rejected;
}

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
                                     ResponseSink& aResponse) override;
  ResolveReply Resolve(const ResolveRequest& aRequest) override;

  std::error_code Announce(const TargetAnnouncement& aTarget) override;
  void Drain(std::string_view aTargetId) override;
  void SetNodeLeaving() override { m_nodeLeaving = true; }
  void MarkLost() override;
  void MarkCold() override;
  void SetColdRemaining(Duration aRemaining) override;
  void SetServiceConfig(const ServiceConfig& aConfig) override;
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

  RegisterResult RegisterCall(const RequestHead& aHead, TimePoint aDeadline);
  asio::awaitable<AdmissionResult> Admit(const RequestHead& aHead,
                                         TimePoint aDeadline);
  std::optional<ResultCode> TryStart(const RequestHead& aHead);
  CallResult MakeRefusal(ResultCode aCode) const;
  CallResult RefuseQueued(const RequestHead& aHead,
                          ResultCode aCode,
                          Duration aRetryAfter = {});
  CallResult MakeLedgerRefusal(const RegisterResult& aRegistered) const;
  asio::awaitable<void> CheckTargetAlive(uint64_t aIncarnation);
  void RecordCrash();
  void ApplyLoad(const std::optional<TargetLoad>& aLoad);
  asio::awaitable<void> DiscoverTarget();
  void OnDiscovered(const DiscoveredTarget& aFound);
  asio::awaitable<void> RefreshLoad();
  asio::awaitable<void> RunLoadProbes();

  UpstreamSettings m_settings;
  asio::any_io_executor m_executor;
  std::shared_ptr<Clock> m_clock;
  std::shared_ptr<Logger> m_logger;
  std::shared_ptr<AdmissionController> m_admission;
  std::shared_ptr<CallLedger> m_ledger;
  std::shared_ptr<Quarantine> m_quarantine;
  std::shared_ptr<RepeatBudget> m_repeatBudget;
  std::shared_ptr<RunningRequests> m_running;
  std::shared_ptr<Rollouts> m_rollouts;
  MetricCounter* m_crashCounter = nullptr;
  std::unique_ptr<AccountMetrics> m_accountMetrics;
  std::unique_ptr<TargetClient> m_client;
  std::unique_ptr<TargetProbes> m_probes;
  std::optional<TargetAnnouncement> m_target;
  std::optional<AnnouncementPolicy> m_announcementPolicy;
  std::optional<TargetAnnouncement> m_deferred; // until its health probe passes
  std::unique_ptr<CallQueue> m_queue;
  std::unordered_map<CallId, RequestIdentity> m_runningCalls;
  std::unique_ptr<Event> m_changed; // notified as described at Changed()
  uint32_t m_slowness = 100;        // as last reported by the target
  TimePoint m_loadTime{};           // of that report
  bool m_nodeLeaving = false;
  uint64_t m_targetCount = 0; // announced so far
  uint32_t m_activeCalls = 0;
  bool m_stopping = false;
};

// Releases a call's slot and ledger record on every exit, also on cancellation.
class AdmittedCall
{
public:
  AdmittedCall(Gateway& aGateway, const RequestHead& aHead)
    : m_gateway(aGateway)
    , m_call(aHead.m_call)
    , m_identity(aHead.m_identity)
    , m_requestId(aHead.m_requestId)
    , m_repeat(aHead.m_repeat)
    , m_startTime(aGateway.m_clock->Now())
    , m_responseTime(m_startTime)
  {
    ++m_gateway.m_activeCalls;
  }
  AdmittedCall(const AdmittedCall&) = delete;
  AdmittedCall& operator=(const AdmittedCall&) = delete;
  ~AdmittedCall()
  {
    const TimePoint now = m_gateway.m_clock->Now();
    const FinishedRequest finished{ m_outcome, m_responseTime - m_startTime };
    m_gateway.m_queue->Finish(m_call, finished);
    if (m_sent) {
      FinishRecords(now);
    }
    --m_gateway.m_activeCalls;
    if (m_gateway.m_activeCalls == 0) {
      m_gateway.m_changed->Notify();
    }
  }

  void OnResponse() { m_responseTime = m_gateway.m_clock->Now(); }
  Duration Latency() const { return m_responseTime - m_startTime; }

  // The default outcomes apply when the coroutine is cancelled.
  RequestOutcome m_outcome = RequestOutcome::Cancelled;
  CallOutcome m_callOutcome = CallOutcome::Broken;
  bool m_sent = false; // recorded as started in the ledger

private:
  void FinishRecords(TimePoint aNow)
  {
    m_gateway.m_ledger->Finish(m_call, m_callOutcome, aNow);
    m_gateway.m_running->Remove(m_requestId);
    if (!m_repeat) {
      const bool rejected = m_callOutcome == CallOutcome::Shed ||
                            m_callOutcome == CallOutcome::Unsent;
      m_gateway.m_repeatBudget->OnFirstArrival(rejected, aNow);
    }
    // A crash has already removed the calls that were running at the time.
    if (m_gateway.m_runningCalls.erase(m_call) > 0) {
      const bool completed = m_callOutcome == CallOutcome::Completed;
      m_gateway.m_quarantine->OnFinished(m_identity, completed, aNow);
    }
    const bool abandoned = m_outcome == RequestOutcome::Cancelled ||
                           m_outcome == RequestOutcome::TimedOut;
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
  std::string m_requestId;
  bool m_repeat;
  TimePoint m_startTime;
  TimePoint m_responseTime;
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
  m_repeatBudget = aKernel.Find<RepeatBudget>("repeat_budget");
  m_running = aKernel.Find<RunningRequests>("running_requests");
  m_rollouts = aKernel.Find<Rollouts>("rollouts");
  const auto metrics = aKernel.Find<Metrics>("metrics");
  m_accountMetrics = std::make_unique<AccountMetrics>(metrics);
  m_crashCounter = &metrics->Counter(
    "sassafrasquay_target_crashes_total",
    "Crashes of the local target while requests were running.",
    {});
  m_client = MakeTargetClient(m_settings,
                              m_executor,
                              m_clock,
                              aKernel.Find<TargetDialect>("target_dialect"));
  const bool probesHealth = !m_settings.m_expectedService.empty();
  m_announcementPolicy.emplace(m_clock->Now(),
                               m_clock->WallNow(),
                               probesHealth ? m_settings.m_maxReportDelay
                                            : Duration::zero());
  m_changed = std::make_unique<Event>(m_executor);
  m_queue = std::make_unique<CallQueue>(m_executor, m_clock, m_admission);
  asio::co_spawn(m_executor, m_queue->Run(), asio::detached);
  m_probes =
    std::make_unique<TargetProbes>(m_settings, m_executor, m_clock, *m_client);
  if (probesHealth) {
    asio::co_spawn(m_executor, DiscoverTarget(), asio::detached);
  }
  if (m_settings.m_loadMaxAge > Duration::zero()) {
    asio::co_spawn(m_executor, RunLoadProbes(), asio::detached);
  }
  co_return;
}

asio::awaitable<void>
Gateway::Stop()
{
  m_stopping = true;
  m_queue->Stop();
  while (m_activeCalls > 0) {
    co_await m_changed->Wait();
  }
  m_client->CloseIdle();
}

RegisterResult
Gateway::RegisterCall(const RequestHead& aHead, TimePoint aDeadline)
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
  request.m_account = aHead.m_account.empty()
                        ? 0
                        : std::max<uint64_t>(1, StableHash(aHead.m_account));
  request.m_accountWeight = aHead.m_accountWeight;
  request.m_isSubrequest = aHead.m_isSubrequest;
  request.m_isHedge = aHead.m_isHedge;
  if (aHead.m_latencyObjective > Duration::zero()) {
    request.m_latencyObjective = m_clock->Now() + aHead.m_latencyObjective;
  }
  AdmissionResult result = m_queue->Offer(request);
  LogPlacement(*m_logger, aHead, result, Load(), m_clock->Now() - m_loadTime);
  if (result.m_verdict == AdmissionVerdict::Queued) {
    result = co_await m_queue->Wait(aHead.m_call);
  }
  m_accountMetrics->Count(aHead.m_account, aHead.m_accountWeight, result);
  co_return result;
}

CallResult
Gateway::MakeRefusal(ResultCode aCode) const
{
  CallResult result;
  result.m_code = aCode;
  result.m_executed = Executed::No;
  result.m_hasLoad = true;
  result.m_load = Load();
  return result;
}

// Refuses an accepted call; if no longer queued in the ledger, it may have run.
CallResult
Gateway::RefuseQueued(const RequestHead& aHead,
                      ResultCode aCode,
                      Duration aRetryAfter)
{
  const bool confirmed = m_ledger->Refuse(aHead.m_call, aCode, m_clock->Now());
  CallResult result = MakeRefusal(aCode);
  result.m_retryAfter = aRetryAfter;
  result.m_executed = confirmed ? Executed::No : Executed::Maybe;
  return result;
}

CallResult
Gateway::MakeLedgerRefusal(const RegisterResult& aRegistered) const
{
  CallResult result = MakeRefusal(aRegistered.m_code);
  if (aRegistered.m_verdict != RegisterVerdict::Refused) {
    result.m_executed = Executed::Maybe;
  }
  if (aRegistered.m_verdict == RegisterVerdict::Duplicate) {
    result.m_code = ResultCode::DuplicateInProgress;
  }
  return result;
}

// Checks a call before its first byte is sent to the target and records the
// start in the quarantine and the ledger. Returns nullopt when it may be sent.
std::optional<ResultCode>
Gateway::TryStart(const RequestHead& aHead)
{
  const TimePoint now = m_clock->Now();
  if (!m_target) {
    return ResultCode::NotReady; // lost while the call was queued
  }
  const QuarantineDecision result = m_quarantine->Start(aHead.m_identity, now);
  if (result.m_verdict != QuarantineVerdict::Allowed) {
    return result.m_code;
  }
  const bool withinBudget =
    !aHead.m_repeat || m_repeatBudget->TryTake(RepeatKindOf(aHead), now);
  const StartResult started = withinBudget
                                ? m_ledger->Start(aHead.m_call, now)
                                : StartResult{ false, ResultCode::RetryLimit };
  if (!started.m_mayDispatch) {
    m_quarantine->OnFinished(aHead.m_identity, false, now);
    return started.m_code;
  }
  m_runningCalls.emplace(aHead.m_call, aHead.m_identity);
  return std::nullopt;
}

asio::awaitable<CallResult>
Gateway::Handle(const RequestHead& aHead,
                BodySource& aBody,
                ResponseSink& aResponse)
{
  const TimePoint deadline = m_clock->Now() + aHead.m_remaining;
  const RegisterResult registered = RegisterCall(aHead, deadline);
  if (registered.m_verdict != RegisterVerdict::Accepted) {
    co_return MakeLedgerRefusal(registered);
  }
  if (!m_target || m_target->m_service != aHead.m_service ||
      !m_rollouts->MayServe(aHead.m_knowsRollout)) {
    co_return RefuseQueued(aHead, ResultCode::NotReady);
  }
  if (aHead.m_repeat &&
      !m_repeatBudget->HasRoom(RepeatKindOf(aHead), m_clock->Now())) {
    co_return RefuseQueued(aHead, ResultCode::RetryLimit);
  }
  m_probes->OnRequest();
  co_await RefreshLoad();
  const AdmissionResult admitted = co_await Admit(aHead, deadline);
  if (admitted.m_verdict != AdmissionVerdict::Admitted) {
    co_return RefuseQueued(aHead, admitted.m_code, admitted.m_retryAfter);
  }
  AdmittedCall call(*this, aHead);
  if (const auto refused = TryStart(aHead)) {
    co_return RefuseQueued(aHead, *refused);
  }
  call.m_sent = true;
  m_running->Add(aHead.m_requestId);
  if (!aHead.m_body) {
    co_await aResponse.Admitted(); // the body may now be sent
  }
  const TargetAnnouncement target = *m_target;
  const TimePoint sentAt = m_clock->Now();
  const bool wasCold = m_admission->Report(sentAt).m_cold;
  const bool readToEnd = !aHead.m_idempotent;
  const std::function<void()> onResponse = [&call]() { call.OnResponse(); };
  const SendResult sendResult = co_await m_client->Send(
    target, aHead, aBody, aResponse, deadline, readToEnd, onResponse);
  if (m_target == target) {
    m_rollouts->OnResult(aHead.m_routeClass,
                         EvidenceOf(sendResult),
                         m_clock->Now() - sentAt,
                         wasCold,
                         m_slowness);
  }
  call.m_outcome = sendResult.m_outcome;
  call.m_callOutcome = CallOutcomeOf(sendResult);
  ApplyLoad(sendResult.m_load);
  if (sendResult.m_code == ResultCode::WrongTarget && m_target == target) {
    MarkLost(); // until the target at this address announces itself
  } else if (sendResult.m_outcome == RequestOutcome::Broken) {
    co_await CheckTargetAlive(target.m_incarnation);
  }
  CallResult result;
  result.m_code = sendResult.m_code;
  result.m_executed = sendResult.m_executed;
  result.m_admitted = true;
  result.m_responseStarted = sendResult.m_responseStarted;
  result.m_bodyConsumed = sendResult.m_bodyConsumed;
  result.m_status = sendResult.m_status;
  result.m_latency = call.Latency();
  result.m_hasLoad = true;
  result.m_load = Load();
  co_return result;
}

// A broken connection counts as a crash only when the target accepts no new
// connection; a target may close a single connection for other reasons.
asio::awaitable<void>
Gateway::CheckTargetAlive(uint64_t aIncarnation)
{
  if (!m_target || m_target->m_incarnation != aIncarnation) {
    co_return;
  }
  const Endpoint target = m_target->m_address;
  const bool accepts = co_await m_client->AcceptsConnections(target);
  const bool sameTarget = m_target && m_target->m_incarnation == aIncarnation;
  if (!accepts && sameTarget) {
    RecordCrash();
  }
}

void
Gateway::RecordCrash()
{
  std::vector<RequestIdentity> requests;
  requests.reserve(m_runningCalls.size());
  for (const auto& [call, identity] : m_runningCalls) {
    requests.push_back(identity);
  }
  m_runningCalls.clear();
  const TimePoint now = m_clock->Now();
  const CrashId crash = CrashIdOf(m_settings.m_node, m_target->m_incarnation);
  m_quarantine->OnCrash(crash, requests, now);
  m_crashCounter->Add();
  m_logger->Write(LogLevel::Error,
                  "target_crashed",
                  { { "incarnation", m_target->m_incarnation },
                    { "in_flight", static_cast<uint64_t>(requests.size()) } });
  m_target.reset();
  m_admission->ClearTarget(now);
  m_client->CloseIdle();
  m_queue->Reschedule();
  m_changed->Notify();
}

ResolveReply
Gateway::Resolve(const ResolveRequest& aRequest)
{
  const TimePoint now = m_clock->Now();
  ResolveReply reply = m_ledger->Resolve(aRequest, now);
  if (reply.m_withdrawn) {
    // Ends its coroutine like a refusal; the ledger blocks a later start.
    m_queue->Withdraw(aRequest.m_call, reply.m_code);
  }
  m_queue->Reschedule();
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
  if (!m_target && !m_announcementPolicy->ReportMayAnnounce(
                     aTarget.m_id, aTarget.m_processStart, m_clock->Now())) {
    m_logger->Write(LogLevel::Info,
                    "target_announcement_deferred",
                    { { "target", aTarget.m_id } });
    m_deferred = aTarget;
    return {};
  }
  m_deferred.reset();
  const bool sameTarget = m_target && m_target->m_id == aTarget.m_id &&
                          m_target->m_incarnation == kUnknownIncarnation;
  m_target = aTarget;
  if (!sameTarget) {
    ++m_targetCount;
  }
  m_rollouts->SetLocalTarget(aTarget.m_service, aTarget.m_version);
  m_admission->SetTarget(aTarget.m_slots, m_targetCount, m_clock->Now());
  m_queue->Reschedule();
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
    m_announcementPolicy->OnLeave(aTargetId);
  }
  if (m_deferred && (aTargetId.empty() || m_deferred->m_id == aTargetId)) {
    m_deferred.reset();
  }
  if (!m_target || (!aTargetId.empty() && m_target->m_id != aTargetId)) {
    return;
  }
  const bool wasLeaving = m_admission->Report(m_clock->Now()).m_leaving;
  m_admission->SetLeaving(true, m_clock->Now());
  m_queue->Reschedule();
  if (!wasLeaving) {
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
  m_queue->Reschedule();
  m_changed->Notify();
}

void
Gateway::SetColdRemaining(Duration aRemaining)
{
  const bool wasCold = m_admission->Report(m_clock->Now()).m_cold;
  m_admission->SetColdStartRemaining(aRemaining, m_clock->Now());
  m_queue->Reschedule();
  if (wasCold != (aRemaining > Duration::zero())) {
    m_logger->Write(
      LogLevel::Info, "target_cold", { { "left_ms", aRemaining } });
    m_changed->Notify();
  }
}

void
Gateway::SetServiceConfig(const ServiceConfig& aConfig)
{
  m_probes->SetPath(aConfig.m_healthPath);
  m_admission->SetColdStartRate({ aConfig.m_coldRequestsPerSecond,
                                  m_settings.m_coldBurstFactor,
                                  m_settings.m_coldBurstAllowance });
}

void
Gateway::ApplyLoad(const std::optional<TargetLoad>& aLoad)
{
  if (!aLoad) {
    return;
  }
  m_loadTime = m_clock->Now();
  m_slowness = std::max(1U, aLoad->m_slowness);
  m_admission->SetSlowness(m_slowness, m_loadTime);
  m_queue->Reschedule();
}

// Probes the expected target after the node's start, while it is not announced.
asio::awaitable<void>
Gateway::DiscoverTarget()
{
  asio::steady_timer timer(m_executor);
  const TimePoint end = m_clock->Now() + m_settings.m_maxReportDelay;
  while (!m_stopping && m_clock->Now() < end) {
    if (!m_target) {
      const std::optional<DiscoveredTarget> found =
        co_await m_probes->ProbeExpectedTarget();
      if (found && !m_target) {
        OnDiscovered(*found);
      }
    }
    timer.expires_after(m_settings.m_discoveryInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void
Gateway::OnDiscovered(const DiscoveredTarget& aFound)
{
  const std::string& id = aFound.m_target.m_id;
  m_announcementPolicy->OnHealth(id, aFound.m_healthy);
  if (!aFound.m_healthy || !m_announcementPolicy->HealthMayAnnounce(id)) {
    return;
  }
  if (m_deferred && m_deferred->m_id == id) {
    const TargetAnnouncement reported = *m_deferred;
    Announce(reported);
  } else if (aFound.m_load) {
    Announce(aFound.m_target);
    SetColdRemaining(aFound.m_coldStartRemaining);
  }
  ApplyLoad(aFound.m_load);
}

// Probes the load of the target when the last report is too old.
asio::awaitable<void>
Gateway::RefreshLoad()
{
  if (!m_target) {
    co_return;
  }
  const TargetAnnouncement target = *m_target;
  const std::optional<TargetLoad> load =
    co_await m_probes->ProbeLoad(target, m_loadTime);
  if (m_target == target) {
    ApplyLoad(load);
  }
}

// Probes the load periodically while requests wait for a slow phase to end.
asio::awaitable<void>
Gateway::RunLoadProbes()
{
  asio::steady_timer timer(m_executor);
  while (!m_stopping) {
    if (!m_admission->IsBlockedBySlowness()) {
      co_await m_queue->WaitForChange();
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
  m_queue->Reschedule();
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
