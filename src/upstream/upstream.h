// The local target of the node: its announcements, and calls to it.
//
// Index of this file
//   [1] Target announcement
//   [2] Target control interface
//   [3] Settings and factory
#pragma once

#include "call/call.h"
#include "kernel/kernel.h"
#include "routes/routes.h"

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Target announcement
//-----------------------------------------------------------------------------

inline constexpr uint64_t kUnknownIncarnation = 0;

struct TargetAnnouncement
{
  std::string m_id; // of the target's process; may be empty
  std::string m_service;
  uint32_t m_slots = 0;       // requests that it can process concurrently
  Endpoint m_address;         // where it accepts requests
  uint64_t m_incarnation = 0; // increases with each restart
  WallTime m_processStart{};  // the epoch: unknown
  std::string m_version;      // of the target's software; may be empty

  bool operator==(const TargetAnnouncement&) const = default;
};

//-----------------------------------------------------------------------------
// [2] Target control interface
//-----------------------------------------------------------------------------

class TargetControl : public virtual Component
{
public:
  // Sets the local target. Returns InvalidHeader when a field is out of range.
  // An announcement equal to the current one changes nothing. While no target
  // is announced, an announcement that AnnouncementPolicy does not accept is
  // kept until the target's health probe passes. With kUnknownIncarnation, a
  // later announcement of the same id sets the incarnation.
  virtual std::error_code Announce(const TargetAnnouncement& aTarget) = 0;
  // Sends no new work to the target with this id; empty: the current target.
  // A given id is recorded, so that a later health probe does not announce the
  // drained target again.
  virtual void Drain(std::string_view aTargetId) = 0;
  // Marks the node as about to stop: load reports have m_leaving set, and work
  // that still arrives is served.
  virtual void SetNodeLeaving() = 0;
  // Drops a target that has ended, or is ending, without having drained.
  virtual void MarkLost() = 0;
  // Starts a cold start of unknown length.
  virtual void MarkCold() = 0;
  // Sets the remaining time of the cold start; zero: the target is warm.
  virtual void SetColdRemaining(Duration aRemaining) = 0;
  // Sets the configuration of the target's service.
  virtual void SetServiceConfig(const ServiceConfig& aConfig) = 0;
  // Logs the target's own load figures; they lag, so nothing depends on them.
  virtual void ReportLoad(uint32_t aInUse, uint32_t aQueued) = 0;
  // Empty before the first announcement.
  virtual std::optional<TargetAnnouncement> Target() const = 0;
  virtual LoadReport Load() const = 0;
  // Notified when the target is announced or lost, drains, or enters or leaves
  // a cold start, and when the last running call has ended.
  virtual Event& Changed() = 0;
};

//-----------------------------------------------------------------------------
// [3] Settings and factory
//-----------------------------------------------------------------------------

struct UpstreamSettings
{
  NodeId m_node;
  uint64_t m_nodeIncarnation = 0;
  // The target that is expected on this VM. After the node's start, its health
  // is probed while it is not announced, so that a restarted node need not wait
  // for the next report. Empty service: no discovery by probes.
  std::string m_expectedService;
  Endpoint m_expectedAddress;
  // Longest delay of a report of the expected target. For this time after the
  // node's start, a report alone does not announce a target that may have left
  // before.
  Duration m_maxReportDelay{ std::chrono::seconds(10) };
  Duration m_discoveryInterval{ std::chrono::milliseconds(150) };
  Duration m_connectTimeout{ std::chrono::milliseconds(500) };
  // A target that has just crashed may accept one more connection. It is reset
  // within this time, as the process ends.
  Duration m_crashCheckTime{ std::chrono::milliseconds(10) };
  // Between two chunks of a response body.
  Duration m_bodyIdleTimeout{ std::chrono::seconds(30) };
  // A response that has started may take this long beyond the request's time.
  Duration m_responseOverrun{ std::chrono::minutes(10) };
  // Of a pooled connection.
  Duration m_idleConnectionTimeout{ std::chrono::seconds(20) };
  Duration m_cancelTimeout{ std::chrono::seconds(1) };
  // The load is probed before a request starts when the last report is older
  // than this, and periodically while queued requests wait for a slow phase of
  // the target to end. Zero: no load probes. Responses to calls carry the load
  // as well, but not often enough to detect slow phases of about 100 ms.
  Duration m_loadMaxAge{};
  double m_probesPerSecond = 40; // upper limit
  double m_probesPerRequest = 4; // upper limit on average
  Duration m_probeTimeout{ std::chrono::milliseconds(500) };
  // Of the connection kept for probes.
  Duration m_probeIdleTimeout{ std::chrono::milliseconds(700) };
  // Limit of a cold target, see ColdStartRate.
  double m_coldBurstFactor = 1;
  double m_coldBurstAllowance = 0;
  size_t m_maxIdleConnections = 64;
  uint32_t m_maxHeadBytes = 64 * 1024; // of a response
};

// The service "gateway": CallHandler, CallResolver and TargetControl.
// Looks up "admission", "ledger", "quarantine", "target_dialect", "clock",
// "logger" and "metrics".
std::shared_ptr<Service>
MakeGateway(UpstreamSettings aSettings);

} // namespace sassafrasquay
