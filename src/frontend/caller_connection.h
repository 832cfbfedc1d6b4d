// Connection of one caller. Internal to the front end.
#pragma once

#include "call/running_requests.h"
#include "dialect/dialect.h"
#include "frontend/frontend.h"
#include "frontend/pipeline.h"

#include <boost/asio/ip/tcp.hpp>

namespace sassafrasquay {

// State shared by all connections of the front end.
struct FrontendShared
{
  FrontendSettings m_settings;
  asio::any_io_executor m_executor;
  std::shared_ptr<Clock> m_clock;
  std::shared_ptr<CallHandler> m_dispatcher;
  std::shared_ptr<CallPolicy> m_policy;
  std::shared_ptr<CallerDialect> m_dialect;
  std::shared_ptr<RunningRequests> m_running;
  std::shared_ptr<WaitingMemory> m_waitingMemory;
  // Called once for each request, in the order of a connection's responses.
  // aAheadCount: requests of the connection that were not answered when this
  // one began.
  std::function<void(const RequestHead&, const CallResult&, size_t aAheadCount)>
    m_onResult;
  // Called when a request must wait before it begins.
  std::function<void(PipelineVerdict)> m_onHeld;
  bool m_stopping = false;
};

class CallerConnection
{
public:
  virtual ~CallerConnection() = default;
  // Serves requests until the connection ends.
  virtual asio::awaitable<void> Run() = 0;
  // Called when m_stopping has been set. Closes the connection if it is idle; a
  // busy one closes after the responses to the requests that have begun.
  virtual void BeginStop() = 0;
};

std::shared_ptr<CallerConnection>
MakeCallerConnection(asio::ip::tcp::socket aSocket, FrontendShared& aShared);

} // namespace sassafrasquay
