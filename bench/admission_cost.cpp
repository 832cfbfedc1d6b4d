// Cost of one admission decision: admitted at once, refused, and queued.
#include "admission/admission.h"

#include <benchmark/benchmark.h>

using namespace sassafrasquay;
using namespace std::chrono_literals;

namespace {

constexpr uint32_t kSlots = 12;
constexpr TimePoint kStart{ 1h };

AdmissionRequest
Request(uint64_t aSequence)
{
  return { { 1, aSequence }, kStart + 1h, 100 };
}

// A target that is warm at its full limit, with nothing in flight.
std::unique_ptr<AdmissionController>
WarmTarget()
{
  auto admission = MakeAdaptiveAdmission({});
  admission->SetTarget(kSlots, 1, kStart);
  uint64_t next = 0;
  for (int round = 0; round < 100; ++round) {
    const uint64_t first = next + 1;
    while (admission->Offer(Request(++next), kStart).m_verdict ==
           AdmissionVerdict::Admitted) {
    }
    admission->RemoveQueued({ 1, next }, kStart);
    for (uint64_t call = first; call < next; ++call) {
      admission->Finish(
        { 1, call }, { RequestOutcome::Completed, 5ms }, kStart);
    }
  }
  return admission;
}

void
OfferAndFinish(benchmark::State& aState)
{
  const auto admission = WarmTarget();
  uint64_t next = 1U << 30;
  while (aState.KeepRunning()) {
    benchmark::DoNotOptimize(admission->Offer(Request(++next), kStart));
    const FinishedRequest outcome{ RequestOutcome::Completed, 5ms };
    benchmark::DoNotOptimize(admission->Finish({ 1, next }, outcome, kStart));
  }
}
BENCHMARK(OfferAndFinish);

void
RefuseWhenFull(benchmark::State& aState)
{
  const auto admission = WarmTarget();
  uint64_t next = 1U << 30;
  while (admission->Offer(Request(++next), kStart).m_verdict !=
         AdmissionVerdict::Refused) {
  }
  while (aState.KeepRunning()) {
    benchmark::DoNotOptimize(admission->Offer(Request(++next), kStart));
  }
}
BENCHMARK(RefuseWhenFull);

void
QueueAndDispatch(benchmark::State& aState)
{
  const auto admission = WarmTarget();
  uint64_t next = 1U << 30;
  for (uint32_t i = 0; i < kSlots; ++i) {
    admission->Offer(Request(++next), kStart);
  }
  uint64_t oldest = next - kSlots;
  while (aState.KeepRunning()) {
    benchmark::DoNotOptimize(admission->Offer(Request(++next), kStart));
    const FinishedRequest outcome{ RequestOutcome::Completed, 5ms };
    benchmark::DoNotOptimize(
      admission->Finish({ 1, ++oldest }, outcome, kStart));
  }
}
BENCHMARK(QueueAndDispatch);

} // namespace

BENCHMARK_MAIN();
