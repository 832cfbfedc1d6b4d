// Settings for the traffic between nodes.
#include "node/peer_settings.h"

namespace sassafrasquay {

namespace {

// The key id is derived from the secret, so operators set only one value.
GossipKey
MakeGossipKey(const std::string& aSecret)
{
  return { static_cast<uint32_t>(StableHash(aSecret)), aSecret };
}

} // namespace

PeerSettings
MakePeerSettings(const NodeSettings& aNode, uint64_t aIncarnation)
{
  PeerSettings peer;
  peer.m_node = aNode.m_node;
  peer.m_incarnation = aIncarnation;
  peer.m_zone = aNode.m_zone;
  peer.m_listen = aNode.m_peerListen;
  peer.m_key = aNode.m_peerKey;
  peer.m_previousKey = aNode.m_previousPeerKey;
  if (aNode.m_platform.m_store) {
    // Latency objectives are a few hundred milliseconds, so a dead link must be
    // detected within about that time.
    peer.m_heartbeatInterval = std::chrono::milliseconds(200);
    peer.m_heartbeatTimeout = std::chrono::milliseconds(600);
    peer.m_connectTimeout = std::chrono::milliseconds(200);
    peer.m_handshakeTimeout = std::chrono::milliseconds(500);
    peer.m_grantsTokens = true;
    peer.m_hasRollouts = true;
  }
  return peer;
}

GossipSettings
MakeGossipSettings(const NodeSettings& aNode, uint64_t aIncarnation)
{
  GossipSettings gossip;
  MemberRecord& member = gossip.m_self;
  member.m_summary.m_key = MemberKeyOf(aNode.m_node);
  member.m_summary.m_incarnation = aIncarnation;
  member.m_info.m_id = aNode.m_node;
  member.m_info.m_peer = aNode.m_peerAdvertise;
  gossip.m_listen = aNode.m_peerListen;
  member.m_info.m_region = aNode.m_region;
  member.m_info.m_zone = aNode.m_zone;
  gossip.m_seeds = aNode.m_seeds;
  if (aNode.m_platform.m_store) {
    // A fleet of a few dozen nodes, where members join and leave within
    // seconds.
    MembershipSettings& membership = gossip.m_membership;
    membership.m_reconnectPeriod = std::chrono::seconds(1);
    membership.m_digestPeriod = std::chrono::seconds(3);
    membership.m_gossipPeriod = std::chrono::milliseconds(100);
    membership.m_seedContactPeriod = std::chrono::milliseconds(20);
    membership.m_bytesPerSecond = 20000;
    membership.m_burstBytes = 6000;
  }
  gossip.m_key = MakeGossipKey(aNode.m_peerKey);
  if (!aNode.m_previousPeerKey.empty()) {
    gossip.m_previousKey = MakeGossipKey(aNode.m_previousPeerKey);
  }
  return gossip;
}

} // namespace sassafrasquay
