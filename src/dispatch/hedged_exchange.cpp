// The two copies of a hedged request.
#include "dispatch/hedged_exchange.h"

namespace sassafrasquay {

namespace {

constexpr uint16_t kMinFailureStatus = 500;

} // namespace

HedgedExchange::HedgedExchange(const asio::any_io_executor& aExecutor,
                               ResponseSink& aResponse)
  : m_response(aResponse)
  , m_changed(aExecutor)
{
  for (size_t i = 0; i < kCopies; ++i) {
    m_copies[i].m_sink.m_exchange = this;
    m_copies[i].m_sink.m_copy = i;
  }
}

asio::awaitable<void>
HedgedExchange::WaitUntilLost(size_t aCopy)
{
  while (!m_winner || m_winner == aCopy) {
    co_await m_changed.Wait();
  }
}

asio::awaitable<void>
HedgedExchange::WaitUntilSettled()
{
  while (!IsSettled()) {
    co_await m_changed.Wait();
  }
}

void
HedgedExchange::OnEnded(size_t aCopy, const CallResult& aResult)
{
  m_copies[aCopy].m_result = aResult;
  m_changed.Notify();
}

asio::awaitable<size_t>
HedgedExchange::Finish()
{
  if (m_winner) {
    co_return *m_winner;
  }
  for (size_t i = 0; i < kCopies; ++i) {
    CopySink& sink = m_copies[i].m_sink;
    if (!sink.m_failureHead) {
      continue;
    }
    std::error_code error =
      co_await m_response.WriteHead(std::move(*sink.m_failureHead));
    if (!error) {
      error = co_await m_response.WriteBody(sink.m_failureBody,
                                            sink.m_failureComplete);
    }
    if (error) {
      m_copies[i].m_result->m_code = ResultCode::CallerGone;
    }
    co_return i;
  }
  // Of two copies without a response, one that may have run decides whether the
  // request may be repeated.
  const auto& second = m_copies[1].m_result;
  const bool useSecond = second && second->m_executed != Executed::No;
  co_return useSecond ? 1 : 0;
}

// Returns whether this copy is the one whose response is forwarded.
bool
HedgedExchange::Claim(size_t aCopy)
{
  if (!m_winner) {
    m_winner = aCopy;
    m_changed.Notify();
  }
  return m_winner == aCopy;
}

asio::awaitable<std::error_code>
HedgedExchange::CopySink::WriteHead(ResponseHead aHead)
{
  if (aHead.m_status >= kMinFailureStatus && !m_exchange->m_winner) {
    m_failureHead = std::move(aHead);
    co_return std::error_code();
  }
  if (!m_exchange->Claim(m_copy)) {
    co_return make_error_code(ResultCode::CallerGone);
  }
  co_return co_await m_exchange->m_response.WriteHead(std::move(aHead));
}

asio::awaitable<std::error_code>
HedgedExchange::CopySink::WriteBody(std::string_view aBytes, bool aLast)
{
  if (m_exchange->m_winner == m_copy) {
    co_return co_await m_exchange->m_response.WriteBody(aBytes, aLast);
  }
  if (m_exchange->m_winner) {
    co_return make_error_code(ResultCode::CallerGone);
  }
  m_failureBody += aBytes;
  m_failureComplete = aLast;
  if (m_failureBody.size() <= kMaxInlineBodyBytes) {
    co_return std::error_code();
  }
  // Too long to wait for the other copy.
  m_exchange->Claim(m_copy);
  std::error_code error =
    co_await m_exchange->m_response.WriteHead(std::move(*m_failureHead));
  if (!error) {
    error = co_await m_exchange->m_response.WriteBody(m_failureBody, aLast);
  }
  co_return error;
}

} // namespace sassafrasquay
