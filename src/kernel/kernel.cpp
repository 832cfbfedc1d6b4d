// Micro-kernel: component registry, start order, events.
#include "kernel/kernel.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sassafrasquay {

Kernel::Kernel(asio::any_io_executor aExecutor)
  : m_executor(std::move(aExecutor))
{
}

void
Kernel::Add(std::string aName, std::shared_ptr<Component> aComponent)
{
  const auto added = m_components.emplace(aName, std::move(aComponent));
  if (!added.second) {
    throw KernelError("service '" + aName + "' is registered twice");
  }
}

std::shared_ptr<Component>
Kernel::FindComponent(std::string_view aName) const
{
  const auto found = m_components.find(aName);
  if (found == m_components.end()) {
    throw KernelError("service '" + std::string(aName) + "' is not registered");
  }
  return found->second;
}

void
Kernel::AppendInStartOrder(const std::string& aName,
                           std::map<std::string, int>& aVisits)
{
  enum Visit : int
  {
    Unvisited,
    InProgress,
    Visited
  };
  int& visit = aVisits[aName];
  if (visit == Visited) {
    return;
  }
  if (visit == InProgress) {
    throw KernelError("service '" + aName + "' is part of a dependency cycle");
  }
  visit = InProgress;
  const auto service = std::dynamic_pointer_cast<Service>(FindComponent(aName));
  if (service) {
    for (const std::string& required : service->RequiredServices()) {
      AppendInStartOrder(required, aVisits);
    }
    // A service may be registered under several names, one for each interface;
    // it is started once.
    const auto isSameComponent = [&](const std::string& aOther) {
      return FindComponent(aOther) == FindComponent(aName);
    };
    if (std::none_of(m_order.begin(), m_order.end(), isSameComponent)) {
      m_order.push_back(aName);
    }
  }
  aVisits[aName] = Visited;
}

asio::awaitable<void>
Kernel::StartAll()
{
  std::map<std::string, int> visits;
  for (const auto& [name, component] : m_components) {
    AppendInStartOrder(name, visits);
  }
  for (; m_startedCount < m_order.size(); ++m_startedCount) {
    co_await Find<Service>(m_order[m_startedCount])->Start(*this);
  }
}

asio::awaitable<void>
Kernel::StopAll()
{
  for (size_t i = m_startedCount; i > 0; --i) {
    Find<Service>(m_order[i - 1])->BeginStop();
  }
  while (m_startedCount > 0) {
    --m_startedCount;
    m_stoppingService = m_order[m_startedCount];
    co_await Find<Service>(m_stoppingService)->Stop();
  }
  m_stoppingService.clear();
}

Event::Event(asio::any_io_executor aExecutor)
  : m_executor(std::move(aExecutor))
  , m_waiters(std::make_shared<std::vector<asio::steady_timer*>>())
{
}

void
Event::Notify()
{
  for (asio::steady_timer* waiter : *m_waiters) {
    waiter->expires_at(asio::steady_timer::time_point::min());
  }
  m_waiters->clear();
}

asio::awaitable<void>
Event::Wait()
{
  co_await WaitFor(Duration::max());
}

asio::awaitable<bool>
Event::WaitFor(Duration aTimeout)
{
  // A shared list keeps a pending wait valid when the Event is destroyed.
  const auto waiters = m_waiters;
  asio::steady_timer timer(m_executor);
  if (aTimeout == Duration::max()) {
    timer.expires_at(asio::steady_timer::time_point::max());
  } else {
    timer.expires_after(aTimeout);
  }
  waiters->push_back(&timer);
  boost::system::error_code error;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
  const bool notified = std::erase(*waiters, &timer) == 0;
  co_return notified;
}

} // namespace sassafrasquay
