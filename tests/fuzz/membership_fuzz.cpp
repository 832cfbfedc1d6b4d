// Stateful fuzz test of membership: real Membership objects exchange datagrams
// over a simulated network that delays, drops, duplicates and reorders them.
#include "gossip/gossip.h"

#include <algorithm>
#include <bit>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <rapidcheck.h>
#include <rapidcheck/state.h>
#include <set>

using namespace sassafrasquay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr size_t kNodes = 8;
constexpr size_t kBytesPerSecondLimit = 7000; // bytes sent by one node

//-----------------------------------------------------------------------------
// A fleet in virtual time
//-----------------------------------------------------------------------------

struct SimNode
{
  std::unique_ptr<Membership> m_membership; // null: crashed or not started
  std::unique_ptr<SeededRandom> m_random;
  Endpoint m_endpoint;
  bool m_paused = false;
  unsigned m_partition = 0; // nodes of different values are disconnected
  std::vector<std::pair<Endpoint, Datagram>> m_inbox; // while paused
  std::deque<std::pair<TimePoint, size_t>> m_sent;    // in the last second
  std::map<std::string, uint64_t> m_incarnations;     // last reported
  TargetInfo m_target;
  bool m_leaving = false;
};

class Fleet
{
public:
  explicit Fleet(size_t aCount, uint64_t aSeed)
    : m_random(aSeed)
    , m_nodes(aCount)
  {
    for (size_t i = 0; i < aCount; ++i) {
      m_nodes[i].m_endpoint = { "10.0.0." + std::to_string(i + 1), 4100 };
      m_byEndpoint[ToString(m_nodes[i].m_endpoint)] = i;
    }
  }

  static NodeId IdOf(size_t aNode) { return { "n" + std::to_string(aNode) }; }
  SimNode& At(size_t aNode) { return m_nodes[aNode]; }
  bool IsUp(size_t aNode) const
  {
    return m_nodes[aNode].m_membership != nullptr;
  }

  void Start(size_t aNode, std::vector<Endpoint> aSeeds)
  {
    SimNode& node = m_nodes[aNode];
    MemberRecord self;
    self.m_summary.m_incarnation = ++m_incarnation;
    self.m_info.m_id = IdOf(aNode);
    self.m_info.m_peer = node.m_endpoint;
    self.m_info.m_region = "r";
    self.m_info.m_zone = "z";
    node.m_random = std::make_unique<SeededRandom>(m_random.Next());
    node.m_membership = std::make_unique<Membership>(
      m_settings, self, m_sizer, *node.m_random, m_now);
    node.m_incarnations.clear();
    node.m_inbox.clear();
    node.m_paused = false;
    node.m_leaving = false;
    node.m_target = {};
    Perform(aNode, node.m_membership->Join(std::move(aSeeds), m_now));
  }
  void Crash(size_t aNode)
  {
    m_nodes[aNode].m_membership.reset();
    m_nodes[aNode].m_paused = false;
  }
  void Stop(size_t aNode)
  {
    Perform(aNode, m_nodes[aNode].m_membership->Stop(m_now));
    Crash(aNode);
  }
  void Leave(size_t aNode)
  {
    m_nodes[aNode].m_leaving = true;
    Perform(aNode, m_nodes[aNode].m_membership->Leave(m_now));
  }
  void SetTarget(size_t aNode, const TargetInfo& aTarget)
  {
    m_nodes[aNode].m_target = aTarget;
    Perform(aNode, m_nodes[aNode].m_membership->SetTarget(aTarget, m_now));
  }
  void Resume(size_t aNode)
  {
    SimNode& node = m_nodes[aNode];
    node.m_paused = false;
    // Either the timer or the filled socket buffer is handled first.
    if (m_random.NextBelow(2) == 0) {
      Perform(aNode, node.m_membership->Tick(m_now));
    }
    for (auto& [from, datagram] : std::exchange(node.m_inbox, {})) {
      Perform(aNode, node.m_membership->OnDatagram(from, datagram, m_now));
    }
  }

