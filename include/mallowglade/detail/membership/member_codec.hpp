#pragma once

#include <mallowglade/detail/membership/member_record.hpp>

#include <string>
#include <string_view>

namespace mallowglade {

/// @brief Encodes a message as MessagePack.
///
/// Messages and records are arrays rather than maps, which saves the bytes of
/// the field names.
std::string encodeMemberMessage(const MemberMessage &Message);

/// @brief Decodes a message; additional fields from newer routers are ignored.
/// @param Bytes received message body
/// @return the message, or `transport.invalid_message`
Result<MemberMessage> decodeMemberMessage(std::string_view Bytes);

} // namespace mallowglade
