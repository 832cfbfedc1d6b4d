// Cost of the call ledger, which ensures at-most-once execution: time per call
// and memory per record. A node must sustain 210 admissions/s and has 32 MB for
// control work.
#include "idempotency/idempotency.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

using namespace sassafrasquay;
using namespace std::chrono_literals;

namespace {

const NodeInstance kSelf{ { "node-17.zone-a.fi-south" }, 42 };
constexpr int64_t kCallsPerSecond = 210;
// The quotient is taken in Duration's unit: in whole seconds it would be zero.
constexpr Duration kCallInterval =
  Duration(std::chrono::seconds(1)) / kCallsPerSecond;
static_assert(kCallInterval > Duration::zero());

size_t
HeapBytes()
{
  return mallinfo2().uordblks;
}

void
RunCall(CallLedger& aLedger, uint64_t aSequence, TimePoint aNow)
{
  IncomingCall incoming;
  incoming.m_call = { 1, aSequence };
  incoming.m_incarnation = kSelf.m_incarnation;
  aLedger.Register(incoming, aNow);
  aLedger.Start(incoming.m_call, aNow);
  aLedger.Finish(incoming.m_call, CallOutcome::Completed, aNow);
}

// Registers, starts and finishes one call in a ledger that holds the records of
// a full retention time.
void
CallInFullLedger(benchmark::State& aState)
{
  const auto ledger = MakeCallLedger(kSelf, IdempotencyLimits());
  const Duration retention = IdempotencyLimits().m_retention;
  const auto retainedCalls = static_cast<uint64_t>(retention / kCallInterval);
  TimePoint now{ 1000s };
  const size_t heapBefore = HeapBytes();
  for (uint64_t i = 0; i < retainedCalls; ++i) {
    RunCall(*ledger, i, now += kCallInterval);
  }
  aState.counters["records"] = static_cast<double>(ledger->Size());
  aState.counters["bytes_per_record"] =
    static_cast<double>(HeapBytes() - heapBefore) /
    static_cast<double>(ledger->Size());
  uint64_t sequence = retainedCalls;
  for (auto _ : aState) { // NOLINT(clang-analyzer-deadcode.DeadStores)
    RunCall(*ledger, sequence++, now += kCallInterval);
  }
}
BENCHMARK(CallInFullLedger);

} // namespace

BENCHMARK_MAIN();
