// Cost of the at-most-once records: time for each call and bytes for each
// record, to be held against 210 admissions/s and the 32 MB that a node has for
// control work.
#include "idempotency/idempotency.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

using namespace sassafrasquay;
using namespace std::chrono_literals;

namespace {

const NodeInstance kSelf{ { "node-17.zone-a.fi-south" }, 42 };
constexpr int64_t kPerSecond = 210;
constexpr Duration kBetween{ std::chrono::seconds(1) / kPerSecond };

size_t
HeapBytes()
{
  return mallinfo2().uordblks;
}

void
RunCall(CallLedger& aLedger, uint64_t aNumber, TimePoint aNow)
{
  IncomingCall head;
  head.m_call = { 1, aNumber };
  head.m_incarnation = kSelf.m_incarnation;
  aLedger.Register(head, aNow);
  aLedger.Start(head.m_call, aNow);
  aLedger.Finish(head.m_call, CallOutcome::Completed, aNow);
}

// One call from its arrival to its end, with a ledger full of earlier ones.
void
CallInFullLedger(benchmark::State& aState)
{
  const auto ledger = MakeCallLedger(kSelf, IdempotencyLimits());
  const Duration retention = IdempotencyLimits().m_retention;
  const auto calls = static_cast<uint64_t>(retention / kBetween);
  TimePoint now{ 1000s };
  const size_t before = HeapBytes();
  for (uint64_t i = 0; i < calls; ++i) {
    RunCall(*ledger, i, now += kBetween);
  }
  aState.counters["records"] = static_cast<double>(ledger->Size());
  aState.counters["bytes_per_record"] =
    static_cast<double>(HeapBytes() - before) /
    static_cast<double>(ledger->Size());
  uint64_t next = calls;
  for (auto _ : aState) { // NOLINT(clang-analyzer-deadcode.DeadStores)
    RunCall(*ledger, next++, now += kBetween);
  }
}
BENCHMARK(CallInFullLedger);

} // namespace

BENCHMARK_MAIN();
