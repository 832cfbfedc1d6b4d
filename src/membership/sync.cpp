#include "membership/membership_impl.h"

#include <algorithm>
#include <utility>

namespace sassafrasquay {

namespace {

constexpr MemberKey kLastKey = UINT64_MAX;
constexpr size_t kMaximumPendingFetches = 256;
constexpr size_t kKeysPerFetch = 32;
constexpr unsigned kFetchRetries = 5;
constexpr Duration kFetchRetryPeriod = std::chrono::milliseconds(300);
constexpr size_t kListingsPerDigest = 3;
constexpr size_t kMinimumPageBytes = 300; // below this, headers dominate

} // namespace

//-----------------------------------------------------------------------------
// Joining: pulls the table in pages, in order of keys
//-----------------------------------------------------------------------------

Endpoint
Membership::Impl::NextPageSource()
{
  if (m_completePageReceived) {
    const MemberKey key = m_gossipOrder.Next(m_table, m_random, false);
    if (key != 0) {
      return m_table.Find(key)->m_info.m_peer;
    }
  }
  return m_seeds[m_nextSeed++ % m_seeds.size()];
}

void
Membership::Impl::TickJoinPull()
{
  if (m_joined || m_now < m_nextPull) {
    return;
  }
  // When all nodes of a fleet start at the same time, none has a complete
  // table. After the timeout the records received so far suffice, and the
  // digest exchange adds the rest.
  if (m_anyPageReceived && !m_completePageReceived &&
      m_now - m_joinStarted >= m_settings.m_bootstrapTimeout) {
    m_joined = true;
    m_actions.m_joined = true;
    m_nextPull = TimePoint::max();
    return;
  }
  m_nextPull = m_now + m_settings.m_pageTimeout;
  Datagram request = MakeDatagram(MessageKind::SyncRequest);
  request.m_from = m_pullFrom;
  request.m_records.push_back(Self().ToRecord());
  Send(NextPageSource(), std::move(request));
}

// The request carries this node's record. The page sent in response is merged
// like any other datagram.
void
Membership::Impl::TickSeedContacts()
{
  if (m_seedContacts.empty() || m_now < m_nextSeedContact) {
    return;
  }
  m_nextSeedContact = m_now + m_settings.m_seedContactPeriod;
  Datagram request = MakeDatagram(MessageKind::SyncRequest);
  request.m_records.push_back(Self().ToRecord());
  const bool sent = Send(m_seedContacts.back(), std::move(request));
  if (sent) {
    m_seedContacts.pop_back();
  }
}

void
Membership::Impl::OnSyncRequest(const Endpoint& aFrom,
                                const Datagram& aDatagram)
{
  Datagram page = MakeDatagram(MessageKind::SyncPage);
  page.m_from = aDatagram.m_from;
  page.m_to = kLastKey;
  page.m_senderJoined = m_joined;
  AppendReceiverSummary(page, aDatagram.m_sender.m_key, &aDatagram.m_sender);
  const size_t limit = BulkLimit();
  size_t bytes = m_sizer.TotalSize(page);
  if (limit < bytes + kMinimumPageBytes) {
    ++m_stats.m_sendsSuppressed; // the joining node retries with another member
    return;
  }
  const auto& entries = std::as_const(m_table).All();
  for (auto i = entries.lower_bound(aDatagram.m_from); i != entries.end();
       ++i) {
    if (i->second.IsDeadOrLeft() || !i->second.InfoIsCurrent()) {
      continue;
    }
    MemberRecord record = i->second.ToRecord();
    bytes += m_sizer.SizeOf(record);
    if (bytes > limit) {
      page.m_to = i->first - 1;
      break;
    }
    page.m_records.push_back(std::move(record));
  }
  if (page.m_records.empty() && page.m_to != kLastKey) {
    return; // one record exceeds the limit, which takes unusually long names
  }
  Send(aFrom, std::move(page));
}

void
Membership::Impl::OnSyncPage(const Endpoint&, const Datagram& aDatagram)
{
  if (m_joined) {
    return;
  }
  m_anyPageReceived = true;
  if (!aDatagram.m_senderJoined) {
    return; // the sender has not joined either
  }
  if (aDatagram.m_from != m_pullFrom || aDatagram.m_to < m_pullFrom) {
    return; // a response to a repeated request
  }
  m_completePageReceived = true;
  if (aDatagram.m_to == kLastKey) {
    m_joined = true;
    m_actions.m_joined = true;
    m_nextPull = TimePoint::max();
    m_table.QueueUpdate(
      SelfEntry(), TransmitLimit(), UpdatePriority::Record, true);
    return;
  }
  m_pullFrom = aDatagram.m_to + 1;
  m_nextPull = m_now + m_settings.m_pagePeriod;
}

//-----------------------------------------------------------------------------
// Fetching records of which only a summary was received
//-----------------------------------------------------------------------------

void
Membership::Impl::QueueFetch(MemberKey aKey, const Endpoint& aFrom)
{
  if (m_pendingFetches.size() < kMaximumPendingFetches) {
    m_pendingFetches.try_emplace(aKey, PendingFetch{ aFrom, m_now, 0 });
  }
}

void
Membership::Impl::TickFetches()
{
  std::map<Endpoint, std::vector<MemberKey>, EndpointLess> requests;
  for (auto& [key, pending] : m_pendingFetches) {
    std::vector<MemberKey>& keys = requests[pending.m_from];
    if (pending.m_nextAttempt <= m_now && keys.size() < kKeysPerFetch) {
      keys.push_back(key);
      pending.m_nextAttempt = m_now + kFetchRetryPeriod;
      ++pending.m_attempts;
    }
  }
  // After the last retry the digest exchange finds the member again.
  std::erase_if(m_pendingFetches, [](const auto& aItem) {
    return aItem.second.m_attempts > kFetchRetries;
  });
  for (auto& [endpoint, keys] : requests) {
    if (!keys.empty()) {
      Datagram fetch = MakeDatagram(MessageKind::Fetch);
      fetch.m_wanted = std::move(keys);
      Send(endpoint, std::move(fetch));
    }
  }
}

void
Membership::Impl::OnFetch(const Endpoint& aFrom, const Datagram& aDatagram)
{
  SendRecords(aFrom, aDatagram.m_wanted);
}

// Sends as many records as fit into one datagram.
void
Membership::Impl::SendRecords(const Endpoint& aTo,
                              const std::vector<MemberKey>& aKeys)
{
  Datagram updates = MakeDatagram(MessageKind::Updates);
  size_t bytes = m_sizer.TotalSize(updates);
  const size_t limit = BulkLimit();
  for (const MemberKey key : aKeys) {
    const Entry* entry = m_table.Find(key);
    if (entry == nullptr || !entry->InfoIsCurrent()) {
      continue;
    }
    MemberRecord record = entry->ToRecord();
    bytes += m_sizer.SizeOf(record);
    if (bytes > limit) {
      break;
    }
    updates.m_records.push_back(std::move(record));
  }
  if (!updates.m_records.empty()) {
    Send(aTo, std::move(updates));
  }
}

//-----------------------------------------------------------------------------
// Anti-entropy: digest, listings of ranges that differ, missing records
//-----------------------------------------------------------------------------

void
Membership::Impl::TickDigest()
{
  if (m_now < m_nextDigest) {
    return;
  }
  const auto period = static_cast<uint64_t>(m_settings.m_digestPeriod.count());
  m_nextDigest =
    m_now +
    Duration(period / 2 + m_random.NextBelow(period)); // mean: the period
  const MemberKey key = m_gossipOrder.Next(m_table, m_random, false);
  if (key != 0) {
    SendDigest(m_table.Find(key)->m_info.m_peer);
  }
}

void
Membership::Impl::SendDigest(const Endpoint& aTo)
{
  Datagram datagram = MakeDatagram(MessageKind::Digest);
  datagram.m_digest = m_table.Digest();
  Send(aTo, std::move(datagram));
}

void
Membership::Impl::OnDigest(const Endpoint& aFrom, const Datagram& aDatagram)
{
  if (aDatagram.m_digest.size() != MemberTable::kBuckets) {
    return;
  }
  const std::vector<uint32_t> localDigest = m_table.Digest();
  std::vector<size_t> differing;
  for (size_t i = 0; i < localDigest.size(); ++i) {
    if (localDigest[i] != aDatagram.m_digest[i]) {
      differing.push_back(i);
    }
  }
  for (size_t i = 0; i < kListingsPerDigest && !differing.empty(); ++i) {
    const size_t pick = m_random.NextBelow(differing.size());
    SendListing(aFrom, differing[pick]);
    differing[pick] = differing.back();
    differing.pop_back();
  }
}

void
Membership::Impl::SendListing(const Endpoint& aTo, size_t aBucket)
{
  Datagram listing = MakeDatagram(MessageKind::Listing);
  listing.m_from = MemberTable::BucketStart(aBucket);
  listing.m_to = MemberTable::BucketEnd(aBucket);
  listing.m_senderJoined = m_joined;
  size_t bytes = m_sizer.TotalSize(listing);
  const size_t limit = BulkLimit();
  const auto& entries = std::as_const(m_table).All();
  for (auto i = entries.lower_bound(listing.m_from);
       i != entries.end() && i->first <= listing.m_to;
       ++i) {
    bytes += m_sizer.SizeOf(i->second.m_summary);
    if (bytes > limit) {
      listing.m_to = i->first - 1; // a later exchange covers the rest
      break;
    }
    listing.m_summaries.push_back(i->second.m_summary);
  }
  if (listing.m_to >= listing.m_from) {
    Send(aTo, std::move(listing));
  }
}

// The summaries of the listing were merged by OnDatagram; this sends back the
// entries that the listing lacks or has in an older version.
void
Membership::Impl::OnListing(const Endpoint& aFrom, const Datagram& aDatagram)
{
  std::map<MemberKey, const MemberSummary*> received;
  for (const MemberSummary& summary : aDatagram.m_summaries) {
    received.emplace(summary.m_key, &summary);
  }
  std::vector<MemberKey> missing;
  Datagram updates = MakeDatagram(MessageKind::Updates);
  const auto& entries = std::as_const(m_table).All();
  for (auto i = entries.lower_bound(aDatagram.m_from);
       i != entries.end() && i->first <= aDatagram.m_to;
       ++i) {
    const auto found = received.find(i->first);
    if (found == received.end()) {
      if (!i->second.IsDeadOrLeft()) {
        missing.push_back(i->first);
      }
    } else if (Supersedes(i->second.m_summary, *found->second)) {
      updates.m_summaries.push_back(i->second.m_summary);
    }
  }
  if (!missing.empty()) {
    SendRecords(aFrom, missing);
  }
  if (!updates.m_summaries.empty()) {
    Send(aFrom, std::move(updates));
  }
}

} // namespace sassafrasquay
