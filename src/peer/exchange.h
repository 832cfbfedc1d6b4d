// One attempt on one link, connecting side. Internal to the peer library.
#pragma once

#include "peer/link.h"

namespace sassafrasquay {

class Exchange
{
public:
  Exchange(Link& aLink,
           const RequestHead& aHead,
           BodySource& aBody,
           ResponseSink& aAnswer,
           TimePoint aBegun,
           const PeerSettings& aSettings,
           Clock& aClock,
           const asio::any_io_executor& aExecutor);

  asio::awaitable<CallResult> Run();

  // Both directions ended as the protocol says: the link can be used again.
  bool IsClean() const { return m_clean; }
  // The link failed or went silent before the answer began.
  bool IsFateUnknown() const { return m_fateUnknown; }

private:
  asio::awaitable<CallResult> ReadAnswer();
  asio::awaitable<ResultCode> SendBody();
  asio::awaitable<bool> HandleFrame(const PeerFrame& aFrame);
  asio::awaitable<bool> PassChunk(const AnswerChunkFrame& aChunk);
  void HandleEnd(const EndedFrame& aFrame);
  void HandleClosing();
  void HandleLinkError(const std::error_code& aError);
  Duration ReceiveTimeout() const;

  Link& m_link;
  const RequestHead& m_head;
  BodySource& m_body;
  ResponseSink& m_answer;
  const PeerSettings& m_settings;
  Clock& m_clock;
  Event m_bodyMayStart; // after admission
  Event m_never;        // parks a branch that has nothing left to do
  TimePoint m_begun;    // of the attempt, for the age in the head
  TimePoint m_started;
  CallResult m_result;
  bool m_admitted = false;
  bool m_bodyDone = false;
  bool m_answerComplete = false;
  bool m_clean = false;
  bool m_fateUnknown = false;
};

} // namespace sassafrasquay
