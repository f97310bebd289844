#include <mallowglade/core.hpp>

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

#include <array>

namespace mallowglade {

std::uint64_t stableHash(std::string_view Data, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Data.data(), Data.size(), Seed);
}

std::string sha256Hex(std::string_view Data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Length = 0;
  EVP_Digest(Data.data(), Data.size(), Digest.data(), &Length, EVP_sha256(),
             nullptr);
  std::string Text;
  for (unsigned I = 0; I < Length; ++I)
    Text += fmt::format("{:02x}", Digest[I]);
  return Text;
}

std::string hmacSha256(std::string_view Key, std::string_view Data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Length = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
       reinterpret_cast<const unsigned char *>(Data.data()), Data.size(),
       Digest.data(), &Length);
  return {reinterpret_cast<const char *>(Digest.data()), Length};
}

bool secureEquals(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size())
    return false;
  return CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::string toHex(std::uint64_t Number) {
  return fmt::format("{:016x}", Number);
}

} // namespace mallowglade
