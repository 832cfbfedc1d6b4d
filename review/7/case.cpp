// CONFIG: the store is silent while a configuration is written.
#include "world.h"

#include <algorithm>
#include <cstdlib>

using namespace review;

namespace {

constexpr double kSilence = 4.5;
constexpr double kStableWindow = 3.0;
constexpr double kConfig = 2.0;
constexpr double kOuter = 5.0;
constexpr double kTraffic = 48.0;

} // namespace

int
main(int aCount, char** aArguments)
{
  Record::Open(aCount > 1 ? aArguments[1] : "record.txt");
  const std::vector<MachinePlan> plan = {
    { "fi-south-a", "bookings" },  { "fi-south-b", "bookings" },
    { "fi-south-c", "bookings" },  { "fi-south-a", "fieldwork" },
    { "fi-south-b", "fieldwork" }, { "fi-south-c", "fieldwork" },
  };
  const auto config = [](int aVersion, const std::string& aService) {
    return ConfigText(
      aVersion,
      { ServiceText{ "bookings" }, ServiceText{ "fieldwork" } },
      "shop.example",
      { RouteText{ "order", "/orders/", "unsafe", 1200, 500, 1, aService } });
  };
  Deployment deployment(plan, config(7, "bookings"), [](InstanceSettings&) {});
  if (!deployment.Start(20)) {
    Record::Line("a node did not become ready");
    return 2;
  }
  SleepFor(8);
  const double start = Now();
  const double end = start + kTraffic;
  Record::Line("traffic starts; trouble %d", IsTroubled() ? 1 : 0);

  struct Sent
  {
    double m_time;
    size_t m_node;
  };
  std::mutex mutex;
  std::map<std::string, Sent> sent;
  std::atomic<int> served = 0;
  std::atomic<int> failed = 0;
  std::vector<std::thread> threads;
  for (size_t i = 0; i < deployment.Size(); ++i) {
    threads.emplace_back([&, i] {
      while (Now() < end) {
        SleepFor(0.1);
        Node& node = deployment.NodeAt(i);
        if (!node.IsReady()) {
          continue;
        }
        const ClientRequest request = {
          "POST",  "shop.example", "/orders/" + std::to_string(i),
          "order", 1200,           NewAttemptId()
        };
        {
          const std::lock_guard lock(mutex);
          sent[request.m_attemptId] = { Now(), i };
        }
        const ClientAnswer answer = Send(node.Outbound(), request);
        ++(answer.m_status == 200 ? served : failed);
      }
    });
  }

  Store& store = deployment.GetStore();
  const double silentAt = start + 20;
  const double calmAt = silentAt + kSilence;
  SleepUntil(silentAt);
  if (IsTroubled()) {
    store.SetSilent(true);
    Record::Line("the store falls silent");
    SleepUntil(silentAt + 1);
    store.Put("config", config(8, "fieldwork"));
    Record::Line("the operator writes version 8; it is stored, its answer is "
                 "lost");
    SleepUntil(calmAt);
    for (const auto& [path, count] : store.Lost()) {
      Record::Line("lost answers of %s: %d", path.c_str(), count);
    }
    store.SetSilent(false);
    Record::Line("the store answers again");
  } else {
    SleepUntil(silentAt + 1);
    store.Put("config", config(8, "fieldwork"));
    SleepUntil(calmAt);
  }
  SleepFor(0.1);
  const double ack = store.Put("config", config(8, "fieldwork"));
  Record::Line("the operator writes version 8 again; acknowledged");
  for (std::thread& thread : threads) {
    thread.join();
  }

  // The time from which the new version binds every machine: those that
  // are in touch again, with the longest stretch that the rules give.
  const double bound = std::max(ack + kConfig + kOuter, calmAt + kStableWindow);
  size_t late = 0;
  std::map<size_t, double> last;
  for (size_t i = 0; i < 3; ++i) {
    for (const Arrival& arrival : deployment.InstanceAt(i).Arrivals()) {
      const Sent& request = sent[arrival.m_attemptId];
      if (arrival.m_ran) {
        last[request.m_node] = std::max(last[request.m_node], request.m_time);
        late += request.m_time > bound;
      }
    }
  }
  for (const auto& [node, time] : last) {
    Record::Line("%s sent its last request to the old service %.2f s after "
                 "the acknowledgement",
                 deployment.NodeAt(node).Settings().m_name.c_str(),
                 time - ack);
  }
  Record::Line("%d served, %d not", served.load(), failed.load());
  Record::Line("%zu requests were run by the old service though sent over "
               "%.1f s after the acknowledgement",
               late,
               bound - ack);
  return late > 0 ? 1 : 0;
}
