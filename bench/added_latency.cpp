// Measures the latency that the nodes add to a call. Passes that send requests
// directly to a target alternate with passes that send them through an entry
// node, at a fixed request rate.
//
//   added_latency --direct=IP:PORT --entry=IP:PORT --service=NAME
//                 --connections=1,50,500 --rate=1000 --seconds=3 --rounds=3
//
// scripts/bench_latency starts the targets and the nodes.
#include "core/core.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <gflags/gflags.h>
#include <sstream>

DEFINE_string(direct, "", "IP:port of a target");
DEFINE_string(entry, "", "IP:port of an entry node");
DEFINE_string(service, "", "service of the target");
DEFINE_string(connections, "1,50,500", "numbers of connections to measure");
DEFINE_double(rate, 1000, "requests per second over all connections");
DEFINE_double(seconds, 3, "length of one pass, in seconds");
DEFINE_uint32(rounds, 3, "passes of each kind");
DEFINE_double(settle,
              0.5,
              "seconds at the start of a pass that are not measured");

using namespace sassafrasquay;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

using Seconds = std::chrono::duration<double>;

struct Measurements
{
  std::vector<double> m_latenciesUs;
  size_t m_failed = 0;
};

// Sends one request every aInterval; a late response delays the next request.
asio::awaitable<void>
SendAtFixedRate(Endpoint aServer,
                Duration aInterval,
                Duration aOffset,
                Measurements& aOut)
{
  const auto executor = co_await asio::this_coro::executor;
  const auto now = [] { return std::chrono::steady_clock::now(); };
  beast::tcp_stream stream(executor);
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aServer.m_address);
  co_await stream.async_connect(
    tcp::endpoint(address, aServer.m_port),
    asio::redirect_error(asio::use_awaitable, error));
  stream.socket().set_option(tcp::no_delay(true), error);
  asio::steady_timer timer(executor);
  const auto end = now() + Duration(static_cast<int64_t>(FLAGS_seconds * 1e9));
  const auto measureFrom =
    now() + Duration(static_cast<int64_t>(FLAGS_settle * 1e9));
  auto next = now() + aOffset;
  beast::flat_buffer buffer;
  http::request<http::empty_body> request(http::verb::get, "/bench", 11);
  request.set(http::field::host, FLAGS_service);
  while (next < end) {
    timer.expires_at(next);
    co_await timer.async_wait(asio::use_awaitable);
    const auto sentAt = now();
    co_await http::async_write(
      stream, request, asio::redirect_error(asio::use_awaitable, error));
    http::response<http::string_body> response;
    co_await http::async_read(stream,
                              buffer,
                              response,
                              asio::redirect_error(asio::use_awaitable, error));
    const bool isMeasured = sentAt >= measureFrom;
    if (!isMeasured) {
      // Connections are being opened, and the target's limit is still rising.
    } else if (error || response.result() != http::status::ok) {
      ++aOut.m_failed;
    } else {
      const Seconds latency = now() - sentAt;
      aOut.m_latenciesUs.push_back(latency.count() * 1e6);
    }
    if (error) {
      co_return;
    }
    next = std::max(next + aInterval, now());
  }
}

void
RunPass(const Endpoint& aServer, size_t aConnections, Measurements& aOut)
{
  asio::io_context context(1);
  const double intervalSeconds = static_cast<double>(aConnections) / FLAGS_rate;
  const Duration interval(static_cast<int64_t>(intervalSeconds * 1e9));
  for (size_t i = 0; i < aConnections; ++i) {
    const Duration offset =
      interval * static_cast<int64_t>(i) / static_cast<int64_t>(aConnections);
    asio::co_spawn(context,
                   SendAtFixedRate(aServer, interval, offset, aOut),
                   asio::detached);
  }
  context.run();
}

double
Quantile(std::vector<double>& aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto lastIndex = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<size_t>(lastIndex * aQuantile)];
}

void
Measure(const Endpoint& aDirect, const Endpoint& aEntry, size_t aConnections)
{
  Measurements direct;
  Measurements entry;
  for (uint32_t round = 0; round < FLAGS_rounds; ++round) {
    RunPass(aDirect, aConnections, direct);
    RunPass(aEntry, aConnections, entry);
  }
  for (const double quantile : { 0.5, 0.99, 0.999 }) {
    const double directUs = Quantile(direct.m_latenciesUs, quantile);
    const double entryUs = Quantile(entry.m_latenciesUs, quantile);
    std::printf("| %zu | p%g | %.0f | %.0f | %.0f |\n",
                aConnections,
                quantile * 100,
                directUs,
                entryUs,
                entryUs - directUs);
  }
  std::printf("| %zu | requests, failed | %zu, %zu | %zu, %zu | |\n",
              aConnections,
              direct.m_latenciesUs.size(),
              direct.m_failed,
              entry.m_latenciesUs.size(),
              entry.m_failed);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  Endpoint direct;
  Endpoint entry;
  if (!ParseEndpoint(FLAGS_direct, direct) ||
      !ParseEndpoint(FLAGS_entry, entry)) {
    std::fputs("added_latency: --direct and --entry must be IP:port\n", stderr);
    return 2;
  }
  std::puts(
    "| connections | quantity | direct us | through nodes us | added us |");
  std::puts("|---|---|---|---|---|");
  std::stringstream list(FLAGS_connections);
  std::string number;
  while (std::getline(list, number, ',')) {
    Measure(direct, entry, std::stoul(number));
  }
  return 0;
}
