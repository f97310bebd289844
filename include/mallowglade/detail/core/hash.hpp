#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace mallowglade {

/// @brief Non-cryptographic hash (XXH3) that gives the same value on every
///   router.
/// @param Data bytes to hash
/// @param Seed selects an independent hash function
/// @return 64-bit hash
std::uint64_t stableHash(std::string_view Data, std::uint64_t Seed = 0);

/// @brief SHA-256 digest, used for credentials.
/// @param Data bytes to hash
/// @return the digest as 64 lower-case hexadecimal digits
std::string sha256Hex(std::string_view Data);

/// @brief HMAC-SHA256 message authentication code.
/// @param Key shared secret
/// @param Data bytes to authenticate
/// @return the code as 32 raw bytes
std::string hmacSha256(std::string_view Key, std::string_view Data);

/// @brief Compares secrets in time that depends only on their lengths.
/// @return true if both are equal
bool secureEquals(std::string_view Left, std::string_view Right);

/// @brief Formats a number as fixed-width hexadecimal, for use in ids.
/// @return 16 lower-case hexadecimal digits
std::string toHex(std::uint64_t Number);

} // namespace mallowglade
