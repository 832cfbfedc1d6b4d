// Counters of admissions for each client account.
#include "upstream/account_metrics.h"

#include <algorithm>
#include <utility>

namespace sassafrasquay {

namespace {

constexpr std::string_view kOtherAccounts = "other";

} // namespace

AccountMetrics::AccountMetrics(std::shared_ptr<Metrics> aMetrics,
                               size_t aMaxAccounts)
  : m_metrics(std::move(aMetrics))
  , m_maxAccounts(aMaxAccounts)
{
}

void
AccountMetrics::Count(const std::string& aAccount,
                      double aWeight,
                      const AdmissionResult& aResult)
{
  if (aAccount.empty()) {
    return;
  }
  const bool admitted = aResult.m_verdict == AdmissionVerdict::Admitted;
  const std::string_view outcome =
    admitted ? "admitted" : ResultRowFor(aResult.m_code).m_name;
  const std::string label = LabelOf(aAccount, aWeight);
  MetricCounter*& counter = m_counters[{ label, outcome }];
  if (counter == nullptr) {
    counter = &m_metrics->Counter(
      "sassafrasquay_account_admissions_total",
      "Requests of client accounts offered to the local target, by outcome.",
      { { "account", label }, { "outcome", std::string(outcome) } });
  }
  counter->Add();
}

// An account that gives up its label keeps its series, so labels are replaced
// at most m_maxAccounts times.
std::string
AccountMetrics::LabelOf(const std::string& aAccount, double aWeight)
{
  if (m_weights.contains(aAccount)) {
    return aAccount;
  }
  if (m_weights.size() >= m_maxAccounts) {
    const auto smallest = std::min_element(
      m_weights.begin(), m_weights.end(), [](const auto& aL, const auto& aR) {
        return aL.second < aR.second;
      });
    const bool mayReplace = m_replacedCount < m_maxAccounts &&
                            smallest != m_weights.end() &&
                            smallest->second < aWeight;
    if (!mayReplace) {
      return std::string(kOtherAccounts);
    }
    m_weights.erase(smallest);
    ++m_replacedCount;
  }
  m_weights.emplace(aAccount, aWeight);
  return aAccount;
}

} // namespace sassafrasquay
