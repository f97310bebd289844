#include <mallowglade/detail/cli/command.hpp>

namespace mallowglade::detail {

const std::vector<Command> &commands() {
  static const std::vector<Command> All{
      {"router",
       "Runs a router.",
       {"mallowglade router --settings /etc/mallowglade/instance.json"},
       runRouter},
      {"config check",
       "Checks an instance settings file.",
       {"mallowglade config check /etc/mallowglade/instance.json"},
       runConfigCheck},
      {"settings get",
       "Shows a branch of the settings, or lists the branches.",
       {"mallowglade settings get platform --router 10.0.0.5:8080",
        "mallowglade settings get sales > sales.json"},
       runSettingsGet},
      {"settings set",
       "Changes a branch of the settings.",
       {"mallowglade settings set --branch sales "
        "/workspaces/desk/limits/concurrency 8",
        "mallowglade settings set --branch sales --file sales.json --base 41",
        "mallowglade settings set --branch platform --patch shares.json"},
       runSettingsSet},
      {"settings diff",
       "Compares a file with a branch in force.",
       {"mallowglade settings diff --branch sales sales.json"},
       runSettingsDiff},
      {"settings log",
       "Shows the audit trail.",
       {"mallowglade settings log --entries 50",
        "mallowglade settings log --json"},
       runSettingsLog},
      {"addresses",
       "Lists the routers that accept requests.",
       {"mallowglade addresses --router 10.0.0.5:8080"},
       runAddresses},
  };
  return All;
}

} // namespace mallowglade::detail
