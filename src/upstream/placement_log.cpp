// Log line of an admission decision.
#include "upstream/placement_log.h"

#include <array>

namespace sassafrasquay {

void
LogPlacement(Logger& aLogger,
             const RequestHead& aHead,
             const AdmissionResult& aResult,
             const LoadReport& aLoad,
             Duration aLoadAge)
{
  if (!aLogger.ShouldLogDecision()) {
    return;
  }
  static constexpr std::array<std::string_view, 3> kVerdicts = { "admitted",
                                                                 "queued",
                                                                 "refused" };
  const bool refused = aResult.m_verdict == AdmissionVerdict::Refused;
  aLogger.Write(
    LogLevel::Info,
    "placement",
    { { "id", aHead.m_requestId },
      { "call", ToString(aHead.m_call) },
      { "service", aHead.m_service },
      { "verdict", kVerdicts[static_cast<size_t>(aResult.m_verdict)] },
      { "reason", refused ? ResultRowFor(aResult.m_code).m_name : "capacity" },
      { "priority", static_cast<uint64_t>(aHead.m_priority) },
      { "account", aHead.m_account },
      { "subrequest", aHead.m_isSubrequest },
      { "hedge", aHead.m_isHedge },
      { "repeat", aHead.m_repeat },
      { "in_flight", aLoad.m_inFlight },
      { "limit", aLoad.m_limit },
      { "queued", aLoad.m_queued },
      { "slowness", aLoad.m_slowness },
      { "load_age_ms", aLoadAge },
      { "cold", aLoad.m_cold },
      { "remaining_ms", aHead.m_remaining } });
}

} // namespace sassafrasquay
