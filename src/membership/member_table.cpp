#include "membership/member_table.h"

#include <algorithm>
#include <tuple>

namespace sassafrasquay {

namespace {

constexpr unsigned kBucketShift = 64 - 7; // 128 buckets
static_assert(MemberTable::kBuckets == 128);

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

NewsRank
RankOf(const MemberSummary& aOld, const MemberSummary& aNew)
{
  if (FlagsDiffer(aOld, aNew)) {
    return NewsRank::Flags;
  }
  if (aOld.m_incarnation != aNew.m_incarnation ||
      aOld.m_infoVersion != aNew.m_infoVersion) {
    return NewsRank::Record;
  }
  return NewsRank::MemberHealth;
}

bool
NewerInfo(const Entry& aEntry, const MemberSummary& aBrief)
{
  return std::tie(aBrief.m_incarnation, aBrief.m_infoVersion) >
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
  m_live += entry.Dead() ? 0 : 1;
  return entry;
}

void
MemberTable::Erase(MemberKey aKey)
{
  const Entry* entry = Find(aKey);
  if (entry != nullptr) {
    m_live -= entry->Dead() ? 0 : 1;
    m_entries.erase(aKey);
  }
}

bool
MemberTable::Override(Entry& aEntry,
                      const MemberSummary& aBrief,
                      TimePoint aNow)
{
  if (!Supersedes(aBrief, aEntry.m_summary)) {
    return false;
  }
  const bool wasGone = aEntry.Dead();
  aEntry.m_summary = aBrief;
  if (aEntry.Dead() && !wasGone) {
    aEntry.m_goneSince = aNow;
    --m_live;
  } else if (!aEntry.Dead() && wasGone) {
    ++m_live;
  }
  return true;
}

Merge
MemberTable::Apply(const MemberSummary& aBrief,
                   TimePoint aNow,
                   TableChange& aChange)
{
  Entry* entry = Find(aBrief.m_key);
  if (entry == nullptr) {
    return Merge::Unknown;
  }
  const MemberSummary old = entry->m_summary;
  if (Override(*entry, aBrief, aNow)) {
    aChange = { RankOf(old, aBrief), false };
    return Merge::Applied;
  }
  return aBrief == old ? Merge::Same : Merge::Stale;
}

Merge
MemberTable::Apply(const MemberRecord& aRecord,
                   TimePoint aNow,
                   TableChange& aChange)
{
  const MemberSummary& brief = aRecord.m_summary;
  if (brief.m_key != MemberKeyOf(aRecord.m_info.m_id)) {
    return Merge::Rejected;
  }
  Entry* entry = Find(brief.m_key);
  if (entry == nullptr) {
    if (brief.m_health >= MemberHealth::Dead) {
      return Merge::Stale; // nothing to learn about a node that is no more
    }
    if (m_entries.size() >= m_maximum) {
      return Merge::Rejected;
    }
    Insert(aRecord);
    aChange = { NewsRank::Record, true };
    return Merge::Applied;
  }
  if (entry->m_info.m_id != aRecord.m_info.m_id) {
    return Merge::Rejected;
  }
  Merge result = Apply(brief, aNow, aChange);
  if (NewerInfo(*entry, brief)) {
    entry->m_info = aRecord.m_info;
    entry->m_infoIncarnation = brief.m_incarnation;
    entry->m_infoVersion = brief.m_infoVersion;
    aChange = { std::max(aChange.m_rank, NewsRank::Record), true };
    result = Merge::Applied;
  }
  return result;
}

void
MemberTable::Announce(Entry& aEntry, size_t aCopies, NewsRank aRank, bool aFull)
{
  if (aEntry.m_copies == 0) {
    aEntry.m_rank = aRank;
    aEntry.m_fullNews = aFull;
    // A key whose copies ran out stays in the list until the next pruning.
    if (std::find(m_news.begin(), m_news.end(), aEntry.m_summary.m_key) ==
        m_news.end()) {
      m_news.push_back(aEntry.m_summary.m_key);
    }
  } else {
    aEntry.m_rank = std::max(aEntry.m_rank, aRank);
    aEntry.m_fullNews = aEntry.m_fullNews || aFull;
  }
  aEntry.m_copies = aCopies;
}

void
MemberTable::PruneNews()
{
  std::erase_if(m_news, [this](MemberKey aKey) {
    const Entry* entry = Find(aKey);
    return entry == nullptr || entry->m_copies == 0;
  });
}

std::vector<Entry*>
MemberTable::News(size_t aLimit)
{
  PruneNews();
  std::vector<Entry*> news;
  news.reserve(m_news.size());
  for (const MemberKey key : m_news) {
    news.push_back(Find(key));
  }
  const size_t count = std::min(aLimit, news.size());
  std::partial_sort(news.begin(),
                    news.begin() + static_cast<std::ptrdiff_t>(count),
                    news.end(),
                    [](const Entry* aOne, const Entry* aOther) {
                      return std::tie(aOne->m_rank, aOne->m_copies) >
                             std::tie(aOther->m_rank, aOther->m_copies);
                    });
  news.resize(count);
  return news;
}

size_t
MemberTable::NewsCount()
{
  PruneNews();
  return m_news.size();
}

bool
MemberTable::HasNewsAbove(NewsRank aRank)
{
  return std::any_of(m_news.begin(), m_news.end(), [&](MemberKey aKey) {
    const Entry* entry = Find(aKey);
    return entry != nullptr && entry->m_copies > 0 && entry->m_rank > aRank;
  });
}

void
MemberTable::ClearNews()
{
  for (const MemberKey key : m_news) {
    if (Entry* entry = Find(key); entry != nullptr) {
      entry->m_copies = 0;
    }
  }
  m_news.clear();
}

std::vector<uint32_t>
MemberTable::Digest() const
{
  std::vector<uint32_t> digest(kBuckets, 0);
  for (const auto& [key, entry] : m_entries) {
    if (entry.Dead()) {
      continue; // forgotten at different times on different nodes
    }
    const MemberSummary& brief = entry.m_summary;
    const uint64_t held = entry.Usable() ? entry.m_infoVersion : 0;
    const uint64_t word = Mix(Mix(key ^ Mix(brief.m_incarnation)) +
                              (held << 32 | brief.m_revision));
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
Ring::Add(MemberKey aKey, Random& aRandom)
{
  if (std::find(m_keys.begin(), m_keys.end(), aKey) != m_keys.end()) {
    return; // forgotten and back before its turn came
  }
  m_keys.push_back(aKey);
  std::swap(m_keys.back(), m_keys[aRandom.NextBelow(m_keys.size())]);
}

MemberKey
Ring::Next(const MemberTable& aTable, Random& aRandom, bool aShuffle)
{
  const size_t visits = m_keys.size();
  for (size_t i = 0; i < visits && !m_keys.empty(); ++i) {
    if (m_at >= m_keys.size()) {
      m_at = 0;
      for (size_t j = m_keys.size(); aShuffle && j > 1; --j) {
        std::swap(m_keys[j - 1], m_keys[aRandom.NextBelow(j)]);
      }
    }
    const MemberKey key = m_keys[m_at];
    const Entry* entry = aTable.Find(key);
    if (entry == nullptr) { // forgotten
      m_keys[m_at] = m_keys.back();
      m_keys.pop_back();
      continue;
    }
    ++m_at;
    if (!entry->Dead() && entry->Usable()) {
      return key;
    }
  }
  return 0;
}

} // namespace sassafrasquay
