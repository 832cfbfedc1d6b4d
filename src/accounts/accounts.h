// Services for client accounts at the entry node. They stand between the front
// end and the dispatcher.
//
// Index of this file
//   [1] AccountDirectory: the accounts of the configuration in force
//   [2] Account limits: requests over an account's limit are refused
//   [3] Key check: no key is refused by a node that may be behind
#pragma once

#include "call/call.h"
#include "kernel/kernel.h"
#include "quota/quota.h"

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] AccountDirectory
//-----------------------------------------------------------------------------

// Registered in the kernel as "call_policy".
class AccountDirectory : public virtual Component
{
public:
  // Returns nullopt for an account that has no limit or does not exist.
  virtual std::optional<AccountLimit> LimitOf(
    std::string_view aAccount) const = 0;
  // Names of the accounts with the highest limits.
  virtual std::vector<std::string> LargestAccounts(size_t aCount) const = 0;
  // Sets account and priority of a head by its key. Returns false when no
  // account holds the key.
  virtual bool SetAccount(RequestHead& aHead) const = 0;
  // Position of the published configuration in force.
  virtual uint64_t ConfigVersion() const = 0;
};

// The nodes that have ever been started, as the directory lists them.
// Registered in the kernel as "seed_finder".
class FleetDirectory : public virtual Component
{
public:
  // Empty until the directory has been read.
  virtual const std::vector<Endpoint>& Listed() const = 0;
  // True when the directory already contained this node at its start.
  virtual bool HasRestarted() const = 0;
};

//-----------------------------------------------------------------------------
// [2] Account limits
//-----------------------------------------------------------------------------

struct AccountLimitSettings
{
  NodeId m_node;
  uint64_t m_nodeIncarnation = 0;
  Endpoint m_peer; // of this node, as other nodes know it
  LimitTolerance m_tolerance;
  std::string m_next = "dispatcher"; // name of the service for what may run
  // Wait of a request for a token: this share of its latency objective, within
  // the two bounds.
  double m_waitShare = 0.25;
  Duration m_minWait{ std::chrono::milliseconds(50) };
  Duration m_maxWait{ std::chrono::milliseconds(300) };
  Duration m_askTimeout{ std::chrono::milliseconds(300) };
  // From the start of a node until the members listed by then suffice to choose
  // owners; without other members, it owns all accounts after the longer time.
  Duration m_maxUnsettledTime{ std::chrono::seconds(2) };
  Duration m_maxTimeAlone{ std::chrono::seconds(5) };
  // Nodes of the directory that are not members by then do not run.
  Duration m_directoryTime{ std::chrono::seconds(2) };
  // Accounts with metrics of their own, those with the highest limits.
  size_t m_maxAccountMetrics = 20;
};

// What /status and /metrics show; registered as "account_limits".
class AccountLimitStatus : public virtual Component
{
public:
  // A JSON array with one object for each bucket that this node keeps, the
  // fullest load first, at most m_maxAccountMetrics.
  virtual std::string StatusJson() = 0;
  virtual void UpdateMetrics() = 0;
};

// What the limit of an account would do to a request that arrives now.
struct AccountPreview
{
  AccountLimit m_limit;
  // Ask: the owner decides, and the request waits for it, up to m_maxWait.
  TokenVerdict m_verdict = TokenVerdict::Ask;
  uint32_t m_held = 0;           // tokens at this node
  bool m_isWithoutOwner = false; // Taken from this node's share without owner
  std::optional<Endpoint> m_owner;
  bool m_isOwner = false;               // this node is
  std::optional<BucketStatus> m_bucket; // of the owner, if this node is
  Duration m_maxWait{};
  Duration m_retryAfter{}; // of a refusal; with jitter
};

// Registered as "account_limits".
class AccountPreviewer : public virtual Component
{
public:
  // Returns nullopt when the request has no account, or the account no limit.
  // Asks no other node and changes nothing.
  virtual std::optional<AccountPreview> Preview(
    const RequestHead& aHead) const = 0;
};

// The service "account_limits": CallHandler, TokenSource, AccountLimitStatus
// and AccountPreviewer. Finds "call_policy" (AccountDirectory), "clock",
// "random", "logger", "metrics" and "seed_finder" (FleetDirectory); requires
// "gossip", "peer_client" and m_next (CallHandler).
std::shared_ptr<Service>
MakeAccountLimits(AccountLimitSettings aSettings);

//-----------------------------------------------------------------------------
// [3] Key check
//-----------------------------------------------------------------------------

struct KeyCheckSettings
{
  std::string m_next = "account_limits"; // name of the next service
  // Longest wait of a request with an unknown key.
  Duration m_maxWait{ std::chrono::milliseconds(300) };
  // A configuration is taken for the newest for this time after a peer has
  // confirmed it, so unknown keys cause few queries.
  Duration m_confirmedFor{ std::chrono::milliseconds(500) };
};

// Requests the published configuration from a peer. Registered in the kernel as
// "operator_follower".
class ConfigRefresher : public virtual Component
{
public:
  // Returns when a peer has sent its configuration and a newer one has been
  // applied, or after aLimit. One request at a time serves all callers.
  virtual asio::awaitable<void> Refresh(Duration aLimit) = 0;
};

// The service "key_check": CallHandler. Refuses requests with an unknown key
// after a peer has shown that there is no newer configuration, or the wait has
// ended. Finds "call_policy" (AccountDirectory), "caller_dialect", "clock" and
// "metrics"; requires "operator_follower" (ConfigRefresher) and m_next.
std::shared_ptr<Service>
MakeKeyCheck(KeyCheckSettings aSettings);

} // namespace sassafrasquay
