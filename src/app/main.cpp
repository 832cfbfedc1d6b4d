// The program's command line: one command per operator task.
#include "app/config_commands.h"
#include "app/explain_command.h"
#include "app/status_command.h"
#include "node/node.h"

#include <algorithm>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>

DECLARE_string(node_file);
DECLARE_string(zone);
DEFINE_string(effective,
              "",
              "name of the service whose effective settings are shown");
DEFINE_string(instance, "", "target whose exceptions apply to --effective");
DEFINE_uint32(deadline_ms, 20000, "ms for the whole command");
DEFINE_string(control, "127.0.0.1:8082", "IP:port of a node's control address");
DEFINE_string(host, "", "host of the request to explain");
DEFINE_string(method, "GET", "method of the request to explain");
DEFINE_string(path, "/", "path and query of the request to explain");
DEFINE_string(key,
              "",
              "key that the request carries; better set SASSAFRASQUAY_KEY, "
              "which other users cannot see");
DEFINE_string(account, "", "client account of the request, in place of a key");
DEFINE_uint64(body_bytes, 0, "length of the request's body");
DEFINE_uint32(timeout_ms, 0, "timeout that the caller sets; 0 for none");
DEFINE_bool(json, false, "print JSON");

namespace {

using namespace sassafrasquay;

constexpr int kExitUsage = 2;

using Arguments = std::vector<std::string>;

struct Command
{
  std::string_view m_name;
  std::string_view m_arguments;
  std::string_view m_summary;
  std::vector<std::string_view> m_flags; // empty: all flags of the node
  int (*m_run)(const Arguments& aArguments);
};

//-----------------------------------------------------------------------------
// Settings from the environment
//-----------------------------------------------------------------------------

bool
IsProjectFlag(const gflags::CommandLineFlagInfo& aFlag)
{
  return aFlag.filename.find("src/node/") != std::string::npos ||
         aFlag.filename.find("src/app/") != std::string::npos ||
         aFlag.filename.find("platform/") != std::string::npos;
}

// Sets flags from SASSAFRASQUAY_<FLAG>; flags that are set later override them.
void
ReadEnvironment(Arguments& aErrors)
{
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  for (const auto& flag : flags) {
    std::string name = "SASSAFRASQUAY_" + flag.name;
    std::transform(name.begin(), name.end(), name.begin(), ::toupper);
    const char* value = std::getenv(name.c_str());
    if (value == nullptr || !IsProjectFlag(flag)) {
      continue;
    }
    if (gflags::SetCommandLineOption(flag.name.c_str(), value).empty()) {
      aErrors.push_back(name + " has an invalid value '" + value + "'");
    }
  }
}

int
ReportErrors(const Arguments& aErrors)
{
  for (const std::string& message : aErrors) {
    std::cerr << "sassafrasquay: " << message << "\n";
  }
  std::cerr << "sassafrasquay: add --help to see the flags of a command\n";
  return kExitUsage;
}

//-----------------------------------------------------------------------------
// Commands
//-----------------------------------------------------------------------------

int
RunNodeCommand(const Arguments&)
{
  Arguments errors;
  const NodeSettings settings = ReadNodeSettings(errors);
  return errors.empty() ? RunNode(settings) : ReportErrors(errors);
}

int
RunCheckCommand(const Arguments& aArguments)
{
  return RunConfigCheck(aArguments.at(0), std::cout, std::cerr);
}

int
RunShowCommand(const Arguments& aArguments)
{
  ShowSettings settings;
  settings.m_file = aArguments.at(0);
  settings.m_service = FLAGS_effective;
  settings.m_zone = FLAGS_zone;
  settings.m_target = FLAGS_instance;
  return RunConfigShow(settings, std::cout, std::cerr);
}

int
RunStatusCommand(const Arguments&)
{
  StatusSettings settings;
  if (!ParseEndpoint(FLAGS_control, settings.m_control)) {
    return ReportErrors({ "--control must be IP:port" });
  }
  settings.m_timeout = std::chrono::milliseconds(FLAGS_deadline_ms);
  return RunStatus(settings, std::cout, std::cerr);
}

int
RunExplainCommand(const Arguments&)
{
  ExplainCommandSettings settings;
  if (!ParseEndpoint(FLAGS_control, settings.m_control)) {
    return ReportErrors({ "--control must be IP:port" });
  }
  if (FLAGS_host.empty()) {
    return ReportErrors({ "--host is required" });
  }
  settings.m_timeout = std::chrono::milliseconds(FLAGS_deadline_ms);
  settings.m_json = FLAGS_json;
  ExplainQuery& query = settings.m_query;
  query.m_host = FLAGS_host;
  query.m_method = FLAGS_method;
  query.m_path = FLAGS_path;
  query.m_key = FLAGS_key;
  query.m_account = FLAGS_account;
  query.m_bodyBytes = FLAGS_body_bytes;
  if (FLAGS_timeout_ms > 0) {
    query.m_timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
  }
  return RunExplain(settings, std::cout, std::cerr);
}

int
RunVersionCommand(const Arguments&)
{
  std::cout << "sassafrasquay " SQ_VERSION "\n";
  return 0;
}

const std::vector<Command>&
Commands()
{
  static const std::vector<Command> commands = {
    { "node", "", "run the node beside a target", {}, RunNodeCommand },
    { "config check",
      "FILE",
      "report every fault of a declaration",
      { "version" },
      RunCheckCommand },
    { "config show",
      "FILE",
      "show a service's settings and where each comes from",
      { "effective", "zone", "instance" },
      RunShowCommand },
    { "status",
      "",
      "show the status of a node: its target, load and members",
      { "control", "deadline_ms" },
      RunStatusCommand },
    { "explain",
      "",
      "show what a node would do with a request, without sending it",
      { "control",
        "deadline_ms",
        "host",
        "method",
        "path",
        "key",
        "account",
        "body_bytes",
        "timeout_ms",
        "json" },
      RunExplainCommand },
    { "version", "", "print the version", { "version" }, RunVersionCommand },
  };
  return commands;
}

//-----------------------------------------------------------------------------
// Help
//-----------------------------------------------------------------------------

void
PrintUsage(std::ostream& aOut)
{
  aOut << "usage: sassafrasquay COMMAND [flags]\n\n";
  for (const Command& command : Commands()) {
    std::string name(command.m_name);
    name += command.m_arguments.empty() ? "" : " ";
    name += command.m_arguments;
    name.resize(22, ' ');
    aOut << "  " << name << command.m_summary << "\n";
  }
  aOut << "\nEvery flag is also read from SASSAFRASQUAY_<FLAG>.\n"
          "sassafrasquay COMMAND --help shows the flags of a command.\n";
}

bool
AppliesTo(const Command& aCommand, const gflags::CommandLineFlagInfo& aFlag)
{
  if (aCommand.m_flags.empty()) {
    return IsProjectFlag(aFlag) &&
           aFlag.filename.find("src/app/") == std::string::npos;
  }
  return IsProjectFlag(aFlag) &&
         std::find(aCommand.m_flags.begin(),
                   aCommand.m_flags.end(),
                   aFlag.name) != aCommand.m_flags.end();
}

void
PrintHelp(const Command& aCommand)
{
  std::cout << "usage: sassafrasquay " << aCommand.m_name << " "
            << aCommand.m_arguments << " [flags]\n\n"
            << aCommand.m_summary << "\n\n";
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  for (const auto& flag : flags) {
    if (AppliesTo(aCommand, flag)) {
      std::cout << "  --" << flag.name << " (" << flag.type << ", default "
                << (flag.default_value.empty() ? "none" : flag.default_value)
                << ")\n      " << flag.description << "\n";
    }
  }
}

// Removes the command's words from the arguments; nullptr when there is no
// match.
const Command*
ParseCommand(Arguments& aArguments)
{
  for (const Command& command : Commands()) {
    const bool hasTwoWords = command.m_name.find(' ') != std::string_view::npos;
    const size_t wordCount = hasTwoWords ? 2 : 1;
    if (aArguments.size() < wordCount) {
      continue;
    }
    const std::string name =
      hasTwoWords ? aArguments[0] + " " + aArguments[1] : aArguments[0];
    if (name == command.m_name) {
      aArguments.erase(aArguments.begin(),
                       aArguments.begin() + static_cast<ptrdiff_t>(wordCount));
      return &command;
    }
  }
  return nullptr;
}

bool
IsHelp(const std::string& aText)
{
  return aText == "--help" || aText == "-h" || aText == "help";
}

int
RunCommand(const Command& aCommand, const Arguments& aArguments)
{
  Arguments errors;
  ReadEnvironment(errors);
  // gflags expects the program's name first and reorders the array.
  Arguments all = aArguments;
  all.insert(all.begin(), "sassafrasquay");
  std::vector<char*> pointers;
  pointers.reserve(all.size());
  for (std::string& text : all) {
    pointers.push_back(text.data());
  }
  int count = static_cast<int>(pointers.size());
  char** array = pointers.data();
  gflags::ParseCommandLineFlags(&count, &array, false);
  if (!FLAGS_node_file.empty()) {
    ReadNodeFile(FLAGS_node_file, errors);
  }
  // The command line overrides the file.
  gflags::ParseCommandLineFlags(&count, &array, true);
  const Arguments positional(array + 1, array + count);
  const size_t expected = aCommand.m_arguments.empty() ? 0 : 1;
  if (positional.size() != expected) {
    errors.push_back(
      std::string(aCommand.m_name) + " takes " +
      (expected == 0 ? "no argument" : std::string(aCommand.m_arguments)));
  }
  return errors.empty() ? aCommand.m_run(positional) : ReportErrors(errors);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Arguments arguments(aArguments + 1, aArguments + aCount);
  if (!arguments.empty() && IsHelp(arguments[0])) {
    PrintUsage(std::cout);
    return 0;
  }
  const Command* command = ParseCommand(arguments);
  if (command == nullptr) {
    PrintUsage(std::cerr);
    return kExitUsage;
  }
  if (std::any_of(arguments.begin(), arguments.end(), IsHelp)) {
    PrintHelp(*command);
    return 0;
  }
  return RunCommand(*command, arguments);
}
