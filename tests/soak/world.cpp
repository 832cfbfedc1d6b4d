// A fleet, its faults and its promises.
#include "soak/world.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <fstream>

namespace sassafrasquay::soak {

namespace {

using drills::HttpRequest;
using drills::Instance;
using std::chrono::milliseconds;

constexpr std::string_view kRunIdPrefix = "soak-";
constexpr size_t kCallersPerNode = 3;
constexpr uint64_t kServiceMs = 20;
constexpr Duration kFaultTime = milliseconds(9000);
// Within the time of the faults: the last begin of one, and how long it lasts.
constexpr Duration kLastBegin = milliseconds(7000);
constexpr Duration kShortestFault = milliseconds(200);
constexpr Duration kLongestFault = milliseconds(2500);
constexpr Duration kTick = milliseconds(20);

// Bounds of the platform's pages.
constexpr Duration kDrainBound = milliseconds(2000);          // drainMs
constexpr Duration kEvacuationBound = milliseconds(5000);     // evacuationMs
constexpr Duration kLossSlack = milliseconds(200);            // lossSlackMs
constexpr Duration kRecoveryBound = std::chrono::seconds(15); // recoveryS
constexpr Duration kTimeBudget = milliseconds(1500);          // of a request
constexpr double kLeastServed = 0.4; // the gate: at most 60% fail
// An instance serves on so long after its leaving was acknowledged.
constexpr Duration kServesOn = milliseconds(2600);

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

bool
Promises(unsigned aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

} // namespace

//-----------------------------------------------------------------------------
// Fleet and callers
//-----------------------------------------------------------------------------

World::World(uint64_t aSeed)
  : m_seed(aSeed)
  , m_plannedOnly(aSeed % 3 == 0)
  , m_random(aSeed)
  , m_context(1)
  , m_work(m_context.get_executor())
  , m_thread([this]() { m_context.run(); })
{
  m_fleet.Add("lessons", 3);
  m_fleet.Add("fees", 3);
  m_restartAt.resize(m_fleet.All().size());
  m_targetStarts.resize(m_fleet.All().size());
}

World::~World()
{
  StopCallers();
  RunOnThread([this]() {
    for (Links& links : m_links) {
      for (auto* proxy : { &links.m_callers,
                           &links.m_peers,
                           &links.m_target,
                           &links.m_store }) {
        (*proxy)->Close();
      }
    }
  });
  m_work.reset();
  m_context.stop();
  m_thread.join();
}

void
World::RunOnThread(const std::function<void()>& aWork)
{
  std::promise<void> done;
  asio::post(m_context, [&]() {
    aWork();
    done.set_value();
  });
  done.get_future().wait();
}

void
World::StartFleet()
{
  const Endpoint store = m_fleet.StartStore();
  const auto executor = m_context.get_executor();
  for (Instance& instance : m_fleet.All()) {
    instance.m_peerAdvertised = m_fleet.ReserveEndpoint();
    instance.m_targetAdvertised = m_fleet.ReserveEndpoint();
    instance.m_storeAdvertised = m_fleet.ReserveEndpoint();
    const auto proxy =
      [&](const Endpoint& aListen, const Endpoint& aServer, bool aUdp) {
        return std::make_unique<FaultProxy>(executor, aListen, aServer, aUdp);
      };
    Links links;
    // Nodes reach the caller port directly; callers use the proxy's.
    const Endpoint callers = m_fleet.ReserveEndpoint();
    RunOnThread([&]() {
      links.m_callers = proxy(callers, instance.m_callers, false);
      links.m_peers = proxy(*instance.m_peerAdvertised, instance.m_peer, true);
      links.m_target =
        proxy(*instance.m_targetAdvertised, instance.m_target, false);
      links.m_store = proxy(*instance.m_storeAdvertised, store, false);
    });
    m_links.push_back(std::move(links));
    m_callerAddresses.push_back(callers);
  }
  m_fleet.StartOnPlatform({ "--leave_delay_ms=1000",
                            "--shutdown_limit_ms=5500",
                            "--load_max_age_ms=15" });
  m_position = 1;
  for (const Instance& instance : m_fleet.All()) {
    m_fleet.SetFault(instance, "service_ms", kServiceMs);
  }
}

void
World::StartCallers()
{
  for (size_t node = 0; node < m_fleet.All().size(); ++node) {
    for (size_t i = 0; i < kCallersPerNode; ++i) {
      const std::string name = std::string(kRunIdPrefix) +
                               std::to_string(node) + "-" + std::to_string(i);
      m_callers.push_back(
        std::make_unique<Caller>(node,
                                 m_callerAddresses[node],
                                 std::vector<std::string>{ "lessons", "fees" },
                                 name,
                                 m_random.Next()));
      Caller* caller = m_callers.back().get();
      m_callersEnd.push_back(asio::co_spawn(
        m_context, [caller]() { return caller->Run(); }, asio::use_future));
    }
  }
}

void
World::StopCallers()
{
  RunOnThread([this]() {
    for (const auto& caller : m_callers) {
      caller->Stop();
    }
  });
  for (auto& ended : m_callersEnd) {
    ended.wait();
  }
  m_callersEnd.clear();
}

void
World::Play()
{
  StartFleet();
  StartCallers();
  const TimePoint begin = Now() + milliseconds(500);
  const size_t planned = m_plannedOnly ? 8 + Draw(6) : 1 + Draw(3);
  const size_t faults = m_plannedOnly ? 0 : 5 + Draw(8);
  for (size_t i = 0; i < planned; ++i) {
    DrawPlannedWork(begin + DrawTime(Duration::zero(), kLastBegin));
  }
  if (m_plannedOnly) {
    const std::string zone = "zone-" + std::to_string(1 + Draw(3));
    At(begin, [this, zone]() { Evacuate(zone, milliseconds(8000)); });
  }
  m_faults = faults;
  for (size_t i = 0; i < faults; ++i) {
    DrawFault(begin + DrawTime(Duration::zero(), kLastBegin));
  }
  RunSteps();
  LiftFaults();
  WaitForRecovery();
  StopCallers();
}

//-----------------------------------------------------------------------------
// Draws
//-----------------------------------------------------------------------------

Duration
World::DrawTime(Duration aFrom, Duration aTo)
{
  return aFrom + milliseconds(Draw((aTo - aFrom) / milliseconds(1)));
}

void
World::DrawPlannedWork(TimePoint aAt)
{
  const size_t node = DrawNode();
  switch (Draw(5)) {
    case 0:
    case 1: // stops come in series
      for (size_t i = 0; i <= Draw(2); ++i) {
        const size_t one = (node + i) % m_fleet.All().size();
        At(aAt + i * milliseconds(700), [this, one]() { StopNode(one); });
      }
      break;
    case 2: {
      const bool drains = Draw(2) == 0;
      At(aAt, [this, node, drains]() { ReplaceTarget(node, drains); });
      break;
    }
    case 3: {
      const auto timeout = static_cast<uint32_t>(3000 + Draw(3000));
      At(aAt, [this, timeout]() {
        m_fleet.PublishRoutes(timeout);
        ++m_position;
      });
      break;
    }
    default:
      At(aAt, [this, node]() {
        if (m_fleet.At(node).m_nodeProcess->IsRunning()) {
          m_fleet.At(node).m_nodeProcess->Signal(SIGHUP);
        }
      });
  }
}

void
World::DrawFault(TimePoint aAt)
{
  const size_t node = DrawNode();
  const Duration length = DrawTime(kShortestFault, kLongestFault);
  switch (Draw(10)) {
    case 0:
      At(aAt, [this, node, length]() { KillNode(node, length / 2); });
      break;
    case 1:
      At(aAt, [this, node, length]() { PauseNode(node, length); });
      break;
    case 2:
      At(aAt, [this, node, length]() { CrashTarget(node, length / 2); });
      break;
    case 3:
      At(aAt, [this, length, down = Draw(2) == 0]() {
        HarmStore(down ? "down" : "busy", length);
      });
      break;
    case 4:
    case 5: {
      static const std::array<std::pair<const char*, uint64_t>, 6> kFaults = { {
        { "silent", 1 },
        { "shed", 1 },
        { "fail", 500 },
        { "extra", 1 },
        { "truncate", 1 },
        { "close", 1 },
      } };
      const auto& [name, value] = kFaults[Draw(kFaults.size())];
      At(aAt, [this, node, length, fault = std::string(name), value = value]() {
        HarmTarget(node, fault, value, length);
      });
      break;
    }
    default: {
      static constexpr std::array kFaults = {
        LinkFault::Delay,       LinkFault::Reset,       LinkFault::Silence,
        LinkFault::CutToServer, LinkFault::CutToClient, LinkFault::ForgetOpen
      };
      const LinkFault fault = kFaults[Draw(kFaults.size())];
      const uint64_t link = Draw(4);
      At(aAt, [this, node, link, fault, length]() {
        HarmLink(node, link, fault, length);
      });
    }
  }
}

//-----------------------------------------------------------------------------
// Steps
//-----------------------------------------------------------------------------

void
World::At(TimePoint aAt, std::function<void()> aDo)
{
  m_steps.push_back({ aAt, std::move(aDo) });
}

// A step may add further ones.
void
World::RunSteps()
{
  const TimePoint end = Now() + kFaultTime;
  while (Now() < end || !m_steps.empty()) {
    RestartEndedNodes();
    const auto due =
      std::find_if(m_steps.begin(), m_steps.end(), [](const Step& aStep) {
        return aStep.m_at <= Now();
      });
    if (due != m_steps.end()) {
      const std::function<void()> step = std::move(due->m_do);
      m_steps.erase(due);
      step();
    } else {
      std::this_thread::sleep_for(kTick);
    }
  }
}

void
World::StopNode(size_t aNode)
{
  if (m_fleet.At(aNode).m_nodeProcess->IsRunning()) {
    m_stops.push_back({ aNode, Now() });
    m_fleet.At(aNode).m_nodeProcess->Signal(SIGTERM);
  }
}

void
World::KillNode(size_t aNode, Duration aDown)
{
  Instance& instance = m_fleet.At(aNode);
  if (instance.m_nodeProcess->IsRunning()) {
    instance.m_nodeProcess->Signal(SIGKILL);
    instance.m_nodeProcess->Wait();
    m_restartAt[aNode] = Now() + aDown;
  }
}

void
World::PauseNode(size_t aNode, Duration aLength)
{
  if (m_fleet.At(aNode).m_nodeProcess->IsRunning()) {
    m_fleet.At(aNode).m_nodeProcess->Signal(SIGSTOP);
  }
  At(Now() + aLength, [this, aNode]() {
    if (m_fleet.At(aNode).m_nodeProcess->IsRunning()) {
      m_fleet.At(aNode).m_nodeProcess->Signal(SIGCONT);
    }
  });
}

// A process that ends is started again after a moment, as on the platform.
void
World::RestartEndedNodes()
{
  for (size_t node = 0; node < m_fleet.All().size(); ++node) {
    Instance& instance = m_fleet.At(node);
    if (instance.m_nodeProcess->IsRunning()) {
      continue;
    }
    for (PlannedStop& stop : m_stops) {
      if (stop.m_node == node && stop.m_ended == TimePoint::max()) {
        stop.m_ended = Now();
      }
    }
    if (!m_restartAt[node]) {
      m_restartAt[node] = Now() + milliseconds(300);
    }
    if (Now() >= *m_restartAt[node]) {
      m_fleet.StartNode(instance);
      m_restartAt[node].reset();
    }
  }
}

void
World::EndTarget(size_t aNode)
{
  Instance& instance = m_fleet.At(aNode);
  if (instance.m_targetProcess->IsRunning()) {
    instance.m_targetProcess->Signal(SIGKILL);
    instance.m_targetProcess->Wait();
  }
}

void
World::StartTarget(size_t aNode)
{
  Instance& instance = m_fleet.At(aNode);
  if (instance.m_targetProcess->IsRunning()) {
    return;
  }
  for (LeaveAck& leave : m_leaves) {
    if (leave.m_instance == "i-" + instance.m_node &&
        leave.m_replaced == TimePoint::max()) {
      leave.m_replaced = Now();
    }
  }
  m_fleet.StartTarget(instance);
  ++m_targetStarts[aNode];
  At(Now() + milliseconds(150), [this, aNode]() {
    HarmTarget(aNode, "service_ms", kServiceMs, Duration::zero());
  });
}

void
World::CrashTarget(size_t aNode, Duration aDown)
{
  EndTarget(aNode);
  At(Now() + aDown, [this, aNode]() { StartTarget(aNode); });
}

void
World::ReplaceTarget(size_t aNode, bool aDrains)
{
  const Instance& instance = m_fleet.At(aNode);
  const std::string command = aDrains ? "/standin/drain" : "/standin/leave";
  if (m_fleet.Get(instance.m_target, command) == "ok") {
    m_leaves.push_back({ "i-" + instance.m_node, Now() });
  }
  const uint64_t starts = m_targetStarts[aNode];
  At(Now() + kServesOn, [this, aNode, starts]() {
    if (m_targetStarts[aNode] != starts) {
      return; // it has crashed meanwhile and runs again
    }
    m_fleet.Get(m_fleet.At(aNode).m_target, "/standin/leave");
    EndTarget(aNode);
    At(Now() + milliseconds(400), [this, aNode]() { StartTarget(aNode); });
  });
}

void
World::Evacuate(const std::string& aZone, Duration aLength)
{
  m_fleet.TellStore("put?topic=keyed.op&key=evacuate/" + aZone, "{}");
  ++m_position;
  m_evacuations.push_back({ aZone, Now() });
  At(Now() + aLength, [this, aZone]() {
    m_evacuations.back().m_takenBack = Now();
    m_fleet.TellStore("drop?topic=keyed.op&key=evacuate/" + aZone);
    ++m_position;
  });
}

void
World::HarmLink(size_t aNode, uint64_t aLink, LinkFault aFault, Duration aFor)
{
  Links& links = m_links[aNode];
  const std::array<FaultProxy*, 4> proxies = { links.m_callers.get(),
                                               links.m_peers.get(),
                                               links.m_target.get(),
                                               links.m_store.get() };
  FaultProxy* proxy = proxies[aLink];
  RunOnThread([&]() { proxy->Set(aFault); });
  At(Now() + aFor,
     [this, proxy]() { RunOnThread([&]() { proxy->Set(LinkFault::None); }); });
}

void
World::HarmStore(const std::string& aFault, Duration aFor)
{
  m_fleet.TellStore("set?" + aFault + "=1");
  At(Now() + aFor,
     [this, aFault]() { m_fleet.TellStore("set?" + aFault + "=0"); });
}

// A target that is down has no faults.
void
World::HarmTarget(size_t aNode,
                  const std::string& aFault,
                  uint64_t aValue,
                  Duration aFor)
{
  const auto set = [this, aNode, aFault](uint64_t aNew) {
    HttpRequest request;
    request.m_method = "POST";
    request.m_host = "standin";
    request.m_path = "/standin/set?" + aFault + "=" + std::to_string(aNew);
    request.m_timeout = milliseconds(500);
    Send(m_fleet.At(aNode).m_target, request);
  };
  set(aValue);
  if (aFor > Duration::zero()) {
    At(Now() + aFor, [set]() { set(0); });
  }
}

void
World::LiftFaults()
{
  RunOnThread([this]() {
    for (Links& links : m_links) {
      links.m_callers->Set(LinkFault::None);
      links.m_peers->Set(LinkFault::None);
      links.m_target->Set(LinkFault::None);
      links.m_store->Set(LinkFault::None);
    }
  });
  for (size_t node = 0; node < m_fleet.All().size(); ++node) {
    StartTarget(node);
  }
}

void
World::WaitForRecovery()
{
  const TimePoint limit = Now() + kRecoveryBound;
  for (size_t node = 0; node < m_fleet.All().size(); ++node) {
    for (const std::string service : { "lessons", "fees" }) {
      bool served = false;
      while (!served && Now() < limit) {
        RestartEndedNodes();
        HttpRequest request;
        request.m_host = service;
        request.m_path = "/safe/recovery";
        request.m_headers["Sassafrasquay-Attempt-Id"] = "recovery";
        request.m_timeout = std::chrono::seconds(2);
        served = Send(m_callerAddresses[node], request).m_status == 200;
        std::this_thread::sleep_for(kTick);
      }
      if (!served) {
        Broken("RECOVER: " + m_fleet.At(node).m_node + " does not serve " +
               service);
      }
    }
  }
  bool all = false;
  while (!all && Now() < limit) {
    RestartEndedNodes();
    all = true;
    for (const Instance& instance : m_fleet.All()) {
      boost::system::error_code error;
      const boost::json::value status =
        boost::json::parse(m_fleet.Get(instance.m_control, "/status"), error);
      all = all && !error && status.is_object() &&
            status.at("config_version").to_number<uint64_t>() >= m_position;
    }
    std::this_thread::sleep_for(kTick);
  }
  if (!all) {
    Broken("CONFIG: a node has not reached position " +
           std::to_string(m_position));
  }
}

//-----------------------------------------------------------------------------
// Checks
//-----------------------------------------------------------------------------

std::map<std::string, std::vector<RunRecord>>
World::ReadRuns()
{
  std::map<std::string, std::vector<RunRecord>> runs;
  for (const Instance& instance : m_fleet.All()) {
    std::ifstream file(m_fleet.RunsLog(instance));
    int64_t at = 0;
    RunRecord run;
    std::string id;
    while (file >> at >> run.m_instance >> id) {
      run.m_at = TimePoint(milliseconds(at));
      runs[id].push_back(run);
    }
  }
  return runs;
}

std::vector<std::string>
World::Check()
{
  auto runs = ReadRuns();
  size_t requests = 0;
  size_t served = 0;
  for (const auto& caller : m_callers) {
    for (const Outcome& outcome : caller->Outcomes()) {
      ++requests;
      served += outcome.m_whole && outcome.m_status == 200 ? 1 : 0;
      CheckRequest(outcome, runs[outcome.m_id]);
      if (m_plannedOnly) {
        CheckPlannedStop(outcome, runs[outcome.m_id]);
      }
    }
  }
  for (const auto& [id, records] : runs) {
    for (const RunRecord& run : records) {
      CheckRun(id, run);
    }
  }
  const double share =
    static_cast<double>(served) / static_cast<double>(std::max(1UL, requests));
  if (share < kLeastServed) {
    Broken("served " + std::to_string(share) + " of " +
           std::to_string(requests) + " requests");
  }
  m_summary = std::to_string(requests) + " requests, " +
              std::to_string(served) + " served, " + std::to_string(m_faults) +
              " faults, " + std::to_string(m_stops.size()) + " stops, " +
              std::to_string(m_leaves.size()) + " instances replaced";
  return m_broken;
}

void
World::CheckRequest(const Outcome& aOutcome,
                    const std::vector<RunRecord>& aRuns)
{
  const std::string request =
    aOutcome.m_id + " (status " + std::to_string(aOutcome.m_status) + ")";
  if (aOutcome.m_kind != RequestKind::Read) {
    if (aRuns.size() > 1) {
      Broken("TWICE: " + request);
    }
    if (aOutcome.m_whole && Promises(aOutcome.m_status) && !aRuns.empty()) {
      Broken("REFUSED: " + request + " ran");
    }
  }
  if (!aOutcome.m_fault.empty()) {
    Broken("MIXED: " + request + " " + aOutcome.m_fault);
  }
  if (aOutcome.m_whole && aOutcome.m_status >= 300 && aOutcome.m_status < 500 &&
      !Promises(aOutcome.m_status)) {
    Broken("DENIED: " + request);
  }
}

// Planned work cuts nothing that an instance may have begun.
void
World::CheckPlannedStop(const Outcome& aOutcome,
                        const std::vector<RunRecord>& aRuns)
{
  const Duration took = aOutcome.m_ended - aOutcome.m_began;
  if (aOutcome.m_sent == TimePoint() || took >= kTimeBudget) {
    return;
  }
  const bool cut = !aOutcome.m_whole;
  const bool late = aOutcome.m_ended - aOutcome.m_sent > kLossSlack;
  const bool replaced = aOutcome.m_status == 502 || aOutcome.m_status == 504;
  if ((cut && (late || !aRuns.empty())) || (replaced && !aRuns.empty())) {
    Broken(
      "LOST: " + aOutcome.m_id + " through " +
      m_fleet.At(aOutcome.m_node).m_node + " (status " +
      std::to_string(aOutcome.m_status) + ", runs " +
      std::to_string(aRuns.size()) + ", " +
      std::to_string((aOutcome.m_ended - aOutcome.m_sent) / milliseconds(1)) +
      " ms after its last byte)");
  }
}

void
World::CheckRun(const std::string& aId, const RunRecord& aRun)
{
  // The fleet itself asks before the callers start and after they have ended.
  const bool ours = aId == "anonymous" || aId == "recovery";
  if (!ours && !aId.starts_with(kRunIdPrefix)) {
    Broken("UNASKED: " + aId);
  }
  for (const LeaveAck& leave : m_leaves) {
    if (aRun.m_instance == leave.m_instance &&
        aRun.m_at > leave.m_acked + kDrainBound &&
        aRun.m_at < leave.m_replaced) {
      Broken("DRAIN: " + aId + " ran at " + aRun.m_instance);
    }
  }
  for (const Evacuation& evacuation : m_evacuations) {
    for (const Instance& instance : m_fleet.All()) {
      if (aRun.m_instance == "i-" + instance.m_node &&
          instance.m_zone == evacuation.m_zone &&
          aRun.m_at > evacuation.m_acked + kEvacuationBound &&
          aRun.m_at < evacuation.m_takenBack) {
        Broken("EVAC: " + aId + " ran at " + aRun.m_instance);
      }
    }
  }
}

} // namespace sassafrasquay::soak
