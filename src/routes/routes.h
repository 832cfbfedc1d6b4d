// Routes: which service a request goes to and on what terms, as operators
// publish it, and which published state is in force.
//
// Pure decision code. The encoding of the published documents belongs to
// whoever reads them; see RouteTableDecoder.
//
// Index of this file
//   [1] Route table
//   [2] Matching and weighted choice
//   [3] What operators have published
//   [4] ActiveConfig: the state in force
#pragma once

#include "core/core.h"

#include <map>
#include <memory>
#include <optional>

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

// Terms of the requests under one path prefix of a host.
struct Route
{
  std::string m_name;
  std::string m_prefix;          // begins and ends with a slash
  bool m_idempotent = false;     // may run more than once
  uint32_t m_maxAttempts = 1;    // targets that one request may be sent to
  Duration m_timeout{};          // longest time a caller is kept; 0: none
  Duration m_latencyObjective{}; // latency objective; 0: none
  uint32_t m_priorityRank = 0;   // 0 is the most urgent
  std::vector<WeightedService> m_services; // at least one

  bool operator==(const Route&) const = default;
};

// What the configuration says about the targets of a service.
struct ServiceConfig
{
  std::string m_healthPath;
  uint32_t m_maxConnections = 0;  // of one target from all sides; 0: no bound
  Duration m_coldStartDuration{}; // after a target's start
  double m_coldRequestsPerSecond =
    0; // requests that a cold target bears; 0: any

  bool operator==(const ServiceConfig&) const = default;
};

// What a caller may send; zero: no bound.
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
  uint64_t m_version = 0;                            // as operators number it
  std::map<std::string, std::vector<Route>> m_hosts; // longest prefix first
  std::map<std::string, ServiceConfig> m_services;
  CallerLimits m_limits;

  bool operator==(const RouteTable&) const = default;
};

//-----------------------------------------------------------------------------
// [2] Matching and weighted choice
//-----------------------------------------------------------------------------

// Puts the routes of every host in the order that FindRoute relies on.
void
SortRoutes(RouteTable& aTable);

// The route with the longest prefix that begins the path (the query does not
// count); nullptr when there is none. A port in aHost is ignored.
const Route*
FindRoute(const RouteTable& aTable,
          std::string_view aHost,
          std::string_view aPath);

// Deals requests out in the proportion of the weights, as evenly as possible:
// over any run of requests a service is at most one request away from its
// share. Kept over a new table, so that frequent changes do not skew it.
class WeightedChoice
{
public:
  // aRoute has at least one service.
  const std::string& Choose(const Route& aRoute);

private:
  using Credits = std::map<std::string, double, std::less<>>;
  std::map<std::string, Credits, std::less<>> m_credits; // by route name
};

//-----------------------------------------------------------------------------
// [3] What operators have published
//-----------------------------------------------------------------------------

// The published documents at one position of the operators' log. Positions
// order the states: a higher one is newer. Nodes pass the documents on to each
// other as they are.
struct PublishedConfig
{
  uint64_t m_position = 0;             // 0: nothing is known
  std::string m_routes;                // document; empty before the first
  std::vector<std::string> m_zonesOut; // sorted

  bool operator==(const PublishedConfig&) const = default;
};

// Decodes a published route document.
class RouteTableDecoder : public virtual Component
{
public:
  // nullopt when the document is not valid; aFault then says why.
  virtual std::optional<RouteTable> Decode(std::string_view aDocument,
                                           std::string& aFault) const = 0;
};

//-----------------------------------------------------------------------------
// [4] ActiveConfig
//-----------------------------------------------------------------------------

enum class OfferResult : uint8_t
{
  Older,   // not newer than the state in force
  Applied, // in force now
  Rejected // newer, but the routes cannot be used: the last good ones stay
};

// Decides which state is in force. Neither the position nor the version of the
// routes ever goes back.
class ActiveConfig
{
public:
  explicit ActiveConfig(const RouteTableDecoder& aDocuments)
    : m_documents(aDocuments)
  {
  }

  OfferResult Offer(PublishedConfig aState);

  const PublishedConfig& State() const { return m_state; }
  // Null until routes are known.
  std::shared_ptr<const RouteTable> Routes() const { return m_routes; }
  // Why the newest document is not in force; empty otherwise.
  const std::string& RejectReason() const { return m_fault; }

private:
  const RouteTableDecoder& m_documents;
  PublishedConfig m_state;
  std::shared_ptr<const RouteTable> m_routes;
  std::string m_fault;
};

} // namespace sassafrasquay
