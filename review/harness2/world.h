// Stand-ins of the platform for the cases of review/6 to review/10: the
// metadata store, instances, machines with a node process, and clients. All of
// them run in the test's process; only the nodes are processes of their own.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Seconds since the program started.
double
Now();
void
SleepFor(double aSeconds);
void
SleepUntil(double aTime);

// Writes record.txt; every line begins with the time.
class Record
{
public:
  static void Open(const std::string& aPath);
  static void Line(const char* aFormat, ...)
    __attribute__((format(printf, 1, 2)));
};

struct Address
{
  std::string m_ip;
  uint16_t m_port = 0;

  std::string Text() const { return m_ip + ":" + std::to_string(m_port); }
};

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message
{
  std::string m_startLine;
  Headers m_headers;
  std::string m_body;

  std::string Header(std::string_view aName) const;
  int Status() const;         // of a response; 0 if the line is malformed
  std::string Method() const; // of a request
  std::string Target() const; // of a request
};

// One TCP connection with a read buffer. Not thread-safe, except Abort().
class Connection
{
public:
  Connection() = default;
  explicit Connection(int aFd)
    : m_fd(aFd)
  {
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Connect(const Address& aAddress, double aTimeout);
  void Close();
  void Reset(); // closes with a TCP reset
  bool IsOpen() const { return m_fd >= 0; }
  int Fd() const { return m_fd; }

  bool Write(std::string_view aBytes, double aUntil);
  // Reads a head, and a body with a length or in chunks. Returns nullopt at the
  // time limit, at the end of the stream and for bytes that are no message.
  std::optional<Message> Read(double aUntil, bool aIsResponse);
  // True if the peer has closed the connection.
  bool IsPeerClosed() const;

private:
  bool Fill(double aUntil);
  std::optional<std::string> TakeLine(double aUntil);
  bool TakeBytes(size_t aCount, double aUntil, std::string& aOut);

  int m_fd = -1;
  std::string m_buffer;
};

// Accepts connections and serves each with a thread.
class Listener
{
public:
  using Serve = std::function<void(Connection&)>;

  Listener(const Address& aAddress, Serve aServe);
  ~Listener();

  // Closes the listening socket and resets every connection. Threads that
  // serve connections end at their next read or write.
  void Abort();

private:
  void AcceptLoop();

  Address m_address;
  Serve m_serve;
  int m_fd = -1;
  std::atomic<bool> m_stopped = false;
  std::mutex m_mutex;
  std::condition_variable m_idle;
  std::list<Connection*> m_connections;
  size_t m_threads = 0;
  std::thread m_acceptor;
};

// The platform's store: topics with one partition each.
class Store
{
public:
  explicit Store(const Address& aAddress);

  // Writes as the operator does. Returns the time of the acknowledgement.
  double Put(const std::string& aKey, const std::string& aValue);
  // While the store is silent, it answers nothing. A connection on which an
  // answer is lost returns nothing further, also later.
  void SetSilent(bool aIsSilent);
  // Calls whose answers were lost, by their path.
  std::map<std::string, int> Lost() const;

private:
  struct Topic
  {
    std::vector<std::string> m_records; // without the length
  };

  void Serve(Connection& aConnection);
  std::string Append(Topic& aTopic,
                     const std::string& aQuery,
                     const std::string& aBody);
  std::string Read(std::unique_lock<std::mutex>& aLock,
                   Topic& aTopic,
                   const std::string& aQuery);
  std::string Newest(const Topic& aTopic, const std::string& aQuery);

  mutable std::mutex m_mutex;
  std::condition_variable m_appended;
  bool m_silent = false;
  std::map<std::string, int> m_lost;
  std::map<std::string, Topic> m_topics;
  std::unique_ptr<Listener> m_listener;
};

// What an instance saw of one request.
struct Arrival
{
  double m_time = 0;
  std::string m_instance;
  std::string m_method;
  std::string m_target;
  std::string m_attemptId;
  std::string m_deadlineMs;
  bool m_ran = false;
  bool m_wasCold = false;
};

struct InstanceSettings
{
  std::string m_name; // of the machine
  std::string m_service;
  std::string m_zone;
  Address m_address;
  Address m_control; // where status reports go
  int m_slots = 6;
  int m_queue = 12;
  double m_workS = 0.02;
  double m_heartbeatS = 1.5;
  double m_coldS = 3.0;     // how long it is cold after a start during traffic
  std::string m_poisonPath; // requests on it crash the instance
  double m_downS = 2.5;     // from a crash to the next start
  double m_coldSlowdown = 2;
  int m_coldCrashPerS = 0; // requests in a second that crash it while cold
};

class Instance
{
public:
  explicit Instance(InstanceSettings aSettings);
  ~Instance();

  void Start(bool aIsCold);
  // Ends at once, without a word; all its connections are reset.
  void Crash();
  // Becomes cold again for that long.
  void TurnCold(double aSeconds);
  // Health responses that said that the instance is cold, since TurnCold().
  int ColdResponses() const { return m_coldResponses; }

