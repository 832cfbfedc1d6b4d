// Encoding: plain structs to Cap'n Proto messages.
#include "wire/wire.h"

#include "wire/generated/peer.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

namespace sassafrasquay {

namespace {

kj::StringPtr
ToText(const std::string& aText)
{
  return { aText.c_str(), aText.size() };
}

capnp::Data::Reader
ToData(std::string_view aBytes)
{
  return { reinterpret_cast<const kj::byte*>(aBytes.data()), aBytes.size() };
}

void
EncodeFields(const std::vector<HeaderField>& aFields,
             capnp::List<schema::Field>::Builder aOut)
{
  for (unsigned i = 0; i < aFields.size(); ++i) {
    aOut[i].setName(ToText(aFields[i].m_name));
    aOut[i].setValue(ToText(aFields[i].m_value));
  }
}

void
EncodeLoad(const LoadReport& aLoad, schema::Load::Builder aOut)
{
  aOut.setInFlight(aLoad.m_inFlight);
  aOut.setQueued(aLoad.m_queued);
  aOut.setLimit(aLoad.m_limit);
  aOut.setSlots(aLoad.m_slots);
  aOut.setCold(aLoad.m_cold);
  aOut.setLeaving(aLoad.m_leaving);
  aOut.setLatencyNs(aLoad.m_latency.count());
  aOut.setIncarnation(aLoad.m_incarnation);
  aOut.setSlowness(aLoad.m_slowness);
  aOut.setBacklogNs(aLoad.m_backlog.count());
}

template<class Builder>
void
EncodePosition(const LogPosition& aPosition, Builder& aOut)
{
  aOut.setEra(aPosition.m_era);
  aOut.setPosition(aPosition.m_offset);
  aOut.setRetained(aPosition.m_retained);
}

void
EncodeDecision(const RolloutDecision& aDecision,
               schema::RolloutDecision::Builder aOut)
{
  aOut.setService(ToText(aDecision.m_service));
  aOut.setVersion(ToText(aDecision.m_version));
  EncodePosition(aDecision.m_position, aOut);
  aOut.setStep(static_cast<uint8_t>(aDecision.m_step));
  aOut.setRound(aDecision.m_round);
  aOut.setStored(aDecision.m_stored);
}

template<class Init>
void
EncodeCounts(const LatencyCounts& aCounts, Init aInit)
{
  size_t size = aCounts.size();
  while (size > 0 && aCounts[size - 1] == 0) {
    --size;
  }
  auto out = aInit(static_cast<unsigned>(size));
  for (unsigned i = 0; i < size; ++i) {
    out.set(i, aCounts[i]);
  }
}

void
EncodeRoute(const RouteEvidence& aRoute, schema::RouteEvidence::Builder aOut)
{
  aOut.setRouteClass(aRoute.m_routeClass);
  aOut.setRequests(aRoute.m_requests);
  aOut.setFailures(aRoute.m_failures);
  aOut.setLatencySumNs(static_cast<uint64_t>(aRoute.m_latencySum.count()));
  EncodeCounts(aRoute.m_latencies, [&aOut](unsigned aSize) {
    return aOut.initLatencyBuckets(aSize);
  });
  EncodeCounts(aRoute.m_adjusted, [&aOut](unsigned aSize) {
    return aOut.initAdjustedBuckets(aSize);
  });
}

struct Encoder
{
  schema::PeerFrame::Builder m_out;

