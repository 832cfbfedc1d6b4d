// Connects gossip and routing: passes the targets of the members to the router,
// and publishes the state of the local target through gossip.
#pragma once

#include "kernel/kernel.h"

namespace sassafrasquay {

// The service "fleet". Finds "router" and "retry"; requires "gossip" and
// "gateway" (TargetControl).
std::shared_ptr<Service>
MakeFleetView(NodeId aSelf, std::string aZone, std::string aRegion);

} // namespace sassafrasquay
