#pragma once

#include <mallowglade/detail/outcomes/crash_report.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace mallowglade {

/// @return the msgpack encoding of a report
std::string encodeCrashReport(const CrashReport &Report);
/// @return the report, or `std::nullopt` if the bytes are malformed
std::optional<CrashReport> decodeCrashReport(std::string_view Bytes);

} // namespace mallowglade
