#include <mallowglade/detail/cli/command.hpp>

namespace mallowglade::detail {

const std::vector<Command> &commands() {
  static const std::vector<Command> All{
      {"router", "Runs a router.",
       "mallowglade router --settings /etc/mallowglade/instance.json",
       runRouter},
      {"config check", "Checks an instance settings file.",
       "mallowglade config check /etc/mallowglade/instance.json",
       runConfigCheck},
      {"addresses", "Lists the routers that accept requests.",
       "mallowglade addresses --router 10.0.0.5:8080", runAddresses},
  };
  return All;
}

} // namespace mallowglade::detail
