// The service "account_limits": takes a token for each request of a client
// account that has a limit, and grants the tokens of the accounts that this
// node owns.
#include "accounts/account_preview.h"
#include "gossip/gossip.h"
#include "logging/logging.h"
#include "metrics/metrics.h"
#include "peer/peer.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <set>

namespace sassafrasquay {

namespace {

constexpr std::string_view kOtherAccounts = "other";

std::string_view
ToString(Predecessor aPredecessor)
{
  static constexpr std::array<std::string_view, 4> kNames = {
    "none", "same", "released", "silent"
  };
  return kNames[static_cast<size_t>(aPredecessor)];
}

OwnerState
OwnerStateOf(const Member& aMember)
{
  switch (aMember.m_state) {
    case MemberState::Leaving:
      return OwnerState::Leaving;
    case MemberState::Dead:
      return OwnerState::Unreachable;
    default:
      // A suspected member may still grant tokens.
      return OwnerState::Usable;
  }
}

TokenReply
NotOwner(const std::optional<Endpoint>& aOwner)
{
  TokenReply reply;
  reply.m_isOwner = false;
  reply.m_owner = aOwner;
  return reply;
}

// One account at this entry node.
struct EntryAccount
{
  explicit EntryAccount(std::string aName, asio::any_io_executor aExecutor)
    : m_name(std::move(aName))
    , m_replied(std::move(aExecutor))
  {
  }

