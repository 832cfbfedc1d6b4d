// State machines of a target and of a node that shuts down.
//
// Index of this file
//   [1] Common parts of the tables
//   [2] Target
//   [3] Node shutdown
#include "lifecycle/lifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Common parts of the tables
//-----------------------------------------------------------------------------

namespace {

namespace msm = boost::msm;

// Records its own value on entry. MSM numbers states by their order in the
// table, which callers thus do not depend on.
template<auto kState>
struct MachineState : msm::front::state<>
{
  template<typename Event, typename Machine>
  void on_entry(const Event&, Machine& aMachine) // NOLINT: name given by MSM
  {
    aMachine.m_state = kState;
  }
};

template<typename From, typename Event, typename To>
using Transition =
  msm::front::Row<From, Event, To, msm::front::none, msm::front::none>;

// Ignores an event without a matching row, on which MSM asserts by default.
template<typename Derived>
struct IgnoresUnhandledEvents : msm::front::state_machine_def<Derived>
{
  template<typename Machine, typename Event>
  void no_transition(const Event&, Machine&, int) // NOLINT: name given by MSM
  {
  }
};

template<typename Table>
class StateMachine
{
public:
  StateMachine() { m_backend.start(); }

  template<typename Event>
  bool Process(const Event& aEvent)
  {
    return m_backend.process_event(aEvent) == msm::back::HANDLED_TRUE;
  }

  auto State() const { return m_backend.m_state; }

private:
  msm::back::state_machine<Table> m_backend;
};

} // namespace

//-----------------------------------------------------------------------------
// [2] Target
//-----------------------------------------------------------------------------

namespace {

struct TargetAnnounced
{};
struct RequestDispatched
{};
struct WarmedUp
{};
struct TurnedCold
{};
struct LeaveRequested
{};
struct LeaveCancelled
{};
struct TargetLost
{};

struct TargetTable : IgnoresUnhandledEvents<TargetTable>
{
  using Absent = MachineState<TargetState::Absent>;
  using Announced = MachineState<TargetState::Announced>;
  using Cold = MachineState<TargetState::Cold>;
  using Warm = MachineState<TargetState::Warm>;
  using Leaving = MachineState<TargetState::Leaving>;
  using initial_state = Absent; // NOLINT: name given by MSM

  // NOLINTNEXTLINE: name given by MSM
  struct transition_table
    : boost::mpl::vector<Transition<Absent, TargetAnnounced, Announced>,
                         Transition<Announced, TargetAnnounced, Announced>,
                         Transition<Cold, TargetAnnounced, Announced>,
                         Transition<Warm, TargetAnnounced, Announced>,
                         Transition<Leaving, TargetAnnounced, Announced>,
                         Transition<Announced, RequestDispatched, Cold>,
                         Transition<Cold, WarmedUp, Warm>,
                         Transition<Warm, TurnedCold, Cold>,
                         Transition<Announced, LeaveRequested, Leaving>,
                         Transition<Cold, LeaveRequested, Leaving>,
                         Transition<Warm, LeaveRequested, Leaving>,
                         Transition<Leaving, LeaveCancelled, Cold>,
                         Transition<Announced, TargetLost, Absent>,
                         Transition<Cold, TargetLost, Absent>,
                         Transition<Warm, TargetLost, Absent>,
                         Transition<Leaving, TargetLost, Absent>>
  {};

  TargetState m_state = TargetState::Absent;
};

} // namespace

struct TargetLifecycle::Machine : StateMachine<TargetTable>
{};

std::string_view
ToString(TargetState aState)
{
  switch (aState) {
    case TargetState::Absent:
      return "gone";
    case TargetState::Announced:
      return "announced";
    case TargetState::Cold:
      return "cold";
    case TargetState::Warm:
      return "warm";
    case TargetState::Leaving:
      return "leaving";
  }
  return "unknown";
}

TargetLifecycle::TargetLifecycle()
  : m_machine(std::make_unique<Machine>())
{
}

