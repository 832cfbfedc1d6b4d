// The program: one verb for each thing an operator does.
#include "app/config_verbs.h"
#include "app/status_verb.h"
#include "node/node.h"

#include <algorithm>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>

DECLARE_string(node_file);
DECLARE_string(zone);
DEFINE_string(effective, "", "service whose effective settings are shown");
DEFINE_string(instance, "", "target whose exceptions count in --effective");
DEFINE_uint32(deadline_ms, 20000, "ms for the whole command");
DEFINE_string(control, "127.0.0.1:8082", "IP:port of a node's control address");

namespace {

using namespace sassafrasquay;

constexpr int kExitUsage = 2;

using Arguments = std::vector<std::string>;

struct Verb
{
  std::string_view m_name;
  std::string_view m_arguments;
  std::string_view m_summary;
  std::vector<std::string_view> m_flags; // empty: those of the node
  int (*m_run)(const Arguments& aArguments);
};

//-----------------------------------------------------------------------------
// Settings from the environment
//-----------------------------------------------------------------------------

bool
IsOwnFlag(const gflags::CommandLineFlagInfo& aFlag)
{
  return aFlag.filename.find("src/node/") != std::string::npos ||
         aFlag.filename.find("src/app/") != std::string::npos ||
         aFlag.filename.find("platform/") != std::string::npos;
}

// Takes settings from SASSAFRASQUAY_<FLAG>; flags given later win.
void
ReadEnvironment(Arguments& aFaults)
{
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  for (const auto& flag : flags) {
    std::string name = "SASSAFRASQUAY_" + flag.name;
    std::transform(name.begin(), name.end(), name.begin(), ::toupper);
    const char* value = std::getenv(name.c_str());
    if (value == nullptr || !IsOwnFlag(flag)) {
      continue;
    }
    if (gflags::SetCommandLineOption(flag.name.c_str(), value).empty()) {
      aFaults.push_back(name + " has an invalid value '" + value + "'");
    }
  }
}

int
ReportFaults(const Arguments& aFaults)
{
  for (const std::string& fault : aFaults) {
    std::cerr << "sassafrasquay: " << fault << "\n";
  }
  std::cerr << "sassafrasquay: add --help to see the flags of a verb\n";
  return kExitUsage;
}

//-----------------------------------------------------------------------------
// Verbs
//-----------------------------------------------------------------------------

int
RunNodeVerb(const Arguments&)
{
  Arguments faults;
  const NodeSettings settings = ReadNodeSettings(faults);
  return faults.empty() ? RunNode(settings) : ReportFaults(faults);
}

int
RunCheckVerb(const Arguments& aArguments)
{
  return RunConfigCheck(aArguments.at(0), std::cout, std::cerr);
}

int
RunShowVerb(const Arguments& aArguments)
{
  ShowSettings settings;
  settings.m_file = aArguments.at(0);
  settings.m_service = FLAGS_effective;
  settings.m_zone = FLAGS_zone;
  settings.m_target = FLAGS_instance;
  return RunConfigShow(settings, std::cout, std::cerr);
}

int
RunStatusVerb(const Arguments&)
{
  StatusSettings settings;
  if (!ParseEndpoint(FLAGS_control, settings.m_control)) {
    return ReportFaults({ "--control must be IP:port" });
  }
  settings.m_timeout = std::chrono::milliseconds(FLAGS_deadline_ms);
  return RunStatus(settings, std::cout, std::cerr);
}

int
RunVersionVerb(const Arguments&)
{
  std::cout << "sassafrasquay " SQ_VERSION "\n";
  return 0;
}

const std::vector<Verb>&
Verbs()
{
  static const std::vector<Verb> verbs = {
    { "node", "", "run the node beside a target", {}, RunNodeVerb },
    { "config check",
      "FILE",
      "name every fault of a declaration",
      { "version" },
      RunCheckVerb },
    { "config show",
      "FILE",
      "show a service's settings and where each comes from",
      { "effective", "zone", "instance" },
      RunShowVerb },
    { "status",
      "",
      "show what a node knows: its target, load and members",
      { "control", "deadline_ms" },
      RunStatusVerb },
    { "version", "", "print the version", { "version" }, RunVersionVerb },
  };
  return verbs;
}

//-----------------------------------------------------------------------------
// Help
//-----------------------------------------------------------------------------

void
PrintUsage(std::ostream& aOut)
{
  aOut << "usage: sassafrasquay VERB [flags]\n\n";
  for (const Verb& verb : Verbs()) {
    std::string name(verb.m_name);
    name += verb.m_arguments.empty() ? "" : " ";
    name += verb.m_arguments;
    name.resize(22, ' ');
    aOut << "  " << name << verb.m_summary << "\n";
  }
  aOut << "\nEvery flag is also read from SASSAFRASQUAY_<FLAG>.\n"
          "sassafrasquay VERB --help shows the flags of a verb.\n";
}

bool
Belongs(const Verb& aVerb, const gflags::CommandLineFlagInfo& aFlag)
{
  if (aVerb.m_flags.empty()) {
    return IsOwnFlag(aFlag) &&
           aFlag.filename.find("src/app/") == std::string::npos;
  }
  return IsOwnFlag(aFlag) &&
         std::find(aVerb.m_flags.begin(), aVerb.m_flags.end(), aFlag.name) !=
           aVerb.m_flags.end();
}

void
PrintHelp(const Verb& aVerb)
{
  std::cout << "usage: sassafrasquay " << aVerb.m_name << " "
            << aVerb.m_arguments << " [flags]\n\n"
            << aVerb.m_summary << "\n\n";
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  for (const auto& flag : flags) {
    if (Belongs(aVerb, flag)) {
      std::cout << "  --" << flag.name << " (" << flag.type << ", default "
                << (flag.default_value.empty() ? "none" : flag.default_value)
                << ")\n      " << flag.description << "\n";
    }
  }
}

// Takes the verb's words off the arguments; nullptr when there is none.
const Verb*
TakeVerb(Arguments& aArguments)
{
  for (const Verb& verb : Verbs()) {
    const bool pair = verb.m_name.find(' ') != std::string_view::npos;
    const size_t words = pair ? 2 : 1;
    if (aArguments.size() < words) {
      continue;
    }
    const std::string name =
      pair ? aArguments[0] + " " + aArguments[1] : aArguments[0];
    if (name == verb.m_name) {
      aArguments.erase(aArguments.begin(),
                       aArguments.begin() + static_cast<ptrdiff_t>(words));
      return &verb;
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
RunVerb(const Verb& aVerb, const Arguments& aRest)
{
  Arguments faults;
  ReadEnvironment(faults);
  // gflags wants the program's name in front and reorders the array.
  Arguments all = aRest;
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
    ReadNodeFile(FLAGS_node_file, faults);
  }
  // The command line goes before the file.
  gflags::ParseCommandLineFlags(&count, &array, true);
  const Arguments positional(array + 1, array + count);
  const size_t expected = aVerb.m_arguments.empty() ? 0 : 1;
  if (positional.size() != expected) {
    faults.push_back(
      std::string(aVerb.m_name) + " takes " +
      (expected == 0 ? "no argument" : std::string(aVerb.m_arguments)));
  }
  return faults.empty() ? aVerb.m_run(positional) : ReportFaults(faults);
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
  const Verb* verb = TakeVerb(arguments);
  if (verb == nullptr) {
    PrintUsage(std::cerr);
    return kExitUsage;
  }
  if (std::any_of(arguments.begin(), arguments.end(), IsHelp)) {
    PrintHelp(*verb);
    return 0;
  }
  return RunVerb(*verb, arguments);
}
