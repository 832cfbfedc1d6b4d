// Limits of client accounts that hold over all nodes together. The owner node
// of an account keeps its token bucket and grants tokens to the nodes at which
// requests of the account enter.
//
// Decision code without I/O. docs/design/account-limits.md has the reasons and
// the arithmetic.
//
// Index of this file
//   [1] Limits: what an account may use and how a deployment measures it
//   [2] Messages between an entry node and an owner
//   [3] OwnerChoice and OwnerTracker: which node owns an account
//   [4] TokenBuckets: the accounts that this node owns
//   [5] TokenHolder: the tokens of one account at an entry node
#pragma once

#include "core/core.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace sassafrasquay {

// Before every time that a clock returns.
inline constexpr TimePoint kLongAgo{ -std::chrono::hours(24) };

//-----------------------------------------------------------------------------
// [1] Limits
//-----------------------------------------------------------------------------

// Requests of an account in any time t: at most m_burst + t *
// m_requestsPerSecond.
struct AccountLimit
{
  double m_requestsPerSecond = 0; // 0: no limit
  double m_burst = 0;

  bool operator==(const AccountLimit&) const = default;
};

// What a deployment tolerates beyond a limit, in any m_window: the share
// m_excess of what the limit allows there, and m_allowance requests.
struct LimitTolerance
{
  Duration m_window{ std::chrono::seconds(5) };
  double m_excess = 0;
  double m_allowance = 0;
};

// How the requests that limit and tolerance permit are divided. In any window,
// the sum of all parts is at most what the deployment permits.
struct TokenPlan
{
  double m_rate = 0;  // tokens per second of the bucket
  double m_depth = 0; // of the bucket, granted and unused tokens included
  // At most in the bucket after a change of owner, since the tokens that the
  // previous owner granted may still be used.
  double m_initial = 0;
  // In each window for nodes that cannot reach the owner, all together.
  double m_withoutOwner = 0;
  // A request that was refused this soon, without being executed, returns its
  // token.
  Duration m_refundTime{};
};

// aShare: part of the fleet that is reachable from the owner. Other parts have
// owners of their own.
TokenPlan
PlanTokens(const AccountLimit& aLimit,
           const LimitTolerance& aTolerance,
           double aShare);

//-----------------------------------------------------------------------------
// [2] Messages
//-----------------------------------------------------------------------------

// How an entry node came to the owner that it asks.
enum class Predecessor : uint8_t
{
  None,     // it has asked no owner lately
  Same,     // its last tokens are from this owner
  Released, // its last owner has left or has named this one
  Silent    // its last owner does not respond, but may still grant tokens
};

inline constexpr uint32_t kMaxTokensPerRequest = 10000; // held, waiting, ahead

struct TokenRequest
{
  std::string m_account;
  uint64_t m_sequence = 0; // rises with each request for the account
  int64_t m_used = 0;      // requests passed on since the sender's start
  uint32_t m_held = 0;     // tokens that the sender still has
  uint32_t m_waiting = 0;  // further tokens for requests that wait for them
  uint32_t m_ahead = 0;    // further tokens for later requests
  Duration m_lifetime{};   // of the former, from the sending of this request
  Predecessor m_predecessor = Predecessor::None;

  bool operator==(const TokenRequest&) const = default;
};

// The tokens are for waiting requests first.
struct TokenReply
{
  uint32_t m_tokens = 0;
  Duration m_retryAfter{};         // until further tokens are due; 0: now
  bool m_isOwner = true;           // false: not the owner, or not sure
  std::optional<Endpoint> m_owner; // node to ask instead
  Duration m_interval{}; // between tokens for one node while they are scarce

  bool operator==(const TokenReply&) const = default;
};

// Lifetime of tokens for later requests, and the longest one of any token. It
// begins at the entry node when it asks, and so ends there before it ends at
// the owner.
inline constexpr Duration kStockLifetime = std::chrono::seconds(2);
// Longest lifetime of tokens for waiting requests. The owner counts an unused
// token until its lifetime ends, so a longer one slows down small buckets.
inline constexpr Duration kMaxWaitingLifetime = std::chrono::milliseconds(500);
// Exceeds the time in which all nodes learn of a member that joined or left.
inline constexpr Duration kViewDivergence = std::chrono::seconds(1);
// Exceeds the difference between the times at which nodes on both sides of a
// partition notice it.
inline constexpr Duration kPartitionDivergence = std::chrono::seconds(2);
// Tokens of an earlier owner are out of every window after this time.
inline constexpr Duration kOwnerMemory = std::chrono::seconds(10);

//-----------------------------------------------------------------------------
// [3] OwnerChoice
//-----------------------------------------------------------------------------

enum class OwnerState : uint8_t
{
  Usable,     // can own accounts
  Listed,     // can own accounts, but it is not known whether it runs
  Leaving,    // reachable, but owns no accounts any more
  Unreachable // may still grant tokens to nodes that this one cannot reach
};