  void Advance(Duration aDuration)
  {
    const TimePoint end = m_now + aDuration;
    while (Step(end)) {
    }
    m_now = end;
  }

  std::vector<Endpoint> Seeds() const
  {
    std::vector<Endpoint> seeds;
    for (const SimNode& node : m_nodes) {
      seeds.push_back(node.m_endpoint);
    }
    return seeds;
  }

  bool HasReported(const std::string& aObserver, MemberHealth aHealth) const
  {
    return m_reported.contains({ aObserver, aHealth });
  }

  // The members that aNode does not list as dead, with all data that affects
  // routing.
  using View =
    std::map<std::string, std::tuple<uint64_t, MemberState, TargetInfo>>;
  View ViewOf(size_t aNode)
  {
    View view;
    for (const Member& member : m_nodes[aNode].m_membership->Members()) {
      if (member.m_state != MemberState::Dead) {
        view[member.m_record.m_info.m_id.m_value] = {
          member.m_record.m_summary.m_incarnation,
          member.m_state,
          ToTargetInfo(member.m_record)
        };
      }
    }
    return view;
  }
  // The view that every node should have.
  View ExpectedView()
  {
    View expected;
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      if (IsUp(i)) {
        const MemberRecord self = m_nodes[i].m_membership->Self();
        TargetInfo target = m_nodes[i].m_target;
        target.m_node = IdOf(i);
        target.m_nodeIncarnation = self.m_summary.m_incarnation;
        target.m_peer = m_nodes[i].m_endpoint;
        target.m_region = "r";
        target.m_zone = "z";
        target.m_leaving = target.m_leaving || m_nodes[i].m_leaving;
        expected[IdOf(i).m_value] = { self.m_summary.m_incarnation,
                                      m_nodes[i].m_leaving
                                        ? MemberState::Leaving
                                        : MemberState::Alive,
                                      target };
      }
    }
    return expected;
  }

  MembershipSettings m_settings;
  TimePoint m_now{ seconds(1000) };
  unsigned m_lossPercent = 0;
  unsigned m_duplicatePercent = 0;
  Duration m_delay = milliseconds(5); // maximum
  SeededRandom m_random;
  std::string m_violation; // the last one; empty if none
  std::set<std::pair<std::string, MemberHealth>> m_reported; // by observer

