// Hedged requests: when a second copy of a slow request is sent to another
// target.
//
// A copy is extra work, so it is sent only for a request that has waited longer
// than most of its class, while the service has room, and within the share of
// requests that the operators allow.
//
// Decision code without I/O.
//
// Index of this file
//   [1] Requests
//   [2] Policy interface
//   [3] Settings
#pragma once

#include "core/core.h"

#include <memory>
#include <optional>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Requests
//-----------------------------------------------------------------------------

// A request whose first copy is about to be sent, or has been sent.
struct HedgeRequest
{
  std::string_view m_service;
  uint32_t m_routeClass = 0; // requests of one class take similar time
  double m_maxShare = 0;     // copies / requests of the service; 0: none
  uint32_t m_candidates = 0; // targets that the first copy was chosen from
  Duration m_remaining{};    // caller's remaining time
};

// Why a second copy may be sent or not.
enum class HedgeReason : uint8_t
{
  Allowed,
  Off,           // no share is set for the service and the path
  FewCandidates, // of targets
  ServiceFull,   // targets refuse requests for lack of room
  FewSamples,    // response times of the class are not known yet
  NoTimeLeft,    // the copy could not respond in time
  ShareUsedUp    // at present; it may have grown when the delay ends
};

std::string_view
ToString(HedgeReason aReason);

struct HedgeDecision
{
  HedgeReason m_reason = HedgeReason::Off;
  std::optional<Duration> m_delay; // before the copy; set also by ShareUsedUp
  double m_tokens = 0;             // copies that the share allows now
};

//-----------------------------------------------------------------------------
// [2] Policy interface
//-----------------------------------------------------------------------------

class HedgePolicy : public Component
{
public:
  // Must be called for each request of a service with a share above 0.
  virtual void OnRequest(std::string_view aService, double aMaxShare) = 0;
  // Records the time from sending an attempt to its successful response.
  virtual void OnResponse(std::string_view aService,
                          uint32_t aClass,
                          Duration aLatency,
                          TimePoint aNow) = 0;
  // Must be called for each attempt that ends. aOverloaded: a target refused it
  // for lack of room.
  virtual void OnAttempt(std::string_view aService, bool aOverloaded) = 0;
  // Returns how long to wait for the first copy before a second one is sent, or
  // nullopt when none may be sent.
  virtual std::optional<Duration> DelayFor(const HedgeRequest& aRequest) = 0;
  // Returns what DelayFor and then TryTake would decide now, after OnRequest.
  virtual HedgeDecision Explain(const HedgeRequest& aRequest) const = 0;
  // Takes a copy from the service's share at the end of that delay. False when
  // the share is used up or the service has filled meanwhile.
  virtual bool TryTake(const HedgeRequest& aRequest) = 0;
};

//-----------------------------------------------------------------------------
// [3] Settings
//-----------------------------------------------------------------------------

struct HedgeSettings
{
  // A request waits for this quantile of the response times of its class.
  double m_quantile = 0.95;
  // Response times of a class that are needed before its requests are hedged.
  size_t m_minSamples = 30;
  // The quantile follows changes within this time.
  Duration m_window = std::chrono::seconds(10);
  Duration m_minDelay = std::chrono::milliseconds(5);
  // Share of attempts that targets refuse for lack of room, above which the
  // service counts as full.
  double m_maxOverload = 0.02;
  // A copy needs another good target in case that the first one is at fault.
  uint32_t m_minCandidates = 3;
  double m_maxTokens = 5; // copies that may be sent at once, per service
};

std::unique_ptr<HedgePolicy>
MakeHedgePolicy(HedgeSettings aSettings);

} // namespace sassafrasquay
