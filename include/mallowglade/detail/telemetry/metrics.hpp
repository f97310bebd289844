#pragma once

#include <map>
#include <memory>
#include <string>

namespace prometheus {
class Registry;
} // namespace prometheus

namespace mallowglade {

/// @brief Labels of a metric.
using MetricLabels = std::map<std::string, std::string>;

/// @brief Prometheus metrics of one process; thread-safe.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// @brief Increments a counter; creates it on first use.
  /// @param Name metric name with its unit, for example `..._requests_total`
  /// @param Labels label values
  /// @param Amount increment, not negative
  void count(const std::string &Name, const MetricLabels &Labels,
             double Amount = 1);
  /// @brief Sets a gauge; creates it on first use.
  /// @param Name metric name with its unit, for example `..._seconds`
  /// @param Labels label values
  /// @param Value new value
  void set(const std::string &Name, const MetricLabels &Labels, double Value);
  /// @return all metrics in the Prometheus text format
  std::string text() const;

private:
  std::shared_ptr<prometheus::Registry> Registry;
};

} // namespace mallowglade
