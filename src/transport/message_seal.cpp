#include <mallowglade/detail/transport/message_seal.hpp>

#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <array>

namespace mallowglade::detail {

namespace {

struct ContextDeleter {
  void operator()(EVP_MAC_CTX *Context) const { EVP_MAC_CTX_free(Context); }
};
using MacContext = std::unique_ptr<EVP_MAC_CTX, ContextDeleter>;

const unsigned char *bytesOf(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

MacContext makeContext(std::string_view Key) {
  EVP_MAC *Algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  MacContext Context(EVP_MAC_CTX_new(Algorithm));
  EVP_MAC_free(Algorithm);
  std::string Digest = "SHA256";
  const std::array<OSSL_PARAM, 2> Parameters{
      OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, Digest.data(), 0),
      OSSL_PARAM_construct_end()};
  EVP_MAC_init(Context.get(), bytesOf(Key), Key.size(), Parameters.data());
  return Context;
}

/// Ids and types come from header values, which cannot contain a zero byte,
/// so the concatenation is unambiguous.
std::string prefixOf(const MessageEnvelope &Envelope) {
  constexpr char Separator = '\0';
  std::string Prefix = Envelope.To.Value;
  Prefix += Separator;
  Prefix += Envelope.Type;
  Prefix += Separator;
  Prefix += Envelope.From.Router.Value;
  Prefix += Separator;
  Prefix += std::to_string(Envelope.From.Start.Value);
  Prefix += Separator;
  return Prefix;
}

} // namespace

struct MessageSeal::State {
  MacContext Context;
};

MessageSeal::MessageSeal(std::string_view Key)
    : Impl(std::make_unique<State>(State{makeContext(Key)})) {}

MessageSeal::~MessageSeal() = default;

std::string MessageSeal::codeOf(const MessageEnvelope &Envelope,
                                std::string_view Body) {
  EVP_MAC_CTX *Context = Impl->Context.get();
  const std::string Prefix = prefixOf(Envelope);
  std::array<unsigned char, SealBytes> Code{};
  std::size_t Length = 0;
  // Without a key the context starts over with the one it has.
  EVP_MAC_init(Context, nullptr, 0, nullptr);
  EVP_MAC_update(Context, bytesOf(Prefix), Prefix.size());
  EVP_MAC_update(Context, bytesOf(Body), Body.size());
  EVP_MAC_final(Context, Code.data(), &Length, Code.size());
  return {reinterpret_cast<const char *>(Code.data()), Length};
}

std::string MessageSeal::seal(const MessageEnvelope &Envelope,
                              std::string_view Body) {
  std::string Sealed = codeOf(Envelope, Body);
  Sealed += Body;
  return Sealed;
}

std::optional<std::string_view>
MessageSeal::open(const MessageEnvelope &Envelope, std::string_view Sealed) {
  if (Sealed.size() < SealBytes)
    return std::nullopt;
  const std::string_view Body = Sealed.substr(SealBytes);
  // An empty expectation would mean that the library failed.
  const std::string Expected = codeOf(Envelope, Body);
  if (Expected.size() != SealBytes ||
      !secureEquals(Expected, Sealed.substr(0, SealBytes)))
    return std::nullopt;
  return Body;
}

} // namespace mallowglade::detail
