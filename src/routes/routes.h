// Routes: the route table that operators publish, the selection of a service
// for a request, and the published configuration that is in force.
//
// Decision code without I/O. A RouteTableDecoder decodes the published
// documents.
//
// Index of this file
//   [1] Route table
//   [2] Matching and weighted choice
//   [3] Published configuration
//   [4] ActiveConfig: the configuration in force
//   [5] FetchSchedule: when the published configuration is requested
//   [6] SettlePeriod: time of the operators to write what the log has lost
//   [7] WatchDuty: which nodes wait for changes at the log
#pragma once

#include "core/core.h"
#include "rollout/rollout.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Route table
//-----------------------------------------------------------------------------

struct WeightedService
{
  std::string m_service;
  double m_weight = 1;

  bool operator==(const WeightedService&) const = default;
};

// Settings for the requests under one path prefix of a host.
struct Route
{
  std::string m_name;
  std::string m_prefix;          // begins and ends with a slash
  bool m_idempotent = false;     // requests may be executed more than once
  uint32_t m_maxAttempts = 1;    // targets that may execute one request
  Duration m_timeout{};          // of a request; 0: none
  Duration m_latencyObjective{}; // 0: none
  uint32_t m_priorityRank = 0;   // 0 is the highest priority
  bool m_public = false;         // requests need no key of a client account
  std::vector<WeightedService> m_services; // at least one

  bool operator==(const Route&) const = default;
};

// Settings for the targets of a service.
struct ServiceConfig
{
  std::string m_healthPath;
  uint32_t m_maxConnections = 0;      // of one target in total; 0: no limit
  Duration m_coldStartDuration{};     // after a target's start
  double m_coldRequestsPerSecond = 0; // limit for a cold target; 0: no limit

  bool operator==(const ServiceConfig&) const = default;
};

// A client account. Its requests carry one of its keys.
struct ClientAccount
{
  std::string m_name;
  std::vector<std::string> m_keys;
  std::optional<uint32_t> m_priorityRank; // instead of the route's
  // Requests that all nodes together may pass on in any time t: m_burst +
  // m_requestsPerSecond * t. 0: no limit.
  double m_requestsPerSecond = 0;
  double m_burst = 0;

  bool operator==(const ClientAccount&) const = default;
};

// Limits for callers; 0: no limit.
struct CallerLimits
{
  uint32_t m_maxHeadBytes = 0;
  uint64_t m_maxBodyBytes = 0;
  Duration m_headTimeout{};
  Duration m_idleTimeout{};

  bool operator==(const CallerLimits&) const = default;
};

struct RouteTable
{
  uint64_t m_version = 0;                            // set by the operators
  std::map<std::string, std::vector<Route>> m_hosts; // longest prefix first
  std::map<std::string, ServiceConfig> m_services;
  std::vector<ClientAccount> m_accounts; // empty: requests need no key
  CallerLimits m_limits;
  // Indexes into m_accounts; set by IndexTable.
  std::map<std::string, size_t, std::less<>> m_accountsByKey;
  std::map<std::string, size_t, std::less<>> m_accountsByName;

  bool operator==(const RouteTable&) const = default;
};

//-----------------------------------------------------------------------------
// [2] Matching and weighted choice
//-----------------------------------------------------------------------------

// Sorts the routes of every host by descending prefix length and indexes the
// client accounts, as FindRoute and FindAccount require. Returns false when two
// accounts have the same key.
bool
IndexTable(RouteTable& aTable);

// Returns the route with the longest prefix that matches the path without the
// query, or nullptr. A port in aHost is ignored.
const Route*
FindRoute(const RouteTable& aTable,
          std::string_view aHost,
          std::string_view aPath);

// Returns the account that holds the key, or nullptr.
const ClientAccount*
FindAccount(const RouteTable& aTable, std::string_view aKey);

// Returns the account with the name, or nullptr.
const ClientAccount*
FindAccountByName(const RouteTable& aTable, std::string_view aName);

// Distributes requests over services in proportion to their weights: after any
// number of requests a service is at most one request away from its share. The
// state is kept when the table changes, so that frequent changes do not distort
// the distribution.
class WeightedChoice
{
public:
  // aRoute has at least one service.
  const std::string& Choose(const Route& aRoute);
  // Returns what Choose would return.
  const std::string& Preview(const Route& aRoute) const;

private:
  using Credits = std::map<std::string, double, std::less<>>;

