#pragma once

#include <mallowglade/core.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace mallowglade::testing {

/// @brief Inputs for a parser: valid examples, damaged in ways that a faulty or
///   hostile sender may damage them.
class ByteMutator {
public:
  /// @param Examples valid inputs
  /// @param Tokens texts that mean something to the parser
  ByteMutator(std::uint64_t Seed, std::vector<std::string> Examples,
              std::vector<std::string> Tokens);

  /// @return the next input
  std::string next();

private:
  void damage(std::string &Text);
  std::size_t below(std::size_t Bound) {
    return static_cast<std::size_t>(Random.below(Bound));
  }

  SeededRandom Random;
  std::vector<std::string> Examples;
  std::vector<std::string> Tokens;
};

/// @brief Runs a parser on many inputs.
///
/// `FUZZ_SEED` and `FUZZ_INPUTS` replace seed and number of inputs. With
/// `FUZZ_PRINT` each input is printed before it is parsed, so that the last one
/// of a run that ended the process is known.
/// @param Name name of the parser in messages
/// @param Parse returns false if the result breaks a rule
/// @return the first input that breaks a rule; empty if there is none
std::string fuzz(const std::string &Name, std::vector<std::string> Examples,
                 std::vector<std::string> Tokens,
                 const std::function<bool(const std::string &)> &Parse);

} // namespace mallowglade::testing
