// Stand-in for a target: an HTTP server with slots, a configurable service time
// and fault injection. It counts the runs of each request by identity; tests
// compare these counts with the at-most-once guarantee.
//
//   GET  /standin/runs            JSON: identity -> number of runs
//   GET  /standin/state           JSON: in_use, peak, cancelled, requests,
//                                 deadline_ms of the last request
//   POST /standin/set?name=value  see Faults
//   POST /standin/drain, /standin/cold
//                                 reports drain or cold to the node on its VM
//   POST /standin/leave           reports its exit to the node without a drain
//   POST /standin/crash           exits immediately
//   any other path                a request; the response has its identity,
//                                 path and body size
//
// The identity is the header X-Identity, else the platform's attempt id, else
// the request id. With --platform, the stand-in uses the platform's HTTP
// dialect and format of status reports.
#include "httpbase/httpbase.h"
#include "kernel/kernel.h"
#include "platform/dialects.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <set>

DEFINE_string(listen, "127.0.0.1:0", "IP:port; port 0 takes any free port");
DEFINE_string(control, "", "IP:port of the node's control address");
DEFINE_string(service, "", "service to announce");
DEFINE_uint32(slots, 6, "slots to announce");
DEFINE_uint64(incarnation, 0, "incarnation; 0 uses the wall clock");
DEFINE_uint32(service_ms, 0, "service time of each request in ms");
DEFINE_bool(platform, false, "use the platform's HTTP dialect and reports");
DEFINE_string(target_version, "v1", "version in the platform's reports");
DEFINE_string(id, "", "instance id in the platform's reports");
DEFINE_string(advertise, "", "address to report; defaults to --listen");
DEFINE_string(runs_log, "", "file to append a line to for each run");

using namespace sassafrasquay;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;

