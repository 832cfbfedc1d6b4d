// Handling of a call at the entry node: target choice, attempts and retries.
#pragma once

#include "call/call.h"
#include "kernel/kernel.h"
#include "routing/routing.h"

namespace sassafrasquay {

struct DispatchSettings
{
  NodeId m_node;
  uint64_t m_nodeIncarnation = 0;
};

// The service "dispatcher": CallHandler. It sets a new call id in the head for
// each attempt. Looks up "router", "retry", "hedging", "quarantine", "clock",
// "logger" and "metrics"; requires "gateway" and "peer_client".
std::shared_ptr<Service>
MakeDispatcher(DispatchSettings aSettings);

// The route request of the first attempt; without the remaining time.
RouteRequest
MakeRouteRequest(const RequestHead& aHead);

// Whether a second copy of the request may be sent: it may run again, is whole
// and has not reached a target before. The requests that a target makes are not
// hedged, because they may belong to a copy.
bool
MayBeHedged(const RequestHead& aHead, bool aReachedTarget);

} // namespace sassafrasquay
