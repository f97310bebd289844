#include <mallowglade/detail/cli/parser.hpp>

#include <mallowglade/settings.hpp>

#include <fmt/format.h>

namespace mallowglade::detail {

ExitCode runConfigCheck(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  TCLAP::UnlabeledValueArg<std::string> File("file", "settings file (JSON)",
                                             true, "", "FILE", Parser.line());
  Parser.parse();
  bool Failed = false;
  const std::string Text = readFile(File.getValue(), Failed);
  if (Failed) {
    fmt::print(stderr, "mallowglade: cannot read '{}'\n", File.getValue());
    return ExitCode::Failed;
  }
  const Result<InstanceSettings> Settings = parseInstanceSettings(Text);
  if (!isOk(Settings)) {
    fmt::print(stderr, "{}: {}\n", File.getValue(),
               toString(errorOf(Settings)));
    return ExitCode::InvalidSettings;
  }
  fmt::print("{}: valid\n", File.getValue());
  return ExitCode::Ok;
}

} // namespace mallowglade::detail
