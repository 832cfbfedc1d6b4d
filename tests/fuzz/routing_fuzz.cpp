// Compares routers, the probe budget and retries over chained layers with
// simple models, for random sequences of events.
#include "retry/retry.h"
#include "routing/routing.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck.h>
#include <rapidcheck/state.h>
#include <set>

using namespace sassafrasquay;

namespace {

using Factory = std::unique_ptr<Router> (*)(RouterSettings, Random&);
constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr Duration kLeavingReportLifetime = std::chrono::seconds(10);

//-----------------------------------------------------------------------------
// Routers: model, system under test, commands
//-----------------------------------------------------------------------------

// State set by membership and by the operators.
struct Model
{
  std::vector<TargetInfo> m_targets;
  std::vector<std::string> m_zonesOut;
  TimePoint m_now = kStart;
};

// System under test: the router, and the attempts of its entry node.
struct Sut
{
  struct Attempt
  {
    TargetIndex m_index;
    std::string m_node;
    uint64_t m_incarnation;
  };

  SeededRandom m_random{ 5 };
  std::unique_ptr<Router> m_router;
  std::vector<Attempt> m_attempts;
  std::map<std::string, TimePoint> m_reportedLeaving; // by node

  explicit Sut(Factory aFactory)
    : m_router(aFactory({ "z0", "r" }, m_random))
  {
  }
  // Asserts that the router counts the attempts in flight of every index.
  void CheckInFlight() const
  {
    std::map<TargetIndex, uint32_t> counts;
    for (const Attempt& attempt : m_attempts) {
      ++counts[attempt.m_index];
    }
    for (TargetIndex index = 0; index < 64; ++index) {
      const auto found = counts.find(index);
      const uint32_t expected = found == counts.end() ? 0 : found->second;
      RC_ASSERT(m_router->InFlight(index) == expected);
    }
  }
  // Names of the nodes whose targets can be chosen according to the model.
  std::set<std::string> Usable(const Model& aModel) const
  {
    std::set<std::string> nodes;
    for (const TargetInfo& info : aModel.m_targets) {
      const auto& zonesOut = aModel.m_zonesOut;
      const auto report = m_reportedLeaving.find(info.m_node.m_value);
      const bool reportedLeaving =
        report != m_reportedLeaving.end() &&
        aModel.m_now < report->second + kLeavingReportLifetime;
      if (!info.m_leaving && !reportedLeaving &&
          std::find(zonesOut.begin(), zonesOut.end(), info.m_zone) ==
            zonesOut.end()) {
        nodes.insert(info.m_node.m_value);
      }
    }
    return nodes;
  }
};

using Command = rc::state::Command<Model, Sut>;

// Changes membership: targets are added, removed, leave, return and restart.
struct SetTargets : Command
{
  std::vector<TargetInfo> m_targets;

  explicit SetTargets(const Model& aModel)
  {
    const auto present = *rc::gen::container<std::vector<int>>(
      6, rc::gen::weightedElement<int>({ { 4, 1 }, { 1, 0 } }));
    for (size_t i = 0; i < present.size(); ++i) {
      TargetInfo info;
      info.m_node.m_value = "t" + std::to_string(i);
      info.m_service = "s";
      info.m_zone = "z" + std::to_string(i % 3);
      info.m_region = "r";
      info.m_slots = 6;
      info.m_incarnation = Incarnation(aModel, info.m_node);
      info.m_incarnation +=
        *rc::gen::weightedElement<uint64_t>({ { 5, 0 }, { 1, 1 } });
      info.m_leaving =
        *rc::gen::weightedElement<bool>({ { 4, false }, { 1, true } });
      info.m_cold =
        *rc::gen::weightedElement<bool>({ { 4, false }, { 1, true } });
      if (present[i] != 0) {
        m_targets.push_back(info);
      }
    }
  }
  static uint64_t Incarnation(const Model& aModel, const NodeId& aNode)
  {
    for (const TargetInfo& info : aModel.m_targets) {
      if (info.m_node == aNode) {
        return info.m_incarnation;
      }
    }
    return 1;
  }
  void apply(Model& aModel) const override { aModel.m_targets = m_targets; }
  void run(const Model& aModel, Sut& aSut) const override
  {
    aSut.m_router->SetTargets("s", m_targets, aModel.m_now);
    RC_ASSERT(aSut.m_router->HasService("s") == !m_targets.empty());
    // The leaving report of a removed or restarted target no longer counts.
    std::map<std::string, TimePoint> kept;
    for (const TargetInfo& info : m_targets) {
      const auto report = aSut.m_reportedLeaving.find(info.m_node.m_value);
      const bool isUnchanged =
        std::any_of(aModel.m_targets.begin(),
                    aModel.m_targets.end(),
                    [&](const TargetInfo& aOld) {
                      return aOld.m_node == info.m_node &&
                             aOld.m_incarnation == info.m_incarnation;
                    });
      if (report != aSut.m_reportedLeaving.end() && isUnchanged) {
        kept.insert(*report);
      }
    }
    aSut.m_reportedLeaving = kept;
    aSut.CheckInFlight();
  }
  void show(std::ostream& aOut) const override
  {
    aOut << "SetTargets";
    for (const TargetInfo& info : m_targets) {
      aOut << " " << info.m_node.m_value << "#" << info.m_incarnation
           << (info.m_leaving ? "-leaving" : "");
    }
  }
};

struct SetZonesOut : Command
{
  std::vector<std::string> m_zones;

