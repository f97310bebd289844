#include <mallowglade/detail/cli/instance_file.hpp>
#include <mallowglade/detail/cli/parser.hpp>

#include <fmt/format.h>

namespace mallowglade::detail {

ExitCode runConfigCheck(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  TCLAP::UnlabeledValueArg<std::string> File(
      "file", "settings file (JSON)", true, "", "FILE", Parser.commandLine());
  Parser.parse();
  InstanceSettings Settings;
  const ExitCode Code = loadInstanceSettings(File.getValue(), Settings);
  if (Code != ExitCode::Ok)
    return Code;
  fmt::print("{}: valid\n", File.getValue());
  return ExitCode::Ok;
}

} // namespace mallowglade::detail
