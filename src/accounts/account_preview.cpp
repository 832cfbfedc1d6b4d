// What the limit of an account would do to a request.
#include "accounts/account_preview.h"

namespace sassafrasquay {

namespace {

// Asks a copy of the own bucket, as the next request would.
void
AskOwnBucket(const std::string& aAccount,
             PreviewState& aState,
             AccountPreview& aPreview)
{
  TokenBuckets buckets = aState.m_buckets.CopyOf(aAccount);
  TokenHolder& holder = aState.m_holder;
  if (aPreview.m_verdict == TokenVerdict::Ask &&
      holder.ShouldAsk(aState.m_waiting + 1, aState.m_now)) {
    TokenRequest request = holder.Ask(aState.m_waiting + 1, aState.m_now);
    request.m_account = aAccount;
    request.m_predecessor = aState.m_owner.PredecessorOf(
      aState.m_settings.m_peer, aState.m_choice, aState.m_now);
    const TokenReply reply = buckets.Ask(aState.m_settings.m_node,
                                         aState.m_settings.m_nodeIncarnation,
                                         request,
                                         aPreview.m_limit,
                                         aState.m_choice.ReachableShare(),
                                         aState.m_ownerSince,
                                         aState.m_now);
    holder.OnReply(reply, aState.m_now);
    aPreview.m_verdict = holder.TryTake(aState.m_now);
  }
  const std::vector<BucketStatus> status = buckets.Status(aState.m_now);
  if (!status.empty()) {
    aPreview.m_bucket = status.front();
  }
}

} // namespace

AccountPreview
PreviewAccount(const std::string& aAccount,
               const AccountLimit& aLimit,
               PreviewState aState,
               Random& aRandom)
{
  const AccountLimitSettings& settings = aState.m_settings;
  TokenHolder& holder = aState.m_holder;
  const TimePoint now = aState.m_now;
  AccountPreview preview;
  preview.m_limit = aLimit;
  preview.m_maxWait = aState.m_maxWait;
  preview.m_held = holder.Held(now);
  preview.m_owner = aState.m_owner.Choose(aState.m_choice, aAccount, now);
  preview.m_isOwner =
    aState.m_settled && preview.m_owner == settings.m_peer &&
    aState.m_choice.UsableOwnerOf(aAccount) == settings.m_peer;
  holder.OnArrival(now);
  preview.m_verdict = holder.TryTake(now);
  if (preview.m_isOwner) {
    AskOwnBucket(aAccount, aState, preview);
  }
  if (preview.m_verdict == TokenVerdict::Unreachable && aState.m_settled) {
    const TokenPlan plan = PlanTokens(aLimit, settings.m_tolerance, 1);
    const uint32_t share =
      aState.m_choice.ShareOf(settings.m_peer, aAccount, plan.m_withoutOwner);
    preview.m_isWithoutOwner =
      holder.TryTakeWithoutOwner(share, settings.m_tolerance.m_window, now);
    if (preview.m_isWithoutOwner) {
      preview.m_verdict = TokenVerdict::Taken;
    }
  }
  preview.m_retryAfter = holder.SuggestRetry(aRandom, now);
  return preview;
}

} // namespace sassafrasquay