  explicit SetZonesOut(const Model&)
  {
    for (const char* zone : { "z0", "z1", "z2" }) {
      if (*rc::gen::weightedElement<bool>({ { 3, false }, { 1, true } })) {
        m_zones.emplace_back(zone);
      }
    }
  }
  void apply(Model& aModel) const override { aModel.m_zonesOut = m_zones; }
  void run(const Model& aModel, Sut& aSut) const override
  {
    aSut.m_router->SetZonesOut(m_zones, aModel.m_now);
  }
  void show(std::ostream& aOut) const override
  {
    aOut << "SetZonesOut " << rc::toString(m_zones);
  }
};

// Chooses a target, checks the choice and starts an attempt.
struct Choose : Command
{
  std::vector<size_t> m_excluded; // attempts whose targets are excluded

  explicit Choose(const Model&)
    : m_excluded(*rc::gen::resize(4, rc::gen::arbitrary<std::vector<size_t>>()))
  {
  }
  void run(const Model& aModel, Sut& aSut) const override
  {
    RouteRequest request;
    request.m_service = "s";
    std::set<std::string> expected = aSut.Usable(aModel);
    for (const size_t position : m_excluded) {
      if (aSut.m_attempts.empty() || request.m_excludedCount == kMaxExcluded) {
        break;
      }
      const auto& attempt = aSut.m_attempts[position % aSut.m_attempts.size()];
      request.m_excluded[request.m_excludedCount++] = attempt.m_index;
      if (const TargetInfo* info = aSut.m_router->Target(attempt.m_index)) {
        expected.erase(info->m_node.m_value);
      }
    }
    const RouteDecision decision = aSut.m_router->Choose(request, aModel.m_now);
    RC_ASSERT(decision.m_candidates == expected.size());
    RC_ASSERT((decision.m_target == kNoTarget) == expected.empty());
    RC_ASSERT((decision.m_reason == RouteReason::None) == expected.empty());
    if (decision.m_target == kNoTarget) {
      return;
    }
    const TargetInfo* info = aSut.m_router->Target(decision.m_target);
    RC_ASSERT(info != nullptr);
    RC_ASSERT(expected.count(info->m_node.m_value) == 1);
    aSut.m_router->OnSent(decision.m_target, aModel.m_now);
    aSut.m_attempts.push_back(
      { decision.m_target, info->m_node.m_value, info->m_incarnation });
    aSut.CheckInFlight();
  }
  void show(std::ostream& aOut) const override
  {
    aOut << "Choose excluding " << rc::toString(m_excluded);
  }
};

// Ends a random attempt with random feedback.
struct End : Command
{
  // Selects the attempt: taken modulo the number of attempts.
  size_t m_selector = *rc::gen::arbitrary<size_t>();
  RouteFeedback m_feedback;

