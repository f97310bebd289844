#pragma once

#include <mallowglade/detail/outcomes/crash_quarantine.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mallowglade {

/// @return the msgpack encoding of quarantine records
std::string encodeQuarantine(const std::vector<QuarantineRecord> &Records);
/// @return the records, or `std::nullopt` if the bytes are malformed
std::optional<std::vector<QuarantineRecord>>
decodeQuarantine(std::string_view Bytes);

} // namespace mallowglade
