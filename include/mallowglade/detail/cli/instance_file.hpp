#pragma once

#include <mallowglade/cli.hpp>
#include <mallowglade/settings.hpp>

#include <string>

namespace mallowglade::detail {

/// @brief Reads and validates an instance settings file; prints errors to
///   standard error.
/// @param Path path of the file
/// @param Settings set to the settings on success
/// @return Ok, Failed if the file cannot be read, or InvalidSettings
ExitCode loadInstanceSettings(const std::string &Path,
                              InstanceSettings &Settings);

} // namespace mallowglade::detail
