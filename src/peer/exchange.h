// One call attempt on one link, connecting side. Internal to the peer library.
#pragma once

#include "peer/link.h"

namespace sassafrasquay {

class Exchange
{
public:
  Exchange(Link& aLink,
           const RequestHead& aHead,
           BodySource& aBody,
           ResponseSink& aResponse,
           TimePoint aAttemptStart,
           const PeerSettings& aSettings,
           Clock& aClock,
           const asio::any_io_executor& aExecutor);

  asio::awaitable<CallResult> Run();

  // Returns true when both directions ended cleanly, so that the link can be
  // used for another exchange.
  bool IsLinkReusable() const { return m_linkReusable; }
  // Returns true when the link failed or timed out before the response head and
  // before the deadline.
  bool IsOutcomeUnknown() const { return m_outcomeUnknown; }

private:
  asio::awaitable<CallResult> ReadResponse();
  asio::awaitable<ResultCode> SendBody();
  // Return true when the exchange has ended.
  asio::awaitable<bool> HandleFrame(const PeerFrame& aFrame);
  asio::awaitable<bool> ForwardChunk(const ResponseChunkFrame& aChunk);
  void HandleResult(const CallResultFrame& aFrame);
  void HandleClosing();
  void HandleLinkError(const std::error_code& aError);
  Duration ReceiveTimeout() const;

  Link& m_link;
  const RequestHead& m_head;
  BodySource& m_body;
  ResponseSink& m_response;
  const PeerSettings& m_settings;
  Clock& m_clock;
  Event m_admittedEvent;    // notified on admission; the body may then be sent
  Event m_neverNotified;    // suspends a branch that has nothing left to do
  TimePoint m_attemptStart; // for the age in the request head
  TimePoint m_sendStart;    // of the request on this link
  CallResult m_result;
  bool m_admitted = false;
  bool m_bodyDone = false;
  bool m_responseComplete = false;
  bool m_linkReusable = false;
  bool m_outcomeUnknown = false;
};

} // namespace sassafrasquay
