// Queued requests of one target in the order in which they run.
#include "admission/request_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sassafrasquay {

namespace {

struct RankedRequest
{
  bool m_isLate = false; // can't be answered within its objective
  int m_urgency = 0;     // lower first
  double m_start = 0;    // virtual time, from the share of its account
  TimePoint m_due;
  AdmissionRequest m_request;

  auto Group() const { return std::tie(m_isLate, m_urgency); }
};

bool
IsLate(const AdmissionRequest& aRequest, Duration aServiceTime, TimePoint aNow)
{
  return !aRequest.m_isSubrequest &&
         aRequest.m_latencyObjective != TimePoint::max() &&
         aNow + aServiceTime > aRequest.m_latencyObjective;
}

} // namespace

bool
RequestQueue::Contains(const CallId& aCall) const
{
  return std::any_of(
    m_entries.begin(), m_entries.end(), [&aCall](const auto& aEntry) {
      return aEntry.m_call == aCall;
    });
}

const FairShares&
RequestQueue::SharesOf(uint8_t aPriority) const
{
  static const FairShares kNoStarts;
  const auto found = m_shares.find(aPriority);
  return found == m_shares.end() ? kNoStarts : found->second;
}

void
RequestQueue::Sort(TimePoint aNow)
{
  std::vector<RankedRequest> ranked;
  ranked.reserve(m_entries.size());
  for (const AdmissionRequest& request : m_entries) {
    RankedRequest entry;
    entry.m_isLate =
      IsLate(request, m_serviceTimes.Expected(request.m_class), aNow);
    entry.m_urgency =
      -2 * request.m_priority - (request.m_isSubrequest ? 1 : 0);
    entry.m_due = std::min(request.m_latencyObjective, request.m_deadline);
    entry.m_request = request;
    ranked.push_back(entry);
  }
  std::stable_sort(
    ranked.begin(), ranked.end(), [](const auto& aL, const auto& aR) {
      return std::tuple(aL.m_isLate, aL.m_urgency, aL.m_due) <
             std::tuple(aR.m_isLate, aR.m_urgency, aR.m_due);
    });
  // Within a group, each request of an account is due after the one before it.
  std::unordered_map<uint64_t, double> nextStart;
  for (size_t i = 0; i < ranked.size(); ++i) {
    if (i > 0 && ranked[i].Group() != ranked[i - 1].Group()) {
      nextStart.clear();
    }
    const AdmissionRequest& request = ranked[i].m_request;
    if (request.m_isSubrequest) {
      continue;
    }
    const FairShares& shares = SharesOf(request.m_priority);
    const double virtualTime =
      shares.VirtualTime(request.m_account,
                         request.m_accountWeight,
                         m_serviceTimes.Expected(request.m_class));
    const auto [next, isFirst] = nextStart.try_emplace(request.m_account);
    if (isFirst) {
      next->second = shares.NextStart(request.m_account, virtualTime);
    }
    ranked[i].m_start = next->second;
    next->second += virtualTime;
  }
  std::stable_sort(
    ranked.begin(), ranked.end(), [](const auto& aL, const auto& aR) {
      return std::tuple(aL.m_isLate, aL.m_urgency, aL.m_start) <
             std::tuple(aR.m_isLate, aR.m_urgency, aR.m_start);
    });
  for (size_t i = 0; i < ranked.size(); ++i) {
    m_entries[i] = ranked[i].m_request;
  }
}

AdmissionRequest
RequestQueue::Take(size_t aIndex)
{
  const AdmissionRequest request = m_entries[aIndex];
  m_entries.erase(m_entries.begin() + static_cast<std::ptrdiff_t>(aIndex));
  return request;
}

bool
RequestQueue::Remove(const CallId& aCall)
{
  return std::erase_if(m_entries, [&aCall](const auto& aEntry) {
           return aEntry.m_call == aCall;
         }) > 0;
}

std::vector<AdmissionRequest>
RequestQueue::Clear()
{
  return std::exchange(m_entries, {});
}

// Requests of running requests are not divided among accounts, as the account
// has been charged for the running request.
void
RequestQueue::OnStart(const AdmissionRequest& aRequest)
{
  if (!aRequest.m_isSubrequest) {
    m_shares[aRequest.m_priority].OnStart(
      aRequest.m_account,
      aRequest.m_accountWeight,
      m_serviceTimes.Expected(aRequest.m_class));
  }
}

} // namespace sassafrasquay
