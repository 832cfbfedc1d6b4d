// Cost of membership in virtual time: full Membership objects that exchange
// sealed datagrams in one process.
//
// Usage: membership_cost [members ...] [zone]     default: 50 200 800 2800
// With "zone" only the loss of a zone is measured.
// Prints one Markdown row for each size and scenario. CPU time includes
// encoding, seal and the event queue of this program.
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

constexpr Duration kTransit = milliseconds(1);
constexpr size_t kZones = 8;
// Ten minutes of a larger fleet take longer than half an hour.
constexpr size_t kLargestSplit = 800;
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
  size_t m_secondBytes = 0; // in the current second
};

struct Event
{
  TimePoint m_at{};
  uint64_t m_order = 0; // first come, first served
  size_t m_node = 0;
  size_t m_from = 0;
  Bytes m_bytes; // empty: timer

  bool operator<(const Event& aOther) const
  {
    return std::tie(m_at, m_order) > std::tie(aOther.m_at, aOther.m_order);
  }
};

struct Figures
{
  uint64_t m_bytes = 0; // sent by all
  uint64_t m_datagrams = 0;
  size_t m_worstSecond = 0; // bytes of one node in one second
  double m_cpu = 0;
  double m_nodeSeconds = 0;
  size_t m_accusations = 0; // changes to suspect or gone of running nodes
};

class BenchFleet
{
public:
  explicit BenchFleet(size_t aMembers)
    : m_random(20261204)
  {
    for (size_t i = 0; i < aMembers; ++i) {
      Add();
    }
    std::vector<MemberRecord> records;
    for (const BenchNode& node : m_nodes) {
      records.push_back(node.m_membership->Self());
    }
    Datagram page;
    page.m_kind = MessageKind::SyncPage;
    page.m_to = UINT64_MAX;
    page.m_senderJoined = true;
    page.m_records = std::move(records);
    for (size_t i = 0; i < aMembers; ++i) {
      page.m_sender =
        m_nodes[(i + 1) % aMembers].m_membership->Self().m_summary;
      Membership& membership = *m_nodes[i].m_membership;
      const Endpoint& seed = m_nodes[(i + 1) % aMembers].m_self.m_info.m_peer;
      membership.Join({ seed }, m_now); // its request is dropped
      membership.OnDatagram(seed, page, m_now);
      Arm(i);
    }
  }

