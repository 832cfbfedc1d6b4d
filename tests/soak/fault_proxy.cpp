// Link faults for the soak test.
#include "soak/fault_proxy.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace sassafrasquay::soak {

namespace {

using asio::ip::tcp;
using asio::ip::udp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr Duration kLinkDelay = std::chrono::milliseconds(60);
constexpr size_t kReadBufferBytes = 16 * 1024;
constexpr size_t kMaxDatagramBytes = 2048;

template<class Protocol>
typename Protocol::endpoint
ToAsio(const Endpoint& aEndpoint)
{
  return { asio::ip::make_address(aEndpoint.m_address), aEndpoint.m_port };
}

} // namespace

FaultProxy::FaultProxy(asio::any_io_executor aExecutor,
                       const Endpoint& aListen,
                       const Endpoint& aServer,
                       bool aWithUdp)
  : m_executor(std::move(aExecutor))
  , m_server(ToAsio<tcp>(aServer))
  , m_acceptor(m_executor, ToAsio<tcp>(aListen))
  , m_faultChanged(m_executor)
{
  asio::co_spawn(m_executor, Accept(), asio::detached);
  if (aWithUdp) {
    m_udpSocket.emplace(m_executor, ToAsio<udp>(aListen));
    asio::co_spawn(m_executor, ReceiveDatagrams(), asio::detached);
  }
}

void
FaultProxy::SetFault(LinkFault aFault)
{
  m_fault = aFault;
  for (const auto& weakConnection : m_connections) {
    const auto connection = weakConnection.lock();
    if (connection && aFault == LinkFault::Reset) {
      ResetBoth(*connection);
    }
    if (connection && aFault == LinkFault::BlackholeOpen) {
      connection->m_blackholed = true;
    }
  }
  m_connections.remove_if([](const auto& aWeak) { return aWeak.expired(); });
  m_faultChanged.Notify();
}

void
FaultProxy::Close()
{
  m_closed = true;
  SetFault(LinkFault::Reset);
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
  if (m_udpSocket) {
    m_udpSocket->close(ignored);
  }
  for (auto& [sender, session] : m_sessions) {
    session->m_socket.close(ignored);
  }
}

void
FaultProxy::ResetBoth(Connection& aConnection)
{
  boost::system::error_code ignored;
  for (tcp::socket* socket : { &aConnection.m_client, &aConnection.m_server }) {
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
}

bool
FaultProxy::IsBlocked(Direction aDirection) const
{
  return m_fault == LinkFault::Block ||
         (m_fault == LinkFault::BlockToServer &&
          aDirection == Direction::ToServer) ||
         (m_fault == LinkFault::BlockToClient &&
          aDirection == Direction::ToClient);
}

asio::awaitable<void>
FaultProxy::WaitForLink(Direction aDirection)
{
  if (m_fault == LinkFault::Delay) {
    asio::steady_timer timer(m_executor, kLinkDelay);
    co_await timer.async_wait(kAwait);
  }
  while (IsBlocked(aDirection)) {
    co_await m_faultChanged.Wait();
  }
}

asio::awaitable<void>
FaultProxy::Accept()
{
  while (!m_closed) {
    auto [error, socket] = co_await m_acceptor.async_accept(kAwait);
    if (error) {
      continue;
    }
    auto connection = std::make_shared<Connection>(
      Connection{ std::move(socket), tcp::socket(m_executor) });
    if (m_fault == LinkFault::Reset) {
      ResetBoth(*connection);
      continue;
    }
    m_connections.emplace_back(connection);
    asio::co_spawn(m_executor, Serve(std::move(connection)), asio::detached);
  }
}

asio::awaitable<void>
FaultProxy::Serve(std::shared_ptr<Connection> aConnection)
{
  co_await WaitForLink(Direction::ToServer);
  const auto [error] =
    co_await aConnection->m_server.async_connect(m_server, kAwait);
  if (error) {
    ResetBoth(*aConnection); // like a port without a listener
    co_return;
  }
  boost::system::error_code ignored;
  aConnection->m_client.set_option(tcp::no_delay(true), ignored);
  aConnection->m_server.set_option(tcp::no_delay(true), ignored);
  asio::co_spawn(
    m_executor, Relay(aConnection, Direction::ToClient), asio::detached);
  co_await Relay(aConnection, Direction::ToServer);
}

asio::awaitable<void>
FaultProxy::Relay(std::shared_ptr<Connection> aConnection, Direction aDirection)
{
  const bool toServer = aDirection == Direction::ToServer;
  tcp::socket& from = toServer ? aConnection->m_client : aConnection->m_server;
  tcp::socket& to = toServer ? aConnection->m_server : aConnection->m_client;
  std::vector<char> bytes(kReadBufferBytes);
  while (true) {
    const auto [error, size] =
      co_await from.async_read_some(asio::buffer(bytes), kAwait);
    if (aConnection->m_blackholed && !error) {
      continue; // discarded; the sender gets no error
    }
    co_await WaitForLink(aDirection);
    if (error == asio::error::eof && !aConnection->m_blackholed) {
      boost::system::error_code ignored;
      to.shutdown(tcp::socket::shutdown_send, ignored);
      co_return;
    }
    if (error) {
      ResetBoth(*aConnection);
      co_return;
    }
    const auto [writeError, written] =
      co_await asio::async_write(to, asio::buffer(bytes.data(), size), kAwait);
    if (writeError) {
      ResetBoth(*aConnection);
      co_return;
    }
  }
}

asio::awaitable<void>
FaultProxy::ReceiveDatagrams()
{
  std::vector<char> bytes(kMaxDatagramBytes);
  const udp::endpoint server(m_server.address(), m_server.port());
  while (!m_closed) {
    udp::endpoint sender;
    const auto [error, size] = co_await m_udpSocket->async_receive_from(
      asio::buffer(bytes), sender, kAwait);
    const bool lost =
      m_fault == LinkFault::Reset || IsBlocked(Direction::ToServer);
    if (error || lost) {
      continue;
    }
    std::shared_ptr<Session>& session = m_sessions[sender];
    if (!session) {
      const udp::endpoint any(m_server.address(), 0);
      session = std::make_shared<Session>(
        Session{ udp::socket(m_executor, any), sender });
      asio::co_spawn(m_executor, RelayReplies(session), asio::detached);
    }
    boost::system::error_code ignored;
    session->m_socket.send_to(
      asio::buffer(bytes.data(), size), server, 0, ignored);
  }
}

asio::awaitable<void>
FaultProxy::RelayReplies(std::shared_ptr<Session> aSession)
{
  std::vector<char> bytes(kMaxDatagramBytes);
  while (!m_closed) {
    udp::endpoint server;
    const auto [error, size] = co_await aSession->m_socket.async_receive_from(
      asio::buffer(bytes), server, kAwait);
    const bool lost =
      m_fault == LinkFault::Reset || IsBlocked(Direction::ToClient);
    if (error || lost) {
      continue;
    }
    boost::system::error_code ignored;
    m_udpSocket->send_to(
      asio::buffer(bytes.data(), size), aSession->m_sender, 0, ignored);
  }
}

} // namespace sassafrasquay::soak
