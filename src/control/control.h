// Administrative HTTP of a node: target announcements, metrics, health.
//
// GET  /metrics            Prometheus text
// GET  /healthz            200 while the process runs
// GET  /readyz             200 when the node takes calls, else 503 and why
// GET  /status             JSON: node, target, load, known targets
// POST /v1/target/announce JSON: service, slots, address, incarnation
// POST /v1/target/load     JSON: in_use, queued
// POST /v1/target/drain    the target takes no new work
// POST /v1/target/cold     the target is in a cold start again
// POST /v1/log             JSON: level, decision_sample; both optional
#pragma once

#include "kernel/kernel.h"

#include <optional>

namespace sassafrasquay {

// Pages that another service adds to the control addresses.
struct PageResponse
{
  unsigned m_status = 200;
  std::string m_body;
  std::string m_type = "text/plain";
};

class AdminPages : public virtual Component
{
public:
  // nullopt when the page is not one of these.
  virtual std::optional<PageResponse> Answer(std::string_view aMethod,
                                             std::string_view aPath,
                                             std::string_view aBody) = 0;
};

struct ControlSettings
{
  std::vector<Endpoint> m_listen; // every page is on each of them
  bool m_hasAdminPages = false;   // "extra_pages" in the kernel (AdminPages)
  Duration m_timeout{ std::chrono::seconds(10) }; // of one request
  uint32_t m_maxBodyBytes = 64 * 1024;
};

// What /readyz and /status show; implemented by the node's wiring.
class NodeStatus : public virtual Component
{
public:
  // Empty when the node is ready, else the reason in one sentence.
  virtual std::string NotReadyReason() const = 0;
  // A JSON object.
  virtual std::string StatusJson() const = 0;
  // Brings the gauges up to date before /metrics shows them.
  virtual void UpdateMetrics() = 0;
};

// The service "control". Requires "gateway" (TargetControl).
std::shared_ptr<Service>
MakeControl(ControlSettings aSettings);

} // namespace sassafrasquay
