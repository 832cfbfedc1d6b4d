// Suspects by the intersection of crashes, with clearing by completion.
#include "quarantine/quarantine.h"

#include <algorithm>
#include <unordered_map>

namespace sassafrasquay {

namespace {

// One identity at one crash.
struct Involvement
{
  CrashId m_crash;
  TimePoint m_time;
  bool m_cleared;
  uint32_t m_sent; // times handed out as news
};

struct Completion
{
  RequestIdentity m_identity = 0;
  TimePoint m_time = TimePoint::min();
};

struct Suspect
{
  std::vector<Involvement> m_crashThreshold;
};

// Crashes of one identity that are told apart; more change nothing, because
// the hold has reached its longest.
constexpr size_t kMostCrashes = 16;
// Last completions by identity, in a table of fixed size where a newer one may
// replace another's: 128 KiB, enough for some seconds of a node's calls. A lost
// entry only leaves a suspicion open for longer.
constexpr size_t kCompletions = 8192;
// A request that crashes whatever runs it does not complete, so a completion
// shortly before a crash clears as well as one after it. This also covers
// news whose age is too low by the time it travelled.
constexpr Duration kClearsLaterCrash = std::chrono::seconds(10);

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
  bool MergeUpdate(const SuspectUpdate& aNews, TimePoint aNow) override;
  std::vector<SuspectUpdate> NextUpdates(size_t aMax, TimePoint aNow) override;
  std::vector<SuspectUpdate> NewsOf(RequestIdentity aIdentity,
                                    TimePoint aNow) const override;
  void RemoveExpired(TimePoint aNow) override;
  size_t Size() const override { return m_suspects.size(); }

private:
  const Suspect* Find(RequestIdentity aIdentity, TimePoint aNow) const;
  bool IsForgotten(const Suspect& aSuspect, TimePoint aNow) const;
  bool IsSuspect(RequestIdentity aIdentity, TimePoint aNow) const;
  TimePoint RefusedUntil(const Suspect& aSuspect) const;
  bool OtherSuspectRuns(RequestIdentity aIdentity, TimePoint aNow) const;
  bool Record(RequestIdentity aIdentity,
              CrashId aCrash,
              bool aCleared,
              TimePoint aTime);
  bool CompletedAround(RequestIdentity aIdentity, TimePoint aCrash) const;
  void MakeRoom();

