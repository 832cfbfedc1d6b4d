// Sockets and HTTP/1.1 messages.
#include "world.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstring>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

const auto g_start = std::chrono::steady_clock::now();
std::mutex g_recordMutex;
FILE* g_record = nullptr;

bool
WaitFor(int aFd, short aEvents, double aUntil)
{
  while (true) {
    const double left = aUntil - Now();
    if (left <= 0) {
      return false;
    }
    pollfd entry = { aFd, aEvents, 0 };
    const int count =
      poll(&entry, 1, static_cast<int>(std::min(left, 60.0) * 1000) + 1);
    if (count > 0) {
      return true;
    }
    if (count < 0 && errno != EINTR) {
      return false;
    }
  }
}

sockaddr_in
ToSockaddr(const Address& aAddress)
{
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.m_port);
  inet_pton(AF_INET, aAddress.m_ip.c_str(), &address.sin_addr);
  return address;
}

} // namespace

double
Now()
{
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       g_start)
    .count();
}

void
SleepFor(double aSeconds)
{
  if (aSeconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
  }
}

void
SleepUntil(double aTime)
{
  SleepFor(aTime - Now());
}

void
Record::Open(const std::string& aPath)
{
  g_record = fopen(aPath.c_str(), "w");
}

void
Record::Line(const char* aFormat, ...)
{
  const std::lock_guard lock(g_recordMutex);
  va_list arguments;
  va_start(arguments, aFormat);
  FILE* out = g_record != nullptr ? g_record : stdout;
  fprintf(out, "%8.3f ", Now());
  vfprintf(out, aFormat, arguments);
  fputc('\n', out);
  fflush(out);
  va_end(arguments);
}

std::string
Message::Header(std::string_view aName) const
{
  for (const auto& [name, value] : m_headers) {
    if (name.size() == aName.size() &&
        strncasecmp(name.data(), aName.data(), name.size()) == 0) {
      return value;
    }
  }
  return {};
}

int
Message::Status() const
{
  if (!m_startLine.starts_with("HTTP/1.") || m_startLine.size() < 12) {
    return 0;
  }
  return atoi(m_startLine.c_str() + 9);
}

std::string
Message::Method() const
{
  return m_startLine.substr(0, m_startLine.find(' '));
}

std::string
Message::Target() const
{
  const size_t begin = m_startLine.find(' ') + 1;
  return m_startLine.substr(begin, m_startLine.find(' ', begin) - begin);
}

bool
Connection::Connect(const Address& aAddress, double aTimeout)
{
  Close();
  m_buffer.clear();
  m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const sockaddr_in address = ToSockaddr(aAddress);
  const int result =
    connect(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (result == 0) {
    return true;
  }
  int error = errno;
  if (error == EINPROGRESS && WaitFor(m_fd, POLLOUT, Now() + aTimeout)) {
    socklen_t size = sizeof error;
    getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error == 0) {
      return true;
    }
  }
  Close();
  return false;
}

void
Connection::Close()
{
  if (m_fd >= 0) {
    close(m_fd);
    m_fd = -1;
  }
}

void
Connection::Reset()
{
  if (m_fd >= 0) {
    const linger immediately = { 1, 0 };
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
    Close();
  }
}

bool
Connection::Write(std::string_view aBytes, double aUntil)
{
  while (!aBytes.empty()) {
    const ssize_t sent = send(m_fd, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      aBytes.remove_prefix(static_cast<size_t>(sent));
    } else if (errno == EAGAIN) {
      if (!WaitFor(m_fd, POLLOUT, aUntil)) {
        return false;
      }
    } else if (errno != EINTR) {
      return false;
    }
  }
  return true;
}

bool
Connection::Fill(double aUntil)
{
  while (true) {
    char bytes[65536];
    const ssize_t count = recv(m_fd, bytes, sizeof bytes, 0);
    if (count > 0) {
      m_buffer.append(bytes, static_cast<size_t>(count));
      return true;
    }
    if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
      return false;
    }
    if (errno == EAGAIN && !WaitFor(m_fd, POLLIN, aUntil)) {
      return false;
    }
  }
}

std::optional<std::string>
Connection::TakeLine(double aUntil)
{
  size_t end = 0;
  while ((end = m_buffer.find("\r\n")) == std::string::npos) {
    if (m_buffer.size() > 65536 || !Fill(aUntil)) {
      return std::nullopt;
    }
  }
  std::string line = m_buffer.substr(0, end);
  m_buffer.erase(0, end + 2);
  return line;
}

