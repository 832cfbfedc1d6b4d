// Cost of one admission decision for a call that is admitted at once, refused,
// or queued and then dispatched.
#include "admission/admission.h"

#include <benchmark/benchmark.h>

using namespace sassafrasquay;
using namespace std::chrono_literals;

namespace {

constexpr uint32_t kSlots = 12;
constexpr TimePoint kStart{ 1h };

AdmissionRequest
MakeRequest(uint64_t aSequence)
{
  return { { 1, aSequence }, kStart + 1h, 100 };
}

// Controller of a warm target whose limit has risen to kSlots, with no request
// in flight.
std::unique_ptr<AdmissionController>
MakeWarmController()
{
  auto admission = MakeAdaptiveAdmission({});
  admission->SetTarget(kSlots, 1, kStart);
  uint64_t sequence = 0;
  for (int round = 0; round < 100; ++round) {
    const uint64_t firstAdmitted = sequence + 1;
    while (admission->Offer(MakeRequest(++sequence), kStart).m_verdict ==
           AdmissionVerdict::Admitted) {
    }
    admission->RemoveQueued({ 1, sequence }, kStart);
    for (uint64_t admitted = firstAdmitted; admitted < sequence; ++admitted) {
      admission->Finish(
        { 1, admitted }, { RequestOutcome::Completed, 5ms }, kStart);
    }
  }
  return admission;
}

void
OfferAndFinish(benchmark::State& aState)
{
  const auto admission = MakeWarmController();
  uint64_t sequence = 1U << 30;
  while (aState.KeepRunning()) {
    benchmark::DoNotOptimize(admission->Offer(MakeRequest(++sequence), kStart));
    const FinishedRequest finished{ RequestOutcome::Completed, 5ms };
    benchmark::DoNotOptimize(
      admission->Finish({ 1, sequence }, finished, kStart));
  }
}
BENCHMARK(OfferAndFinish);

void
RefuseWhenFull(benchmark::State& aState)
{
  const auto admission = MakeWarmController();
  uint64_t sequence = 1U << 30;
  while (admission->Offer(MakeRequest(++sequence), kStart).m_verdict !=
         AdmissionVerdict::Refused) {
  }
  while (aState.KeepRunning()) {
    benchmark::DoNotOptimize(admission->Offer(MakeRequest(++sequence), kStart));
  }
}
BENCHMARK(RefuseWhenFull);

void
QueueAndDispatch(benchmark::State& aState)
{
  const auto admission = MakeWarmController();
  uint64_t sequence = 1U << 30;
  for (uint32_t i = 0; i < kSlots; ++i) {
    admission->Offer(MakeRequest(++sequence), kStart);
  }
  uint64_t oldestInFlight = sequence - kSlots;
  while (aState.KeepRunning()) {
    benchmark::DoNotOptimize(admission->Offer(MakeRequest(++sequence), kStart));
    const FinishedRequest finished{ RequestOutcome::Completed, 5ms };
    benchmark::DoNotOptimize(
      admission->Finish({ 1, ++oldestInFlight }, finished, kStart));
  }
}
BENCHMARK(QueueAndDispatch);

} // namespace

BENCHMARK_MAIN();
