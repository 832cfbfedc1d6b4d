// The store, instances, nodes and clients.
#include "world.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

std::string
FormatResponse(int aStatus,
               std::string_view aReason,
               const Headers& aHeaders,
               std::string_view aBody)
{
  std::string text =
    "HTTP/1.1 " + std::to_string(aStatus) + " " + std::string(aReason) + "\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  text += aBody;
  return text;
}

std::string
QueryValue(const std::string& aQuery, const std::string& aName)
{
  std::istringstream parts(aQuery);
  std::string part;
  while (std::getline(parts, part, '&')) {
    if (part.starts_with(aName + "=")) {
      return part.substr(aName.size() + 1);
    }
  }
  return {};
}

void
AppendBigEndian(uint64_t aValue, int aBytes, std::string& aOut)
{
  for (int shift = 8 * (aBytes - 1); shift >= 0; shift -= 8) {
    aOut.push_back(static_cast<char>((aValue >> shift) & 0xFF));
  }
}

std::string
ToBase64(const std::string& aBytes)
{
  static const char digits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < aBytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = i; j < i + 3; ++j) {
      group = group << 8 |
              (j < aBytes.size() ? static_cast<unsigned char>(aBytes[j]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      text +=
        i + j <= aBytes.size() ? digits[(group >> (18 - 6 * j)) & 63] : '=';
    }
  }
  return text;
}

std::string
KeyedRecord(const std::string& aKey, const std::string& aValue)
{
  return std::string(1, static_cast<char>(aKey.size())) + aKey + aValue;
}

std::mt19937_64&
Generator()
{
  thread_local std::mt19937_64 generator{ std::random_device{}() };
  return generator;
}

std::string
Hex(uint64_t aValue)
{
  char text[17];
  snprintf(text, sizeof text, "%016lx", static_cast<unsigned long>(aValue));
  return text;
}

} // namespace

//-----------------------------------------------------------------------------
// Store
//-----------------------------------------------------------------------------

Store::Store(const Address& aAddress)
{
  m_listener = std::make_unique<Listener>(
    aAddress, [this](Connection& aConnection) { Serve(aConnection); });
}

double
Store::Put(const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard lock(m_mutex);
  m_topics["keyed.op"].m_records.push_back(KeyedRecord(aKey, aValue));
  m_appended.notify_all();
  return Now();
}

void
Store::SetSilent(bool aIsSilent)
{
  const std::lock_guard lock(m_mutex);
  m_silent = aIsSilent;
}

std::map<std::string, int>
Store::Lost() const
{
  const std::lock_guard lock(m_mutex);
  return m_lost;
}

void
Store::Serve(Connection& aConnection)
{
  bool isDead = false;
  while (true) {
    const std::optional<Message> request =
      aConnection.Read(Now() + 3600, false);
    if (!request) {
      return;
    }
    if (isDead) {
      continue;
    }
    const std::string target = request->Target();
    const size_t mark = target.find('?');
    const std::string path = target.substr(0, mark);
    const std::string query =
      mark == std::string::npos ? "" : target.substr(mark + 1);
    SleepFor(0.004);
    std::string response;
    {
      std::unique_lock lock(m_mutex);
      if (m_silent) {
        ++m_lost[path];
        isDead = true;
        continue;
      }
      Topic& topic = m_topics[QueryValue(query, "topic")];
      if (path == "/-/log-append") {
        response = Append(topic, query, request->m_body);
      } else if (path == "/-/log-read") {
        response = Read(lock, topic, query);
      } else if (path == "/-/log-newest") {
        response = Newest(topic, query);
      } else {
        response = FormatResponse(404, "Not Found", {}, "{}");
      }
      if (m_silent) {
        ++m_lost[path];
        isDead = true;
        continue;
      }
    }
    if (!aConnection.Write(response, Now() + 10)) {
      return;
    }
  }
}

