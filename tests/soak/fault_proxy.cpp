// Links with faults for the soak.
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
constexpr Duration kDelay = std::chrono::milliseconds(60);
constexpr size_t kPieceBytes = 16 * 1024;
constexpr size_t kDatagramBytes = 2048;

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
                       bool aDatagrams)
  : m_executor(std::move(aExecutor))
  , m_server(ToAsio<tcp>(aServer))
  , m_acceptor(m_executor, ToAsio<tcp>(aListen))
  , m_changed(m_executor)
{
  asio::co_spawn(m_executor, Accept(), asio::detached);
  if (aDatagrams) {
    m_datagrams.emplace(m_executor, ToAsio<udp>(aListen));
    asio::co_spawn(m_executor, ReceiveDatagrams(), asio::detached);
  }
}

void
FaultProxy::Set(LinkFault aFault)
{
  m_fault = aFault;
  for (const auto& weak : m_connections) {
    const auto connection = weak.lock();
    if (connection && aFault == LinkFault::Reset) {
      ResetBoth(*connection);
    }
    if (connection && aFault == LinkFault::ForgetOpen) {
      connection->m_forgotten = true;
    }
  }
  m_connections.remove_if([](const auto& aWeak) { return aWeak.expired(); });
  m_changed.Notify();
}

void
FaultProxy::Close()
{
  m_closed = true;
  Set(LinkFault::Reset);
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
  if (m_datagrams) {
    m_datagrams->close(ignored);
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
FaultProxy::Blocks(Direction aDirection) const
{
  return m_fault == LinkFault::Silence ||
         (m_fault == LinkFault::CutToServer &&
          aDirection == Direction::ToServer) ||
         (m_fault == LinkFault::CutToClient &&
          aDirection == Direction::ToClient);
}

asio::awaitable<void>
FaultProxy::Hold(Direction aDirection)
{
  if (m_fault == LinkFault::Delay) {
    asio::steady_timer timer(m_executor, kDelay);
    co_await timer.async_wait(kAwait);
  }
  while (Blocks(aDirection)) {
    co_await m_changed.Wait();
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
  co_await Hold(Direction::ToServer);
  const auto [error] =
    co_await aConnection->m_server.async_connect(m_server, kAwait);
  if (error) {
    ResetBoth(*aConnection); // as a port without a listener does
    co_return;
  }
  boost::system::error_code ignored;
  aConnection->m_client.set_option(tcp::no_delay(true), ignored);
  aConnection->m_server.set_option(tcp::no_delay(true), ignored);
  asio::co_spawn(
    m_executor, Pump(aConnection, Direction::ToClient), asio::detached);
  co_await Pump(aConnection, Direction::ToServer);
}

asio::awaitable<void>
FaultProxy::Pump(std::shared_ptr<Connection> aConnection, Direction aDirection)
{
  const bool toServer = aDirection == Direction::ToServer;
  tcp::socket& from = toServer ? aConnection->m_client : aConnection->m_server;
  tcp::socket& to = toServer ? aConnection->m_server : aConnection->m_client;
  std::vector<char> bytes(kPieceBytes);
  while (true) {
    const auto [error, size] =
      co_await from.async_read_some(asio::buffer(bytes), kAwait);
    if (aConnection->m_forgotten && !error) {
      continue; // the sender is never told
    }
    co_await Hold(aDirection);
    if (error == asio::error::eof && !aConnection->m_forgotten) {
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
  std::vector<char> bytes(kDatagramBytes);
  const udp::endpoint server(m_server.address(), m_server.port());
  while (!m_closed) {
    udp::endpoint sender;
    const auto [error, size] = co_await m_datagrams->async_receive_from(
      asio::buffer(bytes), sender, kAwait);
    const bool lost =
      m_fault == LinkFault::Reset || Blocks(Direction::ToServer);
    if (error || lost) {
      continue;
    }
    std::shared_ptr<Session>& session = m_sessions[sender];
    if (!session) {
      const udp::endpoint any(m_server.address(), 0);
      session = std::make_shared<Session>(
        Session{ udp::socket(m_executor, any), sender });
      asio::co_spawn(m_executor, ReturnDatagrams(session), asio::detached);
    }
    boost::system::error_code ignored;
    session->m_socket.send_to(
      asio::buffer(bytes.data(), size), server, 0, ignored);
  }
}

asio::awaitable<void>
FaultProxy::ReturnDatagrams(std::shared_ptr<Session> aSession)
{
  std::vector<char> bytes(kDatagramBytes);
  while (!m_closed) {
    udp::endpoint server;
    const auto [error, size] = co_await aSession->m_socket.async_receive_from(
      asio::buffer(bytes), server, kAwait);
    const bool lost =
      m_fault == LinkFault::Reset || Blocks(Direction::ToClient);
    if (error || lost) {
      continue;
    }
    boost::system::error_code ignored;
    m_datagrams->send_to(
      asio::buffer(bytes.data(), size), aSession->m_sender, 0, ignored);
  }
}

} // namespace sassafrasquay::soak
