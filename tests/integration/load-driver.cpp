// Starts fleets of real processes, loads them and prints what it measured.
//
// Usage: load-driver fleet|failures|settings|quickstart

#include <measure.hpp>

#include <fmt/format.h>

#include <exception>
#include <map>
#include <string>

int main(int ArgumentCount, char **Arguments) {
  const std::map<std::string, int (*)()> Commands = {
      {"fleet", fleet::measureFleet},
      {"failures", fleet::measureFailures},
      {"settings", fleet::measureSettings},
      {"quickstart", fleet::runQuickstart}};
  const auto Found =
      Commands.find(ArgumentCount > 1 ? Arguments[1] : std::string());
  if (Found == Commands.end()) {
    fmt::print(stderr,
               "usage: load-driver fleet|failures|settings|quickstart\n");
    return 2;
  }
  try {
    return Found->second();
  } catch (const std::exception &Failure) {
    fmt::print(stderr, "load-driver: {}\n", Failure.what());
    return 1;
  }
}