private:
  struct Delivery
  {
    size_t m_to = 0;
    Endpoint m_from;
    Datagram m_datagram;
  };

  bool Step(TimePoint aEnd)
  {
    TimePoint next = aEnd;
    size_t nextNode = m_nodes.size();
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      if (IsUp(i) && !m_nodes[i].m_paused &&
          m_nodes[i].m_membership->NextTickTime() < next) {
        next = m_nodes[i].m_membership->NextTickTime();
        nextNode = i;
      }
    }
    const auto first = m_queue.begin();
    if (first != m_queue.end() && first->first <= next) {
      m_now = std::max(m_now, first->first);
      const Delivery delivery = std::move(first->second);
      m_queue.erase(first);
      Deliver(delivery);
      return true;
    }
    if (nextNode == m_nodes.size()) {
      return false;
    }
    m_now = std::max(m_now, next);
    Perform(nextNode, m_nodes[nextNode].m_membership->Tick(m_now));
    return true;
  }

  void Deliver(const Delivery& aDelivery)
  {
    SimNode& node = m_nodes[aDelivery.m_to];
    if (!node.m_membership) {
      return;
    }
    if (!node.m_paused) {
      Perform(aDelivery.m_to,
              node.m_membership->OnDatagram(
                aDelivery.m_from, aDelivery.m_datagram, m_now));
    } else if (node.m_inbox.size() < 64) {
      node.m_inbox.emplace_back(aDelivery.m_from, aDelivery.m_datagram);
    }
  }

  void Perform(size_t aNode, const MembershipActions& aActions)
  {
    SimNode& node = m_nodes[aNode];
    for (const MemberChange& change : aActions.m_changes) {
      CheckChange(aNode, change);
    }
    for (const MembershipActions::Send& send : aActions.m_sends) {
      CheckByteBudget(node, m_sizer.TotalSize(send.m_datagram));
      Enqueue(aNode, send);
    }
  }

  void CheckChange(size_t aNode, const MemberChange& aChange)
  {
    const std::string& id = aChange.m_member.m_record.m_info.m_id.m_value;
    uint64_t& lastIncarnation = m_nodes[aNode].m_incarnations[id];
    const uint64_t incarnation =
      aChange.m_member.m_record.m_summary.m_incarnation;
    if (incarnation < lastIncarnation) {
      m_violation = "incarnation of " + id + " decreased";
    }
    lastIncarnation = aChange.m_removed ? 0 : incarnation;
    if (aChange.m_member.m_record.m_summary.m_health != MemberHealth::Alive) {
      m_reported.emplace(IdOf(aNode).m_value,
                         aChange.m_member.m_record.m_summary.m_health);
    }
  }

  void CheckByteBudget(SimNode& aNode, size_t aBytes)
  {
    aNode.m_sent.emplace_back(m_now, aBytes);
    size_t sum = 0;
    while (aNode.m_sent.front().first + seconds(1) <= m_now) {
      aNode.m_sent.pop_front();
    }
    for (const auto& [when, bytes] : aNode.m_sent) {
      sum += bytes;
    }
    if (sum > kBytesPerSecondLimit) {
      m_violation = "sent " + std::to_string(sum) + " bytes in a second";
    }
  }

  void Enqueue(size_t aFrom, const MembershipActions::Send& aSend)
  {
    const auto to = m_byEndpoint.find(ToString(aSend.m_to));
    if (to == m_byEndpoint.end() ||
        m_nodes[to->second].m_partition != m_nodes[aFrom].m_partition) {
      return;
    }
    size_t copies = m_random.NextBelow(100) < m_lossPercent ? 0 : 1;
    copies +=
      copies > 0 && m_random.NextBelow(100) < m_duplicatePercent ? 1 : 0;
    for (size_t i = 0; i < copies; ++i) {
      const Duration delay(m_random.NextBelow(m_delay.count()) + 1);
      m_queue.emplace(
        m_now + delay,
        Delivery{ to->second, m_nodes[aFrom].m_endpoint, aSend.m_datagram });
    }
  }

  GossipSizeBounds m_sizer;
  std::vector<SimNode> m_nodes;
  std::map<std::string, size_t> m_byEndpoint;
  std::multimap<TimePoint, Delivery> m_queue;
  uint64_t m_incarnation = 0;
};

//-----------------------------------------------------------------------------
// Commands
//-----------------------------------------------------------------------------

struct Model
{
  std::array<bool, kNodes> m_up{};
  std::array<bool, kNodes> m_paused{};
};

using Command = rc::state::Command<Model, Fleet>;

enum class Action : int
{
  Start,
  Crash,
  Stop,
  Leave,
  Pause,
  Resume,
  ChangeTarget,
  Split,
  Heal,
  Network,
  Run
};

// One action on the fleet, followed by some virtual time.
struct Change : Command
{
  Action m_action =
    *rc::gen::weightedElement<Action>({ { 4, Action::Start },
                                        { 1, Action::Crash },
                                        { 1, Action::Stop },
                                        { 1, Action::Leave },
                                        { 1, Action::Pause },
                                        { 1, Action::Resume },
                                        { 3, Action::ChangeTarget },
                                        { 1, Action::Split },
                                        { 1, Action::Heal },
                                        { 1, Action::Network },
                                        { 2, Action::Run } });
  size_t m_node = *rc::gen::inRange<size_t>(0, kNodes);
  // Parameters of the action.
  unsigned m_bits = *rc::gen::inRange<unsigned>(0, 256);
  int m_milliseconds =
    *rc::gen::weightedOneOf<int>({ { 3, rc::gen::inRange(0, 500) },
                                   { 2, rc::gen::inRange(0, 8000) },
                                   { 1, rc::gen::inRange(0, 60000) } });