std::string
Store::Append(Topic& aTopic,
              const std::string& aQuery,
              const std::string& aBody)
{
  const size_t offset = aTopic.m_records.size();
  const std::string at = QueryValue(aQuery, "at");
  if (!at.empty() && std::stoull(at) != offset) {
    return FormatResponse(412,
                          "Precondition Failed",
                          { { "Content-Type", "application/json" } },
                          "{\"endOffset\":" + std::to_string(offset) + "}");
  }
  for (size_t position = 0; position + 4 <= aBody.size();) {
    uint32_t size = 0;
    for (size_t i = 0; i < 4; ++i) {
      size = size << 8 | static_cast<unsigned char>(aBody[position + i]);
    }
    aTopic.m_records.push_back(aBody.substr(position + 4, size));
    position += 4 + size;
  }
  m_appended.notify_all();
  return FormatResponse(
    200,
    "OK",
    { { "Content-Type", "application/json" } },
    "{\"offset\":" + std::to_string(offset) +
      ",\"endOffset\":" + std::to_string(aTopic.m_records.size()) + "}");
}

std::string
Store::Read(std::unique_lock<std::mutex>& aLock,
            Topic& aTopic,
            const std::string& aQuery)
{
  const std::string from = QueryValue(aQuery, "from");
  const std::string wait = QueryValue(aQuery, "waitMs");
  const size_t begin = from.empty() ? 0 : std::stoull(from);
  m_appended.wait_for(
    aLock,
    std::chrono::milliseconds(wait.empty() ? 0 : std::stoull(wait)),
    [&] { return aTopic.m_records.size() > begin; });
  if (begin > aTopic.m_records.size()) {
    return FormatResponse(410, "Gone", {}, "{\"firstOffset\":0}");
  }
  std::string body;
  AppendBigEndian(aTopic.m_records.size(), 8, body);
  AppendBigEndian(0, 8, body);
  for (size_t i = begin; i < aTopic.m_records.size(); ++i) {
    AppendBigEndian(aTopic.m_records[i].size(), 4, body);
    body += aTopic.m_records[i];
  }
  return FormatResponse(200, "OK", {}, body);
}

std::string
Store::Newest(const Topic& aTopic, const std::string& aQuery)
{
  std::map<std::string, std::pair<std::string, size_t>> newest;
  for (size_t i = 0; i < aTopic.m_records.size(); ++i) {
    const std::string& record = aTopic.m_records[i];
    const size_t size =
      record.empty() ? 0 : static_cast<unsigned char>(record[0]);
    newest[record.substr(1, size)] = { record.substr(1 + size), i };
  }
  const std::string after = QueryValue(aQuery, "after");
  std::string items;
  for (const auto& [key, entry] : newest) {
    if (entry.first.empty() || (!after.empty() && key <= after)) {
      continue;
    }
    items += items.empty() ? "" : ",";
    items += "{\"key\":\"" + key + "\",\"value\":\"" + ToBase64(entry.first) +
             "\",\"offset\":" + std::to_string(entry.second) + "}";
  }
  return FormatResponse(200,
                        "OK",
                        { { "Content-Type", "application/json" } },
                        "{\"items\":[" + items +
                          "],\"hasMore\":false,\"endOffset\":" +
                          std::to_string(aTopic.m_records.size()) + "}");
}

//-----------------------------------------------------------------------------
// Instance
//-----------------------------------------------------------------------------

Instance::Instance(InstanceSettings aSettings)
  : m_settings(std::move(aSettings))
{
  m_maintainer = std::thread([this] { Maintain(); });
}

Instance::~Instance()
{
  m_stopped = true;
  m_slotFree.notify_all();
  m_maintainer.join();
  m_listener.reset();
  m_old.clear();
}

