#pragma once

#include <mallowglade/detail/outcomes/claim_record.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace mallowglade {

/// @brief Request to the owner of a key's partition to claim the key.
struct ClaimRequest {
  ClaimKey Key;
  ClaimHolder Requester;
};

/// @brief Kind of an owner's answer.
enum class ClaimAnswerKind : std::uint8_t {
  /// The router that sent the claim holds the key and may run the request.
  Granted = 0,
  /// Another request holds the key.
  HeldBy = 1,
  /// No claim is possible now; final for this token.
  Refused = 2,
  /// This router does not own the partition; retry with the owner.
  NotOwner = 3,
};

/// @brief Answer of a partition's owner to a claim request.
struct ClaimAnswer {
  ClaimToken Token;
  ClaimAnswerKind Kind = ClaimAnswerKind::NotOwner;
  /// The holder, if the kind is HeldBy.
  ClaimHolder Holder;
  /// True if the ownership was confirmed after the request arrived. For HeldBy,
  /// the holder held the key at that time; for Refused, no request held the key
  /// or had run under it.
  bool Confirmed = false;
  Milliseconds RetryAfter{};
};

/// @brief Informs the owner how a claim ended.
struct ClaimSettlement {
  ClaimKey Key;
  ClaimHolder Holder;
  /// Done or Released.
  ClaimState State = ClaimState::Done;
};

/// @brief Acknowledges a settlement; the sender stops resending it.
struct ClaimSettlementAck {
  ClaimToken Token;
};

/// @brief msgpack encoding of the claim messages between routers; decoding
///   returns `std::nullopt` if the bytes are malformed.
namespace claim_codec {
std::string encode(const ClaimRequest &Message);
std::string encode(const ClaimAnswer &Message);
std::string encode(const ClaimSettlement &Message);
std::string encode(const ClaimSettlementAck &Message);
std::optional<ClaimRequest> decodeRequest(std::string_view Bytes);
std::optional<ClaimAnswer> decodeAnswer(std::string_view Bytes);
std::optional<ClaimSettlement> decodeSettlement(std::string_view Bytes);
std::optional<ClaimSettlementAck> decodeSettlementAck(std::string_view Bytes);
} // namespace claim_codec

} // namespace mallowglade
