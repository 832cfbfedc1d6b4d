// A link between two nodes: frames on a TCP connection. Internal to the peer
// library.
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

  // Appends a frame to the output buffer; Flush sends it.
  void Queue(const CallId& aCall, FrameContent aContent);
  // Sends all queued frames. Concurrent calls run one after another.
  asio::awaitable<std::error_code> Flush();
  asio::awaitable<std::error_code> Send(const CallId& aCall,
                                        FrameContent aContent);
  // Returns timed_out when no complete frame arrives within aTimeout. May be
  // cancelled and called again; no bytes are lost.
  asio::awaitable<std::error_code> Receive(PeerFrame& aFrame,
                                           Duration aTimeout);
  void Close();
  // Returns false when the peer has closed the link or sent unexpected bytes,
  // or a write is in progress. Call it before an idle link is reused.
  bool IsIdleAndOpen();
  bool IsWriting() const { return m_writing; }
  // Time at which this side began to write its last frames. The peer starts its
  // next exchange on this link only after it has received them.
  TimePoint LastWriteStart() const { return m_lastWriteStart; }

  HelloFrame m_peerHello; // received in the handshake

private:
  asio::awaitable<std::error_code> ReadSome();
  // Returns true when the input holds a complete frame or one that is too
  // large. aError is set when the frame is invalid.
  bool ParseFrame(PeerFrame& aFrame, std::error_code& aError);

  tcp::socket m_socket;
  Clock& m_clock;
  TimePoint m_lastWriteStart;
  std::string m_input;      // received bytes
  size_t m_inputOffset = 0; // parsed bytes at the start of m_input
  std::string m_output;     // encoded frames not yet written
  bool m_writing = false;
  Event m_writeEnded; // notified when a write ends
};

// Runs the handshake of the connecting side. Returns PeerNotAuthentic when the
// peer's key does not match and ProtocolMismatch when the versions do not
// overlap.
asio::awaitable<std::error_code>
ConnectHandshake(Link& aLink, const PeerSettings& aSettings, Random& aRandom);
// Runs the handshake of the accepting side, with the same errors.
asio::awaitable<std::error_code>
AcceptHandshake(Link& aLink, const PeerSettings& aSettings, Random& aRandom);

} // namespace sassafrasquay
