#include <mallowglade/http1.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

using namespace mallowglade::http1;

namespace {

constexpr std::size_t MaxHeadBytes = 4'096;

class Collector final : public MessageSink {
public:
  void onHead() override { ++Heads; }
  void onBody(std::string_view Data) override { Body.append(Data); }

  int Heads = 0;
  std::string Body;
};

struct ParseOutcome {
  ParseError Failure = ParseError::None;
  bool Complete = false;
  int Heads = 0;
  std::string Body;
  std::size_t Consumed = 0;
};

/// Feeds the first bytes in pieces of 1 to 7 bytes, derived from `Sizes`, and
/// the rest in one piece.
ParseOutcome parse(http_parser_type Kind, std::string_view Bytes,
                   const std::vector<std::uint8_t> &Sizes = {}) {
  Collector Sink;
  MessageParser Parser(Kind, MaxHeadBytes, Sink);
  ParseOutcome Result;
  std::size_t PieceIndex = 0;
  while (Result.Consumed < Bytes.size()) {
    std::size_t Size = Bytes.size() - Result.Consumed;
    if (PieceIndex < Sizes.size())
      Size = std::min<std::size_t>(Size, Sizes[PieceIndex++] % 7 + 1);
    const std::size_t Consumed =
        Parser.feed(Bytes.substr(Result.Consumed, Size));
    Result.Consumed += Consumed;
    if (Consumed < Size || Parser.complete() ||
        Parser.error() != ParseError::None)
      break;
  }
  Result.Failure = Parser.error();
  Result.Complete = Parser.complete();
  Result.Heads = Sink.Heads;
  Result.Body = Sink.Body;
  return Result;
}

bool rejected(std::string_view Bytes) {
  const ParseOutcome Result = parse(HTTP_REQUEST, Bytes);
  return Result.Failure != ParseError::None && Result.Heads == 0;
}

} // namespace

