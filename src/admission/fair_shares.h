// Weighted shares of client accounts in the work of one target. Internal to
// admission.
//
// Start-time fair queueing: each account has a virtual time at which its next
// request is due. A request moves it on by its work divided by the weight of
// the account, and requests run in the order of these times. An account that
// asks for less than its share is always due at once, however much others ask
// for; the room that it leaves is divided among the others. Of its unused share
// an account keeps that of a few requests, because arrivals are irregular.
#pragma once

#include "core/core.h"

#include <unordered_map>

namespace sassafrasquay {

class FairShares
{
public:
  // Virtual time at which the next request of the account is due, if it takes
  // aVirtualTime.
  double NextStart(uint64_t aAccount, double aVirtualTime) const;
  // Virtual time that this work of the account takes. Zero for requests
  // without account while no account is known: there is nothing to divide.
  double VirtualTime(uint64_t aAccount,
                     double aWeight,
                     Duration aExpectedWork) const;
  // Charges the account for a request that starts.
  void OnStart(uint64_t aAccount, double aWeight, Duration aExpectedWork);
  size_t AccountCount() const { return m_accounts.size(); }

private:
  struct Account
  {
    double m_nextStart = 0;
    double m_weight = 1;
  };

  Account& AccountOf(uint64_t aAccount, double aWeight);
  void Forget();

  std::unordered_map<uint64_t, Account> m_accounts;
  double m_weightSum = 0;   // of m_accounts, without kNoAccount
  size_t m_weightCount = 0; // of them
  double m_virtualTime = 0; // of the latest start
};

// Requests without account share as one account of mean weight.
inline constexpr uint64_t kNoAccount = 0;

} // namespace sassafrasquay