  // A node of its own name and address that has not joined yet.
  size_t Add()
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
      MembershipSettings(), node.m_self, m_sizer, *node.m_random, m_now);
    m_byKey[MemberKeyOf(info.m_id)] = index;
    m_nodes.push_back(std::move(node));
    m_armed.push_back(TimePoint::max());
    return index;
  }

  void Start(size_t aNode, size_t aSeed)
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

  Figures Run(Duration aDuration)
  {
    m_figures = {};
    const double cpu = CpuSeconds();
    const TimePoint end = m_now + aDuration;
    while (!m_queue.empty() && m_queue.top().m_at < end) {
      const Event event = m_queue.top();
      m_queue.pop();
      NextSecond(event.m_at);
      m_now = std::max(m_now, event.m_at);
      Handle(event);
    }
    m_now = end;
    m_figures.m_cpu = CpuSeconds() - cpu;
    m_figures.m_nodeSeconds = static_cast<double>(Running()) *
                              std::chrono::duration<double>(aDuration).count();
    return m_figures;
  }

  size_t Running() const
  {
    return static_cast<size_t>(
      std::count_if(m_nodes.begin(), m_nodes.end(), [](const auto& aNode) {
        return aNode.m_membership != nullptr;
      }));
  }

  // Pairs of a running observer and a member of aNodes for which aTest holds.
  size_t Count(const std::vector<size_t>& aNodes,
               const std::function<bool(const Member&)>& aTest) const
  {
    size_t count = 0;
    for (const BenchNode& observer : m_nodes) {
      for (const size_t node : aNodes) {
        if (observer.m_membership) {
          const auto member =
            observer.m_membership->Find(m_nodes[node].m_self.m_info.m_id);
          count += member && aTest(*member) ? 1 : 0;
        }
      }
    }
    return count;
  }
  // Partitions one region from the others.
  void Split(bool aSplit) { m_split = aSplit; }
  // Running nodes that list aCount members as not gone.
  size_t Complete(size_t aCount) const
  {
    return static_cast<size_t>(
      std::count_if(m_nodes.begin(), m_nodes.end(), [&](const auto& aNode) {
        return aNode.m_membership &&
               aNode.m_membership->LiveMemberCount() == aCount;
      }));
  }
  bool Joined(size_t aNode) const
  {
    return m_nodes[aNode].m_membership && m_nodes[aNode].m_membership->Joined();
  }
  size_t LiveMemberCount(size_t aNode) const
  {
    return m_nodes[aNode].m_membership->LiveMemberCount();
  }
  uint64_t Next(uint64_t aBound) { return m_random.NextBelow(aBound); }
  size_t Total() const { return m_nodes.size(); }
  bool Up(size_t aNode) const { return m_nodes[aNode].m_membership != nullptr; }

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

  // One region with three of the eight zones against the two others.
  static bool SideOf(size_t aIndex) { return aIndex % kZones < 3; }

  void Arm(size_t aNode)
  {
    const TimePoint wake = m_nodes[aNode].m_membership->NextTickTime();
    if (wake < m_armed[aNode]) {
      m_armed[aNode] = wake;
      m_queue.push({ wake, ++m_order, aNode, 0, {} });
    }
  }

  void Handle(const Event& aEvent)
  {
    BenchNode& node = m_nodes[aEvent.m_node];
    if (aEvent.m_bytes.empty()) {
      m_armed[aEvent.m_node] = TimePoint::max();
    }
    if (!node.m_membership) {
      return;
    }
    if (aEvent.m_bytes.empty()) {
      if (node.m_membership->NextTickTime() > m_now) {
        return Arm(aEvent.m_node);
      }
      return Perform(aEvent.m_node, node.m_membership->Tick(m_now));
    }
    uint64_t sequence = 0;
    std::span<const uint8_t> body;
    Datagram datagram;
    if (VerifyDatagram(m_keys, aEvent.m_bytes, sequence, body) !=
          VerifyResult::Ok ||
        !DecodeDatagram(body, datagram)) {
      std::fprintf(stderr, "a datagram does not decode\n");
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
      const MemberSummary& brief = change.m_member.m_record.m_summary;
      if (brief.m_health != MemberHealth::Alive &&
          Up(m_byKey.at(brief.m_key))) {
        ++m_figures.m_accusations;
      }
    }
    for (const MembershipActions::Send& send : aActions.m_sends) {
      Bytes bytes = SignDatagram(
        m_keys.front(), ++node.m_sequence, EncodeDatagram(send.m_datagram));
      const size_t size = bytes.size() + kIpUdpHeaderBytes;
      m_figures.m_bytes += size;
      ++m_figures.m_datagrams;
      node.m_secondBytes += size;
      m_figures.m_worstSecond =
        std::max(m_figures.m_worstSecond, node.m_secondBytes);
      const size_t to = IndexOf(send.m_to);
      if (m_split && SideOf(to) != SideOf(aNode)) {
        continue;
      }
      m_queue.push(
        { m_now + kTransit, ++m_order, to, aNode, std::move(bytes) });
    }
    Arm(aNode);
  }

  void NextSecond(TimePoint aTime)
  {
    if (aTime - m_second < seconds(1)) {
      return;
    }
    m_second = aTime;
    for (BenchNode& node : m_nodes) {
      node.m_secondBytes = 0;
    }
  }

  SeededRandom m_random;
  GossipSizeBounds m_sizer;
  std::vector<GossipKey> m_keys{ { 1, "0123456789abcdef0123456789abcdef" } };
  std::vector<BenchNode> m_nodes;
  std::vector<TimePoint> m_armed;
  std::map<MemberKey, size_t> m_byKey;
  std::priority_queue<Event> m_queue;
  uint64_t m_order = 0;
  TimePoint m_now{ seconds(1000) };
  TimePoint m_second{ seconds(1000) };
  Figures m_figures;
  bool m_split = false;
};

void
Print(size_t aMembers,
      const char* aScenario,
      const Figures& aFigures,
      double aMegabytes,
      const std::string& aRemark)
{
  std::printf("| %zu | %s | %.0f | %zu | %.1f | %.3f | %.2f | %s |\n",
              aMembers,
              aScenario,
              static_cast<double>(aFigures.m_bytes) / aFigures.m_nodeSeconds,
              aFigures.m_worstSecond,
              static_cast<double>(aFigures.m_datagrams) /
                aFigures.m_nodeSeconds,
              aFigures.m_cpu / aFigures.m_nodeSeconds * 1000,
              aMegabytes,
              aRemark.c_str());
  std::fflush(stdout);
}

void
Add(Figures& aSum, const Figures& aPart)
{
  aSum.m_bytes += aPart.m_bytes;
  aSum.m_datagrams += aPart.m_datagrams;
  aSum.m_cpu += aPart.m_cpu;
  aSum.m_nodeSeconds += aPart.m_nodeSeconds;
  aSum.m_accusations += aPart.m_accusations;
  aSum.m_worstSecond = std::max(aSum.m_worstSecond, aPart.m_worstSecond);
}

double
MegabytesPerNode(size_t aNodes)
{
  return static_cast<double>(mallinfo2().uordblks) / 1e6 /
         static_cast<double>(aNodes);
}

void
AtRest(BenchFleet& aFleet, size_t aMembers)
{
  aFleet.Run(seconds(5));
  const Figures figures = aFleet.Run(seconds(20));
  Print(aMembers,
        "at rest",
        figures,
        MegabytesPerNode(aMembers),
        std::to_string(figures.m_accusations) + " false accusations");
}

