// Tests which reports of the target beside a node apply.
#include "targets/target_reports.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasquay;
using namespace std::chrono_literals;

namespace {

WallTime
WallSeconds(int aSeconds)
{
  return WallTime(std::chrono::seconds(aSeconds));
}

TargetReport
MakeReport(std::string aId, int aProcessStart, uint64_t aSequence)
{
  TargetReport report;
  report.m_id = std::move(aId);
  report.m_processStart = WallSeconds(aProcessStart);
  report.m_sequence = aSequence;
  report.m_service = "bookings";
  report.m_address = { "10.0.0.1", 80 };
  report.m_slots = 6;
  return report;
}

struct ReportsFixture
{
  TargetReportFilter m_reports{ "bookings", Endpoint{ "10.0.0.1", 80 } };

  ReportVerdict Report(const std::string& aId,
                       int aProcessStart,
                       uint64_t aSequence)
  {
    return m_reports.OnReport(MakeReport(aId, aProcessStart, aSequence));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(targets, ReportsFixture)

BOOST_AUTO_TEST_SUITE(a_target_reports)

// Guards against a late report that replaces a newer one, for example "ready"
// that arrives after "draining".
BOOST_AUTO_TEST_CASE(and_only_its_newest_report_applies)
{
  BOOST_CHECK(Report("i", 10, 1) == ReportVerdict::NewProcess);
  BOOST_CHECK(Report("i", 10, 3) == ReportVerdict::Update);
  BOOST_CHECK(Report("i", 10, 2) == ReportVerdict::Stale);
  BOOST_CHECK(Report("i", 10, 3) == ReportVerdict::Stale);
}

// Guards against a report of an ended process that arrives after its
// successor's.
BOOST_AUTO_TEST_CASE(and_an_earlier_process_is_ignored)
{
  Report("i", 10, 7);
  BOOST_CHECK(Report("j", 20, 1) == ReportVerdict::NewProcess);
  BOOST_CHECK(Report("i", 10, 8) == ReportVerdict::Stale);
  BOOST_TEST(m_reports.Last()->m_id == "j");
}

// Guards against a restart with the same id that is taken for a late report.
BOOST_AUTO_TEST_CASE(and_a_restart_with_its_id_is_a_new_process)
{
  Report("i", 10, 7);
  BOOST_CHECK(Report("i", 20, 1) == ReportVerdict::NewProcess);
  BOOST_CHECK(Report("i", 10, 8) == ReportVerdict::Stale);
}

// Guards against a report of another service or address that is taken for one
// of the node's own target.
BOOST_AUTO_TEST_CASE(and_reports_of_other_targets_change_nothing)
{
  Report("i", 10, 1);
  TargetReport other = MakeReport("k", 30, 1);
  other.m_service = "catalogue";
  BOOST_CHECK(m_reports.OnReport(other) == ReportVerdict::Foreign);
  other = MakeReport("k", 30, 1);
  other.m_address.m_port = 81;
  BOOST_CHECK(m_reports.OnReport(other) == ReportVerdict::Foreign);
  BOOST_TEST(m_reports.Last()->m_id == "i");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_target_leaves)

// Guards against a report that was sent before the leave, arrives after it and
// announces the target again.
BOOST_AUTO_TEST_CASE(and_its_late_reports_do_not_announce_it_again)
{
  Report("i", 10, 4);
  BOOST_TEST(!m_reports.OnLeave("other", WallSeconds(15)));
  BOOST_TEST(m_reports.OnLeave("i", WallSeconds(15)));
  BOOST_CHECK(Report("i", 10, 5) == ReportVerdict::Stale);
  BOOST_TEST(!m_reports.Last().has_value());
  BOOST_CHECK(Report("i", 20, 1) == ReportVerdict::NewProcess);
}

// Guards against a late report that announces a target after its leave, when
// the node started after the last report and acknowledged the leave of a target
// that had not reported to it.
BOOST_AUTO_TEST_CASE(and_a_node_without_a_report_of_it_ignores_its_late_ones)
{
  BOOST_TEST(!m_reports.OnLeave("i", WallSeconds(15)));
  BOOST_CHECK(Report("i", 10, 5) == ReportVerdict::Stale);
  BOOST_CHECK(Report("i", 20, 1) == ReportVerdict::NewProcess);
}

// Guards against a late leave of an earlier process that excludes the running
// target, when the node has no report of either.
BOOST_AUTO_TEST_CASE(and_a_process_with_another_id_is_not_affected)
{
  BOOST_TEST(!m_reports.OnLeave("earlier", WallSeconds(15)));
  BOOST_CHECK(Report("i", 10, 5) == ReportVerdict::NewProcess);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_node_has_restarted)

namespace {

struct PolicyFixture
{
  static constexpr TimePoint kStart{ 100s };
  const WallTime m_wallStart = WallSeconds(1000);
  AnnouncementPolicy m_policy{ kStart, m_wallStart, 10s };

  // A report, 1 s after the node's start, of a target that started before it.
  bool MayAnnounce(const std::string& aId)
  {
    return m_policy.ReportMayAnnounce(aId, WallSeconds(900), kStart + 1s);
  }
};

} // namespace

// Guards against a health check that announces a target after the node has
// acknowledged its leave.
BOOST_FIXTURE_TEST_CASE(
  and_health_checks_do_not_announce_a_target_that_has_left,
  PolicyFixture)
{
  m_policy.OnLeave("i");
  BOOST_TEST(!m_policy.HealthMayAnnounce("i"));
  BOOST_TEST(m_policy.HealthMayAnnounce("j"));
}

// Guards against late reports, however many, that announce a target whose leave
// the node acknowledged before its restart.
BOOST_FIXTURE_TEST_CASE(and_late_reports_do_not_announce_a_target_that_has_left,
                        PolicyFixture)
{
  BOOST_TEST(!MayAnnounce("i")); // before the first health check
  m_policy.OnHealth("i", false);
  for (int report = 0; report < 5; ++report) {
    BOOST_TEST(!MayAnnounce("i"));
  }
  m_policy.OnHealth("j", true);
  BOOST_TEST(!MayAnnounce("i"));
}

// Guards against a target that waits although nothing can be late: it is
// healthy, or it has started after the node.
BOOST_FIXTURE_TEST_CASE(and_a_target_that_has_not_left_is_announced,
                        PolicyFixture)
{
  m_policy.OnHealth("i", true);
  BOOST_TEST(MayAnnounce("i"));
  m_policy.OnHealth("i", false);
  BOOST_TEST(!MayAnnounce("i"));
  BOOST_TEST(m_policy.ReportMayAnnounce("k", m_wallStart + 1s, kStart + 2s));
}

// Guards against a target that is never announced because its health check
// wrongly fails.
BOOST_FIXTURE_TEST_CASE(and_an_unhealthy_target_waits_for_late_reports,
                        PolicyFixture)
{
  m_policy.OnHealth("i", false);
  const WallTime before = WallSeconds(900);
  BOOST_TEST(!m_policy.ReportMayAnnounce("i", before, kStart + 9999ms));
  BOOST_TEST(m_policy.ReportMayAnnounce("i", before, kStart + 10s));
}

// Guards against a wait on a node that checks no health.
BOOST_AUTO_TEST_CASE(and_without_a_longest_delay_every_report_announces)
{
  const AnnouncementPolicy policy(TimePoint(100s), WallSeconds(1000), 0s);
  BOOST_TEST(policy.ReportMayAnnounce("i", WallSeconds(900), TimePoint(100s)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
