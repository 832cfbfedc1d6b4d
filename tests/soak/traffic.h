// Callers of the soak test and the outcomes of their requests.
//
// Index of this file
//   [1] Outcomes
//   [2] Callers
#pragma once

#include "kernel/kernel.h"

#include <boost/asio/ip/tcp.hpp>

namespace sassafrasquay::soak {

//-----------------------------------------------------------------------------
// [1] Outcomes
//-----------------------------------------------------------------------------

enum class RequestKind : uint8_t
{
  Read,  // idempotent
  Write, // runs at most once
  Upload // runs at most once; the body is sent in parts
};

// How a request ended.
struct Outcome
{
  std::string m_id;
  RequestKind m_kind = RequestKind::Read;
  size_t m_node = 0;       // index of the entry node
  TimePoint m_startedAt{}; // sending starts, once connected
  TimePoint m_sentAt{};    // of the last byte; zero if it was not sent
  TimePoint m_endedAt{};
  bool m_connected = false;
  bool m_reusedConnection = false; // the connection was kept alive
  bool m_timedOut = false;
  unsigned m_status = 0;       // 0: no response
  bool m_complete = false;     // received in full, as framed by HTTP
  std::string m_responseError; // why it is invalid; empty if valid
};

//-----------------------------------------------------------------------------
// [2] Callers
//-----------------------------------------------------------------------------

// Sends requests one after the other to one node, over a keep-alive connection,
// until it is stopped.
class Caller
{
public:
  Caller(size_t aNode,
         Endpoint aServer,
         std::vector<std::string> aServices,
         std::string aName,
         uint64_t aSeed);

  asio::awaitable<void> Run();
  void Stop() { m_stopping = true; }
  const std::vector<Outcome>& Outcomes() const { return m_outcomes; }

private:
  asio::awaitable<void> SendNextRequest();

  size_t m_node;
  Endpoint m_server;
  std::vector<std::string> m_services;
  std::string m_name;
  SeededRandom m_random;
  std::vector<Outcome> m_outcomes;
  std::unique_ptr<asio::ip::tcp::socket> m_socket; // kept alive
  bool m_stopping = false;
};

} // namespace sassafrasquay::soak
