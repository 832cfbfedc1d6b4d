// The service "rollout_decider": decides the roll-outs of the services for
// which this node is responsible.
#include "rollout_service/rollout_report.h"
#include "rollout_service/rollout_service.h"

#include "gossip/gossip.h"
#include "logging/logging.h"
#include "metrics/metrics.h"
#include "peer/peer.h"
#include "store/store.h"

#include <algorithm>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace sassafrasquay {

namespace {

// A member that a message is sent to.
struct Recipient
{
  NodeId m_node;
  Endpoint m_peer;
  uint64_t m_incarnation = 0; // of the node

  bool operator==(const Recipient&) const = default;
};

// What a member has confirmed.
struct Confirmed
{
  uint64_t m_incarnation = 0; // of the node
  RolloutDecision m_decision;
};

// An order that this node decides.
struct Decided
{
  RolloutOrder m_order;
  std::unique_ptr<RolloutJudge> m_judge;
  RolloutVerdict m_verdict;   // the last one
  bool m_statusKnown = false; // the store was read for this order
  // Era of the store in which its status was last seen to be up to date.
  uint64_t m_statusEra = 0;
  RolloutStep m_statusStep = RolloutStep::Canary; // in the store
  bool m_hasStatus = false;                       // in the store
  TimePoint m_nextStoreCall{}; // not before, after a failed call
  TimePoint m_nextCheck{};     // of the status, without a verdict
  std::map<NodeId, Confirmed> m_confirmed;
  std::set<NodeId> m_told; // members that are being told the decision
};

// Requests for evidence in progress.
struct Round
{
  size_t m_pending = 0;
  Event m_answered;