  void operator()(const HelloFrame& aHello)
  {
    auto out = m_out.initHello();
    out.setVersion(aHello.m_version);
    out.setOldestVersion(aHello.m_oldestVersion);
    out.setNode(ToText(aHello.m_node.m_value));
    out.setIncarnation(aHello.m_incarnation);
    out.setZone(ToText(aHello.m_zone));
    out.setConfigVersion(aHello.m_configVersion);
    out.setNonce(ToData(aHello.m_nonce));
    out.setTag(ToData(aHello.m_tag));
  }
  void operator()(const AuthenticateFrame& aFrame)
  {
    m_out.setAuthenticate(ToData(aFrame.m_tag));
  }
  void operator()(const RequestHead& aHead)
  {
    auto out = m_out.initStart();
    out.setService(ToText(aHead.m_service));
    out.setMethod(ToText(aHead.m_method));
    out.setPath(ToText(aHead.m_path));
    const auto count = static_cast<unsigned>(aHead.m_headers.size());
    EncodeFields(aHead.m_headers, out.initHeaders(count));
    out.setIdentity(aHead.m_identity);
    out.setRequestId(ToText(aHead.m_requestId));
    out.setGoalNs(aHead.m_latencyObjective.count());
    out.setRouteClass(aHead.m_routeClass);
    out.setMayQueue(aHead.m_mayQueue);
    out.setRepeat(aHead.m_repeat);
    out.setAccount(ToText(aHead.m_account));
    out.setAccountWeight(aHead.m_accountWeight);
    out.setSubrequest(aHead.m_isSubrequest);
    out.setHedge(aHead.m_isHedge);
    out.setKnowsRollout(aHead.m_knowsRollout);
    out.setRemainingNs(aHead.m_remaining.count());
    out.setPriority(aHead.m_priority);
    out.setIdempotent(aHead.m_idempotent);
    out.setRetrySpent(aHead.m_retrySpent);
    out.setNodeIncarnation(aHead.m_nodeIncarnation);
    out.setHasLength(aHead.m_bodyLength.has_value());
    out.setLength(aHead.m_bodyLength.value_or(0));
    out.setHasBody(aHead.m_body.has_value());
    if (aHead.m_body) {
      out.setBody(ToData(*aHead.m_body));
    }
    out.setAgeNs(aHead.m_age.count());
  }
  void operator()(const BodyChunkFrame& aFrame)
  {
    auto out = m_out.initBodyChunk();
    out.setBytes(ToData(aFrame.m_bytes));
    out.setLast(aFrame.m_last);
  }
  void operator()(const AdmittedFrame&) { m_out.setAdmitted(); }
  void operator()(const ResponseHead& aHead)
  {
    auto out = m_out.initAnswerHead();
    out.setStatus(aHead.m_status);
    const auto count = static_cast<unsigned>(aHead.m_headers.size());
    EncodeFields(aHead.m_headers, out.initHeaders(count));
    out.setHasLength(aHead.m_bodyLength.has_value());
    out.setLength(aHead.m_bodyLength.value_or(0));
    out.setHasBody(aHead.m_hasBody);
  }
  void operator()(const ResponseChunkFrame& aFrame)
  {
    auto out = m_out.initAnswerChunk();
    out.setBytes(ToData(aFrame.m_bytes));
    out.setLast(aFrame.m_last);
  }
  void operator()(const CallResultFrame& aFrame)
  {
    auto out = m_out.initEnded();
    out.setCode(static_cast<uint16_t>(aFrame.m_code));
    out.setRun(static_cast<uint8_t>(aFrame.m_executed));
    out.setHasLoad(aFrame.m_hasLoad);
    EncodeLoad(aFrame.m_load, out.initLoad());
    out.setRetryAfterNs(aFrame.m_retryAfter.count());
  }
  void operator()(const HeartbeatFrame&) { m_out.setWorking(); }
  void operator()(const CancelFrame&) { m_out.setCancel(); }
  void operator()(const ResolveRequest& aRequest)
  {
    auto out = m_out.initResolve();
    out.setNodeIncarnation(aRequest.m_incarnation);
    out.setAgeNs(aRequest.m_age.count());
    out.setWithdraw(aRequest.m_withdraw);
  }
  void operator()(const ResolveReply& aReply)
  {
    auto out = m_out.initResolved();
    out.setState(static_cast<uint8_t>(aReply.m_state));
    out.setCode(static_cast<uint16_t>(aReply.m_code));
    out.setWithdrawn(aReply.m_withdrawn);
  }
  void operator()(const ClosingFrame&) { m_out.setClosing(); }
  void operator()(const TokenRequest& aRequest)
  {
    auto out = m_out.initQuotaRequest();
    out.setAccount(ToText(aRequest.m_account));
    out.setSequence(aRequest.m_sequence);
    out.setUsed(aRequest.m_used);
    out.setHeld(aRequest.m_held);
    out.setWaiting(aRequest.m_waiting);
    out.setAhead(aRequest.m_ahead);
    out.setLifetimeNs(aRequest.m_lifetime.count());
    out.setPredecessor(static_cast<uint8_t>(aRequest.m_predecessor));
  }
  void operator()(const TokenReply& aReply)
  {
    auto out = m_out.initQuotaReply();
    out.setTokens(aReply.m_tokens);
    out.setRetryNs(aReply.m_retryAfter.count());
    out.setNotOwner(!aReply.m_isOwner);
    out.setIntervalNs(aReply.m_interval.count());
    if (aReply.m_owner) {
      out.setOwner(ToText(ToString(*aReply.m_owner)));
    }
  }
  void operator()(const ConfigRequestFrame&) { m_out.setAskConfig(); }
  void operator()(const ConfigResponseFrame& aFrame)
  {
    auto out = m_out.initConfig();
    if (!aFrame.m_state) {
      return;
    }
    const PublishedConfig& config = *aFrame.m_state;
    EncodePosition(config.m_position, out);
    out.setRoutes(ToText(config.m_routes));
    const auto count = static_cast<unsigned>(config.m_zonesOut.size());
    auto zones = out.initZonesOut(count);
    for (unsigned i = 0; i < count; ++i) {
      zones.set(i, ToText(config.m_zonesOut[i]));
    }
    if (config.m_rollouts.empty()) {
      return;
    }
    auto orders =
      out.initRollouts(static_cast<unsigned>(config.m_rollouts.size()));
    for (unsigned i = 0; i < config.m_rollouts.size(); ++i) {
      const RolloutOrder& order = config.m_rollouts[i];
      auto entry = orders[i];
      entry.setService(ToText(order.m_service));
      entry.setVersion(ToText(order.m_version));
      entry.setPeriodNs(order.m_period.count());
      EncodePosition(order.m_position, entry);
    }
  }
  void operator()(const RolloutEvidenceRequest& aRequest)
  {
    EncodeDecision(aRequest.m_decision, m_out.initAskRolloutEvidence());
  }
  void operator()(const RolloutEvidenceReply& aReply)
  {
    auto out = m_out.initRolloutEvidence();
    EncodeDecision(aReply.m_decision, out.initDecision());
    if (!aReply.m_evidence) {
      return;
    }
    const RolloutEvidence& evidence = *aReply.m_evidence;
    out.setPresent(true);
    out.setService(ToText(evidence.m_service));
    out.setVersion(ToText(evidence.m_version));
    EncodePosition(evidence.m_position, out);
    out.setIncarnation(evidence.m_incarnation);
    out.setAgeNs(evidence.m_age.count());
    const auto count = static_cast<unsigned>(evidence.m_routes.size());
    auto routes = out.initRoutes(count);
    for (unsigned i = 0; i < count; ++i) {
      EncodeRoute(evidence.m_routes[i], routes[i]);
    }
  }
  void operator()(const RolloutDecisionFrame& aFrame)
  {
    EncodeDecision(aFrame.m_decision, m_out.initRolloutDecision());
  }
};

} // namespace

void
EncodeFrame(const PeerFrame& aFrame, std::string& aOut)
{
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<schema::PeerFrame>();
  auto call = root.initCall();
  call.setOrigin(aFrame.m_call.m_origin);
  call.setSequence(aFrame.m_call.m_sequence);
  std::visit(Encoder{ root }, aFrame.m_content);
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  const auto size = static_cast<uint32_t>(bytes.size());
  for (unsigned i = 0; i < kFramePrefixBytes; ++i) {
    aOut.push_back(static_cast<char>((size >> (8 * i)) & 0xFF));
  }
  aOut.append(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
}

} // namespace sassafrasquay
