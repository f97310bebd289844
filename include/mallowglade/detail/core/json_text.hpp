#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace mallowglade::detail {

/// Maximum size of a text in a log line; longer ones are cut.
inline constexpr std::size_t MaxLoggedTextBytes = 1'024;

/// @brief Appends a text as the inside of a JSON string.
///
/// The text may hold any bytes: those that are no valid UTF-8 are replaced by
/// U+FFFD, and a text above `MaxLoggedTextBytes` is cut and ends with an
/// ellipsis.
void appendJsonText(std::string &Out, std::string_view Text);

/// @return true if the text can be printed in a JSON document: it is valid
///   UTF-8 without control characters
bool isPrintableText(std::string_view Text);

} // namespace mallowglade::detail