namespace {

constexpr Duration kAnnounceInterval = std::chrono::seconds(1);
constexpr size_t kReadBufferBytes = 64 * 1024;
// Values of the fault "endless".
constexpr uint64_t kEndlessInterim = 1;
constexpr uint64_t kEndlessFields = 2;
constexpr uint64_t kEndlessRejection = 4;
constexpr Duration kEndlessInterval = std::chrono::milliseconds(1);

// Set with /standin/set.
struct Faults
{
  uint64_t m_serviceMs = 0;     // service_ms: service time of each request
  uint64_t m_failStatus = 0;    // fail: responds with this status at once
  uint64_t m_shed = 0;          // shed=1: rejects as not run
  uint64_t m_neverRespond = 0;  // silent=1: runs, but never responds
  uint64_t m_closeAfterRun = 0; // close=1: runs, then closes without response
  uint64_t m_truncate = 0;  // truncate=1: sends half of the body, then closes
  uint64_t m_crashPath = 0; // crash_path=1: exits on a path with "crash"
  uint64_t m_paddingBytes = 0;  // answer_bytes: padding of the response
  uint64_t m_extraResponse = 0; // extra=1: responds twice; needs a request id
  uint64_t m_reportedSlowness = 100; // slowness: value in the load header
  uint64_t m_suppressReports = 0;    // mute_reports=1: sends no status reports
  uint64_t m_healthDelayMs = 0;      // health_ms: delay of the health response
  // endless: bytes without an end, until the connection closes. 1: interim
  // responses, 2: header fields, 3: a body, 4: the body of a rejection.
  uint64_t m_endless = 0;
  // Of a bad version. The last two fields limit them to some requests.
  uint64_t m_failPercent = 0; // fail_percent: runs, then responds with 500
  uint64_t m_slowFactor = 1;  // slow_factor: multiplies the service time
  uint64_t m_faultOnSafe = 0; // fault_on_safe=1: only on paths of /safe/
  uint64_t m_faultLoad = 0;   // fault_load: requests in use, this one included
};

struct State
{
  Faults m_faults;
  std::map<std::string, uint64_t> m_runs;
  std::set<std::string> m_cancelled;
  uint64_t m_inUse = 0;
  uint64_t m_peakInUse = 0;
  uint64_t m_requests = 0;
  std::string m_lastDeadline;    // header of the last request
  uint64_t m_reportSequence = 0; // of the platform's status reports
  uint64_t m_startTimeMs = 0;    // Unix milliseconds
  bool m_draining = false;
  bool m_leaving = false; // a leave has been reported to the node
  Endpoint m_listenEndpoint;
  Endpoint m_nodeControl;
  std::ofstream m_runsLog;
};

auto
Redirect(boost::system::error_code& aError)
{
  return asio::redirect_error(asio::use_awaitable, aError);
}

bool
SetFault(Faults& aFaults, std::string_view aName, uint64_t aValue)
{
  const std::map<std::string_view, uint64_t*> fields = {
    { "service_ms", &aFaults.m_serviceMs },
    { "fail", &aFaults.m_failStatus },
    { "shed", &aFaults.m_shed },
    { "silent", &aFaults.m_neverRespond },
    { "close", &aFaults.m_closeAfterRun },
    { "truncate", &aFaults.m_truncate },
    { "crash_path", &aFaults.m_crashPath },
    { "answer_bytes", &aFaults.m_paddingBytes },
    { "extra", &aFaults.m_extraResponse },
    { "slowness", &aFaults.m_reportedSlowness },
    { "mute_reports", &aFaults.m_suppressReports },
    { "health_ms", &aFaults.m_healthDelayMs },
    { "endless", &aFaults.m_endless },
    { "fail_percent", &aFaults.m_failPercent },
    { "slow_factor", &aFaults.m_slowFactor },
    { "fault_on_safe", &aFaults.m_faultOnSafe },
    { "fault_load", &aFaults.m_faultLoad },
  };
  const auto found = fields.find(aName);
  if (found != fields.end()) {
    *found->second = aValue;
  }
  return found != fields.end();
}

asio::awaitable<bool>
CallNode(State& aState, http::verb aVerb, std::string aPath, std::string aBody)
{
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  boost::system::error_code error;
  stream.expires_after(std::chrono::seconds(1));
  const auto address = asio::ip::make_address(aState.m_nodeControl.m_address);
  co_await stream.async_connect(
    tcp::endpoint(address, aState.m_nodeControl.m_port), Redirect(error));
  if (error) {
    co_return false;
  }
  http::request<http::string_body> request(aVerb, aPath, 11);
  request.set(http::field::host, "node");
  request.body() = std::move(aBody);
  request.prepare_payload();
  co_await http::async_write(stream, request, Redirect(error));
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  if (!error) {
    co_await http::async_read(stream, buffer, response, Redirect(error));
  }
  co_return !error && response.result() == http::status::ok;
}

asio::awaitable<bool>
PostToNode(State& aState, std::string aPath, std::string aBody)
{
  return CallNode(aState, http::verb::post, std::move(aPath), std::move(aBody));
}

asio::awaitable<bool>
SendReport(State& aState)
{
  const std::string address = FLAGS_advertise.empty()
                                ? ToString(aState.m_listenEndpoint)
                                : FLAGS_advertise;
  const json::object report = {
    { "address", address },
    { "born", aState.m_startTimeMs },
    { "info",
      json::object{ { "service", FLAGS_service },
                    { "version", FLAGS_target_version },
                    { "zone", "zone" },
                    { "slots", FLAGS_slots } } },
    { "status",
      json::object{ { "state", aState.m_draining ? "draining" : "ready" },
                    { "sequence", ++aState.m_reportSequence },
                    { "coldLeftMs", 0 } } },
  };
  return CallNode(aState,
                  http::verb::put,
                  "/-/instances/" + FLAGS_id,
                  json::serialize(report));
}

// Announces the target periodically, so a restarted node discovers it.
asio::awaitable<void>
Announce(State& aState, uint64_t aIncarnation)
{
  const json::object body = { { "service", FLAGS_service },
                              { "slots", FLAGS_slots },
                              { "address", ToString(aState.m_listenEndpoint) },
                              { "incarnation", aIncarnation } };
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (true) {
    const bool silent =
      aState.m_leaving || aState.m_faults.m_suppressReports != 0;
    if (FLAGS_platform && !silent) {
      co_await SendReport(aState);
    } else if (!FLAGS_platform) {
      co_await PostToNode(aState, "/v1/target/announce", json::serialize(body));
    }
    timer.expires_after(kAnnounceInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

std::string
StateJson(const State& aState)
{
  const json::object state = { { "in_use", aState.m_inUse },
                               { "peak", aState.m_peakInUse },
                               { "requests", aState.m_requests },
                               { "deadline_ms", aState.m_lastDeadline },
                               { "cancelled", aState.m_cancelled.size() } };
  return json::serialize(state);
}

std::string
RunsJson(const State& aState)
{
  json::object runs;
  for (const auto& [identity, count] : aState.m_runs) {
    runs[identity] = count;
  }
  return json::serialize(runs);
}

// Runs a command of /standin/ and returns the body of the response.
asio::awaitable<std::string>
RunCommand(State& aState, std::string aPath)
{
  if (aPath == "/standin/runs") {
    co_return RunsJson(aState);
  }
  if (aPath == "/standin/state") {
    co_return StateJson(aState);
  }
  if (aPath == "/standin/crash") {
    std::_Exit(134);
  }
  if (aPath == "/standin/drain" && FLAGS_platform) {
    aState.m_draining = true;
    co_return co_await SendReport(aState) ? "ok" : "no ack";
  }
  if (aPath == "/standin/leave" && FLAGS_platform) {
    aState.m_leaving = true;
    const bool acked = co_await CallNode(
      aState, http::verb::delete_, "/-/instances/" + FLAGS_id, "");
    co_return acked ? "ok" : "no ack";
  }
  if (aPath == "/standin/drain" || aPath == "/standin/cold") {
    const std::string action = aPath.substr(aPath.rfind('/'));
    co_await PostToNode(aState, "/v1/target" + action, "");
    co_return "ok";
  }
  const size_t query = aPath.find('?');
  const size_t equals = aPath.find('=');
  if (query != std::string::npos && equals != std::string::npos) {
    const std::string name = aPath.substr(query + 1, equals - query - 1);
    const uint64_t value =
      std::strtoull(aPath.c_str() + equals + 1, nullptr, 10);
    co_return SetFault(aState.m_faults, name, value) ? "ok" : "unknown";
  }
  co_return "unknown";
}

std::string
RequestIdentity(const http::fields& aFields)
{
  for (const std::string_view name :
       { std::string_view("X-Identity"), kAttemptIdHeader, kRequestIdHeader }) {
    const auto found = aFields.find(name);
    if (found != aFields.end()) {
      return std::string(found->value());
    }
  }
  return "anonymous";
}

// Counts a request as in use for the lifetime of the object.
struct SlotInUse
{
  State& m_state;
  explicit SlotInUse(State& aState)
    : m_state(aState)
  {
    ++m_state.m_inUse;
    m_state.m_peakInUse = std::max(m_state.m_peakInUse, m_state.m_inUse);
  }
  ~SlotInUse() { --m_state.m_inUse; }
};

class TargetConnection
{
public:
  TargetConnection(tcp::socket aSocket, State& aState)
    : m_stream(std::move(aSocket))
    , m_state(aState)
  {
    m_stream.socket().set_option(tcp::no_delay(true));
  }

  asio::awaitable<void> Run()
  {
    bool open = true;
    while (open) {
      open = co_await ServeRequest();
    }
  }

private:
  using Parser = http::request_parser<http::buffer_body>;

  asio::awaitable<bool> ServeRequest();
  asio::awaitable<bool> ReadBody(Parser& aParser, uint64_t& aSize);
  asio::awaitable<bool> HandleRequest(
    const http::request<http::buffer_body>& aRequest,
    uint64_t aSize);
  asio::awaitable<bool> RespondWithoutEnd(uint64_t aKind);
  asio::awaitable<bool> Respond(unsigned aStatus,
                                std::string aBody,
                                bool aShed,
                                bool aHeadOnly = false);
  void AddPlatformFields(http::fields& aFields, unsigned aStatus, bool aShed);

  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer;
  State& m_state;
  bool m_truncateResponse = false; // for the current request
  std::string m_attemptId;         // of the current request; platform only
  std::string m_requestId;         // likewise; only without the platform
};

asio::awaitable<bool>
TargetConnection::ReadBody(Parser& aParser, uint64_t& aSize)
{
  std::vector<char> bytes(kReadBufferBytes);
  boost::system::error_code error;
  while (!aParser.is_done()) {
    auto& body = aParser.get().body();
    body.data = bytes.data();
    body.size = bytes.size();
    co_await http::async_read_some(
      m_stream, m_buffer, aParser, Redirect(error));
    aSize += bytes.size() - body.size;
    if (error && error != http::error::need_buffer) {
      co_return false;
    }
  }
  co_return true;
}

asio::awaitable<bool>
TargetConnection::ServeRequest()
{
  Parser parser;
  parser.body_limit(boost::none);
  boost::system::error_code error;
  co_await http::async_read_header(m_stream, m_buffer, parser, Redirect(error));
  uint64_t size = 0;
  if (error) {
    co_return false;
  }
  const bool complete = co_await ReadBody(parser, size);
  if (!complete) {
    co_return false;
  }
  const auto& request = parser.get();
  const std::string path(request.target());
  static constexpr std::string_view kCancel = "/sassafrasquay/cancel/";
  if (path.starts_with(kCancel)) {
    m_state.m_cancelled.insert(path.substr(kCancel.size()));
    co_return co_await Respond(200, "cancelled", false);
  }
  if (FLAGS_platform && path == "/healthz") {
    // The state at the arrival of the health check, before the delay.
    const bool healthy = !m_state.m_draining && !m_state.m_leaving;
    asio::steady_timer delay(m_stream.get_executor());
    delay.expires_after(
      std::chrono::milliseconds(m_state.m_faults.m_healthDelayMs));
    co_await delay.async_wait(asio::use_awaitable);
    co_return co_await Respond(healthy ? 200 : 503, "", false);
  }
  if (path.starts_with("/standin/")) {
    const std::string text = co_await RunCommand(m_state, path);
    co_return co_await Respond(200, text, false);
  }
  co_return co_await HandleRequest(request, size);
}

asio::awaitable<bool>
TargetConnection::HandleRequest(
  const http::request<http::buffer_body>& aRequest,
  uint64_t aSize)
{
  const Faults faults = m_state.m_faults;
  ++m_state.m_requests;
  m_state.m_lastDeadline = std::string(aRequest[kDeadlineMsHeader]);
  m_attemptId = std::string(aRequest[kAttemptIdHeader]);
  m_requestId = std::string(aRequest[kRequestIdHeader]);
  const std::string expected(aRequest[kExpectInstanceHeader]);
  if (!expected.empty() && expected != FLAGS_id) {
    co_return co_await Respond(421, "another instance", false);
  }
  if (faults.m_shed != 0) {
    co_return co_await Respond(503, "shed", true);
  }
  if (faults.m_endless == kEndlessRejection) {
    co_return co_await RespondWithoutEnd(faults.m_endless);
  }
  if (faults.m_failStatus != 0) {
    co_return co_await Respond(
      static_cast<unsigned>(faults.m_failStatus), "failed on command", false);
  }
  const std::string identity = RequestIdentity(aRequest);
  const std::string path(aRequest.target());
  ++m_state.m_runs[identity];
  if (m_state.m_runsLog.is_open()) {
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    m_state.m_runsLog
      << std::chrono::duration_cast<std::chrono::milliseconds>(now).count()
      << ' ' << FLAGS_id << ' ' << identity << std::endl;
  }
  if (faults.m_crashPath != 0 && path.find("crash") != std::string::npos) {
    std::_Exit(134);
  }
  bool isBad = false;
  {
    const SlotInUse slot(m_state);
    isBad = m_state.m_inUse >= faults.m_faultLoad &&
            (faults.m_faultOnSafe == 0 || path.starts_with("/safe/"));
    asio::steady_timer timer(m_stream.get_executor());
    const uint64_t factor = isBad ? faults.m_slowFactor : 1;
    if (faults.m_serviceMs != 0) {
      timer.expires_after(
        std::chrono::milliseconds(factor * faults.m_serviceMs));
      co_await timer.async_wait(asio::use_awaitable);
    }
    if (faults.m_neverRespond != 0) {
      timer.expires_at(asio::steady_timer::time_point::max());
      co_await timer.async_wait(asio::use_awaitable);
    }
  }
  // Spread evenly: request n fails when the share passes a whole number.
  const uint64_t runs = m_state.m_requests * faults.m_failPercent;
  if (isBad && runs / 100 != (runs - faults.m_failPercent) / 100) {
    co_return co_await Respond(500, "failed on command", false);
  }
  if (faults.m_closeAfterRun != 0) {
    co_return false;
  }
  if (faults.m_endless != 0) {
    const SlotInUse slot(m_state);
    co_return co_await RespondWithoutEnd(faults.m_endless);
  }
  std::string body = "target=" + ToString(m_state.m_listenEndpoint) +
                     " identity=" + identity + " path=" + path +
                     " body=" + std::to_string(aSize) + "\n";
  body.append(faults.m_paddingBytes, 'x');
  const bool headOnly = aRequest.method() == http::verb::head;
  m_truncateResponse = faults.m_truncate != 0;
  co_return co_await Respond(200, std::move(body), false, headOnly);
}

asio::awaitable<bool>
TargetConnection::Respond(unsigned aStatus,
                          std::string aBody,
                          bool aShed,
                          bool aHeadOnly)
{
  http::response<http::string_body> response;
  response.result(aStatus);
  if (aShed) {
    response.set(kShedHeader, "1");
  }
  if (FLAGS_platform) {
    AddPlatformFields(response, aStatus, aShed);
  } else if (!m_requestId.empty()) {
    response.set(kRequestIdHeader, m_requestId);
  }
  response.body() = std::move(aBody);
  response.prepare_payload();
  const bool truncate = m_truncateResponse;
  m_truncateResponse = false;
  if (truncate || aHeadOnly) {
    response.body().resize(aHeadOnly ? 0 : response.body().size() / 2);
  }
  boost::system::error_code error;
  co_await http::async_write(m_stream, response, Redirect(error));
  const bool identified = !m_attemptId.empty() || !m_requestId.empty();
  if (m_state.m_faults.m_extraResponse != 0 && identified) {
    co_await http::async_write(m_stream, response, Redirect(error));
  }
  co_return !error && !truncate;
}

asio::awaitable<bool>
TargetConnection::RespondWithoutEnd(uint64_t aKind)
{
  const std::string okHead = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = "4000\r\n" + std::string(0x4000, 'x') + "\r\n";
  std::string bytes;
  std::string repeated = chunk;
  if (aKind == kEndlessInterim) {
    repeated = "HTTP/1.1 103 Early Hints\r\n\r\n";
  } else if (aKind == kEndlessFields) {
    bytes = okHead;
    repeated = "X-Field: " + std::string(500, 'x') + "\r\n";
  } else if (aKind == kEndlessRejection) {
    bytes = "HTTP/1.1 503 Service Unavailable\r\n" + std::string(kShedHeader) +
            ": 1\r\n" + chunked;
  } else {
    bytes = okHead + chunked;
  }
  asio::steady_timer timer(m_stream.get_executor());
  boost::system::error_code error;
  while (!error) {
    bytes += repeated;
    co_await asio::async_write(m_stream, asio::buffer(bytes), Redirect(error));
    bytes.clear();
    timer.expires_after(kEndlessInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  co_return false;
}

void
TargetConnection::AddPlatformFields(http::fields& aFields,
                                    unsigned aStatus,
                                    bool aShed)
{
  aFields.set(kInstanceIdHeader, FLAGS_id);
  aFields.set(kServerLoadHeader,
              std::to_string(m_state.m_inUse) + ",0," +
                std::to_string(FLAGS_slots) + "," +
                std::to_string(m_state.m_faults.m_reportedSlowness));
  aFields.set(http::field::keep_alive, "timeout=10");
  if (!m_attemptId.empty()) {
    aFields.set(kAttemptIdHeader, m_attemptId);
  }
  if (aShed) {
    aFields.set(kNotExecutedHeader, "1");
  } else if (aStatus != 421) {
    aFields.set(kServerStampHeader, "stamp");
  }
}

asio::awaitable<void>
Accept(tcp::acceptor& aAcceptor, State& aState)
{
  while (true) {
    tcp::socket socket = co_await aAcceptor.async_accept(asio::use_awaitable);
    asio::co_spawn(
      aAcceptor.get_executor(),
      [](tcp::socket aSocket, State& aShared) -> asio::awaitable<void> {
        TargetConnection connection(std::move(aSocket), aShared);
        co_await connection.Run();
      }(std::move(socket), aState),
      asio::detached);
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  State state;
  state.m_faults.m_serviceMs = FLAGS_service_ms;
  if (!FLAGS_runs_log.empty()) {
    state.m_runsLog.open(FLAGS_runs_log, std::ios::app);
  }
  if (!ParseEndpoint(FLAGS_listen, state.m_listenEndpoint)) {
    std::cerr << "standin_target: --listen must be IP:port\n";
    return 2;
  }
  asio::io_context context(1);
  const auto address = asio::ip::make_address(state.m_listenEndpoint.m_address);
  tcp::acceptor acceptor(context,
                         tcp::endpoint(address, state.m_listenEndpoint.m_port));
  state.m_listenEndpoint.m_port = acceptor.local_endpoint().port();
  std::cout << "listening " << state.m_listenEndpoint.m_port << std::endl;
  asio::co_spawn(context, Accept(acceptor, state), asio::detached);
  if (!FLAGS_control.empty()) {
    if (!ParseEndpoint(FLAGS_control, state.m_nodeControl)) {
      std::cerr << "standin_target: --control must be IP:port\n";
      return 2;
    }
    const auto now = SystemClock().WallNow().time_since_epoch();
    uint64_t incarnation = FLAGS_incarnation;
    if (incarnation == 0) {
      incarnation = static_cast<uint64_t>(now.count());
    }
    state.m_startTimeMs = static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    asio::co_spawn(context, Announce(state, incarnation), asio::detached);
  }
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](auto, int) { context.stop(); });
  context.run();
  return 0;
}
