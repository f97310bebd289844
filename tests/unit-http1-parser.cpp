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

struct Parsed {
  ParseError Failure = ParseError::None;
  bool Complete = false;
  int Heads = 0;
  std::string Body;
  std::size_t Taken = 0;
};

/// Feeds bytes in pieces of the given sizes, the rest at once.
Parsed parse(http_parser_type Kind, std::string_view Bytes,
             const std::vector<std::uint8_t> &Sizes = {}) {
  Collector Sink;
  MessageParser Parser(Kind, MaxHeadBytes, Sink);
  Parsed Result;
  std::size_t Piece = 0;
  while (Result.Taken < Bytes.size()) {
    std::size_t Size = Bytes.size() - Result.Taken;
    if (Piece < Sizes.size())
      Size = std::min<std::size_t>(Size, Sizes[Piece++] % 7 + 1);
    const std::size_t Taken = Parser.feed(Bytes.substr(Result.Taken, Size));
    Result.Taken += Taken;
    if (Taken < Size || Parser.complete() || Parser.error() != ParseError::None)
      break;
  }
  Result.Failure = Parser.error();
  Result.Complete = Parser.complete();
  Result.Heads = Sink.Heads;
  Result.Body = Sink.Body;
  return Result;
}

bool rejected(std::string_view Bytes) {
  const Parsed Result = parse(HTTP_REQUEST, Bytes);
  return Result.Failure != ParseError::None && Result.Heads == 0;
}

} // namespace

class Http1ParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(Http1ParserTest);
  CPPUNIT_TEST(ambiguousFramingIsRejected);
  CPPUNIT_TEST(lenientLineEndsAreRejected);
  CPPUNIT_TEST(nextRequestIsLeftAlone);
  CPPUNIT_TEST(messagesParseAlikeInAnyPieces);
  CPPUNIT_TEST(oversizedHeadIsRejected);
  CPPUNIT_TEST(resetConnectionDoesNotCompleteAnAnswer);
  CPPUNIT_TEST(answerWithoutLengthEndsWithTheConnection);
  CPPUNIT_TEST(hopByHopFieldsIncludeThoseNamedInConnection);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against request smuggling by two ways to find the body's end.
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

  // Guards against another parser seeing other lines in the same head.
  void lenientLineEndsAreRejected() {
    CPPUNIT_ASSERT(rejected("GET / HTTP/1.1\nHost: a\r\n\r\n"));
    CPPUNIT_ASSERT(rejected("GET / HTTP/1.1\r\nA: b\r\n c: d\r\n\r\n"));
    CPPUNIT_ASSERT(rejected("GET / HTTP/1.1\r\nA: b\rc\r\n\r\n"));
    CPPUNIT_ASSERT(
        rejected(std::string_view("GET / HTTP/1.1\r\nA: b\0c\r\n\r\n", 26)));
  }

  // Guards against bytes of the next request counted to this one's body.
  void nextRequestIsLeftAlone() {
    const std::string First =
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi";
    const Parsed Result =
        parse(HTTP_REQUEST, First + "GET /b HTTP/1.1\r\nHost: a\r\n\r\n");
    CPPUNIT_ASSERT(Result.Complete);
    CPPUNIT_ASSERT_EQUAL(First.size(), Result.Taken);
    CPPUNIT_ASSERT_EQUAL(std::string("hi"), Result.Body);
  }

  // Guards against a message that parses otherwise when the network splits it.
  void messagesParseAlikeInAnyPieces() {
    const bool Holds = rc::check([](const std::vector<std::uint8_t> &Sizes) {
      const std::string Chunked =
          "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
          "5\r\nhello\r\n3\r\nyou\r\n0\r\n\r\n";
      const Parsed Result = parse(HTTP_REQUEST, Chunked, Sizes);
      RC_ASSERT(Result.Complete);
      RC_ASSERT(Result.Heads == 1);
      RC_ASSERT(Result.Body == "helloyou");
      RC_ASSERT(Result.Taken == Chunked.size());
    });
    CPPUNIT_ASSERT(Holds);
  }

  // Guards against memory taken by a head that never ends.
  void oversizedHeadIsRejected() {
    const std::string Long(2 * MaxHeadBytes, 'x');
    const Parsed Result =
        parse(HTTP_REQUEST, "GET / HTTP/1.1\r\nA: " + Long + "\r\n\r\n");
    CPPUNIT_ASSERT(Result.Failure == ParseError::HeaderTooLarge);
  }

  // Guards against a truncated answer that looks complete.
  void resetConnectionDoesNotCompleteAnAnswer() {
    Collector Sink;
    MessageParser Parser(HTTP_RESPONSE, MaxHeadBytes, Sink);
    Parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel");
    CPPUNIT_ASSERT(!Parser.feedEnd());
    CPPUNIT_ASSERT(Parser.error() == ParseError::Truncated);
  }

  // Guards against refusing a valid answer that ends with its connection.
  void answerWithoutLengthEndsWithTheConnection() {
    Collector Sink;
    MessageParser Parser(HTTP_RESPONSE, MaxHeadBytes, Sink);
    Parser.feed("HTTP/1.1 200 OK\r\n\r\nhello");
    CPPUNIT_ASSERT(!Parser.complete());
    CPPUNIT_ASSERT(Parser.response().Framing == BodyFraming::UntilClose);
    CPPUNIT_ASSERT(Parser.feedEnd());
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), Sink.Body);
  }

  // Guards against passing on a field that the sender meant for one hop.
  void hopByHopFieldsIncludeThoseNamedInConnection() {
    HeaderList Headers;
    Headers.add("Connection", "close, X-Local");
    CPPUNIT_ASSERT(isHopByHop("x-local", Headers));
    CPPUNIT_ASSERT(isHopByHop("Transfer-Encoding", Headers));
    CPPUNIT_ASSERT(!isHopByHop("X-Other", Headers));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(Http1ParserTest);
