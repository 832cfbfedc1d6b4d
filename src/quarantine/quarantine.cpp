// Records the requests that were in flight at a crash as suspects, and clears a
// suspect when it completes.
#include "quarantine/quarantine.h"

#include <algorithm>
#include <unordered_map>

namespace sassafrasquay {

namespace {

// One suspect at one crash.
struct CrashRecord
{
  CrashId m_crash;
  TimePoint m_time;
  bool m_cleared;
  uint32_t m_transmissions; // times returned by NextUpdates
};

struct Completion
{
  RequestIdentity m_identity = 0;
  TimePoint m_time = TimePoint::min();
};

struct Suspect
{
  std::vector<CrashRecord> m_crashes;
};

// Crashes that are recorded for one suspect. With the default settings, more
// would change nothing, because the refusal has reached its longest duration by
// then.
constexpr size_t kMaxCrashesPerSuspect = 16;
// Slots of the hash table of recent completions. A newer completion replaces
// the one in its slot. The table takes 128 KiB and holds some seconds of a
// node's calls. A replaced entry only means that a suspect is cleared later.
constexpr size_t kCompletionTableSize = 8192;
// A completion this long before a crash still clears the request of it, because
// a request that crashes every target never completes. The window also covers
// updates whose age is too low by their time in transit.
constexpr Duration kCompletionWindow = std::chrono::seconds(10);

class CrashQuarantine : public Quarantine
{
public:
  explicit CrashQuarantine(QuarantineSettings aSettings);

  QuarantineDecision Check(RequestIdentity aIdentity,
                           TimePoint aNow) const override;
  QuarantineDecision Start(RequestIdentity aIdentity, TimePoint aNow) override;
  void OnFinished(RequestIdentity aIdentity,
                  bool aCompleted,
                  TimePoint aNow) override;
  void OnAnswered(RequestIdentity aIdentity, TimePoint aNow) override;
  void OnCrash(CrashId aCrash,
               std::span<const RequestIdentity> aInFlight,
               TimePoint aNow) override;
  bool MergeUpdate(const SuspectUpdate& aUpdate, TimePoint aNow) override;
  std::vector<SuspectUpdate> NextUpdates(size_t aMax, TimePoint aNow) override;
  std::vector<SuspectUpdate> UpdatesFor(RequestIdentity aIdentity,
                                        TimePoint aNow) const override;
  void RemoveExpired(TimePoint aNow) override;
  size_t Size() const override { return m_suspects.size(); }

private:
  const Suspect* FindSuspect(RequestIdentity aIdentity, TimePoint aNow) const;
  bool IsExpired(const Suspect& aSuspect, TimePoint aNow) const;
  bool IsSuspect(RequestIdentity aIdentity, TimePoint aNow) const;
  TimePoint RefusedUntil(const Suspect& aSuspect) const;
  bool IsOtherSuspectRunning(RequestIdentity aIdentity, TimePoint aNow) const;
  bool RecordCrash(RequestIdentity aIdentity,
                   CrashId aCrash,
                   bool aCleared,
                   TimePoint aTime);
  bool CompletedNearCrash(RequestIdentity aIdentity, TimePoint aCrash) const;
  void EvictIfFull();

