// Queued calls of one target, earliest deadline first.
#include "admission/deadline_queue.h"

#include <algorithm>
#include <utility>

namespace sassafrasquay {

namespace {

bool
IsDueBefore(TimePoint aDeadline, const AdmissionRequest& aEntry)
{
  return aDeadline < aEntry.m_deadline;
}

} // namespace

bool
DeadlineQueue::Contains(const CallId& aCall) const
{
  return std::any_of(
    m_entries.begin(), m_entries.end(), [&](const auto& aEntry) {
      return aEntry.m_call == aCall;
    });
}

void
DeadlineQueue::Insert(const AdmissionRequest& aRequest)
{
  const auto position = std::upper_bound(
    m_entries.begin(), m_entries.end(), aRequest.m_deadline, IsDueBefore);
  m_entries.insert(position, aRequest);
}

AdmissionRequest
DeadlineQueue::PopFront()
{
  AdmissionRequest request = m_entries.front();
  m_entries.erase(m_entries.begin());
  return request;
}

bool
DeadlineQueue::Remove(const CallId& aCall)
{
  return std::erase_if(m_entries, [&](const AdmissionRequest& aEntry) {
           return aEntry.m_call == aCall;
         }) > 0;
}

std::vector<AdmissionRequest>
DeadlineQueue::Clear()
{
  return std::exchange(m_entries, {});
}

size_t
DeadlineQueue::CountAhead(TimePoint aDeadline, unsigned aLowestPriority) const
{
  size_t count = 0;
  for (const AdmissionRequest& entry : m_entries) {
    if (aDeadline < entry.m_deadline) {
      break;
    }
    count += entry.m_priority >= aLowestPriority ? 1 : 0;
  }
  return count;
}

std::optional<AdmissionRequest>
DeadlineQueue::EvictBelow(unsigned aPriority, TimePoint aLatest)
{
  auto victim = m_entries.end();
  for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
    if (it->m_priority >= aPriority || aLatest < it->m_deadline) {
      continue;
    }
    if (victim == m_entries.end() || it->m_priority <= victim->m_priority) {
      victim = it;
    }
  }
  if (victim == m_entries.end()) {
    return std::nullopt;
  }
  const AdmissionRequest request = *victim;
  m_entries.erase(victim);
  return request;
}

} // namespace sassafrasquay
