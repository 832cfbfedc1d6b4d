// Flags of the node and their validation.
#include "node/node.h"

#include "logging/logging.h"

#include <boost/asio/ip/address.hpp>
#include <fstream>
#include <gflags/gflags.h>
#include <sstream>

DEFINE_string(node_id, "", "name of this node, unique in the fleet");
DEFINE_string(zone, "", "availability zone of this VM");
DEFINE_string(region, "", "region of this VM");
DEFINE_string(listen, "127.0.0.1:8080", "IP:port for callers");
DEFINE_string(peer_listen, "127.0.0.1:8081", "IP:port for other nodes");
DEFINE_string(peer_advertise,
              "",
              "IP:port at which other nodes reach --peer_listen, TCP and UDP, "
              "where ports are mapped; empty: --peer_listen itself");
DEFINE_string(control_listen,
              "127.0.0.1:8082",
              "IP:port for the local target and administrators");
DEFINE_string(seeds,
              "",
              "comma-separated peer addresses IP:port of other nodes; one that "
              "responds is enough; none: this node starts a new fleet");
DEFINE_string(node_file,
              "",
              "file of flags, one --flag=value per line; read at startup, on "
              "SIGHUP and when it changes; command-line flags take precedence "
              "at startup");
DEFINE_string(
  declaration,
  "",
  "declaration file with the fleet's defaults and exceptions; none: the "
  "built-in defaults apply");
DEFINE_string(ready_listen,
              "",
              "additional IP:port for readiness checks; may be empty");
DEFINE_string(admin_listen,
              "",
              "additional IP:port for metrics and status; may be empty");
DEFINE_string(peer_key, "", "key shared by all nodes; at least 16 characters");
DEFINE_string(previous_peer_key,
              "",
              "key still accepted from other nodes during a key rotation");
DEFINE_string(log_format, "logfmt", "logfmt or json");
DEFINE_string(log_level, "info", "debug, info, warning or error");
DEFINE_double(decision_sample,
              1.0,
              "fraction of routing and placement decisions to log, 0 to 1");
DEFINE_uint32(decisions_per_second,
              500,
              "limit of log lines per second about routing and placement "
              "decisions; lines above it are only counted");
DEFINE_uint32(max_head_bytes, 16384, "size limit of a request head in bytes");
DEFINE_uint64(max_body_bytes,
              4294967296,
              "size limit of a request body in bytes");
DEFINE_uint32(max_connections,
              10000,
              "maximum number of open caller connections");
DEFINE_uint32(
  pipeline_depth,
  8,
  "requests of one caller connection that may be under way at the "
  "same time; 1: each begins after the response to the previous one");
DEFINE_uint64(pipeline_bytes,
              33554432,
              "memory in bytes, of all caller connections together, for "
              "responses that wait for an earlier one of their connection");
DEFINE_uint32(head_timeout_ms, 10000, "ms to receive a request head");
DEFINE_uint32(idle_timeout_ms, 60000, "ms a caller connection may be idle");
DEFINE_uint32(body_timeout_ms,
              30000,
              "ms between two chunks of a request body");
DEFINE_uint32(default_timeout_ms,
              10000,
              "ms until the response must start, for requests without "
              "Sassafrasquay-Timeout-Ms");
DEFINE_uint32(max_timeout_ms,
              300000,
              "upper limit of Sassafrasquay-Timeout-Ms");
DEFINE_uint32(upload_timeout_ms,
              900000,
              "ms until the response must start, for a body above 64 KiB");
DEFINE_uint32(leave_delay_ms,
              1000,
              "ms from the stop signal to closing the listeners");
DEFINE_uint32(
  unready_ms,
  0,
  "ms at the start of --leave_delay_ms in which readiness checks fail, while "
  "other nodes still send work; they are notified afterwards");
DEFINE_uint32(
  shutdown_limit_ms,
  0,
  "ms from the first signal to a forced exit; 0: no limit, all open "
  "exchanges finish");
DEFINE_uint32(
  load_max_age_ms,
  0,
  "maximum age in ms of the target's reported load; an older one is "
  "probed before a request starts; 0: no load probes");

