# Messages between nodes. Fields may only be added, so that nodes of adjacent
# versions can decode each other's messages.
@0xd8f5a1c2b3e4f607;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("sassafrasquay::schema");

struct CallId {
  origin @0 :UInt64;
  sequence @1 :UInt64;
}

struct Load {
  inFlight @0 :UInt32;
  queued @1 :UInt32;
  limit @2 :UInt32;
  slots @3 :UInt32;
  cold @4 :Bool;
  leaving @5 :Bool;
  latencyNs @6 :Int64;
  incarnation @7 :UInt64;
  slowness @8 :UInt32 = 100; # service time in percent of the usual one
  backlogNs @9 :Int64; # until a slot is free for a request that arrives now
}

struct Field {
  name @0 :Text;
  value @1 :Text;
}

struct Hello {
  version @0 :UInt16;
  oldestVersion @1 :UInt16;
  node @2 :Text;
  incarnation @3 :UInt64;
  zone @4 :Text;
  configVersion @5 :UInt64;
  nonce @6 :Data;
  tag @7 :Data;
}

struct Call {
  service @0 :Text;
  method @1 :Text;
  path @2 :Text;
  headers @3 :List(Field);
  requestId @4 :Text;
  identity @5 :UInt64;
  remainingNs @6 :Int64;
  goalNs @7 :Int64;
  priority @8 :UInt8;
  idempotent @9 :Bool;
  retrySpent @10 :Bool;
  nodeIncarnation @11 :UInt64;
  hasLength @12 :Bool;
  length @13 :UInt64;
  hasBody @14 :Bool;
  body @15 :Data;
  ageNs @16 :Int64;
  routeClass @17 :UInt32;
  mayQueue @18 :Bool = true;
  repeat @19 :Bool;
  account @20 :Text;
  accountWeight @21 :Float64 = 1;
  subrequest @22 :Bool;
  hedge @23 :Bool;
  knowsRollout @24 :Bool; # the sender has an order for the service
}

struct AnswerHead {
  status @0 :UInt16;
  headers @1 :List(Field);
  hasLength @2 :Bool;
  length @3 :UInt64;
  hasBody @4 :Bool;
}

struct Chunk {
  bytes @0 :Data;
  last @1 :Bool;
}

struct Ended {
  code @0 :UInt16;
  run @1 :UInt8;
  load @2 :Load;
  hasLoad @3 :Bool;
  retryAfterNs @4 :Int64; # after a refusal: suggested delay of a retry
}

struct Resolve {
  nodeIncarnation @0 :UInt64;
  ageNs @1 :Int64;
  withdraw @2 :Bool;
}

struct Resolved {
  state @0 :UInt8;
  code @1 :UInt16;
  withdrawn @2 :Bool;
}

# Configuration published by operators; position 0 of era 0 when nothing is
# known.
struct Config {
  position @0 :UInt64;
  routes @1 :Text;
  zonesOut @2 :List(Text);
  era @3 :UInt64; # of the store; a position of a later era is newer
  rollouts @4 :List(RolloutOrder);
  retained @5 :Bool; # contains changes that the operators' log has lost
}

# Order of the operators to move a service to another version of its targets.
struct RolloutOrder {
  service @0 :Text;
  version @1 :Text;
  periodNs @2 :Int64;
  position @3 :UInt64; # in the operators' log; identifies the order
  era @4 :UInt64;
  retained @5 :Bool;
}

# Request for tokens of a client account, sent to its owner, the node that keeps
# the account's token bucket. Reports what became of earlier tokens.
struct QuotaRequest {
  account @0 :Text;
  sequence @1 :UInt64;   # rises with each request for the account
  used @2 :Int64;        # requests passed on since the sender's start
  held @3 :UInt32;       # tokens that the sender still has
  waiting @4 :UInt32;    # further tokens for requests that wait for them
  ahead @5 :UInt32;      # further tokens for later requests
  lifetimeNs @6 :Int64;  # of the former, from the sending of this request
  predecessor @7 :UInt8; # how the sender came to this owner
}

struct QuotaReply {
  tokens @0 :UInt32;
  retryNs @1 :Int64; # until further tokens are due; 0: now
  owner @2 :Text;    # peer address of the node to ask instead; empty: none
  notOwner @3 :Bool; # the sender does not own the account, or is not sure
  intervalNs @4 :Int64; # between tokens for one node while they are scarce
}

# What the targets of one node have done for a roll-out, since the order.
struct RolloutEvidence {
  service @0 :Text;
  version @1 :Text;        # of the local target
  position @2 :UInt64;     # of the order
  routes @3 :List(RouteEvidence);
  era @4 :UInt64;
  retained @5 :Bool;
  incarnation @6 :UInt64;  # of the counters
  ageNs @7 :Int64;         # since the node learned of the order
  decision @8 :RolloutDecision; # that the node knows
  present @9 :Bool;        # the node counts for this order
}

struct RouteEvidence {
  routeClass @0 :UInt32;
  requests @1 :UInt64;
  failures @2 :UInt64;
  latencySumNs @3 :UInt64;
  latencyBuckets @4 :List(UInt32);  # empty ones at the end are left out
  adjustedBuckets @5 :List(UInt32); # likewise
}

# Progress of a roll-out, decided by one node for the fleet.
struct RolloutDecision {
  service @0 :Text;
  version @1 :Text;
  position @2 :UInt64; # of the order
  step @3 :UInt8;      # 0: canary, 1: promoting, 2: completed, 3: rolled back
  era @4 :UInt64;
  retained @5 :Bool;
  round @6 :UInt32;    # of the choice of canaries
  stored @7 :Bool;     # the verdict is in the operators' log
}

struct PeerFrame {
  call @0 :CallId;
  union {
    hello @1 :Hello;
    authenticate @2 :Data;
    start @3 :Call;
    bodyChunk @4 :Chunk;
    admitted @5 :Void;
    answerHead @6 :AnswerHead;
    answerChunk @7 :Chunk;
    ended @8 :Ended;
    working @9 :Void;
    cancel @10 :Void;
    resolve @11 :Resolve;
    resolved @12 :Resolved;
    askConfig @13 :Void;
    config @14 :Config;
    closing @15 :Void;
    quotaRequest @16 :QuotaRequest;
    quotaReply @17 :QuotaReply;
    askRolloutEvidence @18 :RolloutDecision;
    rolloutEvidence @19 :RolloutEvidence;
    rolloutDecision @20 :RolloutDecision;
  }
}
