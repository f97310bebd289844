#include <mallowglade/cli.hpp>

int main(int ArgumentCount, char **Arguments) {
  return mallowglade::runCommandLine(ArgumentCount, Arguments);
}