  explicit Round(const asio::any_io_executor& aExecutor)
    : m_answered(aExecutor)
  {
  }
};

bool
IsVerdict(RolloutStep aStep)
{
  return aStep == RolloutStep::Completed || aStep == RolloutStep::RolledBack;
}

// As written: operators see Canary and Promoting as the same state.
RolloutStep
StatusStep(RolloutStep aStep)
{
  return IsVerdict(aStep) ? aStep : RolloutStep::Canary;
}

class RolloutDecider
  : public Service
  , public RolloutStatusPage
  , public GossipListener
{
public:
  explicit RolloutDecider(RolloutServiceSettings aSettings)
    : m_settings(std::move(aSettings))
  {
  }

  std::vector<std::string> RequiredServices() const override
  {
    return { "gossip", "peer_client" };
  }
  asio::awaitable<void> Start(Kernel& aKernel) override;
  asio::awaitable<void> Stop() override;
  void OnMembershipChanges(const MembershipActions&) override
  {
    if (!m_rollouts->Table().Empty()) {
      m_rollouts->Changed().Notify();
    }
  }
  std::string StatusJson() const override { return RolloutStatusJson(Views()); }
  void UpdateMetrics() override { UpdateRolloutMetrics(Views(), *m_metrics); }

private:
  std::vector<RolloutView> Views() const;
  asio::awaitable<void> Run();
  // Returns the time of the next step; max: after a change only.
  asio::awaitable<TimePoint> Advance(std::string aService);
  Decided& DecidedFor(const Rollout& aRollout);
  bool IsDecider(const std::string& aService) const;
  std::vector<Recipient> MembersBeside(const std::string& aService) const;
  std::vector<Recipient> AllMembers() const;
  RolloutSituation SituationOf(const Decided& aDecided) const;

  asio::awaitable<void> CollectEvidence(std::string aService);
  asio::awaitable<void> AskMember(std::string aService, Recipient aMember);
  void TellMembers(const std::string& aService);
  asio::awaitable<void> TellMember(std::string aService, Recipient aMember);
  std::vector<Recipient> UnconfirmedMembers(const std::string& aService) const;
  asio::awaitable<void> UpdateStatus(std::string aService, RolloutStep aStep);
  Decided* FindDecided(const RolloutOrder& aOrder);
  void OnStatusRead(Decided& aDecided, const RolloutStatusResult& aRead);
  asio::awaitable<void> WriteStatus(RolloutOrder aOrder,
                                    RolloutStep aStep,
                                    LogPosition aEnd);
  bool NeedsStatus(const Decided& aDecided, RolloutStep aStep) const;
  void OnVerdict(Decided& aDecided, const RolloutVerdict& aVerdict);
  void LogError(const std::exception_ptr& aError) const;
  void LogStep(const Decided& aDecided, std::string_view aEvent) const;

  RolloutServiceSettings m_settings;
  asio::any_io_executor m_executor;
  std::shared_ptr<Clock> m_clock;
  std::shared_ptr<Logger> m_logger;
  std::shared_ptr<Metrics> m_metrics;
  std::shared_ptr<Rollouts> m_rollouts;
  std::shared_ptr<RolloutStatusStore> m_store;
  std::shared_ptr<PublishedConfigSource> m_config;
  std::shared_ptr<Gossip> m_gossip;
  std::shared_ptr<PeerClient> m_peers;
  std::map<std::string, Decided> m_decided; // by service
  std::unique_ptr<Event> m_ended;           // notified when a coroutine ends
  asio::cancellation_signal m_cancel;
  bool m_storeReachable = false; // at the last call
  size_t m_running = 0;          // coroutines
  bool m_stopping = false;
};

asio::awaitable<void>
RolloutDecider::Start(Kernel& aKernel)
{
  m_executor = aKernel.Executor();
  m_clock = aKernel.Find<Clock>("clock");
  m_logger = aKernel.Find<Logger>("logger");
  m_metrics = aKernel.Find<Metrics>("metrics");
  m_rollouts = aKernel.Find<Rollouts>("rollouts");
  m_store = aKernel.Find<RolloutStatusStore>("rollout_status");
  m_config = aKernel.Find<PublishedConfigSource>("operator_state");
  m_gossip = aKernel.Find<Gossip>("gossip");
  m_peers = aKernel.Find<PeerClient>("peer_client");
  m_ended = std::make_unique<Event>(m_executor);
  m_gossip->AddListener(*this);
  ++m_running;
  asio::co_spawn(m_executor,
                 Run(),
                 asio::bind_cancellation_slot(
                   m_cancel.slot(), [this](const std::exception_ptr& aError) {
                     LogError(aError);
                     --m_running;
                     m_ended->Notify();
                   }));
  co_return;
}

asio::awaitable<void>
RolloutDecider::Stop()
{
  m_stopping = true;
  m_gossip->RemoveListener(*this);
  m_cancel.emit(asio::cancellation_type::terminal);
  while (m_running > 0) {
    co_await m_ended->Wait();
  }
}

void
RolloutDecider::LogError(const std::exception_ptr& aError) const
{
  if (!aError || m_stopping) {
    return; // the cancellation of the stop
  }
  try {
    std::rethrow_exception(aError);
  } catch (const std::exception& error) {
    m_logger->Write(
      LogLevel::Error, "rollout_decider_failed", { { "error", error.what() } });
  }
}

asio::awaitable<void>
RolloutDecider::Run()
{
  while (!m_stopping) {
    TimePoint next = TimePoint::max();
    std::vector<std::string> services;
    for (const auto& [service, rollout] : m_rollouts->Table().All()) {
      services.push_back(service);
    }
    for (const std::string& service : services) {
      const TimePoint due = co_await Advance(service);
      next = std::min(next, due);
    }
    if (next == TimePoint::max()) {
      co_await m_rollouts->Changed().Wait();
    } else if (next > m_clock->Now()) {
      co_await m_rollouts->Changed().WaitFor(next - m_clock->Now());
    }
  }
}

// The state of an order that this node decides, new when the order is.
Decided&
RolloutDecider::DecidedFor(const Rollout& aRollout)
{
  Decided& decided = m_decided[aRollout.m_order.m_service];
  if (!decided.m_judge || !IsSameOrder(decided.m_order, aRollout.m_order)) {
    decided = Decided();
    decided.m_judge = MakeRolloutJudge(m_settings.m_decisions, aRollout);
    decided.m_verdict.m_step = aRollout.m_step;
    m_logger->Write(LogLevel::Info,
                    "rollout_decided_here",
                    { { "service", aRollout.m_order.m_service },
                      { "version", aRollout.m_order.m_version },
                      { "step", ToString(aRollout.m_step) } });
  }
  decided.m_order = aRollout.m_order;
  return decided;
}

std::vector<Recipient>
RolloutDecider::MembersBeside(const std::string& aService) const
{
  std::vector<Recipient> members;
  for (const Member& member : m_gossip->Members()) {
    const MemberInfo& info = member.m_record.m_info;
    const bool isReachable = member.m_state == MemberState::Alive ||
                             member.m_state == MemberState::Leaving;
    if (isReachable && info.m_service == aService) {
      members.push_back(
        { info.m_id, info.m_peer, member.m_record.m_summary.m_incarnation });
    }
  }
  return members;
}

std::vector<Recipient>
RolloutDecider::AllMembers() const
{
  std::vector<Recipient> members;
  for (const Member& member : m_gossip->Members()) {
    const MemberInfo& info = member.m_record.m_info;
    if (member.m_state != MemberState::Dead) {
      members.push_back(
        { info.m_id, info.m_peer, member.m_record.m_summary.m_incarnation });
    }
  }
  return members;
}

bool
RolloutDecider::IsDecider(const std::string& aService) const
{
  std::vector<NodeId> nodes;
  for (const Recipient& member : MembersBeside(aService)) {
    nodes.push_back(member.m_node);
  }
  return DeciderOf(aService, nodes) == m_settings.m_node;
}

RolloutSituation
RolloutDecider::SituationOf(const Decided& aDecided) const
{
  RolloutSituation situation;
  situation.m_storeReachable = m_storeReachable && aDecided.m_statusKnown;
  const std::optional<PublishedConfig> config = m_config->CurrentConfig();
  for (const Member& member : m_gossip->Members()) {
    const TargetInfo info = ToTargetInfo(member.m_record);
    const bool isOut = config && std::binary_search(config->m_zonesOut.begin(),
                                                    config->m_zonesOut.end(),
                                                    info.m_zone);
    const bool isUsable = member.m_state == MemberState::Alive &&
                          !info.m_leaving && !isOut && !info.m_version.empty();
    if (!isUsable || info.m_service != aDecided.m_order.m_service) {
      continue;
    }
    if (info.m_version == aDecided.m_order.m_version) {
      ++situation.m_newTargets;
    } else {
      ++situation.m_oldTargets;
    }
  }
  return situation;
}

asio::awaitable<TimePoint>
RolloutDecider::Advance(std::string aService)
{
  if (!IsDecider(aService)) {
    m_decided.erase(aService); // another node continues with its own judge
    co_return TimePoint::max();
  }
  DecidedFor(*m_rollouts->Table().Find(aService));
  const Rollout* rollout = m_rollouts->Table().Find(aService);
  // An earlier verdict counts, so it is read before anything is decided.
  const Decided& known = m_decided[aService];
  const bool isCheckDue =
    !rollout->IsFinal() && m_clock->Now() >= known.m_nextCheck;
  if (!known.m_statusKnown || isCheckDue) {
    co_await UpdateStatus(aService, rollout->m_step);
    rollout = m_rollouts->Table().Find(aService);
  }
  if (!rollout->IsFinal()) {
    co_await CollectEvidence(aService);
    rollout = m_rollouts->Table().Find(aService);
    Decided& decided = DecidedFor(*rollout);
    const RolloutVerdict verdict =
      decided.m_judge->Judge(*rollout, SituationOf(decided), m_clock->Now());
    OnVerdict(decided, verdict);
    if (verdict.m_step == RolloutStep::Completed) {
      co_await UpdateStatus(aService, RolloutStep::Completed);
    }
  }
  TellMembers(aService);
  rollout = m_rollouts->Table().Find(aService);
  DecidedFor(*rollout);
  if (NeedsStatus(m_decided[aService], rollout->m_step)) {
    co_await UpdateStatus(aService, rollout->m_step);
    TellMembers(aService);
  }
  rollout = m_rollouts->Table().Find(aService);
  const Decided& decided = DecidedFor(*rollout);
  const bool isDone = rollout->IsFinal() &&
                      !NeedsStatus(decided, rollout->m_step) &&
                      UnconfirmedMembers(aService).empty();
  co_return isDone
    ? TimePoint::max()
    : m_clock->Now() + (rollout->IsFinal() ? m_settings.m_retryInterval
                                           : m_settings.m_pollInterval);
}

//-----------------------------------------------------------------------------
// Evidence and verdict
//-----------------------------------------------------------------------------

// Asks all nodes beside targets of the service. A reply that arrives later than
// the time-out counts in the next round.
asio::awaitable<void>
RolloutDecider::CollectEvidence(std::string aService)
{
  const auto round = std::make_shared<Round>(m_executor);
  for (const Recipient& member : MembersBeside(aService)) {
    ++round->m_pending;
    ++m_running;
    asio::co_spawn(m_executor,
                   AskMember(aService, member),
                   [this, round](const std::exception_ptr&) {
                     --round->m_pending;
                     round->m_answered.Notify();
                     --m_running;
                     m_ended->Notify();
                   });
  }
  const TimePoint end = m_clock->Now() + m_settings.m_queryTimeout;
  while (round->m_pending > 0 && m_clock->Now() < end) {
    co_await round->m_answered.WaitFor(end - m_clock->Now());
  }
}

asio::awaitable<void>
RolloutDecider::AskMember(std::string aService, Recipient aMember)
{
  const Rollout* rollout = m_rollouts->Table().Find(aService);
  RolloutEvidenceReply reply;
  const RolloutEvidenceRequest request{ rollout->Decision() };
  if (aMember.m_node == m_settings.m_node) {
    reply = m_rollouts->OnEvidenceRequest(request);
  } else {
    FrameContent content = request;
    const std::optional<PeerResponse> response = co_await m_peers->Query(
      aMember.m_peer, std::move(content), m_settings.m_queryTimeout);
    const auto* received =
      response ? std::get_if<RolloutEvidenceReply>(&response->m_content)
               : nullptr;
    if (received == nullptr) {
      co_return;
    }
    reply = *received;
  }
  m_rollouts->Decide(reply.m_decision);
  const auto decided = m_decided.find(aService);
  if (decided == m_decided.end()) {
    co_return;
  }
  decided->second.m_confirmed[aMember.m_node] = { aMember.m_incarnation,
                                                  reply.m_decision };
  if (reply.m_evidence) {
    reply.m_evidence->m_node = aMember.m_node;
    decided->second.m_judge->OnEvidence(*reply.m_evidence, m_clock->Now());
  }
}

void
RolloutDecider::OnVerdict(Decided& aDecided, const RolloutVerdict& aVerdict)
{
  const bool isNew = aVerdict.m_step != aDecided.m_verdict.m_step ||
                     aVerdict.m_round != aDecided.m_verdict.m_round ||
                     aVerdict.m_reason != aDecided.m_verdict.m_reason;
  aDecided.m_verdict = aVerdict;
  if (isNew) {
    LogStep(aDecided, "rollout_step");
  }
  RolloutDecision decision;
  decision.m_service = aDecided.m_order.m_service;
  decision.m_version = aDecided.m_order.m_version;
  decision.m_position = aDecided.m_order.m_position;
  decision.m_round = aVerdict.m_round;
  decision.m_step = aVerdict.m_step;
  // The operators stop the old targets at Completed, so it takes effect when it
  // is in their log. RolledBack only limits, and takes effect at once.
  if (decision.m_step == RolloutStep::Completed) {
    decision.m_step = RolloutStep::Promoting;
  }
  m_rollouts->Decide(decision);
}

void
RolloutDecider::LogStep(const Decided& aDecided, std::string_view aEvent) const
{
  const RolloutVerdict& verdict = aDecided.m_verdict;
  m_logger->Write(verdict.m_step == RolloutStep::RolledBack ? LogLevel::Warning
                                                            : LogLevel::Info,
                  aEvent,
                  { { "service", aDecided.m_order.m_service },
                    { "version", aDecided.m_order.m_version },
                    { "step", ToString(verdict.m_step) },
                    { "reason", ToString(verdict.m_reason) },
                    { "round", verdict.m_round },
                    { "evidence", verdict.m_evidence },
                    { "route_class",
                      static_cast<uint64_t>(verdict.m_routeClass.value_or(0)) },
                    { "new_requests", verdict.m_new.m_requests },
                    { "new_failures", verdict.m_new.m_failures },
                    { "new_latency_ms", verdict.m_new.m_meanLatency },
                    { "old_requests", verdict.m_old.m_requests },
                    { "old_failures", verdict.m_old.m_failures },
                    { "old_latency_ms", verdict.m_old.m_meanLatency } });
}

//-----------------------------------------------------------------------------
// Members
//-----------------------------------------------------------------------------

std::vector<Recipient>
RolloutDecider::UnconfirmedMembers(const std::string& aService) const
{
  std::vector<Recipient> unconfirmed;
  const auto decided = m_decided.find(aService);
  const Rollout* rollout = m_rollouts->Table().Find(aService);
  if (decided == m_decided.end() || rollout == nullptr) {
    return unconfirmed;
  }
  for (const Recipient& member : AllMembers()) {
    const auto known = decided->second.m_confirmed.find(member.m_node);
    const bool isConfirmed =
      member.m_node == m_settings.m_node ||
      (known != decided->second.m_confirmed.end() &&
       known->second.m_incarnation == member.m_incarnation &&
       known->second.m_decision.m_version == rollout->m_order.m_version &&
       known->second.m_decision.m_step == rollout->m_step &&
       known->second.m_decision.m_round == rollout->m_round &&
       known->second.m_decision.m_stored == rollout->m_stored);
    if (!isConfirmed) {
      unconfirmed.push_back(member);
    }
  }
  return unconfirmed;
}

// Starts to tell the decision to the members that do not have it. Does not wait
// for them: one that does not respond must not delay the next round.
void
RolloutDecider::TellMembers(const std::string& aService)
{
  for (const Recipient& member : UnconfirmedMembers(aService)) {
    if (!m_decided[aService].m_told.insert(member.m_node).second) {
      continue; // in progress
    }
    ++m_running;
    asio::co_spawn(m_executor,
                   TellMember(aService, member),
                   [this](const std::exception_ptr&) {
                     --m_running;
                     m_ended->Notify();
                   });
  }
}

asio::awaitable<void>
RolloutDecider::TellMember(std::string aService, Recipient aMember)
{
  const Rollout* rollout = m_rollouts->Table().Find(aService);
  FrameContent request = RolloutDecisionFrame{ rollout->Decision() };
  const std::optional<PeerResponse> response = co_await m_peers->Query(
    aMember.m_peer, std::move(request), m_settings.m_queryTimeout);
  const auto* reply =
    response ? std::get_if<RolloutDecisionFrame>(&response->m_content)
             : nullptr;
  const auto decided = m_decided.find(aService);
  if (decided != m_decided.end()) {
    decided->second.m_told.erase(aMember.m_node);
  }
  if (reply == nullptr) {
    co_return;
  }
  if (decided != m_decided.end()) {
    decided->second.m_confirmed[aMember.m_node] = { aMember.m_incarnation,
                                                    reply->m_decision };
  }
  m_rollouts->Decide(reply->m_decision);
}

//-----------------------------------------------------------------------------
// Status
//-----------------------------------------------------------------------------

// The status has not been written, or the store may have lost it in a later
// era.
bool
RolloutDecider::NeedsStatus(const Decided& aDecided, RolloutStep aStep) const
{
  const std::optional<PublishedConfig> config = m_config->CurrentConfig();
  const bool mayBeLost =
    config && config->m_position.m_era > aDecided.m_statusEra;
  return !aDecided.m_hasStatus || mayBeLost ||
         aDecided.m_statusStep != StatusStep(aStep);
}

// Returns nullptr when another node decides now, or another order is in force.
Decided*
RolloutDecider::FindDecided(const RolloutOrder& aOrder)
{
  const auto found = m_decided.find(aOrder.m_service);
  return found != m_decided.end() && IsSameOrder(found->second.m_order, aOrder)
           ? &found->second
           : nullptr;
}

// Writes the status unless the store has a verdict about the order, which then
// counts. A write whose outcome is unknown is resolved by reading. Without the
// store, nothing changes, and the next call tries again.
asio::awaitable<void>
RolloutDecider::UpdateStatus(std::string aService, RolloutStep aStep)
{
  if (m_clock->Now() < m_decided[aService].m_nextStoreCall) {
    co_return;
  }
  const RolloutOrder order = m_decided[aService].m_order;
  const RolloutStatusResult read =
    co_await m_store->Read(aService, m_settings.m_storeTimeout);
  m_storeReachable = !read.m_error;
  Decided* decided = FindDecided(order);
  if (decided == nullptr) {
    co_return;
  }
  OnStatusRead(*decided, read);
  const bool isUpToDate =
    decided->m_hasStatus && (IsVerdict(decided->m_statusStep) ||
                             decided->m_statusStep == StatusStep(aStep));
  if (!read.m_error && !isUpToDate) {
    co_await WriteStatus(order, StatusStep(aStep), read.m_end);
    decided = FindDecided(order);
  }
  if (decided != nullptr && decided->m_hasStatus &&
      IsVerdict(decided->m_statusStep)) {
    RolloutDecision decision;
    decision.m_service = aService;
    decision.m_version = order.m_version;
    decision.m_position = order.m_position;
    decision.m_step = decided->m_statusStep;
    decision.m_stored = true;
    m_rollouts->Decide(decision);
  }
}

void
RolloutDecider::OnStatusRead(Decided& aDecided,
                             const RolloutStatusResult& aRead)
{
  const TimePoint now = m_clock->Now();
  aDecided.m_nextCheck = now + m_settings.m_storeCheckInterval;
  aDecided.m_nextStoreCall =
    aRead.m_error ? now + m_settings.m_retryInterval : now;
  if (aRead.m_error) {
    return;
  }
  aDecided.m_statusKnown = true;
  aDecided.m_statusEra = aRead.m_end.m_era;
  const RolloutOrder& order = aDecided.m_order;
  const std::optional<RolloutStatus>& status = aRead.m_status;
  aDecided.m_hasStatus = status && status->m_version == order.m_version &&
                         IsSameOrder(status->m_order, order.m_position);
  aDecided.m_statusStep =
    aDecided.m_hasStatus ? status->m_step : RolloutStep::Canary;
}

asio::awaitable<void>
RolloutDecider::WriteStatus(RolloutOrder aOrder,
                            RolloutStep aStep,
                            LogPosition aEnd)
{
  RolloutStatus status;
  status.m_service = aOrder.m_service;
  status.m_version = aOrder.m_version;
  status.m_order = aOrder.m_position;
  status.m_step = aStep;
  const std::error_code error =
    co_await m_store->Write(status, aEnd, m_settings.m_storeTimeout);
  m_logger->Write(error ? LogLevel::Warning : LogLevel::Info,
                  error ? "rollout_status_not_written"
                        : "rollout_status_written",
                  { { "service", aOrder.m_service },
                    { "version", aOrder.m_version },
                    { "step", ToString(aStep) },
                    { "error", error.message() } });
  Decided* decided = FindDecided(aOrder);
  if (decided == nullptr) {
    co_return;
  }
  if (error) {
    decided->m_nextStoreCall = m_clock->Now() + m_settings.m_retryInterval;
    co_return;
  }
  decided->m_hasStatus = true;
  decided->m_statusStep = aStep;
}

//-----------------------------------------------------------------------------
// Status page and metrics
//-----------------------------------------------------------------------------

std::vector<RolloutView>
RolloutDecider::Views() const
{
  std::vector<RolloutView> views;
  for (const auto& [service, rollout] : m_rollouts->Table().All()) {
    RolloutView view{ rollout, m_rollouts->Share(service), std::nullopt };
    const auto decided = m_decided.find(service);
    if (decided != m_decided.end()) {
      view.m_verdict = decided->second.m_verdict;
    }
    views.push_back(std::move(view));
  }
  return views;
}

} // namespace

std::shared_ptr<Service>
MakeRolloutDecider(RolloutServiceSettings aSettings)
{
  return std::make_shared<RolloutDecider>(std::move(aSettings));
}

} // namespace sassafrasquay
