// Sinks and sources between the dispatcher and the ends of a call. Internal to
// dispatch.
#pragma once

#include "call/call.h"

namespace sassafrasquay {

// Buffers a failure response of the target, so that the request can be retried
// at another target. Forwards every other response.
class FailureBuffer : public ResponseSink
{
public:
  FailureBuffer(ResponseSink& aSink, bool aBufferFailures)
    : m_sink(aSink)
    , m_bufferFailures(aBufferFailures)
  {
  }

  asio::awaitable<void> Admitted() override { return m_sink.Admitted(); }
  asio::awaitable<std::error_code> WriteHead(ResponseHead aHead) override
  {
    if (m_bufferFailures && aHead.m_status >= kMinFailureStatus) {
      m_head = std::move(aHead);
      m_body.clear();
      m_complete = false;
      co_return std::error_code();
    }
    m_forwarded = true;
    co_return co_await m_sink.WriteHead(std::move(aHead));
  }
  asio::awaitable<std::error_code> WriteBody(std::string_view aBytes,
                                             bool aLast) override
  {
    if (m_forwarded) {
      co_return co_await m_sink.WriteBody(aBytes, aLast);
    }
    m_body += aBytes;
    m_complete = aLast;
    if (m_body.size() > kMaxInlineBodyBytes) {
      co_return co_await Flush();
    }
    co_return std::error_code();
  }

  // Whether a complete failure response is buffered and nothing was forwarded.
  bool HasFailure() const { return !m_forwarded && m_complete; }
  asio::awaitable<std::error_code> Flush()
  {
    m_forwarded = true;
    std::error_code error = co_await m_sink.WriteHead(std::move(*m_head));
    if (!error) {
      error = co_await m_sink.WriteBody(m_body, m_complete);
    }
    co_return error;
  }

private:
  static constexpr uint16_t kMinFailureStatus = 500;

  ResponseSink& m_sink;
  bool m_bufferFailures;
  std::optional<ResponseHead> m_head;
  std::string m_body;
  bool m_complete = false;
  bool m_forwarded = false;
};

// Counts the bytes of a response body.
class CountingSink : public ResponseSink
{
public:
  explicit CountingSink(ResponseSink& aSink)
    : m_sink(aSink)
  {
  }

  asio::awaitable<void> Admitted() override { return m_sink.Admitted(); }
  asio::awaitable<std::error_code> WriteHead(ResponseHead aHead) override
  {
    return m_sink.WriteHead(std::move(aHead));
  }
  asio::awaitable<std::error_code> WriteBody(std::string_view aBytes,
                                             bool aLast) override
  {
    m_bytes += aBytes.size();
    return m_sink.WriteBody(aBytes, aLast);
  }
  uint64_t Bytes() const { return m_bytes; }

private:
  ResponseSink& m_sink;
  uint64_t m_bytes = 0;
};

// Body source of a request whose head contains the whole body.
class EmptyBodySource : public BodySource
{
public:
  asio::awaitable<BodyChunk> Read() override
  {
    co_return BodyChunk{ {}, {}, true };
  }
};

} // namespace sassafrasquay
