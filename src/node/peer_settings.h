// Settings of the services that exchange messages with other nodes.
#pragma once

#include "gossip/gossip.h"
#include "node/node.h"
#include "peer/peer.h"

namespace sassafrasquay {

// aIncarnation: of this process.
PeerSettings
MakePeerSettings(const NodeSettings& aNode, uint64_t aIncarnation);

GossipSettings
MakeGossipSettings(const NodeSettings& aNode, uint64_t aIncarnation);

} // namespace sassafrasquay