namespace sassafrasquay {

namespace {

constexpr size_t kMinKeyBytes = 16;
constexpr size_t kMaxNameBytes = 64;

std::vector<std::string>
Split(const std::string& aText, char aSeparator)
{
  std::vector<std::string> parts;
  std::stringstream stream(aText);
  std::string part;
  while (std::getline(stream, part, aSeparator)) {
    parts.push_back(part);
  }
  return parts;
}

void
CheckName(const char* aFlag,
          const std::string& aValue,
          std::vector<std::string>& aErrors)
{
  if (aValue.empty() || aValue.size() > kMaxNameBytes) {
    aErrors.push_back(std::string("--") + aFlag +
                      " must have 1 to 64 characters");
  }
}

Endpoint
ReadEndpoint(const char* aFlag,
             const std::string& aValue,
             std::vector<std::string>& aErrors)
{
  Endpoint endpoint;
  boost::system::error_code error;
  const bool parsed = ParseEndpoint(aValue, endpoint);
  if (parsed) {
    boost::asio::ip::make_address(endpoint.m_address, error);
  }
  if (!parsed || error) {
    aErrors.push_back(std::string("--") + aFlag + " must be IP:port, not '" +
                      aValue + "'");
  }
  return endpoint;
}

Duration
ReadMilliseconds(const char* aFlag,
                 uint32_t aValue,
                 std::vector<std::string>& aErrors)
{
  if (aValue == 0) {
    aErrors.push_back(std::string("--") + aFlag + " must be above 0");
  }
  return std::chrono::milliseconds(aValue);
}

void
ReadSeedsAndListenAddresses(NodeSettings& aSettings,
                            std::vector<std::string>& aErrors)
{
  for (const std::string& seed : Split(FLAGS_seeds, ',')) {
    aSettings.m_seeds.push_back(ReadEndpoint("seeds", seed, aErrors));
  }
  if (!FLAGS_ready_listen.empty()) {
    aSettings.m_readyListen =
      ReadEndpoint("ready_listen", FLAGS_ready_listen, aErrors);
  }
  if (!FLAGS_admin_listen.empty()) {
    aSettings.m_adminListen =
      ReadEndpoint("admin_listen", FLAGS_admin_listen, aErrors);
  }
}

void
ReadFleetConfig(NodeSettings& aSettings, std::vector<std::string>& aErrors)
{
  if (FLAGS_declaration.empty()) {
    return;
  }
  std::ifstream file(FLAGS_declaration);
  if (!file) {
    aErrors.push_back("--declaration: cannot read '" + FLAGS_declaration + "'");
    return;
  }
  std::stringstream text;
  text << file.rdbuf();
  const ConfigParseResult parsed = ParseFleetConfig(text.str());
  for (const ConfigError& configError : parsed.m_errors) {
    aErrors.push_back(FLAGS_declaration + ": " + ToString(configError));
  }
  aSettings.m_fleetConfig = parsed.m_fleetConfig;
}

void
ReadLimits(NodeSettings& aSettings, std::vector<std::string>& aErrors)
{
  aSettings.m_maxHeadBytes = FLAGS_max_head_bytes;
  aSettings.m_maxBodyBytes = FLAGS_max_body_bytes;
  aSettings.m_maxConnections = FLAGS_max_connections;
  aSettings.m_pipelineDepth = FLAGS_pipeline_depth;
  aSettings.m_pipelineBytes = FLAGS_pipeline_bytes;
  if (FLAGS_max_head_bytes < 1024) {
    aErrors.emplace_back("--max_head_bytes must be at least 1024");
  }
  if (FLAGS_max_connections == 0) {
    aErrors.emplace_back("--max_connections must be above 0");
  }
  if (FLAGS_pipeline_depth == 0) {
    aErrors.emplace_back("--pipeline_depth must be above 0");
  }
  const auto read = [&aErrors](const char* aFlag, uint32_t aValue) {
    return ReadMilliseconds(aFlag, aValue, aErrors);
  };
  aSettings.m_headTimeout = read("head_timeout_ms", FLAGS_head_timeout_ms);
  aSettings.m_idleTimeout = read("idle_timeout_ms", FLAGS_idle_timeout_ms);
  aSettings.m_bodyTimeout = read("body_timeout_ms", FLAGS_body_timeout_ms);
  aSettings.m_defaultTimeout =
    read("default_timeout_ms", FLAGS_default_timeout_ms);
  aSettings.m_maxTimeout = read("max_timeout_ms", FLAGS_max_timeout_ms);
  aSettings.m_uploadTimeout =
    read("upload_timeout_ms", FLAGS_upload_timeout_ms);
  aSettings.m_leaveDelay = std::chrono::milliseconds(FLAGS_leave_delay_ms);
  aSettings.m_unreadyTime = std::chrono::milliseconds(FLAGS_unready_ms);
  if (aSettings.m_unreadyTime > aSettings.m_leaveDelay) {
    aErrors.emplace_back("--unready_ms must not be above --leave_delay_ms");
  }
  aSettings.m_shutdownLimit =
    std::chrono::milliseconds(FLAGS_shutdown_limit_ms);
  aSettings.m_loadMaxAge = std::chrono::milliseconds(FLAGS_load_max_age_ms);
}

} // namespace

NodeSettings
ReadNodeSettings(std::vector<std::string>& aErrors)
{
  NodeSettings settings;
  settings.m_node.m_value = FLAGS_node_id;
  settings.m_zone = FLAGS_zone;
  settings.m_region = FLAGS_region;
  CheckName("node_id", FLAGS_node_id, aErrors);
  CheckName("zone", FLAGS_zone, aErrors);
  CheckName("region", FLAGS_region, aErrors);
  settings.m_listen = ReadEndpoint("listen", FLAGS_listen, aErrors);
  settings.m_peerListen =
    ReadEndpoint("peer_listen", FLAGS_peer_listen, aErrors);
  settings.m_peerAdvertise =
    FLAGS_peer_advertise.empty()
      ? settings.m_peerListen
      : ReadEndpoint("peer_advertise", FLAGS_peer_advertise, aErrors);
  settings.m_controlListen =
    ReadEndpoint("control_listen", FLAGS_control_listen, aErrors);
  settings.m_peerKey = FLAGS_peer_key;
  settings.m_previousPeerKey = FLAGS_previous_peer_key;
  if (FLAGS_peer_key.size() < kMinKeyBytes) {
    aErrors.emplace_back("--peer_key must have at least 16 characters");
  }
  LogLevel level = LogLevel::Info;
  if (!ParseLogLevel(FLAGS_log_level, level)) {
    aErrors.emplace_back("--log_level must be debug, info, warning or error");
  }
  if (FLAGS_log_format != "logfmt" && FLAGS_log_format != "json") {
    aErrors.emplace_back("--log_format must be logfmt or json");
  }
  if (FLAGS_decision_sample < 0 || FLAGS_decision_sample > 1) {
    aErrors.emplace_back("--decision_sample must be from 0 to 1");
  }
  settings.m_logJson = FLAGS_log_format == "json";
  settings.m_logLevel = FLAGS_log_level;
  settings.m_decisionSampleRate = FLAGS_decision_sample;
  settings.m_decisionsPerSecond = FLAGS_decisions_per_second;
  settings.m_nodeFile = FLAGS_node_file;
  ReadSeedsAndListenAddresses(settings, aErrors);
  ReadLimits(settings, aErrors);
  ReadFleetConfig(settings, aErrors);
  settings.m_platform = ReadPlatformSettings(aErrors);
  return settings;
}

namespace {

bool
IsValidFlag(const std::string& aName, const std::string& aValue)
{
  const gflags::FlagSaver saver; // restores the flags
  return !gflags::SetCommandLineOption(aName.c_str(), aValue.c_str()).empty();
}

} // namespace

bool
ReadNodeFile(const std::string& aPath, std::vector<std::string>& aErrors)
{
  std::ifstream file(aPath);
  if (!file) {
    aErrors.push_back("cannot read '" + aPath + "'");
    return false;
  }
  const size_t errorsBefore = aErrors.size();
  std::vector<std::pair<std::string, std::string>> changes;
  std::string line;
  for (size_t number = 1; std::getline(file, line); ++number) {
    const size_t begin = line.find_first_not_of(" \t\r");
    if (begin == std::string::npos || line[begin] == '#') {
      continue;
    }
    const std::string location =
      aPath + " line " + std::to_string(number) + ": ";
    const size_t equals = line.find('=');
    if (line.compare(begin, 2, "--") != 0 || equals == std::string::npos) {
      aErrors.push_back(location + "must be --flag=value");
      continue;
    }
    const std::string name = line.substr(begin + 2, equals - begin - 2);
    const std::string value =
      line.substr(equals + 1, line.find_last_not_of(" \t\r") - equals);
    if (!IsValidFlag(name, value)) {
      aErrors.push_back(location + "unknown flag or invalid value: --");
      aErrors.back() += name;
    }
    changes.emplace_back(name, value);
  }
  if (aErrors.size() != errorsBefore) {
    return false;
  }
  for (const auto& [name, value] : changes) {
    gflags::SetCommandLineOption(name.c_str(), value.c_str());
  }
  return true;
}

} // namespace sassafrasquay
