#include "membership/member_table.h"

#include <algorithm>
#include <tuple>

namespace sassafrasquay {

namespace {

constexpr unsigned kBucketShift = 64 - 7; // 128 buckets
static_assert(MemberTable::kBuckets == 128);

// Finalizer of SplitMix64.
uint64_t
Mix(uint64_t aValue)
{
  aValue = (aValue ^ (aValue >> 30)) * 0xBF58476D1CE4E5B9ULL;
  aValue = (aValue ^ (aValue >> 27)) * 0x94D049BB133111EBULL;
  return aValue ^ (aValue >> 31);
}

bool
FlagsDiffer(const MemberSummary& aOne, const MemberSummary& aOther)
{
  return aOne.m_leaving != aOther.m_leaving || aOne.m_cold != aOther.m_cold ||
         aOne.m_targetLeaving != aOther.m_targetLeaving;
}

UpdatePriority
PriorityOf(const MemberSummary& aOld, const MemberSummary& aNew)
{
  if (FlagsDiffer(aOld, aNew)) {
    return UpdatePriority::Flags;
  }
  if (aOld.m_incarnation != aNew.m_incarnation ||
      aOld.m_infoVersion != aNew.m_infoVersion) {
    return UpdatePriority::Record;
  }
  return UpdatePriority::Health;
}

bool
HasNewerInfo(const Entry& aEntry, const MemberSummary& aSummary)
{
  return std::tie(aSummary.m_incarnation, aSummary.m_infoVersion) >
         std::tie(aEntry.m_infoIncarnation, aEntry.m_infoVersion);
}

} // namespace

const Entry*
MemberTable::Find(MemberKey aKey) const
{
  const auto found = m_entries.find(aKey);
  return found == m_entries.end() ? nullptr : &found->second;
}

Entry*
MemberTable::Find(MemberKey aKey)
{
  const auto found = m_entries.find(aKey);
  return found == m_entries.end() ? nullptr : &found->second;
}

Entry&
MemberTable::Insert(const MemberRecord& aRecord)
{
  Entry& entry = m_entries[aRecord.m_summary.m_key];
  entry.m_summary = aRecord.m_summary;
  entry.m_info = aRecord.m_info;
  entry.m_infoIncarnation = aRecord.m_summary.m_incarnation;
  entry.m_infoVersion = aRecord.m_summary.m_infoVersion;
  m_live += entry.IsDeadOrLeft() ? 0 : 1;
  return entry;
}

void
MemberTable::Erase(MemberKey aKey)
{
  const Entry* entry = Find(aKey);
  if (entry != nullptr) {
    m_live -= entry->IsDeadOrLeft() ? 0 : 1;
    m_entries.erase(aKey);
  }
}

bool
MemberTable::ReplaceIfNewer(Entry& aEntry,
                            const MemberSummary& aSummary,
                            TimePoint aNow)
{
  if (!Supersedes(aSummary, aEntry.m_summary)) {
    return false;
  }
  const bool wasDeadOrLeft = aEntry.IsDeadOrLeft();
  aEntry.m_summary = aSummary;
  if (aEntry.IsDeadOrLeft() && !wasDeadOrLeft) {
    aEntry.m_deadSince = aNow;
    --m_live;
  } else if (!aEntry.IsDeadOrLeft() && wasDeadOrLeft) {
    ++m_live;
  }
  return true;
}

MergeResult
MemberTable::Apply(const MemberSummary& aSummary,
                   TimePoint aNow,
                   TableChange& aChange)
{
  Entry* entry = Find(aSummary.m_key);
  if (entry == nullptr) {
    return MergeResult::UnknownMember;
  }
  const MemberSummary old = entry->m_summary;
  if (ReplaceIfNewer(*entry, aSummary, aNow)) {
    aChange = { PriorityOf(old, aSummary), false };
    return MergeResult::Applied;
  }
  return aSummary == old ? MergeResult::Duplicate : MergeResult::Stale;
}

MergeResult
MemberTable::Apply(const MemberRecord& aRecord,
                   TimePoint aNow,
                   TableChange& aChange)
{
  const MemberSummary& summary = aRecord.m_summary;
  if (summary.m_key != MemberKeyOf(aRecord.m_info.m_id)) {
    return MergeResult::Rejected;
  }
  Entry* entry = Find(summary.m_key);
  if (entry == nullptr) {
    if (summary.m_health >= MemberHealth::Dead) {
      return MergeResult::Stale; // dead nodes are not added
    }
    if (m_entries.size() >= m_maximum) {
      return MergeResult::Rejected;
    }
    Insert(aRecord);
    aChange = { UpdatePriority::Record, true };
    return MergeResult::Applied;
  }
  if (entry->m_info.m_id != aRecord.m_info.m_id) {
    return MergeResult::Rejected;
  }
  MergeResult result = Apply(summary, aNow, aChange);
  if (HasNewerInfo(*entry, summary)) {
    entry->m_info = aRecord.m_info;
    entry->m_infoIncarnation = summary.m_incarnation;
    entry->m_infoVersion = summary.m_infoVersion;
    aChange = { std::max(aChange.m_priority, UpdatePriority::Record), true };
    result = MergeResult::Applied;
  }
  return result;
}

void
MemberTable::QueueUpdate(Entry& aEntry,
                         size_t aTransmits,
                         UpdatePriority aPriority,
                         bool aSendRecord)
{
  if (aEntry.m_transmitsLeft == 0) {
    aEntry.m_priority = aPriority;
    aEntry.m_sendRecord = aSendRecord;
    // A key without transmits left stays in the list until PruneUpdates.
    if (std::find(m_updates.begin(), m_updates.end(), aEntry.m_summary.m_key) ==
        m_updates.end()) {
      m_updates.push_back(aEntry.m_summary.m_key);
    }
  } else {
    aEntry.m_priority = std::max(aEntry.m_priority, aPriority);
    aEntry.m_sendRecord = aEntry.m_sendRecord || aSendRecord;
  }
  aEntry.m_transmitsLeft = aTransmits;
}

void
MemberTable::PruneUpdates()
{
  std::erase_if(m_updates, [this](MemberKey aKey) {
    const Entry* entry = Find(aKey);
    return entry == nullptr || entry->m_transmitsLeft == 0;
  });
}

std::vector<Entry*>
MemberTable::QueuedUpdates(size_t aLimit)
{
  PruneUpdates();
  std::vector<Entry*> updates;
  updates.reserve(m_updates.size());
  for (const MemberKey key : m_updates) {
    updates.push_back(Find(key));
  }
  const size_t count = std::min(aLimit, updates.size());
  std::partial_sort(updates.begin(),
                    updates.begin() + static_cast<std::ptrdiff_t>(count),
                    updates.end(),
                    [](const Entry* aOne, const Entry* aOther) {
                      return std::tie(aOne->m_priority, aOne->m_transmitsLeft) >
                             std::tie(aOther->m_priority,
                                      aOther->m_transmitsLeft);
                    });
  updates.resize(count);
  return updates;
}

size_t
MemberTable::QueuedUpdateCount()
{
  PruneUpdates();
  return m_updates.size();
}

bool
MemberTable::HasUpdatesAbove(UpdatePriority aPriority)
{
  return std::any_of(m_updates.begin(), m_updates.end(), [&](MemberKey aKey) {
    const Entry* entry = Find(aKey);
    return entry != nullptr && entry->m_transmitsLeft > 0 &&
           entry->m_priority > aPriority;
  });
}

void
MemberTable::ClearUpdates()
{
  for (const MemberKey key : m_updates) {
    if (Entry* entry = Find(key); entry != nullptr) {
      entry->m_transmitsLeft = 0;
    }
  }
  m_updates.clear();
}

std::vector<uint32_t>
MemberTable::Digest() const
{
  std::vector<uint32_t> digest(kBuckets, 0);
  for (const auto& [key, entry] : m_entries) {
    if (entry.IsDeadOrLeft()) {
      continue; // removed at different times on different nodes
    }
    const MemberSummary& summary = entry.m_summary;
    const uint64_t infoVersion = entry.HasInfo() ? entry.m_infoVersion : 0;
    const uint64_t word = Mix(Mix(key ^ Mix(summary.m_incarnation)) +
                              (infoVersion << 32 | summary.m_revision));
    digest[key >> kBucketShift] ^= static_cast<uint32_t>(word);
  }
  return digest;
}

MemberKey
MemberTable::BucketStart(size_t aBucket)
{
  return static_cast<MemberKey>(aBucket) << kBucketShift;
}

MemberKey
MemberTable::BucketEnd(size_t aBucket)
{
  return BucketStart(aBucket) + ((MemberKey{ 1 } << kBucketShift) - 1);
}

void
RandomRoundRobin::Add(MemberKey aKey, Random& aRandom)
{
  if (std::find(m_keys.begin(), m_keys.end(), aKey) != m_keys.end()) {
    return; // removed from the table and added again within the round
  }
  m_keys.push_back(aKey);
  std::swap(m_keys.back(), m_keys[aRandom.NextBelow(m_keys.size())]);
}

MemberKey
RandomRoundRobin::Next(const MemberTable& aTable,
                       Random& aRandom,
                       bool aShuffle)
{
  const size_t visits = m_keys.size();
  for (size_t i = 0; i < visits && !m_keys.empty(); ++i) {
    if (m_position >= m_keys.size()) {
      m_position = 0;
      for (size_t j = m_keys.size(); aShuffle && j > 1; --j) {
        std::swap(m_keys[j - 1], m_keys[aRandom.NextBelow(j)]);
      }
    }
    const MemberKey key = m_keys[m_position];
    const Entry* entry = aTable.Find(key);
    if (entry == nullptr) { // removed from the table
      m_keys[m_position] = m_keys.back();
      m_keys.pop_back();
      continue;
    }
    ++m_position;
    if (!entry->IsDeadOrLeft() && entry->HasInfo()) {
      return key;
    }
  }
  return 0;
}

} // namespace sassafrasquay