bool
Connection::TakeBytes(size_t aCount, double aUntil, std::string& aOut)
{
  while (m_buffer.size() < aCount) {
    if (!Fill(aUntil)) {
      return false;
    }
  }
  aOut.append(m_buffer, 0, aCount);
  m_buffer.erase(0, aCount);
  return true;
}

std::optional<Message>
Connection::Read(double aUntil, bool aIsResponse)
{
  Message message;
  std::optional<std::string> line = TakeLine(aUntil);
  if (!line || line->empty()) {
    return std::nullopt;
  }
  message.m_startLine = *line;
  while ((line = TakeLine(aUntil)) && !line->empty()) {
    const size_t colon = line->find(':');
    if (colon == std::string::npos) {
      return std::nullopt;
    }
    size_t begin = colon + 1;
    while (begin < line->size() && (*line)[begin] == ' ') {
      ++begin;
    }
    message.m_headers.emplace_back(line->substr(0, colon), line->substr(begin));
  }
  if (!line) {
    return std::nullopt;
  }
  if (!message.Header("Transfer-Encoding").empty()) {
    while (true) {
      line = TakeLine(aUntil);
      if (!line) {
        return std::nullopt;
      }
      const size_t size = strtoul(line->c_str(), nullptr, 16);
      std::string end;
      if (!TakeBytes(size, aUntil, message.m_body) ||
          !TakeBytes(2, aUntil, end)) {
        return std::nullopt;
      }
      if (size == 0) {
        return message;
      }
    }
  }
  const std::string length = message.Header("Content-Length");
  if (!length.empty()) {
    if (!TakeBytes(
          strtoul(length.c_str(), nullptr, 10), aUntil, message.m_body)) {
      return std::nullopt;
    }
  } else if (aIsResponse && message.Status() != 204) {
    while (Fill(aUntil)) {
    }
    message.m_body = std::move(m_buffer);
    m_buffer.clear();
  }
  return message;
}

bool
Connection::IsPeerClosed() const
{
  char byte = 0;
  const ssize_t count = recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

Listener::Listener(const Address& aAddress, Serve aServe)
  : m_address(aAddress)
  , m_serve(std::move(aServe))
{
  m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = ToSockaddr(aAddress);
  if (bind(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
        0 ||
      listen(m_fd, 512) != 0) {
    fprintf(stderr,
            "cannot listen at %s: %s\n",
            aAddress.Text().c_str(),
            strerror(errno));
    _exit(2);
  }
  m_acceptor = std::thread([this] { AcceptLoop(); });
}

Listener::~Listener()
{
  Abort();
  m_acceptor.join();
  std::unique_lock lock(m_mutex);
  m_idle.wait(lock, [this] { return m_threads == 0; });
}

void
Listener::Abort()
{
  if (m_stopped.exchange(true)) {
    return;
  }
  shutdown(m_fd, SHUT_RDWR); // ends accept()
  const std::lock_guard lock(m_mutex);
  for (Connection* connection : m_connections) {
    const linger immediately = { 1, 0 };
    setsockopt(connection->Fd(),
               SOL_SOCKET,
               SO_LINGER,
               &immediately,
               sizeof immediately);
    shutdown(connection->Fd(), SHUT_RDWR);
  }
}

void
Listener::AcceptLoop()
{
  while (!m_stopped) {
    const int fd =
      accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (fd < 0) {
      if (m_stopped) {
        break;
      }
      SleepFor(0.001);
      continue;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    {
      const std::lock_guard lock(m_mutex);
      ++m_threads;
    }
    std::thread([this, fd] {
      Connection connection(fd);
      std::list<Connection*>::iterator entry;
      {
        const std::lock_guard lock(m_mutex);
        entry = m_connections.insert(m_connections.end(), &connection);
      }
      if (!m_stopped) {
        m_serve(connection);
      }
      const std::lock_guard lock(m_mutex);
      m_connections.erase(entry);
      if (m_stopped) {
        connection.Reset();
      } else {
        connection.Close();
      }
      --m_threads;
      m_idle.notify_all();
    }).detach();
  }
  close(m_fd);
}

} // namespace review
