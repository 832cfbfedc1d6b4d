// Cost of membership in virtual time: complete Membership objects exchange
// authenticated datagrams within one process.
//
// Usage: membership_cost [members ...] [zone]     default: 50 200 800 2800
// With "zone", only the failure of a zone is measured.
// Prints one Markdown row for each size and scenario. CPU time includes
// encoding, authentication and the event queue of this program.
#include "gossip/gossip.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <malloc.h>
#include <queue>

using namespace sassafrasquay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kTransitTime = milliseconds(1);
constexpr size_t kZones = 8;
// The partition of a larger fleet, ten minutes of virtual time, takes more than
// half an hour to simulate.
constexpr size_t kLargestPartitionedFleet = 800;
// 320 replacements per day in a fleet of 2,800 nodes.
constexpr double kReplacementsPerNodeSecond = 320.0 / 2800 / 86400;
constexpr double kReplacementScale = 100;

double
CpuSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

struct BenchNode
{
  std::unique_ptr<Membership> m_membership; // null: crashed
  std::unique_ptr<SeededRandom> m_random;
  MemberRecord m_self;
  uint64_t m_sequence = 0;
  size_t m_bytesThisSecond = 0; // sent in the current second
};

struct Event
{
  TimePoint m_at{};
  uint64_t m_order = 0; // events of the same time keep their order
  size_t m_node = 0;
  size_t m_from = 0;
  Bytes m_bytes; // empty: timer

  bool operator<(const Event& aOther) const
  {
    return std::tie(m_at, m_order) > std::tie(aOther.m_at, aOther.m_order);
  }
};

struct Measurements
{
  uint64_t m_bytes = 0; // sent by all nodes
  uint64_t m_datagrams = 0;
  size_t m_maxNodeSecondBytes = 0; // most that one node sent in a second
  double m_cpuSeconds = 0;
  double m_nodeSeconds = 0;
  size_t m_falsePositives = 0; // changes of running nodes to suspect or dead
};

class BenchFleet
{
public:
  explicit BenchFleet(size_t aMembers)
    : m_random(20261204)
  {
    for (size_t i = 0; i < aMembers; ++i) {
      AddNode();
    }
    std::vector<MemberRecord> records;
    for (const BenchNode& node : m_nodes) {
      records.push_back(node.m_membership->Self());
    }
    Datagram fullTable;
    fullTable.m_kind = MessageKind::SyncPage;
    fullTable.m_to = UINT64_MAX;
    fullTable.m_senderJoined = true;
    fullTable.m_records = std::move(records);
    for (size_t i = 0; i < aMembers; ++i) {
      fullTable.m_sender =
        m_nodes[(i + 1) % aMembers].m_membership->Self().m_summary;
      Membership& membership = *m_nodes[i].m_membership;
      const Endpoint& seed = m_nodes[(i + 1) % aMembers].m_self.m_info.m_peer;
      membership.Join({ seed }, m_now); // its datagrams are dropped
      membership.OnDatagram(seed, fullTable, m_now);
      ScheduleTick(i);
    }
  }

  // Adds a node with a new id and address that has not joined yet; returns its
  // index.
  size_t AddNode()
  {
    const size_t index = m_nodes.size();
    const std::string zone = std::to_string(index % kZones);
    BenchNode node;
    node.m_random = std::make_unique<SeededRandom>(m_random.Next());
    node.m_self.m_summary.m_incarnation = 1764845600000 + index;
    MemberInfo& info = node.m_self.m_info;
    info.m_id = { "node-" + std::to_string(index) };
    info.m_peer = { AddressOf(index), 4100 };
    info.m_region = "region-" + std::to_string(index % kZones / 3);
    info.m_zone = "zone-" + zone;
    info.m_service = "service-" + std::to_string(index % 180);
    info.m_slots = 6;
    info.m_targetIncarnation = 1764845600000 + index;
    node.m_membership = std::make_unique<Membership>(
      MembershipSettings(), node.m_self, m_sizes, *node.m_random, m_now);
    m_indexByKey[MemberKeyOf(info.m_id)] = index;
    m_nodes.push_back(std::move(node));
    m_timers.push_back(TimePoint::max());
    return index;
  }

