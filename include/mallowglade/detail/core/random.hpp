#pragma once

#include <cstdint>
#include <random>

namespace mallowglade {

/// @brief Source of random numbers; decisions receive it from outside.
class RandomSource {
public:
  virtual ~RandomSource() = default;
  /// @return the next 64 random bits
  virtual std::uint64_t next() = 0;
  /// @param Bound exclusive upper bound, at least 1
  /// @return a number in [0, Bound)
  std::uint64_t below(std::uint64_t Bound);
};

/// @brief Deterministic random numbers from a seed.
class SeededRandom final : public RandomSource {
public:
  /// @param Seed equal seeds give equal sequences
  explicit SeededRandom(std::uint64_t Seed);
  std::uint64_t next() override;

private:
  std::mt19937_64 Engine;
};

/// @brief Draws a seed from the operating system.
/// @return 64 unpredictable bits
std::uint64_t systemSeed();

} // namespace mallowglade
