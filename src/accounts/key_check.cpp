// The service "key_check": a key that was added a moment ago is not refused by
// a node that has not received the configuration with it.
#include "accounts/accounts.h"

#include "dialect/dialect.h"
#include "metrics/metrics.h"

namespace sassafrasquay {

namespace {

class KeyCheck
  : public Service
  , public CallHandler
{
public:
  explicit KeyCheck(KeyCheckSettings aSettings)
    : m_settings(std::move(aSettings))
  {
  }

  std::vector<std::string> RequiredServices() const override
  {
    return { "operator_follower", m_settings.m_next };
  }
  asio::awaitable<void> Start(Kernel& aKernel) override;
  asio::awaitable<void> Stop() override { co_return; }
  asio::awaitable<CallResult> Handle(const RequestHead& aHead,
                                     BodySource& aBody,
                                     ResponseSink& aResponse) override;

private:
  bool IsConfirmed() const;
  asio::awaitable<void> Confirm();

  KeyCheckSettings m_settings;
  std::shared_ptr<Clock> m_clock;
  std::shared_ptr<CallerDialect> m_dialect;
  std::shared_ptr<AccountDirectory> m_directory;
  std::shared_ptr<ConfigRefresher> m_refresher;
  std::shared_ptr<CallHandler> m_next;
  MetricCounter* m_checks = nullptr;
  uint64_t m_confirmedVersion = 0;
  TimePoint m_confirmedAt;
};

asio::awaitable<void>
KeyCheck::Start(Kernel& aKernel)
{
  m_clock = aKernel.Find<Clock>("clock");
  m_dialect = aKernel.Find<CallerDialect>("caller_dialect");
  m_directory = aKernel.Find<AccountDirectory>("call_policy");
  m_refresher = aKernel.Find<ConfigRefresher>("operator_follower");
  m_next = aKernel.Find<CallHandler>(m_settings.m_next);
  m_checks = &aKernel.Find<Metrics>("metrics")->Counter(
    "sassafrasquay_key_checks_total",
    "Configurations that were requested from a peer for an unknown key.",
    {});
  co_return;
}

asio::awaitable<CallResult>
KeyCheck::Handle(const RequestHead& aHead,
                 BodySource& aBody,
                 ResponseSink& aResponse)
{
  if (!aHead.m_isKeyUnknown) {
    co_return co_await m_next->Handle(aHead, aBody, aResponse);
  }
  const TimePoint started = m_clock->Now();
  RequestHead head = aHead;
  bool known = m_directory->SetAccount(head);
  if (!known && !IsConfirmed()) {
    co_await Confirm();
    known = m_directory->SetAccount(head);
  }
  if (!known) {
    CallResult result;
    result.m_code = ResultCode::UnknownKey;
    co_return result;
  }
  head.m_isKeyUnknown = false;
  SpendTime(head, m_clock->Now() - started);
  m_dialect->ReplaceCredentials(head);
  co_return co_await m_next->Handle(head, aBody, aResponse);
}

// Callers choose the keys, so that a flood of unknown ones must not become a
// flood of queries.
bool
KeyCheck::IsConfirmed() const
{
  return m_confirmedVersion == m_directory->ConfigVersion() &&
         m_clock->Now() - m_confirmedAt < m_settings.m_confirmedFor;
}

asio::awaitable<void>
KeyCheck::Confirm()
{
  m_checks->Add();
  co_await m_refresher->Refresh(m_settings.m_maxWait);
  m_confirmedVersion = m_directory->ConfigVersion();
  m_confirmedAt = m_clock->Now();
}

} // namespace

std::shared_ptr<Service>
MakeKeyCheck(KeyCheckSettings aSettings)
{
  return std::make_shared<KeyCheck>(std::move(aSettings));
}

} // namespace sassafrasquay