  explicit End(const Model&)
  {
    const auto small = rc::gen::inRange<uint32_t>(0, 20);
    m_feedback.m_outcome = *rc::gen::element(AttemptOutcome::Succeeded,
                                             AttemptOutcome::Failed,
                                             AttemptOutcome::Refused,
                                             AttemptOutcome::Unreachable);
    m_feedback.m_latency =
      std::chrono::microseconds(*rc::gen::inRange<int64_t>(0, 5'000'000));
    m_feedback.m_hasLoad = *rc::gen::arbitrary<bool>();
    m_feedback.m_load.m_inFlight = *small;
    m_feedback.m_load.m_queued = *small;
    m_feedback.m_load.m_limit = *small;
    m_feedback.m_load.m_slots = *small;
    m_feedback.m_load.m_cold = *rc::gen::arbitrary<bool>();
    m_feedback.m_load.m_leaving =
      *rc::gen::weightedElement<bool>({ { 7, false }, { 1, true } });
  }
  void run(const Model& aModel, Sut& aSut) const override
  {
    if (aSut.m_attempts.empty()) {
      return;
    }
    const size_t position = m_selector % aSut.m_attempts.size();
    const Sut::Attempt attempt = aSut.m_attempts[position];
    aSut.m_attempts.erase(aSut.m_attempts.begin() +
                          static_cast<ptrdiff_t>(position));
    RouteFeedback feedback = m_feedback;
    feedback.m_load.m_incarnation = attempt.m_incarnation;
    // The target may have been removed or restarted meanwhile.
    const TargetInfo* info = aSut.m_router->Target(attempt.m_index);
    const bool same =
      info != nullptr && info->m_incarnation == attempt.m_incarnation;
    if (same && feedback.m_hasLoad && feedback.m_load.m_leaving) {
      aSut.m_reportedLeaving[attempt.m_node] = aModel.m_now;
    }
    aSut.m_router->OnEnd(attempt.m_index, feedback, aModel.m_now);
    aSut.CheckInFlight();
  }
  void show(std::ostream& aOut) const override
  {
    aOut << "End " << m_selector << " as "
         << static_cast<int>(m_feedback.m_outcome)
         << (m_feedback.m_load.m_leaving ? " leaving" : "");
  }
};

struct Wait : Command
{
  Duration m_time;

  explicit Wait(const Model&)
    : m_time(std::chrono::milliseconds(
        *rc::gen::element<int>(0, 1, 20, 500, 4000, 11000)))
  {
  }
  void apply(Model& aModel) const override { aModel.m_now += m_time; }
  void show(std::ostream& aOut) const override
  {
    aOut << "Wait " << m_time.count();
  }
};

bool
MatchesModel(const char* aName, Factory aFactory)
{
  return rc::check(aName, [aFactory] {
    // Ten sequences in each case, because one takes less than a millisecond.
    for (int i = 0; i < 10; ++i) {
      Sut sut(aFactory);
      rc::state::check(Model(),
                       sut,
                       rc::state::gen::execOneOfWithArgs<SetTargets,
                                                         SetZonesOut,
                                                         Choose,
                                                         Choose,
                                                         End,
                                                         Wait>());
    }
  });
}

//-----------------------------------------------------------------------------
// Retries over chained layers
//-----------------------------------------------------------------------------

// A chain of layers, each with its own retry policy. Calls fail at random at
// the last layer; a failure that a layer does not retry fails the layer above.
struct Chain
{
  static constexpr size_t kLayers = 10;

  SeededRandom m_random;
  double m_failureRate; // share of calls that fail at the last layer
  std::vector<std::unique_ptr<RetryPolicy>> m_policies;
  uint64_t m_lastLayerCalls = 0; // calls that reached the last layer