TargetLifecycle::~TargetLifecycle() = default;

TargetState
TargetLifecycle::State() const
{
  return m_machine->State();
}

uint64_t
TargetLifecycle::Incarnation() const
{
  return m_incarnation;
}

bool
TargetLifecycle::Announce(uint64_t aIncarnation)
{
  if (State() != TargetState::Absent && aIncarnation == m_incarnation) {
    return false;
  }
  m_incarnation = aIncarnation;
  return m_machine->Process(TargetAnnounced());
}

bool
TargetLifecycle::MarkDispatched()
{
  return m_machine->Process(RequestDispatched());
}

bool
TargetLifecycle::MarkWarm()
{
  return m_machine->Process(WarmedUp());
}

bool
TargetLifecycle::MarkCold()
{
  return m_machine->Process(TurnedCold());
}

bool
TargetLifecycle::StartLeaving()
{
  return m_machine->Process(LeaveRequested());
}

bool
TargetLifecycle::CancelLeaving()
{
  return m_machine->Process(LeaveCancelled());
}

bool
TargetLifecycle::MarkLost()
{
  return m_machine->Process(TargetLost());
}

//-----------------------------------------------------------------------------
// [3] Node shutdown
//-----------------------------------------------------------------------------

namespace {

struct ShutdownRequested
{};
struct StopForced
{};
struct UnreadyPeriodEnded
{};
struct AnnouncementPeriodEnded
{};
struct DrainCompleted
{};

struct ShutdownTable : IgnoresUnhandledEvents<ShutdownTable>
{
  using Running = MachineState<ShutdownState::Running>;
  using Unready = MachineState<ShutdownState::Unready>;
  using Announcing = MachineState<ShutdownState::Announcing>;
  using Draining = MachineState<ShutdownState::Draining>;
  using Stopped = MachineState<ShutdownState::Stopped>;
  using initial_state = Running; // NOLINT: name given by MSM

  // NOLINTNEXTLINE: name given by MSM
  struct transition_table
    : boost::mpl::vector<
        Transition<Running, ShutdownRequested, Unready>,
        Transition<Unready, UnreadyPeriodEnded, Announcing>,
        Transition<Announcing, AnnouncementPeriodEnded, Draining>,
        Transition<Draining, DrainCompleted, Stopped>,
        Transition<Unready, StopForced, Stopped>,
        Transition<Announcing, StopForced, Stopped>,
        Transition<Draining, StopForced, Stopped>>
  {};

  ShutdownState m_state = ShutdownState::Running;
};

} // namespace

struct NodeShutdown::Machine : StateMachine<ShutdownTable>
{};

std::string_view
ToString(ShutdownState aState)
{
  switch (aState) {
    case ShutdownState::Running:
      return "running";
    case ShutdownState::Unready:
      return "unready";
    case ShutdownState::Announcing:
      return "announcing";
    case ShutdownState::Draining:
      return "draining";
    case ShutdownState::Stopped:
      return "stopped";
  }
  return "unknown";
}

NodeShutdown::NodeShutdown()
  : m_machine(std::make_unique<Machine>())
{
}

NodeShutdown::~NodeShutdown() = default;

ShutdownState
NodeShutdown::State() const
{
  return m_machine->State();
}

bool
NodeShutdown::AcceptsWork() const
{
  return State() != ShutdownState::Draining &&
         State() != ShutdownState::Stopped;
}

bool
NodeShutdown::StartShutdown()
{
  return m_machine->Process(ShutdownRequested());
}

bool
NodeShutdown::ForceStop()
{
  return m_machine->Process(StopForced());
}

bool
NodeShutdown::StartAnnouncing()
{
  return m_machine->Process(UnreadyPeriodEnded());
}

bool
NodeShutdown::StartDraining()
{
  return m_machine->Process(AnnouncementPeriodEnded());
}

bool
NodeShutdown::FinishDraining()
{
  return m_machine->Process(DrainCompleted());
}

} // namespace sassafrasquay
