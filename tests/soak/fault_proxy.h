// A proxy on loopback that harms the link between two processes.
#pragma once

#include "kernel/kernel.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <list>
#include <map>
#include <optional>

namespace sassafrasquay::soak {

enum class LinkFault : uint8_t
{
  None,
  Delay,       // each piece waits before it is passed on
  Reset,       // open connections are reset, new ones as well
  Silence,     // nothing passes; connections stay open
  CutToServer, // nothing passes to the server
  CutToClient, // nothing passes to the client
  ForgetOpen   // open connections go silent for good, new ones work
};

// Passes TCP connections, and datagrams if asked, from one address to another.
// All methods run on the executor's thread.
class FaultProxy
{
public:
  FaultProxy(asio::any_io_executor aExecutor,
             const Endpoint& aListen,
             const Endpoint& aServer,
             bool aDatagrams);

  void Set(LinkFault aFault);
  void Close();

private:
  struct Connection
  {
    asio::ip::tcp::socket m_client;
    asio::ip::tcp::socket m_server;
    bool m_forgotten = false;
  };
  // Replies to a sender of datagrams come back through a socket of its own.
  struct Session
  {
    asio::ip::udp::socket m_socket;
    asio::ip::udp::endpoint m_sender;
  };
  enum class Direction : uint8_t
  {
    ToServer,
    ToClient
  };

  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(std::shared_ptr<Connection> aConnection);
  asio::awaitable<void> Pump(std::shared_ptr<Connection> aConnection,
                             Direction aDirection);
  asio::awaitable<void> ReceiveDatagrams();
  asio::awaitable<void> ReturnDatagrams(std::shared_ptr<Session> aSession);
  asio::awaitable<void> Hold(Direction aDirection);
  bool Blocks(Direction aDirection) const;
  static void ResetBoth(Connection& aConnection);

  asio::any_io_executor m_executor;
  asio::ip::tcp::endpoint m_server;
  asio::ip::tcp::acceptor m_acceptor;
  std::optional<asio::ip::udp::socket> m_datagrams;
  std::map<asio::ip::udp::endpoint, std::shared_ptr<Session>> m_sessions;
  std::list<std::weak_ptr<Connection>> m_connections;
  Event m_changed;
  LinkFault m_fault = LinkFault::None;
  bool m_closed = false;
};

} // namespace sassafrasquay::soak