  Chain(uint64_t aSeed, double aFailureRate)
    : m_random(aSeed)
    , m_failureRate(aFailureRate)
  {
    for (size_t i = 0; i < kLayers; ++i) {
      m_policies.push_back(MakeRetryPolicy({}, m_random));
    }
  }
  bool Call(size_t aLayer, RetryMarker aMarker)
  {
    if (aLayer == kLayers) {
      ++m_lastLayerCalls;
      return m_random.NextDouble() >= m_failureRate;
    }
    RetryPolicy& policy = *m_policies[aLayer];
    policy.OnRequest("s", aMarker);
    RetryAttempt attempt;
    attempt.m_service = "s";
    attempt.m_idempotent = true;
    attempt.m_replayable = true;
    attempt.m_remaining = std::chrono::seconds(1);
    attempt.m_marker = aMarker;
    RetryMarker marker = aMarker;
    while (!Call(aLayer + 1, marker)) {
      ++attempt.m_dispatchedAttempts;
      policy.OnResult("s", attempt.m_code);
      const RetryDecision decision = policy.Decide(attempt);
      if (decision.m_action == RetryAction::Stop) {
        return false;
      }
      marker = decision.m_marker;
    }
    return true;
  }
};

// Returns an attempt with a random result.
RetryAttempt
RandomAttempt(Random& aRandom)
{
  const auto rows = ResultTable();
  RetryAttempt attempt;
  attempt.m_service = "s";
  attempt.m_code = rows[aRandom.NextBelow(rows.size())].m_code;
  attempt.m_executed = static_cast<Executed>(aRandom.NextBelow(3));
  attempt.m_responseStarted = aRandom.NextBelow(10) == 0;
  attempt.m_remaining = std::chrono::milliseconds(aRandom.NextBelow(200));
  attempt.m_expectedDuration = std::chrono::milliseconds(aRandom.NextBelow(20));
  return attempt;
}

// Runs one request until it is not retried. Returns the cost of its retries in
// tokens.
double
RunRequest(RetryPolicy& aPolicy, Random& aRandom, RetryMarker aMarker)
{
  const bool idempotent = aRandom.NextBelow(2) == 0;
  bool mayHaveExecuted = false;
  uint32_t dispatched = 0;
  uint32_t refused = 0;
  double cost = 0;
  for (;;) {
    RetryAttempt attempt = RandomAttempt(aRandom);
    const bool notExecuted = attempt.m_executed == Executed::No;
    mayHaveExecuted = mayHaveExecuted || !notExecuted;
    ++(notExecuted ? refused : dispatched);
    attempt.m_idempotent = idempotent;
    attempt.m_replayable = aRandom.NextBelow(10) != 0;
    attempt.m_dispatchedAttempts = dispatched;
    attempt.m_refusedAttempts = refused;
    attempt.m_marker = aMarker;
    aPolicy.OnResult("s", attempt.m_code);
    const RetryDecision decision = aPolicy.Decide(attempt);
    if (decision.m_action == RetryAction::Stop) {
      return cost;
    }
    cost += notExecuted ? 0.25 : 1;
    RC_ASSERT(idempotent || !mayHaveExecuted);
    RC_ASSERT(attempt.m_replayable && !attempt.m_responseStarted);
    RC_ASSERT(notExecuted || aMarker == RetryMarker::None);
    RC_ASSERT(!mayHaveExecuted || decision.m_marker == RetryMarker::Spent);
    RC_ASSERT(decision.m_delay + attempt.m_expectedDuration <=
              attempt.m_remaining);
    RC_ASSERT(dispatched <= 1 && refused <= 3);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(routing_fuzz)

BOOST_AUTO_TEST_SUITE(routers)

// Guards against choosing a target that is leaving, excluded or in a zone out
// of service, against choosing none although one is usable, and against wrong
// counts of requests in flight.
BOOST_AUTO_TEST_CASE(choose_only_targets_that_the_model_allows)
{
  BOOST_TEST(MatchesModel("production", MakeRouter));
  BOOST_TEST(MatchesModel("random", MakeRandomRouter));
  BOOST_TEST(MatchesModel("round robin", MakeRoundRobinRouter));
  BOOST_TEST(MatchesModel("least outstanding", MakeLeastOutstandingRouter));
  BOOST_TEST(MatchesModel("two choices", MakeTwoChoicesRouter));
}

// Guards against a target that is never chosen again after bad feedback.
BOOST_AUTO_TEST_CASE(choose_every_usable_target_in_the_end)
{
  BOOST_TEST(rc::check("eventually chosen", [] {
    Sut sut(MakeRouter);
    Model model;
    SetTargets(model).apply(model);
    sut.m_router->SetTargets("s", model.m_targets, model.m_now);
    // Random feedback, different for each target.
    const auto badFeedback = *rc::gen::container<std::vector<End>>(
      30, rc::gen::exec([&model] { return End(model); }));
    for (const End& end : badFeedback) {
      if (model.m_targets.empty()) {
        return;
      }
      const auto index =
        static_cast<TargetIndex>(end.m_selector % model.m_targets.size());
      RouteFeedback feedback = end.m_feedback;
      feedback.m_load.m_leaving = false;
      sut.m_router->OnSent(index, model.m_now);
      sut.m_router->OnEnd(index, feedback, model.m_now);
    }
    RouteFeedback goodFeedback;
    goodFeedback.m_latency = std::chrono::milliseconds(20);
    std::set<std::string> chosen;
    RouteRequest request;
    request.m_service = "s";
    const std::set<std::string> usable = sut.Usable(model);
    for (int i = 0; i < 20000 && chosen.size() < usable.size(); ++i) {
      model.m_now += std::chrono::milliseconds(50);
      const TargetIndex index =
        sut.m_router->Choose(request, model.m_now).m_target;
      chosen.insert(sut.m_router->Target(index)->m_node.m_value);
      sut.m_router->OnSent(index, model.m_now);
      sut.m_router->OnEnd(index, goodFeedback, model.m_now);
    }
    RC_ASSERT(chosen == usable);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(probes)

// Guards against exceeding the budget, also when the time goes backwards.
BOOST_AUTO_TEST_CASE(never_exceed_the_budget)
{
  BOOST_TEST(rc::check("probe budget", [](uint64_t aSeed) {
    SeededRandom random(aSeed);
    const ProbeBudgetSettings settings{ random.NextDouble() * 50,
                                        random.NextDouble() * 0.2,
                                        random.NextDouble() * 10 };
    TimePoint now = kStart;
    TimePoint latest = kStart;
    ProbeBudget budget(settings, now);
    double requests = 0;
    for (int i = 0; i < 2000; ++i) {
      now += std::chrono::milliseconds(random.NextBelow(40)) -
             std::chrono::milliseconds(10);
      latest = std::max(latest, now);
      if (random.NextBelow(3) == 0) {
        budget.OnRequest();
        requests += 1;
      }
      budget.TryAcquire(now);
      const std::chrono::duration<double> passed = latest - kStart;
      const auto acquired = static_cast<double>(budget.AcquiredCount());
      RC_ASSERT(acquired <= settings.m_burst +
                              settings.m_perSecond * passed.count() + 1e-6);
      RC_ASSERT(acquired <=
                settings.m_burst + settings.m_perRequest * requests + 1e-6);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(retries)

// Guards against executing a non-idempotent request twice, against unlimited
// attempts, and against exceeding the budget.
BOOST_AUTO_TEST_CASE(keep_every_rule_and_the_budget)
{
  BOOST_TEST(rc::check("retry rules", [](uint64_t aSeed) {
    SeededRandom random(aSeed);
    const auto policy = MakeRetryPolicy({}, random);
    double cost = 0;
    double unmarkedRequests = 0;
    for (int i = 0; i < 2000; ++i) {
      const RetryMarker marker =
        random.NextBelow(5) == 0 ? RetryMarker::Spent : RetryMarker::None;
      policy->OnRequest("s", marker);
      unmarkedRequests += marker == RetryMarker::None ? 1 : 0;
      cost += RunRequest(*policy, random, marker);
      RC_ASSERT(cost <= 10 + 0.1 * unmarkedRequests + 1e-6);
    }
  }));
}

// Guards against retries that multiply over the layers.
BOOST_AUTO_TEST_CASE(do_not_amplify_over_ten_layers)
{
  BOOST_TEST(rc::check("ten layers", [](uint64_t aSeed) {
    SeededRandom random(aSeed);
    Chain chain(aSeed, random.NextDouble());
    constexpr int kRequests = 500;
    uint64_t maxCalls = 0; // calls at the last layer for one request
    for (int i = 0; i < kRequests; ++i) {
      const uint64_t before = chain.m_lastLayerCalls;
      chain.Call(0, RetryMarker::None);
      maxCalls = std::max(maxCalls, chain.m_lastLayerCalls - before);
    }
    // Without marker and budget one request could cause 1024 calls there.
    RC_ASSERT(maxCalls <= 1 + Chain::kLayers);
    // Each layer adds at most its own budget: 10% of the requests, plus the
    // initial 10 tokens.
    const double bound =
      kRequests + static_cast<double>(Chain::kLayers) * (10 + 0.1 * kRequests);
    RC_ASSERT(static_cast<double>(chain.m_lastLayerCalls) <= bound + 1e-6);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
