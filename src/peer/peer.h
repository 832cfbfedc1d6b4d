// Links between nodes: one coroutine for each link, one exchange at a time.
//
// Index of this file
//   [1] Settings and identity
//   [2] Client: calls through the node beside a target, and questions
//   [3] Server: accepts links of other nodes
#pragma once

#include "call/call.h"
#include "kernel/kernel.h"
#include "wire/wire.h"

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Settings and identity
//-----------------------------------------------------------------------------

struct PeerSettings
{
  NodeId m_node;
  uint64_t m_incarnation = 0; // of this node, new at every start
  std::string m_zone;
  Endpoint m_listen;
  std::string m_key;         // signs; accepted from others
  std::string m_previousKey; // only accepted, during a key rotation
  Duration m_connectTimeout{ std::chrono::milliseconds(500) };
  Duration m_handshakeTimeout{ std::chrono::seconds(2) };
  Duration m_heartbeatInterval{ std::chrono::seconds(
    1) }; // while a target works
  Duration m_heartbeatTimeout{ std::chrono::seconds(
    3) };                                          // then the link is replaced
  Duration m_idleLink{ std::chrono::seconds(60) }; // pooled links close after
  // Before the first repeated question about a call that still runs; doubles
  // up to m_heartbeatInterval, because a call may run for minutes.
  Duration m_resolvePause{ std::chrono::milliseconds(100) };
  size_t m_maxIdlePerPeer = 16;
};

//-----------------------------------------------------------------------------
// [2] Client
//-----------------------------------------------------------------------------

struct PeerResponse
{
  NodeInstance m_from; // from the link's hello
  FrameContent m_content;
};

class PeerClient : public virtual Component
{
public:
  // One attempt at the node behind aPeer. When its fate is in doubt, the node
  // is asked over a new link before the result is given. The head's m_age is
  // the age at the time of this call; m_nodeIncarnation is set here.
  virtual asio::awaitable<CallResult> Call(const Endpoint& aPeer,
                                           const RequestHead& aHead,
                                           BodySource& aBody,
                                           ResponseSink& aAnswer) = 0;

  // One question and its answer; nullopt without an answer within aTimeout.
  // Asked once more on a new link when a pooled one fails, so the question must
  // be one that may be repeated.
  virtual asio::awaitable<std::optional<PeerResponse>>
  Query(const Endpoint& aPeer, FrameContent aQuestion, Duration aTimeout) = 0;
};

std::shared_ptr<Service>
MakePeerClient(PeerSettings aSettings);

//-----------------------------------------------------------------------------
// [3] Server
//-----------------------------------------------------------------------------

// What operators have published, for nodes that ask; "operator_state" in the
// kernel.
class PublishedConfigSource : public virtual Component
{
public:
  // nullopt when nothing is known.
  virtual std::optional<PublishedConfig> CurrentConfig() const = 0;
};

// Requires the service "gateway" (CallHandler and CallResolver).
std::shared_ptr<Service>
MakePeerServer(PeerSettings aSettings);

} // namespace sassafrasquay
