// Tokens of one account at an entry node.
#include "quota/quota.h"

#include <algorithm>
#include <cmath>

namespace sassafrasquay {

namespace {

constexpr Duration kRateTime = std::chrono::seconds(5); // of the average rate
// The stock covers the requests of this time, which exceeds that of a reply.
constexpr Duration kStockTime = std::chrono::milliseconds(250);
// After an owner had no tokens to spare for the stock.
constexpr Duration kStockRetry = std::chrono::seconds(1);
constexpr Duration kMinWaitingLifetime = std::chrono::milliseconds(150);
constexpr Duration kMinBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(300);
constexpr Duration kMinSuggestion = std::chrono::milliseconds(20);
constexpr Duration kMaxSuggestion = std::chrono::seconds(5);

double
Seconds(Duration aDuration)
{
  return FloatSeconds(aDuration).count();
}

} // namespace

double
TokenHolder::RequestsPerSecond(TimePoint aNow) const
{
  return m_rate * std::exp(-Seconds(aNow - m_rateAt) / Seconds(kRateTime));
}

void
TokenHolder::OnArrival(TimePoint aNow)
{
  m_rate = RequestsPerSecond(aNow) + 1 / Seconds(kRateTime);
  m_rateAt = aNow;
}

uint32_t
TokenHolder::Held(TimePoint aNow)
{
  std::erase_if(
    m_batches, [aNow](const Batch& aBatch) { return aBatch.m_expiry <= aNow; });
  uint32_t held = 0;
  for (const Batch& batch : m_batches) {
    held += batch.m_tokens;
  }
  return held;
}

TokenVerdict
TokenHolder::TryTake(TimePoint aNow)
{
  while (!m_returned.empty() && m_returned.front() <= aNow) {
    m_returned.pop_front();
  }
  if (!m_returned.empty()) {
    m_returned.pop_front();
    return TokenVerdict::Taken;
  }
  if (Held(aNow) > 0) {
    // The token that expires first.
    const auto batch =
      std::min_element(m_batches.begin(),
                       m_batches.end(),
                       [](const Batch& aLeft, const Batch& aRight) {
                         return aLeft.m_expiry < aRight.m_expiry;
                       });
    if (--batch->m_tokens == 0) {
      m_batches.erase(batch);
    }
    ++m_used;
    return TokenVerdict::Taken;
  }
  if (aNow < m_limitedUntil) {
    return TokenVerdict::Limited;
  }
  return aNow < m_unreachableUntil ? TokenVerdict::Unreachable
                                   : TokenVerdict::Ask;
}

bool
TokenHolder::TryTakeWithoutOwner(uint32_t aShare,
                                 Duration aWindow,
                                 TimePoint aNow)
{
  while (!m_takenWithoutOwner.empty() &&
         aNow - m_takenWithoutOwner.front() >= aWindow) {
    m_takenWithoutOwner.pop_front();
  }
  if (m_takenWithoutOwner.size() >= aShare) {
    return false;
  }
  m_takenWithoutOwner.push_back(aNow);
  ++m_used;
  return true;
}

void
TokenHolder::Return(TimePoint aTaken, Duration aRefundTime, TimePoint aNow)
{
  const TimePoint expiry = aTaken + aRefundTime;
  if (expiry > aNow) {
    m_returned.insert(
      std::upper_bound(m_returned.begin(), m_returned.end(), expiry), expiry);
  }
}

// Tokens for requests that will arrive before the next reply; none if they
// would probably expire.
uint32_t
TokenHolder::TargetStock(TimePoint aNow) const
{
  const double rate = RequestsPerSecond(aNow);
  if (rate * Seconds(kStockLifetime) < 2) {
    return 0;
  }
  return static_cast<uint32_t>(std::ceil(rate * Seconds(kStockTime)));
}

bool
TokenHolder::ShouldAsk(uint32_t aWaiting, TimePoint aNow)
{
  if (m_asking || aNow < m_limitedUntil || aNow < m_unreachableUntil) {
    return false;
  }
  if (aWaiting > 0) {
    return true;
  }
  const uint32_t stock = TargetStock(aNow);
  return stock > 0 && aNow >= m_nextStock && Held(aNow) <= stock / 2;
}

TokenRequest
TokenHolder::Ask(uint32_t aWaiting, TimePoint aNow)
{
  TokenRequest request;
  request.m_sequence = ++m_sequence;
  request.m_used = m_used;
  request.m_held = Held(aNow);
  request.m_waiting = std::min(aWaiting, kMaxTokensPerRequest);
  const uint32_t stock = TargetStock(aNow);
  request.m_ahead = std::min(
    stock > request.m_held ? stock - request.m_held : 0, kMaxTokensPerRequest);
  request.m_lifetime =
    std::min(kMinWaitingLifetime + 2 * m_replyTime, kMaxWaitingLifetime);
  m_asking = true;
  m_askedAt = aNow;
  m_askedWaiting = request.m_waiting;
  m_askedAhead = request.m_ahead;
  m_askedLifetime = request.m_lifetime;
  return request;
}

void
TokenHolder::OnReply(const TokenReply& aReply, TimePoint aNow)
{
  m_asking = false;
  m_backoff = Duration::zero();
  m_unreachableUntil = aNow;
  m_replyTime = aNow - m_askedAt;
  const uint32_t waiting = std::min(aReply.m_tokens, m_askedWaiting);
  if (waiting > 0) {
    m_batches.push_back({ waiting, m_askedAt + m_askedLifetime });
  }
  if (aReply.m_tokens > waiting) {
    m_batches.push_back(
      { aReply.m_tokens - waiting, m_askedAt + kStockLifetime });
  }
  if (aReply.m_tokens < waiting + m_askedAhead) {
    m_nextStock = aNow + kStockRetry;
  }
  m_limitedUntil = aNow + aReply.m_retryAfter;
  m_tokenInterval = aReply.m_interval;
}

void
TokenHolder::OnNoReply(TimePoint aNow)
{
  m_asking = false;
  m_backoff = std::clamp(2 * m_backoff, kMinBackoff, kMaxBackoff);
  m_unreachableUntil = aNow + m_backoff;
}

Duration
TokenHolder::SuggestRetry(Random& aRandom, TimePoint aNow)
{
  const Duration interval =
    std::max({ m_tokenInterval, m_backoff, kMinSuggestion });
  const TimePoint earliest =
    std::max({ aNow, m_limitedUntil, m_unreachableUntil });
  TimePoint due = earliest;
  if (m_unreachableUntil <= aNow) {
    due = std::max(earliest, m_nextSuggestion);
    m_nextSuggestion = std::min(due + interval, aNow + kMaxSuggestion);
  }
  const auto jitter =
    Duration(aRandom.NextBelow(static_cast<uint64_t>(interval.count())));
  return std::max(due - aNow + jitter, kMinSuggestion);
}

} // namespace sassafrasquay
