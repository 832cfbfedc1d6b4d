// Proxy on loopback that injects faults into the link between two processes.
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
  Delay,         // data is forwarded 60 ms late
  Reset,         // open and new connections are reset
  Block,         // nothing is forwarded; connections stay open
  BlockToServer, // nothing is forwarded to the server
  BlockToClient, // nothing is forwarded to the client
  BlackholeOpen  // open connections lose all data, new ones work
};

// Forwards TCP connections, and optionally UDP datagrams, from one address to
// another. Datagrams that can't be forwarded at once are dropped, never
// delayed. All methods run on the executor's thread.
class FaultProxy
{
public:
  FaultProxy(asio::any_io_executor aExecutor,
             const Endpoint& aListen,
             const Endpoint& aServer,
             bool aWithUdp);

  void SetFault(LinkFault aFault);
  void Close();

private:
  struct Connection
  {
    asio::ip::tcp::socket m_client;
    asio::ip::tcp::socket m_server;
    bool m_blackholed = false;
  };
  // Socket for the datagrams of one sender, so replies can be returned to it.
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
  asio::awaitable<void> Relay(std::shared_ptr<Connection> aConnection,
                              Direction aDirection);
  asio::awaitable<void> ReceiveDatagrams();
  asio::awaitable<void> RelayReplies(std::shared_ptr<Session> aSession);
  // Waits for the link's delay and until the direction is not blocked.
  asio::awaitable<void> WaitForLink(Direction aDirection);
  bool IsBlocked(Direction aDirection) const;
  static void ResetBoth(Connection& aConnection);

  asio::any_io_executor m_executor;
  asio::ip::tcp::endpoint m_server;
  asio::ip::tcp::acceptor m_acceptor;
  std::optional<asio::ip::udp::socket> m_udpSocket;
  std::map<asio::ip::udp::endpoint, std::shared_ptr<Session>> m_sessions;
  std::list<std::weak_ptr<Connection>> m_connections;
  Event m_faultChanged;
  LinkFault m_fault = LinkFault::None;
  bool m_closed = false;
};

} // namespace sassafrasquay::soak
