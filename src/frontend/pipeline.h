// Which requests of a caller's connection may be under way at the same time.
// Decisions only, without I/O. Internal to the front end.
//
// Index of this file
//   [1] Memory for responses that wait
//   [2] Requests of one connection
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Memory for responses that wait
//-----------------------------------------------------------------------------

// Bytes of a response that are kept while an earlier response of the connection
// is unfinished. Holds the whole first part of a response that the node beside
// the target passes on at once, so that the target is free again. Beyond it the
// response waits at its source.
inline constexpr size_t kMaxKeptResponseBytes = 128 * 1024;

// Memory that all connections of a node share for responses that wait for an
// earlier one. Keeps callers that pipeline large responses and read slowly from
// filling the node's memory.
class WaitingMemory
{
public:
  // What one request needs at most: the kept part of its response and one part
  // of the same size that is on its way.
  static constexpr size_t kBytesPerRequest = 2 * kMaxKeptResponseBytes;

  explicit WaitingMemory(uint64_t aMaxBytes)
    : m_maxRequests(aMaxBytes / kBytesPerRequest)
  {
  }

  bool HasRoom() const { return m_requests < m_maxRequests; }
  void Take() { ++m_requests; }
  void Release() { --m_requests; }
  uint64_t RequestCount() const { return m_requests; }

private:
  uint64_t m_maxRequests;
  uint64_t m_requests = 0;
};

//-----------------------------------------------------------------------------
// [2] Requests of one connection
//-----------------------------------------------------------------------------

// What a request means for the others on its connection.
enum class PipelineKind : uint8_t
{
  Parallel, // changes nothing and has no body: may run beside others like it
  Alone,    // runs after the responses before it and before any other request
  Refused   // the node responds itself; nothing runs
};

// Returns Parallel for an idempotent request with a safe method (RFC 9110,
// section 9.2.1) and no body. An idempotent PUT or DELETE runs alone, because a
// later request may depend on its effect.
PipelineKind
PipelineKindOf(bool aIsIdempotent, bool aHasSafeMethod, bool aHasBody);

enum class PipelineVerdict : uint8_t
{
  Begin,
  WaitForResponses, // until one or all of the requests before it are answered
  WaitForMemory     // until it is the first request or memory is released
};

// The requests of one connection that were begun and are not answered yet, in
// the order of their arrival.
class Pipeline
{
public:
  // aMaxRequests: requests that may be under way at the same time; 1: no
  // request begins before the response to the previous one is complete.
  Pipeline(size_t aMaxRequests, WaitingMemory& aMemory);
  ~Pipeline();
  Pipeline(const Pipeline&) = delete;
  Pipeline& operator=(const Pipeline&) = delete;

  // Decides about the next request of the connection.
  PipelineVerdict Decide(PipelineKind aKind) const;
  // The next request begins, as Decide has allowed.
  void OnBegin(PipelineKind aKind);
  // The response to the first request is complete.
  void OnAnswered();

  size_t Count() const { return m_requests.size(); }

private:
  struct Entry
  {
    PipelineKind m_kind;
    bool m_holdsMemory;
  };

  void ReleaseMemory(Entry& aEntry);

  size_t m_maxRequests;
  WaitingMemory& m_memory;
  std::deque<Entry> m_requests;
};

} // namespace sassafrasquay