// Rendezvous hashing over the members of the fleet: when a member leaves or
// joins, only its own accounts change owner.
class OwnerChoice
{
public:
  // A node is known by its address, which it keeps when it restarts.
  void Set(const Endpoint& aPeer, OwnerState aState);
  void Remove(const Endpoint& aPeer);
  // Changes with every node and state.
  uint64_t Version() const { return m_version; }
  size_t Count() const { return m_nodes.size(); }
  // Returns nullopt when no node is usable or listed.
  std::optional<Endpoint> OwnerOf(const std::string& aAccount) const;
  // The owner among the nodes that are known to run, without aExcept.
  std::optional<Endpoint> UsableOwnerOf(
    std::string_view aAccount,
    const std::optional<Endpoint>& aExcept = std::nullopt) const;
  // Returns nullopt for an unknown node.
  std::optional<OwnerState> StateOf(const Endpoint& aPeer) const;
  // Part of the nodes that are reachable.
  double ReachableShare() const;
  // Part of aTokens, which all nodes share, for the node aPeer: whole tokens,
  // the rest to the nodes that come first for the account.
  uint32_t ShareOf(const Endpoint& aPeer,
                   std::string_view aAccount,
                   double aTokens) const;

private:
  struct Node
  {
    uint64_t m_hash = 0; // of the address
    OwnerState m_state = OwnerState::Usable;
  };

  template<class Predicate>
  std::optional<Endpoint> Best(std::string_view aAccount,
                               Predicate aPredicate) const;
  void OnChange();

  std::map<Endpoint, Node> m_nodes;
  size_t m_unreachable = 0; // nodes
  uint64_t m_version = 0;
  // Results of OwnerOf for this version.
  mutable std::map<std::string, std::optional<Endpoint>> m_owners;
};

// The owner that an entry node asks for one account. It stays with an owner
// that still responds, because that one decides when it ceases to grant tokens.
class OwnerTracker
{
public:
  std::optional<Endpoint> Choose(const OwnerChoice& aChoice,
                                 const std::string& aAccount,
                                 TimePoint aNow) const;
  Predecessor PredecessorOf(const Endpoint& aOwner,
                            const OwnerChoice& aChoice,
                            TimePoint aNow) const;
  // aOwner has replied, with tokens or without.
  void OnReply(const Endpoint& aOwner, TimePoint aNow);
  // aOwner has named another owner.
  void OnRelease(const Endpoint& aOwner);
  const std::optional<Endpoint>& Last() const { return m_last; }

private:
  bool IsRecent(TimePoint aNow) const;

  std::optional<Endpoint> m_last;
  TimePoint m_lastReply = kLongAgo;
  bool m_released = false; // m_last has named another owner
};

//-----------------------------------------------------------------------------
// [4] TokenBuckets
//-----------------------------------------------------------------------------

struct BucketStatus
{
  std::string m_account;
  double m_tokens = 0;
  double m_granted = 0;   // to nodes and not yet used or expired, at most
  double m_refused = 0;   // tokens, by the last replies to these nodes
  size_t m_askers = 0;    // nodes that asked in the last second
  bool m_limited = false; // tokens were scarce in the last second
};

class TokenBuckets
{
public:
  explicit TokenBuckets(LimitTolerance aTolerance)
    : m_tolerance(aTolerance)
  {
  }

  // Grants tokens to aAsker. aSince: since when this node has been the owner
  // without a doubt; may be in the future.
  TokenReply Ask(const NodeId& aAsker,
                 uint64_t aAskerIncarnation,
                 const TokenRequest& aRequest,
                 const AccountLimit& aLimit,
                 double aReachableShare,
                 TimePoint aSince,
                 TimePoint aNow);
  // A copy with the bucket of one account only; without one if it has none.
  TokenBuckets CopyOf(std::string_view aAccount) const;
  bool Has(std::string_view aAccount) const
  {
    return m_buckets.contains(aAccount);
  }
  // Removes a bucket whose account has no limit any more or another owner.
  void Remove(std::string_view aAccount);
  // True when tokens of the account were scarce in the second before the last
  // request for them.
  bool IsLimited(std::string_view aAccount) const;
  std::vector<BucketStatus> Status(TimePoint aNow) const;

private:
  struct Grant
  {
    uint32_t m_tokens = 0;
    TimePoint m_expiry;
  };
  // State of one asking node.
  struct Asker
  {
    uint64_t m_incarnation = 0;
    uint64_t m_sequence = 0;    // of its last request
    int64_t m_used = 0;         // as last reported
    uint32_t m_unsettled = 0;   // tokens held or granted at its last request
    std::deque<Grant> m_grants; // those of them that have not expired
    TimePoint m_lastAsk = kLongAgo;
    bool m_isPaced = false;         // tokens were scarce at its last request
    uint32_t m_refused = 0;         // tokens, for requests that wait
    TimePoint m_nextDue = kLongAgo; // of its next token, while they are scarce
    TokenReply m_lastReply;
  };
  struct Bucket
  {
    double m_tokens = 0;
    TimePoint m_filledAt = kLongAgo;     // in the future: no refill before then
    TimePoint m_lastTakeover = kLongAgo; // from a silent owner
    TokenPlan m_plan;
    std::map<NodeId, Asker> m_askers;
    // Sums over the askers, at most kSurveyInterval old.
    TimePoint m_surveyedAt = kLongAgo;
    size_t m_activeAskers = 0;
    size_t m_pacedAskers = 0; // of the active ones
    double m_refused = 0;     // tokens, by their last replies
    double m_granted = 0;     // tokens that have not expired
  };

