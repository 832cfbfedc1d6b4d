#include "membership/membership_impl.h"

#include <algorithm>
#include <utility>

namespace sassafrasquay {

namespace {

constexpr MemberKey kLastKey = UINT64_MAX;
constexpr size_t kMaximumWanted = 256;
constexpr size_t kFetchedPerDatagram = 32;
constexpr unsigned kFetchTries = 5;
constexpr Duration kFetchPeriod = std::chrono::milliseconds(300);
constexpr size_t kListingsPerDigest = 3;
constexpr size_t kSmallestPage = 300; // bytes; less is not worth a header

} // namespace

//-----------------------------------------------------------------------------
// Joining: pull the table in pages, in the order of keys
//-----------------------------------------------------------------------------

Endpoint
Membership::Impl::PageSource()
{
  if (m_pageReceived) {
    const MemberKey key = m_gossipRing.Next(m_table, m_random, false);
    if (key != 0) {
      return m_table.Find(key)->m_info.m_peer;
    }
  }
  return m_seeds[m_seedAt++ % m_seeds.size()];
}

void
Membership::Impl::TickPull()
{
  if (m_joined || m_now < m_nextPull) {
    return;
  }
  // Nodes of a fleet that starts as a whole find no complete table; what they
  // learnt from each other has to do, and digests fill the rest.
  if (m_anyPage && !m_pageReceived &&
      m_now - m_joinStarted >= m_settings.m_bootstrapWait) {
    m_joined = true;
    m_actions.m_joined = true;
    m_nextPull = TimePoint::max();
    return;
  }
  m_nextPull = m_now + m_settings.m_pageTimeout;
  Datagram request = Make(MessageKind::SyncRequest);
  request.m_from = m_pullFrom;
  request.m_records.push_back(Self().Record());
  Send(PageSource(), std::move(request));
}

// The request carries the own record, and the page that answers it is merged
// like any other datagram.
void
Membership::Impl::TickContacts()
{
  if (m_contacts.empty() || m_now < m_nextContact) {
    return;
  }
  m_nextContact = m_now + m_settings.m_seedContactPeriod;
  Datagram request = Make(MessageKind::SyncRequest);
  request.m_records.push_back(Self().Record());
  const bool sent = Send(m_contacts.back(), std::move(request));
  if (sent) {
    m_contacts.pop_back();
  }
}

void
Membership::Impl::OnSyncRequest(const Endpoint& aFrom,
                                const Datagram& aDatagram)
{
  Datagram page = Make(MessageKind::SyncPage);
  page.m_from = aDatagram.m_from;
  page.m_to = kLastKey;
  page.m_senderJoined = m_joined;
  Verdict(page, aDatagram.m_sender.m_key, &aDatagram.m_sender);
  const size_t limit = BulkLimit();
  size_t bytes = m_sizer.Total(page);
  if (limit < bytes + kSmallestPage) {
    ++m_stats.m_sendsSuppressed; // the joining node asks somebody else
    return;
  }
  const auto& entries = std::as_const(m_table).All();
  for (auto i = entries.lower_bound(aDatagram.m_from); i != entries.end();
       ++i) {
    if (i->second.Dead() || !i->second.Current()) {
      continue;
    }
    MemberRecord record = i->second.Record();
    bytes += m_sizer.SizeOf(record);
    if (bytes > limit) {
      page.m_to = i->first - 1;
      break;
    }
    page.m_records.push_back(std::move(record));
  }
  if (page.m_records.empty() && page.m_to != kLastKey) {
    return; // a single record above the limit; cannot happen with sane names
  }
  Send(aFrom, std::move(page));
}

void
Membership::Impl::OnSyncPage(const Endpoint&, const Datagram& aDatagram)
{
  if (m_joined) {
    return;
  }
  m_anyPage = true;
  if (!aDatagram.m_senderJoined) {
    return; // the sender joins as well
  }
  if (aDatagram.m_from != m_pullFrom || aDatagram.m_to < m_pullFrom) {
    return; // an answer to a repeated request
  }
  m_pageReceived = true;
  if (aDatagram.m_to == kLastKey) {
    m_joined = true;
    m_actions.m_joined = true;
    m_nextPull = TimePoint::max();
    m_table.Announce(SelfEntry(), Copies(), NewsRank::Record, true);
    return;
  }
  m_pullFrom = aDatagram.m_to + 1;
  m_nextPull = m_now + m_settings.m_pagePeriod;
}

//-----------------------------------------------------------------------------
// Fetching records that are known by brief only
//-----------------------------------------------------------------------------

void
Membership::Impl::Want(MemberKey aKey, const Endpoint& aFrom)
{
  if (m_wanted.size() < kMaximumWanted) {
    m_wanted.try_emplace(aKey, Wanted{ aFrom, m_now, 0 });
  }
}

void
Membership::Impl::TickWanted()
{
  std::map<Endpoint, std::vector<MemberKey>, EndpointLess> requests;
  for (auto& [key, wanted] : m_wanted) {
    std::vector<MemberKey>& keys = requests[wanted.m_from];
    if (wanted.m_at <= m_now && keys.size() < kFetchedPerDatagram) {
      keys.push_back(key);
      wanted.m_at = m_now + kFetchPeriod;
      ++wanted.m_tries;
    }
  }
  // Given up after a few tries; the digest exchange finds it again.
  std::erase_if(m_wanted, [](const auto& aItem) {
    return aItem.second.m_tries > kFetchTries;
  });
  for (auto& [endpoint, keys] : requests) {
    if (!keys.empty()) {
      Datagram fetch = Make(MessageKind::Fetch);
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

// As many records as fit one datagram.
void
Membership::Impl::SendRecords(const Endpoint& aTo,
                              const std::vector<MemberKey>& aKeys)
{
  Datagram answer = Make(MessageKind::News);
  size_t bytes = m_sizer.Total(answer);
  const size_t limit = BulkLimit();
  for (const MemberKey key : aKeys) {
    const Entry* entry = m_table.Find(key);
    if (entry == nullptr || !entry->Current()) {
      continue;
    }
    MemberRecord record = entry->Record();
    bytes += m_sizer.SizeOf(record);
    if (bytes > limit) {
      break;
    }
    answer.m_records.push_back(std::move(record));
  }
  if (!answer.m_records.empty()) {
    Send(aTo, std::move(answer));
  }
}

//-----------------------------------------------------------------------------
// Anti-entropy: digest, listing of ranges that differ, missing records
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
  const MemberKey key = m_gossipRing.Next(m_table, m_random, false);
  if (key != 0) {
    SendDigest(m_table.Find(key)->m_info.m_peer);
  }
}

void
Membership::Impl::SendDigest(const Endpoint& aTo)
{
  Datagram datagram = Make(MessageKind::Digest);
  datagram.m_digest = m_table.Digest();
  Send(aTo, std::move(datagram));
}

void
Membership::Impl::OnDigest(const Endpoint& aFrom, const Datagram& aDatagram)
{
  if (aDatagram.m_digest.size() != MemberTable::kBuckets) {
    return;
  }
  const std::vector<uint32_t> own = m_table.Digest();
  std::vector<size_t> differing;
  for (size_t i = 0; i < own.size(); ++i) {
    if (own[i] != aDatagram.m_digest[i]) {
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
  Datagram listing = Make(MessageKind::Listing);
  listing.m_from = MemberTable::BucketStart(aBucket);
  listing.m_to = MemberTable::BucketEnd(aBucket);
  listing.m_senderJoined = m_joined;
  size_t bytes = m_sizer.Total(listing);
  const size_t limit = BulkLimit();
  const auto& entries = std::as_const(m_table).All();
  for (auto i = entries.lower_bound(listing.m_from);
       i != entries.end() && i->first <= listing.m_to;
       ++i) {
    bytes += m_sizer.SizeOf(i->second.m_summary);
    if (bytes > limit) {
      listing.m_to = i->first - 1; // the rest in a later exchange
      break;
    }
    listing.m_briefs.push_back(i->second.m_summary);
  }
  if (listing.m_to >= listing.m_from) {
    Send(aTo, std::move(listing));
  }
}

// The briefs of the listing were merged on arrival; this sends back what the
// listing lacks.
void
Membership::Impl::OnListing(const Endpoint& aFrom, const Datagram& aDatagram)
{
  std::map<MemberKey, const MemberSummary*> theirs;
  for (const MemberSummary& brief : aDatagram.m_briefs) {
    theirs.emplace(brief.m_key, &brief);
  }
  std::vector<MemberKey> missing;
  Datagram newer = Make(MessageKind::News);
  const auto& entries = std::as_const(m_table).All();
  for (auto i = entries.lower_bound(aDatagram.m_from);
       i != entries.end() && i->first <= aDatagram.m_to;
       ++i) {
    const auto found = theirs.find(i->first);
    if (found == theirs.end()) {
      if (!i->second.Dead()) {
        missing.push_back(i->first);
      }
    } else if (Supersedes(i->second.m_summary, *found->second)) {
      newer.m_briefs.push_back(i->second.m_summary);
    }
  }
  if (!missing.empty()) {
    SendRecords(aFrom, missing);
  }
  if (!newer.m_briefs.empty()) {
    Send(aFrom, std::move(newer));
  }
}

} // namespace sassafrasquay
