// The command "status".
#include "app/status_command.h"

#include "app/control_client.h"

#include <boost/json.hpp>
#include <iomanip>
#include <ostream>

namespace sassafrasquay {

namespace json = boost::json;

namespace {

std::string
Text(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  if (value == nullptr) {
    return "-";
  }
  return value->is_string() ? std::string(value->as_string())
                            : json::serialize(*value);
}

// Prints nothing without orders.
void
PrintRollouts(const json::object& aStatus, std::ostream& aOut)
{
  const json::value* rollouts = aStatus.if_contains("rollouts");
  if (rollouts == nullptr || !rollouts->is_array() ||
      rollouts->get_array().empty()) {
    return;
  }
  aOut << std::left << std::setw(16) << "ROLL-OUT" << std::setw(12) << "VERSION"
       << std::setw(13) << "STEP" << std::setw(8) << "SHARE" << std::setw(14)
       << "NEW (FAILED)" << std::setw(14) << "OLD (FAILED)"
       << "REASON\n";
  for (const json::value& value : rollouts->get_array()) {
    const json::object& rollout = value.as_object();
    const auto counts = [&rollout](const std::string& aVersion) {
      return Text(rollout, aVersion + "_requests") + " (" +
             Text(rollout, aVersion + "_failures") + ")";
    };
    aOut << std::setw(16) << Text(rollout, "service") << std::setw(12)
         << Text(rollout, "version") << std::setw(13) << Text(rollout, "step")
         << std::setw(8) << Text(rollout, "share_percent") + "%"
         << std::setw(14) << counts("new") << std::setw(14) << counts("old")
         << Text(rollout, "reason") << "\n";
  }
  aOut << "\n";
}

void
Print(const json::object& aStatus, std::ostream& aOut)
{
  const std::string reason = Text(aStatus, "not_ready");
  aOut << "node     " << Text(aStatus, "node") << "\n"
       << "zone     " << Text(aStatus, "zone") << "\n"
       << "ready    " << (reason.empty() ? "yes" : "no: " + reason) << "\n"
       << "config   version " << Text(aStatus, "config_version") << "\n"
       << "target   " << Text(aStatus, "target") << "\n"
       << "load     " << Text(aStatus, "load") << "\n\n";
  PrintRollouts(aStatus, aOut);
  aOut << std::left << std::setw(24) << "MEMBER" << std::setw(12) << "ZONE"
       << std::setw(16) << "SERVICE" << std::setw(9) << "STATE" << std::setw(7)
       << "COLD"
       << "CONFIG\n";
  const json::value* members = aStatus.if_contains("members");
  if (members == nullptr || !members->is_array()) {
    return;
  }
  for (const json::value& value : members->as_array()) {
    const json::object& member = value.as_object();
    aOut << std::setw(24) << Text(member, "node") << std::setw(12)
         << Text(member, "zone") << std::setw(16) << Text(member, "service")
         << std::setw(9) << Text(member, "state") << std::setw(7)
         << Text(member, "cold") << Text(member, "config_version") << "\n";
  }
}

} // namespace

int
RunStatus(const StatusSettings& aSettings,
          std::ostream& aOut,
          std::ostream& aErr)
{
  ControlRequest request;
  request.m_control = aSettings.m_control;
  request.m_timeout = aSettings.m_timeout;
  request.m_path = "/status";
  const ControlResponse response = SendToControl(request);
  boost::system::error_code error = response.m_error;
  const json::value status =
    error ? json::value() : json::parse(response.m_body, error);
  if (error || !status.is_object()) {
    aErr << "sassafrasquay status: no valid response from "
         << ToString(aSettings.m_control) << ": " << error.message()
         << "; check --control and that the node is running\n";
    return 1;
  }
  Print(status.as_object(), aOut);
  return 0;
}

} // namespace sassafrasquay