void
Instance::Start(bool aIsCold)
{
  const std::lock_guard lock(m_mutex);
  const uint64_t lifetime = ++m_lifetime;
  m_id = "i-" + Hex(Generator()()).substr(0, 8);
  m_sequence = 0;
  m_running = 0;
  m_waiting = 0;
  m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
             .count();
  m_coldSince = Now();
  m_coldUntil = aIsCold ? Now() + m_settings.m_coldS : 0;
  m_restartAt = 0;
  m_nextReport = Now();
  m_listener = std::make_unique<Listener>(
    m_settings.m_address, [this, lifetime](Connection& aConnection) {
      Serve(aConnection, lifetime);
    });
  Record::Line("instance %s of %s started at %s%s",
               m_id.c_str(),
               m_settings.m_name.c_str(),
               m_settings.m_address.Text().c_str(),
               aIsCold ? ", cold" : "");
}

void
Instance::Crash()
{
  const std::lock_guard lock(m_mutex);
  if (!m_listener) {
    return;
  }
  m_listener->Abort();
  m_old.push_back(std::move(m_listener));
  ++m_lifetime;
  m_restartAt = Now() + m_settings.m_downS;
  m_slotFree.notify_all();
}

void
Instance::TurnCold(double aSeconds)
{
  const std::lock_guard lock(m_mutex);
  m_coldSince = Now();
  m_coldUntil = m_coldSince + aSeconds;
  m_coldResponses = 0;
}

std::vector<Arrival>
Instance::Arrivals() const
{
  const std::lock_guard lock(m_mutex);
  return m_arrivals;
}

std::string
Instance::Id() const
{
  const std::lock_guard lock(m_mutex);
  return m_id;
}

// Callers hold the mutex.
std::string
Instance::LoadHeader() const
{
  return std::to_string(m_running) + "," + std::to_string(m_waiting) + "," +
         std::to_string(m_settings.m_slots) + ",100";
}

void
Instance::Serve(Connection& aConnection, uint64_t aLifetime)
{
  while (true) {
    const std::optional<Message> request = aConnection.Read(Now() + 10, false);
    if (!request) {
      return;
    }
    Answer(aConnection, *request, aLifetime);
    const std::lock_guard lock(m_mutex);
    if (m_lifetime != aLifetime || !aConnection.IsOpen()) {
      return;
    }
  }
}

