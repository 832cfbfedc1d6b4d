// Token buckets of the accounts that this node owns.
#include "quota/quota.h"

#include <algorithm>
#include <cmath>

namespace sassafrasquay {

namespace {

// Asking nodes are counted as active, and as refused, for this time.
constexpr Duration kActiveTime = std::chrono::seconds(1);
constexpr Duration kSurveyInterval = std::chrono::milliseconds(20);
// Exceeds every time in which the tokens of an asking node matter.
constexpr Duration kForgetAsker = std::chrono::seconds(30);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(1);
// Keeps the requests of refused nodes below 100 a second and account in fleets
// of any size.
constexpr Duration kRetryPerRefusedNode = std::chrono::milliseconds(10);

double
Seconds(Duration aDuration)
{
  return FloatSeconds(aDuration).count();
}

Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(FloatSeconds(aSeconds));
}

Duration
LongestRetry(double aAskers)
{
  return std::max(kMaxRetryAfter,
                  kRetryPerRefusedNode * static_cast<int64_t>(aAskers));
}

} // namespace

TokenPlan
PlanTokens(const AccountLimit& aLimit,
           const LimitTolerance& aTolerance,
           double aShare)
{
  const double rate = aLimit.m_requestsPerSecond;
  const double spare =
    aTolerance.m_excess *
      (rate * Seconds(aTolerance.m_window) + aLimit.m_burst) +
    aTolerance.m_allowance;
  TokenPlan plan;
  plan.m_rate = rate * aShare;
  // A quarter smooths random arrivals of accounts with a small burst, a quarter
  // covers refunds, an eighth each change of owner, and an eighth the nodes
  // without one.
  plan.m_depth = (aLimit.m_burst + spare / 4) * aShare;
  plan.m_initial = std::min(plan.m_depth, spare / 8 * aShare);
  plan.m_withoutOwner = spare / 8;
  if (rate > 0) {
    plan.m_refundTime = std::min(FromSeconds(spare / 4 / rate),
                                 Duration(std::chrono::seconds(1)));
  }
  if (aShare > 0.5) {
    // Only one part of the fleet is that large.
    plan.m_depth = std::max(plan.m_depth, 1.0);
  }
  return plan;
}

TokenBuckets::Bucket&
TokenBuckets::FindBucket(const TokenRequest& aRequest,
                         const TokenPlan& aPlan,
                         TimePoint aSince,
                         TimePoint aNow)
{
  const auto found = m_buckets.find(aRequest.m_account);
  if (found != m_buckets.end()) {
    found->second.m_plan = aPlan;
    return found->second;
  }
  Bucket& bucket = m_buckets[aRequest.m_account];
  bucket.m_plan = aPlan;
  bucket.m_tokens = aPlan.m_initial;
  bucket.m_filledAt = aNow;
  if (aRequest.m_predecessor == Predecessor::None) {
    bucket.m_filledAt = aSince; // idle until now
  }
  return bucket;
}

void
TokenBuckets::OnPredecessor(Bucket& aBucket,
                            Predecessor aPredecessor,
                            TimePoint aNow)
{
  if (aPredecessor == Predecessor::Same) {
    // This node was the owner before it restarted, so no other one is.
    const bool silent = aNow - aBucket.m_lastTakeover < kOwnerMemory;
    if (!silent) {
      aBucket.m_filledAt = std::min(aBucket.m_filledAt, aNow);
    }
    return;
  }
  if (aPredecessor == Predecessor::None) {
    return;
  }
  aBucket.m_tokens = std::min(aBucket.m_tokens, aBucket.m_plan.m_initial);
  // Nodes whose owner has become silent ask one after the other; only the first
  // one delays the refill.
  if (aPredecessor == Predecessor::Silent &&
      aNow - aBucket.m_lastTakeover >= kOwnerMemory) {
    aBucket.m_lastTakeover = aNow;
    aBucket.m_filledAt = aNow + kPartitionDivergence;
  }
}

void
TokenBuckets::Count(Bucket& aBucket,
                    const Asker& aAsker,
                    int aSign,
                    TimePoint aNow)
{
  if (aNow - aAsker.m_lastAsk >= kActiveTime) {
    return;
  }
  aBucket.m_activeAskers += aSign;
  aBucket.m_pacedAskers += aAsker.m_isPaced ? aSign : 0;
  aBucket.m_refused += aSign * static_cast<double>(aAsker.m_refused);
}

