// Status page and metrics of roll-outs.
#include "rollout_service/rollout_report.h"

#include <boost/json.hpp>
#include <cmath>

namespace sassafrasquay {

namespace {

void
UpdateVersionMetrics(const std::string& aService,
                     const std::string& aVersion,
                     const VersionTotals& aTotals,
                     Metrics& aMetrics)
{
  const MetricLabels labels = { { "service", aService },
                                { "version", aVersion } };
  const auto set = [&](const std::string& aName,
                       const std::string& aHelp,
                       double aValue) {
    aMetrics.Gauge("sassafrasquay_rollout_" + aName, aHelp, labels).Set(aValue);
  };
  set("requests",
      "Requests that count as evidence; only at the deciding node.",
      static_cast<double>(aTotals.m_requests));
  set("failures",
      "Those of them that failed.",
      static_cast<double>(aTotals.m_failures));
  set("latency_seconds",
      "Mean latency of those of them that did not fail.",
      FloatSeconds(aTotals.m_meanLatency).count());
}

} // namespace

std::string
RolloutStatusJson(const std::vector<RolloutView>& aViews)
{
  namespace json = boost::json;
  json::array rollouts;
  for (const RolloutView& view : aViews) {
    const Rollout& rollout = view.m_rollout;
    json::object entry = {
      { "service", rollout.m_order.m_service },
      { "version", rollout.m_order.m_version },
      { "step", ToString(rollout.m_step) },
      { "stored", rollout.m_stored },
      { "share_percent", std::lround(100 * view.m_share) },
      { "decided_here", view.m_verdict.has_value() },
    };
    if (view.m_verdict) {
      const RolloutVerdict& verdict = *view.m_verdict;
      entry["reason"] = ToString(verdict.m_reason);
      entry["evidence"] = verdict.m_evidence;
      entry["new_requests"] = verdict.m_new.m_requests;
      entry["new_failures"] = verdict.m_new.m_failures;
      entry["old_requests"] = verdict.m_old.m_requests;
      entry["old_failures"] = verdict.m_old.m_failures;
    }
    rollouts.push_back(std::move(entry));
  }
  return json::serialize(rollouts);
}

void
UpdateRolloutMetrics(const std::vector<RolloutView>& aViews, Metrics& aMetrics)
{
  for (const RolloutView& view : aViews) {
    const std::string& service = view.m_rollout.m_order.m_service;
    const MetricLabels labels = { { "service", service } };
    aMetrics
      .Gauge("sassafrasquay_rollout_step",
             "Step of the roll-out: 0 canary, 1 promoting, 2 completed, 3 "
             "rolled back.",
             labels)
      .Set(static_cast<double>(view.m_rollout.m_step));
    aMetrics
      .Gauge("sassafrasquay_rollout_share",
             "Share of first attempts that go to the new version.",
             labels)
      .Set(view.m_share);
    if (view.m_verdict) {
      UpdateVersionMetrics(service, "old", view.m_verdict->m_old, aMetrics);
      UpdateVersionMetrics(service, "new", view.m_verdict->m_new, aMetrics);
    }
  }
}

} // namespace sassafrasquay
