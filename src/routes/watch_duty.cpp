// Which nodes of a zone watch the log of the published configuration.
#include "routes/routes.h"

#include <algorithm>

namespace sassafrasquay {

namespace {

// The aCount nodes with the highest hash of their id and aSalt. Adding or
// removing a node changes one of them at most.
std::vector<NodeId>
HighestRanked(const std::vector<NodeId>& aNodes, size_t aCount, uint64_t aSalt)
{
  std::vector<std::pair<uint64_t, size_t>> ranks;
  ranks.reserve(aNodes.size());
  for (size_t i = 0; i < aNodes.size(); ++i) {
    ranks.emplace_back(StableHash(aNodes[i].m_value, aSalt), i);
  }
  const size_t count = std::min(aCount, ranks.size());
  const auto end = ranks.begin() + static_cast<ptrdiff_t>(count);
  std::partial_sort(ranks.begin(), end, ranks.end(), std::greater<>());
  std::vector<NodeId> highest;
  for (size_t i = 0; i < count; ++i) {
    highest.push_back(aNodes[ranks[i].second]);
  }
  return highest;
}

bool
Contains(const std::vector<NodeId>& aNodes, const NodeId& aNode)
{
  return std::find(aNodes.begin(), aNodes.end(), aNode) != aNodes.end();
}

} // namespace

void
WatchDuty::SetNodes(std::vector<NodeId> aNodes)
{
  if (!Contains(aNodes, m_node)) {
    aNodes.push_back(m_node);
  }
  m_followers.clear();
  m_isWatcher = aNodes.size() < m_settings.m_minNodes;
  if (m_isWatcher) {
    return;
  }
  const size_t share = (aNodes.size() + m_settings.m_nodesPerWatcher - 1) /
                       m_settings.m_nodesPerWatcher;
  const std::vector<NodeId> watchers =
    HighestRanked(aNodes, std::max(share, m_settings.m_watchersPerNode), 0);
  m_isWatcher = Contains(watchers, m_node);
  if (!m_isWatcher) {
    return;
  }
  for (const NodeId& node : aNodes) {
    const uint64_t salt = StableHash(node.m_value);
    const bool isFollower =
      !Contains(watchers, node) &&
      Contains(HighestRanked(watchers, m_settings.m_watchersPerNode, salt),
               m_node);
    if (isFollower) {
      m_followers.push_back(node);
    }
  }
}

void
WatchDuty::OnNotice(const NodeId& aWatcher, TimePoint aNow)
{
  std::erase_if(m_notices, [&](const auto& aNotice) {
    return aNow - aNotice.second > m_settings.m_noticeTimeout;
  });
  m_notices[aWatcher.m_value] = aNow;
}

TimePoint
WatchDuty::ReliesUntil() const
{
  if (m_isWatcher || m_notices.size() < m_settings.m_requiredNotices) {
    return TimePoint::min();
  }
  std::vector<TimePoint> times;
  for (const auto& [watcher, time] : m_notices) {
    times.push_back(time);
  }
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[m_settings.m_requiredNotices - 1] + m_settings.m_noticeTimeout;
}

} // namespace sassafrasquay
