// Life cycles of a target and of a node that stops.
//
// Pure decision code. The state machines are Boost.MSM tables in the .cpp
// files; an event that does not apply in the current state changes nothing.
//
// Index of this file
//   [1] Target
//   [2] Node that stops
#pragma once

#include "core/core.h"

#include <memory>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Target
//-----------------------------------------------------------------------------

enum class TargetState : uint8_t
{
  Gone,      // not announced, or lost; nothing may be sent to it
  Announced, // announced, no request dispatched yet; bounded like a cold one
  Cold,      // in cold start: in flight stays within the cold bound
  Warm,      // has shown by its answers that it can carry load
  Leaving    // drains: what runs may finish, nothing new
};

std::string_view
ToString(TargetState aState);

// One target beside its node. Every method returns true when it changed the
// state.
class TargetLifecycle
{
public:
  TargetLifecycle();
  ~TargetLifecycle();

  TargetState State() const;
  uint64_t Incarnation() const; // of the last announcement; 0 before the first

  // A repeated announcement of a known incarnation changes nothing. Another
  // incarnation, or any after the target was lost, starts anew.
  bool Announce(uint64_t aIncarnation);
  bool Start();    // the first request was dispatched
  bool WarmUp();   // evidence of normal service
  bool TurnCold(); // stated by the target, or by latency and failures
  bool Leave();
  bool Stay(); // withdraws Leave; the target starts cold again
  bool Lose(); // connections broke, or its node was told so

private:
  struct Machine;
  std::unique_ptr<Machine> m_machine;
  uint64_t m_incarnation = 0;
};

//-----------------------------------------------------------------------------
// [2] Node that stops
//-----------------------------------------------------------------------------

enum class ShutdownState : uint8_t
{
  Running,
  Unready,    // readiness checks fail, so callers leave; work goes on
  Announcing, // other nodes are told; calls still on their way are served
  Draining,   // no new work; open exchanges finish
  Stopped
};

std::string_view
ToString(ShutdownState aState);

// Every method returns true when it changed the state.
class NodeShutdown
{
public:
  NodeShutdown();
  ~NodeShutdown();

  ShutdownState State() const;
  bool AcceptsWork() const; // until it drains

  bool StartShutdown();   // a repeated one changes nothing
  bool ForceStop();       // cuts a shutdown short; nothing before Stop
  bool StartAnnouncing(); // readiness checks had their time to fail
  bool StartDraining();   // the announcement had its time to spread
  bool FinishDraining();  // no exchange is open

private:
  struct Machine;
  std::unique_ptr<Machine> m_machine;
};

} // namespace sassafrasquay
