// Decoding: Cap'n Proto messages to plain structs.
#include "wire/wire.h"

#include "wire/generated/peer.capnp.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cmath>
#include <cstring>
#include <kj/exception.h>

namespace sassafrasquay {

namespace {

std::string
FromText(capnp::Text::Reader aText)
{
  return { aText.begin(), aText.size() };
}

std::string
FromData(capnp::Data::Reader aData)
{
  return { reinterpret_cast<const char*>(aData.begin()), aData.size() };
}

Duration
DecodeDuration(int64_t aNanoseconds)
{
  const Duration duration(aNanoseconds);
  return std::clamp(duration, Duration::zero(), kMaxWireDuration);
}

// Maps a negative age to the maximum: with too low an age the target's node
// could start a call that is too old.
Duration
DecodeAge(int64_t aNanoseconds)
{
  return aNanoseconds < 0 ? kMaxWireDuration : DecodeDuration(aNanoseconds);
}

// Maps a value that is no positive number to the default weight.
double
DecodeWeight(double aWeight)
{
  return std::isfinite(aWeight) && aWeight > 0 ? aWeight : 1;
}

// Returns PeerLost for a code that is not in the result table, such as one from
// a newer peer.
ResultCode
DecodeResultCode(uint16_t aCode)
{
  const auto table = ResultTable();
  const bool known =
    std::any_of(table.begin(), table.end(), [aCode](const ResultRow& aRow) {
      return static_cast<uint16_t>(aRow.m_code) == aCode;
    });
  return known ? static_cast<ResultCode>(aCode) : ResultCode::PeerLost;
}

std::vector<HeaderField>
DecodeFields(capnp::List<schema::Field>::Reader aFields)
{
  std::vector<HeaderField> fields;
  fields.reserve(aFields.size());
  for (const auto field : aFields) {
    fields.push_back({ FromText(field.getName()), FromText(field.getValue()) });
  }
  return fields;
}

LoadReport
DecodeLoad(schema::Load::Reader aIn)
{
  LoadReport load;
  load.m_inFlight = aIn.getInFlight();
  load.m_queued = aIn.getQueued();
  load.m_limit = aIn.getLimit();
  load.m_slots = aIn.getSlots();
  load.m_cold = aIn.getCold();
  load.m_leaving = aIn.getLeaving();
  load.m_latency = Duration(aIn.getLatencyNs());
  load.m_incarnation = aIn.getIncarnation();
  load.m_slowness = aIn.getSlowness();
  load.m_backlog = DecodeDuration(aIn.getBacklogNs());
  return load;
}

HelloFrame
DecodeHello(schema::Hello::Reader aIn)
{
  HelloFrame hello;
  hello.m_version = aIn.getVersion();
  hello.m_oldestVersion = aIn.getOldestVersion();
  hello.m_node.m_value = FromText(aIn.getNode());
  hello.m_incarnation = aIn.getIncarnation();
  hello.m_zone = FromText(aIn.getZone());
  hello.m_configVersion = aIn.getConfigVersion();
  hello.m_nonce = FromData(aIn.getNonce());
  hello.m_tag = FromData(aIn.getTag());
  return hello;
}

RequestHead
DecodeRequestHead(schema::Call::Reader aIn, const CallId& aCall)
{
  RequestHead head;
  head.m_call = aCall;
  head.m_service = FromText(aIn.getService());
  head.m_method = FromText(aIn.getMethod());
  head.m_path = FromText(aIn.getPath());
  head.m_headers = DecodeFields(aIn.getHeaders());
  head.m_identity = aIn.getIdentity();
  head.m_requestId = FromText(aIn.getRequestId());
  head.m_latencyObjective = DecodeDuration(aIn.getGoalNs());
  head.m_routeClass = aIn.getRouteClass();
  head.m_mayQueue = aIn.getMayQueue();
  head.m_repeat = aIn.getRepeat();
  head.m_account = FromText(aIn.getAccount());
  head.m_accountWeight = DecodeWeight(aIn.getAccountWeight());
  head.m_isSubrequest = aIn.getSubrequest();
  head.m_isHedge = aIn.getHedge();
  head.m_knowsRollout = aIn.getKnowsRollout();
  head.m_remaining = DecodeDuration(aIn.getRemainingNs());
  head.m_priority = aIn.getPriority();
  head.m_idempotent = aIn.getIdempotent();
  head.m_retrySpent = aIn.getRetrySpent();
  head.m_nodeIncarnation = aIn.getNodeIncarnation();
  if (aIn.getHasLength()) {
    head.m_bodyLength = aIn.getLength();
  }
  if (aIn.getHasBody()) {
    head.m_body = FromData(aIn.getBody());
  }
  head.m_age = DecodeAge(aIn.getAgeNs());
  return head;
}

ResponseHead
DecodeResponseHead(schema::AnswerHead::Reader aIn)
{
  ResponseHead head;
  head.m_status = aIn.getStatus();
  head.m_headers = DecodeFields(aIn.getHeaders());
  if (aIn.getHasLength()) {
    head.m_bodyLength = aIn.getLength();
  }
  head.m_hasBody = aIn.getHasBody();
  return head;
}

CallResultFrame
DecodeCallResult(schema::Ended::Reader aIn)
{
  CallResultFrame frame;
  frame.m_code = DecodeResultCode(aIn.getCode());
  // An unknown value from a newer peer must not prove that the call was not
  // executed.
  const uint8_t run = aIn.getRun();
  const bool known = run <= static_cast<uint8_t>(Executed::Yes);
  frame.m_executed = known ? static_cast<Executed>(run) : Executed::Maybe;
  frame.m_hasLoad = aIn.getHasLoad();
  frame.m_load = DecodeLoad(aIn.getLoad());
  frame.m_retryAfter = DecodeDuration(aIn.getRetryAfterNs());
  return frame;
}

ResolveRequest
DecodeResolveRequest(schema::Resolve::Reader aIn, const CallId& aCall)
{
  ResolveRequest request;
  request.m_call = aCall;
  request.m_incarnation = aIn.getNodeIncarnation();
  request.m_age = DecodeAge(aIn.getAgeNs());
  request.m_withdraw = aIn.getWithdraw();
  return request;
}

ResolveReply
DecodeResolveReply(schema::Resolved::Reader aIn)
{
  ResolveReply reply;
  const uint8_t state = aIn.getState();
  const bool known = state <= static_cast<uint8_t>(CallState::Unknown);
  reply.m_state = known ? static_cast<CallState>(state) : CallState::Unknown;
  reply.m_code = DecodeResultCode(aIn.getCode());
  reply.m_withdrawn = aIn.getWithdrawn();
  return reply;
}

// An unknown way to the owner decodes as the one after which the fewest tokens
// are granted.
TokenRequest
DecodeTokenRequest(schema::QuotaRequest::Reader aIn)
{
  TokenRequest request;
  request.m_account = FromText(aIn.getAccount());
  request.m_sequence = aIn.getSequence();
  request.m_used = aIn.getUsed();
  request.m_held = std::min(aIn.getHeld(), kMaxTokensPerRequest);
  request.m_waiting = std::min(aIn.getWaiting(), kMaxTokensPerRequest);
  request.m_ahead = std::min(aIn.getAhead(), kMaxTokensPerRequest);
  request.m_lifetime = DecodeDuration(aIn.getLifetimeNs());
  const uint8_t way = aIn.getPredecessor();
  const bool known = way <= static_cast<uint8_t>(Predecessor::Silent);
  request.m_predecessor =
    known ? static_cast<Predecessor>(way) : Predecessor::Silent;
  return request;
}

// Returns false when the address of the owner is not valid.
bool
DecodeTokenReply(schema::QuotaReply::Reader aIn, TokenReply& aReply)
{
  aReply.m_tokens = std::min(aIn.getTokens(), 2 * kMaxTokensPerRequest);
  aReply.m_retryAfter = DecodeDuration(aIn.getRetryNs());
  aReply.m_isOwner = !aIn.getNotOwner();
  aReply.m_interval = DecodeDuration(aIn.getIntervalNs());
  const std::string owner = FromText(aIn.getOwner());
  return owner.empty() || ParseEndpoint(owner, aReply.m_owner.emplace());
}

template<class Reader>
LogPosition
DecodePosition(const Reader& aIn)
{
  return { aIn.getEra(), aIn.getPosition(), aIn.getRetained() };
}

// An unknown step from a newer peer decodes as the one that sends the new
// version the fewest requests without being final.
RolloutDecision
DecodeDecision(schema::RolloutDecision::Reader aIn)
{
  RolloutDecision decision;
  decision.m_service = FromText(aIn.getService());
  decision.m_version = FromText(aIn.getVersion());
  decision.m_position = DecodePosition(aIn);
  const uint8_t step = aIn.getStep();
  const bool known = step <= static_cast<uint8_t>(RolloutStep::RolledBack);
  decision.m_step =
    known ? static_cast<RolloutStep>(step) : RolloutStep::Canary;
  decision.m_round = aIn.getRound();
  decision.m_stored = known && aIn.getStored();
  return decision;
}

// Returns false when the list is too long.
bool
DecodeCounts(capnp::List<uint32_t>::Reader aIn, LatencyCounts& aCounts)
{
  if (aIn.size() > aCounts.size()) {
    return false;
  }
  for (unsigned i = 0; i < aIn.size(); ++i) {
    aCounts[i] = aIn[i];
  }
  return true;
}

// Returns false when the counts are not possible.
bool
DecodeEvidence(schema::RolloutEvidence::Reader aIn,
               RolloutEvidenceReply& aReply)
{
  aReply.m_decision = DecodeDecision(aIn.getDecision());
  if (!aIn.getPresent()) {
    return true;
  }
  RolloutEvidence& evidence = aReply.m_evidence.emplace();
  evidence.m_service = FromText(aIn.getService());
  evidence.m_version = FromText(aIn.getVersion());
  evidence.m_position = DecodePosition(aIn);
  evidence.m_incarnation = aIn.getIncarnation();
  evidence.m_age = DecodeDuration(aIn.getAgeNs());
  for (const auto in : aIn.getRoutes()) {
    RouteEvidence route;
    route.m_routeClass = in.getRouteClass();
    route.m_requests = in.getRequests();
    route.m_failures = in.getFailures();
    const uint64_t sum = in.getLatencySumNs();
    const bool isValid =
      sum <= INT64_MAX && route.m_failures <= route.m_requests &&
      DecodeCounts(in.getLatencyBuckets(), route.m_latencies) &&
      DecodeCounts(in.getAdjustedBuckets(), route.m_adjusted);
    if (!isValid) {
      return false;
    }
    route.m_latencySum = Duration(static_cast<int64_t>(sum));
    evidence.m_routes.push_back(route);
  }
  return true;
}

ConfigResponseFrame
DecodeConfigResponse(schema::Config::Reader aIn)
{
  ConfigResponseFrame frame;
  const LogPosition position = DecodePosition(aIn);
  if (position == LogPosition()) {
    return frame;
  }
  PublishedConfig& config = frame.m_state.emplace();
  config.m_position = position;
  config.m_routes = FromText(aIn.getRoutes());
  for (const auto zone : aIn.getZonesOut()) {
    config.m_zonesOut.push_back(FromText(zone));
  }
  for (const auto order : aIn.getRollouts()) {
    config.m_rollouts.push_back(
      { FromText(order.getService()),
        FromText(order.getVersion()),
        std::max(Duration(), Duration(order.getPeriodNs())),
        DecodePosition(order) });
  }
  return frame;
}

std::error_code
DecodeContent(schema::PeerFrame::Reader aIn, PeerFrame& aFrame)
{
  using Which = schema::PeerFrame::Which;
  switch (aIn.which()) {
    case Which::HELLO:
      aFrame.m_content = DecodeHello(aIn.getHello());
      return {};
    case Which::AUTHENTICATE:
      aFrame.m_content = AuthenticateFrame{ FromData(aIn.getAuthenticate()) };
      return {};
    case Which::START:
      aFrame.m_content = DecodeRequestHead(aIn.getStart(), aFrame.m_call);
      return {};
    case Which::BODY_CHUNK:
      aFrame.m_content =
        BodyChunkFrame{ FromData(aIn.getBodyChunk().getBytes()),
                        aIn.getBodyChunk().getLast() };
      return {};
    case Which::ADMITTED:
      aFrame.m_content = AdmittedFrame{};
      return {};
    case Which::ANSWER_HEAD:
      aFrame.m_content = DecodeResponseHead(aIn.getAnswerHead());
      return {};
    case Which::ANSWER_CHUNK:
      aFrame.m_content =
        ResponseChunkFrame{ FromData(aIn.getAnswerChunk().getBytes()),
                            aIn.getAnswerChunk().getLast() };
      return {};
    case Which::ENDED:
      aFrame.m_content = DecodeCallResult(aIn.getEnded());
      return {};
    case Which::WORKING:
      aFrame.m_content = HeartbeatFrame{};
      return {};
    case Which::CANCEL:
      aFrame.m_content = CancelFrame{};
      return {};
    case Which::RESOLVE:
      aFrame.m_content = DecodeResolveRequest(aIn.getResolve(), aFrame.m_call);
      return {};
    case Which::RESOLVED:
      aFrame.m_content = DecodeResolveReply(aIn.getResolved());
      return {};
    case Which::ASK_CONFIG:
      aFrame.m_content = ConfigRequestFrame{};
      return {};
    case Which::CONFIG:
      aFrame.m_content = DecodeConfigResponse(aIn.getConfig());
      return {};
    case Which::CLOSING:
      aFrame.m_content = ClosingFrame{};
      return {};
    case Which::QUOTA_REQUEST:
      aFrame.m_content = DecodeTokenRequest(aIn.getQuotaRequest());
      return {};
    case Which::QUOTA_REPLY: {
      TokenReply reply;
      const bool valid = DecodeTokenReply(aIn.getQuotaReply(), reply);
      aFrame.m_content = std::move(reply);
      return valid ? std::error_code() : ResultCode::MalformedFrame;
    }
    case Which::ASK_ROLLOUT_EVIDENCE:
      aFrame.m_content =
        RolloutEvidenceRequest{ DecodeDecision(aIn.getAskRolloutEvidence()) };
      return {};
    case Which::ROLLOUT_EVIDENCE: {
      RolloutEvidenceReply reply;
      const bool valid = DecodeEvidence(aIn.getRolloutEvidence(), reply);
      aFrame.m_content = std::move(reply);
      return valid ? std::error_code() : ResultCode::MalformedFrame;
    }
    case Which::ROLLOUT_DECISION:
      aFrame.m_content =
        RolloutDecisionFrame{ DecodeDecision(aIn.getRolloutDecision()) };
      return {};
    default:
      return ResultCode::MalformedFrame; // frame type of a newer peer
  }
}

} // namespace

uint32_t
DecodeFramePrefix(const unsigned char* aBytes)
{
  uint32_t size = 0;
  for (unsigned i = 0; i < kFramePrefixBytes; ++i) {
    size |= static_cast<uint32_t>(aBytes[i]) << (8 * i);
  }
  return size;
}

std::error_code
DecodeFrame(std::string_view aBytes, PeerFrame& aFrame)
{
  if (aBytes.empty() || aBytes.size() % sizeof(capnp::word) != 0) {
    return ResultCode::MalformedFrame;
  }
  // Cap'n Proto needs word alignment; the link's buffer does not guarantee it.
  kj::Array<capnp::word> words =
    kj::heapArray<capnp::word>(aBytes.size() / sizeof(capnp::word));
  std::memcpy(words.asBytes().begin(), aBytes.data(), aBytes.size());
  std::error_code error;
  const auto exception = kj::runCatchingExceptions([&]() {
    capnp::ReaderOptions options;
    options.traversalLimitInWords = 2 * words.size() + 64;
    capnp::FlatArrayMessageReader reader(words, options);
    const auto root = reader.getRoot<schema::PeerFrame>();
    aFrame.m_call.m_origin = root.getCall().getOrigin();
    aFrame.m_call.m_sequence = root.getCall().getSequence();
    error = DecodeContent(root, aFrame);
  });
  if (exception != nullptr) {
    return ResultCode::MalformedFrame;
  }
  return error;
}

} // namespace sassafrasquay
