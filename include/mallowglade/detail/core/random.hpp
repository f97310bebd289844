#pragma once

#include <cstdint>
#include <random>

namespace mallowglade {

/// @brief Source of random numbers that is injected into decision logic, so
///   that tests can reproduce its choices.
class RandomSource {
public:
  virtual ~RandomSource() = default;
  /// @return the next 64 random bits
  virtual std::uint64_t next() = 0;
  /// @param Bound exclusive upper bound, at least 1
  /// @return a number in [0, Bound)
  std::uint64_t below(std::uint64_t Bound);
};

/// @brief Deterministic pseudo-random generator.
class SeededRandom final : public RandomSource {
public:
  /// @param Seed equal seeds produce equal sequences
  explicit SeededRandom(std::uint64_t Seed);
  std::uint64_t next() override;

private:
  std::mt19937_64 Engine;
};

/// @brief Reads a seed from the random number generator of the system.
/// @return 64 unpredictable bits
std::uint64_t systemSeed();

} // namespace mallowglade
