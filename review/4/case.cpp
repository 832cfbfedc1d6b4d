// An instance leaves with DELETE, which its node acknowledges, and serves on
// for some seconds. The node is killed and started again. Status reports that
// the instance sent before it left arrive late, at the new process.
#include "../harness/harness.h"

using namespace review;

namespace {

constexpr double kWorkMs = 30;
constexpr double kBudgetMs = 1200;
constexpr double kDrainMs = 2000;
constexpr double kStableWindowMs = 3000;
constexpr double kKillMs = 300; // all times after the ack of the leave
constexpr double kRestartMs = 800;
constexpr double kLateMs = 1500;  // the report sent 1600 ms before the leave
constexpr double kLate2Ms = 2000; // the report sent 100 ms before the leave
constexpr double kInstanceEndsMs = 12000;
constexpr int kRounds = 4;

struct Arrival
{
  double m_time;
  string m_id;
};

} // namespace

int
main(int, char** aArguments)
{
  Deployment fleet(aArguments[1]);
  Record& record = fleet.m_record;
  const bool withTrouble = WithTrouble();
  const string service = "fieldwork";
  for (const char* zone : { "fi-south-a", "fi-south-b", "fi-south-c" }) {
    fleet.AddMachine(zone, service);
    fleet.AddMachine(zone, "catalogue");
  }
  std::mutex mutex;
  std::map<string, std::vector<Arrival>> arrivals; // instance -> requests
  std::map<string, string> entries;                // request -> entry machine
  for (const auto& machine : fleet.m_machines) {
    Instance& instance = machine->m_instance;
    instance.m_handler = [&](Socket& aSocket, const Message& aRequest) {
      const string id = aRequest.Get("Sassafrasquay-Attempt-Id");
      record.Line(instance.m_id + " runs " + id);
      {
        const std::lock_guard lock(mutex);
        arrivals[instance.m_id].push_back({ Now(), id });
      }
      ++instance.m_running;
      SleepMs(kWorkMs);
      --instance.m_running;
      return aSocket.Write(instance.OkAnswer(aRequest, "done " + id));
    };
  }
  fleet.m_store.Put(
    "keyed.op",
    "config",
    ConfigText("r3",
               { "catalogue", service },
               RouteText("photo", "/photo/", "unsafe", service, 1200, 500, 1)));
  fleet.StartAll();

  std::atomic<bool> done{ false };
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
  std::vector<std::thread> clients;
  for (const auto& machine : fleet.m_machines) {
    for (int i = 0; i < 6; ++i) {
      clients.emplace_back([&, node = &machine->m_node] {
        std::unique_ptr<Socket> socket;
        while (!done) {
          const Attempt attempt = SendRequest(socket,
                                              node->m_outbound,
                                              "POST",
                                              "app.example",
                                              "/photo/1",
                                              string(2000, 'b'),
                                              kBudgetMs);
          ++sent;
          served += attempt.m_status == 200 ? 1 : 0;
          record.Line("client of " + node->m_name + ": " + attempt.m_id +
                      " status " + std::to_string(attempt.m_status));
          {
            const std::lock_guard lock(mutex);
            entries[attempt.m_id] = node->m_name;
          }
          SleepMs(attempt.m_status == 200 ? 120 : 300);
        }
      });
    }
  }
  SleepMs(3000);
  int broken = 0;
  for (int round = 0; round < kRounds; ++round) {
    Machine& machine = *fleet.m_machines[(round % 3) * 2];
    Instance& leaver = machine.m_instance;
    leaver.m_reports = false;
    SleepMs(50);
    const string first = leaver.ReportText("ready");
    if (!withTrouble) {
      leaver.Call("PUT", first);
    }
    SleepMs(1500);
    const string second = leaver.ReportText("ready");
    if (!withTrouble) {
      leaver.Call("PUT", second);
    }
    SleepMs(100);
    leaver.m_leaving = true;
    const bool acked = leaver.Call("DELETE", "");
    const double ack = Now();
    record.Say(leaver.m_id + " leaves, " + (acked ? "acknowledged" : "no ack"));
    if (!acked) {
      return 2;
    }
    const auto waitUntil = [ack](double aMs) { SleepMs(ack + aMs - Now()); };
    if (withTrouble) {
      waitUntil(kKillMs);
      machine.m_node.Kill();
      record.Say(machine.m_node.m_name + " is killed");
      waitUntil(kRestartMs);
      machine.m_node.Start();
      record.Say(machine.m_node.m_name + " starts again");
      waitUntil(kLateMs);
      record.Say(string("a report arrives late: ") +
                 (leaver.Call("PUT", first) ? "ack" : "no ack"));
      waitUntil(kLate2Ms);
      record.Say(string("another report arrives late: ") +
                 (leaver.Call("PUT", second) ? "ack" : "no ack"));
    }
    waitUntil(kInstanceEndsMs);
    leaver.Stop();
    // The restarted machine is in touch again after the stable window.
    const double bound =
      ack + std::max(kDrainMs, kRestartMs + kStableWindowMs) + 300;
    int late = 0;
    {
      const std::lock_guard lock(mutex);
      for (const Arrival& arrival : arrivals[leaver.m_id]) {
        if (arrival.m_time > bound &&
            entries[arrival.m_id] != machine.m_node.m_name) {
          ++late;
        }
      }
    }
    record.Say(std::to_string(late) +
               " requests of machines in touch reached " + leaver.m_id +
               " later than " + std::to_string(static_cast<int>(bound - ack)) +
               " ms after the ack");
    broken += late;
    // The next lifetime on that machine.
    leaver.m_id += "x";
    leaver.m_leaving = false;
    leaver.m_reports = true;
    if (!leaver.Start()) {
      return 2;
    }
    SleepMs(6000);
  }
  done = true;
  for (std::thread& client : clients) {
    client.join();
  }
  fleet.StopAll();
  record.Say(std::to_string(sent) + " requests, " + std::to_string(served) +
             " served, " + std::to_string(broken) + " too late at an instance");
  if (served < sent / 4) {
    record.Say("too few requests were served: the case could not run");
    return 2;
  }
  record.Say(broken > 0 ? "BROKEN: DRAIN" : "held");
  return broken > 0 ? 1 : 0;
}
