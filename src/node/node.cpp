// Registers the services of a node and runs them.
#include "node/node.h"

#include "accounts/accounts.h"
#include "admission/admission.h"
#include "call/running_requests.h"
#include "control/control.h"
#include "dialect/dialect.h"
#include "dispatch/dispatch.h"
#include "explain/explain.h"
#include "frontend/frontend.h"
#include "gossip/gossip.h"
#include "hedging/hedging.h"
#include "lifecycle/lifecycle.h"
#include "logging/logging.h"
#include "metrics/metrics.h"
#include "node/config_watcher.h"
#include "node/fleet_view.h"
#include "node/node_policy.h"
#include "node/peer_settings.h"
#include "node/quarantine_gossip.h"
#include "node/seed_discovery.h"
#include "peer/peer.h"
#include "quarantine/quarantine.h"
#include "retry/repeat_budget.h"
#include "retry/retry.h"
#include "rollout_service/rollout_service.h"
#include "routing/routing.h"
#include "upstream/upstream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>

namespace sassafrasquay {

namespace {

constexpr int kExitStartFailed = 1;
constexpr int kExitForced = 3;
// See RouterSettings. Shorter differences of the expected response time are
// within the error of the estimate.
constexpr double kZoneMargin = 0.3;
// A megabyte takes about a second on the slowest links between VMs, 10 Mbit/s.
constexpr FloatSeconds kZoneByteCost{ 1e-6 };
// Used share of a deployment's allowance for cold targets.
constexpr double kUsedAllowance = 0.5;
// Longest time that a log line stays in the buffer.
constexpr Duration kLogFlushInterval = std::chrono::milliseconds(500);
// The settings file is polled, since it may change without a signal.
constexpr Duration kNodeFilePollInterval = std::chrono::seconds(2);

std::string_view
ToString(MemberState aState)
{
  switch (aState) {
    case MemberState::Alive:
      return "alive";
    case MemberState::Suspect:
      return "suspect";
    case MemberState::Leaving:
      return "leaving";
    case MemberState::Dead:
      break;
  }
  return "gone";
}

std::string
ReadText(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

class Node : public NodeStatus
{
public:
  explicit Node(const NodeSettings& aSettings)
    : m_settings(aSettings)
  {
  }

  std::string NotReadyReason() const override
  {
    if (m_shutdown.State() != ShutdownState::Running) {
      return "the node is shutting down";
    }
    if (!m_started) {
      return "the node is starting";
    }
    if (!m_policy->IsReady()) {
      return "no routes are known; none received from the store or a peer";
    }
    return m_gossip->Joined() ? "" : "the node has not joined the fleet";
  }
  std::string StatusJson() const override;
  void UpdateMetrics() override;

  void Register(Kernel& aKernel, const std::shared_ptr<Node>& aSelf);
  asio::awaitable<int> Run(Kernel& aKernel);

private:
  void RegisterDecisionServices(Kernel& aKernel);
  void RegisterPeerServices(Kernel& aKernel);
  void RegisterFrontendServices(Kernel& aKernel);
  bool HasPlatform() const { return m_settings.m_platform.m_store.has_value(); }
  void RegisterAccountServices(Kernel& aKernel);
  PolicySettings MakePolicySettings() const;
  RetrySettings MakeRetrySettings() const;
  RepeatBudgetSettings MakeRepeatBudgetSettings() const;
  RolloutServiceSettings MakeRolloutSettings() const;
  static void BlockSignals();
  asio::awaitable<void> WaitForSignal(asio::signal_set& aSignals);
  asio::awaitable<void> ForceStopOnInterrupt(asio::signal_set& aSignals);
  asio::awaitable<void> ForceStopAtLimit(Kernel& aKernel);
  asio::awaitable<void> WatchNodeFile(asio::any_io_executor aExecutor);
  asio::awaitable<void> FlushLog(asio::any_io_executor aExecutor);
  void Reload();

  NodeSettings m_settings;
  std::shared_ptr<Clock> m_clock;
  std::shared_ptr<Random> m_random;
  std::shared_ptr<Logger> m_logger;
  std::shared_ptr<Metrics> m_metrics;
  std::shared_ptr<NodePolicy> m_policy;
  std::shared_ptr<Gossip> m_gossip;
  std::shared_ptr<TargetControl> m_target;
  std::shared_ptr<AccountLimitStatus> m_accountLimits; // may be null
  std::shared_ptr<RolloutStatusPage> m_rolloutStatus;  // may be null
  uint64_t m_incarnation = 0;                          // of this process
  std::string m_nodeFileText;                          // at the last read
  NodeShutdown m_shutdown;
  bool m_started = false;
};

void
Node::Register(Kernel& aKernel, const std::shared_ptr<Node>& aSelf)
{
  m_clock = std::make_shared<SystemClock>();
  m_random = std::make_shared<SeededRandom>(EntropySeed());
  // Increases with each start unless the wall clock is set back.
  m_incarnation =
    static_cast<uint64_t>(m_clock->WallNow().time_since_epoch().count());

  LoggerSettings logger;
  logger.m_json = m_settings.m_logJson;
  ParseLogLevel(m_settings.m_logLevel, logger.m_level);
  logger.m_decisionSampleRate = m_settings.m_decisionSampleRate;
  logger.m_decisionsPerSecond = m_settings.m_decisionsPerSecond;
  m_logger = MakeLogger(logger, *m_random, *m_clock);

  aKernel.Add("clock", m_clock);
  aKernel.Add("random", m_random);
  aKernel.Add("logger", m_logger);
  m_metrics = MakeMetrics();
  aKernel.Add("metrics", m_metrics);
  aKernel.Add("node_state", aSelf);
  RegisterDecisionServices(aKernel);
  RegisterPeerServices(aKernel);
  RegisterFrontendServices(aKernel);
}

RetrySettings
Node::MakeRetrySettings() const
{
  RetrySettings retry;
  retry.m_tokenRatio =
    m_settings.m_fleetConfig.m_defaults.m_retryBudgetPercent / 100.0;
  const DeploymentLimits& limits = m_settings.m_platform.m_deploymentLimits;
  retry.m_budgetAtTarget = limits.m_maxRetryRatio > 0;
  return retry;
}

RepeatBudgetSettings
Node::MakeRepeatBudgetSettings() const
{
  const DeploymentLimits& limits = m_settings.m_platform.m_deploymentLimits;
  return RepeatBudgetFor({ limits.m_maxRetryRatio, limits.m_maxRetryBurst },
                         limits.m_retryWindow);
}

RolloutServiceSettings
Node::MakeRolloutSettings() const
{
  RolloutServiceSettings rollouts;
  rollouts.m_node = m_settings.m_node;
  rollouts.m_nodeIncarnation = m_incarnation;
  rollouts.m_maxExposure =
    m_settings.m_platform.m_deploymentLimits.m_rolloutExposure;
  return rollouts;
}

void
Node::RegisterDecisionServices(Kernel& aKernel)
{
  RouterSettings router;
  router.m_zone = m_settings.m_zone;
  router.m_region = m_settings.m_region;
  if (HasPlatform()) {
    // The node beside a new or cold target limits its load exactly.
    router.m_slowStartWindow = Duration::zero();
    router.m_zoneMargin = kZoneMargin;
    router.m_zoneByteCost = kZoneByteCost;
  }
  const NodeInstance self{ m_settings.m_node, m_incarnation };
  aKernel.Add("router", MakeRouter(router, *m_random));
  aKernel.Add("hedging", MakeHedgePolicy(HedgeSettings()));
  aKernel.Add("retry", MakeRetryPolicy(MakeRetrySettings(), *m_random));
  aKernel.Add("repeat_budget",
              MakeRepeatBudget(MakeRepeatBudgetSettings(), m_clock->Now()));
  aKernel.Add("admission",
              HasPlatform() ? MakeReportedLoadAdmission(AdmissionSettings())
                            : MakeAdaptiveAdmission(AdmissionSettings()));
  QuarantineSettings quarantine;
  quarantine.m_crashThreshold =
    m_settings.m_fleetConfig.m_defaults.m_crashLimit;
  quarantine.m_maxDuration = m_settings.m_fleetConfig.m_fleet.m_maxQuarantine;
  quarantine.m_initialDuration =
    std::min(quarantine.m_initialDuration, quarantine.m_maxDuration);
  aKernel.Add("quarantine", MakeQuarantine(quarantine));
  aKernel.Add("rollouts",
              MakeRollouts(MakeRolloutSettings(), aKernel.Executor(), m_clock));
  aKernel.Add("ledger", MakeCallLedger(self, IdempotencyLimits()));
}

void
Node::RegisterPeerServices(Kernel& aKernel)
{
  const PeerSettings peer = MakePeerSettings(m_settings, m_incarnation);
  aKernel.Add("peer_client", MakePeerClient(peer));
  aKernel.Add("peer_server", MakePeerServer(peer));

  const auto service = std::make_shared<GossipService>(
    MakeGossipSettings(m_settings, m_incarnation));
  m_gossip = service;
  aKernel.Add("gossip", service);
  aKernel.Add(
    "fleet",
    MakeFleetView(m_settings.m_node, m_settings.m_zone, m_settings.m_region));

  aKernel.Add("suspect_news", MakeQuarantineGossip());
}

void
Node::RegisterFrontendServices(Kernel& aKernel)
{
  if (HasPlatform()) {
    RegisterPlatform(aKernel, m_settings.m_platform);
    m_policy = MakePublishedPolicy(MakePolicySettings());
    ConfigWatcherSettings watcher;
    watcher.m_node = m_settings.m_node;
    watcher.m_zone = m_settings.m_zone;
    aKernel.Add("operator_follower", MakeConfigWatcher(watcher));
    SeedDiscoverySettings seeds;
    seeds.m_self = m_settings.m_peerAdvertise;
    aKernel.Add("seed_finder", MakeSeedDiscovery(seeds));
    aKernel.Add("rollout_decider", MakeRolloutDecider(MakeRolloutSettings()));
    m_rolloutStatus = aKernel.Find<RolloutStatusPage>("rollout_decider");
  } else {
    aKernel.Add("caller_dialect", MakeCallerDialect());
    aKernel.Add("target_dialect", MakeTargetDialect());
    m_policy = MakeStaticPolicy(MakePolicySettings());
  }
  // One service, registered under the name of each of its interfaces.
  aKernel.Add("call_policy", m_policy);
  aKernel.Add("operator_state", m_policy);

  UpstreamSettings upstream;
  upstream.m_node = m_settings.m_node;
  upstream.m_nodeIncarnation = m_incarnation;
  upstream.m_loadMaxAge = m_settings.m_loadMaxAge;
  if (HasPlatform()) {
    upstream.m_connectTimeout = std::chrono::milliseconds(250);
    // Callers leave at the end of their time.
    upstream.m_responseOverrun = std::chrono::seconds(1);
    const DeploymentLimits& limits = m_settings.m_platform.m_deploymentLimits;
    upstream.m_coldBurstFactor = std::max(1.0, limits.m_coldBurstFactor);
    upstream.m_coldBurstAllowance =
      kUsedAllowance * limits.m_coldBurstAllowance;
    if (m_settings.m_platform.m_target) {
      upstream.m_expectedService = m_settings.m_platform.m_service;
      upstream.m_expectedAddress = *m_settings.m_platform.m_target;
    }
  }
  aKernel.Add("running_requests", std::make_shared<RunningRequests>());
  aKernel.Add("gateway", MakeGateway(upstream));
  m_target = aKernel.Find<TargetControl>("gateway");

  DispatchSettings dispatch;
  dispatch.m_node = m_settings.m_node;
  dispatch.m_nodeIncarnation = m_incarnation;
  aKernel.Add("dispatcher", MakeDispatcher(dispatch));

  FrontendSettings frontend;
  frontend.m_listen = m_settings.m_listen;
  if (HasPlatform()) {
    RegisterAccountServices(aKernel);
    frontend.m_handler = "key_check";
  }
  frontend.m_maxHeadBytes = m_settings.m_maxHeadBytes;
  frontend.m_maxBodyBytes = m_settings.m_maxBodyBytes;
  frontend.m_maxConnections = m_settings.m_maxConnections;
  frontend.m_pipelineDepth = m_settings.m_pipelineDepth;
  frontend.m_pipelineBytes = m_settings.m_pipelineBytes;
  frontend.m_headTimeout = m_settings.m_headTimeout;
  frontend.m_idleTimeout = m_settings.m_idleTimeout;
  frontend.m_bodyTimeout = m_settings.m_bodyTimeout;
  frontend.m_defaultTimeout = m_settings.m_defaultTimeout;
  frontend.m_maxTimeout = m_settings.m_maxTimeout;
  frontend.m_uploadTimeout = m_settings.m_uploadTimeout;
  aKernel.Add("frontend", MakeFrontend(frontend));

  ExplainerSettings explain;
  explain.m_node = m_settings.m_node;
  explain.m_zone = m_settings.m_zone;
  explain.m_hasAccounts = HasPlatform();
  aKernel.Add("explain", MakeExplainer(explain));

  ControlSettings control;
  control.m_listen = { m_settings.m_controlListen };
  if (m_settings.m_readyListen) {
    control.m_listen.push_back(*m_settings.m_readyListen);
  }
  if (m_settings.m_adminListen) {
    control.m_listen.push_back(*m_settings.m_adminListen);
  }
  control.m_hasAdminPages = HasPlatform();
  aKernel.Add("control", MakeControl(control));
}

// Requests of client accounts pass "key_check" and "account_limits" on their
// way to the dispatcher.
void
Node::RegisterAccountServices(Kernel& aKernel)
{
  AccountLimitSettings limits;
  limits.m_node = m_settings.m_node;
  limits.m_nodeIncarnation = m_incarnation;
  limits.m_peer = m_settings.m_peerAdvertise;
  const DeploymentLimits& deployment = m_settings.m_platform.m_deploymentLimits;
  if (deployment.m_accountWindow > Duration::zero()) {
    limits.m_tolerance = { deployment.m_accountWindow,
                           deployment.m_accountExcess,
                           deployment.m_accountAllowance };
  }
  aKernel.Add("account_limits", MakeAccountLimits(limits));
  m_accountLimits = aKernel.Find<AccountLimitStatus>("account_limits");
  aKernel.Add("key_check", MakeKeyCheck(KeyCheckSettings()));
}

PolicySettings
Node::MakePolicySettings() const
{
  PolicySettings policy;
  policy.m_node = m_settings.m_node;
  policy.m_zone = m_settings.m_zone;
  policy.m_fleetConfig = m_settings.m_fleetConfig;
  policy.m_service = m_settings.m_platform.m_service;
  return policy;
}

asio::awaitable<void>
Node::FlushLog(asio::any_io_executor aExecutor)
{
  asio::steady_timer timer(aExecutor);
  while (true) {
    m_logger->Flush();
    timer.expires_after(kLogFlushInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<int>
Node::Run(Kernel& aKernel)
{
  asio::co_spawn(
    aKernel.Executor(), FlushLog(aKernel.Executor()), asio::detached);
  asio::signal_set signals(aKernel.Executor(), SIGTERM, SIGINT, SIGHUP);
  try {
    co_await aKernel.StartAll();
  } catch (const std::exception& error) {
    m_logger->Write(
      LogLevel::Error, "start_failed", { { "error", error.what() } });
    co_return kExitStartFailed;
  }
  m_started = true;
  m_logger->Write(
    LogLevel::Info,
    "node_started",
    { { "node", m_settings.m_node.m_value },
      { "zone", m_settings.m_zone },
      { "listen", ToString(m_settings.m_listen) },
      { "peer_listen", ToString(m_settings.m_peerListen) },
      { "control", ToString(m_settings.m_controlListen) },
      { "repeat_share", MakeRepeatBudgetSettings().m_all.m_ratio },
      { "repeat_burst", MakeRepeatBudgetSettings().m_all.m_burst } });
  asio::co_spawn(
    aKernel.Executor(), WatchNodeFile(aKernel.Executor()), asio::detached);
  co_await WaitForSignal(signals);
  m_shutdown.StartShutdown();
  if (m_settings.m_shutdownLimit > Duration::zero()) {
    asio::co_spawn(
      aKernel.Executor(), ForceStopAtLimit(aKernel), asio::detached);
  }
  asio::co_spawn(
    aKernel.Executor(), ForceStopOnInterrupt(signals), asio::detached);
  m_logger->Write(LogLevel::Info,
                  "shutdown_started",
                  { { "unready_ms", m_settings.m_unreadyTime },
                    { "leave_delay_ms", m_settings.m_leaveDelay } });
  // Callers take longer than other nodes to stop using this node, so the target
  // stays in use while readiness checks fail.
  asio::steady_timer timer(aKernel.Executor());
  timer.expires_after(m_settings.m_unreadyTime);
  co_await timer.async_wait(asio::use_awaitable);
  m_shutdown.StartAnnouncing();
  // Gossip may take several rounds to reach an entry node, but its next
  // response from this node carries the announcement.
  m_target->SetNodeLeaving();
  m_gossip->Leave();
  // Lets the announcement reach other nodes before the listeners close.
  timer.expires_after(m_settings.m_leaveDelay - m_settings.m_unreadyTime);
  co_await timer.async_wait(asio::use_awaitable);
  m_shutdown.StartDraining();
  co_await aKernel.StopAll();
  m_shutdown.FinishDraining();
  m_logger->Write(LogLevel::Info, "shutdown_finished", {});
  // The destructor of signal_set restores the default actions, and a further
  // SIGTERM would then end the process before it has exited.
  BlockSignals();
  co_return 0;
}

void
Node::BlockSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : { SIGTERM, SIGINT, SIGHUP }) {
    sigaddset(&signals, signal);
  }
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

asio::awaitable<void>
Node::WaitForSignal(asio::signal_set& aSignals)
{
  while (true) {
    const int signal = co_await aSignals.async_wait(asio::use_awaitable);
    if (signal != SIGHUP) {
      co_return;
    }
    Reload();
  }
}

asio::awaitable<void>
Node::WatchNodeFile(asio::any_io_executor aExecutor)
{
  asio::steady_timer timer(aExecutor);
  while (!m_settings.m_nodeFile.empty() && m_shutdown.AcceptsWork()) {
    if (ReadText(m_settings.m_nodeFile) != m_nodeFileText) {
      Reload();
    }
    timer.expires_after(kNodeFilePollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

// The log level and decision sampling take effect at once; other settings need
// a restart.
void
Node::Reload()
{
  if (m_settings.m_nodeFile.empty()) {
    m_logger->Write(LogLevel::Info, "settings_unchanged", {});
    return;
  }
  const std::string text = ReadText(m_settings.m_nodeFile);
  const bool isFirstRead = m_nodeFileText.empty();
  const bool changed = text != m_nodeFileText;
  m_nodeFileText = text;
  if (isFirstRead || !changed) {
    return;
  }
  std::vector<std::string> errors;
  NodeSettings settings = m_settings;
  if (ReadNodeFile(m_settings.m_nodeFile, errors)) {
    settings = ReadNodeSettings(errors);
  }
  for (const std::string& message : errors) {
    m_logger->Write(
      LogLevel::Error, "settings_rejected", { { "fault", message } });
  }
  if (!errors.empty()) {
    return;
  }
  LogLevel level = LogLevel::Info;
  ParseLogLevel(settings.m_logLevel, level);
  m_logger->SetLevel(level);
  m_logger->SetDecisionSampleRate(settings.m_decisionSampleRate);
  m_logger->Write(
    LogLevel::Info, "settings_reloaded", { { "file", m_settings.m_nodeFile } });
}

asio::awaitable<void>
Node::ForceStopAtLimit(Kernel& aKernel)
{
  asio::steady_timer timer(aKernel.Executor());
  timer.expires_after(m_settings.m_shutdownLimit);
  co_await timer.async_wait(asio::use_awaitable);
  m_logger->Write(LogLevel::Warning,
                  "shutdown_limit_reached",
                  { { "waiting_for", aKernel.StoppingService() } });
  m_logger->Flush();
  std::_Exit(kExitForced);
}

// Planned stops overlap, so a repeated SIGTERM must not interrupt the draining
// that the first one started. SIGINT comes from an operator who does not want
// to wait.
asio::awaitable<void>
Node::ForceStopOnInterrupt(asio::signal_set& aSignals)
{
  boost::system::error_code error;
  int signal = SIGTERM;
  while (!error && signal != SIGINT) {
    signal = co_await aSignals.async_wait(
      asio::redirect_error(asio::use_awaitable, error));
    if (!error && signal == SIGTERM) {
      m_logger->Write(LogLevel::Info, "shutdown_continues", {});
    }
  }
  if (!error && m_shutdown.ForceStop()) {
    m_logger->Write(LogLevel::Warning, "shutdown_cut_short", {});
    m_logger->Flush();
    std::_Exit(kExitForced);
  }
}

void
Node::UpdateMetrics()
{
  const auto set = [this](const std::string& aName,
                          const std::string& aHelp,
                          double aValue,
                          const MetricLabels& aLabels = {}) {
    m_metrics->Gauge("sassafrasquay_" + aName, aHelp, aLabels).Set(aValue);
  };
  const GossipCounters gossip = m_gossip->Counters();
  const std::string bytes =
    "Bytes of gossip since the start, including headers.";
  set("control_bytes",
      bytes,
      static_cast<double>(gossip.m_sentBytes),
      { { "direction", "sent" } });
  set("control_bytes",
      bytes,
      static_cast<double>(gossip.m_receivedBytes),
      { { "direction", "received" } });
  set("control_cpu_seconds",
      "CPU time of the gossip service since the start.",
      std::chrono::duration<double>(gossip.m_cpuTime).count());
  set("control_rejected_datagrams",
      "Datagrams that were malformed, replayed or not authentic.",
      static_cast<double>(gossip.m_malformed + gossip.m_unknownKey +
                          gossip.m_badTag + gossip.m_replayed));
  set("members",
      "Listed members, including this node and those in state gone.",
      static_cast<double>(m_gossip->Members().size()));
  set("config_version",
      "Version of the published configuration; 0 for none.",
      static_cast<double>(m_policy->ConfigVersion()));
  set("config_era",
      "How often the store has come back from an older copy.",
      static_cast<double>(m_policy->ConfigPosition().m_era));
  const LoadReport load = m_target->Load();
  set("target_in_flight",
      "Requests in flight on the local target.",
      load.m_inFlight);
  set("target_queued", "Requests queued for the local target.", load.m_queued);
  set("target_limit",
      "Current concurrency limit of the local target.",
      load.m_limit);
  set("target_cold", "1 while the local target is cold.", load.m_cold ? 1 : 0);
  if (m_accountLimits) {
    m_accountLimits->UpdateMetrics();
  }
  if (m_rolloutStatus) {
    m_rolloutStatus->UpdateMetrics();
  }
}

std::string
Node::StatusJson() const
{
  const LoadReport load = m_target->Load();
  boost::json::object status;
  status["node"] = m_settings.m_node.m_value;
  status["zone"] = m_settings.m_zone;
  status["region"] = m_settings.m_region;
  status["not_ready"] = NotReadyReason();
  const LogPosition config = m_policy->ConfigPosition();
  status["config_era"] = config.m_era;
  status["config_version"] = config.m_offset;
  boost::json::array members;
  for (const Member& member : m_gossip->Members()) {
    const MemberInfo& info = member.m_record.m_info;
    members.push_back(
      { { "node", info.m_id.m_value },
        { "zone", info.m_zone },
        { "service", info.m_service },
        { "peer", ToString(info.m_peer) },
        { "state", ToString(member.m_state) },
        { "cold", member.m_record.m_summary.m_cold },
        { "config_version", member.m_configPosition.m_offset } });
  }
  status["members"] = std::move(members);
  if (const auto target = m_target->Target()) {
    status["target"] = { { "service", target->m_service },
                         { "slots", target->m_slots },
                         { "version", target->m_version },
                         { "address", ToString(target->m_address) },
                         { "incarnation", target->m_incarnation } };
  }
  status["load"] = { { "in_flight", load.m_inFlight },
                     { "queued", load.m_queued },
                     { "limit", load.m_limit },
                     { "cold", load.m_cold },
                     { "leaving", load.m_leaving } };
  if (m_accountLimits) {
    status["accounts"] = boost::json::parse(m_accountLimits->StatusJson());
  }
  if (m_rolloutStatus) {
    status["rollouts"] = boost::json::parse(m_rolloutStatus->StatusJson());
  }
  return boost::json::serialize(status) + "\n";
}

} // namespace

int
RunNode(const NodeSettings& aSettings)
{
  std::signal(SIGPIPE, SIG_IGN);
  asio::io_context context(1); // one thread: no locks are needed
  Kernel kernel(context.get_executor());
  const auto node = std::make_shared<Node>(aSettings);
  node->Register(kernel, node);
  int exitCode = kExitStartFailed;
  asio::co_spawn(context,
                 node->Run(kernel),
                 [&](const std::exception_ptr& aError, int aCode) {
                   exitCode = aError ? kExitStartFailed : aCode;
                   context.stop();
                 });
  context.run();
  return exitCode;
}

} // namespace sassafrasquay
