// Quarantine of requests that crash targets: finds suspects, clears them and
// refuses them for a limited time.
//
// Decisions only: each function gets an event and the time, and returns a
// decision or updates for other nodes. Every node has one Quarantine. The node
// beside a target reports what ran there; the entry node checks each request
// before routing and reports the responses that it forwards.
//
// Index of this file
//   [1] Identity of a request
//   [2] Decisions
//   [3] Updates between nodes
//   [4] Quarantine interface
//   [5] Settings
#pragma once

#include "core/core.h"

#include <memory>
#include <optional>
#include <span>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Identity of a request
//-----------------------------------------------------------------------------

// Hash that is equal for all attempts of one request, also when its caller
// sends it again. Different requests with the same content share it.
using RequestIdentity = uint64_t;

// Hash of the service and the caller's key, which a retry repeats.
RequestIdentity
IdentityFromKey(std::string_view aService, std::string_view aKey);

// Hash of the parts that a retry without a key repeats. Only the first
// kIdentityBodyBytes of aBody count, so an upload needs no full buffering.
inline constexpr size_t kIdentityBodyBytes = 1024;
RequestIdentity
IdentityFromContent(std::string_view aService,
                    std::string_view aMethod,
                    std::string_view aPath,
                    std::string_view aBody);

//-----------------------------------------------------------------------------
// [2] Decisions
//-----------------------------------------------------------------------------

enum class QuarantineVerdict : uint8_t
{
  Allowed,
  TryAnotherTarget, // another suspect is running on this target
  Refused           // crashed targets before; refused for m_retryAfter
};

// A refusal happens before dispatch, so this attempt did not run. Earlier
// attempts with the same identity were in flight on targets that crashed. A
// request that is identified by its key, or that was dispatched before, is
// therefore Executed::Maybe and not Executed::No.
struct QuarantineDecision
{
  QuarantineVerdict m_verdict = QuarantineVerdict::Allowed;
  ResultCode m_code = ResultCode::Ok;   // else Overloaded or CrashSuspect
  Executed m_attemptRun = Executed::No; // this attempt, when not allowed
  Executed m_requestRun = Executed::No; // any attempt with this identity
  Duration m_retryAfter{};              // only when refused
};

//-----------------------------------------------------------------------------
// [3] Updates between nodes
//-----------------------------------------------------------------------------

// Identifies one crash of a target's process; equal on every node.
using CrashId = uint64_t;

CrashId
CrashIdOf(const NodeId& aTarget, uint64_t aIncarnation);

// States that a request was in flight at a crash, or that it was cleared of
// that crash. Each update names the crash, so updates may arrive repeatedly and
// in any order.
struct SuspectUpdate
{
  RequestIdentity m_identity = 0;
  CrashId m_crash = 0;
  bool m_cleared = false;
  Duration m_age{}; // since the crash, as the sender estimates it

  bool operator==(const SuspectUpdate&) const = default;
};

//-----------------------------------------------------------------------------
// [4] Quarantine interface
//-----------------------------------------------------------------------------

class Quarantine : public Component
{
public:
  // Called at the entry node before routing and before each retry.
  virtual QuarantineDecision Check(RequestIdentity aIdentity,
                                   TimePoint aNow) const = 0;
  // Called at the target's node just before dispatch. An allowed request counts
  // as in flight on the target until OnFinished or OnCrash.
  virtual QuarantineDecision Start(RequestIdentity aIdentity,
                                   TimePoint aNow) = 0;
  // aCompleted: the target sent a whole response. This clears a suspect.
  virtual void OnFinished(RequestIdentity aIdentity,
                          bool aCompleted,
                          TimePoint aNow) = 0;
  // Called at the entry node after it forwarded a whole response from any
  // target.
  virtual void OnAnswered(RequestIdentity aIdentity, TimePoint aNow) = 0;
  // The target beside this node crashed while these requests were in flight.
  // They need no OnFinished. Reporting the same crash again has no effect.
  virtual void OnCrash(CrashId aCrash,
                       std::span<const RequestIdentity> aInFlight,
                       TimePoint aNow) = 0;

  // Returns true when the update added a crash or a clearing to the records.
  virtual bool MergeUpdate(const SuspectUpdate& aUpdate, TimePoint aNow) = 0;
  // Updates to piggyback on a message, those sent least often first. Each is
  // returned at most m_maxTransmissions times.
  virtual std::vector<SuspectUpdate> NextUpdates(size_t aMax,
                                                 TimePoint aNow) = 0;
  // All records of one identity, to be sent along with its calls and their
  // failures, which is faster than gossip.
  virtual std::vector<SuspectUpdate> UpdatesFor(RequestIdentity aIdentity,
                                                TimePoint aNow) const = 0;

  // Removes suspects whose last crash is older than m_retention.
  virtual void RemoveExpired(TimePoint aNow) = 0;
  virtual size_t Size() const = 0; // number of suspects on record
};

//-----------------------------------------------------------------------------
// [5] Settings
//-----------------------------------------------------------------------------

struct QuarantineSettings
{
  uint32_t m_crashThreshold = 2; // crashes before a request is refused
  Duration m_initialDuration{ std::chrono::minutes(1) }; // of the refusal
  Duration m_maxDuration{ std::chrono::minutes(30) };    // doubles up to this
  Duration m_retention{ std::chrono::hours(1) };         // since the last crash
  size_t m_maxSuspects = 4096;
  size_t m_maxSuspectsPerCrash = 256;
  uint32_t m_maxTransmissions = 10; // of one update
};

std::unique_ptr<Quarantine>
MakeQuarantine(QuarantineSettings aSettings);

} // namespace sassafrasquay
