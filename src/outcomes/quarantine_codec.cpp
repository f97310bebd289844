#include <mallowglade/outcomes.hpp>

#include <mallowglade/detail/outcomes/msgpack_bytes.hpp>

#include <tuple>

namespace mallowglade {

namespace {

using PackedRecord = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t,
                                std::uint32_t, std::uint32_t>;

} // namespace

std::string encodeQuarantine(const std::vector<QuarantineRecord> &Records) {
  std::vector<PackedRecord> Packed;
  Packed.reserve(Records.size());
  for (const QuarantineRecord &Record : Records)
    Packed.emplace_back(Record.RequestFingerprint.Value, Record.Crashes,
                        Record.AloneCrashes, Record.ConvictionTimeLeft.count(),
                        Record.ReleaseTimeLeft.count());
  return detail::packBytes(Packed);
}

std::optional<std::vector<QuarantineRecord>>
decodeQuarantine(std::string_view Bytes) {
  const auto Packed = detail::unpackBytes<std::vector<PackedRecord>>(Bytes);
  if (!Packed)
    return std::nullopt;
  std::vector<QuarantineRecord> Records;
  Records.reserve(Packed->size());
  for (const auto &[RequestFingerprint, Crashes, Alone, Convicted, Released] :
       *Packed)
    Records.push_back({Fingerprint(RequestFingerprint), Crashes, Alone,
                       Milliseconds(Convicted), Milliseconds(Released)});
  return Records;
}

} // namespace mallowglade
