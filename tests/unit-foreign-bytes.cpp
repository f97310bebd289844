#include "../platform/entries.hpp"
#include "../platform/wire.hpp"
#include "support/byte_mutator.hpp"
#include "support/paged_store.hpp"

#include <mallowglade/dataplane.hpp>
#include <mallowglade/detail/platform/base64.hpp>
#include <mallowglade/detail/router/attempt_meter.hpp>
#include <mallowglade/detail/router/problem.hpp>
#include <mallowglade/detail/router/settings_messages.hpp>
#include <mallowglade/membership.hpp>
#include <mallowglade/outcomes.hpp>
#include <mallowglade/platform.hpp>
#include <mallowglade/scheduling.hpp>
#include <mallowglade/settings.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

using namespace mallowglade;
using mallowglade::testing::fuzz;

namespace {

bool fitsHeaderField(const std::string &Text) {
  return std::none_of(Text.begin(), Text.end(), [](char C) {
    return static_cast<unsigned char>(C) < ' ' || C == '\x7f';
  });
}

bool isTokenCount(double Value) { return Value >= 0 && Value <= 1e9; }

const std::string UpstreamEntry =
    R"({"service":"pool","address":"10.1.0.33:8783","zone":"a","version":"v1",)"
    R"("slots":64,"state":"ready","cold_remaining_ms":0,"sequence":2,)"
    R"("born":1775342389014})";
const std::string ConfigurationEntry =
    R"({"version":7,"routes":[{"name":"r","host":"h.example",)"
    R"("path_prefix":"/a/","type":"streaming","resumable":true,"sticky":true,)"
    R"("timeout_ms":1000,"target_latency_ms":600,"gap_target_ms":800,)"
    R"("priority":1,"max_attempts":2,"service":"pool"},{"name":"s",)"
    R"("host":"h.example","path_prefix":"/b/","type":"safe",)"
    R"("split":[{"service":"pool","weight":0.5}]}],"services":[{"name":)"
    R"("pool","health_path":"/healthz","max_connections":370,"engine":)"
    R"({"slots":64,"kv_capacity_tokens":500000,"stride":6,"link_mbps":1000}}],)"
    R"("tenants":[{"name":"w","api_keys":["k"],"priority":1}],"limits":)"
    R"({"max_header_bytes":16384,"idle_timeout_ms":15000,"tokens_per_s":2000}})";

/// Feeds the input in pieces, whose sizes follow from its bytes.
template <class Feed> void feedInPieces(const std::string &Input, Feed &&Take) {
  std::size_t At = 0;
  while (At < Input.size()) {
    const std::size_t Size =
        1 + static_cast<unsigned char>(Input[At]) * 7 % 5'000;
    Take(std::string_view(Input).substr(At, Size));
    At += Size;
  }
}

class BodySink final : public http1::MessageSink {
public:
  void onHead() override { ++Heads; }
  void onBody(std::string_view Data) override { Bytes += Data.size(); }
  unsigned Heads = 0;
  std::size_t Bytes = 0;
};

bool parseMessage(http_parser_type Kind, const std::string &Input) {
  constexpr std::size_t MaxHead = 16'384;
  BodySink Sink;
  http1::MessageParser Parser(Kind, MaxHead, Sink);
  const platform::PlatformWire Wire;
  std::string Rest;
  bool Valid = true;
  feedInPieces(Input, [&](std::string_view Piece) {
    while (!Piece.empty() && Parser.error() == http1::ParseError::None) {
      const std::size_t Consumed = Parser.feed(Piece);
      Piece.remove_prefix(Consumed);
      if (Parser.headComplete()) {
        const http1::HeaderList &Fields = Kind == HTTP_REQUEST
                                              ? Parser.request().Headers
                                              : Parser.response().Headers;
        for (const http1::HeaderField &Field : Fields.fields())
          Valid &= !Field.Name.empty() &&
                   Field.Value.find_first_of("\r\n") == std::string::npos;
        if (Kind == HTTP_REQUEST) {
          const auto Metadata = Wire.readRequest(Fields);
          Valid &= isTokenCount(Metadata.PromptTokens) &&
                   isTokenCount(Metadata.MaxOutputTokens) &&
                   isTokenCount(Metadata.ExpectedOutputTokens);
          for (const dataplane::PromptPart &Part : Metadata.Parts)
            Valid &= isTokenCount(Part.Tokens);
          dataplane::requestFeatures(WorkspaceId("w"), "GET", "/", "",
                                     Metadata.Parts);
        } else {
          const auto Metadata = Wire.readResponse(Parser.response());
          Valid &= !Metadata.Pause || Metadata.Pause->count() >= 0;
          Valid &= !Metadata.RequestsPerSecond ||
                   std::isfinite(*Metadata.RequestsPerSecond);
          http1::keepAliveSeconds(Fields);
        }
      }
      if (Parser.complete())
        Parser.reset();
      else if (Consumed == 0)
        break;
    }
  });
  Parser.feedEof();
  return Valid && Sink.Bytes <= Input.size();
}

template <class Message> bool decodeScheduling(const std::string &Input) {
  decode<Message>(Input);
  return true;
}

dataplane::PeerReport exampleReport() {
  dataplane::PeerReport Report;
  Report.Sender = RouterId("10.1.0.33:7400");
  Report.Incarnation = 7;
  Report.Sequence = 9;
  Report.Zone = ZoneId("a");
  Report.CallerAddress = "10.1.0.33:8783";
  Report.Loads[dataplane::UpstreamKey(5)] = {1, 2, 3, 4};
  Report.Usage[dataplane::WorkspaceKey(6)] = {5, 6, 7};
  Report.Members.push_back(
      {RouterId("10.1.0.34:7400"), "10.1.0.34:8783", true});
  Report.Members.back().Load = {120, 3, 4};
  Report.WithMemberLoads = true;
  Report.Departed.insert(dataplane::UpstreamKey(8));
  Report.Proof = dataplane::StateProof{
      3, Milliseconds(5), {{RouterId("10.1.0.34:7400"), 4}}};
  Report.Demand.emplace(dataplane::ServiceKey(2), RequestRate(3));
  Report.Evacuated = {
      {dataplane::StoreEra(2), 40}, {ZoneId("a")}, {ZoneId("b")}};
  Report.Cold[UpstreamProcess(4)] = {Milliseconds(900), Milliseconds(30)};
  Report.Offered.emplace(dataplane::ServiceKey(2), RequestRate(4));
  return Report;
}

/// Reports are sent to the senders of others, and callers are told the
/// addresses in them.
bool isUsable(const dataplane::PeerReport &Report) {
  const auto AreBounded = [](const std::set<ZoneId> &Zones) {
    using dataplane::EvacuationReport;
    return Zones.size() <= EvacuationReport::MaxZones &&
           std::all_of(Zones.begin(), Zones.end(), [](const ZoneId &Zone) {
             return !Zone.empty() &&
                    Zone.Value.size() <= EvacuationReport::MaxZoneBytes;
           });
  };
  return std::isfinite(Report.WorkLimitFactorSum) &&
         (!Report.Evacuated || (AreBounded(Report.Evacuated->Zones) &&
                                AreBounded(Report.Evacuated->Held))) &&
         std::all_of(Report.Offered.begin(), Report.Offered.end(),
                     [](const auto &Entry) {
                       return Entry.second.Value >= 0 &&
                              std::isfinite(Entry.second.Value);
                     }) &&
         isNumericAddress(Report.Sender.Value) &&
         isNumericAddress(Report.CallerAddress) &&
         std::all_of(Report.Members.begin(), Report.Members.end(),
                     [](const dataplane::ZoneMember &Member) {
                       return isNumericAddress(Member.Id.Value) &&
                              isNumericAddress(Member.CallerAddress);
                     });
}

/// Records of members are shown to callers and operators.
bool isPrintable(const MemberMessage &Message) {
  try {
    for (const MemberRecord &Record : Message.Updates)
      nlohmann::json{Record.Id.Value, Record.Zone.Value, Record.CallerAddress}
          .dump();
    return true;
  } catch (const nlohmann::json::type_error &) {
    return false;
  }
}

std::string readFile(const std::string &Name) {
  std::ifstream File(Name, std::ios::binary);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

} // namespace

/// Each parser of bytes from outside the process: damaged input neither ends
/// the process nor gets a value past the bounds. Inputs that failed once are
/// cases of the tests of their parser.
class ForeignBytesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForeignBytesTest);
  CPPUNIT_TEST(eventStreams);
  CPPUNIT_TEST(requests);
  CPPUNIT_TEST(responses);
  CPPUNIT_TEST(upstreamEntries);
  CPPUNIT_TEST(configurations);
  CPPUNIT_TEST(otherEntries);
  CPPUNIT_TEST(instanceLists);
  CPPUNIT_TEST(reportsOfRouters);
  CPPUNIT_TEST(messagesOfCells);
  CPPUNIT_TEST(messagesOfClaimsAndMembers);
  CPPUNIT_TEST(settings);
  CPPUNIT_TEST(documentsOfCallersAndEngines);
  CPPUNIT_TEST(base64);
  CPPUNIT_TEST(repliesOfThePlatformStore);
  CPPUNIT_TEST(repliesOfTheKeyValueService);
  CPPUNIT_TEST_SUITE_END();