void
Instance::Answer(Connection& aConnection,
                 const Message& aRequest,
                 uint64_t aLifetime)
{
  const std::string target = aRequest.Target();
  std::unique_lock lock(m_mutex);
  if (m_lifetime != aLifetime) {
    return;
  }
  if (target == "/healthz") {
    Headers headers = { { "Sassafrasquay-Instance-Id", m_id },
                        { "Sassafrasquay-Server-Load", LoadHeader() },
                        { "Keep-Alive", "timeout=10" } };
    const double cold = m_coldUntil - Now();
    if (cold > 0) {
      ++m_coldResponses;
      headers.emplace_back("Sassafrasquay-Cold-Ms",
                           std::to_string(static_cast<int>(cold * 1000) + 1));
    }
    lock.unlock();
    aConnection.Write(FormatResponse(200, "OK", headers, "ok"), Now() + 2);
    return;
  }
  const double arrived = Now();
  const std::string attemptId = aRequest.Header("Sassafrasquay-Attempt-Id");
  const std::string deadline = aRequest.Header("Sassafrasquay-Deadline-Ms");
  const Headers echo = { { "Sassafrasquay-Attempt-Id", attemptId },
                         { "Sassafrasquay-Instance-Id", m_id },
                         { "Sassafrasquay-Server-Load", LoadHeader() },
                         { "Keep-Alive", "timeout=10" } };
  Headers refusal = echo;
  refusal.emplace_back("Sassafrasquay-Not-Executed", "1");
  const std::string expected = aRequest.Header("Sassafrasquay-Expect-Instance");
  if (!expected.empty() && expected != m_id) {
    lock.unlock();
    aConnection.Write(FormatResponse(421, "Misdirected Request", refusal, ""),
                      Now() + 2);
    return;
  }
  const size_t index = m_arrivals.size();
  m_arrivals.push_back({ arrived,
                         m_id,
                         aRequest.Method(),
                         target,
                         attemptId,
                         deadline,
                         false,
                         arrived < m_coldUntil });
  if (m_settings.m_coldCrashPerS > 0 && arrived < m_coldUntil) {
    const double since = std::max(m_coldSince, arrived - 1);
    const auto recent = std::count_if(
      m_arrivals.rbegin(),
      m_arrivals.rbegin() +
        static_cast<ptrdiff_t>(
          std::min<size_t>(m_arrivals.size(), 4 * m_settings.m_coldCrashPerS)),
      [&](const Arrival& aArrival) { return aArrival.m_time > since; });
    if (recent > m_settings.m_coldCrashPerS) {
      Record::Line("instance %s of %s crashes: %d requests in a second while "
                   "cold",
                   m_id.c_str(),
                   m_settings.m_name.c_str(),
                   static_cast<int>(recent));
      lock.unlock();
      Crash();
      return;
    }
  }
  const double until =
    arrived + (deadline.empty() ? 60.0 : atof(deadline.c_str()) / 1000);
  if (m_running >= m_settings.m_slots && m_waiting >= m_settings.m_queue) {
    lock.unlock();
    aConnection.Write(FormatResponse(503, "Service Unavailable", refusal, ""),
                      Now() + 2);
    return;
  }
  ++m_waiting;
  while (m_running >= m_settings.m_slots && m_lifetime == aLifetime &&
         Now() < until && !m_stopped && !aConnection.IsPeerClosed()) {
    m_slotFree.wait_for(lock, std::chrono::milliseconds(5));
  }
  if (m_lifetime != aLifetime || m_stopped) {
    return;
  }
  --m_waiting;
  if (aConnection.IsPeerClosed()) {
    aConnection.Close();
    return;
  }
  if (Now() >= until) {
    lock.unlock();
    aConnection.Write(FormatResponse(503, "Service Unavailable", refusal, ""),
                      Now() + 2);
    return;
  }
  ++m_running;
  m_arrivals[index].m_ran = true;
  const double work =
    m_settings.m_workS * (Now() < m_coldUntil ? m_settings.m_coldSlowdown : 1);
  const std::string stamp = Hex(Generator()()) + ".07.5a2.600.0.c9f2a4d1";
  const std::string machine = m_settings.m_name;
  const std::string id = m_id;
  lock.unlock();
  if (!m_settings.m_poisonPath.empty() &&
      target.starts_with(m_settings.m_poisonPath)) {
    Record::Line("instance %s of %s crashes on request %s %s",
                 id.c_str(),
                 machine.c_str(),
                 attemptId.c_str(),
                 target.c_str());
    Crash();
    return;
  }
  const double end = std::min(Now() + work, until);
  bool isDropped = false;
  while (Now() < end && !m_stopped && !isDropped) {
    SleepFor(std::min(0.005, end - Now()));
    isDropped = aConnection.IsPeerClosed();
  }
  lock.lock();
  if (m_lifetime != aLifetime) {
    return;
  }
  --m_running;
  m_slotFree.notify_all();
  lock.unlock();
  if (isDropped) {
    aConnection.Close();
    return;
  }
  Headers headers = echo;
  headers.emplace_back("Sassafrasquay-Server-Stamp", stamp);
  const bool isLate = end >= until;
  aConnection.Write(FormatResponse(isLate ? 504 : 200,
                                   isLate ? "Gateway Timeout" : "OK",
                                   headers,
                                   machine + " " + attemptId + "\n"),
                    Now() + 2);
}

