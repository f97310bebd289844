#include "byte_mutator.hpp"

#include <cstdlib>
#include <iostream>

namespace mallowglade::testing {

namespace {

constexpr std::uint64_t DefaultSeed = 20'261'205;
constexpr std::uint64_t DefaultInputs = 600;
constexpr std::size_t MaxDamages = 6;
constexpr std::size_t MaxNesting = 60'000;
constexpr std::size_t MaxRepeats = 2'000;

std::uint64_t numberFromEnvironment(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text == nullptr ? Default : std::strtoull(Text, nullptr, 10);
}

} // namespace

ByteMutator::ByteMutator(std::uint64_t Seed, std::vector<std::string> Examples,
                         std::vector<std::string> Tokens)
    : Random(Seed), Examples(std::move(Examples)), Tokens(std::move(Tokens)) {
  for (const char *Each : {"0",
                           "-1",
                           "1e400",
                           "1e300",
                           "99999999999999999999",
                           "4294967296",
                           "-9223372036854775808",
                           "NaN",
                           "null",
                           "true",
                           "\"\"",
                           "[]",
                           "{}",
                           "\r",
                           "\n",
                           "\r\n",
                           "\r\n\r\n",
                           " ",
                           "\t",
                           ":",
                           ",",
                           "=",
                           "\xff",
                           "\xc3\x28"})
    this->Tokens.emplace_back(Each);
  this->Tokens.emplace_back(1, '\0');
}

std::string ByteMutator::next() {
  std::string Text = Examples[below(Examples.size())];
  for (std::size_t Left = 1 + below(MaxDamages); Left > 0; --Left)
    damage(Text);
  return Text;
}

void ByteMutator::damage(std::string &Text) {
  const std::size_t At = below(Text.size() + 1);
  const std::size_t Count = below(Text.size() - At + 1);
  switch (below(9)) {
  case 0:
    Text.resize(At);
    break;
  case 1:
    if (At < Text.size())
      Text[At] = static_cast<char>(below(256));
    break;
  case 2:
    Text.insert(At, Tokens[below(Tokens.size())]);
    break;
  case 3:
    Text.replace(At, std::min<std::size_t>(Count, 1 + below(8)),
                 Tokens[below(Tokens.size())]);
    break;
  case 4:
    Text.erase(At, std::min<std::size_t>(Count, 1 + below(16)));
    break;
  case 5: {
    const std::size_t Depth = 1 + below(MaxNesting);
    const bool Objects = below(2) == 0;
    std::string Nested;
    for (std::size_t Level = 0; Level < Depth; ++Level)
      Nested += Objects ? "{\"a\":" : "[";
    Nested += "0" + std::string(Depth, Objects ? '}' : ']');
    Text.insert(At, Nested);
    break;
  }
  case 6: {
    const std::string Part =
        Text.substr(At, std::min<std::size_t>(Count, 1 + below(64)));
    std::string Repeated;
    for (std::size_t Left = below(MaxRepeats); Left > 0; --Left)
      Repeated += Part;
    Text.insert(At, Repeated);
    break;
  }
  case 7:
    Text.insert(At, Examples[below(Examples.size())]);
    break;
  default:
    Text.insert(At, std::string(below(4'096), static_cast<char>(below(256))));
    break;
  }
}

std::string fuzz(const std::string &Name, std::vector<std::string> Examples,
                 std::vector<std::string> Tokens,
                 const std::function<bool(const std::string &)> &Parse) {
  const std::uint64_t Seed = numberFromEnvironment("FUZZ_SEED", DefaultSeed);
  const std::uint64_t Inputs =
      numberFromEnvironment("FUZZ_INPUTS", DefaultInputs);
  const bool Print = std::getenv("FUZZ_PRINT") != nullptr;
  for (const std::string &Example : Examples)
    if (!Parse(Example))
      return Example;
  ByteMutator Mutator(Seed, std::move(Examples), std::move(Tokens));
  for (std::uint64_t Number = 0; Number < Inputs; ++Number) {
    std::string Input = Mutator.next();
    if (Print)
      std::cerr << Name << ' ' << Seed << ' ' << Number << ' ' << Input.size()
                << '\n'
                << Input << std::endl;
    if (!Parse(Input)) {
      std::cerr << Name << ": seed " << Seed << ", input " << Number << '\n';
      return Input;
    }
  }
  return {};
}

} // namespace mallowglade::testing