  void Join(size_t aNode, size_t aSeed)
  {
    Membership& membership = *m_nodes[aNode].m_membership;
    Perform(aNode,
            membership.Join({ m_nodes[aSeed].m_self.m_info.m_peer }, m_now));
  }
  void Crash(size_t aNode) { m_nodes[aNode].m_membership.reset(); }
  void Stop(size_t aNode)
  {
    Perform(aNode, m_nodes[aNode].m_membership->Stop(m_now));
    Crash(aNode);
  }
  void Leave(size_t aNode)
  {
    Perform(aNode, m_nodes[aNode].m_membership->Leave(m_now));
  }

  Measurements Run(Duration aDuration)
  {
    m_measurements = {};
    const double cpu = CpuSeconds();
    const TimePoint end = m_now + aDuration;
    while (!m_queue.empty() && m_queue.top().m_at < end) {
      const Event event = m_queue.top();
      m_queue.pop();
      UpdateSecond(event.m_at);
      m_now = std::max(m_now, event.m_at);
      Handle(event);
    }
    m_now = end;
    m_measurements.m_cpuSeconds = CpuSeconds() - cpu;
    m_measurements.m_nodeSeconds =
      static_cast<double>(RunningCount()) *
      std::chrono::duration<double>(aDuration).count();
    return m_measurements;
  }

  size_t RunningCount() const
  {
    return static_cast<size_t>(
      std::count_if(m_nodes.begin(), m_nodes.end(), [](const auto& aNode) {
        return aNode.m_membership != nullptr;
      }));
  }

  // Counts the pairs of a running observer and a node of aNodes, as listed by
  // the observer, for which aPredicate is true.
  size_t CountPairs(const std::vector<size_t>& aNodes,
                    const std::function<bool(const Member&)>& aPredicate) const
  {
    size_t count = 0;
    for (const BenchNode& observer : m_nodes) {
      for (const size_t node : aNodes) {
        if (observer.m_membership) {
          const auto member =
            observer.m_membership->Find(m_nodes[node].m_self.m_info.m_id);
          count += member && aPredicate(*member) ? 1 : 0;
        }
      }
    }
    return count;
  }
  // Partitions one region from the others.
  void SetPartitioned(bool aPartitioned) { m_partitioned = aPartitioned; }
  // Counts the running nodes that list aCount live members.
  size_t CountNodesListing(size_t aCount) const
  {
    return static_cast<size_t>(
      std::count_if(m_nodes.begin(), m_nodes.end(), [&](const auto& aNode) {
        return aNode.m_membership &&
               aNode.m_membership->LiveMemberCount() == aCount;
      }));
  }
  bool HasJoined(size_t aNode) const
  {
    return m_nodes[aNode].m_membership && m_nodes[aNode].m_membership->Joined();
  }
  size_t LiveMemberCount(size_t aNode) const
  {
    return m_nodes[aNode].m_membership->LiveMemberCount();
  }
  uint64_t RandomBelow(uint64_t aBound) { return m_random.NextBelow(aBound); }
  size_t NodeCount() const { return m_nodes.size(); }
  bool IsRunning(size_t aNode) const
  {
    return m_nodes[aNode].m_membership != nullptr;
  }

private:
  static std::string AddressOf(size_t aIndex)
  {
    return "10.0." + std::to_string(aIndex / 250) + "." +
           std::to_string(aIndex % 250 + 1);
  }
  size_t IndexOf(const Endpoint& aEndpoint) const
  {
    const char* text = aEndpoint.m_address.c_str() + 5; // after "10.0."
    char* rest = nullptr;
    const size_t high = std::strtoul(text, &rest, 10);
    return high * 250 + std::strtoul(rest + 1, nullptr, 10) - 1;
  }

  // The first region has three of the eight zones.
  static bool IsInFirstRegion(size_t aIndex) { return aIndex % kZones < 3; }

