// BUDGET: a request that crashes instances, while the nodes are restarted in
// turn.
#include "world.h"

#include <algorithm>
#include <set>

using namespace review;

namespace {

constexpr double kStableWindow = 3.0;
constexpr double kRollStart = 10.0; // after the start of traffic
constexpr double kRollGap = 9.0;
constexpr double kTraffic = 62.0;
// The refusal after two crashes lasts a minute, so the run ends before it.

struct Sending
{
  double m_time;
  size_t m_node;
  bool m_inTouch;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  Record::Open(aCount > 1 ? aArguments[1] : "record.txt");
  const std::vector<MachinePlan> plan = {
    { "fi-south-a", "catalogue" }, { "fi-south-b", "catalogue" },
    { "fi-south-c", "catalogue" }, { "fi-south-a", "catalogue" },
    { "fi-south-b", "catalogue" }, { "fi-south-c", "catalogue" },
  };
  const std::string config = ConfigText(
    7,
    { ServiceText{ "catalogue" } },
    "shop.example",
    { RouteText{ "read", "/pages/", "safe", 1000, 400, 2, "catalogue" },
      RouteText{ "order", "/orders/", "unsafe", 1200, 500, 1, "catalogue" } });
  Deployment deployment(plan, config, [](InstanceSettings& aSettings) {
    aSettings.m_poisonPath = "/orders/broken";
    aSettings.m_workS = 0.12;
  });
  if (!deployment.Start(20)) {
    Record::Line("a node did not become ready");
    return 2;
  }
  SleepFor(8);
  const double start = Now();
  const double end = start + kTraffic;
  Record::Line("traffic starts; trouble %d", IsTroubled() ? 1 : 0);

  // Ordinary calls at every machine that is in: reads and orders.
  std::atomic<int> served = 0;
  std::atomic<int> failed = 0;
  std::atomic<int> lostOrders = 0;
  std::vector<std::thread> threads;
  for (size_t i = 0; i < 2 * deployment.Size(); ++i) {
    threads.emplace_back([&, i] {
      Node& node = deployment.NodeAt(i / 2);
      const bool isOrder = i % 2 == 1;
      int number = 0;
      while (Now() < end) {
        SleepFor(0.05);
        if (!node.IsReady()) {
          continue;
        }
        const std::string path = (isOrder ? "/orders/" : "/pages/") +
                                 std::to_string(i) + "/" +
                                 std::to_string(++number);
        const ClientRequest request = {
          isOrder ? "POST" : "GET", "shop.example", path,
          isOrder ? path : "",      1200,           NewAttemptId()
        };
        const ClientAnswer answer = Send(node.Outbound(), request);
        ++(answer.m_status == 200 ? served : failed);
        if (isOrder && answer.m_status != 200) {
          ++lostOrders;
          Record::Line("ordinary order %s at %s: %d %s",
                       request.m_attemptId.c_str(),
                       node.Settings().m_name.c_str(),
                       answer.m_status,
                       answer.m_reason.c_str());
        }
      }
    });
  }

  // The request that crashes instances. It comes again at the machines in
  // turn, with the same path, caller and body.
  std::mutex mutex;
  std::map<std::string, Sending> sendings;
  threads.emplace_back([&] {
    SleepUntil(start + 2);
    size_t next = 0;
    while (Now() < end) {
      SleepFor(0.4);
      for (size_t tries = 0; tries < deployment.Size(); ++tries) {
        const size_t i = next++ % deployment.Size();
        Node& node = deployment.NodeAt(i);
        const double up = node.UpSince();
        if (!node.IsReady() || up < 0 || Now() < up + kStableWindow + 0.2) {
          continue;
        }
        const ClientRequest request = {
          "POST",    "shop.example", "/orders/broken",
          "order 7", 1200,           NewAttemptId()
        };
        {
          const std::lock_guard lock(mutex);
          sendings[request.m_attemptId] = { Now(), i, true };
        }
        const ClientAnswer answer = Send(node.Outbound(), request);
        const bool inTouch = node.UpSince() == up;
        {
          const std::lock_guard lock(mutex);
          sendings[request.m_attemptId].m_inTouch = inTouch;
        }
        Record::Line("request %s at %s: %d %s",
                     request.m_attemptId.c_str(),
                     node.Settings().m_name.c_str(),
                     answer.m_status,
                     answer.m_reason.c_str());
        break;
      }
    }
  });

  // roll_term: the machines are stopped and started in turn.
  if (IsTroubled()) {
    SleepUntil(start + kRollStart);
    for (size_t i = 0; i < deployment.Size() && Now() < end - 6; ++i) {
      const double begin = Now();
      Node& node = deployment.NodeAt(i);
      node.Terminate();
      node.AwaitExit(6);
      SleepFor(0.3);
      node.Start();
      SleepUntil(std::min(begin + kRollGap, end));
    }
  }
  for (std::thread& thread : threads) {
    thread.join();
  }

  std::vector<Arrival> arrivals;
  for (size_t i = 0; i < deployment.Size(); ++i) {
    for (const Arrival& arrival : deployment.InstanceAt(i).Arrivals()) {
      if (arrival.m_target == "/orders/broken" && arrival.m_ran) {
        arrivals.push_back(arrival);
      }
    }
  }
  std::sort(arrivals.begin(),
            arrivals.end(),
            [](const Arrival& aLeft, const Arrival& aRight) {
              return aLeft.m_time < aRight.m_time;
            });
  std::set<std::string> late;
  for (const Arrival& arrival : arrivals) {
    const Sending& sending = sendings[arrival.m_attemptId];
    const bool counts = arrivals.size() > 2 &&
                        arrival.m_time > arrivals[2].m_time + kStableWindow &&
                        sending.m_inTouch;
    if (counts) {
      late.insert(arrival.m_attemptId);
    }
    Record::Line("crash of %s at %.3f by request %s from %s, sent %.3f%s",
                 arrival.m_instance.c_str(),
                 arrival.m_time,
                 arrival.m_attemptId.c_str(),
                 deployment.NodeAt(sending.m_node).Settings().m_name.c_str(),
                 sending.m_time,
                 counts ? ", counts" : "");
  }
  Record::Line("%zu crashes; ordinary calls: %d served, %d not, %d of them "
               "orders",
               arrivals.size(),
               served.load(),
               failed.load(),
               lostOrders.load());
  Record::Line("%zu retries reached instances over %.0f s after the third "
               "crash; the rule allows 3",
               late.size(),
               kStableWindow);
  return late.size() > 3 ? 1 : 0;
}