  std::string m_name;
  TokenHolder m_holder;
  OwnerTracker m_owner;
  uint32_t m_waiting = 0; // requests
  Event m_replied;        // the owner has replied, or not in time
  bool m_ownerSilent = false;
};

class AccountLimits
  : public Service
  , public CallHandler
  , public TokenSource
  , public AccountLimitStatus
  , public AccountPreviewer
  , public GossipListener
{
public:
  explicit AccountLimits(AccountLimitSettings aSettings)
    : m_settings(std::move(aSettings))
    , m_buckets(m_settings.m_tolerance)
  {
  }

  std::vector<std::string> RequiredServices() const override
  {
    return { "gossip", "peer_client", m_settings.m_next };
  }
  asio::awaitable<void> Start(Kernel& aKernel) override;
  asio::awaitable<void> Stop() override;
  asio::awaitable<CallResult> Handle(const RequestHead& aHead,
                                     BodySource& aBody,
                                     ResponseSink& aResponse) override;
  TokenReply Grant(const NodeId& aAsker,
                   uint64_t aAskerIncarnation,
                   const TokenRequest& aRequest) override;
  std::string StatusJson() override;
  void UpdateMetrics() override;
  std::optional<AccountPreview> Preview(
    const RequestHead& aHead) const override;
  void OnMembershipChanges(const MembershipActions& aActions) override;

private:
  void ApplyMember(const Member& aMember, bool aRemoved);
  void ReadDirectory();
  void ForgetUnconfirmedNodes();
  bool IsSettled();
  bool IsOldEnough() const;
  EntryAccount& FindEntry(const std::string& aAccount);
  asio::awaitable<TokenVerdict> TakeToken(const RequestHead& aHead,
                                          EntryAccount& aEntry,
                                          const TokenPlan& aPlan);
  Duration MaxWait(const RequestHead& aHead) const;
  void AskIfNeeded(EntryAccount& aEntry);
  asio::awaitable<void> AskOwner(EntryAccount& aEntry,
                                 TokenRequest aRequest,
                                 Endpoint aOwner);
  asio::awaitable<std::optional<TokenReply>> Query(EntryAccount& aEntry,
                                                   TokenRequest aRequest,
                                                   Endpoint aOwner);
  void OnReply(EntryAccount& aEntry,
               const std::optional<TokenReply>& aReply,
               const Endpoint& aOwner,
               Predecessor aPredecessor);
  CallResult Refusal(EntryAccount& aEntry, TokenVerdict aVerdict);
  void LogLimited(const std::string& aAccount, bool aIsLimited);
  std::string LabelOf(const std::string& aAccount);
  void CountRequest(const std::string& aAccount, std::string_view aOutcome);

  AccountLimitSettings m_settings;
  asio::any_io_executor m_executor;
  std::shared_ptr<Clock> m_clock;
  std::shared_ptr<Random> m_random;
  std::shared_ptr<Logger> m_logger;
  std::shared_ptr<Metrics> m_metrics;
  std::shared_ptr<Gossip> m_gossip;
  std::shared_ptr<PeerClient> m_peers;
  std::shared_ptr<AccountDirectory> m_directory;
  std::shared_ptr<FleetDirectory> m_fleet;
  std::shared_ptr<CallHandler> m_next;
  OwnerChoice m_choice;
  TimePoint m_ownerSince; // the members have not changed since
  TimePoint m_started;
  bool m_settled = false; // this node has known most of the fleet
  std::map<Endpoint, MemberKey> m_members; // those of m_choice
  std::set<Endpoint> m_unconfirmed; // nodes of the directory; not yet members
  TokenBuckets m_buckets;
  std::map<std::string, std::unique_ptr<EntryAccount>, std::less<>> m_entries;
  std::set<std::string> m_labels; // accounts with metrics of their own
  uint64_t m_labelVersion = 0;    // configuration of m_labels
  std::set<std::string> m_gauges; // accounts whose gauges are set
  std::unique_ptr<Event> m_ended;
  size_t m_running = 0; // coroutines
};

asio::awaitable<void>
AccountLimits::Start(Kernel& aKernel)
{
  m_executor = aKernel.Executor();
  m_clock = aKernel.Find<Clock>("clock");
  m_random = aKernel.Find<Random>("random");
  m_logger = aKernel.Find<Logger>("logger");
  m_metrics = aKernel.Find<Metrics>("metrics");
  m_gossip = aKernel.Find<Gossip>("gossip");
  m_peers = aKernel.Find<PeerClient>("peer_client");
  m_directory = aKernel.Find<AccountDirectory>("call_policy");
  m_fleet = aKernel.Find<FleetDirectory>("seed_finder");
  m_next = aKernel.Find<CallHandler>(m_settings.m_next);
  m_ended = std::make_unique<Event>(m_executor);
  for (const Member& member : m_gossip->Members()) {
    ApplyMember(member, false);
  }
  m_ownerSince = m_clock->Now() + kViewDivergence;
  m_started = m_clock->Now();
  m_gossip->AddListener(*this);
  co_return;
}

asio::awaitable<void>
AccountLimits::Stop()
{
  m_gossip->RemoveListener(*this);
  while (m_running > 0) {
    co_await m_ended->Wait();
  }
}

//-----------------------------------------------------------------------------
// Members
//-----------------------------------------------------------------------------

void
AccountLimits::ApplyMember(const Member& aMember, bool aRemoved)
{
  const MemberRecord& record = aMember.m_record;
  const MemberKey member = record.m_summary.m_key;
  const Endpoint& node = record.m_info.m_peer;
  if (node.m_address.empty()) {
    return; // not known yet
  }
  const bool hasLeft =
    aRemoved || record.m_summary.m_health == MemberHealth::Left;
  const OwnerState state = OwnerStateOf(aMember);
  const auto holder = m_members.find(node);
  const bool isReplaced = holder != m_members.end() && holder->second != member;
  if (isReplaced && (hasLeft || state == OwnerState::Unreachable)) {
    return; // another member has the address now
  }
  m_unconfirmed.erase(node);
  if (hasLeft) {
    m_choice.Remove(node);
    m_members.erase(node);
  } else {
    m_choice.Set(node, state);
    m_members[node] = member;
  }
}

void
AccountLimits::OnMembershipChanges(const MembershipActions& aActions)
{
  const uint64_t version = m_choice.Version();
  const size_t unconfirmed = m_unconfirmed.size();
  for (const MemberChange& change : aActions.m_changes) {
    ApplyMember(change.m_member, change.m_removed);
  }
  // A confirmed node of the directory was counted before.
  const bool changed =
    m_choice.Version() - version > unconfirmed - m_unconfirmed.size();
  if (changed || aActions.m_joined) {
    m_ownerSince = m_clock->Now() + kViewDivergence;
  }
  IsSettled();
}

// A node that has just started lists few members, and would choose itself as
// the owner of accounts that other nodes own. With all nodes that were ever
// started it can only take a node that does not run for the owner.
void
AccountLimits::ReadDirectory()
{
  for (const Endpoint& node : m_fleet->Listed()) {
    if (!m_members.contains(node)) {
      m_choice.Set(node, OwnerState::Listed);
      m_unconfirmed.insert(node);
    }
  }
  m_ownerSince = m_clock->Now();
  if (!m_fleet->HasRestarted()) {
    m_ownerSince += kViewDivergence; // other nodes own its accounts until then
  }
}

void
AccountLimits::ForgetUnconfirmedNodes()
{
  for (const Endpoint& node : m_unconfirmed) {
    m_choice.Remove(node);
  }
  m_unconfirmed.clear();
}

bool
AccountLimits::IsSettled()
{
  const Duration age = m_clock->Now() - m_started;
  if (!m_unconfirmed.empty() && age >= m_settings.m_directoryTime) {
    ForgetUnconfirmedNodes();
  }
  if (m_settled) {
    return true;
  }
  m_settled = IsOldEnough();
  if (!m_settled && !m_fleet->Listed().empty()) {
    ReadDirectory();
    m_settled = true;
  }
  return m_settled;
}

// Whether the members that are listed suffice to choose an owner.
bool
AccountLimits::IsOldEnough() const
{
  return m_clock->Now() - m_started >= (m_choice.Count() > 1
                                          ? m_settings.m_maxUnsettledTime
                                          : m_settings.m_maxTimeAlone);
}

//-----------------------------------------------------------------------------
// Requests that enter at this node
//-----------------------------------------------------------------------------

EntryAccount&
AccountLimits::FindEntry(const std::string& aAccount)
{
  // The names come from the configuration, so there are few.
  std::unique_ptr<EntryAccount>& entry = m_entries[aAccount];
  if (!entry) {
    entry = std::make_unique<EntryAccount>(aAccount, m_executor);
  }
  return *entry;
}

asio::awaitable<CallResult>
AccountLimits::Handle(const RequestHead& aHead,
                      BodySource& aBody,
                      ResponseSink& aResponse)
{
  std::optional<AccountLimit> limit;
  if (!aHead.m_account.empty() && !aHead.m_isSubrequest) {
    limit = m_directory->LimitOf(aHead.m_account);
  }
  if (!limit) {
    co_return co_await m_next->Handle(aHead, aBody, aResponse);
  }
  const TokenPlan plan = PlanTokens(*limit, m_settings.m_tolerance, 1);
  EntryAccount& entry = FindEntry(aHead.m_account);
  const TimePoint arrived = m_clock->Now();
  const TokenVerdict verdict = co_await TakeToken(aHead, entry, plan);
  if (verdict != TokenVerdict::Taken) {
    co_return Refusal(entry, verdict);
  }
  CountRequest(entry.m_name, "admitted");
  const TimePoint taken = m_clock->Now();
  RequestHead head = aHead;
  SpendTime(head, taken - arrived);
  const CallResult result = co_await m_next->Handle(head, aBody, aResponse);
  if (result.m_executed == Executed::No) {
    entry.m_holder.Return(taken, plan.m_refundTime, m_clock->Now());
  }
  co_return result;
}

asio::awaitable<TokenVerdict>
AccountLimits::TakeToken(const RequestHead& aHead,
                         EntryAccount& aEntry,
                         const TokenPlan& aPlan)
{
  struct Waiting
  {
    EntryAccount& m_entry;
    explicit Waiting(EntryAccount& aEntry)
      : m_entry(aEntry)
    {
      ++m_entry.m_waiting;
    }
    ~Waiting() { --m_entry.m_waiting; } // also when the caller leaves
  };
  TokenHolder& holder = aEntry.m_holder;
  const TimePoint deadline = m_clock->Now() + MaxWait(aHead);
  holder.OnArrival(m_clock->Now());
  TokenVerdict verdict = holder.TryTake(m_clock->Now());
  if (verdict == TokenVerdict::Ask) {
    const Waiting waiting(aEntry);
    AskIfNeeded(aEntry); // replies at once if this node is the owner
    verdict = holder.TryTake(m_clock->Now());
    while (verdict == TokenVerdict::Ask && m_clock->Now() < deadline) {
      co_await aEntry.m_replied.WaitFor(deadline - m_clock->Now());
      verdict = holder.TryTake(m_clock->Now());
      if (verdict == TokenVerdict::Ask) {
        AskIfNeeded(aEntry);
        verdict = holder.TryTake(m_clock->Now());
      }
    }
  }
  if (verdict == TokenVerdict::Taken) {
    AskIfNeeded(aEntry); // ahead of the next request
    co_return verdict;
  }
  if (verdict != TokenVerdict::Limited && IsSettled()) {
    const uint32_t share =
      m_choice.ShareOf(m_settings.m_peer, aEntry.m_name, aPlan.m_withoutOwner);
    if (holder.TryTakeWithoutOwner(
          share, m_settings.m_tolerance.m_window, m_clock->Now())) {
      co_return TokenVerdict::Taken;
    }
  }
  co_return verdict;
}

Duration
AccountLimits::MaxWait(const RequestHead& aHead) const
{
  const auto share = std::chrono::duration_cast<Duration>(
    m_settings.m_waitShare * aHead.m_latencyObjective);
  return std::min(std::clamp(share, m_settings.m_minWait, m_settings.m_maxWait),
                  aHead.m_remaining / 4);
}

void
AccountLimits::AskIfNeeded(EntryAccount& aEntry)
{
  const TimePoint now = m_clock->Now();
  if (!aEntry.m_holder.ShouldAsk(aEntry.m_waiting, now)) {
    return;
  }
  TokenRequest request = aEntry.m_holder.Ask(aEntry.m_waiting, now);
  request.m_account = aEntry.m_name;
  const bool isSettled = IsSettled();
  auto owner = aEntry.m_owner.Choose(m_choice, aEntry.m_name, now);
  if (owner == m_settings.m_peer && !isSettled) {
    // A node that is settled names the owner.
    owner = m_choice.UsableOwnerOf(aEntry.m_name, owner);
  }
  if (!owner) {
    aEntry.m_holder.OnNoReply(now);
    return;
  }
  request.m_predecessor = aEntry.m_owner.PredecessorOf(*owner, m_choice, now);
  if (*owner == m_settings.m_peer) {
    const TokenReply reply =
      Grant(m_settings.m_node, m_settings.m_nodeIncarnation, request);
    if (reply.m_isOwner) {
      OnReply(aEntry, reply, *owner, request.m_predecessor);
      return;
    }
  }
  ++m_running;
  asio::co_spawn(
    m_executor, AskOwner(aEntry, std::move(request), *owner), asio::detached);
}

// Asks one further node when the first one names it as the owner.
asio::awaitable<void>
AccountLimits::AskOwner(EntryAccount& aEntry,
                        TokenRequest aRequest,
                        Endpoint aOwner)
{
  std::optional<TokenReply> reply = co_await Query(aEntry, aRequest, aOwner);
  if (reply && reply->m_owner) {
    aEntry.m_owner.OnRelease(aOwner);
    aOwner = *reply->m_owner;
    aRequest.m_predecessor =
      aEntry.m_owner.PredecessorOf(aOwner, m_choice, m_clock->Now());
    if (aOwner == m_settings.m_peer) {
      aRequest.m_predecessor = Predecessor::Released; // by the other node
    }
    reply = co_await Query(aEntry, aRequest, aOwner);
  }
  OnReply(aEntry, reply, aOwner, aRequest.m_predecessor);
  --m_running;
  m_ended->Notify();
}

asio::awaitable<std::optional<TokenReply>>
AccountLimits::Query(EntryAccount& aEntry,
                     TokenRequest aRequest,
                     Endpoint aOwner)
{
  if (aOwner == m_settings.m_peer) {
    co_return Grant(m_settings.m_node, m_settings.m_nodeIncarnation, aRequest);
  }
  FrameContent content = std::move(aRequest);
  const std::optional<PeerResponse> response = co_await m_peers->Query(
    aOwner, std::move(content), m_settings.m_askTimeout);
  const auto* reply =
    response ? std::get_if<TokenReply>(&response->m_content) : nullptr;
  const bool silent = reply == nullptr;
  if (silent && m_unconfirmed.erase(aOwner) > 0) {
    m_choice.Remove(aOwner); // the node does not run
  }
  if (silent != aEntry.m_ownerSilent) {
    aEntry.m_ownerSilent = silent;
    m_logger->Write(silent ? LogLevel::Warning : LogLevel::Info,
                    silent ? "account_owner_silent" : "account_owner_responds",
                    { { "account", aEntry.m_name },
                      { "owner", sassafrasquay::ToString(aOwner) } });
  }
  co_return silent ? std::nullopt : std::optional(*reply);
}

void
AccountLimits::OnReply(EntryAccount& aEntry,
                       const std::optional<TokenReply>& aReply,
                       const Endpoint& aOwner,
                       Predecessor aPredecessor)
{
  const TimePoint now = m_clock->Now();
  if (aReply && aReply->m_isOwner) {
    if (aEntry.m_owner.Last().value_or(aOwner) != aOwner) {
      m_logger->Write(LogLevel::Info,
                      "account_owner_changed",
                      { { "account", aEntry.m_name },
                        { "owner", sassafrasquay::ToString(aOwner) },
                        { "predecessor", ToString(aPredecessor) } });
    }
    aEntry.m_owner.OnReply(aOwner, now);
    aEntry.m_holder.OnReply(*aReply, now);
  } else {
    aEntry.m_holder.OnNoReply(now);
  }
  aEntry.m_replied.Notify();
}

CallResult
AccountLimits::Refusal(EntryAccount& aEntry, TokenVerdict aVerdict)
{
  const bool limited = aVerdict == TokenVerdict::Limited;
  CountRequest(aEntry.m_name, limited ? "limited" : "owner_silent");
  CallResult result;
  result.m_code =
    limited ? ResultCode::QuotaExceeded : ResultCode::LimitUnavailable;
  result.m_executed = Executed::No;
  result.m_retryAfter = aEntry.m_holder.SuggestRetry(*m_random, m_clock->Now());
  return result;
}

std::optional<AccountPreview>
AccountLimits::Preview(const RequestHead& aHead) const
{
  const std::optional<AccountLimit> limit =
    aHead.m_account.empty() ? std::nullopt
                            : m_directory->LimitOf(aHead.m_account);
  if (!limit) {
    return std::nullopt;
  }
  PreviewState state{ m_settings,   m_choice,
                      m_buckets,    m_settled || IsOldEnough(),
                      m_ownerSince, m_clock->Now() };
  state.m_maxWait = MaxWait(aHead);
  const auto found = m_entries.find(aHead.m_account);
  if (found != m_entries.end()) {
    state.m_holder = found->second->m_holder;
    state.m_owner = found->second->m_owner;
    state.m_waiting = found->second->m_waiting;
  }
  const std::unique_ptr<Random> random = m_random->Copy();
  return PreviewAccount(aHead.m_account, *limit, state, *random);
}

//-----------------------------------------------------------------------------
// Accounts that this node owns
//-----------------------------------------------------------------------------

TokenReply
AccountLimits::Grant(const NodeId& aAsker,
                     uint64_t aAskerIncarnation,
                     const TokenRequest& aRequest)
{
  const std::string& account = aRequest.m_account;
  const std::optional<AccountLimit> limit = m_directory->LimitOf(account);
  const bool isSettled = IsSettled();
  const bool isVouched = aRequest.m_predecessor == Predecessor::Same ||
                         aRequest.m_predecessor == Predecessor::Released ||
                         m_buckets.Has(account);
  // A node with tokens of an earlier owner has a list of the running nodes.
  const std::optional<Endpoint> owner =
    isVouched ? m_choice.UsableOwnerOf(account) : m_choice.OwnerOf(account);
  if (!limit || !owner || (!isSettled && !isVouched)) {
    // For example a node whose configuration lacks the account.
    m_buckets.Remove(account);
    return NotOwner(std::nullopt);
  }
  if (*owner != m_settings.m_peer) {
    m_buckets.Remove(account);
    const bool isRunning = m_choice.StateOf(*owner) == OwnerState::Usable;
    return NotOwner(isRunning ? owner : std::nullopt);
  }
  const bool wasLimited = m_buckets.IsLimited(account);
  TokenReply reply = m_buckets.Ask(aAsker,
                                   aAskerIncarnation,
                                   aRequest,
                                   *limit,
                                   m_choice.ReachableShare(),
                                   m_ownerSince,
                                   m_clock->Now());
  const bool isLimited = m_buckets.IsLimited(account);
  if (isLimited != wasLimited) {
    LogLimited(account, isLimited);
  }
  return reply;
}

void
AccountLimits::LogLimited(const std::string& aAccount, bool aIsLimited)
{
  for (const BucketStatus& status : m_buckets.Status(m_clock->Now())) {
    if (status.m_account == aAccount) {
      m_logger->Write(LogLevel::Info,
                      aIsLimited ? "account_limit_reached"
                                 : "account_limit_cleared",
                      { { "account", aAccount },
                        { "owner", m_settings.m_node.m_value },
                        { "tokens", status.m_tokens },
                        { "granted", status.m_granted },
                        { "wanted", status.m_refused },
                        { "nodes", static_cast<uint64_t>(status.m_askers) } });
    }
  }
}

//-----------------------------------------------------------------------------
// Status and metrics
//-----------------------------------------------------------------------------

std::string
AccountLimits::StatusJson()
{
  std::vector<BucketStatus> buckets = m_buckets.Status(m_clock->Now());
  std::sort(buckets.begin(),
            buckets.end(),
            [](const BucketStatus& aLeft, const BucketStatus& aRight) {
              return aLeft.m_tokens < aRight.m_tokens;
            });
  boost::json::array list;
  for (const BucketStatus& bucket : buckets) {
    if (list.size() < m_settings.m_maxAccountMetrics) {
      list.push_back({ { "account", bucket.m_account },
                       { "tokens", bucket.m_tokens },
                       { "granted", bucket.m_granted },
                       { "refused_tokens", bucket.m_refused },
                       { "nodes", bucket.m_askers },
                       { "limited", bucket.m_limited } });
    }
  }
  return boost::json::serialize(list);
}

// Accounts are many, so only those with the highest limits get a label.
std::string
AccountLimits::LabelOf(const std::string& aAccount)
{
  if (m_labelVersion != m_directory->ConfigVersion()) {
    m_labelVersion = m_directory->ConfigVersion();
    const auto largest =
      m_directory->LargestAccounts(m_settings.m_maxAccountMetrics);
    m_labels = { largest.begin(), largest.end() };
  }
  return m_labels.contains(aAccount) ? aAccount : std::string(kOtherAccounts);
}

void
AccountLimits::CountRequest(const std::string& aAccount,
                            std::string_view aOutcome)
{
  m_metrics
    ->Counter("sassafrasquay_account_requests_total",
              "Requests of client accounts that have a limit, by outcome.",
              { { "account", LabelOf(aAccount) },
                { "outcome", std::string(aOutcome) } })
    .Add();
}

void
AccountLimits::UpdateMetrics()
{
  const auto gauge = [this](const std::string& aAccount) -> MetricGauge& {
    return m_metrics->Gauge("sassafrasquay_account_tokens",
                            "Tokens of the accounts that this node owns.",
                            { { "account", aAccount } });
  };
  std::set<std::string> owned;
  double others = 0;
  for (const BucketStatus& bucket : m_buckets.Status(m_clock->Now())) {
    const std::string label = LabelOf(bucket.m_account);
    if (label == kOtherAccounts) {
      others += bucket.m_tokens;
    } else {
      gauge(label).Set(bucket.m_tokens);
      owned.insert(label);
    }
  }
  gauge(std::string(kOtherAccounts)).Set(others);
  for (const std::string& account : m_gauges) {
    if (!owned.contains(account)) {
      gauge(account).Set(0); // owned by another node now
    }
  }
  m_gauges = std::move(owned);
}

} // namespace

std::shared_ptr<Service>
MakeAccountLimits(AccountLimitSettings aSettings)
{
  return std::make_shared<AccountLimits>(std::move(aSettings));
}

} // namespace sassafrasquay
