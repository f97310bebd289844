#pragma once

#include <mallowglade/core.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mallowglade {

/// @brief Digest of workspace and idempotency key, 32 hexadecimal digits.
using ClaimKey = StringId<struct ClaimKeyTag>;
/// @brief Random number that is unique to one claim of one request.
///
/// Request ids are chosen by callers and may be reused; tokens are not.
using ClaimToken = StrongNumber<struct ClaimTokenTag, std::uint64_t>;

/// @brief Number of claim partitions in the fleet.
inline constexpr std::uint32_t ClaimPartitionCount = 16;

/// @brief Builds the key of a claim.
/// @param Workspace workspace of the caller
/// @param Key value of `Idempotency-Key`
ClaimKey makeClaimKey(const WorkspaceId &Workspace, const std::string &Key);

/// @brief Maps a key to its partition.
/// @return number below `ClaimPartitionCount`
std::uint32_t claimPartitionForKey(const ClaimKey &Key);

/// @brief The request that claims a key.
struct ClaimHolder {
  RouterId Router;
  Incarnation Start;
  RequestId Request;
  ClaimToken Token;
};

/// @brief State of a claimed key.
enum class ClaimState : std::uint8_t {
  /// The holder may run or may have run.
  Claimed = 0,
  /// The holder has ended; it ran or may have run.
  Done = 1,
  /// The holder is proven not to have run; the key may be claimed again.
  Released = 2,
};

/// @brief One entry of a segment in the key-value service.
struct ClaimRecord {
  ClaimKey Key;
  ClaimHolder Holder;
  ClaimState State = ClaimState::Claimed;
  /// Number of times the record was rewritten because its request still ran.
  std::uint32_t Renewals = 0;
};

/// @brief A batch of records as stored in the key-value service.
struct ClaimSegment {
  /// Router and start time of the writer; identifies own writes.
  RouterId Writer;
  Incarnation WriterStart;
  std::vector<ClaimRecord> Records;
};

/// @brief Head of a partition; its epoch is the fencing token.
struct ClaimHead {
  RouterId Owner;
  Incarnation OwnerStart;
  Epoch OwnerEpoch;
};

/// @return the msgpack encoding of a segment
std::string encodeSegment(const ClaimSegment &Segment);
/// @return the segment, or `std::nullopt` if the bytes are malformed
std::optional<ClaimSegment> decodeSegment(std::string_view Bytes);
/// @return the msgpack encoding of a head
std::string encodeHead(const ClaimHead &Head);
/// @return the head, or `std::nullopt` if the bytes are malformed
std::optional<ClaimHead> decodeHead(std::string_view Bytes);

} // namespace mallowglade
