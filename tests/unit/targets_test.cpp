// Guards the order of the reports about the target beside a node.
#include "targets/target_reports.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasquay;
using namespace std::chrono_literals;

namespace {

WallTime
Wall(int aSeconds)
{
  return WallTime(std::chrono::seconds(aSeconds));
}

TargetReport
MakeReport(std::string aId, int aBorn, uint64_t aSequence)
{
  TargetReport report;
  report.m_id = std::move(aId);
  report.m_processStart = Wall(aBorn);
  report.m_sequence = aSequence;
  report.m_service = "bookings";
  report.m_address = { "10.0.0.1", 80 };
  report.m_slots = 6;
  return report;
}

struct ReportsFixture
{
  TargetReportFilter m_reports{ "bookings", Endpoint{ "10.0.0.1", 80 } };

  ReportVerdict Report(const std::string& aId, int aBorn, uint64_t aSequence)
  {
    return m_reports.OnReport(MakeReport(aId, aBorn, aSequence));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(targets, ReportsFixture)

BOOST_AUTO_TEST_SUITE(a_target_reports)

// Guards against a late report that undoes a newer one, for example a "ready"
// that overtakes "draining".
BOOST_AUTO_TEST_CASE(and_only_its_newest_word_counts)
{
  BOOST_CHECK(Report("i", 10, 1) == ReportVerdict::NewProcess);
  BOOST_CHECK(Report("i", 10, 3) == ReportVerdict::Update);
  BOOST_CHECK(Report("i", 10, 2) == ReportVerdict::Stale);
  BOOST_CHECK(Report("i", 10, 3) == ReportVerdict::Stale);
}

// Guards against a report of a dead process that arrives after its successor's.
BOOST_AUTO_TEST_CASE(and_an_earlier_process_is_ignored)
{
  Report("i", 10, 7);
  BOOST_CHECK(Report("j", 20, 1) == ReportVerdict::NewProcess);
  BOOST_CHECK(Report("i", 10, 8) == ReportVerdict::Stale);
  BOOST_TEST(m_reports.Last()->m_id == "j");
}

// Guards against a restart under the same id being taken for a late report.
BOOST_AUTO_TEST_CASE(and_a_restart_under_its_id_is_a_new_target)
{
  Report("i", 10, 7);
  BOOST_CHECK(Report("i", 20, 1) == ReportVerdict::NewProcess);
  BOOST_CHECK(Report("i", 10, 8) == ReportVerdict::Stale);
}

// Guards against another service or address being taken for the own target.
BOOST_AUTO_TEST_CASE(and_foreign_reports_change_nothing)
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

// Guards against a report that was sent before the leave and brings the target
// back.
BOOST_AUTO_TEST_CASE(and_its_late_reports_do_not_bring_it_back)
{
  Report("i", 10, 4);
  BOOST_TEST(!m_reports.OnLeave("other", Wall(15)));
  BOOST_TEST(m_reports.OnLeave("i", Wall(15)));
  BOOST_CHECK(Report("i", 10, 5) == ReportVerdict::Stale);
  BOOST_TEST(!m_reports.Last().has_value());
  BOOST_CHECK(Report("i", 20, 1) == ReportVerdict::NewProcess);
}

// Guards against a node that started after the last report: it acknowledges the
// leave of a target that it does not know, and a late report brings it back.
BOOST_AUTO_TEST_CASE(and_a_node_that_does_not_know_it_remembers_the_leave)
{
  BOOST_TEST(!m_reports.OnLeave("i", Wall(15)));
  BOOST_CHECK(Report("i", 10, 5) == ReportVerdict::Stale);
  BOOST_CHECK(Report("i", 20, 1) == ReportVerdict::NewProcess);
}

// Guards against a late leave of an earlier process that shuts out the target
// that runs now, when the node knows neither.
BOOST_AUTO_TEST_CASE(and_another_process_is_not_meant)
{
  BOOST_TEST(!m_reports.OnLeave("earlier", Wall(15)));
  BOOST_CHECK(Report("i", 10, 5) == ReportVerdict::NewProcess);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_node_has_started_again)

// Guards against a leave that the node has acknowledged and a health answer
// undoes.
BOOST_AUTO_TEST_CASE(and_health_does_not_announce_a_target_that_left)
{
  AnnouncementPolicy memory;
  memory.OnLeave("i");
  BOOST_TEST(!memory.HealthMayAnnounce("i"));
  BOOST_TEST(memory.HealthMayAnnounce("j"));
}

// Guards against late word from before a leave that the process before has
// acknowledged, and against a target with a wrong health that stays out.
BOOST_AUTO_TEST_CASE(and_an_unhealthy_target_has_to_report_twice)
{
  AnnouncementPolicy memory;
  BOOST_TEST(memory.ReportMayAnnounce("i"));
  memory.OnHealth("i", false);
  BOOST_TEST(!memory.ReportMayAnnounce("i"));
  memory.OnHealth("i", false);
  BOOST_TEST(memory.ReportMayAnnounce("i"));
  BOOST_TEST(memory.ReportMayAnnounce("j"));
  memory.OnHealth("k", false);
  memory.OnHealth("k", true);
  BOOST_TEST(memory.ReportMayAnnounce("k"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
