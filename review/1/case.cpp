// Instances send an answer whose chunk header does not end. The stand-in of the
// platform kills a node that exceeds the memory of its machine.
#include "../harness/harness.h"

using namespace review;

namespace {

constexpr double kMemoryMb = 260;   // memoryMb of the machines
constexpr double kRestartMs = 500;  // until the platform starts a node again
constexpr double kTroubleMs = 5500; // length of one impairment
constexpr double kPauseMs = 5000;   // between two of them
constexpr int kRounds = 4;
constexpr double kSpoiledShare = 0.02; // of the answers of an instance
constexpr double kWorkMs = 60;
constexpr double kBudgetMs = 1200;

struct Trouble
{
  std::atomic<bool> m_active{ false };
  std::atomic<uint64_t> m_answers{ 0 };
  std::atomic<uint64_t> m_spoiled{ 0 };
};

// Sends 'x' as a chunk extension until the node closes the connection.
void
SendEndlessChunkHeader(Socket& aSocket, const string& aHead)
{
  const string part(65536, 'x');
  bool open = aSocket.Write(aHead + "5;a=");
  const double end = Now() + 10000;
  while (open && Now() < end) {
    open = aSocket.Write(part);
  }
}

} // namespace

int
main(int, char** aArguments)
{
  Deployment fleet(aArguments[1]);
  Record& record = fleet.m_record;
  const bool withTrouble = WithTrouble();
  for (const char* zone : { "fi-south-a", "fi-south-b", "fi-south-c" }) {
    fleet.AddMachine(zone, "catalogue");
    fleet.AddMachine(zone, "bookings");
  }
  std::map<string, Trouble> troubles;
  std::mutex mutex;
  std::map<string, std::vector<string>> runs; // request -> instances
  std::set<string> spoiled;                   // requests with such an answer
  for (const auto& machine : fleet.m_machines) {
    Instance& instance = machine->m_instance;
    Trouble& trouble = troubles[instance.m_id];
    instance.m_handler = [&](Socket& aSocket, const Message& aRequest) {
      const string id = aRequest.Get("Sassafrasquay-Attempt-Id");
      ++instance.m_running;
      {
        const std::lock_guard lock(mutex);
        runs[id].push_back(instance.m_id);
      }
      record.Line("run " + id + " at " + instance.m_id);
      SleepMs(kWorkMs);
      --instance.m_running;
      const uint64_t count = ++trouble.m_answers;
      // Exactly the named share of the instance's answers.
      if (trouble.m_active && static_cast<double>(trouble.m_spoiled + 1) <=
                                kSpoiledShare * static_cast<double>(count)) {
        ++trouble.m_spoiled;
        {
          const std::lock_guard lock(mutex);
          spoiled.insert(id);
        }
        record.Line("endless answer to " + id + " by " + instance.m_id);
        const string ok = instance.OkAnswer(aRequest, "");
        SendEndlessChunkHeader(aSocket,
                               ok.substr(0, ok.find("Content-Length")) +
                                 "Transfer-Encoding: chunked\r\n\r\n");
        return false;
      }
      return aSocket.Write(instance.OkAnswer(aRequest, "done " + id));
    };
  }
  fleet.m_store.Put(
    "keyed.op",
    "config",
    ConfigText(
      "r3",
      { "catalogue", "bookings" },
      RouteText("read", "/read/", "safe", "catalogue", 1000, 400, 2) + "," +
        RouteText("confirm", "/confirm/", "unsafe", "bookings", 1200, 500, 1)));
  fleet.StartAll();

  // The platform: measures each node and kills one that exceeds its memory.
  std::atomic<bool> done{ false };
  std::map<string, int> ends;
  double highest = 0;
  std::thread platform([&] {
    std::map<string, double> restartAt;
    while (!done) {
      for (const auto& machine : fleet.m_machines) {
        NodeProcess& node = machine->m_node;
        if (!node.IsRunning()) {
          if (Now() >= restartAt[node.m_name]) {
            node.Start();
            record.Line("started " + node.m_name);
          }
          continue;
        }
        const double used = node.ResidentMb();
        highest = std::max(highest, used);
        if (used > kMemoryMb) {
          node.Kill();
          ++ends[node.m_name];
          restartAt[node.m_name] = Now() + kRestartMs;
          char text[200];
          snprintf(text,
                   sizeof(text),
                   "memory of %s is %.0f MB of %.0f MB: killed, end number %d",
                   node.m_name.c_str(),
                   used,
                   kMemoryMb,
                   ends[node.m_name]);
          record.Say(text);
        } else if (node.WaitEnd(0)) {
          ++ends[node.m_name];
          restartAt[node.m_name] = Now() + kRestartMs;
          record.Say(node.m_name + " ended by itself");
        }
      }
      SleepMs(3);
    }
  });

  // Clients on each machine; they keep their connections.
  std::atomic<int> served{ 0 };
  std::atomic<int> sent{ 0 };
  std::vector<std::pair<string, Attempt>> cut; // node, kept, without an answer
  std::vector<std::thread> clients;
  for (const auto& machine : fleet.m_machines) {
    for (int i = 0; i < 10; ++i) {
      clients.emplace_back([&, i, node = &machine->m_node] {
        std::unique_ptr<Socket> socket;
        while (!done) {
          const bool read = i % 3 != 0;
          const Attempt attempt = SendRequest(socket,
                                              node->m_outbound,
                                              read ? "GET" : "POST",
                                              "app.example",
                                              read ? "/read/1" : "/confirm/1",
                                              read ? "" : string(4000, 'b'),
                                              kBudgetMs);
          ++sent;
          record.Line("client of " + node->m_name + ": " + attempt.m_id +
                      " status " + std::to_string(attempt.m_status) +
                      (attempt.m_kept ? " kept" : " new") +
                      (attempt.m_timedOut ? " timeout" : ""));
          if (attempt.m_status == 200) {
            ++served;
          }
          if (attempt.m_status == 0 && attempt.m_kept && !attempt.m_timedOut) {
            const std::lock_guard lock(mutex);
            cut.emplace_back(node->m_name, attempt);
          }
          SleepMs(attempt.m_status == 200 ? 60 : 200);
        }
      });
    }
  }

  SleepMs(5000);
  for (int round = 0; round < kRounds; ++round) {
    // Two of six instances, one of each service: share 0.33.
    for (const size_t index : { size_t{ 0 }, size_t{ 1 } }) {
      troubles[fleet.m_machines[index]->m_instance.m_id].m_active = withTrouble;
    }
    record.Say(string("round begins, trouble ") + (withTrouble ? "on" : "off"));
    SleepMs(kTroubleMs);
    for (auto& [id, trouble] : troubles) {
      trouble.m_active = false;
    }
    SleepMs(kPauseMs);
  }
  done = true;
  for (std::thread& client : clients) {
    client.join();
  }
  platform.join();
  fleet.StopAll();

  int machines = 0;
  for (const auto& [name, count] : ends) {
    record.Say(name + " ended by itself " + std::to_string(count) + " times");
    machines += count >= 3 ? 1 : 0;
  }
  // Requests of kept connections that a sound answer was due to.
  int lost = 0;
  for (const auto& [node, attempt] : cut) {
    const auto run = runs.find(attempt.m_id);
    lost += run != runs.end() && !spoiled.contains(attempt.m_id) ? 1 : 0;
  }
  char text[200];
  snprintf(text,
           sizeof(text),
           "%d requests, %d served, highest memory of a node %.0f MB, "
           "%d requests of kept connections run by sound instances and cut",
           sent.load(),
           served.load(),
           highest,
           lost);
  record.Say(text);
  if (served < sent / 4) {
    record.Say("too few requests were served: the case could not run");
    return 2;
  }
  if (machines >= 2) {
    record.Say("BROKEN: Fault (3 ends or more on two machines or more)");
  }
  if (lost > 3) {
    record.Say("BROKEN: LOST (more than three requests of kept connections)");
  }
  const bool broken = machines >= 2 || lost > 3;
  record.Say(broken ? "broken" : "held");
  return broken ? 1 : 0;
}