  void ScheduleTick(size_t aNode)
  {
    const TimePoint nextTick = m_nodes[aNode].m_membership->NextTickTime();
    if (nextTick < m_timers[aNode]) {
      m_timers[aNode] = nextTick;
      m_queue.push({ nextTick, ++m_order, aNode, 0, {} });
    }
  }

  void Handle(const Event& aEvent)
  {
    BenchNode& node = m_nodes[aEvent.m_node];
    if (aEvent.m_bytes.empty()) {
      m_timers[aEvent.m_node] = TimePoint::max();
    }
    if (!node.m_membership) {
      return;
    }
    if (aEvent.m_bytes.empty()) {
      if (node.m_membership->NextTickTime() > m_now) {
        return ScheduleTick(aEvent.m_node);
      }
      return Perform(aEvent.m_node, node.m_membership->Tick(m_now));
    }
    uint64_t sequence = 0;
    std::span<const uint8_t> body;
    Datagram datagram;
    if (VerifyDatagram(m_keys, aEvent.m_bytes, sequence, body) !=
          VerifyResult::Ok ||
        !DecodeDatagram(body, datagram)) {
      std::fprintf(stderr, "membership_cost: invalid datagram\n");
      std::exit(1);
    }
    Perform(aEvent.m_node,
            node.m_membership->OnDatagram(
              m_nodes[aEvent.m_from].m_self.m_info.m_peer, datagram, m_now));
  }

  void Perform(size_t aNode, const MembershipActions& aActions)
  {
    BenchNode& node = m_nodes[aNode];
    for (const MemberChange& change : aActions.m_changes) {
      const MemberSummary& summary = change.m_member.m_record.m_summary;
      if (summary.m_health != MemberHealth::Alive &&
          IsRunning(m_indexByKey.at(summary.m_key))) {
        ++m_measurements.m_falsePositives;
      }
    }
    for (const MembershipActions::Send& send : aActions.m_sends) {
      Bytes bytes = SignDatagram(
        m_keys.front(), ++node.m_sequence, EncodeDatagram(send.m_datagram));
      const size_t size = bytes.size() + kIpUdpHeaderBytes;
      m_measurements.m_bytes += size;
      ++m_measurements.m_datagrams;
      node.m_bytesThisSecond += size;
      m_measurements.m_maxNodeSecondBytes =
        std::max(m_measurements.m_maxNodeSecondBytes, node.m_bytesThisSecond);
      const size_t to = IndexOf(send.m_to);
      if (m_partitioned && IsInFirstRegion(to) != IsInFirstRegion(aNode)) {
        continue;
      }
      m_queue.push(
        { m_now + kTransitTime, ++m_order, to, aNode, std::move(bytes) });
    }
    ScheduleTick(aNode);
  }

  void UpdateSecond(TimePoint aTime)
  {
    if (aTime - m_secondStart < seconds(1)) {
      return;
    }
    m_secondStart = aTime;
    for (BenchNode& node : m_nodes) {
      node.m_bytesThisSecond = 0;
    }
  }

  SeededRandom m_random;
  GossipSizeBounds m_sizes;
  std::vector<GossipKey> m_keys{ { 1, "0123456789abcdef0123456789abcdef" } };
  std::vector<BenchNode> m_nodes;
  std::vector<TimePoint> m_timers;
  std::map<MemberKey, size_t> m_indexByKey;
  std::priority_queue<Event> m_queue;
  uint64_t m_order = 0;
  TimePoint m_now{ seconds(1000) };
  TimePoint m_secondStart{ seconds(1000) };
  Measurements m_measurements;
  bool m_partitioned = false;
};