bool
Instance::Report()
{
  std::string body;
  std::string id;
  {
    const std::lock_guard lock(m_mutex);
    id = m_id;
    const int cold =
      static_cast<int>(std::max(0.0, m_coldUntil - Now()) * 1000);
    body = "{\"address\":\"" + m_settings.m_address.Text() +
           "\",\"born\":" + std::to_string(m_born) +
           ",\"info\":{\"service\":\"" + m_settings.m_service +
           "\",\"version\":\"v1\",\"zone\":\"" + m_settings.m_zone +
           "\",\"slots\":" + std::to_string(m_settings.m_slots) +
           "},\"status\":{\"state\":\"ready\",\"sequence\":" +
           std::to_string(++m_sequence) +
           ",\"coldLeftMs\":" + std::to_string(cold) + "}}";
  }
  Connection connection;
  if (!connection.Connect(m_settings.m_control, 1)) {
    return false;
  }
  const std::string request =
    "PUT /-/instances/" + id +
    " HTTP/1.1\r\nHost: " + m_settings.m_control.Text() +
    "\r\nContent-Type: application/json\r\nConnection: close\r\n"
    "Content-Length: " +
    std::to_string(body.size()) + "\r\n\r\n" + body;
  if (!connection.Write(request, Now() + 1)) {
    return false;
  }
  const std::optional<Message> response = connection.Read(Now() + 1, true);
  const bool isAcked = response && response->Status() / 100 == 2;
  if (isAcked) {
    m_lastReport = Now();
  }
  return isAcked;
}

void
Instance::Maintain()
{
  while (!m_stopped) {
    SleepFor(0.01);
    bool restart = false;
    bool report = false;
    {
      const std::lock_guard lock(m_mutex);
      restart = m_restartAt > 0 && Now() >= m_restartAt;
      report = m_listener && Now() >= m_nextReport;
    }
    if (restart) {
      Start(true);
    } else if (report) {
      Report();
      const std::lock_guard lock(m_mutex);
      m_nextReport =
        std::max(m_nextReport + m_settings.m_heartbeatS, Now() + 0.1);
    }
  }
}

//-----------------------------------------------------------------------------
// Node
//-----------------------------------------------------------------------------

namespace {

const char kBounds[] =
  "seedLagS=3,reuseAfterS=2,stableWindowMs=3000,ackMs=4000,catchUpS=4,"
  "drainMs=2000,graceS=6,lossSlackMs=200,configMs=2000,backMs=250,"
  "outerMs=5000,budgetRatio=0.2,budgetWindowS=10,budgetSlack=62,"
  "coldBurstFactor=1.5,coldSlack=5,evacuationMs=5000,recoveryS=15,"
  "probesPerS=60";

void
ReplaceAll(std::string& aText, const std::string& aFrom, const std::string& aTo)
{
  for (size_t at = 0; (at = aText.find(aFrom, at)) != std::string::npos;
       at += aTo.size()) {
    aText.replace(at, aFrom.size(), aTo);
  }
}

std::string
RenderSettings(const NodeSettings& aSettings)
{
  std::ifstream file("deploy/node.flags");
  std::stringstream stream;
  stream << file.rdbuf();
  std::string text = stream.str();
  const std::string endMark = "{{/bounds}}";
  const size_t begin = text.find("{{#bounds}}");
  const size_t end = text.find(endMark);
  if (begin != std::string::npos && end != std::string::npos) {
    text.replace(begin, end + endMark.size() - begin, kBounds);
  }
  const Ports& ports = aSettings.m_ports;
  const std::string& ip = aSettings.m_ip;
  const auto at = [&](uint16_t aPort) { return Address{ ip, aPort }.Text(); };
  ReplaceAll(text, "{{node}}", aSettings.m_name);
  ReplaceAll(text, "{{zone}}", aSettings.m_zone);
  ReplaceAll(text, "{{region}}", "fi-south");
  ReplaceAll(text, "{{service}}", aSettings.m_service);
  ReplaceAll(text, "{{appAddr}}", at(ports.m_app));
  ReplaceAll(text, "{{listen.outbound}}", at(ports.m_outbound));
  ReplaceAll(text, "{{listen.control}}", at(ports.m_control));
  ReplaceAll(text, "{{listen.ready}}", at(ports.m_ready));
  ReplaceAll(text, "{{internalPorts.0}}", std::to_string(ports.m_internal));
  ReplaceAll(text, "{{platform.address}}", aSettings.m_store.Text());
  ReplaceAll(text, "{{ip}}", ip);
  return text;
}

} // namespace

