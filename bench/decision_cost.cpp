// Cost of one routing decision, and the allocations that it makes.
#include "routing/routing.h"

#include <benchmark/benchmark.h>
#include <cstdlib>
#include <new>

namespace {

uint64_t gAllocations = 0;

} // namespace

// Counts allocations; the benchmark reports them for each decision.
void*
operator new(std::size_t aSize)
{
  ++gAllocations;
  if (void* memory = std::malloc(aSize)) {
    return memory;
  }
  throw std::bad_alloc();
}

void
operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

void
operator delete(void* aMemory, std::size_t) noexcept
{
  std::free(aMemory);
}

namespace {

using namespace sassafrasquay;
using Factory = std::unique_ptr<Router> (*)(RouterSettings, Random&);

constexpr std::chrono::microseconds kStep(50);

// One decision, and its answer; aState.range(0) is the number of targets.
void
Decide(benchmark::State& aState, Factory aFactory, bool aFeedback)
{
  SeededRandom random(1);
  const auto router = aFactory({ "z0", "r" }, random);
  std::vector<TargetInfo> targets(static_cast<size_t>(aState.range(0)));
  for (size_t i = 0; i < targets.size(); ++i) {
    targets[i].m_node.m_value = "t" + std::to_string(i);
    targets[i].m_service = "catalogue";
    targets[i].m_zone = "z" + std::to_string(i % 3);
    targets[i].m_region = "r";
    targets[i].m_slots = 12;
  }
  TimePoint now{ std::chrono::hours(1) };
  // As many services as the fleet has, so that the lookup counts.
  for (int i = 0; i < 180; ++i) {
    router->SetTargets("service" + std::to_string(i), targets, now);
  }
  router->SetTargets("catalogue", targets, now);
  RouteRequest request;
  request.m_service = "catalogue";
  RouteFeedback feedback;
  feedback.m_hasLoad = true;
  feedback.m_load.m_limit = feedback.m_load.m_slots = 12;
  const auto once = [&](uint64_t aRound) {
    now += kStep;
    const TargetIndex target = router->Choose(request, now).m_target;
    benchmark::DoNotOptimize(target);
    if (aFeedback || aRound < 20000) {
      router->OnSent(target, now);
      feedback.m_latency =
        std::chrono::microseconds(15000 + random.NextBelow(9000));
      feedback.m_load.m_inFlight = static_cast<uint32_t>(random.NextBelow(12));
      router->OnEnd(target, feedback, now);
    }
  };
  uint64_t round = 0;
  while (round < 20000) { // estimates of every target are in use
    once(round++);
  }
  const uint64_t before = gAllocations;
  for (auto _ : aState) { // NOLINT(clang-analyzer-deadcode.DeadStores)
    once(round++);
  }
  aState.counters["allocations"] =
    benchmark::Counter(static_cast<double>(gAllocations - before),
                       benchmark::Counter::kAvgIterations);
}

} // namespace

BENCHMARK_CAPTURE(Decide, production, MakeRouter, false)
  ->Arg(5)
  ->Arg(16)
  ->Arg(500);
BENCHMARK_CAPTURE(Decide, production_with_answer, MakeRouter, true)
  ->Arg(5)
  ->Arg(16)
  ->Arg(500);
BENCHMARK_CAPTURE(Decide, two_choices, MakeTwoChoicesRouter, false)
  ->Arg(5)
  ->Arg(16)
  ->Arg(500);
BENCHMARK_CAPTURE(Decide, least_outstanding, MakeLeastOutstandingRouter, false)
  ->Arg(5)
  ->Arg(16)
  ->Arg(500);

BENCHMARK_MAIN();
