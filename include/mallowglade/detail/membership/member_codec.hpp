#pragma once

#include <mallowglade/detail/membership/member_record.hpp>

#include <string>
#include <string_view>

namespace mallowglade {

/// @brief Encodes a message as msgpack; arrays, to save the field names.
std::string encodeMemberMessage(const MemberMessage &Message);

/// @brief Decodes a message; fields added by newer routers are ignored.
/// @param Bytes body as received
/// @return the message, or `transport.invalid_message`
Result<MemberMessage> decodeMemberMessage(std::string_view Bytes);

} // namespace mallowglade
