// Health and load probes of the local target. Internal to upstream.
#pragma once

#include "routing/routing.h"
#include "upstream/target_client.h"

namespace sassafrasquay {

// The expected target, found by a health probe and not yet announced.
struct DiscoveredTarget
{
  bool m_healthy = false;
  TargetAnnouncement m_target;      // only its id is set without m_load
  Duration m_coldStartRemaining{};  // zero: warm
  std::optional<TargetLoad> m_load; // of a healthy target that reports it
};

class TargetProbes
{
public:
  TargetProbes(UpstreamSettings aSettings,
               const asio::any_io_executor& aExecutor,
               std::shared_ptr<Clock> aClock,
               TargetClient& aClient);

  // Path of the health page of the target's service; empty disables probes.
  void SetPath(const std::string& aPath) { m_path = aPath; }
  // Adds the share of one request to the probe budget.
  void OnRequest();
  // True when load probes are configured and the target reports its load.
  bool IsLoadProbed() const;

  // Probes the load of the target when the last report, from aLastReport, is
  // older than the age limit. Concurrent calls wait for the same probe, and
  // only the first of them returns its load. Returns nullopt for the others,
  // within the age limit, when the budget is used up and when the probe fails.
  asio::awaitable<std::optional<TargetLoad>> ProbeLoad(
    const TargetAnnouncement& aTarget,
    TimePoint aLastReport);
  // Probes the expected target; nullopt without a response or without an id.
  asio::awaitable<std::optional<DiscoveredTarget>> ProbeExpectedTarget();

private:
  UpstreamSettings m_settings;
  std::shared_ptr<Clock> m_clock;
  TargetClient& m_client;
  std::string m_path;
  std::optional<ProbeBudget> m_budget; // unset: no load probes
  Event m_probeFinished;
  bool m_probing = false;
  bool m_reportsLoad = true; // false after a health response without it
};

} // namespace sassafrasquay
