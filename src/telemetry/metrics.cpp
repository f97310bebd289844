#include <mallowglade/telemetry.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace mallowglade {

Metrics::Metrics() : Registry(std::make_shared<prometheus::Registry>()) {}

Metrics::~Metrics() = default;

void Metrics::count(const std::string &Name, const MetricLabels &Labels,
                    double Amount) {
  auto &Family = prometheus::BuildCounter().Name(Name).Register(*Registry);
  Family.Add(Labels).Increment(Amount);
}

void Metrics::set(const std::string &Name, const MetricLabels &Labels,
                  double Value) {
  auto &Family = prometheus::BuildGauge().Name(Name).Register(*Registry);
  Family.Add(Labels).Set(Value);
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(Registry->Collect());
}

} // namespace mallowglade
