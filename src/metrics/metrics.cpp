// Metrics implementation with prometheus-cpp.
#include "metrics/metrics.h"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace sassafrasquay {

namespace {

// Upper bounds in seconds, dense around 1.4 ms, the time budget of a call.
const prometheus::Histogram::BucketBoundaries kBuckets = {
  0.0001, 0.0002, 0.0005, 0.0007, 0.001, 0.0014, 0.002, 0.003, 0.005, 0.01,
  0.02,   0.05,   0.1,    0.2,    0.5,   1,      2,     5,     10,    30
};

class CounterAdapter : public MetricCounter
{
public:
  explicit CounterAdapter(prometheus::Counter& aCounter)
    : m_counter(aCounter)
  {
  }
  void Add(double aAmount) override { m_counter.Increment(aAmount); }

private:
  prometheus::Counter& m_counter;
};

class GaugeAdapter : public MetricGauge
{
public:
  explicit GaugeAdapter(prometheus::Gauge& aGauge)
    : m_gauge(aGauge)
  {
  }
  void Set(double aValue) override { m_gauge.Set(aValue); }

private:
  prometheus::Gauge& m_gauge;
};

class HistogramAdapter : public MetricHistogram
{
public:
  explicit HistogramAdapter(prometheus::Histogram& aHistogram)
    : m_histogram(aHistogram)
  {
  }
  void Observe(Duration aValue) override
  {
    m_histogram.Observe(std::chrono::duration<double>(aValue).count());
  }

private:
  prometheus::Histogram& m_histogram;
};

class PrometheusMetrics : public Metrics
{
public:
  MetricCounter& Counter(const std::string& aName,
                         const std::string& aHelp,
                         const MetricLabels& aLabels) override
  {
    auto& metric = m_counters[Key(aName, aLabels)];
    if (!metric) {
      auto& family =
        prometheus::BuildCounter().Name(aName).Help(aHelp).Register(m_registry);
      metric = std::make_unique<CounterAdapter>(family.Add(ToMap(aLabels)));
    }
    return *metric;
  }
  MetricGauge& Gauge(const std::string& aName,
                     const std::string& aHelp,
                     const MetricLabels& aLabels) override
  {
    auto& metric = m_gauges[Key(aName, aLabels)];
    if (!metric) {
      auto& family =
        prometheus::BuildGauge().Name(aName).Help(aHelp).Register(m_registry);
      metric = std::make_unique<GaugeAdapter>(family.Add(ToMap(aLabels)));
    }
    return *metric;
  }
  MetricHistogram& Histogram(const std::string& aName,
                             const std::string& aHelp,
                             const MetricLabels& aLabels) override
  {
    auto& metric = m_histograms[Key(aName, aLabels)];
    if (!metric) {
      auto& family =
        prometheus::BuildHistogram().Name(aName).Help(aHelp).Register(
          m_registry);
      metric = std::make_unique<HistogramAdapter>(
        family.Add(ToMap(aLabels), kBuckets));
    }
    return *metric;
  }
  std::string PrometheusText() const override
  {
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
  }

private:
  static std::string Key(const std::string& aName, const MetricLabels& aLabels)
  {
    std::string key = aName;
    for (const auto& [name, value] : aLabels) {
      key.append(1, '\n').append(name).append(1, '=').append(value);
    }
    return key;
  }
  static prometheus::Labels ToMap(const MetricLabels& aLabels)
  {
    return { aLabels.begin(), aLabels.end() };
  }

  prometheus::Registry m_registry;
  std::map<std::string, std::unique_ptr<MetricCounter>> m_counters;
  std::map<std::string, std::unique_ptr<MetricGauge>> m_gauges;
  std::map<std::string, std::unique_ptr<MetricHistogram>> m_histograms;
};

} // namespace

std::unique_ptr<Metrics>
MakeMetrics()
{
  return std::make_unique<PrometheusMetrics>();
}

} // namespace sassafrasquay
