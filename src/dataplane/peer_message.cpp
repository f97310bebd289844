#include <mallowglade/detail/dataplane/peer_message.hpp>

#include <mallowglade/detail/core/unpack_limit.hpp>
#include <mallowglade/detail/settings/json_reader.hpp>

#include <msgpack.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <stdexcept>
#include <tuple>
#include <vector>

namespace mallowglade::dataplane {

namespace {

/// Incremented when the fixed layout changes. Reports in another format are
/// rejected. New facts are named parts, which leave the format as it is.
constexpr unsigned FormatVersion = 8;

using LoadRow = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t,
                           std::uint32_t, std::uint32_t>;
using UsageRow = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t>;
using SequenceRow = std::tuple<std::string, std::uint64_t>;
using ProofRow =
    std::tuple<std::uint64_t, std::uint32_t, std::vector<SequenceRow>>;
using MemberRow = std::tuple<std::string, std::string, bool>;
using ReportLayout =
    std::tuple<unsigned, std::string, std::uint64_t, std::uint64_t, std::string,
               bool, std::uint64_t, std::vector<LoadRow>, std::vector<UsageRow>,
               std::vector<ProofRow>, std::string, std::vector<MemberRow>,
               double, bool, std::string, std::uint64_t,
               std::vector<std::uint64_t>, bool>;

/// Names and layouts of the parts that follow the fixed layout. A part that is
/// missing is empty.
constexpr const char *LimitsPart = "limits";
constexpr const char *DemandPart = "demand";
/// Demands of the members of a digest, in their order.
constexpr const char *MemberDemandPart = "member_demand";
/// Size, busy connections and lookups of the sender, or of each member of a
/// digest, in their order.
constexpr const char *RouterLoadPart = "router_load";
using RouterLoadRow = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>;
/// Zones that the operator empties.
constexpr const char *EvacuatedPart = "evacuated";
/// Process, requests per second or a negative number for no limit, age in
/// milliseconds, whether the statement is a direct one.
using LimitRow = std::tuple<std::uint64_t, float, std::uint32_t, bool>;
/// Rates of limits that open.
constexpr const char *LimitOpeningsPart = "limit_openings";
/// Process, requests per second.
using OpeningRow = std::tuple<std::uint64_t, float>;
constexpr const char *ColdPart = "cold";
/// Process, remaining time and age in milliseconds.
using ColdRow = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t>;
/// Bound on the cold upstreams that a report names.
constexpr std::size_t MaxColdRows = 4'096;
using DemandRow = std::tuple<std::uint64_t, float>;
/// Era and revision of the store, zones that it lists, zones held since it was
/// restored.
using EvacuatedRow =
    std::tuple<std::uint64_t, std::int64_t, std::vector<std::string>,
               std::vector<std::string>>;
/// Workspaces whose requests wait or are refused now, and tokens of these.
constexpr const char *UnmetPart = "unmet";
using UnmetRow = std::tuple<std::uint64_t, std::uint32_t>;
/// Bound on the workspaces that a report names as not served.
constexpr std::size_t MaxUnmetRows = 256;
constexpr const char *OfferedPart = "offered";
/// Bounds on the rates of one report; others are ignored.
constexpr std::size_t MaxOfferedRates = 64;
constexpr float MaxOfferedRate = 1e6F;
/// Prefix, process of the engine that it was sent to, age in milliseconds.
constexpr const char *PrefixesPart = "prefixes";
using PrefixRow = std::tuple<std::uint64_t, std::uint64_t, std::uint32_t>;
using NamedParts = std::map<std::string, msgpack::object>;

std::uint32_t toUint32(double Value) {
  constexpr double MaxValue = 4e9;
  return static_cast<std::uint32_t>(
      std::lround(std::min(std::max(Value, 0.0), MaxValue)));
}

std::vector<DemandRow> demandRows(const DemandTable &Demand) {
  std::vector<DemandRow> Rows;
  for (const auto &[Service, Rate] : Demand)
    Rows.emplace_back(Service.Value, static_cast<float>(Rate.Value));
  return Rows;
}

DemandTable demandOf(const std::vector<DemandRow> &Rows) {
  DemandTable Demand;
  for (const auto &[Service, Rate] : Rows)
    if (std::isfinite(Rate) && Rate >= 0)
      Demand.emplace(ServiceKey(Service), RequestRate(Rate));
  return Demand;
}

RouterLoadRow routerLoadRow(const RouterLoad &Load) {
  return {Load.Size, Load.Busy, Load.Lookups};
}

RouterLoad routerLoadOf(const RouterLoadRow &Row) {
  const auto &[Size, Busy, Lookups] = Row;
  // Larger values are damaged; sums are made of them.
  constexpr std::uint32_t MaxValue = 1U << 24U;
  return {std::min(Size, MaxValue), std::min(Busy, MaxValue),
          std::min(Lookups, MaxValue)};
}

std::vector<std::string> zoneRows(const std::set<ZoneId> &Zones) {
  std::vector<std::string> Rows;
  for (const ZoneId &Zone : Zones)
    if (Rows.size() < EvacuationReport::MaxZones)
      Rows.push_back(Zone.Value);
  return Rows;
}

std::set<ZoneId> zonesOf(const std::vector<std::string> &Rows) {
  if (Rows.size() > EvacuationReport::MaxZones)
    throw std::length_error("too many evacuated zones");
  std::set<ZoneId> Zones;
  for (const std::string &Name : Rows) {
    if (Name.empty() || Name.size() > EvacuationReport::MaxZoneBytes)
      throw std::length_error("malformed name of an evacuated zone");
    Zones.insert(ZoneId(Name));
  }
  return Zones;
}

/// Appends the named parts that are not empty.
void packParts(msgpack::sbuffer &Buffer, const PeerReport &Report) {
  std::vector<LimitRow> Limits;
  std::vector<OpeningRow> Openings;
  for (const auto &[Process, Limit] : Report.Limits) {
    Limits.emplace_back(
        Process.Value,
        Limit.Rate ? static_cast<float>(Limit.Rate->Value) : -1.0F,
        toUint32(static_cast<double>(Limit.Age.count())), Limit.Direct);
    if (Limit.Opening)
      Openings.emplace_back(Process.Value,
                            static_cast<float>(Limit.Opening->Value));
  }
  std::vector<std::vector<DemandRow>> MemberDemand;
  bool AnyDemand = false;
  for (const ZoneMember &Member : Report.Members) {
    MemberDemand.push_back(demandRows(Member.Demand));
    AnyDemand |= !Member.Demand.empty();
  }
  std::map<std::string, msgpack::object> Parts;
  msgpack::zone Zone;
  if (!Limits.empty())
    Parts.emplace(LimitsPart, msgpack::object(Limits, Zone));
  if (!Openings.empty())
    Parts.emplace(LimitOpeningsPart, msgpack::object(Openings, Zone));
  if (Report.Evacuated)
    Parts.emplace(
        EvacuatedPart,
        msgpack::object(EvacuatedRow(Report.Evacuated->ReadAt.Era.Value,
                                     Report.Evacuated->ReadAt.Revision,
                                     zoneRows(Report.Evacuated->Zones),
                                     zoneRows(Report.Evacuated->Held)),
                        Zone));
  std::vector<ColdRow> Cold;
  for (const auto &[Process, Notice] : Report.Cold)
    if (Notice.Remaining.count() > 0 && Cold.size() < MaxColdRows)
      Cold.emplace_back(Process.Value,
                        toUint32(static_cast<double>(Notice.Remaining.count())),
                        toUint32(static_cast<double>(Notice.Age.count())));
  if (!Cold.empty())
    Parts.emplace(ColdPart, msgpack::object(Cold, Zone));
  if (!Report.Demand.empty())
    Parts.emplace(DemandPart, msgpack::object(demandRows(Report.Demand), Zone));
  std::vector<UnmetRow> Unmet;
  for (const auto &[Key, Entry] : Report.Usage)
    if (Entry.Unmet >= 1 && Unmet.size() < MaxUnmetRows)
      Unmet.emplace_back(Key.Value, toUint32(Entry.Unmet));
  if (!Unmet.empty())
    Parts.emplace(UnmetPart, msgpack::object(Unmet, Zone));
  if (!Report.Offered.empty())
    Parts.emplace(OfferedPart,
                  msgpack::object(demandRows(Report.Offered), Zone));
  if (AnyDemand)
    Parts.emplace(MemberDemandPart, msgpack::object(MemberDemand, Zone));
  std::vector<RouterLoadRow> RouterLoads;
  if (Report.Members.empty() && Report.Load.Size > 0)
    RouterLoads.push_back(routerLoadRow(Report.Load));
  if (Report.WithMemberLoads)
    for (const ZoneMember &Member : Report.Members)
      RouterLoads.push_back(routerLoadRow(Member.Load));
  if (!RouterLoads.empty())
    Parts.emplace(RouterLoadPart, msgpack::object(RouterLoads, Zone));
  std::vector<PrefixRow> Prefixes;
  for (const PrefixPlacement &Each : Report.Prefixes)
    if (Prefixes.size() < PrefixHolders::MaxReported)
      Prefixes.emplace_back(Each.Prefix, Each.Engine.Value,
                            toUint32(static_cast<double>(Each.Age.count())));
  if (!Prefixes.empty())
    Parts.emplace(PrefixesPart, msgpack::object(Prefixes, Zone));
  if (!Parts.empty())
    msgpack::pack(Buffer, Parts);
}

/// Routers are named by the address that receives their reports, and callers
/// are told the other address: a report with anything else is damaged.
bool namesRouters(const PeerReport &Report) {
  constexpr std::size_t MaxZoneBytes = 256;
  return Report.Zone.Value.size() <= MaxZoneBytes &&
         isNumericAddress(Report.Sender.Value) &&
         isNumericAddress(Report.CallerAddress) &&
         std::all_of(Report.Members.begin(), Report.Members.end(),
                     [](const ZoneMember &Member) {
                       return isNumericAddress(Member.Id.Value) &&
                              isNumericAddress(Member.CallerAddress);
                     });
}

/// Reads the named parts that this router knows.
void readParts(const NamedParts &Parts, PeerReport &Report) {
  if (const auto Found = Parts.find(LimitsPart); Found != Parts.end())
    for (const auto &[Process, Rate, Age, Direct] :
         Found->second.as<std::vector<LimitRow>>()) {
      ReportedLimit Limit;
      if (std::isfinite(Rate) && Rate >= 0)
        Limit.Rate = RequestRate(Rate);
      Limit.Age = Milliseconds(Age);
      Limit.Direct = Direct;
      Report.Limits.emplace(UpstreamProcess(Process), Limit);
    }
  if (const auto Found = Parts.find(LimitOpeningsPart); Found != Parts.end())
    for (const auto &[Process, Rate] :
         Found->second.as<std::vector<OpeningRow>>())
      if (const auto Limit = Report.Limits.find(UpstreamProcess(Process));
          Limit != Report.Limits.end() && std::isfinite(Rate) && Rate >= 0)
        Limit->second.Opening = RequestRate(Rate);
  if (const auto Found = Parts.find(ColdPart); Found != Parts.end())
    for (const auto &[Process, Remaining, Age] :
         Found->second.as<std::vector<ColdRow>>())
      if (Report.Cold.size() < MaxColdRows)
        Report.Cold.emplace(
            UpstreamProcess(Process),
            ColdNotice{Milliseconds(Remaining), Milliseconds(Age)});
  if (const auto Found = Parts.find(DemandPart); Found != Parts.end())
    Report.Demand = demandOf(Found->second.as<std::vector<DemandRow>>());
  if (const auto Found = Parts.find(EvacuatedPart); Found != Parts.end()) {
    const auto [Era, Revision, Zones, Held] = Found->second.as<EvacuatedRow>();
    Report.Evacuated = {
        {StoreEra(Era), Revision}, zonesOf(Zones), zonesOf(Held)};
  }
  if (const auto Found = Parts.find(UnmetPart); Found != Parts.end())
    for (const auto &[Key, Tokens] : Found->second.as<std::vector<UnmetRow>>())
      if (const auto Usage = Report.Usage.find(WorkspaceKey(Key));
          Usage != Report.Usage.end())
        Usage->second.Unmet = double(Tokens);
  if (const auto Found = Parts.find(OfferedPart); Found != Parts.end())
    for (const auto &[Service, Rate] :
         Found->second.as<std::vector<DemandRow>>())
      if (Report.Offered.size() < MaxOfferedRates && Rate >= 0 &&
          Rate <= MaxOfferedRate)
        Report.Offered.emplace(ServiceKey(Service), RequestRate(Rate));
  if (const auto Found = Parts.find(PrefixesPart); Found != Parts.end())
    for (const auto &[Prefix, Engine, Age] :
         Found->second.as<std::vector<PrefixRow>>())
      if (Report.Prefixes.size() < PrefixHolders::MaxReported)
        Report.Prefixes.push_back(
            {Prefix, UpstreamProcess(Engine), Milliseconds(Age)});
  if (const auto Found = Parts.find(MemberDemandPart); Found != Parts.end()) {
    const auto Rows = Found->second.as<std::vector<std::vector<DemandRow>>>();
    const std::size_t Count = std::min(Rows.size(), Report.Members.size());
    for (std::size_t Index = 0; Index < Count; ++Index)
      Report.Members[Index].Demand = demandOf(Rows[Index]);
  }
  if (const auto Found = Parts.find(RouterLoadPart); Found != Parts.end()) {
    const auto Rows = Found->second.as<std::vector<RouterLoadRow>>();
    if (Report.Members.empty() && !Rows.empty())
      Report.Load = routerLoadOf(Rows.front());
    const std::size_t Count = std::min(Rows.size(), Report.Members.size());
    Report.WithMemberLoads = Count > 0;
    for (std::size_t Index = 0; Index < Count; ++Index)
      Report.Members[Index].Load = routerLoadOf(Rows[Index]);
  }
}

} // namespace

std::string encodeReport(const PeerReport &Report) {
  ReportLayout Fields;
  auto &[Format, Sender, Incarnation, Sequence, Address, Ready, Version, Loads,
         Usage, Proofs, Zone, Members, WorkLimitFactorSum, StoreUnavailable,
         Crashes, Era, Departed, ProofHeld] = Fields;
  Format = FormatVersion;
  Sender = Report.Sender.Value;
  Incarnation = Report.Incarnation;
  Sequence = Report.Sequence;
  Address = Report.CallerAddress;
  Ready = Report.Ready;
  Version = Report.Config.Value;
  for (const auto &[Key, Load] : Report.Loads)
    Loads.emplace_back(Key.Value, toUint32(Load.Running),
                       toUint32(Load.UnreadPrompt), toUint32(Load.KvTokens),
                       toUint32(Load.RecentWork));
  for (const auto &[Key, Entry] : Report.Usage)
    Usage.emplace_back(Key.Value, toUint32(Entry.Demand),
                       toUint32(Entry.Admitted));
  Zone = Report.Zone.Value;
  WorkLimitFactorSum = Report.WorkLimitFactorSum;
  StoreUnavailable = Report.StoreUnavailable;
  Crashes = encodeCrashReport(Report.Crashes);
  Era = Report.Era.Value;
  ProofHeld = Report.ProofHeld;
  for (const UpstreamKey &Key : Report.Departed)
    Departed.push_back(Key.Value);
  for (const ZoneMember &Member : Report.Members)
    Members.emplace_back(Member.Id.Value, Member.CallerAddress, Member.Ready);
  if (Report.Proof) {
    std::vector<SequenceRow> ReceivedSequences;
    for (const auto &[Router, LastSequence] : Report.Proof->ReceivedSequences)
      ReceivedSequences.emplace_back(Router.Value, LastSequence);
    Proofs.emplace_back(
        Report.Proof->Fingerprint,
        toUint32(static_cast<double>(Report.Proof->Age.count())),
        std::move(ReceivedSequences));
  }
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Fields);
  packParts(Buffer, Report);
  return {Buffer.data(), Buffer.size()};
}

