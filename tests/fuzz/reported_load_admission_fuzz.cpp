// Checks admission for a target that reports its slowness against a simple
// model under random events.
#include "admission/admission.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <rapidcheck.h>

using namespace sassafrasquay;
using namespace std::chrono_literals;

namespace {

constexpr uint32_t kSlots = 3;
constexpr ColdStartRate kColdStartRate{ 2, 1.5, 1 };
constexpr double kMaxColdStarts = 4; // in any second

// Passes events to admission and checks each verdict.
class Model
{
public:
  Model() { m_admission->SetColdStartRate(kColdStartRate); }

  void Apply(uint32_t aStep)
  {
    const uint32_t value = aStep / 16;
    switch (aStep % 16) {
      case 0:
        m_admission->SetTarget(kSlots, m_incarnation, m_now);
        if (!m_announced) {
          m_slowUntil = {};
          m_slownessReports.clear();
        }
        m_announced = true;
        m_absent = false;
        break;
      case 1:
        m_admission->SetTarget(kSlots, ++m_incarnation, m_now);
        m_announced = true;
        m_absent = m_leaving = false;
        m_running.clear();
        m_slowUntil = {};
        m_slownessReports.clear();
        break;
      case 2:
        m_admission->SetLeaving(true, m_now);
        m_leaving = !m_absent; // an absent target cannot leave
        break;
      case 3:
        m_zoneOut = value % 2 == 0;
        m_admission->SetZoneOut(m_zoneOut, m_now);
        break;
      case 4:
        if (m_now >= m_coldUntil && value % 3000 > 0) {
          m_slownessReports.clear();
          m_slowUntil = {};
        }
        m_coldUntil = m_now + std::chrono::milliseconds(value % 3000);
        m_admission->SetColdStartRemaining(m_coldUntil - m_now, m_now);
        break;
      case 5:
        m_admission->ClearTarget(m_now);
        m_absent = true;
        m_leaving = false; // the next announcement restarts the life cycle
        break;
      case 6:
      case 7:
      case 8:
        m_now += std::chrono::milliseconds(value % 400);
        HandleVerdicts(m_admission->Tick(m_now));
        break;
      case 9:
      case 10:
        FinishOne(value);
        break;
      case 11:
        if (!m_queued.empty()) {
          const CallId call = m_queued.begin()->first;
          RC_ASSERT(m_admission->RemoveQueued(call, m_now));
          m_queued.erase(call);
        }
        break;
      case 12:
        ReportSlowness(value % 3 == 0 ? 500 : value % 3 == 1 ? 200 : 100);
        break;
      default:
        Offer(value);
    }
  }

  // Every queued call gets a verdict after its deadline.
  void DrainQueue()
  {
    m_now += 1h;
    HandleVerdicts(m_admission->Tick(m_now));
    RC_ASSERT(m_queued.empty());
  }

private:
  void Offer(uint32_t aValue)
  {
    AdmissionRequest request;
    request.m_call = { 1, ++m_lastCall };
    request.m_deadline = m_now + std::chrono::milliseconds(aValue % 2000);
    request.m_priority = static_cast<uint8_t>(aValue % 3);
    if (aValue % 5 != 0) {
      request.m_latencyObjective =
        m_now + std::chrono::milliseconds(aValue % 300);
    }
    request.m_class = aValue % 4;
    request.m_mayQueue = aValue % 7 != 0;
    const AdmissionResult result = m_admission->Offer(request, m_now);
    if (result.m_verdict == AdmissionVerdict::Admitted) {
      OnStarted(request.m_call);
    } else if (result.m_verdict == AdmissionVerdict::Queued) {
      RC_ASSERT(IsOpen());
      RC_ASSERT(request.m_mayQueue);
      m_queued.emplace(request.m_call, request.m_deadline);
    }
  }

  // The target is in a slow phase while its slowness is at least 1.6 times the
  // lowest one of the last second.
  void ReportSlowness(uint32_t aPercent)
  {
    std::erase_if(m_slownessReports, [this](const auto& aEntry) {
      return m_now - aEntry.first >= 1s;
    });
    uint32_t lowest = aPercent;
    if (m_slownessReports.empty() && m_now >= m_coldUntil) {
      m_slownessReports.emplace_back(m_now, 100);
    }
    for (const auto& [at, percent] : m_slownessReports) {
      lowest = std::min(lowest, percent);
    }
    m_slownessReports.emplace_back(m_now, aPercent);
    m_slowUntil = aPercent >= 1.6 * lowest ? m_now + 250ms : TimePoint();
    m_admission->SetSlowness(aPercent, m_now);
  }

  void FinishOne(uint32_t aValue)
  {
    if (m_running.empty()) {
      return;
    }
    const CallId call = m_running.front();
    m_running.pop_front();
    const FinishedRequest finished{ RequestOutcome::Completed,
                                    std::chrono::milliseconds(aValue % 100) };
    HandleVerdicts(m_admission->Finish(call, finished, m_now));
  }

  void HandleVerdicts(const std::vector<QueuedCallVerdict>& aVerdicts)
  {
    for (const QueuedCallVerdict& verdict : aVerdicts) {
      const auto found = m_queued.find(verdict.m_call);
      RC_ASSERT(found != m_queued.end()); // one verdict for each queued call
      if (verdict.m_admitted) {
        RC_ASSERT(m_now <= found->second);
        OnStarted(verdict.m_call);
      }
      m_queued.erase(found);
    }
  }

  bool IsOpen() const { return !m_absent && !m_leaving && !m_zoneOut; }

  void OnStarted(CallId aCall)
  {
    RC_ASSERT(IsOpen());
    RC_ASSERT(m_now >= m_slowUntil);
    m_running.push_back(aCall);
    RC_ASSERT(m_running.size() <= kSlots);
    m_starts.push_back(m_now);
    const auto inWindow =
      std::count_if(m_starts.begin(), m_starts.end(), [this](TimePoint aAt) {
        return m_now - aAt < 1s;
      });
    if (m_now < m_coldUntil) {
      RC_ASSERT(static_cast<double>(inWindow) <= kMaxColdStarts);
    }
  }

  std::unique_ptr<AdmissionController> m_admission =
    MakeReportedLoadAdmission(AdmissionSettings());
  TimePoint m_now{ 1000s };
  TimePoint m_coldUntil{};
  TimePoint m_slowUntil{};
  std::vector<std::pair<TimePoint, uint32_t>> m_slownessReports;
  uint64_t m_incarnation = 1;
  uint64_t m_lastCall = 0;
  bool m_absent = true;
  bool m_announced = false; // of the current incarnation
  bool m_leaving = false;
  bool m_zoneOut = false;
  std::map<CallId, TimePoint> m_queued; // call to deadline
  std::deque<CallId> m_running;
  std::deque<TimePoint> m_starts;
};

} // namespace

BOOST_AUTO_TEST_SUITE(reported_load_admission)

BOOST_AUTO_TEST_SUITE(under_any_sequence_of_events)

// Guards against more requests in flight than slots or than the rate of a cold
// start, requests that start in a slow phase, requests to a target that accepts
// none, and queued calls without a verdict.
BOOST_AUTO_TEST_CASE(the_target_gets_no_more_requests_than_its_limits_allow)
{
  BOOST_TEST(rc::check("limits hold", [] {
    const auto steps = *rc::gen::scale(
      8.0,
      rc::gen::container<std::vector<uint32_t>>(rc::gen::inRange(0U, 400000U)));
    Model model;
    for (const uint32_t step : steps) {
      model.Apply(step);
    }
    model.DrainQueue();
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
