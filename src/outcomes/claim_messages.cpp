#include <mallowglade/outcomes.hpp>

#include <mallowglade/detail/outcomes/msgpack_bytes.hpp>

#include <tuple>

namespace mallowglade::claim_codec {

namespace {

using detail::packBytes;
using detail::unpackBytes;

using PackedHolder =
    std::tuple<std::string, std::uint64_t, std::string, std::uint64_t>;
using PackedRequest = std::tuple<std::string, PackedHolder>;
using PackedAnswer =
    std::tuple<std::uint64_t, std::uint8_t, PackedHolder, bool, std::int64_t>;
using PackedSettlement = std::tuple<std::string, PackedHolder, std::uint8_t>;
using PackedSettled = std::tuple<std::uint64_t>;

PackedHolder packHolder(const ClaimHolder &Holder) {
  return {Holder.Router.Value, Holder.Start.Value, Holder.Request.Value,
          Holder.Token.Value};
}

ClaimHolder unpackHolder(const PackedHolder &Packed) {
  const auto &[Router, Start, Request, Token] = Packed;
  return {RouterId(Router), Incarnation(Start), RequestId(Request),
          ClaimToken(Token)};
}

} // namespace

std::string encode(const ClaimRequest &Message) {
  return packBytes(
      PackedRequest{Message.Key.Value, packHolder(Message.Requester)});
}

std::string encode(const ClaimAnswer &Message) {
  return packBytes(PackedAnswer{Message.Token.Value,
                                static_cast<std::uint8_t>(Message.Kind),
                                packHolder(Message.Holder), Message.Confirmed,
                                Message.RetryAfter.count()});
}

std::string encode(const ClaimSettlement &Message) {
  return packBytes(PackedSettlement{Message.Key.Value,
                                    packHolder(Message.Holder),
                                    static_cast<std::uint8_t>(Message.State)});
}

std::string encode(const ClaimSettlementAck &Message) {
  return packBytes(PackedSettled{Message.Token.Value});
}

std::optional<ClaimRequest> decodeRequest(std::string_view Bytes) {
  const auto Packed = unpackBytes<PackedRequest>(Bytes);
  if (!Packed)
    return std::nullopt;
  return ClaimRequest{ClaimKey(std::get<0>(*Packed)),
                      unpackHolder(std::get<1>(*Packed))};
}

std::optional<ClaimAnswer> decodeAnswer(std::string_view Bytes) {
  const auto Packed = unpackBytes<PackedAnswer>(Bytes);
  if (!Packed)
    return std::nullopt;
  const auto &[Token, Kind, Holder, Confirmed, RetryAfter] = *Packed;
  if (Kind > static_cast<std::uint8_t>(ClaimAnswerKind::NotOwner))
    return std::nullopt;
  ClaimAnswer Message;
  Message.Token = ClaimToken(Token);
  Message.Kind = static_cast<ClaimAnswerKind>(Kind);
  Message.Holder = unpackHolder(Holder);
  Message.Confirmed = Confirmed;
  Message.RetryAfter = Milliseconds(RetryAfter);
  return Message;
}

std::optional<ClaimSettlement> decodeSettlement(std::string_view Bytes) {
  const auto Packed = unpackBytes<PackedSettlement>(Bytes);
  if (!Packed)
    return std::nullopt;
  const auto &[Key, Holder, State] = *Packed;
  const bool Valid = State == static_cast<std::uint8_t>(ClaimState::Done) ||
                     State == static_cast<std::uint8_t>(ClaimState::Released);
  if (!Valid)
    return std::nullopt;
  return ClaimSettlement{ClaimKey(Key), unpackHolder(Holder),
                         static_cast<ClaimState>(State)};
}

std::optional<ClaimSettlementAck> decodeSettlementAck(std::string_view Bytes) {
  const auto Packed = unpackBytes<PackedSettled>(Bytes);
  if (!Packed)
    return std::nullopt;
  return ClaimSettlementAck{ClaimToken(std::get<0>(*Packed))};
}

} // namespace mallowglade::claim_codec
