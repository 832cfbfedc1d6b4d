// Questions to the own target about its health and load. Internal to upstream.
#pragma once

#include "routing/routing.h"
#include "upstream/target_client.h"

namespace sassafrasquay {

// The expected target, which has not announced itself.
struct FoundTarget
{
  bool m_healthy = false; // and states its load; else only its id is known
  TargetAnnouncement m_target;
  Duration m_coldStartRemaining{}; // zero: warm
  TargetLoad m_load;
};

class TargetProbes
{
public:
  TargetProbes(UpstreamSettings aSettings,
               const asio::any_io_executor& aExecutor,
               std::shared_ptr<Clock> aClock,
               TargetClient& aClient);

  // Path of the health page of the target's service; empty: none is known.
  void SetPath(const std::string& aPath) { m_path = aPath; }
  // Each request pays for a share of the questions.
  void OnRequest();
  // True when the load is asked for at all and the target states it.
  bool Wanted() const;

  // Load of the target, when its last word at aSaid is too old. Concurrent
  // callers wait for one answer, which the first of them gets; nullopt for the
  // others, within the age limit, beyond the budget and without an answer.
  asio::awaitable<std::optional<TargetLoad>> AskLoad(
    const TargetAnnouncement& aTarget,
    TimePoint aSaid);
  // The expected target; nullopt when it does not answer, or without its id.
  asio::awaitable<std::optional<FoundTarget>> AskExpected();

private:
  UpstreamSettings m_settings;
  std::shared_ptr<Clock> m_clock;
  TargetClient& m_client;
  std::string m_path;
  std::optional<ProbeBudget> m_budget; // none: the load is not asked for
  Event m_answered;
  bool m_asking = false;
  bool m_statesLoad = true; // until a health answer comes without it
};

} // namespace sassafrasquay
