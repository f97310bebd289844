#pragma once

#include <mallowglade/detail/core/unpack_limit.hpp>
#include <msgpack.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace mallowglade::detail {

/// @return the msgpack encoding of a value
template <class T> std::string packBytes(const T &Value) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Value);
  return {Buffer.data(), Buffer.size()};
}

/// @return the value, or `std::nullopt` if the bytes are malformed
template <class T> std::optional<T> unpackBytes(std::string_view Bytes) {
  try {
    return msgpack::unpack(Bytes.data(), Bytes.size(), nullptr, nullptr,
                           mallowglade::detail::unpackLimit(Bytes.size()))
        .get()
        .as<T>();
  } catch (const msgpack::unpack_error &) {
    return std::nullopt;
  } catch (const msgpack::type_error &) {
    return std::nullopt;
  }
}

} // namespace mallowglade::detail
