// Queued requests of one target in the order in which they run. Internal to
// admission.
//
// Order: requests that can still be answered within their objective, and those
// that a running request waits for, as its work is lost with them; then by
// priority; within a priority the requests of running requests first; then by
// the shares of the client accounts; within an account by the earlier objective
// or deadline.
#pragma once

#include "admission/admission.h"
#include "admission/fair_shares.h"
#include "admission/service_times.h"

#include <map>

namespace sassafrasquay {

class RequestQueue
{
public:
  explicit RequestQueue(const ServiceTimes& aServiceTimes)
    : m_serviceTimes(aServiceTimes)
  {
  }

  bool IsEmpty() const { return m_entries.empty(); }
  size_t Size() const { return m_entries.size(); }
  bool Contains(const CallId& aCall) const;
  // In the order of the last Sort; later insertions at the end.
  const std::vector<AdmissionRequest>& Entries() const { return m_entries; }

  void Insert(const AdmissionRequest& aRequest)
  {
    m_entries.push_back(aRequest);
  }
  // Sorts into the order of running if no further request arrives.
  void Sort(TimePoint aNow);
  AdmissionRequest Take(size_t aIndex);
  bool Remove(const CallId& aCall);
  std::vector<AdmissionRequest> Clear();
  // Charges the account of a request that starts, queued before or not.
  void OnStart(const AdmissionRequest& aRequest);

private:
  const FairShares& SharesOf(uint8_t aPriority) const;

  const ServiceTimes& m_serviceTimes;
  std::vector<AdmissionRequest> m_entries;
  std::map<uint8_t, FairShares> m_shares; // by priority
};

} // namespace sassafrasquay
