#include <mallowglade/detail/cli/instance_file.hpp>

#include <mallowglade/detail/cli/command.hpp>

#include <fmt/format.h>

namespace mallowglade::detail {

ExitCode loadInstanceSettings(const std::string &Path,
                              InstanceSettings &Settings) {
  bool Failed = false;
  const std::string Text = readFile(Path, Failed);
  if (Failed) {
    fmt::print(stderr, "mallowglade: cannot read '{}'\n", Path);
    return ExitCode::Failed;
  }
  Result<InstanceSettings> Parsed = parseInstanceSettings(Text);
  if (!isOk(Parsed)) {
    fmt::print(stderr, "{}: {}\n", Path, toString(errorOf(Parsed)));
    return ExitCode::InvalidSettings;
  }
  Settings = std::move(valueOf(Parsed));
  return ExitCode::Ok;
}

} // namespace mallowglade::detail