  QuarantineSettings m_settings;
  std::unordered_map<RequestIdentity, Suspect> m_suspects;
  std::unordered_map<RequestIdentity, uint32_t> m_running; // on own target
  std::vector<Completion> m_completions;
};

// Crashes that the identity has not been cleared of.
size_t
OpenCrashes(const Suspect& aSuspect)
{
  return static_cast<size_t>(
    std::count_if(aSuspect.m_crashThreshold.begin(),
                  aSuspect.m_crashThreshold.end(),
                  [](const auto& aOne) { return !aOne.m_cleared; }));
}

TimePoint
LastCrash(const Suspect& aSuspect)
{
  TimePoint last = TimePoint::min();
  for (const Involvement& one : aSuspect.m_crashThreshold) {
    last = std::max(last, one.m_time);
  }
  return last;
}

SuspectUpdate
ToNews(RequestIdentity aIdentity, const Involvement& aOne, TimePoint aNow)
{
  const Duration age = std::max(Duration(0), aNow - aOne.m_time);
  return { aIdentity, aOne.m_crash, aOne.m_cleared, age };
}

QuarantineDecision
Refusal(Duration aRetryAfter)
{
  return { QuarantineVerdict::Refused,
           ResultCode::CrashSuspect,
           Run::No,
           Run::Maybe,
           aRetryAfter };
}

CrashQuarantine::CrashQuarantine(QuarantineSettings aSettings)
  : m_settings(aSettings)
  , m_completions(kCompletions)
{
}

//-----------------------------------------------------------------------------
// Verdicts
//-----------------------------------------------------------------------------

QuarantineDecision
CrashQuarantine::Check(RequestIdentity aIdentity, TimePoint aNow) const
{
  const Suspect* suspect = Find(aIdentity, aNow);
  if (suspect == nullptr ||
      OpenCrashes(*suspect) < m_settings.m_crashThreshold) {
    return {};
  }
  const TimePoint until = RefusedUntil(*suspect);
  return aNow < until ? Refusal(until - aNow) : QuarantineDecision();
}

QuarantineDecision
CrashQuarantine::Start(RequestIdentity aIdentity, TimePoint aNow)
{
  const QuarantineDecision decision = Check(aIdentity, aNow);
  if (decision.m_verdict != QuarantineVerdict::Allowed) {
    return decision;
  }
  // Two suspects on one target would share the blame of its next crash.
  if (IsSuspect(aIdentity, aNow) && OtherSuspectRuns(aIdentity, aNow)) {
    return {
      QuarantineVerdict::Separate, ResultCode::Overloaded, Run::No, Run::Maybe
    };
  }
  ++m_running[aIdentity];
  return {};
}

bool
CrashQuarantine::OtherSuspectRuns(RequestIdentity aIdentity,
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
  const Suspect* suspect = Find(aIdentity, aNow);
  return suspect != nullptr && OpenCrashes(*suspect) > 0;
}

TimePoint
CrashQuarantine::RefusedUntil(const Suspect& aSuspect) const
{
  Duration hold = m_settings.m_initialDuration;
  for (size_t i = m_settings.m_crashThreshold; i < OpenCrashes(aSuspect); ++i) {
    hold = std::min(2 * hold, m_settings.m_maxDuration);
  }
  return LastCrash(aSuspect) + hold;
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
  m_completions[aIdentity % kCompletions] = { aIdentity, aNow };
  const auto found = m_suspects.find(aIdentity);
  if (found == m_suspects.end()) {
    return;
  }
  for (Involvement& one : found->second.m_crashThreshold) {
    if (!one.m_cleared) {
      one.m_cleared = true;
      one.m_sent = 0;
    }
  }
}

void
CrashQuarantine::OnCrash(CrashId aCrash,
                         std::span<const RequestIdentity> aInFlight,
                         TimePoint aNow)
{
  m_running.clear();
  const size_t count = std::min(aInFlight.size(), m_settings.m_perCrash);
  for (const RequestIdentity identity : aInFlight.first(count)) {
    Record(identity, aCrash, false, aNow);
  }
}

bool
CrashQuarantine::MergeUpdate(const SuspectUpdate& aNews, TimePoint aNow)
{
  if (aNews.m_age < Duration(0) || aNews.m_age >= m_settings.m_retention) {
    return false;
  }
  return Record(
    aNews.m_identity, aNews.m_crash, aNews.m_cleared, aNow - aNews.m_age);
}

bool
CrashQuarantine::Record(RequestIdentity aIdentity,
                        CrashId aCrash,
                        bool aCleared,
                        TimePoint aTime)
{
  if (!m_suspects.contains(aIdentity)) {
    MakeRoom();
  }
  auto& crashes = m_suspects[aIdentity].m_crashThreshold;
  const auto known =
    std::find_if(crashes.begin(), crashes.end(), [&](const auto& aOne) {
      return aOne.m_crash == aCrash;
    });
  if (known == crashes.end()) {
    if (crashes.size() >= kMostCrashes) {
      crashes.erase(crashes.begin());
    }
    const bool isCleared = aCleared || CompletedAround(aIdentity, aTime);
    crashes.push_back({ aCrash, aTime, isCleared, 0 });
    return true;
  }
  // News only ages on its way, so the earliest estimate is the closest.
  known->m_time = std::min(known->m_time, aTime);
  if (aCleared && !known->m_cleared) {
    known->m_cleared = true;
    known->m_sent = 0;
    return true;
  }
  return false;
}

bool
CrashQuarantine::CompletedAround(RequestIdentity aIdentity,
                                 TimePoint aCrash) const
{
  const Completion& last = m_completions[aIdentity % kCompletions];
  return last.m_identity == aIdentity && last.m_time != TimePoint::min() &&
         aCrash - kClearsLaterCrash <= last.m_time;
}

//-----------------------------------------------------------------------------
// News and memory
//-----------------------------------------------------------------------------

std::vector<SuspectUpdate>
CrashQuarantine::NextUpdates(size_t aMax, TimePoint aNow)
{
  std::vector<std::pair<RequestIdentity, Involvement*>> unsent;
  for (auto& [identity, suspect] : m_suspects) {
    for (Involvement& one : suspect.m_crashThreshold) {
      if (one.m_sent < m_settings.m_repeats &&
          aNow - one.m_time < m_settings.m_retention) {
        unsent.emplace_back(identity, &one);
      }
    }
  }
  const size_t count = std::min(aMax, unsent.size());
  std::partial_sort(unsent.begin(),
                    unsent.begin() + static_cast<ptrdiff_t>(count),
                    unsent.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.second->m_sent < aRight.second->m_sent;
                    });
  std::vector<SuspectUpdate> news;
  for (size_t i = 0; i < count; ++i) {
    ++unsent[i].second->m_sent;
    news.push_back(ToNews(unsent[i].first, *unsent[i].second, aNow));
  }
  return news;
}

std::vector<SuspectUpdate>
CrashQuarantine::NewsOf(RequestIdentity aIdentity, TimePoint aNow) const
{
  std::vector<SuspectUpdate> news;
  const Suspect* suspect = Find(aIdentity, aNow);
  if (suspect != nullptr) {
    for (const Involvement& one : suspect->m_crashThreshold) {
      news.push_back(ToNews(aIdentity, one, aNow));
    }
  }
  return news;
}

void
CrashQuarantine::RemoveExpired(TimePoint aNow)
{
  std::erase_if(m_suspects, [&](const auto& aEntry) {
    return IsForgotten(aEntry.second, aNow);
  });
}

const Suspect*
CrashQuarantine::Find(RequestIdentity aIdentity, TimePoint aNow) const
{
  const auto found = m_suspects.find(aIdentity);
  if (found == m_suspects.end() || IsForgotten(found->second, aNow)) {
    return nullptr;
  }
  return &found->second;
}

bool
CrashQuarantine::IsForgotten(const Suspect& aSuspect, TimePoint aNow) const
{
  return aNow - LastCrash(aSuspect) >= m_settings.m_retention;
}

// Gives up the identity with the fewest open crashes; of several, the one
// whose last crash is the oldest.
void
CrashQuarantine::MakeRoom()
{
  if (m_suspects.empty() || m_suspects.size() < m_settings.m_identities) {
    return;
  }
  const auto victim = std::min_element(
    m_suspects.begin(),
    m_suspects.end(),
    [](const auto& aLeft, const auto& aRight) {
      return std::pair(OpenCrashes(aLeft.second), LastCrash(aLeft.second)) <
             std::pair(OpenCrashes(aRight.second), LastCrash(aRight.second));
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
  // The number is hashed first: as a plain seed it is only combined with the
  // first character, and short names would collide.
  const std::string number = std::to_string(aIncarnation);
  return StableHash(aTarget.m_value, StableHash(number));
}

std::unique_ptr<Quarantine>
MakeQuarantine(QuarantineSettings aSettings)
{
  return std::make_unique<CrashQuarantine>(aSettings);
}

} // namespace sassafrasquay
