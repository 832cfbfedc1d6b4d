// Stand-ins of a small deployment for the review cases: the platform's store,
// application instances, clients, and the platform that starts and stops the
// node processes. Blocking sockets, one thread per connection.
//
// Index of this file
//   [1] Time and record
//   [2] Sockets and HTTP messages
//   [3] Store
//   [4] Node processes
//   [5] Instances
//   [6] Clients
//   [7] Deployment
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <spawn.h>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using std::string;
using namespace std::chrono_literals;

//-----------------------------------------------------------------------------
// [1] Time and record
//-----------------------------------------------------------------------------

inline const auto g_start = std::chrono::steady_clock::now();

// Milliseconds since the program started.
inline double
Now()
{
  return std::chrono::duration<double, std::milli>(
           std::chrono::steady_clock::now() - g_start)
    .count();
}

inline void
SleepMs(double aMs)
{
  if (aMs > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(aMs));
  }
}

// Lines of record.txt: time in ms, who, what.
class Record
{
public:
  explicit Record(const string& aPath) { m_file = fopen(aPath.c_str(), "w"); }
  ~Record() { fclose(m_file); }
  void Line(const string& aText)
  {
    const std::lock_guard lock(m_mutex);
    fprintf(m_file, "%10.1f %s\n", Now(), aText.c_str());
  }
  // Also printed.
  void Say(const string& aText)
  {
    Line(aText);
    printf("%10.1f %s\n", Now(), aText.c_str());
    fflush(stdout);
  }

private:
  std::mutex m_mutex;
  FILE* m_file;
};

//-----------------------------------------------------------------------------
// [2] Sockets and HTTP messages
//-----------------------------------------------------------------------------

struct Address
{
  string m_ip;
  uint16_t m_port = 0;
  string Text() const { return m_ip + ":" + std::to_string(m_port); }
};

inline sockaddr_in
ToSockaddr(const Address& aAddress)
{
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(aAddress.m_port);
  inet_pton(AF_INET, aAddress.m_ip.c_str(), &result.sin_addr);
  return result;
}