void
Print(size_t aMembers,
      const char* aScenario,
      const Measurements& aMeasurements,
      double aMegabytesPerNode,
      const std::string& aRemark)
{
  std::printf("| %zu | %s | %.0f | %zu | %.1f | %.3f | %.2f | %s |\n",
              aMembers,
              aScenario,
              static_cast<double>(aMeasurements.m_bytes) /
                aMeasurements.m_nodeSeconds,
              aMeasurements.m_maxNodeSecondBytes,
              static_cast<double>(aMeasurements.m_datagrams) /
                aMeasurements.m_nodeSeconds,
              aMeasurements.m_cpuSeconds / aMeasurements.m_nodeSeconds * 1000,
              aMegabytesPerNode,
              aRemark.c_str());
  std::fflush(stdout);
}

void
AddTo(Measurements& aSum, const Measurements& aPart)
{
  aSum.m_bytes += aPart.m_bytes;
  aSum.m_datagrams += aPart.m_datagrams;
  aSum.m_cpuSeconds += aPart.m_cpuSeconds;
  aSum.m_nodeSeconds += aPart.m_nodeSeconds;
  aSum.m_falsePositives += aPart.m_falsePositives;
  aSum.m_maxNodeSecondBytes =
    std::max(aSum.m_maxNodeSecondBytes, aPart.m_maxNodeSecondBytes);
}

double
MegabytesPerNode(size_t aNodes)
{
  return static_cast<double>(mallinfo2().uordblks) / 1e6 /
         static_cast<double>(aNodes);
}

void
MeasureAtRest(BenchFleet& aFleet, size_t aMembers)
{
  aFleet.Run(seconds(5));
  const Measurements measurements = aFleet.Run(seconds(20));
  Print(aMembers,
        "at rest",
        measurements,
        MegabytesPerNode(aMembers),
        std::to_string(measurements.m_falsePositives) + " false positives");
}

void
MeasureLeave(BenchFleet& aFleet, size_t aMembers)
{
  const Duration round = MembershipSettings().m_gossipPeriod;
  const size_t leaving = aFleet.RandomBelow(aMembers);
  aFleet.Leave(leaving);
  Measurements sum;
  size_t rounds = 0;
  size_t reached = 0;
  for (; reached < aMembers && rounds < 100; ++rounds) {
    AddTo(sum, aFleet.Run(round));
    reached = aFleet.CountPairs({ leaving }, [](const Member& aMember) {
      return aMember.m_state == MemberState::Leaving;
    });
  }
  Print(aMembers,
        "one leaves",
        sum,
        MegabytesPerNode(aMembers),
        std::to_string(reached) + " reached in " + std::to_string(rounds) +
          " rounds, " + std::to_string(rounds * 200) + " ms");
  aFleet.Run(seconds(10));
}

void
MeasureReplacements(BenchFleet& aFleet, size_t aMembers)
{
  const double perSecond = kReplacementsPerNodeSecond * kReplacementScale *
                           static_cast<double>(aMembers);
  const auto gap = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(1 / perSecond));
  const size_t count = std::max<size_t>(2, static_cast<size_t>(60 * perSecond));
  Measurements sum;
  std::vector<size_t> joined;
  for (size_t i = 0; i < count; ++i) {
    size_t replaced = aFleet.RandomBelow(aFleet.NodeCount());
    while (!aFleet.IsRunning(replaced)) {
      replaced = aFleet.RandomBelow(aFleet.NodeCount());
    }
    aFleet.Stop(replaced);
    const size_t replacement = aFleet.AddNode();
    size_t seed = aFleet.RandomBelow(replacement);
    while (!aFleet.IsRunning(seed)) {
      seed = aFleet.RandomBelow(replacement);
    }
    aFleet.Join(replacement, seed);
    joined.push_back(replacement);
    AddTo(sum, aFleet.Run(gap));
  }
  aFleet.Run(seconds(40));
  size_t completeCount = 0;
  for (const size_t node : joined) {
    completeCount += aFleet.IsRunning(node) && aFleet.HasJoined(node) &&
                     aFleet.LiveMemberCount(node) == aMembers;
  }
  Print(aMembers,
        "replacements x100",
        sum,
        MegabytesPerNode(aMembers),
        std::to_string(count) + " replaced; 40 s later " +
          std::to_string(completeCount) + " of them list all members");
}

