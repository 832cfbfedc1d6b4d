// Route matching, weighted choice and the configuration in force.
#include "routes/routes.h"

#include <algorithm>

namespace sassafrasquay {

bool
IndexTable(RouteTable& aTable)
{
  for (auto& [host, routes] : aTable.m_hosts) {
    std::stable_sort(routes.begin(),
                     routes.end(),
                     [](const Route& aLeft, const Route& aRight) {
                       return aLeft.m_prefix.size() > aRight.m_prefix.size();
                     });
  }
  aTable.m_accountsByKey.clear();
  aTable.m_accountsByName.clear();
  for (size_t i = 0; i < aTable.m_accounts.size(); ++i) {
    aTable.m_accountsByName.emplace(aTable.m_accounts[i].m_name, i);
    for (const std::string& key : aTable.m_accounts[i].m_keys) {
      const auto entry = aTable.m_accountsByKey.emplace(key, i).first;
      if (entry->second != i) {
        return false;
      }
    }
  }
  return true;
}

const ClientAccount*
FindAccount(const RouteTable& aTable, std::string_view aKey)
{
  const auto found = aTable.m_accountsByKey.find(aKey);
  return found == aTable.m_accountsByKey.end()
           ? nullptr
           : &aTable.m_accounts[found->second];
}

const ClientAccount*
FindAccountByName(const RouteTable& aTable, std::string_view aName)
{
  const auto found = aTable.m_accountsByName.find(aName);
  return found == aTable.m_accountsByName.end()
           ? nullptr
           : &aTable.m_accounts[found->second];
}

const Route*
FindRoute(const RouteTable& aTable,
          std::string_view aHost,
          std::string_view aPath)
{
  const std::string host(aHost.substr(0, aHost.find(':')));
  const auto found = aTable.m_hosts.find(host);
  if (found == aTable.m_hosts.end()) {
    return nullptr;
  }
  const std::string_view path = aPath.substr(0, aPath.find('?'));
  for (const Route& route : found->second) {
    if (path.starts_with(route.m_prefix)) {
      return &route;
    }
  }
  return nullptr;
}

//-----------------------------------------------------------------------------
// Weighted choice
//-----------------------------------------------------------------------------

// Smooth weighted round robin: the credit of each service grows by its weight;
// the service with the highest credit is chosen and its credit is reduced by
// the sum of the weights.
const std::string&
WeightedChoice::Choose(const Route& aRoute)
{
  return aRoute.m_services.size() == 1
           ? aRoute.m_services.front().m_service
           : ChooseWith(aRoute, m_credits[aRoute.m_name]);
}

const std::string&
WeightedChoice::Preview(const Route& aRoute) const
{
  const auto found = m_credits.find(aRoute.m_name);
  Credits credits = found == m_credits.end() ? Credits() : found->second;
  return ChooseWith(aRoute, credits);
}

const std::string&
WeightedChoice::ChooseWith(const Route& aRoute, Credits& aCredits)
{
  const auto& services = aRoute.m_services;
  std::erase_if(aCredits, [&services](const auto& aEntry) {
    return std::none_of(
      services.begin(), services.end(), [&aEntry](const auto& aService) {
        return aService.m_service == aEntry.first;
      });
  });
  double total = 0;
  const WeightedService* best = nullptr;
  for (const WeightedService& weighted : services) {
    if (weighted.m_weight <= 0) {
      continue;
    }
    total += weighted.m_weight;
    double& credit = aCredits[weighted.m_service];
    credit += weighted.m_weight;
    if (best == nullptr || credit > aCredits[best->m_service]) {
      best = &weighted;
    }
  }
  if (best == nullptr) {
    return services.front().m_service; // all weights are 0
  }
  aCredits[best->m_service] -= total;
  return best->m_service;
}

//-----------------------------------------------------------------------------
// ActiveConfig
//-----------------------------------------------------------------------------

bool
ActiveConfig::IsOlder(const LogPosition& aPosition) const
{
  // The log's own content counts although a peer has sent a configuration with
  // retained changes at the same or a later offset of the era.
  return aPosition.m_retained || aPosition.m_era < m_published.m_position.m_era
           ? aPosition <= m_published.m_position
           : aPosition <= m_logPosition;
}

// Applies the routes of a document if they are usable and not older.
ActiveConfig::Version
ActiveConfig::OfferRoutes(const std::string& aDocument)
{
  if (aDocument == m_published.m_routes) {
    m_rejectReason.clear();
    return Version::Same;
  }
  std::string fault;
  auto table = m_decoder.Decode(aDocument, fault);
  if (table && !IndexTable(*table)) {
    table.reset();
    fault = "two client accounts have the same key";
  }
  if (!table) {
    m_rejectReason = std::move(fault);
    return Version::Unusable;
  }
  if (m_routes && table->m_version < m_routes->m_version) {
    m_rejectReason = "version " + std::to_string(table->m_version) +
                     " is older than the one in force";
    return Version::Lower;
  }
  const bool higher = !m_routes || table->m_version > m_routes->m_version;
  m_routes = std::make_shared<const RouteTable>(std::move(*table));
  m_published.m_routes = aDocument;
  m_rejectReason.clear();
  return higher ? Version::Higher : Version::Same;
}

// Returns the zones in force with what differs between the log's last content
// and this one.
std::vector<std::string>
ActiveConfig::ApplyChanges(const std::vector<std::string>& aZonesOut) const
{
  const Zones before(m_logZonesOut.begin(), m_logZonesOut.end());
  const Zones after(aZonesOut.begin(), aZonesOut.end());
  Zones inForce(m_published.m_zonesOut.begin(), m_published.m_zonesOut.end());
  for (const std::string& zone : after) {
    if (!before.contains(zone)) {
      inForce.insert(zone);
    }
  }
  for (const std::string& zone : before) {
    if (!after.contains(zone) && !m_outBeforeEra.contains(zone)) {
      inForce.erase(zone);
    }
  }
  return { inForce.begin(), inForce.end() };
}

// Returns the zones that are out from now on. aVersion is that of aConfig,
// compared to the one that was in force before.
std::vector<std::string>
ActiveConfig::MergeZones(const PublishedConfig& aConfig, Version aVersion)
{
  const LogPosition& position = aConfig.m_position;
  const bool isLog = !position.m_retained;
  if (aVersion == Version::Lower || aVersion == Version::Unusable) {
    const bool changesKnown = isLog && m_logPosition != LogPosition() &&
                              m_logPosition.m_era == position.m_era;
    return changesKnown ? ApplyChanges(aConfig.m_zonesOut)
                        : m_published.m_zonesOut;
  }
  Zones zones(aConfig.m_zonesOut.begin(), aConfig.m_zonesOut.end());
  if (aVersion == Version::Same && !isLog) {
    // What only the peer has out may have ended while it was cut off.
    zones = Zones(m_published.m_zonesOut.begin(), m_published.m_zonesOut.end());
    if (!m_settled) {
      zones.insert(aConfig.m_zonesOut.begin(), aConfig.m_zonesOut.end());
    }
  }
  zones.insert(m_outBeforeEra.begin(), m_outBeforeEra.end());
  if (!isLog && !m_settled) {
    m_outBeforeEra = zones; // the peer's memory of earlier eras
  }
  return { zones.begin(), zones.end() };
}

// Adds the orders in force that the offered configuration lacks.
std::vector<RolloutOrder>
ActiveConfig::MergeRollouts(const std::vector<RolloutOrder>& aOffered) const
{
  std::map<std::string, RolloutOrder> byService;
  for (const RolloutOrder& order : m_published.m_rollouts) {
    byService[order.m_service] = order;
  }
  for (const RolloutOrder& order : aOffered) {
    byService[order.m_service] = order;
  }
  std::vector<RolloutOrder> merged;
  merged.reserve(byService.size());
  for (auto& [service, order] : byService) {
    merged.push_back(std::move(order));
  }
  return merged;
}

OfferResult
ActiveConfig::Offer(PublishedConfig aConfig)
{
  const LogPosition position = aConfig.m_position;
  if (IsOlder(position)) {
    return OfferResult::Older;
  }
  const LogPosition previous = m_published.m_position;
  const bool laterEra = position.m_era > previous.m_era;
  if (laterEra) {
    m_settled = false;
    m_outBeforeEra =
      Zones(m_published.m_zonesOut.begin(), m_published.m_zonesOut.end());
  }
  const bool knowsMore =
    previous != LogPosition() &&
    (laterEra || previous.m_retained || !m_outBeforeEra.empty());
  const bool merges = knowsMore || position.m_retained;
  const Version version = OfferRoutes(aConfig.m_routes);
  const bool usable = version == Version::Same || version == Version::Higher;
  // The zones are published separately from the routes and are applied although
  // the routes may not be.
  std::vector<std::string> zonesOut =
    merges ? MergeZones(aConfig, version) : aConfig.m_zonesOut;
  std::vector<RolloutOrder> rollouts =
    merges ? MergeRollouts(aConfig.m_rollouts) : aConfig.m_rollouts;
  LogPosition reached = position;
  if (knowsMore && !position.m_retained) {
    reached.m_retained = m_published.m_routes != aConfig.m_routes ||
                         zonesOut != aConfig.m_zonesOut ||
                         rollouts != aConfig.m_rollouts;
  }
  if (!position.m_retained) {
    m_logPosition = position;
    m_logZonesOut = aConfig.m_zonesOut;
  }
  // Whatever else is published stays with the routes.
  PublishedConfig next = merges && !usable ? m_published : std::move(aConfig);
  next.m_routes = std::move(m_published.m_routes);
  next.m_zonesOut = std::move(zonesOut);
  next.m_rollouts = std::move(rollouts);
  next.m_position = std::max(previous, reached);
  m_published = std::move(next);
  if (reached.m_retained) {
    return OfferResult::Retained;
  }
  return usable ? OfferResult::Applied : OfferResult::Rejected;
}

bool
ActiveConfig::Settle()
{
  m_settled = true;
  m_outBeforeEra.clear();
  if (!m_published.m_position.m_retained ||
      m_logPosition.m_era != m_published.m_position.m_era ||
      m_published.m_zonesOut == m_logZonesOut) {
    return false;
  }
  m_published.m_zonesOut = m_logZonesOut;
  return true;
}

} // namespace sassafrasquay
