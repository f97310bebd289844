#include <mallowglade/dataplane.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

using namespace mallowglade;
using namespace mallowglade::dataplane;
using http1::BodyFraming;

namespace {

/// How a connection ends.
enum class End { Orderly, Reset };

/// A response as an upstream sends it.
struct Script {
  BodyFraming Framing = BodyFraming::Length;
  bool StreamingRoute = false;
  bool EventStream = false;
  bool Signed = true;
  bool NotExecuted = false;
  unsigned Status = 200;
  std::string Body;
};

/// Parses the response with the parser that the connections use, and passes it
/// to a reader, as `UpstreamConnection` and `RequestRun` do.
class Receiver final : public http1::MessageSink {
public:
  explicit Receiver(const Script &Sent) : Reader(Sent.StreamingRoute) {
    Metadata.Signed = Sent.Signed;
    Metadata.NotExecuted = Sent.NotExecuted;
  }
  void onHead() override {
    note(Reader.begin(Parser.response(), Metadata, false));
  }
  void onBody(std::string_view Data) override {
    if (Failed)
      return;
    note(Reader.receive(Data));
    PassedOn += Reader.takeRelayable();
  }
  void feed(std::string_view Bytes) {
    Parser.feed(Bytes);
    Failed |= Parser.error() != http1::ParseError::None;
  }
  /// @return true if the response counts as complete
  bool finish(End How) {
    const bool UntilClose =
        Parser.headComplete() &&
        Parser.response().Framing == BodyFraming::UntilClose;
    const bool Complete = Parser.complete() || (How == End::Orderly &&
                                                UntilClose && Parser.feedEof());
    if (Failed || !Complete ||
        Reader.handling() == ResponseReader::Handling::Discard)
      return false;
    note(Reader.end());
    PassedOn += Reader.takeRelayable();
    if (!Failed && !Reader.relaysBody())
      PassedOn = Reader.bufferedBody();
    return !Failed;
  }

  std::string PassedOn;

private:
  void note(ResponseFault Fault) { Failed |= Fault != ResponseFault::None; }

  static constexpr std::size_t MaxHeadBytes = 16'384;
  ResponseReader Reader;
  ResponseMetadata Metadata;
  bool Failed = false;
  http1::MessageParser Parser{HTTP_RESPONSE, MaxHeadBytes, *this};
};

std::string serialize(const Script &Sent,
                      const std::vector<std::size_t> &Cuts) {
  std::string Message =
      "HTTP/1.1 " + std::to_string(Sent.Status) + " Status\r\n";
  if (Sent.EventStream)
    Message += "Content-Type: text/event-stream\r\n";
  else
    Message += "Content-Type: application/json\r\n";
  if (Sent.Framing == BodyFraming::Length)
    Message += "Content-Length: " + std::to_string(Sent.Body.size()) + "\r\n";
  if (Sent.Framing != BodyFraming::Chunked)
    return Message + "\r\n" + Sent.Body;
  Message += "Transfer-Encoding: chunked\r\n\r\n";
  std::string_view Rest = Sent.Body;
  for (std::size_t Index = 0; !Rest.empty(); ++Index) {
    const std::size_t Size = std::min(
        Rest.size(), Cuts.empty() ? Rest.size() : Cuts[Index % Cuts.size()]);
    char Length[32];
    std::snprintf(Length, sizeof(Length), "%zx\r\n", Size);
    Message.append(Length).append(Rest.substr(0, Size)).append("\r\n");
    Rest.remove_prefix(Size);
  }
  return Message + "0\r\n\r\n";
}

/// Bodies of streams consist of events, others of arbitrary text.
std::string makeBody(bool EventStream, const std::vector<std::string> &Parts,
                     bool CarriageReturns) {
  const std::string LineEnd = CarriageReturns ? "\r\n" : "\n";
  std::string Body;
  for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
    if (!EventStream) {
      Body += Parts[Index];
      continue;
    }
    Body.append("id: ").append(std::to_string(Index + 1)).append(LineEnd);
    Body.append("data: ").append(Parts[Index]).append(LineEnd);
    Body += LineEnd;
  }
  return Body;
}

rc::Gen<std::string> text() {
  return rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
}

} // namespace

class ResponseReaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResponseReaderTest);
  CPPUNIT_TEST(brokenResponsesAreNeverWhole);
  CPPUNIT_TEST(largeResponsesAreRelayed);
  CPPUNIT_TEST(onlyBodiesWithoutALengthAreBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a response that counts as whole though its upstream had not
  // sent all of it, wherever it ends and however the network splits it. A body
  // without a frame that ends in an orderly way is whole by definition, unless
  // it is a stream that ends inside an event or before the first one.
  void brokenResponsesAreNeverWhole() {
    const bool Passed = rc::check([] {
      Script Sent;
      Sent.Framing = *rc::gen::element(
          BodyFraming::Length, BodyFraming::Chunked, BodyFraming::UntilClose);
      Sent.StreamingRoute = *rc::gen::arbitrary<bool>();
      Sent.EventStream = Sent.StreamingRoute && *rc::gen::arbitrary<bool>();
      Sent.Signed = *rc::gen::weightedElement<bool>({{9, true}, {1, false}});
      Sent.NotExecuted =
          *rc::gen::weightedElement<bool>({{9, false}, {1, true}});
      Sent.Status = *rc::gen::element(200U, 200U, 404U, 500U, 503U);
      const bool CarriageReturns = *rc::gen::arbitrary<bool>();
      Sent.Body =
          makeBody(Sent.EventStream,
                   *rc::gen::container<std::vector<std::string>>(text()),
                   CarriageReturns);
      const std::string Bytes =
          serialize(Sent, *rc::gen::container<std::vector<std::size_t>>(
                              rc::gen::inRange<std::size_t>(1, 40)));
      const auto Pieces = *rc::gen::container<std::vector<std::size_t>>(
          rc::gen::inRange<std::size_t>(1, 60));
      const bool Relayed = Sent.EventStream && Sent.Status == 200;
      const std::size_t HeadBytes = Bytes.find("\r\n\r\n") + 4;
      const std::string EventEnd = CarriageReturns ? "\r\n\r\n" : "\n\n";
      for (std::size_t Offset = 0; Offset <= Bytes.size(); ++Offset)
        for (const End How : {End::Orderly, End::Reset}) {
          Receiver Target(Sent);
          std::string_view Rest = std::string_view(Bytes).substr(0, Offset);
          for (std::size_t Index = 0; !Rest.empty(); ++Index) {
            const std::size_t Size = std::min(
                Rest.size(),
                Pieces.empty() ? Rest.size() : Pieces[Index % Pieces.size()]);
            Target.feed(Rest.substr(0, Size));
            Rest.remove_prefix(Size);
          }
          const bool Whole = Target.finish(How);
          const std::string &Got = Target.PassedOn;
          RC_ASSERT(Sent.Body.starts_with(Got));
          RC_ASSERT(!Relayed || Got.empty() || Got.ends_with(EventEnd));
          // A 503 promises that the request has not run; only the upstream's
          // statement proves it.
          if (Sent.NotExecuted || Sent.Status == 503 ||
              (!Sent.Signed && Sent.Status == 200)) {
            RC_ASSERT(!Whole);
            RC_ASSERT(Got.empty());
            continue;
          }
          const bool AllSent = Offset == Bytes.size();
          if (Sent.Framing != BodyFraming::UntilClose) {
            RC_ASSERT(Whole == AllSent);
            RC_ASSERT(!Whole || Got == Sent.Body);
            continue;
          }
          if (How == End::Reset || Offset < HeadBytes) {
            RC_ASSERT(!Whole);
            continue;
          }
          const std::string Arrived =
              Bytes.substr(HeadBytes, Offset - HeadBytes);
          RC_ASSERT(Whole == (!Relayed || Arrived.ends_with(EventEnd)));
          RC_ASSERT(!Whole || Got == Arrived);
        }
    });
    CPPUNIT_ASSERT(Passed);
  }

  // Guards against buffering a response of any size.
  void largeResponsesAreRelayed() {
    for (const unsigned Status : {200U, 500U}) {
      Script Sent;
      Sent.Status = Status;
      Sent.Body.assign(2 * ResponseReader::MaxBufferedBytes, 'x');
      Receiver Target(Sent);
      const std::string Bytes = serialize(Sent, {});
      Target.feed(std::string_view(Bytes).substr(0, Bytes.size() - 1));
      CPPUNIT_ASSERT_EQUAL(Sent.Body.size() - 1, Target.PassedOn.size());
      CPPUNIT_ASSERT(!Target.finish(End::Orderly));
    }
  }

  // Guards against a body without end, and against cutting a large one whose
  // end is known.
  void onlyBodiesWithoutALengthAreBounded() {
    const std::string Piece(std::size_t(1) << 20U, 'x');
    for (const BodyFraming Framing :
         {BodyFraming::Length, BodyFraming::Chunked, BodyFraming::UntilClose}) {
      http1::ResponseHead Head;
      Head.Status = 200;
      Head.Framing = Framing;
      ResponseMetadata Metadata;
      Metadata.Signed = true;
      ResponseReader Reader(false);
      CPPUNIT_ASSERT(Reader.begin(Head, Metadata, false) ==
                     ResponseFault::None);
      ResponseFault Fault = ResponseFault::None;
      std::uint64_t Passed = 0;
      while (Fault == ResponseFault::None &&
             Passed <= 2 * ResponseReader::MaxBodyBytes) {
        Fault = Reader.receive(Piece);
        Passed += Reader.takeRelayable().size();
      }
      CPPUNIT_ASSERT((Fault == ResponseFault::TooLarge) ==
                     (Framing != BodyFraming::Length));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResponseReaderTest);
