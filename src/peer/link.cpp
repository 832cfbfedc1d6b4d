// Frames on a TCP connection, and the handshake.
#include "peer/link.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <sys/socket.h>

namespace sassafrasquay {

namespace {

constexpr size_t kReadBytes = 16 * 1024;
constexpr size_t kNonceBytes = 16;

std::error_code
ToStdError(const boost::system::error_code& aError)
{
  return aError;
}

} // namespace

Link::Link(tcp::socket aSocket, Clock& aClock)
  : m_socket(std::move(aSocket))
  , m_clock(aClock)
  , m_lastWriteStart(aClock.Now())
  , m_writeEnded(m_socket.get_executor())
{
  boost::system::error_code ignored;
  m_socket.set_option(tcp::no_delay(true), ignored);
}

void
Link::Queue(const CallId& aCall, FrameContent aContent)
{
  EncodeFrame(PeerFrame{ aCall, std::move(aContent) }, m_output);
}

asio::awaitable<std::error_code>
Link::Flush()
{
  while (m_writing) {
    co_await m_writeEnded.Wait();
  }
  if (m_output.empty()) {
    co_return std::error_code();
  }
  // Ends the write on every exit, including cancellation of the coroutine.
  struct WriteGuard
  {
    Link& m_link;
    bool m_complete = false;
    explicit WriteGuard(Link& aLink)
      : m_link(aLink)
    {
      m_link.m_writing = true;
    }
    ~WriteGuard()
    {
      m_link.m_writing = false;
      m_link.m_writeEnded.Notify();
      if (!m_complete) {
        m_link.Close(); // a partial frame may have been sent
      }
    }
  };
  WriteGuard guard(*this);
  const std::string bytes = std::move(m_output);
  m_output.clear();
  m_lastWriteStart = m_clock.Now();
  boost::system::error_code error;
  co_await asio::async_write(m_socket,
                             asio::buffer(bytes),
                             asio::redirect_error(asio::use_awaitable, error));
  guard.m_complete = !error;
  co_return ToStdError(error);
}

asio::awaitable<std::error_code>
Link::Send(const CallId& aCall, FrameContent aContent)
{
  Queue(aCall, std::move(aContent));
  co_return co_await Flush();
}

bool
Link::ParseFrame(PeerFrame& aFrame, std::error_code& aError)
{
  const size_t available = m_input.size() - m_inputOffset;
  if (available < kFramePrefixBytes) {
    return false;
  }
  const auto* begin =
    reinterpret_cast<const unsigned char*>(m_input.data()) + m_inputOffset;
  const uint32_t size = DecodeFramePrefix(begin);
  if (size > kMaxFrameBytes) {
    aError = ResultCode::FrameTooLarge;
    return true;
  }
  if (available < kFramePrefixBytes + size) {
    return false;
  }
  const std::string_view body(
    m_input.data() + m_inputOffset + kFramePrefixBytes, size);
  aError = DecodeFrame(body, aFrame);
  m_inputOffset += kFramePrefixBytes + size;
  if (m_inputOffset == m_input.size()) {
    m_input.clear();
    m_inputOffset = 0;
  }
  return true;
}

asio::awaitable<std::error_code>
Link::ReadSome()
{
  if (m_inputOffset > 0) {
    m_input.erase(0, m_inputOffset);
    m_inputOffset = 0;
  }
  std::array<char, kReadBytes> bytes;
  boost::system::error_code error;
  const size_t count = co_await m_socket.async_read_some(
    asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
  m_input.append(bytes.data(), count);
  co_return ToStdError(error);
}

asio::awaitable<std::error_code>
Link::Receive(PeerFrame& aFrame, Duration aTimeout)
{
  using namespace asio::experimental::awaitable_operators;
  std::error_code error;
  if (ParseFrame(aFrame, error)) {
    co_return error;
  }
  asio::steady_timer timer(m_socket.get_executor());
  if (aTimeout == Duration::max()) {
    timer.expires_at(asio::steady_timer::time_point::max());
  } else {
    timer.expires_after(aTimeout);
  }
  while (true) {
    const auto winner =
      co_await (ReadSome() || timer.async_wait(asio::use_awaitable));
    if (winner.index() == 1) {
      co_return std::make_error_code(std::errc::timed_out);
    }
    if (ParseFrame(aFrame, error)) {
      co_return error;
    }
    if (std::get<0>(winner)) {
      co_return std::get<0>(winner);
    }
  }
}

void
Link::Close()
{
  boost::system::error_code ignored;
  m_socket.close(ignored);
}

bool
Link::IsIdleAndOpen()
{
  if (!m_socket.is_open() || m_input.size() > m_inputOffset || m_writing) {
    return false;
  }
  char byte = 0;
  const auto count =
    ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

//-----------------------------------------------------------------------------
// Handshake
//-----------------------------------------------------------------------------

namespace {

std::string
MakeNonce(Random& aRandom)
{
  std::string nonce;
  while (nonce.size() < kNonceBytes) {
    uint64_t word = aRandom.Next();
    for (size_t i = 0; i < sizeof(word); ++i) {
      nonce.push_back(static_cast<char>(word & 0xFF));
      word >>= 8;
    }
  }
  return nonce;
}

// Returns the HMAC of the role, the peer's nonce and the sender's node id. The
// role prevents reflection of a tag back to its sender.
std::string
MakeTag(const std::string& aKey,
        char aRole,
        const std::string& aNonce,
        const NodeId& aNode)
{
  const std::string text =
    std::string(1, aRole) + aNonce + '\0' + aNode.m_value;
  std::array<unsigned char, EVP_MAX_MD_SIZE> tag{};
  unsigned length = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(text.data()),
       text.size(),
       tag.data(),
       &length);
  return { reinterpret_cast<const char*>(tag.data()), length };
}

// Compares in constant time.
bool
TagsEqual(const std::string& aLeft, const std::string& aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

bool
IsAuthentic(const PeerSettings& aSettings,
            char aRole,
            const std::string& aNonce,
            const NodeId& aNode,
            const std::string& aTag)
{
  if (TagsEqual(MakeTag(aSettings.m_key, aRole, aNonce, aNode), aTag)) {
    return true;
  }
  const std::string& previous = aSettings.m_previousKey;
  return !previous.empty() &&
         TagsEqual(MakeTag(previous, aRole, aNonce, aNode), aTag);
}

HelloFrame
MakeHello(const PeerSettings& aSettings, Random& aRandom)
{
  HelloFrame hello;
  hello.m_node = aSettings.m_node;
  hello.m_incarnation = aSettings.m_incarnation;
  hello.m_zone = aSettings.m_zone;
  hello.m_nonce = MakeNonce(aRandom);
  return hello;
}

std::error_code
ValidateHello(const PeerFrame& aFrame, HelloFrame& aHello)
{
  const auto* hello = std::get_if<HelloFrame>(&aFrame.m_content);
  if (hello == nullptr || hello->m_nonce.size() < kNonceBytes) {
    return ResultCode::MalformedFrame;
  }
  if (hello->m_version < kOldestProtocolVersion ||
      hello->m_oldestVersion > kProtocolVersion) {
    return ResultCode::ProtocolMismatch;
  }
  aHello = *hello;
  return {};
}

constexpr char kConnectingRole = 'c';
constexpr char kAcceptingRole = 'a';

} // namespace

asio::awaitable<std::error_code>
ConnectHandshake(Link& aLink, const PeerSettings& aSettings, Random& aRandom)
{
  const HelloFrame ownHello = MakeHello(aSettings, aRandom);
  std::error_code error = co_await aLink.Send({}, ownHello);
  if (error) {
    co_return error;
  }
  PeerFrame frame;
  error = co_await aLink.Receive(frame, aSettings.m_handshakeTimeout);
  if (error) {
    co_return error;
  }
  error = ValidateHello(frame, aLink.m_peerHello);
  if (error) {
    co_return error;
  }
  if (!IsAuthentic(aSettings,
                   kAcceptingRole,
                   ownHello.m_nonce,
                   aLink.m_peerHello.m_node,
                   aLink.m_peerHello.m_tag)) {
    co_return ResultCode::PeerNotAuthentic;
  }
  // Only queued, so that it is sent together with the first call.
  aLink.Queue({},
              AuthenticateFrame{ MakeTag(aSettings.m_key,
                                         kConnectingRole,
                                         aLink.m_peerHello.m_nonce,
                                         aSettings.m_node) });
  co_return std::error_code();
}

asio::awaitable<std::error_code>
AcceptHandshake(Link& aLink, const PeerSettings& aSettings, Random& aRandom)
{
  PeerFrame frame;
  std::error_code error =
    co_await aLink.Receive(frame, aSettings.m_handshakeTimeout);
  if (error) {
    co_return error;
  }
  error = ValidateHello(frame, aLink.m_peerHello);
  if (error) {
    co_return error;
  }
  HelloFrame ownHello = MakeHello(aSettings, aRandom);
  ownHello.m_tag = MakeTag(aSettings.m_key,
                           kAcceptingRole,
                           aLink.m_peerHello.m_nonce,
                           aSettings.m_node);
  error = co_await aLink.Send({}, ownHello);
  if (error) {
    co_return error;
  }
  error = co_await aLink.Receive(frame, aSettings.m_handshakeTimeout);
  if (error) {
    co_return error;
  }
  const auto* authenticate = std::get_if<AuthenticateFrame>(&frame.m_content);
  if (authenticate == nullptr || !IsAuthentic(aSettings,
                                              kConnectingRole,
                                              ownHello.m_nonce,
                                              aLink.m_peerHello.m_node,
                                              authenticate->m_tag)) {
    co_return ResultCode::PeerNotAuthentic;
  }
  co_return std::error_code();
}

} // namespace sassafrasquay