  void checkPreconditions(const Model& aModel) const override
  {
    const bool active = aModel.m_up[m_node] && !aModel.m_paused[m_node];
    switch (m_action) {
      case Action::Start:
        return RC_PRE(!aModel.m_up[m_node]);
      case Action::Crash:
        return RC_PRE(aModel.m_up[m_node]);
      case Action::Resume:
        return RC_PRE(aModel.m_paused[m_node]);
      case Action::Stop:
      case Action::Leave:
      case Action::Pause:
      case Action::ChangeTarget:
        return RC_PRE(active);
      default:
        return;
    }
  }
  void apply(Model& aModel) const override
  {
    if (m_action == Action::Start) {
      aModel.m_up[m_node] = true;
    } else if (m_action == Action::Crash || m_action == Action::Stop) {
      aModel.m_up[m_node] = false;
      aModel.m_paused[m_node] = false;
    } else if (m_action == Action::Pause || m_action == Action::Resume) {
      aModel.m_paused[m_node] = m_action == Action::Pause;
    }
  }
  void run(const Model&, Fleet& aFleet) const override
  {
    Perform(aFleet);
    aFleet.Advance(milliseconds(m_milliseconds));
    RC_ASSERT(aFleet.m_violation == "");
  }
  void Perform(Fleet& aFleet) const
  {
    switch (m_action) {
      case Action::Start:
        return aFleet.Start(m_node, aFleet.Seeds());
      case Action::Crash:
        return aFleet.Crash(m_node);
      case Action::Stop:
        return aFleet.Stop(m_node);
      case Action::Leave:
        return aFleet.Leave(m_node);
      case Action::Pause:
        aFleet.At(m_node).m_paused = true;
        return;
      case Action::Resume:
        return aFleet.Resume(m_node);
      case Action::ChangeTarget:
        return ChangeTarget(aFleet);
      case Action::Split:
      case Action::Heal:
        for (size_t i = 0; i < kNodes; ++i) {
          const unsigned partition = m_bits >> i & 1;
          aFleet.At(i).m_partition = m_action == Action::Split ? partition : 0;
        }
        return;
      case Action::Network:
        aFleet.m_lossPercent = m_bits % 4 * 10;
        aFleet.m_duplicatePercent = m_bits / 4 % 4 * 10;
        aFleet.m_delay = milliseconds(1 + m_bits * 2);
        return;
      case Action::Run:
        return;
    }
  }
  void ChangeTarget(Fleet& aFleet) const
  {
    TargetInfo target;
    target.m_service = m_bits % 2 == 0 ? "bookings" : "catalogue";
    target.m_slots = 6;
    target.m_incarnation = m_bits / 16;
    target.m_cold = (m_bits & 2) != 0;
    target.m_leaving = (m_bits & 4) != 0;
    aFleet.SetTarget(m_node, target);
  }
  void show(std::ostream& aOut) const override
  {
    constexpr std::array<const char*, 11> kNames{
      "Start",        "Crash", "Stop", "Leave",   "Pause", "Resume",
      "ChangeTarget", "Split", "Heal", "Network", "Run"
    };
    aOut << kNames[static_cast<size_t>(m_action)] << " n" << m_node << " bits "
         << m_bits << " then " << m_milliseconds << " ms";
  }
};

// Ends all faults and advances the fleet by aDuration.
void
EndFaults(Fleet& aFleet, Duration aDuration)
{
  aFleet.m_lossPercent = 0;
  aFleet.m_duplicatePercent = 0;
  aFleet.m_delay = milliseconds(5);
  for (size_t i = 0; i < kNodes; ++i) {
    aFleet.At(i).m_partition = 0;
    if (aFleet.At(i).m_paused) {
      aFleet.Resume(i);
    }
  }
  aFleet.Advance(aDuration);
}

