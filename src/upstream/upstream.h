// The node's own target: what it announces, and calls to it.
//
// Index of this file
//   [1] What the target says about itself
//   [2] Target control interface
//   [3] Settings and factory
#pragma once

#include "call/call.h"
#include "kernel/kernel.h"
#include "routes/routes.h"

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] What the target says about itself
//-----------------------------------------------------------------------------

inline constexpr uint64_t kUnknownIncarnation = 0;

struct TargetAnnouncement
{
  std::string m_id; // of the target's process; may be empty
  std::string m_service;
  uint32_t m_slots = 0;       // requests that it can work on at once
  Endpoint m_address;         // where it takes requests
  uint64_t m_incarnation = 0; // higher after each restart

  bool operator==(const TargetAnnouncement&) const = default;
};

//-----------------------------------------------------------------------------
// [2] Target control interface
//-----------------------------------------------------------------------------

class TargetControl : public virtual Component
{
public:
  // InvalidHeader when a field is out of range; a repeated announcement of the
  // same incarnation changes nothing. kUnknownIncarnation stands for whichever
  // incarnation the target with this id states later.
  virtual std::error_code Announce(const TargetAnnouncement& aTarget) = 0;
  // The target with this id gets no new work; empty: whichever is known. An id
  // that is not known yet is remembered: its health does not announce it.
  virtual void Drain(std::string_view aTargetId) = 0;
  // The node is about to stop: every answer says so, and work that still
  // arrives is served.
  virtual void SetNodeLeaving() = 0;
  // The target has ended or ends without having drained.
  virtual void MarkLost() = 0;
  virtual void MarkCold() = 0;
  // The target states how long its cold start still lasts; zero: it is warm.
  virtual void SetColdRemaining(Duration aLeft) = 0;
  // What the configuration says about targets of this service.
  virtual void SetServiceConfig(const ServiceConfig& aTraits) = 0;
  // Load as the target counts it; it lags, so it is only a hint.
  virtual void ReportLoad(uint32_t aInUse, uint32_t aQueued) = 0;
  // Empty before the first announcement.
  virtual std::optional<TargetAnnouncement> Target() const = 0;
  virtual LoadReport Load() const = 0;
  // Wakes when anything of the above changes.
  virtual Event& Changed() = 0;
};

//-----------------------------------------------------------------------------
// [3] Settings and factory
//-----------------------------------------------------------------------------

struct UpstreamSettings
{
  NodeId m_node;
  uint64_t m_nodeIncarnation = 0;
  // The target that is expected beside this node. Until it has announced itself
  // after the node's start, it is asked for its health: a restarted node then
  // need not wait for the next announcement. Empty service: only announcements
  // count.
  std::string m_expectedService;
  Endpoint m_expectedAddress;
  Duration m_discoveryTime{ std::chrono::seconds(4) };
  Duration m_discoveryPause{ std::chrono::milliseconds(150) };
  Duration m_connectTimeout{ std::chrono::milliseconds(500) };
  Duration m_bodyIdle{ std::chrono::seconds(30) };       // between answer parts
  Duration m_idleConnection{ std::chrono::seconds(20) }; // pooled
  Duration m_cancelTimeout{ std::chrono::seconds(1) };
  // The target is asked for its load before a request begins when its last word
  // is older than this, and again and again while queued requests wait for a
  // spell of slowness to end. Zero: it is never asked; the answers to calls
  // carry the load as well, but too seldom for spells of 100 ms or so.
  Duration m_loadMaxAge{};
  double m_probesPerSecond = 40; // at most
  double m_probesPerRequest = 4; // at most, in the mean
  Duration m_probeTimeout{ std::chrono::milliseconds(500) };
  Duration m_probeIdle{ std::chrono::milliseconds(700) }; // connection kept
  size_t m_maxIdle = 64;
  uint32_t m_maxHeadBytes = 64 * 1024; // of an answer
};

// The service "gateway": CallHandler, CallResolver and TargetControl.
// Finds "admission", "ledger", "quarantine" and "target_dialect".
std::shared_ptr<Service>
MakeGateway(UpstreamSettings aSettings);

} // namespace sassafrasquay