Node::Node(NodeSettings aSettings)
  : m_settings(std::move(aSettings))
{
  m_poller = std::thread([this] { PollReadiness(); });
}

Node::~Node()
{
  m_stopped = true;
  m_poller.join();
  if (m_pid > 0) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
  }
}

void
Node::Start()
{
  const std::string base = m_settings.m_folder + "/" + m_settings.m_name;
  const std::string settings = base + ".flags";
  std::ofstream(settings) << RenderSettings(m_settings);
  const std::string log = base + "." + std::to_string(++m_starts) + ".log";
  const std::string variable = "SASSAFRASQUAY_NODE_FILE=" + settings;
  const std::string path =
    std::string("PATH=") +
    (getenv("PATH") != nullptr ? getenv("PATH") : "/usr/bin:/bin");
  m_pid = fork();
  if (m_pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output =
      open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    dup2(open("/dev/null", O_RDONLY | O_CLOEXEC), 0);
    dup2(output, 1);
    dup2(output, 2);
    const char* const arguments[] = { "target/sassafrasquay", "node", nullptr };
    const char* const environment[] = {
      variable.c_str(), path.c_str(), "HOME=/tmp", "LANG=C.UTF-8", nullptr
    };
    execve(arguments[0],
           const_cast<char* const*>(arguments),
           const_cast<char* const*>(environment));
    _exit(127);
  }
  m_upSince = Now();
  Record::Line("node %s started", m_settings.m_name.c_str());
}

void
Node::Terminate()
{
  Record::Line("node %s gets SIGTERM", m_settings.m_name.c_str());
  m_upSince = -1;
  kill(m_pid, SIGTERM);
}

void
Node::AwaitExit(double aGrace)
{
  const double until = Now() + aGrace;
  int status = 0;
  while (waitpid(m_pid, &status, WNOHANG) == 0) {
    if (Now() >= until) {
      kill(m_pid, SIGKILL);
      waitpid(m_pid, &status, 0);
      break;
    }
    SleepFor(0.01);
  }
  m_pid = -1;
  Record::Line(
    "node %s ended, wait status %d", m_settings.m_name.c_str(), status);
}

void
Node::PollReadiness()
{
  const Address address = { m_settings.m_ip, m_settings.m_ports.m_ready };
  int misses = 2;
  while (!m_stopped) {
    const double begin = Now();
    Connection connection;
    bool isGood = false;
    if (connection.Connect(address, 1) &&
        connection.Write("GET /-/readyz HTTP/1.1\r\nHost: " + address.Text() +
                           "\r\nConnection: close\r\n\r\n",
                         Now() + 1)) {
      const std::optional<Message> response = connection.Read(begin + 1, true);
      isGood = response && response->Status() == 200;
    }
    misses = isGood ? 0 : misses + 1;
    const bool ready = misses < 2;
    if (m_ready.exchange(ready) != ready) {
      Record::Line("node %s is %s for clients",
                   m_settings.m_name.c_str(),
                   ready ? "in" : "out");
    }
    while (Now() < begin + 1 && !m_stopped) {
      SleepFor(0.02);
    }
  }
}

//-----------------------------------------------------------------------------
// Clients
//-----------------------------------------------------------------------------

std::string
NewAttemptId()
{
  return Hex(Generator()());
}

