#include <mallowglade/outcomes.hpp>

#include <mallowglade/detail/outcomes/msgpack_bytes.hpp>

#include <tuple>

namespace mallowglade {

namespace {

using PackedRecord =
    std::tuple<std::string, std::string, std::uint64_t, std::string,
               std::uint64_t, std::uint8_t, std::uint32_t>;
using PackedSegment =
    std::tuple<std::string, std::uint64_t, std::vector<PackedRecord>>;
using PackedHead = std::tuple<std::string, std::uint64_t, std::uint64_t>;

using detail::packBytes;
using detail::unpackBytes;

PackedRecord packRecord(const ClaimRecord &Record) {
  const ClaimHolder &Holder = Record.Holder;
  return {Record.Key.Value,   Holder.Router.Value,
          Holder.Start.Value, Holder.Request.Value,
          Holder.Token.Value, static_cast<std::uint8_t>(Record.State),
          Record.Renewals};
}

std::optional<ClaimRecord> unpackRecord(const PackedRecord &Packed) {
  const auto &[Key, Router, Start, Request, Token, State, Renewals] = Packed;
  if (State > static_cast<std::uint8_t>(ClaimState::Released))
    return std::nullopt;
  ClaimRecord Record;
  Record.Key = ClaimKey(Key);
  Record.Holder = {RouterId(Router), Incarnation(Start), RequestId(Request),
                   ClaimToken(Token)};
  Record.State = static_cast<ClaimState>(State);
  Record.Renewals = Renewals;
  return Record;
}

} // namespace

ClaimKey makeClaimKey(const WorkspaceId &Workspace, const std::string &Key) {
  constexpr std::size_t DigestHexDigits = 32;
  std::string DigestInput = Workspace.Value;
  DigestInput += '\0';
  DigestInput += Key;
  return ClaimKey(sha256Hex(DigestInput).substr(0, DigestHexDigits));
}

std::uint32_t claimPartitionForKey(const ClaimKey &Key) {
  return static_cast<std::uint32_t>(stableHash(Key.Value) %
                                    ClaimPartitionCount);
}

std::string encodeSegment(const ClaimSegment &Segment) {
  PackedSegment Packed{Segment.Writer.Value, Segment.WriterStart.Value, {}};
  for (const ClaimRecord &Record : Segment.Records)
    std::get<2>(Packed).push_back(packRecord(Record));
  return packBytes(Packed);
}

std::optional<ClaimSegment> decodeSegment(std::string_view Bytes) {
  const auto Packed = unpackBytes<PackedSegment>(Bytes);
  if (!Packed)
    return std::nullopt;
  ClaimSegment Segment;
  Segment.Writer = RouterId(std::get<0>(*Packed));
  Segment.WriterStart = Incarnation(std::get<1>(*Packed));
  for (const PackedRecord &Item : std::get<2>(*Packed)) {
    std::optional<ClaimRecord> Record = unpackRecord(Item);
    if (!Record)
      return std::nullopt;
    Segment.Records.push_back(std::move(*Record));
  }
  return Segment;
}

std::string encodeHead(const ClaimHead &Head) {
  return packBytes(PackedHead{Head.Owner.Value, Head.OwnerStart.Value,
                              Head.OwnerEpoch.Value});
}

std::optional<ClaimHead> decodeHead(std::string_view Bytes) {
  const auto Packed = unpackBytes<PackedHead>(Bytes);
  if (!Packed)
    return std::nullopt;
  const auto &[Owner, Start, OwnerEpoch] = *Packed;
  return ClaimHead{RouterId(Owner), Incarnation(Start), Epoch(OwnerEpoch)};
}

} // namespace mallowglade
