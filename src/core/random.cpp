#include <mallowglade/core.hpp>

namespace mallowglade {

std::uint64_t RandomSource::below(std::uint64_t Bound) {
  return next() % Bound;
}

SeededRandom::SeededRandom(std::uint64_t Seed) : Engine(Seed) {}

std::uint64_t SeededRandom::next() { return Engine(); }

std::uint64_t systemSeed() {
  std::random_device Device;
  constexpr unsigned HighWordShift = 32;
  const std::uint64_t High = Device();
  return (High << HighWordShift) | Device();
}

} // namespace mallowglade