// Sums up the askers and forgets expired grants.
void
TokenBuckets::Survey(Bucket& aBucket, TimePoint aNow)
{
  if (aNow - aBucket.m_surveyedAt < kSurveyInterval) {
    return;
  }
  aBucket.m_surveyedAt = aNow;
  aBucket.m_activeAskers = 0;
  aBucket.m_pacedAskers = 0;
  aBucket.m_refused = 0;
  aBucket.m_granted = 0;
  std::erase_if(aBucket.m_askers, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.m_lastAsk > kForgetAsker;
  });
  for (auto& [node, asker] : aBucket.m_askers) {
    std::erase_if(asker.m_grants, [aNow](const Grant& aGrant) {
      return aGrant.m_expiry <= aNow;
    });
    for (const Grant& grant : asker.m_grants) {
      aBucket.m_granted += grant.m_tokens;
    }
    Count(aBucket, asker, 1, aNow);
  }
}

void
TokenBuckets::Refill(Bucket& aBucket, TimePoint aNow)
{
  const double room = aBucket.m_plan.m_depth - aBucket.m_granted;
  if (aNow > aBucket.m_filledAt) {
    aBucket.m_tokens +=
      aBucket.m_plan.m_rate * Seconds(aNow - aBucket.m_filledAt);
    aBucket.m_filledAt = aNow;
  }
  aBucket.m_tokens = std::min(aBucket.m_tokens, room);
}

// Takes back the tokens that the asker neither holds nor has used. Those whose
// lifetime has ended here are not taken back: the bucket was refilled instead.
void
TokenBuckets::Settle(Bucket& aBucket,
                     Asker& aAsker,
                     const TokenRequest& aRequest,
                     TimePoint aNow)
{
  double valid = 0;
  TimePoint expiry = aNow;
  for (const Grant& grant : aAsker.m_grants) {
    aBucket.m_granted -= grant.m_tokens;
    if (grant.m_expiry > aNow) {
      valid += grant.m_tokens;
      expiry = std::max(expiry, grant.m_expiry);
    }
  }
  const auto used = static_cast<double>(aRequest.m_used - aAsker.m_used);
  const double held = aRequest.m_held;
  const double unused = aAsker.m_unsettled - used - held;
  aBucket.m_tokens += std::min(unused, std::max(0.0, valid - held));
  aBucket.m_tokens = std::max(aBucket.m_tokens, -aBucket.m_plan.m_depth);
  aAsker.m_used = aRequest.m_used;
  aAsker.m_unsettled = aRequest.m_held;
  aAsker.m_grants.clear();
  if (aRequest.m_held > 0) {
    aAsker.m_grants.push_back({ aRequest.m_held, expiry });
    aBucket.m_granted += held;
  }
}

// Decides how many tokens the asker gets. Sets its m_nextDue when tokens are
// scarce.
uint32_t
TokenBuckets::GrantFor(Bucket& aBucket,
                       Asker& aAsker,
                       const TokenRequest& aRequest,
                       TimePoint aNow)
{
  const double waiting = aRequest.m_waiting;
  const double ahead = aRequest.m_ahead;
  // Tokens for later requests may expire unused, so that they come only from
  // the upper half of the bucket.
  const double spare = aBucket.m_tokens - aBucket.m_plan.m_depth / 2;
  aAsker.m_isPaced = aBucket.m_refused + waiting > aBucket.m_tokens;
  if (!aAsker.m_isPaced) {
    return static_cast<uint32_t>(waiting +
                                 std::clamp(spare - waiting, 0.0, ahead));
  }
  // Each paced asker gets an equal part of the tokens and of the rate.
  const double askers = 1 + static_cast<double>(aBucket.m_pacedAskers);
  const bool isEarly = aNow < aAsker.m_nextDue && aBucket.m_tokens < askers;
  if (isEarly || aBucket.m_tokens < 1 || waiting < 1) {
    return 0;
  }
  const double share = std::max(1.0, aBucket.m_tokens / askers);
  const double grant = std::floor(std::min(waiting + ahead, share));
  const Duration interval = std::min(
    FromSeconds(grant * askers / aBucket.m_plan.m_rate), LongestRetry(askers));
  aAsker.m_nextDue = std::max(aAsker.m_nextDue, aNow - interval) + interval;
  return static_cast<uint32_t>(grant);
}

uint32_t
TokenBuckets::Take(Bucket& aBucket,
                   Asker& aAsker,
                   const TokenRequest& aRequest,
                   TimePoint aNow)
{
  const uint32_t tokens = GrantFor(aBucket, aAsker, aRequest, aNow);
  const uint32_t waiting = std::min(tokens, aRequest.m_waiting);
  const Duration lifetime =
    std::clamp(aRequest.m_lifetime, Duration::zero(), kMaxWaitingLifetime);
  if (waiting > 0) {
    aAsker.m_grants.push_back({ waiting, aNow + lifetime });
  }
  if (tokens > waiting) {
    aAsker.m_grants.push_back({ tokens - waiting, aNow + kStockLifetime });
  }
  aAsker.m_unsettled += tokens;
  aAsker.m_refused = aRequest.m_waiting - waiting;
  aBucket.m_tokens -= tokens;
  aBucket.m_granted += tokens;
  return tokens;
}

