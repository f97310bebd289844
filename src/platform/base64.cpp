#include <mallowglade/detail/platform/base64.hpp>

#include <openssl/evp.h>

namespace mallowglade::detail {

namespace {

bool isDigit(char C) {
  return (C >= 'A' && C <= 'Z') || (C >= 'a' && C <= 'z') ||
         (C >= '0' && C <= '9') || C == '+' || C == '/';
}

} // namespace

std::string encodeBase64(std::string_view Data) {
  constexpr std::size_t GroupIn = 3;
  constexpr std::size_t GroupOut = 4;
  const std::size_t Groups = (Data.size() + GroupIn - 1) / GroupIn;
  std::string Text(Groups * GroupOut + 1, '\0');
  const int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Data.data()),
                      static_cast<int>(Data.size()));
  Text.resize(static_cast<std::size_t>(Length));
  return Text;
}

std::optional<std::string> decodeBase64(std::string_view Text) {
  constexpr std::size_t GroupSize = 4;
  if (Text.empty())
    return std::string();
  const std::size_t DataEnd = Text.find_last_not_of('=') + 1;
  const std::size_t Padding = Text.size() - DataEnd;
  const std::string_view Digits = Text.substr(0, DataEnd);
  // The decoder below takes padding in any place and number, and other
  // characters at both ends.
  if (Text.size() % GroupSize != 0 || Padding > 2 ||
      Digits.find('=') != std::string_view::npos || !isDigit(Digits.front()) ||
      !isDigit(Digits.back()))
    return std::nullopt;
  std::string Data(Text.size(), '\0');
  const int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Data.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Length < 0)
    return std::nullopt;
  Data.resize(static_cast<std::size_t>(Length) - Padding);
  return Data;
}

} // namespace mallowglade::detail
