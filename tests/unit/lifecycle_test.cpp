// Guards the tables of the life cycles: which events apply in which state.
#include "lifecycle/lifecycle.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasquay;

BOOST_TEST_DONT_PRINT_LOG_VALUE(sassafrasquay::TargetState)
BOOST_TEST_DONT_PRINT_LOG_VALUE(sassafrasquay::ShutdownState)
BOOST_TEST_DONT_PRINT_LOG_VALUE(sassafrasquay::Run)

BOOST_AUTO_TEST_SUITE(lifecycle)

BOOST_AUTO_TEST_SUITE(a_target)

// Guards against a target that carries full load without evidence of warmth.
BOOST_AUTO_TEST_CASE(becomes_warm_only_after_it_has_served)
{
  TargetLifecycle life;
  BOOST_TEST(!life.WarmUp());
  BOOST_TEST(life.Announce(7));
  BOOST_TEST(!life.WarmUp());
  BOOST_TEST(life.Start());
  BOOST_TEST(life.WarmUp());
  BOOST_TEST(!life.Announce(7));
  BOOST_TEST(life.State() == TargetState::Warm);
  BOOST_TEST(life.Announce(8));
  BOOST_TEST(life.State() == TargetState::Announced);
}

// Guards against new work on a draining target after a late signal.
BOOST_AUTO_TEST_CASE(stays_leaving_until_it_is_replaced_or_kept)
{
  TargetLifecycle life;
  life.Announce(7);
  life.Start();
  BOOST_TEST(life.Leave());
  BOOST_TEST(!life.WarmUp());
  BOOST_TEST(!life.TurnCold());
  BOOST_TEST(!life.Announce(7));
  BOOST_TEST(life.State() == TargetState::Leaving);
  BOOST_TEST(life.Stay());
  BOOST_TEST(life.State() == TargetState::Cold);
  BOOST_TEST(life.Lose());
  BOOST_TEST(!life.Stay());
  BOOST_TEST(life.State() == TargetState::Gone);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_node_that_stops)

// Guards against an end before the drain, against a repeated stop that cuts it
// short, and against an end on command that is ignored.
BOOST_AUTO_TEST_CASE(drains_before_it_ends_unless_told_to_end_now)
{
  NodeShutdown slow;
  BOOST_TEST(!slow.FinishDraining());
  BOOST_TEST(slow.StartShutdown());
  BOOST_TEST(!slow.StartShutdown());
  BOOST_TEST(!slow.StartDraining());
  BOOST_TEST(slow.StartAnnouncing());
  BOOST_TEST(slow.AcceptsWork());
  BOOST_TEST(!slow.FinishDraining());
  BOOST_TEST(slow.StartDraining());
  BOOST_TEST(!slow.StartShutdown());
  BOOST_TEST(!slow.AcceptsWork());
  BOOST_TEST(slow.State() == ShutdownState::Draining);
  BOOST_TEST(slow.FinishDraining());
  BOOST_TEST(slow.State() == ShutdownState::Stopped);

  NodeShutdown fast;
  BOOST_TEST(!fast.ForceStop());
  fast.StartShutdown();
  BOOST_TEST(fast.ForceStop());
  BOOST_TEST(fast.State() == ShutdownState::Stopped);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