// The paced askers get the next tokens in turn.
Duration
TokenBuckets::RetryAfter(const Bucket& aBucket,
                         const Asker& aAsker,
                         TimePoint aNow)
{
  if (aNow < aAsker.m_nextDue) {
    return aAsker.m_nextDue - aNow;
  }
  const double askers = 1 + static_cast<double>(aBucket.m_pacedAskers);
  const Duration longest = LongestRetry(askers);
  const Duration pause = std::max(Duration::zero(), aBucket.m_filledAt - aNow);
  const double missing = std::max(1 - aBucket.m_tokens, askers);
  const double seconds =
    std::min(missing / aBucket.m_plan.m_rate, Seconds(longest));
  return std::min(FromSeconds(seconds) + pause, longest);
}

TokenReply
TokenBuckets::Ask(const NodeId& aAsker,
                  uint64_t aAskerIncarnation,
                  const TokenRequest& aRequest,
                  const AccountLimit& aLimit,
                  double aReachableShare,
                  TimePoint aSince,
                  TimePoint aNow)
{
  const TokenPlan plan = PlanTokens(aLimit, m_tolerance, aReachableShare);
  if (plan.m_rate <= 0) {
    return { 0, kMaxRetryAfter };
  }
  Bucket& bucket = FindBucket(aRequest, plan, aSince, aNow);
  const auto found = bucket.m_askers.find(aAsker);
  const bool isKnown = found != bucket.m_askers.end() &&
                       found->second.m_incarnation == aAskerIncarnation;
  if (isKnown && aRequest.m_sequence == found->second.m_sequence) {
    return found->second.m_lastReply; // a copy, sent when a link failed
  }
  if (isKnown && aRequest.m_sequence < found->second.m_sequence) {
    return {};
  }
  Survey(bucket, aNow);
  Asker& asker = bucket.m_askers[aAsker];
  if (!isKnown) {
    for (const Grant& grant : asker.m_grants) {
      bucket.m_granted -= grant.m_tokens;
    }
    asker = Asker();
    asker.m_incarnation = aAskerIncarnation;
    asker.m_used = aRequest.m_used;
    asker.m_unsettled = aRequest.m_held;
  }
  Settle(bucket, asker, aRequest, aNow);
  Refill(bucket, aNow);
  OnPredecessor(bucket, aRequest.m_predecessor, aNow);
  Count(bucket, asker, -1, aNow);
  asker.m_sequence = aRequest.m_sequence;
  TokenReply reply;
  reply.m_tokens = Take(bucket, asker, aRequest, aNow);
  if (asker.m_isPaced) {
    reply.m_retryAfter = RetryAfter(bucket, asker, aNow);
    const double askers =
      std::max<double>(1, static_cast<double>(bucket.m_pacedAskers));
    reply.m_interval =
      std::min(FromSeconds(askers / plan.m_rate), LongestRetry(askers));
  }
  asker.m_lastAsk = aNow;
  Count(bucket, asker, 1, aNow);
  asker.m_lastReply = reply;
  return reply;
}

TokenBuckets
TokenBuckets::CopyOf(std::string_view aAccount) const
{
  TokenBuckets copy(m_tolerance);
  const auto found = m_buckets.find(aAccount);
  if (found != m_buckets.end()) {
    copy.m_buckets.insert(*found);
  }
  return copy;
}

void
TokenBuckets::Remove(std::string_view aAccount)
{
  const auto found = m_buckets.find(aAccount);
  if (found != m_buckets.end()) {
    m_buckets.erase(found);
  }
}

bool
TokenBuckets::IsLimited(std::string_view aAccount) const
{
  const auto found = m_buckets.find(aAccount);
  return found != m_buckets.end() && found->second.m_pacedAskers > 0;
}

std::vector<BucketStatus>
TokenBuckets::Status(TimePoint aNow) const
{
  std::vector<BucketStatus> statuses;
  for (const auto& [account, bucket] : m_buckets) {
    Bucket current = bucket;
    current.m_surveyedAt = kLongAgo;
    Survey(current, aNow);
    Refill(current, aNow);
    statuses.push_back({ account,
                         current.m_tokens,
                         current.m_granted,
                         current.m_refused,
                         current.m_activeAskers,
                         current.m_pacedAskers > 0 });
  }
  return statuses;
}

} // namespace sassafrasquay