class Http1ParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(Http1ParserTest);
  CPPUNIT_TEST(ambiguousFramingIsRejected);
  CPPUNIT_TEST(invalidLineEndsAreRejected);
  CPPUNIT_TEST(pipelinedRequestIsNotConsumed);
  CPPUNIT_TEST(resultDoesNotDependOnReadBoundaries);
  CPPUNIT_TEST(oversizedHeadIsRejected);
  CPPUNIT_TEST(endOfConnectionDoesNotCompleteAResponse);
  CPPUNIT_TEST(responseWithoutLengthEndsWithTheConnection);
  CPPUNIT_TEST(hopByHopFieldsIncludeThoseNamedInConnection);
  CPPUNIT_TEST(fieldNamesAreTokens);
  CPPUNIT_TEST(spaceAroundAFieldValueIsNoPartOfIt);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against request smuggling: with conflicting length headers, two
  // servers can disagree on where the body ends.
  void ambiguousFramingIsRejected() {
    CPPUNIT_ASSERT(
        rejected("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                 "Transfer-Encoding: chunked\r\n\r\nabc"));
    CPPUNIT_ASSERT(
        rejected("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                 "Content-Length: 4\r\n\r\nabcd"));
    CPPUNIT_ASSERT(rejected("POST / HTTP/1.1\r\nHost: a\r\n"
                            "Transfer-Encoding: chunked, identity\r\n\r\n"));
  }

  // Guards against request smuggling: other parsers may split such a head into
  // different lines.
  void invalidLineEndsAreRejected() {
    CPPUNIT_ASSERT(rejected("GET / HTTP/1.1\nHost: a\r\n\r\n"));
    CPPUNIT_ASSERT(rejected("GET / HTTP/1.1\r\nA: b\r\n c: d\r\n\r\n"));
    CPPUNIT_ASSERT(rejected("GET / HTTP/1.1\r\nA: b\rc\r\n\r\n"));
    CPPUNIT_ASSERT(
        rejected(std::string_view("GET / HTTP/1.1\r\nA: b\0c\r\n\r\n", 26)));
  }

  // Guards against counting bytes of a pipelined request as part of the body.
  void pipelinedRequestIsNotConsumed() {
    const std::string First =
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi";
    const ParseOutcome Result =
        parse(HTTP_REQUEST, First + "GET /b HTTP/1.1\r\nHost: a\r\n\r\n");
    CPPUNIT_ASSERT(Result.Complete);
    CPPUNIT_ASSERT_EQUAL(First.size(), Result.Consumed);
    CPPUNIT_ASSERT_EQUAL(std::string("hi"), Result.Body);
  }

  // Guards against a parse result that depends on how the network splits the
  // message.
  void resultDoesNotDependOnReadBoundaries() {
    const bool Passed = rc::check([](const std::vector<std::uint8_t> &Sizes) {
      const std::string Chunked =
          "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
          "5\r\nhello\r\n3\r\nyou\r\n0\r\n\r\n";
      const ParseOutcome Result = parse(HTTP_REQUEST, Chunked, Sizes);
      RC_ASSERT(Result.Complete);
      RC_ASSERT(Result.Heads == 1);
      RC_ASSERT(Result.Body == "helloyou");
      RC_ASSERT(Result.Consumed == Chunked.size());
    });
    CPPUNIT_ASSERT(Passed);
  }

  // Guards against unbounded memory use by a head that never ends.
  void oversizedHeadIsRejected() {
    const std::string Long(2 * MaxHeadBytes, 'x');
    const ParseOutcome Result =
        parse(HTTP_REQUEST, "GET / HTTP/1.1\r\nA: " + Long + "\r\n\r\n");
    CPPUNIT_ASSERT(Result.Failure == ParseError::HeaderTooLarge);
  }

  // Guards against accepting a truncated response as complete.
  void endOfConnectionDoesNotCompleteAResponse() {
    Collector Sink;
    MessageParser Parser(HTTP_RESPONSE, MaxHeadBytes, Sink);
    Parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel");
    CPPUNIT_ASSERT(!Parser.feedEof());
    CPPUNIT_ASSERT(Parser.error() == ParseError::Truncated);
  }

  // Guards against rejecting a valid response that is delimited by the end of
  // the connection.
  void responseWithoutLengthEndsWithTheConnection() {
    Collector Sink;
    MessageParser Parser(HTTP_RESPONSE, MaxHeadBytes, Sink);
    Parser.feed("HTTP/1.1 200 OK\r\n\r\nhello");
    CPPUNIT_ASSERT(!Parser.complete());
    CPPUNIT_ASSERT(Parser.response().Framing == BodyFraming::UntilClose);
    CPPUNIT_ASSERT(Parser.feedEof());
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), Sink.Body);
  }

  // Guards against forwarding a field that the sender declared hop-by-hop.
  void hopByHopFieldsIncludeThoseNamedInConnection() {
    HeaderList Headers;
    Headers.add("Connection", "close, X-Local");
    CPPUNIT_ASSERT(isHopByHop("x-local", Headers));
    CPPUNIT_ASSERT(isHopByHop("Transfer-Encoding", Headers));
    CPPUNIT_ASSERT(!isHopByHop("X-Other", Headers));
  }

  // Guards against request smuggling: other parsers take a name with a space
  // before the colon for another field, or ignore it.
  void fieldNamesAreTokens() {
    for (const char *Field :
         {"Transfer-Encoding : chunked", "Content-Length\t: 3", " A: b",
          "A b: c", "A(b): c", ": c", "A\xc3: c"})
      CPPUNIT_ASSERT_MESSAGE(Field,
                             rejected("POST / HTTP/1.1\r\nHost: a\r\n" +
                                      std::string(Field) + "\r\n\r\nabc"));
    const ParseOutcome Response = parse(
        HTTP_RESPONSE, "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nabc");
    CPPUNIT_ASSERT(Response.Failure == ParseError::Malformed);
  }

  // Guards against an id that is not recognised in the response, as the space
  // after it was taken for a part of it.
  void spaceAroundAFieldValueIsNoPartOfIt() {
    Collector Sink;
    MessageParser Parser(HTTP_REQUEST, MaxHeadBytes, Sink);
    Parser.feed("GET / HTTP/1.1\r\nId: \t 7 8 \t \r\nEmpty:  \r\n\r\n");
    CPPUNIT_ASSERT(Parser.complete());
    const HeaderList &Fields = Parser.request().Headers;
    CPPUNIT_ASSERT_EQUAL(std::string("7 8"), *Fields.find("id"));
    CPPUNIT_ASSERT_EQUAL(std::string(), *Fields.find("empty"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(Http1ParserTest);