std::string
FormatRequest(const ClientRequest& aRequest)
{
  std::string text =
    aRequest.m_method + " " + aRequest.m_target +
    " HTTP/1.1\r\nHost: " + aRequest.m_host +
    "\r\nSassafrasquay-Attempt-Id: " + aRequest.m_attemptId +
    "\r\nSassafrasquay-Deadline-Ms: " + std::to_string(aRequest.m_deadlineMs) +
    "\r\n";
  if (aRequest.m_method != "GET") {
    text +=
      "Content-Length: " + std::to_string(aRequest.m_body.size()) + "\r\n";
  }
  return text + "\r\n" + aRequest.m_body;
}

ClientAnswer
SendOn(Connection& aConnection,
       const Address& aNode,
       const ClientRequest& aRequest)
{
  ClientAnswer answer;
  answer.m_sent = Now();
  const double until = answer.m_sent + aRequest.m_deadlineMs / 1000.0;
  if (!aConnection.IsOpen() &&
      !aConnection.Connect(aNode, std::min(1.0, until - Now()))) {
    answer.m_reason = "cannot connect";
    answer.m_answered = Now();
    return answer;
  }
  std::optional<Message> response;
  aConnection.Write(FormatRequest(aRequest), until);
  response = aConnection.Read(until, true);
  answer.m_answered = Now();
  if (!response) {
    answer.m_reason = answer.m_answered >= until ? "no answer" : "closed";
    aConnection.Close();
    return answer;
  }
  answer.m_status = response->Status();
  answer.m_reason = response->m_startLine;
  answer.m_stamp = response->Header("Sassafrasquay-Server-Stamp");
  if (strcasecmp(response->Header("Connection").c_str(), "close") == 0) {
    aConnection.Close();
  }
  return answer;
}

ClientAnswer
Send(const Address& aNode, const ClientRequest& aRequest)
{
  Connection connection;
  return SendOn(connection, aNode, aRequest);
}

std::string
ConfigText(int aVersion,
           const std::vector<ServiceText>& aServices,
           const std::string& aHost,
           const std::vector<RouteText>& aRoutes,
           int64_t aMaxBodyBytes)
{
  std::ostringstream text;
  text << "{\"version\":\"r" << aVersion << "\",\"services\":[";
  for (size_t i = 0; i < aServices.size(); ++i) {
    text << (i > 0 ? "," : "") << "{\"name\":\"" << aServices[i].m_name
         << "\",\"healthPath\":\"/healthz\",\"maxConnections\":260,"
            "\"protocol\":\"h1\",\"tls\":false,\"coldS\":"
         << aServices[i].m_coldS << ",\"coldPerS\":" << aServices[i].m_coldPerS
         << "}";
  }
  text << "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":"
       << aMaxBodyBytes
       << ",\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
          "\"virtualHosts\":[{\"host\":\""
       << aHost << "\",\"paths\":[";
  for (size_t i = 0; i < aRoutes.size(); ++i) {
    const RouteText& route = aRoutes[i];
    text << (i > 0 ? "," : "") << "{\"name\":\"" << route.m_name
         << "\",\"pathPrefix\":\"" << route.m_pathPrefix
         << "\",\"routeType\":\"" << route.m_routeType
         << "\",\"timeoutMs\":" << route.m_timeoutMs
         << ",\"targetLatencyMs\":" << route.m_targetLatencyMs
         << ",\"priority\":" << route.m_priority << ",\"service\":\""
         << route.m_service << "\",\"maxAttempts\":" << route.m_maxAttempts
         << "}";
  }
  text << "]}]}";
  return text.str();
}

//-----------------------------------------------------------------------------
// Deployment
//-----------------------------------------------------------------------------

namespace {

bool
IsFree(const Address& aAddress, int aType)
{
  const int fd = socket(AF_INET, aType | SOCK_CLOEXEC, 0);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.m_port);
  inet_pton(AF_INET, aAddress.m_ip.c_str(), &address.sin_addr);
  const bool isFree =
    bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  close(fd);
  return isFree;
}

} // namespace

