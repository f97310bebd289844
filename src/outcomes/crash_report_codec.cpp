#include <mallowglade/outcomes.hpp>

#include <mallowglade/detail/outcomes/msgpack_bytes.hpp>

#include <algorithm>
#include <limits>
#include <tuple>

namespace mallowglade {

namespace {

/// Process and age in milliseconds.
using ProcessRow = std::tuple<std::uint64_t, std::uint32_t>;
/// Kind, hash, processes, age of the last answer.
using FeatureRow =
    std::tuple<std::uint8_t, std::uint64_t, std::vector<ProcessRow>,
               std::vector<std::uint32_t>>;
/// Kind, hash, status, probes, age of the last refusal.
using QuarantineRow = std::tuple<std::uint8_t, std::uint64_t, std::uint32_t,
                                 std::uint32_t, std::vector<std::uint32_t>>;
using CrashRows = std::tuple<std::vector<FeatureRow>, std::vector<ProcessRow>,
                             std::vector<QuarantineRow>>;
std::uint32_t toUint32(Milliseconds Age) {
  constexpr std::int64_t MaxAge = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Age.count(), 0, MaxAge));
}

std::vector<ProcessRow> encodeProcesses(const ProcessAges &Ages) {
  std::vector<ProcessRow> Rows;
  for (const auto &[Process, Age] : Ages)
    Rows.emplace_back(Process.Value, toUint32(Age));
  return Rows;
}

ProcessAges decodeProcesses(const std::vector<ProcessRow> &Rows) {
  ProcessAges Ages;
  for (const auto &[Process, Age] : Rows)
    Ages.insert_or_assign(UpstreamProcess(Process), Milliseconds(Age));
  return Ages;
}

std::vector<std::uint32_t> encodeAge(const std::optional<Milliseconds> &Age) {
  return Age ? std::vector{toUint32(*Age)} : std::vector<std::uint32_t>();
}

std::optional<Milliseconds> decodeAge(const std::vector<std::uint32_t> &Row) {
  return Row.empty() ? std::nullopt : std::optional(Milliseconds(Row.front()));
}

std::optional<RequestFeature> decodeFeature(std::uint8_t Kind,
                                            std::uint64_t Hash) {
  if (Kind > static_cast<std::uint8_t>(FeatureKind::PromptPart))
    return std::nullopt;
  return RequestFeature{static_cast<FeatureKind>(Kind), Hash};
}

} // namespace

std::string encodeCrashReport(const CrashReport &Report) {
  CrashRows Rows;
  auto &[Features, Alive, Quarantines] = Rows;
  for (const auto &[Feature, Observed] : Report.Features)
    Features.emplace_back(static_cast<std::uint8_t>(Feature.Kind), Feature.Hash,
                          encodeProcesses(Observed.BrokenOff),
                          encodeAge(Observed.AnsweredAge));
  Alive = encodeProcesses(Report.Alive);
  for (const auto &[Feature, Entry] : Report.Quarantines)
    Quarantines.emplace_back(static_cast<std::uint8_t>(Feature.Kind),
                             Feature.Hash, Entry.Status.number(), Entry.Probes,
                             encodeAge(Entry.RefusedAge));
  return detail::packBytes(Rows);
}

std::optional<CrashReport> decodeCrashReport(std::string_view Bytes) {
  const auto Rows = detail::unpackBytes<CrashRows>(Bytes);
  if (!Rows)
    return std::nullopt;
  const auto &[Features, Alive, Quarantines] = *Rows;
  CrashReport Report;
  for (const auto &[Kind, Hash, BrokenOff, Answered] : Features)
    if (const auto Feature = decodeFeature(Kind, Hash))
      Report.Features.insert_or_assign(
          *Feature,
          FeatureObservation{decodeProcesses(BrokenOff), decodeAge(Answered)});
  Report.Alive = decodeProcesses(Alive);
  for (const auto &[Kind, Hash, Status, Probes, Refused] : Quarantines)
    if (const auto Feature = decodeFeature(Kind, Hash))
      Report.Quarantines.insert_or_assign(
          *Feature, QuarantineEntry{QuarantineStatus(Status), Probes,
                                    decodeAge(Refused)});
  return Report;
}

} // namespace mallowglade