  static const std::string& ChooseWith(const Route& aRoute, Credits& aCredits);

  std::map<std::string, Credits, std::less<>> m_credits; // by route name
};

//-----------------------------------------------------------------------------
// [3] Published configuration
//-----------------------------------------------------------------------------

// The documents published at one position of the operators' log. A higher
// position is newer. Nodes forward the documents to each other unchanged.
struct PublishedConfig
{
  LogPosition m_position;               // LogPosition(): nothing received
  std::string m_routes;                 // route document; empty if none
  std::vector<std::string> m_zonesOut;  // sorted
  std::vector<RolloutOrder> m_rollouts; // one per service, sorted by it

  bool operator==(const PublishedConfig&) const = default;
};

// Decodes a published route document.
class RouteTableDecoder : public virtual Component
{
public:
  // Returns nullopt and sets aError when the document is not valid.
  virtual std::optional<RouteTable> Decode(std::string_view aDocument,
                                           std::string& aError) const = 0;
};

//-----------------------------------------------------------------------------
// [4] ActiveConfig
//-----------------------------------------------------------------------------

enum class OfferResult : uint8_t
{
  Older,    // not newer than the configuration in force; ignored
  Applied,  // now in force
  Rejected, // newer, but its routes are not usable; the previous routes stay
  Retained  // of a later era; what the log has lost stays in force
};

// Holds the configuration in force. Neither the position nor the version of the
// route table ever decreases.
//
// When the log begins a new era, its content may be older than what is in
// force, until the operators have written again what was lost. Meanwhile
// - routes with a lower version are not applied;
// - while the log has a lower version, only what changes in its content changes
//   zones. Then the zones that are out in its content are out;
// - a zone that was out before the era stays out. What is written again may
//   include an earlier end of its evacuation;
// - a roll-out order that the log lacks stays in force, also after Settle.
// This ends when the operators have had time to write (Settle).
class ActiveConfig
{
public:
  explicit ActiveConfig(const RouteTableDecoder& aDecoder)
    : m_decoder(aDecoder)
  {
  }

  OfferResult Offer(PublishedConfig aConfig);
  // The operators have had time to write again what was lost: takes the zones
  // of the log's last content. Returns whether zones have changed.
  bool Settle();

  const PublishedConfig& Config() const { return m_published; }
  // Returns null until a route table has been applied.
  std::shared_ptr<const RouteTable> Routes() const { return m_routes; }
  // Returns why the newest route document is not in force, or an empty string.
  const std::string& RejectReason() const { return m_rejectReason; }

private:
  using Zones = std::set<std::string>;
  // How the version of an offered route table compares to the one in force.
  enum class Version : uint8_t
  {
    Unusable,
    Lower,
    Same,
    Higher
  };

  bool IsOlder(const LogPosition& aPosition) const;
  Version OfferRoutes(const std::string& aDocument);
  std::vector<std::string> MergeZones(const PublishedConfig& aConfig,
                                      Version aVersion);
  std::vector<RolloutOrder> MergeRollouts(
    const std::vector<RolloutOrder>& aOffered) const;
  std::vector<std::string> ApplyChanges(
    const std::vector<std::string>& aZonesOut) const;

  const RouteTableDecoder& m_decoder;
  PublishedConfig m_published;
  // The log's own content that was offered last; without retained changes.
  LogPosition m_logPosition;
  std::vector<std::string> m_logZonesOut;
  Zones m_outBeforeEra;   // until the era has settled
  bool m_settled = false; // in this era
  std::shared_ptr<const RouteTable> m_routes;
  std::string m_rejectReason;
};

//-----------------------------------------------------------------------------
// [5] FetchSchedule
//-----------------------------------------------------------------------------

enum class FetchKind : uint8_t
{
  Read,  // the whole configuration
  Watch, // waits for the next change of the configuration that was read
  Check  // as Watch, but does not wait
};

enum class FetchOutcome : uint8_t
{
  Ok,
  HistoryGone, // not of a read: the changes to wait for have been deleted
  Failed
};

