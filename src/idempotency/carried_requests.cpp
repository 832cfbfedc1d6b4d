// Ids of the requests sent on one connection to a target.
#include "idempotency/idempotency.h"

#include <algorithm>

namespace sassafrasquay {

namespace {

// Bounds the memory of a connection's ids to 4 KiB.
constexpr size_t kMaxCarriedRequests = 512;

} // namespace

void
CarriedRequests::Add(std::string_view aId)
{
  if (aId.empty()) {
    m_full = true;
    return;
  }
  m_ids.push_back(StableHash(aId));
  m_full = m_full || m_ids.size() >= kMaxCarriedRequests;
}

bool
CarriedRequests::MayCarry(std::string_view aId) const
{
  return !m_full &&
         std::find(m_ids.begin(), m_ids.end(), StableHash(aId)) == m_ids.end();
}

} // namespace sassafrasquay