public:
  void eventStreams() {
    expectNone(fuzz(
        "events",
        {"id: 1\ndata: {\"usage\":{\"prompt_tokens\":1}}\n\ndata: [DONE]\n\n",
         "event: x\r\nid: 2\r\ndata: y\r\n\r\n: comment\n\n"},
        {"id:", "data:", "\n\n", "\r\n\r\n", "[DONE]", "\"usage\""},
        [](const std::string &Input) {
          EventStream Stream;
          std::string Output;
          feedInPieces(Input, [&](std::string_view Piece) {
            Output += Stream.feed(Piece);
          });
          const std::string Id = Stream.lastEventId();
          Output += Stream.takeRest();
          return Output == Input && fitsHeaderField(Id) &&
                 Id.size() <= EventStream::MaxIdBytes;
        }));
  }

  void requests() {
    expectNone(fuzz(
        "requests",
        {"POST /a/b?c HTTP/1.1\r\nHost: h.example\r\n"
         "Mallowglade-Attempt-Id: 9c\r\nMallowglade-Token-Usage: 1460,80\r\n"
         "Mallowglade-Prefix-Hash: 5c:800,91:410\r\n"
         "Mallowglade-Deadline-Ms: 2500\r\nContent-Length: 3\r\n\r\nabc",
         "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
         "5;x=y\r\nhello\r\n0\r\nTrailer: 1\r\n\r\n"},
        {"Content-Length: ", "Transfer-Encoding: chunked", "HTTP/1.0",
         "Connection: upgrade", "Expect: 100-continue", "CONNECT "},
        [](const std::string &Input) {
          return parseMessage(HTTP_REQUEST, Input);
        }));
  }

  void responses() {
    expectNone(fuzz(
        "responses",
        {"HTTP/1.1 200 OK\r\nMallowglade-Attempt-Id: 9c\r\n"
         "Mallowglade-Replica-Signature: s\r\nKeep-Alive: timeout=10\r\n"
         "Mallowglade-Replica-Load: 3,0,8\r\nServer-Limit: 2.5\r\n"
         "Content-Length: 2\r\n\r\nhi",
         "HTTP/1.1 503 Service Unavailable\r\nMallowglade-Not-Executed: 1\r\n"
         "Retry-After: 1.5\r\nTransfer-Encoding: chunked\r\n\r\n"
         "2\r\nhi\r\n0\r\n\r\n",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\n\r\nrest"},
        {"Content-Length: ", "Transfer-Encoding: ", "HTTP/1.1 101 X",
         "Upgrade: x", "Retry-After: ", "Server-Limit: "},
        [](const std::string &Input) {
          return parseMessage(HTTP_RESPONSE, Input);
        }));
  }

  void upstreamEntries() {
    expectNone(fuzz("upstreams", {UpstreamEntry}, {"\"slots\":", "65536"},
                    [](const std::string &Input) {
                      const auto Read = platform::decodeUpstream("i-1", Input);
                      platform::decodeUpstream(Input, UpstreamEntry);
                      if (!isOk(Read))
                        return true;
                      return valueOf(Read).Slots <= 1'000'000 &&
                             valueOf(Read).Address.port() > 0;
                    }));
    expectNone(
        fuzz("upstream ids", {"i-7f3a91c2"}, {}, [](const std::string &Input) {
          const auto Read = platform::decodeUpstream(Input, UpstreamEntry);
          return !isOk(Read) || fitsHeaderField(Input);
        }));
  }

  void configurations() {
    expectNone(fuzz(
        "configurations", {ConfigurationEntry}, {"\"timeout_ms\":"},
        [](const std::string &Input) {
          const auto Read = platform::decodeConfiguration(Input);
          if (!isOk(Read))
            return true;
          bool Valid = true;
          for (const dataplane::Route &Each : valueOf(Read).Routes)
            Valid &= Each.Timeout.count() >= 0 &&
                     Each.Timeout <= std::chrono::hours(24) &&
                     Each.MaxAttempts > 0;
          for (const dataplane::Workspace &Each : valueOf(Read).Workspaces)
            Valid &= fitsHeaderField(Each.Name.Value);
          return Valid && isTokenCount(valueOf(Read).Limits.TokensPerSecond);
        }));
  }

  void otherEntries() {
    expectNone(fuzz("routers and quarantines",
                    {R"({"callers":"10.1.0.33:8783","peers":"10.1.0.33:7400",)"
                     R"("zone":"a"})",
                     R"({"status":3,"probes":2})", "prompt_part-5c1e07a2"},
                    {}, [](const std::string &Input) {
                      platform::decodeQuarantine(Input);
                      platform::decodeFeature(Input);
                      const auto Read = platform::decodeRouter(Input);
                      return !isOk(Read) ||
                             fitsHeaderField(valueOf(Read).CallerAddress);
                    }));
  }

  void instanceLists() {
    expectNone(
        fuzz("instances",
             {R"({"instances":[{"name":"e","pool":"models",)"
              R"("address":"127.0.0.1:80","max_in_flight":8},{"name":"f",)"
              R"("pool":"desk","address":"127.0.0.1:81"}]})"},
             {"\"instances\":", "\"address\":"}, [](const std::string &Input) {
               const auto Read = parseInstanceList(Input);
               if (!isOk(Read))
                 return true;
               return std::all_of(valueOf(Read).begin(), valueOf(Read).end(),
                                  [](const Instance &Each) {
                                    return isNumericAddress(Each.Address) &&
                                           Each.MaxInFlight <= 1'000'000;
                                  });
             }));
  }

  void reportsOfRouters() {
    const std::string Example = dataplane::encodeReport(exampleReport());
    expectNone(fuzz("reports", {Example}, {std::string("\x91\x91\x91", 3)},
                    [](const std::string &Input) {
                      const auto Read = dataplane::decodeReport(Input);
                      return !isOk(Read) || isUsable(valueOf(Read));
                    }));
    expectNone(nestedBytes([](const std::string &Input) {
      return !isOk(dataplane::decodeReport(Input)) && !decodeCrashReport(Input);
    }));
  }

  void messagesOfCells() {
    expectNone(
        fuzz("cells",
             {encode(DemandReport()), encode(Grant()), encode(GrantReturn()),
              encode(Progress()), encode(Completion()), encode(Allotment()),
              encode(LimitNotice())},
             {std::string("\x91\x91\x91", 3)}, [](const std::string &Input) {
               return decodeScheduling<DemandReport>(Input) &&
                      decodeScheduling<Grant>(Input) &&
                      decodeScheduling<GrantReturn>(Input) &&
                      decodeScheduling<Progress>(Input) &&
                      decodeScheduling<Completion>(Input) &&
                      decodeScheduling<Allotment>(Input) &&
                      decodeScheduling<LimitNotice>(Input);
             }));
  }

  void messagesOfClaimsAndMembers() {
    MemberMessage Member;
    Member.Updates.resize(2);
    Member.Updates.front().Id = RouterId("10.1.0.33:7400");
    Member.Updates.front().Zone = ZoneId("a");
    Member.Updates.front().CallerAddress = "10.1.0.33:8783";
    const auto Parse = [](const std::string &Input) {
      claim_codec::decodeRequest(Input);
      claim_codec::decodeAnswer(Input);
      claim_codec::decodeSettlement(Input);
      claim_codec::decodeSettlementAck(Input);
      decodeSegment(Input);
      decodeHead(Input);
      decodeQuarantine(Input);
      decodeCrashReport(Input);
      const auto Member = decodeMemberMessage(Input);
      return !isOk(Member) || isPrintable(valueOf(Member));
    };
    expectNone(fuzz("claims and members",
                    {claim_codec::encode(ClaimRequest()),
                     claim_codec::encode(ClaimAnswer()),
                     claim_codec::encode(ClaimSettlement()),
                     claim_codec::encode(ClaimSettlementAck()),
                     encodeSegment(ClaimSegment()), encodeHead(ClaimHead()),
                     encodeQuarantine({QuarantineRecord()}),
                     encodeMemberMessage(Member)},
                    {}, Parse));
    expectNone(nestedBytes(Parse));
  }

  void settings() {
    SettingsPack Pack;
    Pack.Branches["teams/a"].Value = {{"x", 1}};
    SettingsReply Reply;
    Reply.Packs[1] = Pack;
    Reply.Head = SettingsHead();
    SettingsRequest Request;
    Request.HeldPacks[1] = SettingsVersion(2);
    const std::string Example = readFile(std::string(MALLOWGLADE_SOURCE_DIR) +
                                         "/examples/galwanika.json");
    CPPUNIT_ASSERT(!Example.empty());
    const auto Parse = [](const std::string &Input) {
      parseHead(Input);
      const auto Read = parsePack(Input);
      if (isOk(Read))
        encodePack(valueOf(Read));
      parseAuditHead(Input);
      decodeSettingsRequest(Input);
      decodeSettingsReply(Input);
      decodeSettingsNotice(Input);
      parseInstanceSettings(Input);
      dataplane::parseNodeSettings(Input);
      const auto Document = parseJson(Input);
      if (isOk(Document))
        parseTree(valueOf(Document), "");
      return true;
    };
    expectNone(fuzz("settings",
                    {Example, encodePack(Pack), encodeHead(SettingsHead()),
                     encodeSettingsReply(Reply), encodeSettingsRequest(Request),
                     encodeSettingsNotice(SettingsVersion(3)),
                     encodeAuditHead(AuditHead())},
                    {"\"branches\":", "\"value\":"}, Parse));
    expectNone(nestedBytes(Parse));
  }

  void documentsOfCallersAndEngines() {
    PoolSettings Pool;
    Pool.Kind = PoolKind::Model;
    Pool.MaxRequestUnits = 1e6;
    const ManualClock Time;
    expectNone(fuzz(
        "documents",
        {R"({"messages":[{"role":"user","content":"x"}],"max_tokens":64,)"
         R"("stream":true})",
         R"({"usage":{"prompt_tokens":7,"completion_tokens":2}})",
         R"({"error_id":"upstream.failed","outcome":"unknown",)"
         R"("retry_after_s":3})"},
        {"\"usage\":", "\"max_tokens\":", "\"retry_after_s\":"},
        [&](const std::string &Input) {
          asksForStream(Input);
          const double Estimate = estimateCost(Pool, Input).Value;
          AttemptMeter Meter(Pool, 0, Time);
          Meter.usageOf(Input);
          const double Served = Meter.progress().Served.Value;
          const auto Failure = parseProblem(Input);
          return Estimate >= 1 && Estimate <= 1e6 && std::isfinite(Served) &&
                 Served >= 0 && (!Failure || Failure->RetryAfter.count() >= 0);
        }));
  }

  void base64() {
    expectNone(fuzz("base64", {"YWJjZA==", "YWJj", "YWI="}, {"=", "===="},
                    [](const std::string &Input) {
                      const auto Data = detail::decodeBase64(Input);
                      return !Data || detail::encodeBase64(*Data) == Input ||
                             Data->size() <= Input.size();
                    }));
  }

  void repliesOfThePlatformStore() {
    using mallowglade::testing::StoreFixture;
    StoreFixture F;
    F.Platform.put("i-9", "draining");
    const std::string Entry =
        R"({"key":"servers/i-1","revision":7,"created":3,"lease":0,"value":")" +
        detail::encodeBase64(UpstreamEntry) + "\"}";
    const std::string Config =
        R"({"key":"op/config","revision":8,"created":3,"lease":0,"value":")" +
        detail::encodeBase64(ConfigurationEntry) + "\"}";
    expectNone(fuzz(
        "platform store",
        {R"({"at":9,"has_more":false,"entries":[)" + Entry + "," + Config +
             "]}",
         R"({"at":9,"events":[)" + Entry +
             R"(,{"key":"servers/i-2","revision":9,"deleted":true}]})",
         R"({"lease":7,"ttl_ms":9000,"revision":11})"},
        {"\"has_more\":true", "\"entries\":", "\"events\":", "\"deleted\":"},
        [&](const std::string &Input) {
          F.Platform.ReplacedBody = Input;
          F.read();
          F.registerRouter();
          F.Platform.ReplacedBody.reset();
          // The first read may find that its position is none of the store's.
          const bool Follows = isOk(F.read()) || isOk(F.read());
          return Follows && F.readyUpstreams().size() == 5;
        }));
  }

  void repliesOfTheKeyValueService() {
    httplib::Server Service;
    std::string Reply;
    Service.set_pre_routing_handler([&](const auto &, auto &Response) {
      Response.set_content(Reply, "application/json");
      return httplib::Server::HandlerResponse::Handled;
    });
    Service.set_tcp_nodelay(true);
    const int Port = Service.bind_to_any_port("127.0.0.1");
    std::thread Thread([&] { Service.listen_after_bind(); });
    while (!Service.is_running())
      std::this_thread::yield();
    constexpr Milliseconds Timeout{1'000};
    EtcdStore Client({"127.0.0.1:" + std::to_string(Port)}, Timeout);
    const std::string Pair =
        R"({"key":"YQ==","value":"YWI=","mod_revision":"5"})";
    const std::string Failed =
        fuzz("key-value service",
             {R"({"header":{"revision":"7"},"count":"1","kvs":[)" + Pair + "]}",
              R"({"header":{"revision":"7"},"succeeded":true})",
              R"({"ID":"7","TTL":"9"})", R"({"result":{"ID":"7","TTL":"9"}})",
              R"({"result":{"events":[{"kv":)" + Pair + "}]}}\n"},
             {"\"kvs\":", "\"result\":", "\"events\":", "\"header\":"},
             [&](const std::string &Input) {
               Reply = Input;
               Client.read("a");
               Client.readPrefix("a");
               Client.commit({});
               Client.grantLease(std::chrono::seconds(9));
               Client.keepAlive(LeaseId(7));
               Client.waitForChange("a", Revision(4), Timeout);
               return true;
             });
    Service.stop();
    Thread.join();
    expectNone(Failed);
  }

private:
  /// Parses arrays within arrays in the binary format.
  static std::string
  nestedBytes(const std::function<bool(const std::string &)> &Parse) {
    for (const std::size_t Depth : {10, 100, 200'000}) {
      std::string Input(Depth, '\x91');
      if (!Parse(Input))
        return Input;
    }
    return {};
  }

  static void expectNone(const std::string &Failed) {
    CPPUNIT_ASSERT_EQUAL(std::string(), Failed.substr(0, 2'000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForeignBytesTest);
