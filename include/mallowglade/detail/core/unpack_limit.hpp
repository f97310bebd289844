#pragma once

#include <msgpack.hpp>

#include <cstddef>
#include <string_view>

namespace mallowglade::detail {

/// @brief Limits the memory that decoding a MessagePack message may allocate.
///
/// Every element takes at least one byte, so a declared length above the size
/// of the message is invalid; without a limit the decoder would allocate up to
/// 64 GB for it.
/// @param MessageBytes size of the encoded message
/// @return limits for `msgpack::unpack`
inline msgpack::unpack_limit unpackLimit(std::size_t MessageBytes) {
  constexpr std::size_t MaxNestingDepth = 16;
  return {MessageBytes, MessageBytes, MessageBytes,
          MessageBytes, MessageBytes, MaxNestingDepth};
}

/// @brief Checks a MessagePack message against these limits, for a decoder that
///   has none.
inline bool isBoundedMessage(std::string_view Bytes) {
  try {
    msgpack::unpack(Bytes.data(), Bytes.size(), nullptr, nullptr,
                    unpackLimit(Bytes.size()));
    return true;
  } catch (const msgpack::unpack_error &) {
    return false;
  }
}

} // namespace mallowglade::detail
