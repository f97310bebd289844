#include <mallowglade/detail/platform/base64.hpp>

#include <openssl/evp.h>

namespace mallowglade::detail {

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
  if (Text.empty())
    return std::string();
  std::string Data(Text.size(), '\0');
  const int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Data.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Length < 0)
    return std::nullopt;
  std::size_t Size = static_cast<std::size_t>(Length);
  for (std::size_t I = Text.size(); I > 0 && Text[I - 1] == '='; --I)
    --Size;
  Data.resize(Size);
  return Data;
}

} // namespace mallowglade::detail
