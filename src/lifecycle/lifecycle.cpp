// State machines of a target, of a node that stops and of a request.
//
// Index of this file
//   [1] Common parts of the tables
//   [2] Target
//   [3] Node that stops
//   [4] Request at its target's node
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

// Records its own value on entry, so that the order of the table, which
// numbers MSM's states, does not matter outside of it.
template<auto kState>
struct At : msm::front::state<>
{
  template<typename Event, typename Machine>
  void on_entry(const Event&, Machine& aMachine) // NOLINT: name given by MSM
  {
    aMachine.m_state = kState;
  }
};

template<typename From, typename Event, typename To>
using On = msm::front::Row<From, Event, To, msm::front::none, msm::front::none>;

// MSM asserts by default when no row applies; here such an event is ignored.
template<typename Derived>
struct Ignoring : msm::front::state_machine_def<Derived>
{
  template<typename Machine, typename Event>
  void no_transition(const Event&, Machine&, int) // NOLINT: name given by MSM
  {
  }
};

template<typename Table>
class Runner
{
public:
  Runner() { m_table.start(); }

  template<typename Event>
  bool Process(const Event& aEvent)
  {
    return m_table.process_event(aEvent) == msm::back::HANDLED_TRUE;
  }

  auto State() const { return m_table.m_state; }

private:
  msm::back::state_machine<Table> m_table;
};

} // namespace

//-----------------------------------------------------------------------------
// [2] Target
//-----------------------------------------------------------------------------

namespace {

struct Announced
{};
struct Started
{};
struct WarmedUp
{};
struct TurnedCold
{};
struct Left
{};
struct Stayed
{};
struct Lost
{};

struct TargetTable : Ignoring<TargetTable>
{
  using Gone = At<TargetState::Gone>;
  using Known = At<TargetState::Announced>;
  using Cold = At<TargetState::Cold>;
  using Warm = At<TargetState::Warm>;
  using Leaving = At<TargetState::Leaving>;
  using initial_state = Gone; // NOLINT: name given by MSM

  // NOLINTNEXTLINE: name given by MSM
  struct transition_table
    : boost::mpl::vector<On<Gone, Announced, Known>,
                         On<Known, Announced, Known>,
                         On<Cold, Announced, Known>,
                         On<Warm, Announced, Known>,
                         On<Leaving, Announced, Known>,
                         On<Known, Started, Cold>,
                         On<Cold, WarmedUp, Warm>,
                         On<Warm, TurnedCold, Cold>,
                         On<Known, Left, Leaving>,
                         On<Cold, Left, Leaving>,
                         On<Warm, Left, Leaving>,
                         On<Leaving, Stayed, Cold>,
                         On<Known, Lost, Gone>,
                         On<Cold, Lost, Gone>,
                         On<Warm, Lost, Gone>,
                         On<Leaving, Lost, Gone>>
  {};

  TargetState m_state = TargetState::Gone;
};

} // namespace

struct TargetLifecycle::Machine : Runner<TargetTable>
{};

std::string_view
ToString(TargetState aState)
{
  switch (aState) {
    case TargetState::Gone:
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
  if (State() != TargetState::Gone && aIncarnation == m_incarnation) {
    return false;
  }
  m_incarnation = aIncarnation;
  return m_machine->Process(Announced());
}

bool
TargetLifecycle::Start()
{
  return m_machine->Process(Started());
}

bool
TargetLifecycle::WarmUp()
{
  return m_machine->Process(WarmedUp());
}

bool
TargetLifecycle::TurnCold()
{
  return m_machine->Process(TurnedCold());
}

bool
TargetLifecycle::Leave()
{
  return m_machine->Process(Left());
}

bool
TargetLifecycle::Stay()
{
  return m_machine->Process(Stayed());
}

bool
TargetLifecycle::Lose()
{
  return m_machine->Process(Lost());
}

//-----------------------------------------------------------------------------
// [3] Node that stops
//-----------------------------------------------------------------------------

namespace {

struct StopAsked
{};
struct EndAsked
{};
struct CallersGone
{};
struct LeaveKnown
{};
struct AllDrained
{};

struct ShutdownTable : Ignoring<ShutdownTable>
{
  using Running = At<ShutdownState::Running>;
  using Unready = At<ShutdownState::Unready>;
  using Announcing = At<ShutdownState::Announcing>;
  using Draining = At<ShutdownState::Draining>;
  using Stopped = At<ShutdownState::Stopped>;
  using initial_state = Running; // NOLINT: name given by MSM

  // NOLINTNEXTLINE: name given by MSM
  struct transition_table
    : boost::mpl::vector<On<Running, StopAsked, Unready>,
                         On<Unready, CallersGone, Announcing>,
                         On<Announcing, LeaveKnown, Draining>,
                         On<Draining, AllDrained, Stopped>,
                         On<Unready, EndAsked, Stopped>,
                         On<Announcing, EndAsked, Stopped>,
                         On<Draining, EndAsked, Stopped>>
  {};

  ShutdownState m_state = ShutdownState::Running;
};

} // namespace

struct NodeShutdown::Machine : Runner<ShutdownTable>
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
  return m_machine->Process(StopAsked());
}

bool
NodeShutdown::ForceStop()
{
  return m_machine->Process(EndAsked());
}

bool
NodeShutdown::StartAnnouncing()
{
  return m_machine->Process(CallersGone());
}

bool
NodeShutdown::StartDraining()
{
  return m_machine->Process(LeaveKnown());
}

bool
NodeShutdown::FinishDraining()
{
  return m_machine->Process(AllDrained());
}

} // namespace sassafrasquay
