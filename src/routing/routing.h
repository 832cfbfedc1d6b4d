// Routing: selects the target of a service for the next attempt.
//
// Decision code without I/O: the caller passes the current time and a random
// source. The hot path (Choose) does not allocate.
//
// Index of this file
//   [1] Requests and decisions
//   [2] Feedback
//   [3] Explanations
//   [4] Router interface
//   [5] Settings and routers
//   [6] Probe budget
#pragma once

#include "core/core.h"

#include <memory>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Requests and decisions
//-----------------------------------------------------------------------------

// Index of a target in the router's table; stable while the target is listed.
using TargetIndex = uint32_t;
inline constexpr TargetIndex kNoTarget = 0xFFFFFFFF;

// Maximum number of targets that a request excludes: those that its earlier
// attempts used.
inline constexpr size_t kMaxExcluded = 4;

struct RouteRequest
{
  std::string_view m_service;
  std::array<TargetIndex, kMaxExcluded> m_excluded{ kNoTarget,
                                                    kNoTarget,
                                                    kNoTarget,
                                                    kNoTarget };
  size_t m_excludedCount = 0;
  Duration m_remaining{};      // caller's remaining time
  uint32_t m_routeClass = 0;   // requests of one class have similar responses
  uint64_t m_requestBytes = 0; // of the body
  uint8_t m_roles = 1;         // of the targets that it may use, see TargetInfo
};

// Why a target was chosen; logged with the decision.
enum class RouteReason : uint8_t
{
  None,          // no target: unknown service, or no usable target
  OnlyCandidate, // a single usable target
  OwnZone,       // best sampled candidate, in the entry node's zone
  OtherZone,     // the own zone has no room, or would respond much later
  LowestScore,   // best of the sampled candidates
  LastResort,    // every sampled candidate is in slow start or cold start
  Exploration    // not chosen for a while; refreshes its estimates
};

std::string_view
ToString(RouteReason aReason);

struct RouteDecision
{
  TargetIndex m_target = kNoTarget;
  RouteReason m_reason = RouteReason::None;
  uint32_t m_candidates = 0; // usable targets of the service
  double m_score = 0;        // expected time to the response, in seconds
};

//-----------------------------------------------------------------------------
// [2] Feedback
//-----------------------------------------------------------------------------

// Outcome of an attempt as seen by the entry node.
enum class AttemptOutcome : uint8_t
{
  Succeeded,   // the target responded with an HTTP status below 500
  Failed,      // 5xx response, or a failure after dispatch
  Refused,     // refused or shed; also a failure that the target did not cause
  Unreachable, // the target's node could not be reached
  Abandoned    // ended by this node: another copy won, or the caller left
};

struct RouteFeedback
{
  AttemptOutcome m_outcome = AttemptOutcome::Succeeded;
  Duration m_latency{};   // from sending to the end of the response head
  LoadReport m_load;      // sent with the response or the refusal
  bool m_hasLoad = false; // false when no report was received
  uint32_t m_routeClass = 0;
  uint64_t m_responseBytes = 0; // of the body; 0: unknown
};

//-----------------------------------------------------------------------------
// [3] Explanations
//-----------------------------------------------------------------------------

// Why a target of the service is no candidate.
enum class RouteExclusion : uint8_t
{
  None,
  Leaving,         // listed as leaving by membership
  ReportedLeaving, // by its last load report
  ZoneOut,         // its zone is out of service
  EarlierAttempt,  // an earlier attempt of the request used it
  OtherVersion     // a roll-out keeps requests like this from its version
};

std::string_view
ToString(RouteExclusion aExclusion);

// Parts of the expected time to a response.
struct ScoreParts
{
  FloatSeconds m_roundTrip{}; // on the network
  FloatSeconds m_latency{};   // service time
  FloatSeconds m_queue{};     // wait for a slot
  FloatSeconds m_failure{};   // penalty for recent failures
  FloatSeconds m_refusal{};   // penalty for recent refusals
  double m_load = 0;          // requests at the target, as estimated
  double m_limit = 1;         // requests that it runs at the same time

  FloatSeconds Total() const
  {
    return m_roundTrip + (m_latency + m_queue + m_failure + m_refusal);
  }
};

struct TargetExplanation
{
  TargetIndex m_target = kNoTarget;
  TargetInfo m_info;
  RouteExclusion m_exclusion = RouteExclusion::None;
  ScoreParts m_parts;
  FloatSeconds m_zonePenalty{}; // for a target in another zone
  FloatSeconds m_score{};       // all parts together
  double m_share = 1;           // below 1 in slow start or cold start: the
                                // probability that a sample counts
  bool m_sampled = false;       // by this choice
  double m_probability = 0; // estimate; of being chosen, over random samples
};

struct RouteExplanation
{
  RouteDecision m_decision;
  bool m_isKnown = false;        // the service has had targets
  FloatSeconds m_usualLatency{}; // average of the service
  double m_utilisation = 0;      // average of the service
  std::vector<TargetExplanation> m_targets;
};

//-----------------------------------------------------------------------------
// [4] Router interface
//-----------------------------------------------------------------------------

