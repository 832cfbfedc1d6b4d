// What operators see of roll-outs. Internal to this library.
#pragma once

#include "metrics/metrics.h"
#include "rollout/rollout.h"

namespace sassafrasquay {

struct RolloutView
{
  Rollout m_rollout;
  double m_share = 0; // of first attempts, that goes to the new version
  std::optional<RolloutVerdict> m_verdict; // only at the deciding node
};

// A JSON array with one object for each view.
std::string
RolloutStatusJson(const std::vector<RolloutView>& aViews);

// Labels do not name the versions, since each order would add series.
void
UpdateRolloutMetrics(const std::vector<RolloutView>& aViews, Metrics& aMetrics);

} // namespace sassafrasquay
