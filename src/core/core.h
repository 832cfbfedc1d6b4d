// Core types shared by every library.
//
// Index of this file
//   [1] Time: clock interface
//   [2] Randomness
//   [3] Identities: nodes, calls, services
//   [4] Results: numbered result codes and the execution state of a request
//   [5] Load: the load report sent with every response
//   [6] Targets: membership data of a target
#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace sassafrasquay {

// Base class of every object that can be registered in the kernel by name.
class Component
{
public:
  virtual ~Component() = default;
};

//-----------------------------------------------------------------------------
// [1] Time
//-----------------------------------------------------------------------------

using Duration = std::chrono::nanoseconds;
using FloatSeconds = std::chrono::duration<double>; // for estimates
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

class Clock : public Component
{
public:
  virtual TimePoint Now() const = 0;    // monotonic; for measuring durations
  virtual WallTime WallNow() const = 0; // only to compare across process starts
};

// Reads the operating system's clocks.
class SystemClock : public Clock
{
public:
  TimePoint Now() const override;
  WallTime WallNow() const override;
};

//-----------------------------------------------------------------------------
// [2] Randomness
//-----------------------------------------------------------------------------

class Random : public Component
{
public:
  virtual uint64_t Next() = 0;
  // A source that returns the same values as this one from now on.
  virtual std::unique_ptr<Random> Copy() const = 0;

  // A value in [0, aBound); 0 when aBound is 0.
  uint64_t NextBelow(uint64_t aBound);
  // A value in [0, 1).
  double NextDouble();
};

// xoshiro256++: small, fast and reproducible for a given seed.
class SeededRandom : public Random
{
public:
  explicit SeededRandom(uint64_t aSeed);
  uint64_t Next() override;
  std::unique_ptr<Random> Copy() const override;

private:
  std::array<uint64_t, 4> m_state;
};

// Returns a seed from the operating system's entropy source.
uint64_t
EntropySeed();

//-----------------------------------------------------------------------------
// [3] Identities
//-----------------------------------------------------------------------------

// Name of a node and of the target on the same VM.
struct NodeId
{
  std::string m_value;

  auto operator<=>(const NodeId&) const = default;
};

// Identifies one dispatch attempt; unique over the lifetime of the fleet.
struct CallId
{
  uint64_t m_origin = 0;   // hash of the entry node's name and incarnation
  uint64_t m_sequence = 0; // counter of the entry node

  auto operator<=>(const CallId&) const = default;
};

// Position of a published configuration in the operators' log. A higher one is
// newer. The era rises when the log has lost its latest records; their offsets
// are then used again.
struct LogPosition
{
  uint64_t m_era = 0;    // stays 0 for a log that never loses records
  uint64_t m_offset = 0; // of the next record
  // The configuration contains changes that the log has lost, so it is newer
  // than what the log itself has at this offset.
  bool m_retained = false;

  LogPosition() = default;
  LogPosition(uint64_t aOffset)
    : m_offset(aOffset)
  {
  }
  LogPosition(uint64_t aEra, uint64_t aOffset, bool aRetained = false)
    : m_era(aEra)
    , m_offset(aOffset)
    , m_retained(aRetained)
  {
  }

  auto operator<=>(const LogPosition&) const = default;
};

// 32 lower-case hexadecimal digits.
std::string
ToString(const CallId& aId);
// Returns false when aText is not 32 hexadecimal digits.
bool
ParseCallId(std::string_view aText, CallId& aId);

// FNV-1a with a final mixing step. Stable across nodes and versions; not safe
// for hash tables with untrusted keys.
uint64_t
StableHash(std::string_view aText, uint64_t aSeed = 0);

