// Random sequences of events at the admission of a target that states its load,
// against a simple model of what it may let through.
#include "admission/admission.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <rapidcheck.h>

using namespace sassafrasquay;
using namespace std::chrono_literals;

namespace {

constexpr uint32_t kSlots = 3;
constexpr double kColdRate = 4;

// Drives the admission and checks each verdict.
class World
{
public:
  World() { m_admission->SetColdStartRate(kColdRate); }

  void Apply(uint32_t aStep)
  {
    const uint32_t value = aStep / 16;
    switch (aStep % 16) {
      case 0:
        m_admission->SetTarget(kSlots, m_incarnation, m_now);
        if (!m_announced) {
          m_slowUntil = {};
          m_stated.clear();
        }
        m_announced = true;
        m_gone = false;
        break;
      case 1:
        m_admission->SetTarget(kSlots, ++m_incarnation, m_now);
        m_announced = true;
        m_gone = m_leaving = false;
        m_running.clear();
        m_slowUntil = {};
        m_stated.clear();
        break;
      case 2:
        m_admission->SetLeaving(true, m_now);
        m_leaving = !m_gone; // nobody can leave who is not there
        break;
      case 3:
        m_zoneOut = value % 2 == 0;
        m_admission->SetZoneOut(m_zoneOut, m_now);
        break;
      case 4:
        if (m_now >= m_coldUntil && value % 3000 > 0) {
          m_stated.clear();
          m_slowUntil = {};
        }
        m_coldUntil = m_now + std::chrono::milliseconds(value % 3000);
        m_admission->SetColdStartRemaining(m_coldUntil - m_now, m_now);
        break;
      case 5:
        m_admission->ClearTarget(m_now);
        m_gone = true;
        m_leaving = false; // the next announcement starts anew
        break;
      case 6:
      case 7:
      case 8:
        m_now += std::chrono::milliseconds(value % 400);
        Take(m_admission->Tick(m_now));
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
        State(value % 3 == 0 ? 500 : value % 3 == 1 ? 200 : 100);
        break;
      default:
        Offer(value);
    }
  }

  // Every queued call is settled in the end.
  void Settle()
  {
    m_now += 1h;
    Take(m_admission->Tick(m_now));
    RC_ASSERT(m_queued.empty());
  }

private:
  void Offer(uint32_t aValue)
  {
    AdmissionRequest request;
    request.m_call = { 1, ++m_next };
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
      Started(request.m_call);
    } else if (result.m_verdict == AdmissionVerdict::Queued) {
      RC_ASSERT(IsOpen());
      RC_ASSERT(request.m_mayQueue);
      m_queued.emplace(request.m_call, request.m_deadline);
    }
  }

  // The target is in a spell while it states much more than its best word of
  // the last second.
  void State(uint32_t aPercent)
  {
    std::erase_if(
      m_stated, [this](const auto& aOne) { return m_now - aOne.first >= 1s; });
    uint32_t best = aPercent;
    if (m_stated.empty() && m_now >= m_coldUntil) {
      m_stated.emplace_back(m_now, 100);
    }
    for (const auto& [at, percent] : m_stated) {
      best = std::min(best, percent);
    }
    m_stated.emplace_back(m_now, aPercent);
    m_slowUntil = aPercent >= 1.6 * best ? m_now + 250ms : TimePoint();
    m_admission->SetSlowness(aPercent, m_now);
  }

  void FinishOne(uint32_t aValue)
  {
    if (m_running.empty()) {
      return;
    }
    const CallId call = m_running.front();
    m_running.pop_front();
    const FinishedRequest outcome{ RequestOutcome::Completed,
                                   std::chrono::milliseconds(aValue % 100) };
    Take(m_admission->Finish(call, outcome, m_now));
  }

  void Take(const std::vector<QueuedCallVerdict>& aEvents)
  {
    for (const QueuedCallVerdict& event : aEvents) {
      const auto found = m_queued.find(event.m_call);
      RC_ASSERT(found != m_queued.end()); // one verdict for each queued call
      if (event.m_admitted) {
        RC_ASSERT(m_now <= found->second);
        Started(event.m_call);
      }
      m_queued.erase(found);
    }
  }

  bool IsOpen() const { return !m_gone && !m_leaving && !m_zoneOut; }

  void Started(CallId aCall)
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
      RC_ASSERT(static_cast<double>(inWindow) <= kColdRate);
    }
  }

  std::unique_ptr<AdmissionController> m_admission =
    MakeReportedLoadAdmission(AdmissionSettings());
  TimePoint m_now{ 1000s };
  TimePoint m_coldUntil{};
  TimePoint m_slowUntil{};
  std::vector<std::pair<TimePoint, uint32_t>> m_stated;
  uint64_t m_incarnation = 1;
  uint64_t m_next = 0;
  bool m_gone = true;
  bool m_announced = false; // the present incarnation
  bool m_leaving = false;
  bool m_zoneOut = false;
  std::map<CallId, TimePoint> m_queued; // with their deadlines
  std::deque<CallId> m_running;
  std::deque<TimePoint> m_starts;
};

} // namespace

BOOST_AUTO_TEST_SUITE(stated_admission)

BOOST_AUTO_TEST_SUITE(under_any_sequence_of_events)

// Guards against more work than slots, a cold target over its rate, work that
// begins in a spell of slowness, work for a target that takes none, and a
// queued call that is forgotten.
BOOST_AUTO_TEST_CASE(the_target_gets_no_more_than_it_bears)
{
  BOOST_TEST(rc::check("bounds hold", [] {
    const auto steps = *rc::gen::scale(
      8.0,
      rc::gen::container<std::vector<uint32_t>>(rc::gen::inRange(0U, 400000U)));
    World world;
    for (const uint32_t step : steps) {
      world.Apply(step);
    }
    world.Settle();
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