void
OneLeaves(BenchFleet& aFleet, size_t aMembers)
{
  const Duration round = MembershipSettings().m_gossipPeriod;
  const size_t leaver = aFleet.Next(aMembers);
  aFleet.Leave(leaver);
  Figures sum;
  size_t rounds = 0;
  size_t reached = 0;
  for (; reached < aMembers && rounds < 100; ++rounds) {
    Add(sum, aFleet.Run(round));
    reached = aFleet.Count({ leaver }, [](const Member& aMember) {
      return aMember.m_state == MemberState::Leaving;
    });
  }
  Print(aMembers,
        "one leaves",
        sum,
        MegabytesPerNode(aMembers),
        std::to_string(reached) + " told in " + std::to_string(rounds) +
          " rounds, " + std::to_string(rounds * 200) + " ms");
  aFleet.Run(seconds(10));
}

void
Replacements(BenchFleet& aFleet, size_t aMembers)
{
  const double perSecond = kReplacementsPerNodeSecond * kReplacementScale *
                           static_cast<double>(aMembers);
  const auto gap = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(1 / perSecond));
  const size_t count = std::max<size_t>(2, static_cast<size_t>(60 * perSecond));
  Figures sum;
  std::vector<size_t> joined;
  for (size_t i = 0; i < count; ++i) {
    size_t old = aFleet.Next(aFleet.Total());
    while (!aFleet.Up(old)) {
      old = aFleet.Next(aFleet.Total());
    }
    aFleet.Stop(old);
    const size_t fresh = aFleet.Add();
    size_t seed = aFleet.Next(fresh);
    while (!aFleet.Up(seed)) {
      seed = aFleet.Next(fresh);
    }
    aFleet.Start(fresh, seed);
    joined.push_back(fresh);
    Add(sum, aFleet.Run(gap));
  }
  aFleet.Run(seconds(40));
  size_t whole = 0;
  for (const size_t node : joined) {
    whole += aFleet.Up(node) && aFleet.Joined(node) &&
             aFleet.LiveMemberCount(node) == aMembers;
  }
  Print(aMembers,
        "replacements x100",
        sum,
        MegabytesPerNode(aMembers),
        std::to_string(count) + " replaced; after 40 s quiet " +
          std::to_string(whole) + " of them list all members");
}

void
RegionSplits(BenchFleet& aFleet, size_t aMembers)
{
  aFleet.Split(true);
  Figures sum;
  size_t healed = 0;
  for (size_t second = 1; second <= 600 && healed == 0; ++second) {
    Add(sum, aFleet.Run(seconds(1)));
    if (second == 120) {
      aFleet.Split(false);
    }
    if (second > 120 && aFleet.Complete(aMembers) == aMembers) {
      healed = second - 120;
    }
  }
  const std::string remark =
    healed == 0 ? "not all complete after 480 s: " +
                    std::to_string(aFleet.Complete(aMembers))
                : "all list all members " + std::to_string(healed) +
                    " s after the end of 120 s";
  Print(aMembers, "a region splits", sum, MegabytesPerNode(aMembers), remark);
  aFleet.Run(seconds(20));
}

void
ZoneFails(BenchFleet& aFleet, size_t aMembers)
{
  std::vector<size_t> lost;
  for (size_t i = 0; i < aFleet.Total(); i += kZones) {
    if (aFleet.Up(i)) {
      aFleet.Crash(i);
      lost.push_back(i);
    }
  }
  const size_t pairs = lost.size() * aFleet.Running();
  Figures sum;
  size_t suspectedAt = 0;
  size_t mostAt = 0;
  size_t goneAt = 0;
  for (size_t second = 1; second <= 180 && goneAt == 0; ++second) {
    Add(sum, aFleet.Run(seconds(1)));
    const size_t suspected = aFleet.Count(lost, [](const Member& aMember) {
      return aMember.m_record.m_summary.m_health != MemberHealth::Alive;
    });
    const size_t gone = aFleet.Count(lost, [](const Member& aMember) {
      return aMember.m_state == MemberState::Dead;
    });
    suspectedAt = suspectedAt == 0 && suspected == pairs ? second : suspectedAt;
    mostAt = mostAt == 0 && suspected * 10 >= pairs * 9 ? second : mostAt;
    goneAt = gone == pairs ? second : 0;
  }
  Print(aMembers,
        "a zone fails",
        sum,
        MegabytesPerNode(aFleet.Running()),
        std::to_string(lost.size()) + " lost; known as suspect: 90% in " +
          std::to_string(mostAt) + " s, all in " + std::to_string(suspectedAt) +
          " s; as gone: all in " + std::to_string(goneAt) + " s; " +
          std::to_string(sum.m_accusations) + " false accusations");
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
      ZoneFails(fleet, size);
      continue;
    }
    AtRest(fleet, size);
    OneLeaves(fleet, size);
    Replacements(fleet, size);
    if (size <= kLargestSplit) {
      RegionSplits(fleet, size);
    }
    ZoneFails(fleet, size);
  }
  return 0;
}
