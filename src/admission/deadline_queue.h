// Queued calls of one target, earliest deadline first. Internal to admission.
//
// A sorted vector: with a few entries per slot, moving them costs less than
// allocating the nodes of a tree.
#pragma once

#include "admission/admission.h"

#include <optional>

namespace sassafrasquay {

inline constexpr unsigned kAboveAllPriorities = 256;

class DeadlineQueue
{
public:
  bool IsEmpty() const { return m_entries.empty(); }
  size_t Size() const { return m_entries.size(); }
  const AdmissionRequest& Front() const { return m_entries.front(); }
  const AdmissionRequest& Back() const { return m_entries.back(); }
  bool Contains(const CallId& aCall) const;

  // Inserts after entries with the same deadline.
  void Insert(const AdmissionRequest& aRequest);
  AdmissionRequest PopFront();
  bool Remove(const CallId& aCall);
  std::vector<AdmissionRequest> Clear();

  // Number of entries of at least the given priority that would be served
  // before a call with this deadline.
  size_t CountAhead(TimePoint aDeadline, unsigned aLowestPriority) const;
  // Removes the entry with the lowest priority below aPriority and a deadline
  // up to aLatest; of several, the one with the latest deadline, because it has
  // the most time to try another target.
  std::optional<AdmissionRequest> EvictBelow(unsigned aPriority,
                                             TimePoint aLatest);

private:
  std::vector<AdmissionRequest> m_entries;
};

} // namespace sassafrasquay