Deployment::Deployment(const std::vector<MachinePlan>& aPlan,
                       const std::string& aConfig,
                       const std::function<void(InstanceSettings&)>& aAdjust)
  : m_config(aConfig)
{
  char folder[] = "/tmp/review-XXXXXX";
  if (mkdtemp(folder) == nullptr) {
    fprintf(stderr, "no temporary folder\n");
    _exit(2);
  }
  m_folder = folder;
  std::random_device random;
  std::vector<std::string> ips;
  Ports ports;
  for (int attempt = 0; attempt < 100; ++attempt) {
    const std::string net = "127." + std::to_string(20 + random() % 200) + "." +
                            std::to_string(random() % 250) + ".";
    ips.clear();
    for (size_t i = 0; i <= aPlan.size(); ++i) {
      ips.push_back(net + std::to_string(i + 1)); // the last is the store's
    }
    const auto base = static_cast<uint16_t>(20000 + random() % 1000 * 10);
    ports.m_app = base;
    ports.m_outbound = base + 1;
    ports.m_ready = base + 2;
    ports.m_control = base + 3;
    ports.m_internal = base + 4;
    ports.m_store = base + 5;
    bool isFree = true;
    for (const std::string& ip : ips) {
      for (const int port : { base + 0,
                              base + 1,
                              base + 2,
                              base + 3,
                              base + 4,
                              base + 5,
                              9102 }) {
        const Address address = { ip, static_cast<uint16_t>(port) };
        isFree =
          isFree && IsFree(address, SOCK_STREAM) && IsFree(address, SOCK_DGRAM);
      }
    }
    if (isFree) {
      break;
    }
    if (attempt == 99) {
      fprintf(stderr, "no free ports\n");
      _exit(2);
    }
  }
  const Address store = { ips.back(), ports.m_store };
  m_store = std::make_unique<Store>(store);
  std::map<std::string, int> counts;
  for (size_t i = 0; i < aPlan.size(); ++i) {
    const MachinePlan& plan = aPlan[i];
    const std::string name =
      "sidecar-" + plan.m_zone + "-" + std::to_string(++counts[plan.m_zone]);
    InstanceSettings instance;
    instance.m_name = name;
    instance.m_service = plan.m_service;
    instance.m_zone = plan.m_zone;
    instance.m_address = { ips[i], ports.m_app };
    instance.m_control = { ips[i], ports.m_control };
    aAdjust(instance);
    m_instances.push_back(std::make_unique<Instance>(instance));
    NodeSettings node;
    node.m_name = name;
    node.m_ip = ips[i];
    node.m_zone = plan.m_zone;
    node.m_service = plan.m_service;
    node.m_ports = ports;
    node.m_store = store;
    node.m_folder = m_folder;
    m_nodes.push_back(std::make_unique<Node>(node));
  }
}

Deployment::~Deployment()
{
  m_nodes.clear();
  m_instances.clear();
  m_store.reset();
  const std::string command = "rm -rf " + m_folder;
  if (getenv("KEEP_LOGS") != nullptr || system(command.c_str()) != 0) {
    printf("logs in %s\n", m_folder.c_str());
  }
}

bool
Deployment::Start(double aTimeout)
{
  m_store->Put("config", m_config);
  for (const auto& node : m_nodes) {
    node->Start();
  }
  for (const auto& instance : m_instances) {
    instance->Start(false);
  }
  const double until = Now() + aTimeout;
  while (Now() < until) {
    if (std::all_of(m_nodes.begin(), m_nodes.end(), [](const auto& aNode) {
          return aNode->IsReady();
        })) {
      return true;
    }
    SleepFor(0.05);
  }
  return false;
}

bool
IsTroubled()
{
  const char* value = getenv("TROUBLE");
  return value == nullptr || strcmp(value, "0") != 0;
}

} // namespace review
