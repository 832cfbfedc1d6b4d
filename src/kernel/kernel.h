// Micro-kernel: registers components by name, starts and stops services.
//
// Index of this file
//   [1] Service: a component that is started and stopped
//   [2] Kernel: lookup by name, start in dependency order, stop in reverse
//   [3] Event: lets coroutines wait for a change without polling
#pragma once

#include "core/core.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <stdexcept>

namespace sassafrasquay {

namespace asio = boost::asio;

class Kernel;

//-----------------------------------------------------------------------------
// [1] Service
//-----------------------------------------------------------------------------

class Service : public virtual Component
{
public:
  // Names of the services that must be started before this one.
  virtual std::vector<std::string> RequiredServices() const { return {}; }
  // Looks up the other services and starts this service's coroutines. Throws
  // std::system_error when it cannot start, for example because a port is in
  // use.
  virtual asio::awaitable<void> Start(Kernel& aKernel) = 0;
  // Called for every service before the first Stop. The service accepts no
  // further work from outside; work in progress continues. Does not wait, so
  // that a service whose Stop takes long keeps no other one accepting.
  virtual void BeginStop() {}
  // Returns when the service has no open connection and no running coroutine.
  virtual asio::awaitable<void> Stop() = 0;
};

//-----------------------------------------------------------------------------
// [2] Kernel
//-----------------------------------------------------------------------------

// Thrown for a name that is not registered, registered twice, registered with
// another interface, or part of a dependency cycle.
class KernelError : public std::runtime_error
{
  using std::runtime_error::runtime_error;
};

class Kernel
{
public:
  explicit Kernel(asio::any_io_executor aExecutor);

  asio::any_io_executor Executor() const { return m_executor; }

  // Registers a component. It may have several names and is started once.
  // Throws KernelError when the name is already registered.
  void Add(std::string aName, std::shared_ptr<Component> aComponent);

  // Throws KernelError when the name is not registered or its component does
  // not implement Interface.
  template<class Interface>
  std::shared_ptr<Interface> Find(std::string_view aName) const
  {
    auto found = std::dynamic_pointer_cast<Interface>(FindComponent(aName));
    if (!found) {
      throw KernelError("service '" + std::string(aName) +
                        "' does not implement the requested interface");
    }
    return found;
  }

  // Starts every service after the services that it requires. Throws
  // KernelError when a required name is missing or the requirements form a
  // cycle.
  asio::awaitable<void> StartAll();
  // Calls BeginStop of every started service, then stops them, both in reverse
  // start order.
  asio::awaitable<void> StopAll();
  // Returns the name of the service that StopAll waits for; empty if none.
  const std::string& StoppingService() const { return m_stoppingService; }

private:
  std::shared_ptr<Component> FindComponent(std::string_view aName) const;
  // Appends aName to m_order, after the services that it requires.
  void AppendInStartOrder(const std::string& aName,
                          std::map<std::string, int>& aVisits);

  asio::any_io_executor m_executor;
  std::map<std::string, std::shared_ptr<Component>, std::less<>> m_components;
  std::vector<std::string> m_order; // start order
  size_t m_startedCount = 0; // started services, from the front of m_order
  std::string m_stoppingService;
};

//-----------------------------------------------------------------------------
// [3] Event
//-----------------------------------------------------------------------------

// Notify wakes every coroutine that waits at that moment. It is not stored: a
// wait that begins later needs another Notify.
class Event
{
public:
  explicit Event(asio::any_io_executor aExecutor);
  Event(const Event&) = delete;
  Event& operator=(const Event&) = delete;

  void Notify();
  asio::awaitable<void> Wait();
  // Returns false when aTimeout passes without a Notify.
  asio::awaitable<bool> WaitFor(Duration aTimeout);

private:
  asio::any_io_executor m_executor;
  std::shared_ptr<std::vector<asio::steady_timer*>> m_waiters;
};

} // namespace sassafrasquay