class Router : public Component
{
public:
  // Replaces the targets of a service. A target that stays keeps its estimates;
  // a new incarnation starts with fresh ones. Without targets, HasService
  // returns false.
  virtual void SetTargets(std::string_view aService,
                          const std::vector<TargetInfo>& aTargets,
                          TimePoint aNow) = 0;
  // Sets the availability zones that are out of service; their targets get no
  // requests.
  virtual void SetZonesOut(const std::vector<std::string>& aZones,
                           TimePoint aNow) = 0;
  virtual bool HasService(std::string_view aService) const = 0;
  virtual RouteDecision Choose(const RouteRequest& aRequest,
                               TimePoint aNow) = 0;
  // Returns the decision that Choose makes if its random source is in the state
  // of aRandom, and what it is based on. Only aRandom changes, as Choose would
  // change it. Empty for the baseline routers.
  virtual RouteExplanation Explain(const RouteRequest&,
                                   TimePoint /*aNow*/,
                                   Random& /*aRandom*/) const
  {
    return {};
  }
  // Returns nullptr when the target has been removed.
  virtual const TargetInfo* Target(TargetIndex aTarget) const = 0;
  virtual void OnSent(TargetIndex aTarget, TimePoint aNow) = 0;
  // Must be called once for each OnSent.
  virtual void OnEnd(TargetIndex aTarget,
                     const RouteFeedback& aFeedback,
                     TimePoint aNow) = 0;
  // Applies a load report that was received without an attempt: from a probe or
  // from gossip. aReportedAt is when the node on the target's VM created it.
  virtual void OnReport(TargetIndex,
                        const LoadReport&,
                        TimePoint /*aReportedAt*/)
  {
  }
  // Requests of this node in flight: calls of OnSent minus calls of OnEnd.
  virtual uint32_t InFlight(TargetIndex) const { return 0; }
};

//-----------------------------------------------------------------------------
// [5] Settings and routers
//-----------------------------------------------------------------------------

struct RouterSettings
{
  std::string m_zone;   // of the entry node
  std::string m_region; // of the entry node
  // One-way network latency to another zone, and to another region.
  Duration m_zoneLatency{ std::chrono::microseconds(500) };
  Duration m_regionLatency{ std::chrono::milliseconds(15) };
  // Candidates sampled for each choice. While the best of them is much slower
  // than usual, more are sampled, up to m_maxChoices.
  uint32_t m_choices = 2;
  uint32_t m_maxChoices = 8;
  // A request leaves the entry node's zone when another zone's target is
  // expected to respond earlier by more than m_zoneMargin average latencies of
  // the service plus m_zoneByteCost for each byte of the bodies. Both 0: all
  // zones are equal.
  double m_zoneMargin = 0;
  FloatSeconds m_zoneByteCost{};
  // Time until a new or returned target gets its full share of requests.
  Duration m_slowStartWindow{ std::chrono::seconds(10) };
  // Time constant with which a latency estimate decays to the service's
  // average.
  Duration m_latencyDecay{ std::chrono::seconds(10) };
  // Time constant with which a failure score decays to 0.
  Duration m_failureDecay{ std::chrono::seconds(5) };
};

// Creates the production router: power of d choices by expected response time.
// aRandom must outlive the router, as for every router below.
std::unique_ptr<Router>
MakeRouter(RouterSettings aSettings, Random& aRandom);

// Baseline routers for comparison.
std::unique_ptr<Router>
MakeRandomRouter(RouterSettings aSettings, Random& aRandom);
std::unique_ptr<Router>
MakeRoundRobinRouter(RouterSettings aSettings, Random& aRandom);
// Chooses the usable target with the fewest requests of this node in flight.
std::unique_ptr<Router>
MakeLeastOutstandingRouter(RouterSettings aSettings, Random& aRandom);
// Samples two targets and chooses the one with fewer requests of this node in
// flight.
std::unique_ptr<Router>
MakeTwoChoicesRouter(RouterSettings aSettings, Random& aRandom);

//-----------------------------------------------------------------------------
// [6] Probe budget
//-----------------------------------------------------------------------------

struct ProbeBudgetSettings
{
  double m_perSecond = 10;    // maximum rate of the node
  double m_perRequest = 0.05; // probes per request that enters the node
  double m_burst = 5;         // maximum burst
};

// Limits the load caused by probes with two token buckets. Over any period the
// number of probes is at most m_burst + m_perSecond x seconds, and at most
// m_burst + m_perRequest x requests.
class ProbeBudget
{
public:
  ProbeBudget(ProbeBudgetSettings aSettings, TimePoint aNow);

  void OnRequest();
  // Returns true, and takes the tokens for one probe, if it may be sent now.
  bool TryAcquire(TimePoint aNow);
  uint64_t AcquiredCount() const { return m_acquiredCount; }

private:
  ProbeBudgetSettings m_settings;
  TimePoint m_lastRefillAt;
  double m_rateTokens;    // refilled with time
  double m_requestTokens; // refilled with requests
  uint64_t m_acquiredCount = 0;
};

} // namespace sassafrasquay
