#pragma once

#include <mallowglade/core.hpp>

namespace mallowglade {

/// @brief Token bucket whose rate may change; may go into debt.
class TokenBucket {
public:
  /// @brief Refills for the time passed.
  /// @param Rate tokens per second
  /// @param Burst most tokens it holds
  void refill(double Rate, double Burst, TimePoint Now);
  /// @return tokens in the bucket; negative while in debt
  double level() const { return Level; }
  /// @brief Removes tokens, or puts them back if negative.
  void take(double Amount) { Level -= Amount; }
  /// @brief Tells when a number of tokens will be there.
  /// @return time until then at the given rate, at most one minute
  Milliseconds waitFor(double Amount, double Rate) const;

private:
  double Level = 0;
  bool Started = false;
  TimePoint Last;
};

/// @brief Limits retries to a part of the successful requests.
class RetryBudget {
public:
  /// @brief Counts a successful request.
  void success();
  /// @brief Takes a retry.
  /// @return false if the budget is used up
  bool takeRetry();

private:
  double Tokens = InitialTokens;

  /// Lets a router retry before its first success.
  static constexpr double InitialTokens = 10;
};

} // namespace mallowglade
