// What the limit of an account would do to a request. Internal to this library.
#pragma once

#include "accounts/accounts.h"

namespace sassafrasquay {

// State of the service "account_limits" and, as copies, that of one account.
struct PreviewState
{
  const AccountLimitSettings& m_settings;
  const OwnerChoice& m_choice;
  const TokenBuckets& m_buckets;
  bool m_settled = false; // most of the fleet is listed
  TimePoint m_ownerSince;
  TimePoint m_now;
  Duration m_maxWait{};
  TokenHolder m_holder;
  OwnerTracker m_owner;
  uint32_t m_waiting = 0; // requests
};

// Takes the decisions of the service on copies of the state. aRandom provides
// the jitter of a suggested retry.
AccountPreview
PreviewAccount(const std::string& aAccount,
               const AccountLimit& aLimit,
               PreviewState aState,
               Random& aRandom);

} // namespace sassafrasquay
