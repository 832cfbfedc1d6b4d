// One caller's connection. Internal to the front end.
#pragma once

#include "dialect/dialect.h"
#include "frontend/frontend.h"

#include <boost/asio/ip/tcp.hpp>

namespace sassafrasquay {

class MetricCounter;

// What all connections of the front end share.
struct FrontendShared
{
  FrontendSettings m_settings;
  asio::any_io_executor m_executor;
  std::shared_ptr<Clock> m_clock;
  std::shared_ptr<CallHandler> m_dispatcher;
  std::shared_ptr<CallPolicy> m_policy;
  std::shared_ptr<CallerDialect> m_dialect;
  std::function<void(const RequestHead&, const CallResult&)> m_onResult;
  bool m_stopping = false;
};

// Closes an idle connection, or lets it close after the current answer.
class CallerConnection
{
public:
  virtual ~CallerConnection() = default;
  virtual asio::awaitable<void> Run() = 0;
  virtual void CloseIfIdle() = 0;
};

std::shared_ptr<CallerConnection>
MakeCallerConnection(asio::ip::tcp::socket aSocket, FrontendShared& aShared);

} // namespace sassafrasquay
