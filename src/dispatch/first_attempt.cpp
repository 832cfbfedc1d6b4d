// Decisions of the dispatcher that depend on the request head alone.
#include "dispatch/dispatch.h"

namespace sassafrasquay {

RouteRequest
MakeRouteRequest(const RequestHead& aHead)
{
  RouteRequest route;
  route.m_service = aHead.m_service;
  route.m_routeClass = aHead.m_routeClass;
  route.m_requestBytes =
    aHead.m_body ? aHead.m_body->size() : aHead.m_bodyLength.value_or(0);
  return route;
}

bool
MayBeHedged(const RequestHead& aHead, bool aReachedTarget)
{
  return aHead.m_idempotent && aHead.m_body && !aHead.m_retrySpent &&
         !aHead.m_isSubrequest && !aReachedTarget && aHead.m_maxAttempts != 1;
}

} // namespace sassafrasquay
