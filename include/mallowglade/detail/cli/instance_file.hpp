#pragma once

#include <mallowglade/cli.hpp>
#include <mallowglade/settings.hpp>

#include <string>

namespace mallowglade::detail {

/// @brief Reads and checks an instance settings file; explains failures on
///   standard error.
/// @param Path path of the file
/// @param Settings receives the settings
/// @return Ok, Failed if the file cannot be read, or InvalidSettings
ExitCode loadInstanceSettings(const std::string &Path,
                              InstanceSettings &Settings);

} // namespace mallowglade::detail
