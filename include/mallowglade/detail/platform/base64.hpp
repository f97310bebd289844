#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace mallowglade::detail {

/// @brief Encodes bytes as Base64 with padding.
std::string encodeBase64(std::string_view Data);

/// @brief Decodes Base64 with padding.
/// @return the bytes, or nothing if the text is malformed
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace mallowglade::detail