  Bucket& FindBucket(const TokenRequest& aRequest,
                     const TokenPlan& aPlan,
                     TimePoint aSince,
                     TimePoint aNow);
  static void OnPredecessor(Bucket& aBucket,
                            Predecessor aPredecessor,
                            TimePoint aNow);
  static void Survey(Bucket& aBucket, TimePoint aNow);
  static void Refill(Bucket& aBucket, TimePoint aNow);
  // Adds aAsker to the sums, or with aSign -1 removes it.
  static void Count(Bucket& aBucket,
                    const Asker& aAsker,
                    int aSign,
                    TimePoint aNow);
  static void Settle(Bucket& aBucket,
                     Asker& aAsker,
                     const TokenRequest& aRequest,
                     TimePoint aNow);
  static uint32_t GrantFor(Bucket& aBucket,
                           Asker& aAsker,
                           const TokenRequest& aRequest,
                           TimePoint aNow);
  static uint32_t Take(Bucket& aBucket,
                       Asker& aAsker,
                       const TokenRequest& aRequest,
                       TimePoint aNow);
  static Duration RetryAfter(const Bucket& aBucket,
                             const Asker& aAsker,
                             TimePoint aNow);

  LimitTolerance m_tolerance;
  std::map<std::string, Bucket, std::less<>> m_buckets;
};

//-----------------------------------------------------------------------------
// [5] TokenHolder
//-----------------------------------------------------------------------------

enum class TokenVerdict : uint8_t
{
  Taken,
  Ask,        // no token is left; the owner has to be asked
  Limited,    // the limit is reached: further tokens are due later
  Unreachable // the owner does not respond
};

class TokenHolder
{
public:
  // Records the arrival of a request, which then calls TryTake, again after
  // each reply of the owner if the verdict is Ask.
  void OnArrival(TimePoint aNow);
  TokenVerdict TryTake(TimePoint aNow);
  // Takes a token that needs no owner, at most aShare in each aWindow.
  bool TryTakeWithoutOwner(uint32_t aShare, Duration aWindow, TimePoint aNow);
  // Returns the token of a request that was provably not executed. It can be
  // taken again here until aRefundTime after aTaken.
  void Return(TimePoint aTaken, Duration aRefundTime, TimePoint aNow);

  // True when the owner should be asked now, for aWaiting requests or ahead of
  // the next ones.
  bool ShouldAsk(uint32_t aWaiting, TimePoint aNow);
  // Starts to ask the owner; no other request is made until OnReply or
  // OnNoReply.
  TokenRequest Ask(uint32_t aWaiting, TimePoint aNow);
  void OnReply(const TokenReply& aReply, TimePoint aNow);
  void OnNoReply(TimePoint aNow);

  // Suggested delay for a request that is refused now: when the next token for
  // this node is due that has not been suggested to an earlier one.
  Duration SuggestRetry(Random& aRandom, TimePoint aNow);
  uint32_t Held(TimePoint aNow);
  double RequestsPerSecond(TimePoint aNow) const;

private:
  struct Batch
  {
    uint32_t m_tokens = 0;
    TimePoint m_expiry;
  };

  uint32_t TargetStock(TimePoint aNow) const;

  std::deque<Batch> m_batches;
  std::deque<TimePoint> m_returned; // expiries of returned tokens
  int64_t m_used = 0;               // each token once
  uint64_t m_sequence = 0;
  bool m_asking = false;
  TimePoint m_askedAt;
  uint32_t m_askedWaiting = 0; // in the last request to the owner
  uint32_t m_askedAhead = 0;
  Duration m_askedLifetime{};
  Duration m_replyTime{}; // of the last reply
  TimePoint m_limitedUntil = kLongAgo;
  Duration m_tokenInterval{};       // between tokens, by the last reply
  TimePoint m_nextStock = kLongAgo; // no request for a stock before then
  TimePoint m_unreachableUntil = kLongAgo;
  Duration m_backoff{}; // after a request without a reply
  TimePoint m_nextSuggestion = kLongAgo;
  double m_rate = 0; // requests per second, an estimate
  TimePoint m_rateAt = kLongAgo;
  std::deque<TimePoint> m_takenWithoutOwner;
};

} // namespace sassafrasquay
