// Micro-kernel: holds components by name, starts and stops services.
//
// Index of this file
//   [1] Service: a component with a life of its own
//   [2] Kernel: find by name, start in dependency order, stop in reverse
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
  // Names that must have started before this service.
  virtual std::vector<std::string> RequiredServices() const { return {}; }
  // Finds the other services and starts the service's own coroutines.
  // Throws std::system_error when it cannot start, for example on a port that
  // is in use.
  virtual asio::awaitable<void> Start(Kernel& aKernel) = 0;
  // Returns when the service holds no connection and no coroutine any more.
  virtual asio::awaitable<void> Stop() = 0;
};

//-----------------------------------------------------------------------------
// [2] Kernel
//-----------------------------------------------------------------------------

// A name that is missing, taken twice, of another type, or part of a cycle.
class KernelError : public std::runtime_error
{
  using std::runtime_error::runtime_error;
};

class Kernel
{
public:
  explicit Kernel(asio::any_io_executor aExecutor);

  asio::any_io_executor Executor() const { return m_executor; }

  // A component may be added under several names; it starts once. Throws
  // KernelError when the name is taken.
  void Add(std::string aName, std::shared_ptr<Component> aComponent);

  // Throws KernelError when the name is missing or has another interface.
  template<class Interface>
  std::shared_ptr<Interface> Find(std::string_view aName) const
  {
    auto found = std::dynamic_pointer_cast<Interface>(FindComponent(aName));
    if (!found) {
      throw KernelError("service '" + std::string(aName) +
                        "' does not offer the requested interface");
    }
    return found;
  }

  // Starts services so that each follows those it requires.
  asio::awaitable<void> StartAll();
  // Stops started services in reverse order.
  asio::awaitable<void> StopAll();

private:
  std::shared_ptr<Component> FindComponent(std::string_view aName) const;
  void Order(const std::string& aName, std::map<std::string, int>& aMarks);

  asio::any_io_executor m_executor;
  std::map<std::string, std::shared_ptr<Component>, std::less<>> m_components;
  std::vector<std::string> m_order; // start order
  size_t m_started = 0;             // how many of m_order have started
};

//-----------------------------------------------------------------------------
// [3] Event
//-----------------------------------------------------------------------------

// Wakes every coroutine that waits; a wait that begins later waits anew.
class Event
{
public:
  explicit Event(asio::any_io_executor aExecutor);
  Event(const Event&) = delete;
  Event& operator=(const Event&) = delete;

  void Notify();
  asio::awaitable<void> Wait();
  // False when aTimeout passed first.
  asio::awaitable<bool> WaitFor(Duration aTimeout);

private:
  asio::any_io_executor m_executor;
  std::shared_ptr<std::vector<asio::steady_timer*>> m_waiters;
};

} // namespace sassafrasquay
