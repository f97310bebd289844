#include <mallowglade/detail/dataplane/peer_message.hpp>

#include <mallowglade/detail/core/unpack_limit.hpp>

#include <msgpack.hpp>

#include <cmath>
#include <tuple>
#include <vector>

namespace mallowglade::dataplane {

namespace {

/// Raised when the layout changes, so that versions of the program can mix.
constexpr unsigned FormatVersion = 5;

using LoadRow = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t,
                           std::uint32_t, std::uint32_t>;
using UsageRow = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t>;
using CrashRow = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t>;
using HeardRow = std::tuple<std::string, std::uint64_t>;
using ProofRow =
    std::tuple<std::uint64_t, std::uint32_t, std::vector<HeardRow>>;
using MemberRow = std::tuple<std::string, std::string, bool>;
using Layout =
    std::tuple<unsigned, std::string, std::uint64_t, std::uint64_t, std::string,
               bool, std::uint64_t, std::vector<LoadRow>, std::vector<UsageRow>,
               std::vector<ProofRow>, std::string, std::vector<MemberRow>,
               double, bool, std::vector<CrashRow>>;

std::uint32_t whole(double Value) {
  constexpr double Most = 4e9;
  return static_cast<std::uint32_t>(
      std::lround(std::min(std::max(Value, 0.0), Most)));
}

} // namespace

std::string encodeReport(const PeerReport &Report) {
  Layout Out;
  auto &[Format, Sender, Incarnation, Sequence, Address, Ready, Version, Loads,
         Usage, Proofs, Zone, Members, Pace, StoreLost, Crashes] = Out;
  Format = FormatVersion;
  Sender = Report.Sender.Value;
  Incarnation = Report.Incarnation;
  Sequence = Report.Sequence;
  Address = Report.CallerAddress;
  Ready = Report.Ready;
  Version = Report.Config.Value;
  for (const auto &[Key, Load] : Report.Loads)
    Loads.emplace_back(Key.Value, whole(Load.Running), whole(Load.UnreadPrompt),
                       whole(Load.KvTokens), whole(Load.RecentWork));
  for (const auto &[Key, Used] : Report.Usage)
    Usage.emplace_back(Key.Value, whole(Used.Asked), whole(Used.Admitted));
  Zone = Report.Zone.Value;
  Pace = Report.PaceSum;
  StoreLost = Report.StoreLost;
  for (const auto &[Print, Runs] : Report.Crashes)
    Crashes.emplace_back(Print.Value, Runs.Interrupted, Runs.Finished);
  for (const ZoneMember &Each : Report.Members)
    Members.emplace_back(Each.Id.Value, Each.CallerAddress, Each.Ready);
  if (Report.Proof) {
    std::vector<HeardRow> Heard;
    for (const auto &[Router, Number] : Report.Proof->Heard)
      Heard.emplace_back(Router.Value, Number);
    Proofs.emplace_back(Report.Proof->Fingerprint,
                        whole(static_cast<double>(Report.Proof->Age.count())),
                        std::move(Heard));
  }
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Out);
  return {Buffer.data(), Buffer.size()};
}

Result<PeerReport> decodeReport(std::string_view Datagram) {
  try {
    const msgpack::object_handle Handle =
        msgpack::unpack(Datagram.data(), Datagram.size(), nullptr, nullptr,
                        detail::unpackLimit(Datagram.size()));
    Layout In;
    Handle.get().convert(In);
    const auto &[Format, Sender, Incarnation, Sequence, Address, Ready, Version,
                 Loads, Usage, Proofs, Zone, Members, Pace, StoreLost,
                 Crashes] = In;
    if (Format != FormatVersion || Sender.empty())
      return Error{
          ErrorId::InvalidMessage, "unknown format of a peer report", {}};
    PeerReport Report;
    Report.Sender = RouterId(Sender);
    Report.Incarnation = Incarnation;
    Report.Sequence = Sequence;
    Report.CallerAddress = Address;
    Report.Ready = Ready;
    Report.Config = ConfigurationVersion(Version);
    for (const auto &[Key, Running, Unread, Kv, Recent] : Loads)
      Report.Loads[UpstreamKey(Key)] = {double(Running), double(Unread),
                                        double(Kv), double(Recent)};
    for (const auto &[Key, Asked, Admitted] : Usage)
      Report.Usage[WorkspaceKey(Key)] = {double(Asked), double(Admitted)};
    Report.Zone = ZoneId(Zone);
    Report.PaceSum = Pace;
    Report.StoreLost = StoreLost;
    for (const auto &[Print, Interrupted, Finished] : Crashes)
      Report.Crashes[RequestPrint(Print)] = {Interrupted, Finished};
    for (const auto &[Id, Callers, MemberReady] : Members)
      Report.Members.push_back({RouterId(Id), Callers, MemberReady});
    for (const auto &[Fingerprint, Age, Heard] : Proofs) {
      StateProof Proof;
      Proof.Fingerprint = Fingerprint;
      Proof.Age = Milliseconds(Age);
      for (const auto &[Router, Number] : Heard)
        Proof.Heard.emplace(RouterId(Router), Number);
      Report.Proof = std::move(Proof);
    }
    return Report;
  } catch (const std::exception &Failure) {
    return Error{ErrorId::InvalidMessage, Failure.what(), {}};
  }
}

} // namespace mallowglade::dataplane
