#pragma once

#include <mallowglade/core.hpp>

namespace mallowglade {

/// @brief Token bucket with a variable rate; the level may become negative.
class TokenBucket {
public:
  /// @brief Adds tokens for the time since the last call; the first call fills
  /// the bucket.
  /// @param Rate tokens per second
  /// @param Burst capacity in tokens
  void refill(double Rate, double Burst, TimePoint Now);
  /// @return tokens in the bucket; may be negative
  double level() const { return Level; }
  /// @brief Removes tokens; a negative amount returns them.
  void take(double Amount) { Level -= Amount; }
  /// @brief Computes the time until a number of tokens is available.
  /// @return time at the given rate, at most one minute
  Milliseconds timeUntilAvailable(double Amount, double Rate) const;

private:
  double Level = 0;
  bool Initialised = false;
  TimePoint Last;
};

/// @brief Limits retries to a fraction of the successful requests.
class RetryBudget {
public:
  /// @brief Counts a successful request.
  void recordSuccess();
  /// @brief Consumes one retry.
  /// @return false if the budget is exhausted
  bool takeRetry();

private:
  double Tokens = InitialTokens;

  /// Allows retries before the first success.
  static constexpr double InitialTokens = 10;
};

} // namespace mallowglade
