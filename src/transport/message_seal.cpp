#include <mallowglade/detail/transport/message_seal.hpp>

namespace mallowglade::detail {

namespace {

/// Ids and types come from header values, which cannot contain a zero byte,
/// so the concatenation is unambiguous.
std::string authenticationCode(std::string_view Key,
                               const MessageEnvelope &Envelope,
                               std::string_view Body) {
  constexpr char Separator = '\0';
  std::string Covered;
  Covered.reserve(Body.size() + Envelope.Type.size() + 128);
  Covered += Envelope.To.Value;
  Covered += Separator;
  Covered += Envelope.Type;
  Covered += Separator;
  Covered += Envelope.From.Router.Value;
  Covered += Separator;
  Covered += std::to_string(Envelope.From.Start.Value);
  Covered += Separator;
  Covered += Body;
  return hmacSha256(Key, Covered);
}

} // namespace

std::string sealMessage(std::string_view Key, const MessageEnvelope &Envelope,
                        std::string_view Body) {
  std::string Sealed = authenticationCode(Key, Envelope, Body);
  Sealed += Body;
  return Sealed;
}

std::optional<std::string_view> openMessage(std::string_view Key,
                                            const MessageEnvelope &Envelope,
                                            std::string_view Sealed) {
  if (Sealed.size() < SealBytes)
    return std::nullopt;
  const std::string_view Body = Sealed.substr(SealBytes);
  const std::string Expected = authenticationCode(Key, Envelope, Body);
  if (!secureEquals(Expected, Sealed.substr(0, SealBytes)))
    return std::nullopt;
  return Body;
}

} // namespace mallowglade::detail
