// Counters of admissions for each client account. Internal to upstream.
#pragma once

#include "admission/admission.h"
#include "metrics/metrics.h"

#include <map>

namespace sassafrasquay {

class AccountMetrics
{
public:
  // aMaxAccounts: accounts with series of their own, those of the highest
  // weights; the others share one label.
  AccountMetrics(std::shared_ptr<Metrics> aMetrics, size_t aMaxAccounts = 20);

  // Counts the final verdict on a request. Ignores requests without account.
  void Count(const std::string& aAccount,
             double aWeight,
             const AdmissionResult& aResult);

private:
  std::string LabelOf(const std::string& aAccount, double aWeight);

  std::shared_ptr<Metrics> m_metrics;
  size_t m_maxAccounts;
  size_t m_replacedCount = 0;              // their series remain
  std::map<std::string, double> m_weights; // of the accounts with a label
  std::map<std::pair<std::string, std::string_view>, MetricCounter*> m_counters;
};

} // namespace sassafrasquay