// A connection; reads have a deadline in Now() time.
class Socket
{
public:
  explicit Socket(int aFd = -1)
    : m_fd(aFd)
  {
    if (m_fd >= 0) {
      const int on = 1;
      setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
  }
  ~Socket() { Close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  bool Connect(const Address& aTo, double aTimeoutMs)
  {
    m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = ToSockaddr(aTo);
    if (connect(m_fd,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
      pollfd item{ m_fd, POLLOUT, 0 };
      int error = 0;
      socklen_t size = sizeof(error);
      if (errno != EINPROGRESS ||
          poll(&item, 1, static_cast<int>(aTimeoutMs)) != 1 ||
          getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
          error != 0) {
        Close();
        return false;
      }
    }
    const int on = 1;
    setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return true;
  }
  bool Write(const string& aBytes, double aTimeoutMs = 5000)
  {
    const double end = Now() + aTimeoutMs;
    size_t sent = 0;
    while (sent < aBytes.size()) {
      const auto count = send(m_fd,
                              aBytes.data() + sent,
                              aBytes.size() - sent,
                              MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count > 0) {
        sent += static_cast<size_t>(count);
        continue;
      }
      if (count < 0 && errno != EAGAIN && errno != EINTR) {
        return false;
      }
      if (Now() >= end) {
        return false;
      }
      pollfd item{ m_fd, POLLOUT, 0 };
      poll(&item, 1, 50);
    }
    return true;
  }
  // Appends to m_input; false on end, error or at the deadline.
  bool ReadMore(double aDeadline)
  {
    while (true) {
      const double left = aDeadline - Now();
      if (left <= 0) {
        m_timedOut = true;
        return false;
      }
      pollfd item{ m_fd, POLLIN, 0 };
      const int ready =
        poll(&item, 1, static_cast<int>(std::min(left + 1, 100.0)));
      if (m_stop != nullptr && m_stop->load()) {
        return false;
      }
      if (ready <= 0) {
        continue;
      }
      char bytes[16384];
      const auto count = recv(m_fd, bytes, sizeof(bytes), MSG_DONTWAIT);
      if (count > 0) {
        m_input.append(bytes, static_cast<size_t>(count));
        return true;
      }
      if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        continue;
      }
      m_reset = count < 0;
      return false;
    }
  }
  void Close()
  {
    if (m_fd >= 0) {
      close(m_fd);
      m_fd = -1;
    }
  }
  bool IsOpen() const { return m_fd >= 0; }
  int Fd() const { return m_fd; }

  string m_input;
  bool m_timedOut = false;
  bool m_reset = false;
  const std::atomic<bool>* m_stop = nullptr;

private:
  int m_fd;
};

struct Message
{
  string m_first; // request or status line
  std::vector<std::pair<string, string>> m_fields;
  string m_body;

  string Get(const string& aName) const
  {
    for (const auto& [name, value] : m_fields) {
      if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  int Status() const
  {
    return m_first.size() > 12 ? atoi(m_first.c_str() + 9) : 0;
  }
  string Method() const { return m_first.substr(0, m_first.find(' ')); }
  string Target() const
  {
    const size_t begin = m_first.find(' ') + 1;
    return m_first.substr(begin, m_first.find(' ', begin) - begin);
  }
};

inline bool
ReadHead(Socket& aSocket, Message& aMessage, double aDeadline)
{
  aMessage = Message();
  size_t end = 0;
  while ((end = aSocket.m_input.find("\r\n\r\n")) == string::npos) {
    if (!aSocket.ReadMore(aDeadline)) {
      return false;
    }
  }
  std::istringstream head(aSocket.m_input.substr(0, end + 2));
  string line;
  std::getline(head, aMessage.m_first);
  if (!aMessage.m_first.empty()) {
    aMessage.m_first.pop_back();
  }
  while (std::getline(head, line) && line.size() > 1) {
    line.pop_back();
    const size_t colon = line.find(':');
    if (colon == string::npos) {
      return false;
    }
    size_t value = line.find_first_not_of(' ', colon + 1);
    value = value == string::npos ? line.size() : value;
    aMessage.m_fields.emplace_back(line.substr(0, colon), line.substr(value));
  }
  aSocket.m_input.erase(0, end + 4);
  return true;
}

// Reads the body after ReadHead. With aResponse, a message without a length
// ends with the connection. False when it did not arrive whole.
inline bool
ReadBody(Socket& aSocket, Message& aMessage, double aDeadline, bool aResponse)
{
  if (strcasecmp(aMessage.Get("Transfer-Encoding").c_str(), "chunked") == 0) {
    while (true) {
      size_t eol = 0;
      while ((eol = aSocket.m_input.find("\r\n")) == string::npos) {
        if (!aSocket.ReadMore(aDeadline)) {
          return false;
        }
      }
      const size_t size = strtoul(aSocket.m_input.c_str(), nullptr, 16);
      while (aSocket.m_input.size() < eol + 2 + size + 2) {
        if (!aSocket.ReadMore(aDeadline)) {
          return false;
        }
      }
      aMessage.m_body += aSocket.m_input.substr(eol + 2, size);
      aSocket.m_input.erase(0, eol + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }
  const string length = aMessage.Get("Content-Length");
  if (length.empty() && aResponse && aMessage.Status() != 204) {
    while (aSocket.ReadMore(aDeadline)) {
    }
    aMessage.m_body = std::move(aSocket.m_input);
    return !aSocket.m_timedOut && !aSocket.m_reset;
  }
  const size_t size = strtoul(length.c_str(), nullptr, 10);
  while (aSocket.m_input.size() < size) {
    if (!aSocket.ReadMore(aDeadline)) {
      return false;
    }
  }
  aMessage.m_body = aSocket.m_input.substr(0, size);
  aSocket.m_input.erase(0, size);
  return true;
}

inline bool
ReadMessage(Socket& aSocket,
            Message& aMessage,
            double aDeadline,
            bool aResponse)
{
  return ReadHead(aSocket, aMessage, aDeadline) &&
         ReadBody(aSocket, aMessage, aDeadline, aResponse);
}

inline string
Format(const string& aFirst,
       const std::vector<std::pair<string, string>>& aFields,
       const string& aBody,
       bool aHasBody = true)
{
  string text = aFirst + "\r\n";
  for (const auto& [name, value] : aFields) {
    text += name + ": " + value + "\r\n";
  }
  if (aHasBody) {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

// Accepts connections until Stop; each is served by its own thread.
class Server
{
public:
  using Handler = std::function<void(Socket&)>;

  bool Start(const Address& aListen, Handler aHandler)
  {
    m_handler = std::move(aHandler);
    m_stop = false;
    m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = ToSockaddr(aListen);
    if (bind(m_fd,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(m_fd, 512) != 0) {
      close(m_fd);
      return false;
    }
    m_acceptor = std::thread([this] { Accept(); });
    return true;
  }
  // Ends the listener and all connections without waiting, like the crash of a
  // process. Stop must follow.
  void Crash()
  {
    shutdown(m_fd, SHUT_RDWR);
    m_stop = true;
  }
  // Closes the listener and all connections.
  void Stop()
  {
    m_stop = true;
    if (!m_acceptor.joinable()) {
      return;
    }
    m_acceptor.join();
    while (m_active > 0) {
      SleepMs(2);
    }
  }
  ~Server() { Stop(); }
  const std::atomic<bool>& Stopping() const { return m_stop; }

private:
  void Accept()
  {
    while (!m_stop) {
      pollfd item{ m_fd, POLLIN, 0 };
      if (poll(&item, 1, 20) != 1) {
        continue;
      }
      const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      ++m_active;
      std::thread([this, fd] {
        {
          Socket connection(fd);
          connection.m_stop = &m_stop;
          m_handler(connection);
        }
        --m_active;
      }).detach();
    }
    close(m_fd);
  }

  Handler m_handler;
  int m_fd = -1;
  std::thread m_acceptor;
  std::atomic<bool> m_stop{ true };
  std::atomic<int> m_active{ 0 };
};

//-----------------------------------------------------------------------------
// [3] Store
//-----------------------------------------------------------------------------

inline string
Base64(const string& aBytes)
{
  static const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  string text;
  for (size_t i = 0; i < aBytes.size(); i += 3) {
    uint32_t group = 0;
    const size_t count = std::min<size_t>(3, aBytes.size() - i);
    for (size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (j < count ? static_cast<unsigned char>(aBytes[i + j]) : 0U);
    }
    for (size_t j = 0; j < 4; ++j) {
      text += j <= count ? kDigits[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

inline string
BigEndian(uint64_t aValue, int aBytes)
{
  string bytes;
  for (int i = aBytes - 1; i >= 0; --i) {
    bytes += static_cast<char>(aValue >> (8 * i) & 0xFF);
  }
  return bytes;
}

// The platform's store: keyed topics with one partition.
class Store
{
public:
  bool Start(const Address& aListen)
  {
    m_address = aListen;
    return m_server.Start(aListen, [this](Socket& aSocket) { Serve(aSocket); });
  }
  void Stop() { m_server.Stop(); }
  void Put(const string& aTopic, const string& aKey, const string& aValue)
  {
    const std::lock_guard lock(m_mutex);
    m_topics[aTopic].push_back(static_cast<char>(aKey.size()) + aKey + aValue);
    m_changed.notify_all();
  }

  Address m_address;

private:
  static string Parameter(const string& aTarget, const string& aName)
  {
    for (const char mark : { '?', '&' }) {
      const size_t at = aTarget.find(mark + aName + "=");
      if (at != string::npos) {
        const size_t begin = at + aName.size() + 2;
        return aTarget.substr(begin, aTarget.find('&', begin) - begin);
      }
    }
    return "";
  }
  void Serve(Socket& aSocket)
  {
    Message request;
    while (ReadMessage(aSocket, request, Now() + 600000, false)) {
      SleepMs(4); // time of an answer, from the site's page
      string body;
      const int status = Handle(request, body);
      if (!aSocket.Write(Format("HTTP/1.1 " + std::to_string(status) + " X",
                                { { "Content-Type", "application/json" } },
                                body))) {
        return;
      }
    }
  }
  int Handle(const Message& aRequest, string& aBody)
  {
    const string target = aRequest.Target();
    std::unique_lock lock(m_mutex);
    std::vector<string>& records = m_topics[Parameter(target, "topic")];
    if (target.starts_with("/-/log-append")) {
      const size_t first = records.size();
      size_t at = 0;
      while (at + 4 <= aRequest.m_body.size()) {
        size_t size = 0;
        for (int i = 0; i < 4; ++i) {
          size =
            size << 8 | static_cast<unsigned char>(aRequest.m_body[at + i]);
        }
        records.push_back(aRequest.m_body.substr(at + 4, size));
        at += 4 + size;
      }
      m_changed.notify_all();
      aBody = "{\"offset\":" + std::to_string(first) +
              ",\"endOffset\":" + std::to_string(records.size()) + "}";
      return 200;
    }
    if (target.starts_with("/-/log-read")) {
      const size_t from =
        strtoull(Parameter(target, "from").c_str(), nullptr, 10);
      const auto wait = std::chrono::milliseconds(
        strtoull(Parameter(target, "waitMs").c_str(), nullptr, 10));
      const auto end = std::chrono::steady_clock::now() + wait;
      while (records.size() <= from && !m_server.Stopping() &&
             std::chrono::steady_clock::now() < end) {
        m_changed.wait_for(lock, 50ms);
      }
      aBody = BigEndian(records.size(), 8) + BigEndian(0, 8);
      for (size_t i = from; i < records.size(); ++i) {
        aBody += BigEndian(records[i].size(), 4) + records[i];
      }
      return 200;
    }
    if (target.starts_with("/-/log-newest")) {
      std::map<string, std::pair<size_t, string>> newest;
      for (size_t i = 0; i < records.size(); ++i) {
        const size_t size = static_cast<unsigned char>(records[i][0]);
        newest[records[i].substr(1, size)] = { i, records[i].substr(1 + size) };
      }
      aBody = "{\"items\":[";
      bool first = true;
      for (const auto& [key, entry] : newest) {
        if (entry.second.empty()) {
          continue;
        }
        aBody += string(first ? "" : ",") + "{\"key\":\"" + key +
                 "\",\"value\":\"" + Base64(entry.second) +
                 "\",\"offset\":" + std::to_string(entry.first) + "}";
        first = false;
      }
      aBody +=
        "],\"hasMore\":false,\"endOffset\":" + std::to_string(records.size()) +
        "}";
      return 200;
    }
    return 404;
  }

  Server m_server;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<string, std::vector<string>> m_topics;
};

//-----------------------------------------------------------------------------
// [4] Node processes
//-----------------------------------------------------------------------------

constexpr const char* kBounds =
  "seedLagS=3,reuseAfterS=2,stableWindowMs=3000,ackMs=4000,catchUpS=4,"
  "drainMs=2000,graceS=6,lossSlackMs=200,configMs=2000,backMs=250,outerMs=5000,"
  "budgetRatio=0.2,budgetWindowS=10,budgetSlack=62,coldBurstFactor=1.5,"
  "coldSlack=5,evacuationMs=5000,recoveryS=15,probesPerS=60";

// Ends the node processes when the program is told to stop.
inline std::atomic<pid_t> g_children[64];

inline void
EndChildren(int)
{
  for (const auto& child : g_children) {
    if (child > 0) {
      kill(child, SIGKILL);
    }
  }
  _exit(2);
}

// The settings and the process of the node on one machine.
class NodeProcess
{
public:
  string m_name;
  string m_zone;
  string m_service;
  string m_ip;
  Address m_app;
  Address m_outbound;
  Address m_ready;
  Address m_control;
  Address m_store;
  string m_folder;     // temporary
  size_t m_number = 0; // of the machine

  void Start()
  {
    std::ifstream file("deploy/node.flags");
    std::stringstream text;
    text << file.rdbuf();
    string flags = text.str();
    const string section = "{{#bounds}}{{@}}={{.}}{{,}}{{/bounds}}";
    const std::map<string, string> values = {
      { section, kBounds },
      { "{{node}}", m_name },
      { "{{zone}}", m_zone },
      { "{{region}}", m_zone.substr(0, m_zone.rfind('-')) },
      { "{{service}}", m_service },
      { "{{appAddr}}", m_app.Text() },
      { "{{listen.outbound}}", m_outbound.Text() },
      { "{{listen.control}}", m_control.Text() },
      { "{{listen.ready}}", m_ready.Text() },
      { "{{ip}}", m_ip },
      { "{{internalPorts.0}}", "7620" },
      { "{{platform.address}}", m_store.Text() },
    };
    for (const auto& [name, value] : values) {
      for (size_t at = 0; (at = flags.find(name)) != string::npos;) {
        flags.replace(at, name.size(), value);
      }
    }
    const string path = m_folder + "/" + m_name + ".flags";
    std::ofstream(path) << flags;
    const string log = m_folder + "/" + m_name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
      &actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    std::vector<string> environment = { "SASSAFRASQUAY_NODE_FILE=" + path };
    for (const char* name : { "PATH", "HOME", "LANG" }) {
      if (const char* value = getenv(name)) {
        environment.push_back(string(name) + "=" + value);
      }
    }
    std::vector<char*> pointers;
    for (string& entry : environment) {
      pointers.push_back(entry.data());
    }
    pointers.push_back(nullptr);
    // The command of deploy/system.toml.
    string program = "target/sassafrasquay";
    string verb = "node";
    char* arguments[] = { program.data(), verb.data(), nullptr };
    pid_t pid = 0;
    if (posix_spawn(&pid,
                    program.c_str(),
                    &actions,
                    nullptr,
                    arguments,
                    pointers.data()) != 0) {
      fprintf(stderr, "target/sassafrasquay cannot be started\n");
      exit(2);
    }
    posix_spawn_file_actions_destroy(&actions);
    m_pid = pid;
    g_children[m_number] = pid;
  }
  void Signal(int aSignal) const
  {
    if (m_pid > 0) {
      kill(m_pid, aSignal);
    }
  }
  // Waits up to aMs for the end of the process; returns its wait status.
  std::optional<int> WaitEnd(double aMs)
  {
    const double end = Now() + aMs;
    while (m_pid > 0) {
      int status = 0;
      if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_pid = 0;
        g_children[m_number] = 0;
        return status;
      }
      if (Now() >= end) {
        return std::nullopt;
      }
      SleepMs(2);
    }
    return 0;
  }
  void Kill()
  {
    Signal(SIGKILL);
    WaitEnd(10000);
  }
  bool IsRunning() const { return m_pid > 0; }
  // Resident memory in MB.
  double ResidentMb() const
  {
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1048576;
  }
  // The platform's readiness question.
  bool IsReady() const
  {
    Socket socket;
    Message answer;
    return socket.Connect(m_ready, 300) &&
           socket.Write("GET /-/readyz HTTP/1.1\r\nHost: node\r\n\r\n") &&
           ReadMessage(socket, answer, Now() + 500, true) &&
           answer.Status() == 200;
  }

private:
  std::atomic<pid_t> m_pid{ 0 };
};

//-----------------------------------------------------------------------------
// [5] Instances
//-----------------------------------------------------------------------------

// One application instance on the machine of a node.
class Instance
{
public:
  string m_id;
  string m_service;
  string m_zone;
  Address m_address;
  Address m_control; // of its node
  unsigned m_slots = 6;
  double m_coldMs = 0;
  int64_t m_born = 0;
  std::atomic<int> m_running{ 0 };
  std::atomic<bool> m_leaving{ false };
  std::atomic<bool> m_reports{ true };
  // Serves a request; nothing when the default answer applies. The request has
  // been read whole. Returns false to close the connection.
  std::function<bool(Socket&, const Message&)> m_handler;
  // Called with the head, before the body is read; the text that it returns is
  // the answer, and the connection ends after it.
  std::function<string(const Message&)> m_earlyAnswer;
  std::function<void(const string&)> m_log;

  bool Start()
  {
    using namespace std::chrono;
    m_born = duration_cast<milliseconds>(system_clock::now().time_since_epoch())
               .count();
    m_warmAt = Now() + m_coldMs;
    m_stop = false;
    if (!m_server.Start(m_address, [this](Socket& aS) { Serve(aS); })) {
      return false;
    }
    m_reporter = std::thread([this] {
      while (!m_stop) {
        if (m_reports) {
          SendReport(m_leaving ? "draining" : "ready");
        }
        for (int i = 0; i < 75 && !m_stop; ++i) {
          SleepMs(20);
        }
      }
    });
    return true;
  }
  // The process is gone at once; Stop must follow.
  void Crash()
  {
    m_server.Crash();
    m_stop = true;
  }
  bool IsGone() const { return m_stop; }
  void Stop()
  {
    m_stop = true;
    if (m_reporter.joinable()) {
      m_reporter.join();
    }
    m_server.Stop();
  }

  string ReportText(const string& aState)
  {
    const double cold = std::max(0.0, m_warmAt - Now());
    return "{\"address\":\"" + m_address.Text() +
           "\",\"born\":" + std::to_string(m_born) +
           ",\"info\":{\"service\":\"" + m_service +
           "\",\"version\":\"v1\",\"zone\":\"" + m_zone +
           "\",\"slots\":" + std::to_string(m_slots) +
           "},\"status\":{\"state\":\"" + aState +
           "\",\"sequence\":" + std::to_string(++m_sequence) +
           ",\"coldLeftMs\":" + std::to_string(static_cast<int>(cold)) + "}}";
  }
  // True when acknowledged.
  bool Call(const string& aMethod,
            const string& aBody,
            double aTimeoutMs = 1000)
  {
    Socket socket;
    Message answer;
    return socket.Connect(m_control, aTimeoutMs) &&
           socket.Write(Format(
             aMethod + " /-/instances/" + m_id + " HTTP/1.1",
             { { "Host", "node" }, { "Content-Type", "application/json" } },
             aBody)) &&
           ReadMessage(socket, answer, Now() + aTimeoutMs, true) &&
           answer.Status() / 100 == 2;
  }
  bool SendReport(const string& aState)
  {
    return Call("PUT", ReportText(aState));
  }
  std::vector<std::pair<string, string>> Fields(const Message& aRequest) const
  {
    std::vector<std::pair<string, string>> fields = {
      { "Sassafrasquay-Server-Load",
        std::to_string(m_running.load()) + ",0," + std::to_string(m_slots) +
          ",100" },
      { "Keep-Alive", "timeout=10" },
    };
    const string id = aRequest.Get("Sassafrasquay-Attempt-Id");
    if (!id.empty()) {
      fields.emplace_back("Sassafrasquay-Attempt-Id", id);
    }
    return fields;
  }
  string OkAnswer(const Message& aRequest, const string& aBody) const
  {
    auto fields = Fields(aRequest);
    fields.emplace_back("Sassafrasquay-Server-Stamp", m_id + ".stamp");
    return Format("HTTP/1.1 200 OK", fields, aBody);
  }
  string ShedAnswer(const Message& aRequest) const
  {
    auto fields = Fields(aRequest);
    fields.emplace_back("Sassafrasquay-Not-Executed", "1");
    return Format("HTTP/1.1 503 Service Unavailable", fields, "");
  }

private:
  void Serve(Socket& aSocket)
  {
    Message request;
    while (ReadHead(aSocket, request, Now() + 10000)) {
      if (m_earlyAnswer) {
        const string answer = m_earlyAnswer(request);
        if (!answer.empty()) {
          aSocket.Write(answer);
          // Reads on, so that the answer is not lost by a reset.
          while (aSocket.ReadMore(Now() + 500)) {
            aSocket.m_input.clear();
          }
          return;
        }
      }
      if (!ReadBody(aSocket, request, Now() + 10000, false)) {
        return;
      }
      if (request.Target() == "/healthz") {
        auto fields = Fields(request);
        fields.emplace_back("Sassafrasquay-Instance-Id", m_id);
        const int cold = static_cast<int>(std::max(0.0, m_warmAt - Now()));
        fields.emplace_back("Sassafrasquay-Cold-Ms", std::to_string(cold));
        const string line =
          m_leaving ? "HTTP/1.1 503 Leaving" : "HTTP/1.1 200 OK";
        if (!aSocket.Write(Format(line, fields, ""))) {
          return;
        }
        continue;
      }
      const string expected = request.Get("Sassafrasquay-Expect-Instance");
      if (!expected.empty() && expected != m_id) {
        auto fields = Fields(request);
        fields.emplace_back("Sassafrasquay-Instance-Id", m_id);
        if (!aSocket.Write(
              Format("HTTP/1.1 421 Misdirected Request", fields, ""))) {
          return;
        }
        continue;
      }
      if (!m_handler(aSocket, request)) {
        return;
      }
    }
  }

  Server m_server;
  std::thread m_reporter;
  std::atomic<bool> m_stop{ true };
  std::atomic<uint64_t> m_sequence{ 0 };
  double m_warmAt = 0;
};

//-----------------------------------------------------------------------------
// [6] Clients
//-----------------------------------------------------------------------------

struct Attempt
{
  string m_id;
  double m_sent = 0;
  double m_ended = 0;
  int m_status = 0;    // 0: the connection ended without a whole answer
  bool m_kept = false; // sent on a connection that had been used before
  bool m_timedOut = false;
  Message m_answer;
};

inline string
NewId()
{
  static std::atomic<uint64_t> counter{ 0 };
  static const uint64_t seed = std::random_device()();
  char text[40];
  snprintf(text,
           sizeof(text),
           "%08x%08x",
           static_cast<unsigned>(seed),
           static_cast<unsigned>(++counter));
  return text;
}

// Sends one request; keeps aSocket open when the answer allows it.
inline Attempt
SendRequest(std::unique_ptr<Socket>& aSocket,
            const Address& aNode,
            const string& aMethod,
            const string& aHost,
            const string& aPath,
            const string& aBody,
            double aBudgetMs)
{
  Attempt attempt;
  attempt.m_id = NewId();
  attempt.m_kept = aSocket != nullptr;
  if (!aSocket) {
    aSocket = std::make_unique<Socket>();
    if (!aSocket->Connect(aNode, 1000)) {
      aSocket.reset();
      attempt.m_sent = attempt.m_ended = Now();
      attempt.m_status = -1;
      return attempt;
    }
  }
  attempt.m_sent = Now();
  const bool sent =
    aSocket->Write(Format(aMethod + " " + aPath + " HTTP/1.1",
                          { { "Host", aHost },
                            { "Sassafrasquay-Attempt-Id", attempt.m_id },
                            { "Sassafrasquay-Deadline-Ms",
                              std::to_string(static_cast<int>(aBudgetMs)) } },
                          aBody,
                          aMethod != "GET"));
  const bool whole =
    sent &&
    ReadMessage(*aSocket, attempt.m_answer, attempt.m_sent + aBudgetMs, true);
  attempt.m_ended = Now();
  attempt.m_timedOut = aSocket->m_timedOut;
  if (whole) {
    attempt.m_status = attempt.m_answer.Status();
  }
  if (!whole || attempt.m_answer.Get("Connection") == "close" ||
      attempt.m_answer.Get("Content-Length").empty()) {
    aSocket.reset();
  }
  return attempt;
}

//-----------------------------------------------------------------------------
// [7] Deployment
//-----------------------------------------------------------------------------

struct Machine
{
  NodeProcess m_node;
  Instance m_instance;
};

inline string
ConfigText(const string& aVersion,
           const std::vector<string>& aServices,
           const string& aPaths,
           const string& aHost = "app.example")
{
  string services;
  for (const string& service : aServices) {
    services += string(services.empty() ? "" : ",") + "{\"name\":\"" + service +
                "\",\"healthPath\":\"/healthz\",\"maxConnections\":260,"
                "\"protocol\":\"h1\",\"tls\":false,\"coldS\":3.0,"
                "\"coldPerS\":11.0}";
  }
  return "{\"version\":\"" + aVersion + "\",\"services\":[" + services +
         "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
         "\"virtualHosts\":[{\"host\":\"" +
         aHost + "\",\"paths\":[" + aPaths + "]}]}";
}

inline string
RouteText(const string& aName,
          const string& aPrefix,
          const string& aType,
          const string& aService,
          int aTimeoutMs,
          int aLatencyMs,
          int aPriority)
{
  return "{\"name\":\"" + aName + "\",\"pathPrefix\":\"" + aPrefix +
         "\",\"routeType\":\"" + aType +
         "\",\"timeoutMs\":" + std::to_string(aTimeoutMs) +
         ",\"targetLatencyMs\":" + std::to_string(aLatencyMs) +
         ",\"priority\":" + std::to_string(aPriority) + ",\"service\":\"" +
         aService + "\",\"maxAttempts\":2}";
}

class Deployment
{
public:
  // aCaseFolder: where record.txt goes.
  explicit Deployment(const string& aCaseFolder)
    : m_record(aCaseFolder + "/record.txt")
    , m_random(std::random_device()())
  {
    signal(SIGPIPE, SIG_IGN);
    for (const int ending : { SIGTERM, SIGINT, SIGHUP }) {
      signal(ending, EndChildren);
    }
    char pattern[] = "/tmp/review.XXXXXX";
    m_folder = mkdtemp(pattern);
    // A free loopback network for the machines of this run.
    for (int i = 0; i < 50; ++i) {
      m_network = "127." + std::to_string(20 + m_random() % 200) + "." +
                  std::to_string(m_random() % 250) + ".";
      if (m_store.Start({ m_network + "200", 8309 })) {
        return;
      }
    }
    fprintf(stderr, "no free loopback address\n");
    exit(2);
  }
  ~Deployment() { StopAll(); }

  Machine& AddMachine(const string& aZone, const string& aService)
  {
    auto machine = std::make_unique<Machine>();
    const size_t number = m_machines.size() + 1;
    const string ip = m_network + std::to_string(number);
    NodeProcess& node = machine->m_node;
    node.m_name = "sidecar-" + aZone + "-" + std::to_string(number);
    node.m_number = number;
    node.m_zone = aZone;
    node.m_service = aService;
    node.m_ip = ip;
    node.m_app = { ip, 8301 };
    node.m_outbound = { ip, 8304 };
    node.m_ready = { ip, 8302 };
    node.m_control = { ip, 8306 };
    node.m_store = m_store.m_address;
    node.m_folder = m_folder;
    Instance& instance = machine->m_instance;
    instance.m_id = "i-" + aService + "-" + std::to_string(number);
    instance.m_service = aService;
    instance.m_zone = aZone;
    instance.m_address = node.m_app;
    instance.m_control = node.m_control;
    m_machines.push_back(std::move(machine));
    return *m_machines.back();
  }
  // Starts all machines; exits with 2 when they do not get ready.
  void StartAll()
  {
    for (const auto& machine : m_machines) {
      machine->m_node.Start();
      if (!machine->m_instance.Start()) {
        fprintf(stderr, "an instance's address is in use\n");
        StopAll();
        exit(2);
      }
    }
    const double end = Now() + 15000;
    for (const auto& machine : m_machines) {
      while (!machine->m_node.IsReady()) {
        if (Now() > end) {
          fprintf(stderr, "%s is not ready\n", machine->m_node.m_name.c_str());
          StopAll();
          exit(2);
        }
        SleepMs(50);
      }
    }
    SleepMs(4000); // the stable window, and a round of status reports
    m_record.Say("all nodes are ready");
  }
  void StopAll()
  {
    if (m_stopped) {
      return;
    }
    m_stopped = true;
    for (const auto& machine : m_machines) {
      machine->m_node.Kill();
    }
    for (const auto& machine : m_machines) {
      machine->m_instance.Stop();
    }
    m_store.Stop();
    if (getenv("KEEP") == nullptr) {
      std::filesystem::remove_all(m_folder);
    } else {
      printf("logs of the nodes: %s\n", m_folder.c_str());
    }
  }

  Record m_record;
  std::mt19937_64 m_random;
  string m_folder;
  string m_network;
  Store m_store;
  std::vector<std::unique_ptr<Machine>> m_machines;

private:
  bool m_stopped = false;
};

inline bool
WithTrouble()
{
  const char* value = getenv("TROUBLE");
  return value == nullptr || string(value) != "0";
}

} // namespace review
