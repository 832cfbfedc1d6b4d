// Administrative HTTP server of a node: target announcements, metrics, health.
//
// GET  /metrics            Prometheus text
// GET  /healthz            200 while the process runs
// GET  /readyz             200 when the node is ready, else 503 and the reason
// GET  /status             JSON: node, target, load, members
// POST /v1/target/announce JSON: service, slots, address, incarnation
// POST /v1/target/load     JSON: in_use, queued
// POST /v1/target/drain    the target accepts no new work
// POST /v1/target/cold     the target is in a cold start again
// POST /v1/log             JSON: level, decision_sample; both optional
// POST /v1/explain         JSON: an ExplainQuery; returns the explanation
#pragma once

#include "kernel/kernel.h"

#include <optional>

namespace sassafrasquay {

// Response of a page.
struct PageResponse
{
  unsigned m_status = 200;
  std::string m_body;
  std::string m_contentType = "text/plain";
};

// Pages that another service adds to the control addresses.
class AdminPages : public virtual Component
{
public:
  // Handles a request; nullopt when the path is not one of these pages.
  virtual std::optional<PageResponse> Handle(std::string_view aMethod,
                                             std::string_view aPath,
                                             std::string_view aBody) = 0;
};

struct ControlSettings
{
  std::vector<Endpoint> m_listen; // each serves every page
  bool m_hasAdminPages = false;   // "extra_pages" is registered (AdminPages)
  Duration m_timeout{ std::chrono::seconds(10) }; // of one request
  uint32_t m_maxBodyBytes = 64 * 1024;
};

// Content of /readyz and /status; implemented by the node.
class NodeStatus : public virtual Component
{
public:
  // Empty when the node is ready.
  virtual std::string NotReadyReason() const = 0;
  // A JSON object.
  virtual std::string StatusJson() const = 0;
  // Updates the gauges before /metrics returns them.
  virtual void UpdateMetrics() = 0;
};

// The service "control". Requires "gateway" (TargetControl); finds "explain"
// (Explainer).
std::shared_ptr<Service>
MakeControl(ControlSettings aSettings);

} // namespace sassafrasquay
