// Peer protocol between nodes. A link is a TCP connection that carries one
// exchange at a time and is served by one coroutine.
//
// Index of this file
//   [1] Settings
//   [2] Client: sends calls and queries to other nodes
//   [3] Server: accepts links from other nodes
#pragma once

#include "call/call.h"
#include "kernel/kernel.h"
#include "wire/wire.h"

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Settings
//-----------------------------------------------------------------------------

struct PeerSettings
{
  NodeId m_node;
  uint64_t m_incarnation = 0; // of this node, new at every start
  std::string m_zone;
  Endpoint m_listen;
  std::string m_key;         // authenticates this node and verifies peers
  std::string m_previousKey; // only verifies peers, during a key rotation
  Duration m_connectTimeout{ std::chrono::milliseconds(500) };
  Duration m_handshakeTimeout{ std::chrono::seconds(2) };
  // Heartbeats are sent while a call is in progress.
  Duration m_heartbeatInterval{ std::chrono::seconds(1) };
  // A link that receives no frame for this time during a call is closed.
  Duration m_heartbeatTimeout{ std::chrono::seconds(3) };
  // A pooled link that is unused for this time is closed.
  Duration m_idleLinkTimeout{ std::chrono::seconds(60) };
  // Delay before a resolve request is repeated for a call that still runs.
  // Doubles up to m_heartbeatInterval, because a call may run for minutes.
  Duration m_firstResolveDelay{ std::chrono::milliseconds(100) };
  size_t m_maxIdleLinksPerPeer = 16;
  bool m_grantsTokens = false; // of client accounts, to other nodes
  bool m_hasRollouts = false;  // takes decisions about roll-outs from others
};

//-----------------------------------------------------------------------------
// [2] Client
//-----------------------------------------------------------------------------

struct PeerResponse
{
  NodeInstance m_sender; // as received in the handshake
  FrameContent m_content;
};

class PeerClient : public virtual Component
{
public:
  // Sends one attempt to the node at aPeer. When the link fails and the outcome
  // is unknown, queries the node for it over a new link before returning. The
  // head's m_age is the age at the time of this call; m_nodeIncarnation is set
  // here.
  virtual asio::awaitable<CallResult> Call(const Endpoint& aPeer,
                                           const RequestHead& aHead,
                                           BodySource& aBody,
                                           ResponseSink& aResponse) = 0;

  // Sends one request and returns its response, or nullopt when none arrives.
  // When an attempt on a pooled link fails, the request is repeated on a new
  // link, so it must be idempotent. aTimeout applies to each attempt.
  virtual asio::awaitable<std::optional<PeerResponse>>
  Query(const Endpoint& aPeer, FrameContent aRequest, Duration aTimeout) = 0;
};

// Requires "clock" and "random".
std::shared_ptr<Service>
MakePeerClient(PeerSettings aSettings);

//-----------------------------------------------------------------------------
// [3] Server
//-----------------------------------------------------------------------------

// Provides the operators' published configuration for requests of other nodes.
// Registered in the kernel as "operator_state".
class PublishedConfigSource : public virtual Component
{
public:
  // Returns nullopt when this node has none yet.
  virtual std::optional<PublishedConfig> CurrentConfig() const = 0;
};

// Grants tokens of the client accounts that this node owns. Registered in the
// kernel as "account_limits".
class TokenSource : public virtual Component
{
public:
  virtual TokenReply Grant(const NodeId& aAsker,
                           uint64_t aAskerIncarnation,
                           const TokenRequest& aRequest) = 0;
};

// Serves the node that decides a roll-out. Takes its decision. Registered in
// the kernel as "rollouts".
class RolloutPeer : public virtual Component
{
public:
  virtual RolloutEvidenceReply OnEvidenceRequest(
    const RolloutEvidenceRequest& aRequest) = 0;
  virtual RolloutDecisionFrame OnDecisionFrame(
    const RolloutDecisionFrame& aFrame) = 0;
};

// Requires the service "gateway" (CallHandler and CallResolver), with
// m_grantsTokens also "account_limits" (TokenSource), and the components
// "operator_state", "clock", "random" and "logger", with m_hasRollouts also
// "rollouts" (RolloutPeer).
std::shared_ptr<Service>
MakePeerServer(PeerSettings aSettings);

} // namespace sassafrasquay
