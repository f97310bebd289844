#pragma once

#include <mallowglade/detail/scheduling/messages.hpp>

#include <string>
#include <string_view>

namespace mallowglade {

/// @brief Encodes a message as msgpack.
/// @tparam Message one of the types of messages.hpp
/// @return bytes for a `PeerNetwork`
template <class Message> std::string encode(const Message &Value);

/// @brief Decodes a message.
/// @tparam Message one of the types of messages.hpp
/// @return the message, or `peer.invalid_message`
template <class Message> Result<Message> decode(std::string_view Bytes);

} // namespace mallowglade
