// Decisions about pipelined requests.
#include "frontend/pipeline.h"

namespace sassafrasquay {

PipelineKind
PipelineKindOf(bool aIsIdempotent, bool aHasSafeMethod, bool aHasBody)
{
  const bool parallel = aIsIdempotent && aHasSafeMethod && !aHasBody;
  return parallel ? PipelineKind::Parallel : PipelineKind::Alone;
}

Pipeline::Pipeline(size_t aMaxRequests, WaitingMemory& aMemory)
  : m_maxRequests(aMaxRequests)
  , m_memory(aMemory)
{
}

Pipeline::~Pipeline()
{
  for (Entry& entry : m_requests) {
    ReleaseMemory(entry);
  }
}

void
Pipeline::ReleaseMemory(Entry& aEntry)
{
  if (aEntry.m_holdsMemory) {
    m_memory.Release();
    aEntry.m_holdsMemory = false;
  }
}

PipelineVerdict
Pipeline::Decide(PipelineKind aKind) const
{
  if (m_requests.empty()) {
    return PipelineVerdict::Begin;
  }
  if (m_requests.size() >= m_maxRequests) {
    return PipelineVerdict::WaitForResponses;
  }
  if (aKind == PipelineKind::Refused) {
    return PipelineVerdict::Begin;
  }
  // A request that runs alone begins as the first one, so it can only be that.
  if (aKind == PipelineKind::Alone ||
      m_requests.front().m_kind == PipelineKind::Alone) {
    return PipelineVerdict::WaitForResponses;
  }
  return m_memory.HasRoom() ? PipelineVerdict::Begin
                            : PipelineVerdict::WaitForMemory;
}

void
Pipeline::OnBegin(PipelineKind aKind)
{
  // The first response is written as it arrives and a refusal is small.
  const bool waits = !m_requests.empty() && aKind != PipelineKind::Refused;
  if (waits) {
    m_memory.Take();
  }
  m_requests.push_back({ aKind, waits });
}

void
Pipeline::OnAnswered()
{
  ReleaseMemory(m_requests.front());
  m_requests.pop_front();
  if (!m_requests.empty()) {
    ReleaseMemory(m_requests.front());
  }
}

} // namespace sassafrasquay
