// Routing: which target of a service gets the next attempt.
//
// Pure decision code: the caller passes the time, the random source is an
// interface, and the hot path (Choose) allocates nothing.
//
// Index of this file
//   [1] Requests and decisions
//   [2] Feedback
//   [3] Router interface
//   [4] Settings and routers
//   [5] Probe budget
#pragma once

#include "core/core.h"

#include <memory>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Requests and decisions
//-----------------------------------------------------------------------------

// Index of a target in the router's table; stable while the target exists.
using TargetIndex = uint32_t;
inline constexpr TargetIndex kNoTarget = 0xFFFFFFFF;

// Targets that earlier attempts of the same request used.
inline constexpr size_t kMaxExcluded = 4;

struct RouteRequest
{
  std::string_view m_service;
  std::array<TargetIndex, kMaxExcluded> m_excluded{ kNoTarget,
                                                    kNoTarget,
                                                    kNoTarget,
                                                    kNoTarget };
  size_t m_excludedCount = 0;
  Duration m_remaining{}; // caller's remaining time
};

// Why a target was chosen, for the decision's log line.
enum class RouteReason : uint8_t
{
  None,          // no target: the service is unknown or nothing is usable
  OnlyCandidate, // a single usable target
  LowestScore,   // best of the sampled candidates
  LastResort,    // every candidate is new, returned or cold
  Exploration    // not chosen for long; renews its estimates
};

std::string_view
ToString(RouteReason aReason);

struct RouteDecision
{
  TargetIndex m_target = kNoTarget;
  RouteReason m_reason = RouteReason::None;
  uint32_t m_candidates = 0; // usable targets of the service
  double m_score = 0;        // expected time to the answer, in seconds
};

//-----------------------------------------------------------------------------
// [2] Feedback
//-----------------------------------------------------------------------------

// How an attempt ended, as the entry node saw it.
enum class AttemptOutcome : uint8_t
{
  Succeeded,  // the target answered; an HTTP status of 5xx counts as failed
  Failed,     // the target answered with a failure, or broke the connection
  Refused,    // refused before dispatch by the target's node, or shed
  Unreachable // no connection to the target's node
};

struct RouteFeedback
{
  AttemptOutcome m_outcome = AttemptOutcome::Succeeded;
  Duration m_latency{};   // from sending to the end of the answer head
  LoadReport m_load;      // as carried on the answer or the refusal
  bool m_hasLoad = false; // false when nothing came back
};

//-----------------------------------------------------------------------------
// [3] Router interface
//-----------------------------------------------------------------------------

class Router : public Component
{
public:
  // Replaces the targets of a service; kept targets keep their state, and a
  // new incarnation starts anew. A service without targets is removed.
  virtual void SetTargets(std::string_view aService,
                          const std::vector<TargetInfo>& aTargets,
                          TimePoint aNow) = 0;
  // Availability zones that are out of service get no request.
  virtual void SetZonesOut(const std::vector<std::string>& aZones,
                           TimePoint aNow) = 0;
  virtual bool HasService(std::string_view aService) const = 0;
  virtual RouteDecision Choose(const RouteRequest& aRequest,
                               TimePoint aNow) = 0;
  // Nullptr when the target has been removed.
  virtual const TargetInfo* Target(TargetIndex aTarget) const = 0;
  virtual void OnSent(TargetIndex aTarget, TimePoint aNow) = 0;
  // Once for each OnSent.
  virtual void OnEnd(TargetIndex aTarget,
                     const RouteFeedback& aFeedback,
                     TimePoint aNow) = 0;
  // A load report that came without an attempt: from a probe or from gossip.
  // aReported is when the node beside the target made it.
  virtual void OnReport(TargetIndex, const LoadReport&, TimePoint /*aReported*/)
  {
  }
  // Own requests in flight; the sum of OnSent less the sum of OnEnd.
  virtual uint32_t InFlight(TargetIndex) const { return 0; }
};

//-----------------------------------------------------------------------------
// [4] Settings and routers
//-----------------------------------------------------------------------------

struct RouterSettings
{
  std::string m_zone;   // the entry node's own
  std::string m_region; // the entry node's own
  Duration m_zoneLatency{ std::chrono::microseconds(500) };  // one way
  Duration m_regionLatency{ std::chrono::milliseconds(15) }; // one way
  // Candidates drawn for each choice, and the bound when they differ much.
  uint32_t m_choices = 2;
  uint32_t m_maxChoices = 8;
  // Time until a new or returned target has its full share.
  Duration m_slowStartWindow{ std::chrono::seconds(10) };
  // A latency estimate falls back to the service's typical one in this time.
  Duration m_latencyFall{ std::chrono::seconds(10) };
  // The same for the failure score.
  Duration m_failureFall{ std::chrono::seconds(5) };
};

// The production router: power of d choices on the expected time to an answer.
// aRandom must outlive the router, as for every router below.
std::unique_ptr<Router>
MakeRouter(RouterSettings aSettings, Random& aRandom);

// Baselines, for comparison.
std::unique_ptr<Router>
MakeRandomRouter(RouterSettings aSettings, Random& aRandom);
std::unique_ptr<Router>
MakeRoundRobinRouter(RouterSettings aSettings, Random& aRandom);
// Sends to the usable target with the fewest own requests in flight.
std::unique_ptr<Router>
MakeLeastOutstandingRouter(RouterSettings aSettings, Random& aRandom);
// Draws two targets and takes the one with fewer own requests in flight.
std::unique_ptr<Router>
MakeTwoChoicesRouter(RouterSettings aSettings, Random& aRandom);

//-----------------------------------------------------------------------------
// [5] Probe budget
//-----------------------------------------------------------------------------

struct ProbeBudgetSettings
{
  double m_perSecond = 10;    // absolute rate for the node
  double m_perRequest = 0.05; // share of the requests that enter the node
  double m_burst = 5;         // most probes at once
};

// Hard limit on the load that measuring causes. Over any run the number of
// probes is at most m_burst + m_perSecond x seconds, and at most
// m_burst + m_perRequest x requests.
class ProbeBudget
{
public:
  ProbeBudget(ProbeBudgetSettings aSettings, TimePoint aNow);

  void OnRequest();
  // True when one probe may be sent now; it is then counted as sent.
  bool TryAcquire(TimePoint aNow);
  uint64_t Taken() const { return m_taken; }

private:
  ProbeBudgetSettings m_settings;
  TimePoint m_refilled;
  double m_byRate;    // tokens of the absolute rate
  double m_byRequest; // tokens of the share of requests
  uint64_t m_taken = 0;
};

} // namespace sassafrasquay
