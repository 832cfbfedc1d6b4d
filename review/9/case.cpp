// DENIED: a configuration raises the limit of bodies; clients go on with the
// connections that they have kept open.
#include "world.h"

using namespace review;

namespace {

constexpr double kConfig = 2.0;
constexpr int64_t kOldLimit = 100000;
constexpr int64_t kNewLimit = 1000000;
constexpr size_t kSmall = 60000;
constexpr size_t kLarge = 200000;
constexpr size_t kClients = 20; // of each machine
constexpr double kPause = 9.0;  // between two uploads; 15 s idle are allowed

} // namespace

int
main(int aCount, char** aArguments)
{
  Record::Open(aCount > 1 ? aArguments[1] : "record.txt");
  const std::vector<MachinePlan> plan = { { "fi-south-a", "fieldwork" },
                                          { "fi-south-b", "fieldwork" },
                                          { "fi-south-c", "fieldwork" } };
  const auto config = [](int aVersion, int64_t aMaxBodyBytes) {
    return ConfigText(
      aVersion,
      { ServiceText{ "fieldwork" } },
      "shop.example",
      { RouteText{ "photo", "/photos/", "upload", 1200, 500, 1, "fieldwork" } },
      aMaxBodyBytes);
  };
  const bool isTroubled = IsTroubled();
  Deployment deployment(plan,
                        config(7, isTroubled ? kOldLimit : kNewLimit),
                        [](InstanceSettings&) {});
  if (!deployment.Start(20)) {
    Record::Line("a node did not become ready");
    return 2;
  }
  SleepFor(8);
  const double start = Now();
  Record::Line("traffic starts; trouble %d", isTroubled ? 1 : 0);

  // Each client keeps its connection and sends an upload each nine seconds:
  // a small one, and larger ones once the new limit has been in force for long.
  std::atomic<double> ack = isTroubled ? 1e9 : start;
  std::atomic<int> requests = 0;
  std::atomic<int> served = 0;
  std::atomic<int> denied = 0;
  std::vector<std::thread> threads;
  for (size_t i = 0; i < kClients * deployment.Size(); ++i) {
    threads.emplace_back([&, i] {
      Node& node = deployment.NodeAt(i % deployment.Size());
      Connection connection;
      SleepUntil(start + 3.0 * static_cast<double>(i) /
                           static_cast<double>(kClients * deployment.Size()));
      for (int number = 0; number < 4; ++number) {
        const double next = Now() + kPause;
        const size_t size = Now() > ack + kConfig ? kLarge : kSmall;
        const ClientRequest request = { "POST",
                                        "shop.example",
                                        "/photos/" + std::to_string(i) + "/" +
                                          std::to_string(number),
                                        std::string(size, 'x'),
                                        1200,
                                        NewAttemptId() };
        const ClientAnswer answer =
          SendOn(connection, node.Outbound(), request);
        ++requests;
        served += answer.m_status == 200;
        denied += answer.m_status == 413;
        if (answer.m_status != 200) {
          Record::Line("upload %s of %zu bytes at %s, %.2f s after the ack: "
                       "%d %s",
                       request.m_attemptId.c_str(),
                       size,
                       node.Settings().m_name.c_str(),
                       answer.m_sent - ack,
                       answer.m_status,
                       answer.m_reason.c_str());
        }
        SleepUntil(next);
      }
    });
  }
  if (isTroubled) {
    SleepUntil(start + 5);
    ack = deployment.GetStore().Put("config", config(8, kNewLimit));
    Record::Line("version 8 is acknowledged: bodies up to %ld bytes",
                 static_cast<long>(kNewLimit));
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const double allowed = 5 + requests / 500.0;
  Record::Line("%d uploads, %d served, %d refused with 413; the rule allows "
               "%.1f",
               requests.load(),
               served.load(),
               denied.load(),
               allowed);
  return denied > allowed ? 1 : 0;
}
