// Interfaces to the external store, which outlives every VM: the operators'
// published configuration and the addresses of the nodes.
//
// Index of this file
//   [1] Published configuration
//   [2] Node directory
//   [3] Status of roll-outs
#pragma once

#include "kernel/kernel.h"
#include "routes/routes.h"

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Published configuration
//-----------------------------------------------------------------------------

struct ConfigFeedResult
{
  // LogUnavailable: no response in time, or the request was refused.
  // LogHistoryGone: the store no longer has the changes after the known
  // position, or has begun another era; call Read.
  std::error_code m_error;
  PublishedConfig m_state; // valid when m_error is not set
  bool m_hasEras = false;  // the store names the era of its log
  uint64_t m_unusable = 0; // records that were left out
};

class ConfigFeed : public virtual Component
{
public:
  // Returns the current configuration.
  virtual asio::awaitable<ConfigFeedResult> Read(Duration aTimeout) = 0;
  // Long poll: waits up to aWait for a change after aKnown and returns the new
  // configuration, or aKnown when nothing has changed. The request fails after
  // aWait plus aTimeout.
  virtual asio::awaitable<ConfigFeedResult> Watch(PublishedConfig aKnown,
                                                  Duration aWait,
                                                  Duration aTimeout) = 0;
};

//-----------------------------------------------------------------------------
// [2] Node directory
//-----------------------------------------------------------------------------

struct DirectoryWriteResult
{
  std::error_code m_error; // LogUnavailable, or none
  uint64_t m_era = 0;      // see LogPosition; a later one may lack the entry
};

struct DirectoryResult
{
  std::error_code m_error; // LogUnavailable, or none
  uint64_t m_era = 0;      // see LogPosition
  std::vector<Endpoint> m_nodes;
  uint64_t m_unusable = 0; // entries that name no node
};

// Peer addresses of all nodes that have ever been started. An entry does not
// mean that its node is running.
class NodeDirectory : public virtual Component
{
public:
  // Adds the node's peer address.
  virtual asio::awaitable<DirectoryWriteResult> Publish(Endpoint aPeer,
                                                        Duration aTimeout) = 0;
  virtual asio::awaitable<DirectoryResult> List(Duration aTimeout) = 0;
};

//-----------------------------------------------------------------------------
// [3] Status of roll-outs
//-----------------------------------------------------------------------------

// Progress of an order, as operators read it.
struct RolloutStatus
{
  std::string m_service;
  std::string m_version;
  LogPosition m_order; // identifies the order
  // Promoting is written and read as Canary: operators see both as running.
  RolloutStep m_step = RolloutStep::Canary;

  bool operator==(const RolloutStatus&) const = default;
};

struct RolloutStatusResult
{
  std::error_code m_error; // LogUnavailable, or none
  // Absent: the store has none, or one that this program did not write.
  std::optional<RolloutStatus> m_status;
  LogPosition m_end; // for Write
};

class RolloutStatusStore : public virtual Component
{
public:
  // Reads the newest status of the service.
  virtual asio::awaitable<RolloutStatusResult> Read(std::string aService,
                                                    Duration aTimeout) = 0;
  // Writes the status if no status of any service was written since the Read
  // that returned aEnd. LogHistoryGone: one was written, nothing was done.
  // LogUnavailable: the status may have been written, or may be written later
  // if the condition still holds; Read tells.
  virtual asio::awaitable<std::error_code> Write(RolloutStatus aStatus,
                                                 LogPosition aEnd,
                                                 Duration aTimeout) = 0;
};

} // namespace sassafrasquay
