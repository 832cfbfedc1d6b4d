// Metrics of the node, stored in a prometheus-cpp registry.
#pragma once

#include "core/core.h"

#include <memory>

namespace sassafrasquay {

// Label pairs, written as { {"code", "201"}, {"zone", "a"} }.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

class MetricCounter
{
public:
  virtual ~MetricCounter() = default;
  virtual void Add(double aAmount = 1) = 0;
};

class MetricGauge
{
public:
  virtual ~MetricGauge() = default;
  virtual void Set(double aValue) = 0;
};

class MetricHistogram
{
public:
  virtual ~MetricHistogram() = default;
  virtual void Observe(Duration aValue) = 0; // exported in seconds
};

class Metrics : public Component
{
public:
  // Returns the metric with this name and labels and creates it when it does
  // not exist. References stay valid as long as the Metrics object exists.
  virtual MetricCounter& Counter(const std::string& aName,
                                 const std::string& aHelp,
                                 const MetricLabels& aLabels) = 0;
  virtual MetricGauge& Gauge(const std::string& aName,
                             const std::string& aHelp,
                             const MetricLabels& aLabels) = 0;
  virtual MetricHistogram& Histogram(const std::string& aName,
                                     const std::string& aHelp,
                                     const MetricLabels& aLabels) = 0;
  // Returns all metrics in the Prometheus text format 0.0.4.
  virtual std::string PrometheusText() const = 0;
};

std::unique_ptr<Metrics>
MakeMetrics();

} // namespace sassafrasquay