// IP address in text form and port.
struct Endpoint
{
  std::string m_address;
  uint16_t m_port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

std::string
ToString(const Endpoint& aEndpoint);
// Accepts "127.0.0.1:80" and "[::1]:80".
bool
ParseEndpoint(std::string_view aText, Endpoint& aEndpoint);

//-----------------------------------------------------------------------------
// [4] Results
//-----------------------------------------------------------------------------

// Whether a target has executed a request.
enum class Executed : uint8_t
{
  No,    // proven: it was not executed and will not be executed later
  Maybe, // it may have been executed
  Yes    // it was executed
};

std::string_view
ToString(Executed aExecuted);

// Numbered results, documented for operators in docs/result-codes.md.
enum class ResultCode : uint16_t
{
  Ok = 0,
  // 1xx: fault in the caller's request
  MalformedRequest = 101,
  HeadTooLarge = 102,
  BodyTooLarge = 103,
  UnknownService = 104,
  SenderTooSlow = 105,
  InvalidHeader = 106,
  NoRoute = 107,
  UnknownKey = 108,
  // 2xx: refused before dispatch
  NoTarget = 201,
  Overloaded = 202,
  ExpiredBeforeRun = 203,
  ZoneOut = 204,
  TargetLeaving = 205,
  TargetCold = 206,
  NodeStopping = 207,
  ShedByPriority = 208,
  NotReady = 209,
  TargetSlow = 210,
  RetryLimit = 211,
  QuotaExceeded = 212,
  LimitUnavailable = 213,
  // 3xx: dispatched, then failed
  DeadlineExceeded = 301,
  TargetFailed = 302,
  PeerLost = 303,
  AnswerTruncated = 304,
  TargetShed = 305,
  TargetUnreachable = 306,
  CallerGone = 307,
  AnswerInvalid = 308,
  WrongTarget = 309,
  ConnectionEnded = 310,
  // 4xx: at-most-once execution
  DuplicateInProgress = 401,
  CrashSuspect = 404,
  // 5xx: configuration and the operators' log
  ConfigInvalid = 501,
  LogUnavailable = 503,
  SchemaTooNew = 504,
  LogHistoryGone = 505,
  // 6xx: between nodes
  ProtocolMismatch = 601,
  MalformedFrame = 602,
  PeerNotAuthentic = 603,
  FrameTooLarge = 604
};

// One row of the result table.
struct ResultRow
{
  ResultCode m_code;
  std::string_view m_name;
  uint16_t m_httpStatus;
  std::string_view m_executed; // "no", "maybe", "yes", "-" or "no or maybe"
  std::string_view m_meaning;
  std::string_view m_retryAdvice;
  std::string_view m_operatorAction;
};

std::span<const ResultRow>
ResultTable();
const ResultRow&
ResultRowFor(ResultCode aCode); // the row of Ok for a code that is not listed
// The table of docs/result-codes.md as Markdown.
std::string
ResultTableMarkdown();

const std::error_category&
ResultCategory() noexcept;
std::error_code
make_error_code(ResultCode aCode) noexcept;

//-----------------------------------------------------------------------------
// [5] Load
//-----------------------------------------------------------------------------

// Load of a target as measured by the node on its VM. Sent with every response
// and every refusal, so no extra messages are needed.
struct LoadReport
{
  uint32_t m_inFlight = 0;    // requests that the target is executing
  uint32_t m_queued = 0;      // requests queued at its node
  uint32_t m_limit = 0;       // current concurrency limit, at most m_slots
  uint32_t m_slots = 0;       // configured concurrency
  bool m_cold = false;        // in cold start: gets a small share of requests
  bool m_leaving = false;     // draining: accepts no new requests
  Duration m_latency{};       // typical service time
  uint32_t m_slowness = 100;  // current service time in % of the usual one
  uint64_t m_incarnation = 0; // of the target; reports of older ones are stale
  Duration m_backlog{}; // until a slot is free for a request that arrives now

  bool operator==(const LoadReport&) const = default;
};

//-----------------------------------------------------------------------------
// [6] Targets
//-----------------------------------------------------------------------------

// A target of the fleet as listed by membership.
struct TargetInfo
{
  NodeId m_node;
  std::string m_service;
  std::string m_zone;
  std::string m_region;
  Endpoint m_peer; // peer address of the node on its VM
  uint32_t m_slots = 0;
  uint64_t m_incarnation = 0; // of the target
  bool m_cold = false;
  bool m_leaving = false;
  uint64_t m_nodeIncarnation = 0; // of the node on its VM
  std::string m_version;          // of the target's software; may be empty
  // Bits; a request names those of the targets that it may use. Every target
  // has this one unless its service has a roll-out, see src/rollout.
  uint8_t m_roles = 1;

  bool operator==(const TargetInfo&) const = default;
};

} // namespace sassafrasquay

template<>
struct std::is_error_code_enum<sassafrasquay::ResultCode> : std::true_type
{
};

template<>
struct std::hash<sassafrasquay::CallId>
{
  size_t operator()(const sassafrasquay::CallId& aId) const noexcept
  {
    return aId.m_origin ^ (aId.m_sequence * 0x9E3779B97F4A7C15ULL);
  }
};

template<>
struct std::hash<sassafrasquay::NodeId>
{
  size_t operator()(const sassafrasquay::NodeId& aId) const noexcept
  {
    return std::hash<std::string>()(aId.m_value);
  }
};
