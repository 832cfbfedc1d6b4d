// What must outlast every VM, seen from the node: the operators' published
// state and the addresses of the nodes. Implementations speak to whatever
// keeps it.
//
// Index of this file
//   [1] Operators' state
//   [2] Addresses of nodes
#pragma once

#include "kernel/kernel.h"
#include "routes/routes.h"

namespace sassafrasquay {

//-----------------------------------------------------------------------------
// [1] Operators' state
//-----------------------------------------------------------------------------

struct ConfigFeedResult
{
  // LogUnavailable: no answer in time, or refused. LogHistoryGone: the changes
  // after the known position are no longer kept; read the whole state.
  std::error_code m_error;
  PublishedConfig m_state; // without an error
};

class ConfigFeed : public virtual Component
{
public:
  // The whole state as it is now.
  virtual asio::awaitable<ConfigFeedResult> Read(Duration aTimeout) = 0;
  // Waits up to aWait for a change after the known state and returns the state
  // after it, or the known state when nothing has changed. aTimeout bounds the
  // rest of the exchange and is added to aWait.
  virtual asio::awaitable<ConfigFeedResult> Watch(PublishedConfig aKnown,
                                                  Duration aWait,
                                                  Duration aTimeout) = 0;
};

//-----------------------------------------------------------------------------
// [2] Addresses of nodes
//-----------------------------------------------------------------------------

struct DirectoryResult
{
  std::error_code m_error; // LogUnavailable, or none
  std::vector<Endpoint> m_nodes;
};

// Peer addresses of the nodes that were started at any time. An entry says
// nothing about whether its node still runs.
class NodeDirectory : public virtual Component
{
public:
  virtual asio::awaitable<std::error_code> Publish(Endpoint aPeer,
                                                   Duration aTimeout) = 0;
  virtual asio::awaitable<DirectoryResult> List(Duration aTimeout) = 0;
};

} // namespace sassafrasquay
