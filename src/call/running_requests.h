// Requests that the local target is running, by the ids that their callers set.
#pragma once

#include "core/core.h"

#include <map>

namespace sassafrasquay {

// Registered as "running_requests". The gateway adds and removes requests; the
// front end finds out whether a request was made by one of them.
class RunningRequests : public Component
{
public:
  // Ids may be empty or repeated; an empty one is not kept.
  void Add(const std::string& aId)
  {
    if (!aId.empty()) {
      ++m_counts[aId];
    }
  }
  void Remove(const std::string& aId)
  {
    const auto found = m_counts.find(aId);
    if (found != m_counts.end() && --found->second == 0) {
      m_counts.erase(found);
    }
  }
  bool Contains(std::string_view aId) const
  {
    return m_counts.find(aId) != m_counts.end();
  }

private:
  std::map<std::string, uint32_t, std::less<>> m_counts;
};

} // namespace sassafrasquay
