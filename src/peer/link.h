// One link between two nodes: framed messages on a TCP connection.
// Internal to the peer library.
#pragma once

#include "kernel/kernel.h"
#include "peer/peer.h"
#include "wire/wire.h"

#include <boost/asio/ip/tcp.hpp>

namespace sassafrasquay {

using asio::ip::tcp;

class Link
{
public:
  Link(tcp::socket aSocket, Clock& aClock);

  // Appends a frame to the output; Flush sends it.
  void Queue(const CallId& aCall, FrameContent aContent);
  // Sends all queued frames; concurrent calls wait for each other.
  asio::awaitable<std::error_code> Flush();
  // Queue and Flush.
  asio::awaitable<std::error_code> Send(const CallId& aCall,
                                        FrameContent aContent);
  // timed_out when no whole frame arrived within aTimeout. May be cancelled
  // and called again; no bytes are lost.
  asio::awaitable<std::error_code> Receive(PeerFrame& aFrame,
                                           Duration aTimeout);
  void Close();
  // False when the peer has closed the link or sent unexpected bytes; to be
  // asked before an idle link is used again.
  bool IsIdleAndOpen();
  bool IsWriting() const { return m_writing; }
  // When this side began to write its last frames. The other side took the
  // link for its next exchange only after it had received them.
  TimePoint LastSent() const { return m_lastSent; }

  HelloFrame m_peer; // as received in the handshake

private:
  asio::awaitable<std::error_code> ReadSome();
  // True when a whole frame stood in the input; aError tells if it is bad.
  bool TakeFrame(PeerFrame& aFrame, std::error_code& aError);

  tcp::socket m_socket;
  Clock& m_clock;
  TimePoint m_lastSent;
  std::string m_in;     // received bytes from m_inBegin on
  size_t m_inBegin = 0; // consumed bytes at the start of m_in
  std::string m_out;    // encoded frames not yet written
  bool m_writing = false;
  Event m_written;
};

// Runs the handshake of the connecting side. PeerNotAuthentic or
// ProtocolMismatch when the peers do not agree.
asio::awaitable<std::error_code>
ConnectHandshake(Link& aLink, const PeerSettings& aSettings, Random& aRandom);
// Runs the handshake of the accepting side.
asio::awaitable<std::error_code>
AcceptHandshake(Link& aLink, const PeerSettings& aSettings, Random& aRandom);

} // namespace sassafrasquay
