// Instances reject requests as not executed, and send the second copy of such
// an answer late, where the next answer on that connection is expected. The
// copy bears the id of its request, which may be back on the same connection.
#include "../harness/harness.h"

using namespace review;

namespace {

constexpr double kShedShare = 0.55;  // of an instance's requests
constexpr double kShedMs = 8500;     // length of that impairment
constexpr double kCopyShare = 0.03;  // of an instance's answers
constexpr double kCopyMs = 5000;     // length of that impairment
constexpr double kCopyPauseMs = 200; // between two of them
constexpr double kPauseMs = 1500;    // between two rounds
constexpr int kRounds = 8;
constexpr size_t kInstancesWithCopies = 1; // of two, share 0.5
constexpr size_t kLeaver = 2;              // the third machine of the service
constexpr double kWorkMs = 30;
constexpr double kBudgetMs = 1200;
constexpr int kClientsPerMachine = 14;

struct Trouble
{
  std::atomic<bool> m_sheds{ false };
  std::atomic<bool> m_copies{ false };
  std::atomic<uint64_t> m_answers{ 0 }; // while m_copies is set
  std::atomic<uint64_t> m_copied{ 0 };
};

// The instance drains and leaves, as planned, and its machine is stopped.
void
ScaleIn(Deployment& aFleet, Machine& aMachine)
{
  Instance& instance = aMachine.m_instance;
  instance.m_leaving = true; // its reports say draining from now on
  const bool drained = instance.SendReport("draining");
  SleepMs(3000);
  const bool left = instance.Call("DELETE", "");
  instance.Stop();
  aMachine.m_node.Signal(SIGTERM);
  if (!drained || !left || !aMachine.m_node.WaitEnd(6000)) {
    aMachine.m_node.Kill();
  }
  aFleet.m_record.Say(instance.m_id + " has left, two instances serve");
}

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
  }
  fleet.AddMachine("fi-south-a", "catalogue");
  fleet.AddMachine("fi-south-b", "catalogue");
  std::map<string, Trouble> troubles;
  std::mutex mutex;
  std::map<string, std::vector<string>> runs; // request -> instances
  std::mt19937_64 random(fleet.m_random());
  for (const auto& machine : fleet.m_machines) {
    Instance& instance = machine->m_instance;
    Trouble& trouble = troubles[instance.m_id];
    instance.m_handler = [&](Socket& aSocket, const Message& aRequest) {
      // The late copy on this connection, kept beside the socket's input.
      static thread_local string copy;
      static thread_local int copyOf = -1;
      if (copyOf != aSocket.Fd()) {
        copy.clear();
        copyOf = aSocket.Fd();
      }
      const string id = aRequest.Get("Sassafrasquay-Attempt-Id");
      if (!copy.empty()) {
        record.Line(instance.m_id + " sends a late copy as it gets " + id);
        if (!aSocket.Write(copy)) {
          return false;
        }
        copy.clear();
      }
      if (trouble.m_copies) {
        ++trouble.m_answers;
      }
      bool shed = instance.m_running >= 6 + 12; // slots and queue
      if (trouble.m_sheds) {
        const std::lock_guard lock(mutex);
        shed = shed || std::uniform_real_distribution<>()(random) < kShedShare;
      }
      if (shed) {
        record.Line(instance.m_id + " rejects " + id);
        const string answer = instance.ShedAnswer(aRequest);
        if (trouble.m_copies &&
            static_cast<double>(trouble.m_copied + 1) <=
              kCopyShare * static_cast<double>(trouble.m_answers)) {
          ++trouble.m_copied;
          copy = answer;
        }
        return aSocket.Write(answer);
      }
      ++instance.m_running;
      {
        const std::lock_guard lock(mutex);
        runs[id].push_back(instance.m_id);
      }
      record.Line(instance.m_id + " runs " + id);
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
  ScaleIn(fleet, *fleet.m_machines[kLeaver]);

  std::atomic<bool> done{ false };
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
  std::map<string, int> statuses;
  std::vector<std::thread> clients;
  for (const auto& machine : fleet.m_machines) {
    if (!machine->m_node.IsRunning()) {
      continue;
    }
    for (int i = 0; i < kClientsPerMachine; ++i) {
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
            statuses[attempt.m_id] = attempt.m_status;
          }
          SleepMs(attempt.m_status == 200 ? 250 : 350);
        }
      });
    }
  }
  SleepMs(5000);
  for (int round = 0; round < kRounds; ++round) {
    record.Say(string("round begins, trouble ") + (withTrouble ? "on" : "off"));
    const auto setCopies = [&](bool aOn) {
      for (size_t i = 0; i < kInstancesWithCopies; ++i) {
        troubles[fleet.m_machines[i]->m_instance.m_id].m_copies = aOn;
      }
    };
    for (auto& [id, trouble] : troubles) {
      trouble.m_sheds = withTrouble;
    }
    setCopies(withTrouble);
    SleepMs(kCopyMs);
    setCopies(false);
    SleepMs(kCopyPauseMs);
    setCopies(withTrouble);
    SleepMs(kShedMs - kCopyMs - kCopyPauseMs);
    setCopies(false);
    for (auto& [id, trouble] : troubles) {
      trouble.m_sheds = false;
    }
    SleepMs(kPauseMs);
  }
  done = true;
  for (std::thread& client : clients) {
    client.join();
  }
  SleepMs(500);
  fleet.StopAll();

  int twice = 0;
  int refused = 0;
  for (const auto& [id, instances] : runs) {
    const int status = statuses[id];
    if (instances.size() > 1) {
      ++twice;
      record.Say("TWICE: " + id + " ran at " + instances[0] + " and " +
                 instances[1] + ", the client got " + std::to_string(status));
    }
    if (status == 503 || status == 429 || status == 408 || status == 421) {
      ++refused;
      record.Say("REFUSED: " + id + " ran at " + instances[0] +
                 " and the client got " + std::to_string(status));
    }
  }
  uint64_t copied = 0;
  for (const auto& [id, trouble] : troubles) {
    copied += trouble.m_copied;
  }
  record.Say(std::to_string(sent) + " requests, " + std::to_string(served) +
             " served, " + std::to_string(copied) + " late copies, " +
             std::to_string(twice) + " ran twice, " + std::to_string(refused) +
             " refused though they ran");
  if (served < sent / 4) {
    record.Say("too few requests were served: the case could not run");
    return 2;
  }
  const bool broken = twice + refused > 0;
  record.Say(broken ? "broken" : "held");
  return broken ? 1 : 0;
}
