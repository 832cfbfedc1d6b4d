// Table of members with merge rules, news queue and digests. Internal to
// membership.
//
// Index of this file
//   [1] Entry: one member with what is left to tell about it
//   [2] MemberTable
//   [3] Ring: members in random order
#pragma once

#include "membership/membership.h"

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Entry
//-----------------------------------------------------------------------------

// Order of news within a datagram.
enum class NewsRank : uint8_t
{
  MemberHealth, // suspicions, losses and objections
  Record,       // a new member or new information about one
  Flags         // leaving and cold: acted on at once, so they go first
};

struct Entry
{
  MemberSummary m_summary;
  MemberInfo m_info;
  uint64_t m_infoIncarnation = 0; // incarnation that m_info belongs to
  uint32_t m_infoVersion = 0;     // version of m_info
  uint64_t m_configVersion = 0;
  TimePoint m_goneSince{};
  size_t m_copies = 0; // datagrams that still carry this entry as news
  NewsRank m_rank = NewsRank::MemberHealth;
  bool m_fullNews = false; // send the record instead of the brief

  // m_info describes the process that the brief speaks of.
  bool Usable() const { return m_infoIncarnation == m_summary.m_incarnation; }
  // Only a current entry may be sent as a record: the receiver takes the
  // record's information for that of the brief's version.
  bool Current() const
  {
    return Usable() && m_infoVersion >= m_summary.m_infoVersion;
  }
  bool Dead() const { return m_summary.m_health >= MemberHealth::Dead; }
  bool Left() const { return m_summary.m_health == MemberHealth::Left; }
  MemberRecord Record() const { return { m_summary, m_info }; }
  Member View() const
  {
    return { Record(), StateOf(m_summary), m_configVersion };
  }
};

//-----------------------------------------------------------------------------
// [2] MemberTable
//-----------------------------------------------------------------------------

enum class Merge : uint8_t
{
  Stale,   // older than what the table holds
  Same,    // already known
  Applied, // the table has changed
  Unknown, // a brief about a node without an entry
  Rejected // the table is full, or two ids share a key
};

struct TableChange
{
  NewsRank m_rank = NewsRank::MemberHealth;
  bool m_newInfo = false; // the MemberInfo changed, not only the brief
};

class MemberTable
{
public:
  using Map = std::map<MemberKey, Entry>;
  static constexpr size_t kBuckets = 128; // of the digest

  explicit MemberTable(size_t aMaximum)
    : m_maximum(aMaximum)
  {
  }

  const Map& All() const { return m_entries; }
  const Entry* Find(MemberKey aKey) const;
  Entry* Find(MemberKey aKey);
  Entry& Insert(const MemberRecord& aRecord);
  void Erase(MemberKey aKey);
  size_t LiveCount() const { return m_live; }

  // aChange is set when the result is Applied.
  Merge Apply(const MemberSummary& aBrief,
              TimePoint aNow,
              TableChange& aChange);
  Merge Apply(const MemberRecord& aRecord,
              TimePoint aNow,
              TableChange& aChange);

  // Queues the entry for aCopies datagrams.
  void Announce(Entry& aEntry, size_t aCopies, NewsRank aRank, bool aFull);
  // Entries with copies left, the most important and freshest first.
  std::vector<Entry*> News(size_t aLimit);
  size_t NewsCount();
  bool NewsQueued() const { return !m_news.empty(); }
  bool HasNewsAbove(NewsRank aRank);
  void ClearNews();

  // One word for each range of keys, over members that are not gone.
  std::vector<uint32_t> Digest() const;
  static MemberKey BucketStart(size_t aBucket);
  static MemberKey BucketEnd(size_t aBucket);

private:
  bool Override(Entry& aEntry, const MemberSummary& aBrief, TimePoint aNow);
  void PruneNews();

  size_t m_maximum;
  size_t m_live = 0;
  Map m_entries;
  std::vector<MemberKey> m_news;
};

//-----------------------------------------------------------------------------
// [3] Ring
//-----------------------------------------------------------------------------

// Visits members in a random order, so that every member gets its turn within
// one round; a new member enters at a random position.
class Ring
{
public:
  void Add(MemberKey aKey, Random& aRandom);
  // The next member that aTable lists as not gone and usable; 0 without one.
  // Shuffles after each round when aShuffle is set.
  MemberKey Next(const MemberTable& aTable, Random& aRandom, bool aShuffle);

private:
  std::vector<MemberKey> m_keys;
  size_t m_at = 0;
};

} // namespace sassafrasquay