void
StartAll(Fleet& aFleet, size_t aCount)
{
  aFleet.Start(0, {});
  for (size_t i = 1; i < aCount; ++i) {
    aFleet.Start(i, aFleet.Seeds());
  }
  aFleet.Advance(seconds(30));
}

MemberSummary
AnySummary()
{
  MemberSummary summary;
  summary.m_key = *rc::gen::inRange<uint64_t>(1, 5);
  summary.m_incarnation = *rc::gen::inRange<uint64_t>(0, 4);
  summary.m_revision = *rc::gen::arbitrary<uint32_t>();
  summary.m_infoVersion = *rc::gen::inRange<uint32_t>(0, 3);
  summary.m_health = static_cast<MemberHealth>(*rc::gen::inRange(0, 4));
  summary.m_leaving = *rc::gen::arbitrary<bool>();
  return summary;
}

Datagram
AnyDatagram()
{
  Datagram datagram;
  datagram.m_kind = static_cast<MessageKind>(*rc::gen::inRange(0, 10));
  datagram.m_sender = AnySummary();
  datagram.m_sequence = *rc::gen::arbitrary<uint64_t>();
  datagram.m_from = *rc::gen::arbitrary<uint64_t>();
  datagram.m_to = *rc::gen::arbitrary<uint64_t>();
  datagram.m_target = { "127.0.0.1", 1 };
  datagram.m_digest.resize(*rc::gen::element<size_t>(0, 3, 128));
  datagram.m_wanted = *rc::gen::container<std::vector<uint64_t>>(
    rc::gen::inRange<uint64_t>(0, 9));
  for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
    datagram.m_summaries.push_back(AnySummary());
    MemberRecord record{ AnySummary(), {} };
    record.m_info.m_id = Fleet::IdOf(*rc::gen::inRange<size_t>(0, kNodes));
    record.m_summary.m_key = MemberKeyOf(record.m_info.m_id);
    record.m_info.m_peer = { "10.0.0.9", 1 };
    datagram.m_records.push_back(record);
    datagram.m_quarantineNotices.push_back({ 1, 2, false, seconds(5) });
  }
  return datagram;
}

} // namespace

BOOST_AUTO_TEST_SUITE(membership_fuzz)

BOOST_AUTO_TEST_SUITE(after_any_sequence_of_faults)