// Decides what to request next from the log of the published configuration, and
// after which pause.
class FetchSchedule
{
public:
  FetchSchedule(Duration aInitialBackoff, Duration aMaxBackoff)
    : m_initialBackoff(aInitialBackoff)
    , m_maxBackoff(aMaxBackoff)
    , m_failureBackoff(aInitialBackoff)
    , m_rereadBackoff(aInitialBackoff)
  {
  }

  // A log with eras may have begun one while it did not respond, and may have
  // the known offset again. A watch would not notice until the next change.
  void SetHasEras(bool aHasEras) { m_hasEras = aHasEras; }
  // No request was outstanding for a while. Like a failure, this may have
  // hidden the beginning of an era.
  void OnPause();
  FetchKind Next() const { return m_next; }
  // Records the outcome of that request. Returns the pause before the next one.
  Duration OnOutcome(FetchOutcome aOutcome);

private:
  Duration Pause(Duration& aBackoff) const;

  Duration m_initialBackoff;
  Duration m_maxBackoff;
  FetchKind m_next = FetchKind::Read;
  Duration m_failureBackoff; // doubles until any request succeeds
  Duration m_rereadBackoff;  // doubles while each read is in vain
  bool m_justRead = false;   // the last request was a read that succeeded
  bool m_hasEras = false;
};

//-----------------------------------------------------------------------------
// [6] SettlePeriod
//-----------------------------------------------------------------------------

// Decides when the operators have had time to write again what a log had lost
// when it began an era. They cannot write while the log does not respond.
class SettlePeriod
{
public:
  explicit SettlePeriod(Duration aLength)
    : m_length(aLength)
  {
  }

  // The log has responded in this era. Returns true once in each era, at the
  // end of the period; never in era 0.
  bool OnResponse(uint64_t aEra, TimePoint aNow);
  void OnFailure() { m_end.reset(); }
  // Limits the wait of a watch to the rest of the period.
  Duration LimitWait(Duration aWait, TimePoint aNow) const;
  // Whether the log is taken whole in this era.
  bool IsSettled(uint64_t aEra) const { return aEra == m_era && m_settled; }

private:
  Duration m_length;
  uint64_t m_era = 0;
  bool m_settled = true;
  std::optional<TimePoint> m_end; // set while it runs
};

//-----------------------------------------------------------------------------
// [7] WatchDuty
//-----------------------------------------------------------------------------

struct WatchDutySettings
{
  // In a zone with fewer live nodes, each of them watches the log.
  size_t m_minNodes = 8;
  size_t m_nodesPerWatcher = 8;
  // Watchers that notify a node, and the least number of watchers in a zone.
  size_t m_watchersPerNode = 3;
  // Watchers that must have notified a node lately. More than one, because a
  // watcher notices only after some seconds that its path to the log is cut.
  size_t m_requiredNotices = 2;
  Duration m_noticePeriod{ std::chrono::milliseconds(700) };
  Duration m_noticeTimeout{ std::chrono::milliseconds(1500) };
};

// Decides which nodes of an availability zone watch the log of the published
// configuration, so that the requests to the log do not grow with every node.
// A watcher notifies other nodes of its zone of the position in force, at once
// after a change and otherwise periodically. They fetch a newer configuration
// from it. A node without notices watches the log itself.
class WatchDuty
{
public:
  WatchDuty(NodeId aNode, WatchDutySettings aSettings)
    : m_node(std::move(aNode))
    , m_settings(aSettings)
  {
  }

  // Sets the live nodes of the zone, in any order. This node counts as live.
  void SetNodes(std::vector<NodeId> aNodes);
  // A watcher whose requests to the log succeed has notified this node.
  void OnNotice(const NodeId& aWatcher, TimePoint aNow);

  bool IsWatcher() const { return m_isWatcher; }
  // Nodes to be notified by this one; empty unless it is a watcher.
  const std::vector<NodeId>& Followers() const { return m_followers; }
  // Until then notices replace a watch of this node's own. Not later than now
  // when it must watch the log.
  TimePoint ReliesUntil() const;

private:
  NodeId m_node;
  WatchDutySettings m_settings;
  bool m_isWatcher = true;
  std::vector<NodeId> m_followers;
  std::map<std::string, TimePoint> m_notices; // last one of each watcher
};

} // namespace sassafrasquay
