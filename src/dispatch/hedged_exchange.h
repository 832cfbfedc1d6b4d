// The two copies of a hedged request. Internal to dispatch.
#pragma once

#include "call/call.h"
#include "kernel/kernel.h"

namespace sassafrasquay {

// Passes the response of one copy to the caller and holds back the other. The
// first copy whose response begins, and is no failure, wins; the other one is
// then abandoned.
class HedgedExchange
{
public:
  static constexpr size_t kCopies = 2;

  HedgedExchange(const asio::any_io_executor& aExecutor,
                 ResponseSink& aResponse);

  ResponseSink& Sink(size_t aCopy) { return m_copies[aCopy].m_sink; }
  // Returns once another copy has won.
  asio::awaitable<void> WaitUntilLost(size_t aCopy);
  // Returns once a copy has won or the first one has ended, so that no second
  // one is needed.
  asio::awaitable<void> WaitUntilSettled();
  bool IsSettled() const { return m_winner || m_copies[0].m_result; }
  void OnSecondSent() { m_secondSent = true; }
  bool IsSecondSent() const { return m_secondSent; }
  void OnEnded(size_t aCopy, const CallResult& aResult);

  bool HasWon(size_t aCopy) const { return m_winner == aCopy; }
  // nullopt for a copy that was not sent or was abandoned.
  const std::optional<CallResult>& Result(size_t aCopy) const
  {
    return m_copies[aCopy].m_result;
  }
  // Forwards a failure response if no copy has won. Returns the copy whose
  // result counts.
  asio::awaitable<size_t> Finish();

private:
  class CopySink : public ResponseSink
  {
  public:
    asio::awaitable<std::error_code> WriteHead(ResponseHead aHead) override;
    asio::awaitable<std::error_code> WriteBody(std::string_view aBytes,
                                               bool aLast) override;

    HedgedExchange* m_exchange = nullptr;
    size_t m_copy = 0;
    std::optional<ResponseHead> m_failureHead; // with m_failureBody
    std::string m_failureBody;
    bool m_failureComplete = false;
  };
  struct Copy
  {
    CopySink m_sink;
    std::optional<CallResult> m_result;
  };

  bool Claim(size_t aCopy);

  ResponseSink& m_response;
  std::array<Copy, kCopies> m_copies;
  std::optional<size_t> m_winner;
  bool m_secondSent = false;
  Event m_changed; // notified when a copy wins and when the first one ends
};

} // namespace sassafrasquay
