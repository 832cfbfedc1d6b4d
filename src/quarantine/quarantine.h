// Requests that crash targets: suspects, clearing and refusal.
//
// Pure decision code: events with their time in, verdicts and news out. Every
// node holds one Quarantine. The node beside a target reports what ran there;
// the entry node asks before it routes and reports the answers it sees.
//
// Index of this file
//   [1] Identity of a request
//   [2] Verdicts
//   [3] News between nodes
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

using RequestIdentity = uint64_t;

// Digest of the service and the key. Resends carry the same key.
RequestIdentity
IdentityFromKey(std::string_view aService, std::string_view aKey);

// Digest of what a resend without a key repeats. Only the first
// kIdentityBodyBytes of aBody count, so that an upload need not be buffered.
inline constexpr size_t kIdentityBodyBytes = 1024;
RequestIdentity
IdentityFromContent(std::string_view aService,
                    std::string_view aMethod,
                    std::string_view aPath,
                    std::string_view aBody);

//-----------------------------------------------------------------------------
// [2] Verdicts
//-----------------------------------------------------------------------------

enum class QuarantineVerdict : uint8_t
{
  Allowed,
  Separate, // not on this target now: another suspect runs there; try another
  Refused   // crashed targets before; refused for m_retryAfter
};

// A refusal is given before dispatch, so this attempt did not run. Earlier
// attempts of the same identity were in flight on targets that crashed, so a
// request that is identified by its key, or that was dispatched before, is
// Run::Maybe and not Run::No.
struct QuarantineDecision
{
  QuarantineVerdict m_verdict = QuarantineVerdict::Allowed;
  ResultCode m_code = ResultCode::Ok; // Overloaded or CrashSuspect otherwise
  Run m_attemptRun = Run::No;         // this attempt, when not allowed
  Run m_requestRun = Run::No;         // any attempt with this identity
  Duration m_retryAfter{};            // only when refused
};

//-----------------------------------------------------------------------------
// [3] News between nodes
//-----------------------------------------------------------------------------

// One process of a target that crashed; equal on every node.
using CrashId = uint64_t;

CrashId
CrashIdOf(const NodeId& aTarget, uint64_t aIncarnation);

// An identity was in flight at a crash, or has been cleared of that crash.
// Clearing names the crash, so news may arrive in any order and repeatedly.
struct SuspectUpdate
{
  RequestIdentity m_identity = 0;
  CrashId m_crash = 0;
  bool m_cleared = false;
  Duration m_age{}; // since the crash, as the sender knows it

  bool operator==(const SuspectUpdate&) const = default;
};

//-----------------------------------------------------------------------------
// [4] Quarantine interface
//-----------------------------------------------------------------------------

class Quarantine : public Component
{
public:
  // At the entry node before routing, and before each retry.
  virtual QuarantineDecision Check(RequestIdentity aIdentity,
                                   TimePoint aNow) const = 0;
  // At the target's node just before dispatch; when allowed, the request
  // counts as in flight on the target beside this node until OnFinished or
  // OnCrash.
  virtual QuarantineDecision Start(RequestIdentity aIdentity,
                                   TimePoint aNow) = 0;
  // aCompleted: the target gave a whole answer. Clears a suspect.
  virtual void OnFinished(RequestIdentity aIdentity,
                          bool aCompleted,
                          TimePoint aNow) = 0;
  // At the entry node when a whole answer from any target has passed.
  virtual void OnAnswered(RequestIdentity aIdentity, TimePoint aNow) = 0;
  // The target beside this node crashed with these requests in flight. They
  // need no OnFinished. Repeating a crash changes nothing.
  virtual void OnCrash(CrashId aCrash,
                       std::span<const RequestIdentity> aInFlight,
                       TimePoint aNow) = 0;

  // Returns true when the news changed what is known here.
  virtual bool MergeUpdate(const SuspectUpdate& aNews, TimePoint aNow) = 0;
  // News to piggyback on a message, least often sent first. Each piece is
  // handed out a bounded number of times.
  virtual std::vector<SuspectUpdate> NextUpdates(size_t aMax,
                                                 TimePoint aNow) = 0;
  // What is known about one identity, to be carried on its own calls and
  // failures, which is faster than gossip.
  virtual std::vector<SuspectUpdate> NewsOf(RequestIdentity aIdentity,
                                            TimePoint aNow) const = 0;

  // Forgets what is older than the memory.
  virtual void RemoveExpired(TimePoint aNow) = 0;
  virtual size_t Size() const = 0; // identities remembered
};

//-----------------------------------------------------------------------------
// [5] Settings
//-----------------------------------------------------------------------------

struct QuarantineSettings
{
  uint32_t m_crashThreshold = 2;                         // that lead to refusal
  Duration m_initialDuration{ std::chrono::minutes(1) }; // first refusal
  Duration m_maxDuration{ std::chrono::minutes(30) }; // it doubles up to this
  Duration m_retention{ std::chrono::hours(1) };      // after the last crash
  size_t m_identities = 4096;                         // remembered at most
  size_t m_perCrash = 256;                            // blamed for one crash
  uint32_t m_repeats = 10; // times that one piece of news is handed out
};

std::unique_ptr<Quarantine>
MakeQuarantine(QuarantineSettings aSettings);

} // namespace sassafrasquay
