// Candidates of one choice of the production router. Internal to this library.
#pragma once

#include "routing/estimate.h"
#include "routing/routing.h"

namespace sassafrasquay {

struct Draws
{
  std::array<TargetIndex, kMaxDraws> m_targets{};
  size_t m_count = 0;
};

struct Best
{
  TargetIndex m_target = kNoTarget;
  double m_score = 0;

  void Update(TargetIndex aTarget, double aScore)
  {
    if (m_target == kNoTarget || aScore < m_score) {
      m_target = aTarget;
      m_score = aScore;
    }
  }
};

struct Selection
{
  Draws m_draws;
  Best m_best;
  Best m_fallback; // best of those rejected because of their share
  uint32_t m_accepted = 0;
};

} // namespace sassafrasquay
