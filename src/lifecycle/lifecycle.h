// Life cycles of a target and of a node that shuts down.
//
// Contains decisions only. The state machines are Boost.MSM tables in the .cpp
// file; an event without a transition from the current state changes nothing.
//
// Index of this file
//   [1] Target
//   [2] Node shutdown
#pragma once

#include "core/core.h"

#include <memory>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Target
//-----------------------------------------------------------------------------

enum class TargetState : uint8_t
{
  Absent,    // not announced, or lost; gets no requests
  Announced, // no request dispatched yet; adaptive admission treats it as cold
  Cold,      // in cold start; adaptive admission applies the cold limit
  Warm,      // its responses have shown that it can carry load
  Leaving    // draining: no new requests, those in flight finish
};

std::string_view
ToString(TargetState aState);

// State of the target beside a node. The events return true when they have
// changed the state.
class TargetLifecycle
{
public:
  TargetLifecycle();
  ~TargetLifecycle();

  TargetState State() const;
  uint64_t Incarnation() const; // of the last announcement; 0 before the first

  // A repeated announcement of the same incarnation changes nothing. Another
  // incarnation, or any after the target was lost, restarts the life cycle.
  bool Announce(uint64_t aIncarnation);
  bool MarkDispatched(); // its first request was dispatched
  bool MarkWarm();       // its service times have become normal
  bool MarkCold();       // it reports a cold start, or slows down or fails
  bool StartLeaving();
  bool CancelLeaving(); // it does not leave; it starts cold again
  bool MarkLost();      // its connections failed, or it was reported as lost

private:
  struct Machine;
  std::unique_ptr<Machine> m_machine;
  uint64_t m_incarnation = 0;
};

//-----------------------------------------------------------------------------
// [2] Node shutdown
//-----------------------------------------------------------------------------

enum class ShutdownState : uint8_t
{
  Running,
  Unready,    // readiness checks fail, so that callers leave; work goes on
  Announcing, // other nodes are informed; calls that still arrive are served
  Draining,   // no new work; open exchanges finish
  Stopped
};

std::string_view
ToString(ShutdownState aState);

// The events return true when they have changed the state.
class NodeShutdown
{
public:
  NodeShutdown();
  ~NodeShutdown();

  ShutdownState State() const;
  bool AcceptsWork() const; // true before Draining

  bool StartShutdown();   // a repeated one changes nothing
  bool ForceStop();       // ends a shutdown early; no effect while running
  bool StartAnnouncing(); // readiness checks have failed for long enough
  bool StartDraining();   // the announcement has had time to spread
  bool FinishDraining();  // no exchange is open

private:
  struct Machine;
  std::unique_ptr<Machine> m_machine;
};

} // namespace sassafrasquay
