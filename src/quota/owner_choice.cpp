// Which node owns an account, and how nodes share what needs no owner.
#include "quota/quota.h"

namespace sassafrasquay {

namespace {

// Owners that are kept until the nodes change; accounts beyond that are rare.
constexpr size_t kMaxKeptOwners = 10000;

} // namespace

void
OwnerChoice::OnChange()
{
  ++m_version;
  m_owners.clear();
  m_unreachable = 0;
  for (const auto& [peer, node] : m_nodes) {
    m_unreachable += node.m_state == OwnerState::Unreachable ? 1 : 0;
  }
}

void
OwnerChoice::Set(const Endpoint& aPeer, OwnerState aState)
{
  const auto [entry, isNew] = m_nodes.try_emplace(aPeer);
  Node& node = entry->second;
  if (isNew || node.m_state != aState) {
    node = { StableHash(ToString(aPeer)), aState };
    OnChange();
  }
}

void
OwnerChoice::Remove(const Endpoint& aPeer)
{
  if (m_nodes.erase(aPeer) > 0) {
    OnChange();
  }
}

template<class Predicate>
std::optional<Endpoint>
OwnerChoice::Best(std::string_view aAccount, Predicate aPredicate) const
{
  std::optional<Endpoint> best;
  uint64_t bestScore = 0;
  for (const auto& [peer, node] : m_nodes) {
    const uint64_t score = StableHash(aAccount, node.m_hash);
    if ((!best || score > bestScore) && aPredicate(peer, node)) {
      best = peer;
      bestScore = score;
    }
  }
  return best;
}

std::optional<Endpoint>
OwnerChoice::OwnerOf(const std::string& aAccount) const
{
  const auto kept = m_owners.find(aAccount);
  if (kept != m_owners.end()) {
    return kept->second;
  }
  auto owner = Best(aAccount, [](const Endpoint&, const Node& aNode) {
    return aNode.m_state == OwnerState::Usable ||
           aNode.m_state == OwnerState::Listed;
  });
  if (m_owners.size() < kMaxKeptOwners) {
    m_owners.emplace(aAccount, owner);
  }
  return owner;
}

std::optional<Endpoint>
OwnerChoice::UsableOwnerOf(std::string_view aAccount,
                           const std::optional<Endpoint>& aExcept) const
{
  return Best(aAccount, [&aExcept](const Endpoint& aPeer, const Node& aNode) {
    return aNode.m_state == OwnerState::Usable && aPeer != aExcept;
  });
}

std::optional<OwnerState>
OwnerChoice::StateOf(const Endpoint& aPeer) const
{
  const auto found = m_nodes.find(aPeer);
  return found == m_nodes.end() ? std::nullopt
                                : std::optional(found->second.m_state);
}

double
OwnerChoice::ReachableShare() const
{
  return m_nodes.empty() ? 0
                         : static_cast<double>(m_nodes.size() - m_unreachable) /
                             static_cast<double>(m_nodes.size());
}

uint32_t
OwnerChoice::ShareOf(const Endpoint& aPeer,
                     std::string_view aAccount,
                     double aTokens) const
{
  if (m_nodes.empty() || aTokens < 1) {
    return 0;
  }
  const auto tokens = static_cast<size_t>(aTokens);
  const uint64_t ownScore = StableHash(aAccount, StableHash(ToString(aPeer)));
  size_t rank = 0;
  for (const auto& [peer, node] : m_nodes) {
    rank += StableHash(aAccount, node.m_hash) > ownScore ? 1 : 0;
  }
  const size_t rest = tokens % m_nodes.size();
  return static_cast<uint32_t>(tokens / m_nodes.size() + (rank < rest ? 1 : 0));
}

bool
OwnerTracker::IsRecent(TimePoint aNow) const
{
  return m_last && aNow - m_lastReply < kOwnerMemory;
}

std::optional<Endpoint>
OwnerTracker::Choose(const OwnerChoice& aChoice,
                     const std::string& aAccount,
                     TimePoint aNow) const
{
  const bool stays = IsRecent(aNow) && !m_released &&
                     aChoice.StateOf(*m_last) == OwnerState::Usable;
  return stays ? m_last : aChoice.OwnerOf(aAccount);
}

Predecessor
OwnerTracker::PredecessorOf(const Endpoint& aOwner,
                            const OwnerChoice& aChoice,
                            TimePoint aNow) const
{
  if (!IsRecent(aNow)) {
    return Predecessor::None;
  }
  if (*m_last == aOwner) {
    return Predecessor::Same;
  }
  const std::optional<OwnerState> state = aChoice.StateOf(*m_last);
  const bool hasLeft = !state || *state == OwnerState::Leaving;
  return m_released || hasLeft ? Predecessor::Released : Predecessor::Silent;
}

void
OwnerTracker::OnReply(const Endpoint& aOwner, TimePoint aNow)
{
  m_last = aOwner;
  m_lastReply = aNow;
  m_released = false;
}

void
OwnerTracker::OnRelease(const Endpoint& aOwner)
{
  m_released = m_released || m_last == aOwner;
}

} // namespace sassafrasquay
