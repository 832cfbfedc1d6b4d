// Callers of the soak and what they saw.
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
  Read,  // may run more than once
  Write, // at most once
  Upload // at most once, with a body sent in parts
};

// What one request met.
struct Outcome
{
  std::string m_id;
  RequestKind m_kind = RequestKind::Read;
  size_t m_node = 0;   // the entry node
  TimePoint m_began{}; // the first byte is sent
  TimePoint m_sent{};  // the last byte was sent; zero: not all was
  TimePoint m_ended{};
  bool m_connected = false;
  bool m_kept = false; // on a connection that had carried another request
  bool m_timedOut = false;
  unsigned m_status = 0; // 0: no answer
  bool m_whole = false;  // the answer arrived and ended as HTTP requires
  std::string m_fault;   // why the answer is not the instance's to this request
};

//-----------------------------------------------------------------------------
// [2] Callers
//-----------------------------------------------------------------------------

// Keeps connections to one node and sends requests one after the other until
// it is stopped.
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
  asio::awaitable<void> SendOne();

  size_t m_node;
  Endpoint m_server;
  std::vector<std::string> m_services;
  std::string m_name;
  SeededRandom m_random;
  std::vector<Outcome> m_outcomes;
  std::unique_ptr<asio::ip::tcp::socket> m_socket; // kept between requests
  bool m_stopping = false;
};

} // namespace sassafrasquay::soak