void
MeasureRegionPartition(BenchFleet& aFleet, size_t aMembers)
{
  aFleet.SetPartitioned(true);
  Measurements sum;
  size_t healedAfter = 0;
  for (size_t second = 1; second <= 600 && healedAfter == 0; ++second) {
    AddTo(sum, aFleet.Run(seconds(1)));
    if (second == 120) {
      aFleet.SetPartitioned(false);
    }
    if (second > 120 && aFleet.CountNodesListing(aMembers) == aMembers) {
      healedAfter = second - 120;
    }
  }
  const std::string remark =
    healedAfter == 0
      ? "not healed after 480 s; nodes that list all members: " +
          std::to_string(aFleet.CountNodesListing(aMembers))
      : "all nodes list all members " + std::to_string(healedAfter) +
          " s after the 120 s partition";
  Print(aMembers, "a region splits", sum, MegabytesPerNode(aMembers), remark);
  aFleet.Run(seconds(20));
}

void
MeasureZoneFailure(BenchFleet& aFleet, size_t aMembers)
{
  std::vector<size_t> lostNodes;
  for (size_t i = 0; i < aFleet.NodeCount(); i += kZones) {
    if (aFleet.IsRunning(i)) {
      aFleet.Crash(i);
      lostNodes.push_back(i);
    }
  }
  const size_t pairs = lostNodes.size() * aFleet.RunningCount();
  Measurements sum;
  size_t allSuspectedAt = 0;
  size_t mostSuspectedAt = 0;
  size_t allDeadAt = 0;
  for (size_t second = 1; second <= 180 && allDeadAt == 0; ++second) {
    AddTo(sum, aFleet.Run(seconds(1)));
    const size_t suspected =
      aFleet.CountPairs(lostNodes, [](const Member& aMember) {
        return aMember.m_record.m_summary.m_health != MemberHealth::Alive;
      });
    const size_t dead = aFleet.CountPairs(lostNodes, [](const Member& aMember) {
      return aMember.m_state == MemberState::Dead;
    });
    allSuspectedAt =
      allSuspectedAt == 0 && suspected == pairs ? second : allSuspectedAt;
    mostSuspectedAt = mostSuspectedAt == 0 && suspected * 10 >= pairs * 9
                        ? second
                        : mostSuspectedAt;
    allDeadAt = dead == pairs ? second : 0;
  }
  Print(aMembers,
        "a zone fails",
        sum,
        MegabytesPerNode(aFleet.RunningCount()),
        std::to_string(lostNodes.size()) +
          " lost; suspected by 90% of pairs in " +
          std::to_string(mostSuspectedAt) + " s, all in " +
          std::to_string(allSuspectedAt) + " s; dead: all in " +
          std::to_string(allDeadAt) + " s; " +
          std::to_string(sum.m_falsePositives) + " false positives");
}

} // namespace

int
main(int aCount, char** aArguments)
{
  bool zoneOnly = false;
  std::vector<size_t> sizes;
  for (int i = 1; i < aCount; ++i) {
    if (std::string_view(aArguments[i]) == "zone") {
      zoneOnly = true;
      continue;
    }
    sizes.push_back(std::strtoul(aArguments[i], nullptr, 10));
  }
  if (sizes.empty()) {
    sizes = { 50, 200, 800, 2800 };
  }
  std::puts("| members | scenario | bytes/s sent per node | worst node-second "
            "| datagrams/s | CPU ms/s | MB per node | remark |\n"
            "|---|---|---|---|---|---|---|---|");
  for (const size_t size : sizes) {
    BenchFleet fleet(size);
    if (zoneOnly) {
      fleet.Run(seconds(5));
      MeasureZoneFailure(fleet, size);
      continue;
    }
    MeasureAtRest(fleet, size);
    MeasureLeave(fleet, size);
    MeasureReplacements(fleet, size);
    if (size <= kLargestPartitionedFleet) {
      MeasureRegionPartition(fleet, size);
    }
    MeasureZoneFailure(fleet, size);
  }
  return 0;
}
