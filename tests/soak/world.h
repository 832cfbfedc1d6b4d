// One run of the soak: a fleet behind proxies, its callers, the faults that a
// seed draws, and what must hold.
//
// Index of this file
//   [1] What happened
//   [2] World
#pragma once

#include "drills/fleet.h"
#include "soak/fault_proxy.h"
#include "soak/traffic.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <future>
#include <thread>

namespace sassafrasquay::soak {

//-----------------------------------------------------------------------------
// [1] What happened
//-----------------------------------------------------------------------------

struct PlannedStop
{
  size_t m_node = 0;
  TimePoint m_asked{}; // SIGTERM
  TimePoint m_ended = TimePoint::max();
};

// An instance has said that it leaves, and its node has acknowledged that.
struct LeaveAck
{
  std::string m_instance;
  TimePoint m_acked{};
  TimePoint m_replaced = TimePoint::max(); // the next process starts
};

struct Evacuation
{
  std::string m_zone;
  TimePoint m_acked{};
  TimePoint m_takenBack = TimePoint::max();
};

struct RunRecord
{
  TimePoint m_at{};
  std::string m_instance;
};

//-----------------------------------------------------------------------------
// [2] World
//-----------------------------------------------------------------------------

class World
{
public:
  explicit World(uint64_t aSeed);
  ~World();

  // Starts the fleet and its callers, plays the faults, takes them back, and
  // waits for the fleet to recover.
  void Play();
  // One sentence for each broken promise.
  std::vector<std::string> Check();
  // Counts of what was played, after Check.
  const std::string& Summary() const { return m_summary; }
  const std::string& Logs() const { return m_fleet.Logs(); }

private:
  // The proxies of one instance.
  struct Links
  {
    std::unique_ptr<FaultProxy> m_callers;
    std::unique_ptr<FaultProxy> m_peers;
    std::unique_ptr<FaultProxy> m_target;
    std::unique_ptr<FaultProxy> m_store;
  };
  struct Step
  {
    TimePoint m_at{};
    std::function<void()> m_do;
  };

  void StartFleet();
  void StartCallers();
  void StopCallers();
  void RunOnThread(const std::function<void()>& aWork);

  // Draws.
  uint64_t Draw(uint64_t aBelow) { return m_random.Next() % aBelow; }
  Duration DrawTime(Duration aFrom, Duration aTo);
  size_t DrawNode() { return Draw(m_fleet.All().size()); }
  void DrawPlannedWork(TimePoint aAt);
  void DrawFault(TimePoint aAt);

  // Steps.
  void At(TimePoint aAt, std::function<void()> aDo);
  void RunSteps();
  void StopNode(size_t aNode);
  void ReplaceTarget(size_t aNode, bool aDrains);
  void Evacuate(const std::string& aZone, Duration aLength);
  void KillNode(size_t aNode, Duration aDown);
  void PauseNode(size_t aNode, Duration aLength);
  void CrashTarget(size_t aNode, Duration aDown);
  void HarmLink(size_t aNode, uint64_t aLink, LinkFault aFault, Duration aFor);
  void HarmStore(const std::string& aFault, Duration aFor);
  void HarmTarget(size_t aNode,
                  const std::string& aFault,
                  uint64_t aValue,
                  Duration aFor);
  void EndTarget(size_t aNode);
  void StartTarget(size_t aNode);
  void RestartEndedNodes();
  void LiftFaults();
  void WaitForRecovery();

  // Checks.
  std::map<std::string, std::vector<RunRecord>> ReadRuns();
  void CheckRequest(const Outcome& aOutcome,
                    const std::vector<RunRecord>& aRuns);
  void CheckPlannedStop(const Outcome& aOutcome,
                        const std::vector<RunRecord>& aRuns);
  void CheckRun(const std::string& aId, const RunRecord& aRun);
  void Broken(std::string aText) { m_broken.push_back(std::move(aText)); }

  uint64_t m_seed;
  bool m_plannedOnly;
  SeededRandom m_random;
  drills::Fleet m_fleet;
  asio::io_context m_context;
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  std::thread m_thread; // runs the proxies and the callers
  std::vector<Links> m_links;
  std::vector<Endpoint> m_callerAddresses; // of the proxies
  std::vector<std::unique_ptr<Caller>> m_callers;
  std::vector<std::future<void>> m_callersEnd;
  std::vector<Step> m_steps;
  std::vector<std::optional<TimePoint>> m_restartAt; // of ended nodes
  std::vector<uint64_t> m_targetStarts; // of the target beside each node
  std::vector<PlannedStop> m_stops;
  std::vector<LeaveAck> m_leaves;
  std::vector<Evacuation> m_evacuations;
  uint64_t m_position = 0; // of the operators' state, at least
  size_t m_faults = 0;     // unplanned ones
  std::string m_summary;
  std::vector<std::string> m_broken;
};

} // namespace sassafrasquay::soak
