#pragma once

#include <mallowglade/settings.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace mallowglade {

/// @brief Types of the settings messages between routers.
namespace settings_message {
inline constexpr const char *Request = "settings_request";
inline constexpr const char *Reply = "settings_reply";
/// Announces a version right after it came into force.
inline constexpr const char *Notice = "settings_notice";
} // namespace settings_message

/// @brief Encodes a request as msgpack.
std::string encodeSettingsRequest(const SettingsRequest &Request);
/// @brief Decodes a request.
/// @return the request, or nothing if the bytes are malformed
std::optional<SettingsRequest> decodeSettingsRequest(std::string_view Bytes);
/// @brief Encodes a reply as msgpack.
std::string encodeSettingsReply(const SettingsReply &Reply);
/// @brief Decodes a reply.
/// @return the reply, or nothing if the bytes are malformed
std::optional<SettingsReply> decodeSettingsReply(std::string_view Bytes);
/// @brief Encodes a version as msgpack.
std::string encodeSettingsNotice(SettingsVersion Version);
/// @brief Decodes a version.
/// @return the version, or nothing if the bytes are malformed
std::optional<SettingsVersion> decodeSettingsNotice(std::string_view Bytes);

} // namespace mallowglade