// Guards against views that do not converge, dead members listed as alive, lost
// flags, incarnations that decrease and sends above the byte budget.
BOOST_AUTO_TEST_CASE(all_nodes_converge_on_the_actual_state)
{
  BOOST_TEST(rc::check("membership converges", [] {
    const Model model;
    Fleet fleet(kNodes, *rc::gen::arbitrary<uint64_t>());
    const auto commands = *rc::state::gen::commands(
      model, rc::state::gen::execOneOfWithArgs<Change>());
    rc::state::runAll(commands, model, fleet);
    EndFaults(fleet, seconds(400));
    RC_ASSERT(fleet.m_violation == "");
    const Fleet::View expected = fleet.ExpectedView();
    for (size_t i = 0; i < kNodes; ++i) {
      if (fleet.IsUp(i)) {
        RC_ASSERT(fleet.ViewOf(i) == expected);
      }
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(without_loss)

// Guards against an update that stops spreading too early or is delayed by
// other traffic.
BOOST_AUTO_TEST_CASE(a_leaving_flag_reaches_all_members_in_time)
{
  BOOST_TEST(rc::check("leaving reaches all", [] {
    const size_t count = *rc::gen::inRange<size_t>(2, 25);
    Fleet fleet(count, *rc::gen::arbitrary<uint64_t>());
    StartAll(fleet, count);
    const size_t leavingNode = *rc::gen::inRange<size_t>(0, count);
    fleet.Leave(leavingNode);
    fleet.Advance(DisseminationRounds(count) *
                  MembershipSettings().m_gossipPeriod);
    for (size_t i = 0; i < count; ++i) {
      const auto member =
        fleet.At(i).m_membership->Find(Fleet::IdOf(leavingNode));
      RC_ASSERT(member.has_value());
      RC_ASSERT(member->m_state == MemberState::Leaving);
    }
    RC_ASSERT(fleet.m_violation == "");
  }));
}

// Guards against a paused process that declares others dead after it resumes,
// because it received nothing during the pause or because it suspected them
// while it was partitioned.
BOOST_AUTO_TEST_CASE(a_resumed_node_declares_no_live_member_dead)
{
  BOOST_TEST(rc::check("pause and resume", [] {
    Fleet fleet(kNodes, *rc::gen::arbitrary<uint64_t>());
    fleet.m_delay = milliseconds(100); // so that a probe is often in progress
    StartAll(fleet, kNodes);
    const bool partitioned = *rc::gen::arbitrary<bool>();
    fleet.At(3).m_partition = partitioned ? 1 : 0;
    fleet.Advance(milliseconds(*rc::gen::inRange(0, 6000)));
    fleet.At(3).m_paused = true;
    fleet.At(3).m_partition = 0;
    fleet.Advance(milliseconds(*rc::gen::inRange(3500, 100000)));
    fleet.m_reported.clear();
    fleet.Resume(3);
    fleet.Advance(seconds(60));
    RC_ASSERT(!fleet.HasReported("n3", MemberHealth::Dead));
    RC_ASSERT(partitioned || !fleet.HasReported("n3", MemberHealth::Suspect));
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(without_probes)

// Guards against a member that misses updates during a partition and does not
// receive them later. Probes are off, because in a small fleet they would carry
// the updates.
BOOST_AUTO_TEST_CASE(digests_repair_what_gossip_missed)
{
  BOOST_TEST(rc::check("anti-entropy", [] {
    Fleet fleet(kNodes, *rc::gen::arbitrary<uint64_t>());
    fleet.m_settings.m_probePeriod = std::chrono::hours(1);
    StartAll(fleet, kNodes - 1);
    fleet.At(3).m_partition = 1;
    const size_t node = *rc::gen::element<size_t>(0, 1, 2, 4, 5, 6);
    const int fault = *rc::gen::inRange(0, 4);
    if (fault == 0) {
      fleet.Start(kNodes - 1, fleet.Seeds());
    } else if (fault == 1) {
      fleet.Stop(node);
    } else if (fault == 2) {
      fleet.Leave(node);
    } else {
      fleet.Crash(node);
      fleet.Start(node, fleet.Seeds());
    }
    fleet.Advance(seconds(10));
    fleet.At(3).m_partition = 0;
    fleet.Advance(seconds(60));
    RC_ASSERT(fleet.ViewOf(3) == fleet.ExpectedView());
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(mutated_bytes)

// Guards against a decoder or a Membership that crashes on hostile input.
BOOST_AUTO_TEST_CASE(never_crash_decoder_or_membership)
{
  BOOST_TEST(rc::check("mutated datagrams", [] {
    Bytes bytes = EncodeDatagram(AnyDatagram());
    for (int i = *rc::gen::inRange(0, 6); i > 0; --i) {
      bytes[*rc::gen::inRange<size_t>(0, bytes.size())] =
        *rc::gen::arbitrary<uint8_t>();
    }
    Datagram decoded;
    if (DecodeDatagram(bytes, decoded)) {
      GossipSizeBounds sizer;
      SeededRandom random(1);
      MemberRecord self;
      self.m_info.m_id = Fleet::IdOf(0);
      const TimePoint start{ seconds(5) };
      Membership membership({}, self, sizer, random, start);
      membership.Join({}, start);
      membership.OnDatagram({ "10.0.0.9", 1 }, decoded, start);
      membership.Tick(start + seconds(1));
      EncodeDatagram(decoded);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