  std::vector<Arrival> Arrivals() const;
  std::string Id() const;
  // Time of the last status report that a node acknowledged.
  double LastReport() const { return m_lastReport; }

private:
  void Serve(Connection& aConnection, uint64_t aLifetime);
  void Answer(Connection& aConnection,
              const Message& aRequest,
              uint64_t aLifetime);
  bool Report();
  void Maintain();
  std::string LoadHeader() const;

  InstanceSettings m_settings;
  mutable std::mutex m_mutex;
  std::condition_variable m_slotFree;
  int m_running = 0;
  int m_waiting = 0;
  std::vector<Arrival> m_arrivals;
  std::string m_id;
  uint64_t m_lifetime = 0;
  uint64_t m_sequence = 0;
  int64_t m_born = 0;
  double m_coldUntil = 0;
  double m_coldSince = 0;
  std::atomic<int> m_coldResponses = 0;
  double m_restartAt = 0; // 0 while it runs
  double m_nextReport = 0;
  std::atomic<double> m_lastReport = 0;
  std::atomic<bool> m_stopped = false;
  std::unique_ptr<Listener> m_listener;
  std::vector<std::unique_ptr<Listener>> m_old;
  std::thread m_maintainer;
};

// The ports of a day, the same on all machines.
struct Ports
{
  uint16_t m_app = 0;
  uint16_t m_outbound = 0;
  uint16_t m_ready = 0;
  uint16_t m_control = 0;
  uint16_t m_internal = 0;
  uint16_t m_admin = 9102;
  uint16_t m_store = 0;
};

struct NodeSettings
{
  std::string m_name;
  std::string m_ip;
  std::string m_zone;
  std::string m_service;
  Ports m_ports;
  Address m_store;
  std::string m_folder; // for the settings file and the log
};

// A machine's node process, started as deploy/system.toml says.
class Node
{
public:
  explicit Node(NodeSettings aSettings);
  ~Node();

  void Start();
  void Terminate(); // SIGTERM
  // Waits for the end of the process; SIGKILL after aGrace seconds.
  void AwaitExit(double aGrace);

  // As the platform decides it: two missed checks, one per second, and clients
  // send no new work to the machine.
  bool IsReady() const { return m_ready; }
  // Since when the process has run undisturbed; negative if it doesn't run or
  // has got a signal.
  double UpSince() const { return m_upSince; }
  const NodeSettings& Settings() const { return m_settings; }
  Address Outbound() const
  {
    return { m_settings.m_ip, m_settings.m_ports.m_outbound };
  }

private:
  void PollReadiness();

  NodeSettings m_settings;
  pid_t m_pid = -1;
  int m_starts = 0;
  std::atomic<bool> m_ready = false;
  std::atomic<double> m_upSince = -1;
  std::atomic<bool> m_stopped = false;
  std::thread m_poller;
};

struct ClientRequest
{
  std::string m_method = "GET";
  std::string m_host;
  std::string m_target;
  std::string m_body;
  int m_deadlineMs = 1000;
  std::string m_attemptId;
};

struct ClientAnswer
{
  int m_status = 0; // 0: no complete response
  std::string m_reason;
  std::string m_stamp;
  double m_sent = 0;
  double m_answered = 0;
};

std::string
NewAttemptId();

std::string
FormatRequest(const ClientRequest& aRequest);

// Sends the request on the connection, which it opens if it is closed.
ClientAnswer
SendOn(Connection& aConnection,
       const Address& aNode,
       const ClientRequest& aRequest);

// Sends the request on a new connection.
ClientAnswer
Send(const Address& aNode, const ClientRequest& aRequest);

// One service and one route of a configuration.
struct ServiceText
{
  std::string m_name;
  double m_coldS = 3.0;
  double m_coldPerS = 11.0;
};

struct RouteText
{
  std::string m_name;
  std::string m_pathPrefix;
  std::string m_routeType;
  int m_timeoutMs;
  int m_targetLatencyMs;
  int m_priority;
  std::string m_service;
  int m_maxAttempts = 2;
};

std::string
ConfigText(int aVersion,
           const std::vector<ServiceText>& aServices,
           const std::string& aHost,
           const std::vector<RouteText>& aRoutes,
           int64_t aMaxBodyBytes = 67108864);

// A small deployment: machines in three zones, each with an instance.
struct MachinePlan
{
  std::string m_zone;
  std::string m_service;
};

class Deployment
{
public:
  Deployment(const std::vector<MachinePlan>& aPlan,
             const std::string& aConfig,
             const std::function<void(InstanceSettings&)>& aAdjust);
  ~Deployment();

  // False if a machine isn't ready at the time limit.
  bool Start(double aTimeout);

  size_t Size() const { return m_nodes.size(); }
  Node& NodeAt(size_t aIndex) { return *m_nodes[aIndex]; }
  Instance& InstanceAt(size_t aIndex) { return *m_instances[aIndex]; }
  Store& GetStore() { return *m_store; }

private:
  std::string m_folder;
  std::string m_config;
  std::unique_ptr<Store> m_store;
  std::vector<std::unique_ptr<Instance>> m_instances;
  std::vector<std::unique_ptr<Node>> m_nodes;
};

// TROUBLE=0 asks for a run without the disruption.
bool
IsTroubled();

} // namespace review
