#include <mallowglade/detail/dataplane/router_load.hpp>

#include <algorithm>

namespace mallowglade::dataplane {

namespace {

/// What a thousandth of a core needs at least to be used in full.
constexpr double MegabytesPerUnit = 1;
constexpr double DescriptorsPerUnit = 8;
constexpr double UnitsPerCore = 1'000;
constexpr double MegabyteBytes = 1e6;
/// Time over which answers to lookups are counted: a little longer than those
/// callers keep them that keep them longest.
constexpr Milliseconds LookupWindow{8'000};

} // namespace

std::uint32_t routerSize(const NodeSettings &Settings) {
  const double Units = std::min(
      {Settings.Processor.Share * Settings.Processor.Cores * UnitsPerCore,
       static_cast<double>(Settings.MemoryBytes) / MegabyteBytes /
           MegabytesPerUnit,
       static_cast<double>(Settings.Descriptors) / DescriptorsPerUnit});
  return static_cast<std::uint32_t>(std::max(1.0, Units));
}

void LookupCounter::record() {
  advance();
  ++Current;
}

std::uint32_t LookupCounter::recent() {
  advance();
  return Previous + Current;
}

void LookupCounter::advance() {
  const auto Elapsed = Time.now() - WindowBegan;
  if (Elapsed < LookupWindow / 2)
    return;
  Previous = Elapsed < LookupWindow ? Current : 0;
  Current = 0;
  WindowBegan = Time.now();
}

} // namespace mallowglade::dataplane
