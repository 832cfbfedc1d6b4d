// Budget of repeated requests at the node beside a target.
//
// A deployment limits how many requests of a service may reach its targets a
// second time, summed over all nodes. The node beside a target sees each of
// them, and the targets of a service get about the same traffic, so each of
// these nodes enforces an equal part of the limit without a message.
//
// Decision code without I/O.
//
// Index of this file
//   [1] Settings
//   [2] Budget
#pragma once

#include "core/core.h"

#include <memory>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Settings
//-----------------------------------------------------------------------------

// Repeats allowed in any window: m_ratio of the requests in it that the target
// did not reject at their first arrival, and an equal part of m_burst for each
// target of the service.
struct RepeatLimit
{
  double m_ratio = 0; // zero or less: no limit
  double m_burst = 0; // repeats, of all targets together
};

enum class RepeatKind : uint8_t
{
  Rejected,  // targets have rejected the request, none has executed it
  Executed,  // may have been executed before
  ExtraCopy, // second copy of a request that is still running
};

struct RepeatBudgetSettings
{
  RepeatLimit m_all;
  // Of requests that may have been executed before. Requests that make calls
  // fail, and are repeated, more often than others, so they get less.
  RepeatLimit m_executed;
  // No extra copy is taken when executed repeats and copies together have
  // reached this limit: a retry answers a failure, a copy only a slow response.
  RepeatLimit m_extraCopies;
  Duration m_window{ std::chrono::seconds(10) };
};

// Settings that keep a deployment's limit for all nodes and all calls that
// repeats cause. aWindow: zero for the default.
RepeatBudgetSettings
RepeatBudgetFor(const RepeatLimit& aDeployment, Duration aWindow);

//-----------------------------------------------------------------------------
// [2] Budget
//-----------------------------------------------------------------------------

class RepeatBudget : public Component
{
public:
  // Sets the number of targets that share the bursts, this one included. In the
  // first window of this process there is no burst, because an earlier process
  // on this VM may have used it. When the number falls, the earlier one stays
  // in force for a window.
  virtual void SetTargetCount(size_t aTargets, TimePoint aNow) = 0;
  // Records the end of a request that reached the target for the first time.
  // One that the target rejected allows no repeats: it made no calls, so it
  // does not raise the limit of the services that its repeat calls.
  virtual void OnFirstArrival(bool aRejected, TimePoint aNow) = 0;
  // True when a repeat may reach the target now.
  virtual bool HasRoom(RepeatKind aKind, TimePoint aNow) = 0;
  // As HasRoom; takes the repeat from the budget when it returns true.
  virtual bool TryTake(RepeatKind aKind, TimePoint aNow) = 0;
};

// aStart: start of this process.
std::unique_ptr<RepeatBudget>
MakeRepeatBudget(RepeatBudgetSettings aSettings, TimePoint aStart);

} // namespace sassafrasquay
