#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace mallowglade {

/// @brief Fast hash that is equal on every router.
/// @param Data bytes to hash
/// @param Seed changes the result; 0 by default
/// @return 64-bit hash
std::uint64_t stableHash(std::string_view Data, std::uint64_t Seed = 0);

/// @brief Cryptographic digest, used for credentials.
/// @param Data bytes to hash
/// @return SHA-256 as 64 lower-case hexadecimal digits
std::string sha256Hex(std::string_view Data);

/// @brief Message authentication code.
/// @param Key shared secret
/// @param Data bytes to authenticate
/// @return HMAC-SHA256 as 32 raw bytes
std::string hmacSha256(std::string_view Key, std::string_view Data);

/// @brief Compares secrets in constant time.
/// @return true if both are equal
bool secureEquals(std::string_view Left, std::string_view Right);

/// @brief Formats a number for ids.
/// @return 16 lower-case hexadecimal digits
std::string toHex(std::uint64_t Number);

} // namespace mallowglade
