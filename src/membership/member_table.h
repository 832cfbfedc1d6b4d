// Table of members with merge rules, update queue and digests. Internal to
// membership.
//
// Index of this file
//   [1] Entry: one member and the state of its queued update
//   [2] MemberTable
//   [3] RandomRoundRobin: iterates over members in random order
#pragma once

#include "membership/membership.h"

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Entry
//-----------------------------------------------------------------------------

// Priority of an update in a datagram, in ascending order.
enum class UpdatePriority : uint8_t
{
  Health, // suspicion, failure and refutation
  Record, // a new member or a new version of its MemberInfo
  Flags   // leaving and cold: affect routing at once, so they go first
};

struct Entry
{
  MemberSummary m_summary;
  MemberInfo m_info;
  uint64_t m_infoIncarnation = 0; // process that m_info describes
  uint32_t m_infoVersion = 0;     // version of m_info
  LogPosition m_configPosition;
  TimePoint m_deadSince{};
  size_t m_transmitsLeft = 0; // datagrams that still carry the update
  UpdatePriority m_priority = UpdatePriority::Health;
  bool m_sendRecord = false; // the update is the record, not the summary

  // True if m_info describes the same process as the summary.
  bool HasInfo() const { return m_infoIncarnation == m_summary.m_incarnation; }
  // True if m_info has the version that the summary names. Only such an entry
  // may be sent as a record, because the receiver assigns the summary's version
  // to the MemberInfo of the record.
  bool InfoIsCurrent() const
  {
    return HasInfo() && m_infoVersion >= m_summary.m_infoVersion;
  }
  bool IsDeadOrLeft() const { return m_summary.m_health >= MemberHealth::Dead; }
  bool HasLeft() const { return m_summary.m_health == MemberHealth::Left; }
  MemberRecord ToRecord() const { return { m_summary, m_info }; }
  Member ToMember() const
  {
    return { ToRecord(), StateOf(m_summary), m_configPosition };
  }
};

//-----------------------------------------------------------------------------
// [2] MemberTable
//-----------------------------------------------------------------------------

enum class MergeResult : uint8_t
{
  Stale,     // older than the table's entry, or a dead node without an entry
  Duplicate, // equal to the table's entry
  Applied,   // the table was changed
  UnknownMember, // a summary of a node without an entry
  Rejected // the table is full, or the key does not match the id or is in use
};

struct TableChange
{
  UpdatePriority m_priority = UpdatePriority::Health;
  bool m_infoChanged = false; // MemberInfo changed, not only the summary
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
  MergeResult Apply(const MemberSummary& aSummary,
                    TimePoint aNow,
                    TableChange& aChange);
  MergeResult Apply(const MemberRecord& aRecord,
                    TimePoint aNow,
                    TableChange& aChange);

  // Queues the entry for aTransmits datagrams.
  void QueueUpdate(Entry& aEntry,
                   size_t aTransmits,
                   UpdatePriority aPriority,
                   bool aSendRecord);
  // Entries with transmits left, by priority and then the least sent first.
  std::vector<Entry*> QueuedUpdates(size_t aLimit);
  size_t QueuedUpdateCount();
  bool HasQueuedUpdates() const { return !m_updates.empty(); }
  bool HasUpdatesAbove(UpdatePriority aPriority);
  void ClearUpdates();

  // One hash word for each range of keys, over members that are neither dead
  // nor left.
  std::vector<uint32_t> Digest() const;
  static MemberKey BucketStart(size_t aBucket);
  static MemberKey BucketEnd(size_t aBucket);

private:
  bool ReplaceIfNewer(Entry& aEntry,
                      const MemberSummary& aSummary,
                      TimePoint aNow);
  void PruneUpdates();

  size_t m_maximum;
  size_t m_live = 0;
  Map m_entries;
  std::vector<MemberKey> m_updates;
};

//-----------------------------------------------------------------------------
// [3] RandomRoundRobin
//-----------------------------------------------------------------------------

// Iterates over members in random order, as SWIM's randomised round-robin: each
// member is visited once per round, and a new member enters at a random
// position.
class RandomRoundRobin
{
public:
  void Add(MemberKey aKey, Random& aRandom);
  // Returns the next member that is neither dead nor left and whose MemberInfo
  // is known, or 0 if there is none. Shuffles after each round if aShuffle.
  MemberKey Next(const MemberTable& aTable, Random& aRandom, bool aShuffle);

private:
  std::vector<MemberKey> m_keys;
  size_t m_position = 0;
};

} // namespace sassafrasquay
