#pragma once

#include <msgpack.hpp>

#include <cstddef>

namespace mallowglade::detail {

/// @brief Limits what decoding a message may allocate.
///
/// Every element takes at least one byte, so a length above the message's size
/// is false; without a limit the decoder allocates up to 64 GB for it.
/// @param Bytes size of the message in bytes
/// @return limits for `msgpack::unpack`
inline msgpack::unpack_limit unpackLimit(std::size_t Bytes) {
  constexpr std::size_t MaxDepth = 16;
  return {Bytes, Bytes, Bytes, Bytes, Bytes, MaxDepth};
}

} // namespace mallowglade::detail
