// Tests the state tables of the life cycles: which events apply in which state.
#include "lifecycle/lifecycle.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasquay;

BOOST_TEST_DONT_PRINT_LOG_VALUE(sassafrasquay::TargetState)
BOOST_TEST_DONT_PRINT_LOG_VALUE(sassafrasquay::ShutdownState)
BOOST_TEST_DONT_PRINT_LOG_VALUE(sassafrasquay::Executed)

BOOST_AUTO_TEST_SUITE(lifecycle)

BOOST_AUTO_TEST_SUITE(a_target)

// Guards against a target that gets full load before its responses show that it
// is warm.
BOOST_AUTO_TEST_CASE(becomes_warm_only_after_it_has_served)
{
  TargetLifecycle target;
  BOOST_TEST(!target.MarkWarm());
  BOOST_TEST(target.Announce(7));
  BOOST_TEST(!target.MarkWarm());
  BOOST_TEST(target.MarkDispatched());
  BOOST_TEST(target.MarkWarm());
  BOOST_TEST(!target.Announce(7));
  BOOST_TEST(target.State() == TargetState::Warm);
  BOOST_TEST(target.Announce(8));
  BOOST_TEST(target.State() == TargetState::Announced);
}

// Guards against new work for a draining target after a late event.
BOOST_AUTO_TEST_CASE(stays_leaving_until_replaced_or_the_leave_is_cancelled)
{
  TargetLifecycle target;
  target.Announce(7);
  target.MarkDispatched();
  BOOST_TEST(target.StartLeaving());
  BOOST_TEST(!target.MarkWarm());
  BOOST_TEST(!target.MarkCold());
  BOOST_TEST(!target.Announce(7));
  BOOST_TEST(target.State() == TargetState::Leaving);
  BOOST_TEST(target.CancelLeaving());
  BOOST_TEST(target.State() == TargetState::Cold);
  BOOST_TEST(target.MarkLost());
  BOOST_TEST(!target.CancelLeaving());
  BOOST_TEST(target.State() == TargetState::Absent);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_node_that_shuts_down)

// Guards against a stop before the drain, against a repeated shutdown request
// that cuts the drain short, and against a forced stop that is ignored.
BOOST_AUTO_TEST_CASE(drains_before_it_stops_unless_it_is_forced)
{
  NodeShutdown graceful;
  BOOST_TEST(!graceful.FinishDraining());
  BOOST_TEST(graceful.StartShutdown());
  BOOST_TEST(!graceful.StartShutdown());
  BOOST_TEST(!graceful.StartDraining());
  BOOST_TEST(graceful.StartAnnouncing());
  BOOST_TEST(graceful.AcceptsWork());
  BOOST_TEST(!graceful.FinishDraining());
  BOOST_TEST(graceful.StartDraining());
  BOOST_TEST(!graceful.StartShutdown());
  BOOST_TEST(!graceful.AcceptsWork());
  BOOST_TEST(graceful.State() == ShutdownState::Draining);
  BOOST_TEST(graceful.FinishDraining());
  BOOST_TEST(graceful.State() == ShutdownState::Stopped);

  NodeShutdown forced;
  BOOST_TEST(!forced.ForceStop());
  forced.StartShutdown();
  BOOST_TEST(forced.ForceStop());
  BOOST_TEST(forced.State() == ShutdownState::Stopped);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