  QuarantineSettings m_settings;
  std::unordered_map<RequestIdentity, Suspect> m_suspects;
  // Attempts in flight on the target beside this node, by identity.
  std::unordered_map<RequestIdentity, uint32_t> m_running;
  std::vector<Completion> m_completions;
};

// Counts the crashes that the suspect has not been cleared of.
size_t
UnclearedCrashCount(const Suspect& aSuspect)
{
  return static_cast<size_t>(
    std::count_if(aSuspect.m_crashes.begin(),
                  aSuspect.m_crashes.end(),
                  [](const auto& aRecord) { return !aRecord.m_cleared; }));
}

TimePoint
LastCrashTime(const Suspect& aSuspect)
{
  TimePoint last = TimePoint::min();
  for (const CrashRecord& record : aSuspect.m_crashes) {
    last = std::max(last, record.m_time);
  }
  return last;
}

SuspectUpdate
MakeUpdate(RequestIdentity aIdentity,
           const CrashRecord& aRecord,
           TimePoint aNow)
{
  const Duration age = std::max(Duration(0), aNow - aRecord.m_time);
  return { aIdentity, aRecord.m_crash, aRecord.m_cleared, age };
}

QuarantineDecision
MakeRefusal(Duration aRetryAfter)
{
  return { QuarantineVerdict::Refused,
           ResultCode::CrashSuspect,
           Executed::No,
           Executed::Maybe,
           aRetryAfter };
}

CrashQuarantine::CrashQuarantine(QuarantineSettings aSettings)
  : m_settings(aSettings)
  , m_completions(kCompletionTableSize)
{
}

//-----------------------------------------------------------------------------
// Decisions
//-----------------------------------------------------------------------------

QuarantineDecision
CrashQuarantine::Check(RequestIdentity aIdentity, TimePoint aNow) const
{
  const Suspect* suspect = FindSuspect(aIdentity, aNow);
  if (suspect == nullptr ||
      UnclearedCrashCount(*suspect) < m_settings.m_crashThreshold) {
    return {};
  }
  const TimePoint until = RefusedUntil(*suspect);
  return aNow < until ? MakeRefusal(until - aNow) : QuarantineDecision();
}

QuarantineDecision
CrashQuarantine::Start(RequestIdentity aIdentity, TimePoint aNow)
{
  const QuarantineDecision decision = Check(aIdentity, aNow);
  if (decision.m_verdict != QuarantineVerdict::Allowed) {
    return decision;
  }
  // If two suspects ran on one target, its next crash would count against both.
  if (IsSuspect(aIdentity, aNow) && IsOtherSuspectRunning(aIdentity, aNow)) {
    return { QuarantineVerdict::TryAnotherTarget,
             ResultCode::Overloaded,
             Executed::No,
             Executed::Maybe };
  }
  ++m_running[aIdentity];
  return {};
}

bool
CrashQuarantine::IsOtherSuspectRunning(RequestIdentity aIdentity,
                                       TimePoint aNow) const
{
  return std::any_of(
    m_running.begin(), m_running.end(), [&](const auto& aEntry) {
      return aEntry.first != aIdentity && IsSuspect(aEntry.first, aNow);
    });
}

bool
CrashQuarantine::IsSuspect(RequestIdentity aIdentity, TimePoint aNow) const
{
  const Suspect* suspect = FindSuspect(aIdentity, aNow);
  return suspect != nullptr && UnclearedCrashCount(*suspect) > 0;
}

TimePoint
CrashQuarantine::RefusedUntil(const Suspect& aSuspect) const
{
  Duration duration = m_settings.m_initialDuration;
  for (size_t i = m_settings.m_crashThreshold;
       i < UnclearedCrashCount(aSuspect);
       ++i) {
    duration = std::min(2 * duration, m_settings.m_maxDuration);
  }
  return LastCrashTime(aSuspect) + duration;
}

//-----------------------------------------------------------------------------
// Events
//-----------------------------------------------------------------------------

void
CrashQuarantine::OnFinished(RequestIdentity aIdentity,
                            bool aCompleted,
                            TimePoint aNow)
{
  const auto found = m_running.find(aIdentity);
  if (found != m_running.end() && --found->second == 0) {
    m_running.erase(found);
  }
  if (aCompleted) {
    OnAnswered(aIdentity, aNow);
  }
}

void
CrashQuarantine::OnAnswered(RequestIdentity aIdentity, TimePoint aNow)
{
  m_completions[aIdentity % kCompletionTableSize] = { aIdentity, aNow };
  const auto found = m_suspects.find(aIdentity);
  if (found == m_suspects.end()) {
    return;
  }
  for (CrashRecord& record : found->second.m_crashes) {
    if (!record.m_cleared) {
      record.m_cleared = true;
      record.m_transmissions = 0;
    }
  }
}

void
CrashQuarantine::OnCrash(CrashId aCrash,
                         std::span<const RequestIdentity> aInFlight,
                         TimePoint aNow)
{
  m_running.clear();
  const size_t count =
    std::min(aInFlight.size(), m_settings.m_maxSuspectsPerCrash);
  for (const RequestIdentity identity : aInFlight.first(count)) {
    RecordCrash(identity, aCrash, false, aNow);
  }
}

bool
CrashQuarantine::MergeUpdate(const SuspectUpdate& aUpdate, TimePoint aNow)
{
  if (aUpdate.m_age < Duration(0) || aUpdate.m_age >= m_settings.m_retention) {
    return false;
  }
  return RecordCrash(aUpdate.m_identity,
                     aUpdate.m_crash,
                     aUpdate.m_cleared,
                     aNow - aUpdate.m_age);
}

bool
CrashQuarantine::RecordCrash(RequestIdentity aIdentity,
                             CrashId aCrash,
                             bool aCleared,
                             TimePoint aTime)
{
  if (!m_suspects.contains(aIdentity)) {
    EvictIfFull();
  }
  auto& crashes = m_suspects[aIdentity].m_crashes;
  const auto existing =
    std::find_if(crashes.begin(), crashes.end(), [&](const auto& aRecord) {
      return aRecord.m_crash == aCrash;
    });
  if (existing == crashes.end()) {
    if (crashes.size() >= kMaxCrashesPerSuspect) {
      crashes.erase(crashes.begin());
    }
    const bool isCleared = aCleared || CompletedNearCrash(aIdentity, aTime);
    crashes.push_back({ aCrash, aTime, isCleared, 0 });
    return true;
  }
  // The time in transit is missing from an update's age, so the earliest
  // estimate of the crash time is the most accurate.
  existing->m_time = std::min(existing->m_time, aTime);
  if (aCleared && !existing->m_cleared) {
    existing->m_cleared = true;
    existing->m_transmissions = 0;
    return true;
  }
  return false;
}

bool
CrashQuarantine::CompletedNearCrash(RequestIdentity aIdentity,
                                    TimePoint aCrash) const
{
  const Completion& last = m_completions[aIdentity % kCompletionTableSize];
  return last.m_identity == aIdentity && last.m_time != TimePoint::min() &&
         aCrash - kCompletionWindow <= last.m_time;
}

//-----------------------------------------------------------------------------
// Updates for other nodes, and retention
//-----------------------------------------------------------------------------

std::vector<SuspectUpdate>
CrashQuarantine::NextUpdates(size_t aMax, TimePoint aNow)
{
  std::vector<std::pair<RequestIdentity, CrashRecord*>> pending;
  for (auto& [identity, suspect] : m_suspects) {
    for (CrashRecord& record : suspect.m_crashes) {
      if (record.m_transmissions < m_settings.m_maxTransmissions &&
          aNow - record.m_time < m_settings.m_retention) {
        pending.emplace_back(identity, &record);
      }
    }
  }
  const size_t count = std::min(aMax, pending.size());
  std::partial_sort(pending.begin(),
                    pending.begin() + static_cast<ptrdiff_t>(count),
                    pending.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.second->m_transmissions <
                             aRight.second->m_transmissions;
                    });
  std::vector<SuspectUpdate> updates;
  for (size_t i = 0; i < count; ++i) {
    ++pending[i].second->m_transmissions;
    updates.push_back(MakeUpdate(pending[i].first, *pending[i].second, aNow));
  }
  return updates;
}

std::vector<SuspectUpdate>
CrashQuarantine::UpdatesFor(RequestIdentity aIdentity, TimePoint aNow) const
{
  std::vector<SuspectUpdate> updates;
  const Suspect* suspect = FindSuspect(aIdentity, aNow);
  if (suspect != nullptr) {
    for (const CrashRecord& record : suspect->m_crashes) {
      updates.push_back(MakeUpdate(aIdentity, record, aNow));
    }
  }
  return updates;
}

void
CrashQuarantine::RemoveExpired(TimePoint aNow)
{
  std::erase_if(m_suspects, [&](const auto& aEntry) {
    return IsExpired(aEntry.second, aNow);
  });
}

const Suspect*
CrashQuarantine::FindSuspect(RequestIdentity aIdentity, TimePoint aNow) const
{
  const auto found = m_suspects.find(aIdentity);
  if (found == m_suspects.end() || IsExpired(found->second, aNow)) {
    return nullptr;
  }
  return &found->second;
}

bool
CrashQuarantine::IsExpired(const Suspect& aSuspect, TimePoint aNow) const
{
  return aNow - LastCrashTime(aSuspect) >= m_settings.m_retention;
}

// Evicts the suspect with the fewest uncleared crashes, and among several the
// one whose last crash is the oldest.
void
CrashQuarantine::EvictIfFull()
{
  if (m_suspects.empty() || m_suspects.size() < m_settings.m_maxSuspects) {
    return;
  }
  const auto victim =
    std::min_element(m_suspects.begin(),
                     m_suspects.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return std::pair(UnclearedCrashCount(aLeft.second),
                                        LastCrashTime(aLeft.second)) <
                              std::pair(UnclearedCrashCount(aRight.second),
                                        LastCrashTime(aRight.second));
                     });
  m_suspects.erase(victim);
}

} // namespace

//-----------------------------------------------------------------------------
// Identities
//-----------------------------------------------------------------------------

RequestIdentity
IdentityFromKey(std::string_view aService, std::string_view aKey)
{
  return StableHash(aKey, StableHash(aService, StableHash("key")));
}

RequestIdentity
IdentityFromContent(std::string_view aService,
                    std::string_view aMethod,
                    std::string_view aPath,
                    std::string_view aBody)
{
  RequestIdentity identity = StableHash(aService, StableHash("content"));
  identity = StableHash(aMethod, identity);
  identity = StableHash(aPath, identity);
  return StableHash(aBody.substr(0, kIdentityBodyBytes), identity);
}

CrashId
CrashIdOf(const NodeId& aTarget, uint64_t aIncarnation)
{
  // The incarnation is hashed first. A plain seed is only combined with the
  // first character, so short target names would collide.
  const std::string number = std::to_string(aIncarnation);
  return StableHash(aTarget.m_value, StableHash(number));
}

std::unique_ptr<Quarantine>
MakeQuarantine(QuarantineSettings aSettings)
{
  return std::make_unique<CrashQuarantine>(aSettings);
}

} // namespace sassafrasquay