Result<PeerReport> decodeReport(std::string_view Datagram) {
  try {
    std::size_t Offset = 0;
    const msgpack::object_handle Handle =
        msgpack::unpack(Datagram.data(), Datagram.size(), Offset, nullptr,
                        nullptr, detail::unpackLimit(Datagram.size()));
    ReportLayout Fields;
    Handle.get().convert(Fields);
    const auto &[Format, Sender, Incarnation, Sequence, Address, Ready, Version,
                 Loads, Usage, Proofs, Zone, Members, WorkLimitFactorSum,
                 StoreUnavailable, Crashes, Era, Departed, ProofHeld] = Fields;
    // Sums of the fleet are made of it.
    constexpr double MaxWorkLimitFactorSum = 1e6;
    if (!(WorkLimitFactorSum >= 0 &&
          WorkLimitFactorSum <= MaxWorkLimitFactorSum))
      return Error{
          ErrorId::InvalidMessage, "peer report has a malformed part", {}};
    if (Format != FormatVersion || Sender.empty())
      return Error{ErrorId::InvalidMessage,
                   "peer report has no sender or an unsupported format version",
                   {}};
    const auto DecodedCrashes = decodeCrashReport(Crashes);
    if (!DecodedCrashes)
      return Error{
          ErrorId::InvalidMessage, "peer report has a malformed part", {}};
    PeerReport Report;
    Report.Crashes = *DecodedCrashes;
    Report.Sender = RouterId(Sender);
    Report.Incarnation = Incarnation;
    Report.Sequence = Sequence;
    Report.CallerAddress = Address;
    Report.Ready = Ready;
    Report.Config = ConfigurationVersion(Version);
    for (const auto &[Key, Running, Unread, Kv, Recent] : Loads)
      Report.Loads[UpstreamKey(Key)] = {double(Running), double(Unread),
                                        double(Kv), double(Recent)};
    for (const auto &[Key, Demand, Admitted] : Usage)
      Report.Usage[WorkspaceKey(Key)] = {double(Demand), double(Admitted)};
    Report.Zone = ZoneId(Zone);
    Report.WorkLimitFactorSum = WorkLimitFactorSum;
    Report.StoreUnavailable = StoreUnavailable;
    Report.Era = StoreEra(Era);
    Report.ProofHeld = ProofHeld;
    for (const std::uint64_t Key : Departed)
      Report.Departed.insert(UpstreamKey(Key));
    for (const auto &[Id, CallerAddress, MemberReady] : Members)
      Report.Members.push_back({RouterId(Id), CallerAddress, MemberReady});
    for (const auto &[Fingerprint, Age, ReceivedSequences] : Proofs) {
      StateProof Proof;
      Proof.Fingerprint = Fingerprint;
      Proof.Age = Milliseconds(Age);
      for (const auto &[Router, LastSequence] : ReceivedSequences)
        Proof.ReceivedSequences.emplace(RouterId(Router), LastSequence);
      Report.Proof = std::move(Proof);
    }
    if (Offset < Datagram.size()) {
      const msgpack::object_handle Parts =
          msgpack::unpack(Datagram.data(), Datagram.size(), Offset, nullptr,
                          nullptr, detail::unpackLimit(Datagram.size()));
      readParts(Parts.get().as<NamedParts>(), Report);
    }
    if (!namesRouters(Report))
      return Error{ErrorId::InvalidMessage,
                   "peer report names a router by no address",
                   {}};
    return Report;
  } catch (const std::exception &Exception) {
    return Error{ErrorId::InvalidMessage, Exception.what(), {}};
  }
}

} // namespace mallowglade::dataplane
