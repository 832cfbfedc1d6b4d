// Weighted shares of client accounts in the work of one target.
#include "admission/fair_shares.h"

#include <algorithm>
#include <limits>

namespace sassafrasquay {

namespace {

// Accounts kept for each priority; bounds the memory when there are more.
constexpr size_t kMaxAccounts = 256;
// Assumed before the first completion, and for requests that take no time.
constexpr Duration kMinWork = std::chrono::milliseconds(1);
constexpr double kMinWeight = 1e-3;
// Unused share that an account keeps, in requests.
constexpr double kKeptRequests = 2;

} // namespace

double
FairShares::NextStart(uint64_t aAccount, double aVirtualTime) const
{
  const double earliest = m_virtualTime - kKeptRequests * aVirtualTime;
  const auto found = m_accounts.find(aAccount);
  return found == m_accounts.end()
           ? earliest
           : std::max(earliest, found->second.m_nextStart);
}

double
FairShares::VirtualTime(uint64_t aAccount,
                        double aWeight,
                        Duration aExpectedWork) const
{
  double weight = aWeight;
  if (aAccount == kNoAccount) {
    if (m_weightCount == 0) {
      return 0;
    }
    weight = m_weightSum / static_cast<double>(m_weightCount);
  }
  return FloatSeconds(std::max(kMinWork, aExpectedWork)).count() /
         std::max(kMinWeight, weight);
}

void
FairShares::OnStart(uint64_t aAccount, double aWeight, Duration aExpectedWork)
{
  Account& account = AccountOf(aAccount, aWeight);
  const double virtualTime = VirtualTime(aAccount, aWeight, aExpectedWork);
  const double start = NextStart(aAccount, virtualTime);
  m_virtualTime = std::max(m_virtualTime, start);
  account.m_nextStart = start + virtualTime;
  if (m_accounts.size() > kMaxAccounts) {
    Forget();
  }
}

FairShares::Account&
FairShares::AccountOf(uint64_t aAccount, double aWeight)
{
  const auto [entry, isNew] = m_accounts.try_emplace(
    aAccount, Account{ std::numeric_limits<double>::lowest(), aWeight });
  Account& account = entry->second;
  if (aAccount != kNoAccount) {
    m_weightCount += isNew ? 1 : 0;
    m_weightSum += aWeight - (isNew ? 0 : account.m_weight);
    account.m_weight = aWeight;
  }
  return account;
}

// Removes the account that is due first, which loses least.
void
FairShares::Forget()
{
  const auto first = std::min_element(
    m_accounts.begin(), m_accounts.end(), [](const auto& aL, const auto& aR) {
      return aL.second.m_nextStart < aR.second.m_nextStart;
    });
  if (first->first != kNoAccount) {
    --m_weightCount;
    m_weightSum -= first->second.m_weight;
  }
  m_accounts.erase(first);
}

} // namespace sassafrasquay
