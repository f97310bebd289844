#include <mallowglade/detail/http1/message_parser.hpp>

namespace mallowglade::http1 {

namespace {

constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr int SkipBodyResult = 1;
constexpr int RejectResult = -1;

} // namespace

MessageParser::MessageParser(http_parser_type Kind, std::size_t MaxHeadBytes,
                             MessageSink &Sink)
    : Kind(Kind), MaxHeadBytes(MaxHeadBytes), Sink(Sink) {
  reset();
}

void MessageParser::reset(bool NoBody) {
  http_parser_init(&Parser, Kind);
  Parser.data = this;
  SkipBody = NoBody;
  Head.clear();
  Request = RequestHead();
  Response = ResponseHead();
  Failure = ParseError::None;
  Started = HeadComplete = Complete = false;
  LastWasValue = true;
}

std::size_t MessageParser::feed(std::string_view Data) {
  if (Data.empty() || Complete || Failure != ParseError::None)
    return 0;
  std::size_t Taken = 0;
  if (!HeadComplete)
    Taken = collectHead(Data);
  if (HeadComplete && !Complete && Failure == ParseError::None &&
      Taken < Data.size())
    Taken += execute(Data.substr(Taken));
  return Taken;
}

bool MessageParser::feedEnd() {
  if (HeadComplete && !Complete && Failure == ParseError::None)
    http_parser_execute(&Parser, &callbacks(), nullptr, 0);
  if (!Complete && Failure == ParseError::None)
    Failure = ParseError::Truncated;
  return Complete;
}

std::size_t MessageParser::collectHead(std::string_view Data) {
  std::size_t Skipped = 0;
  if (!Started) {
    // RFC 9112 lets a server ignore empty lines before a request line.
    while (Kind == HTTP_REQUEST && Data.substr(Skipped, 2) == "\r\n")
      Skipped += 2;
    if (Skipped == Data.size())
      return Skipped;
    Started = true;
  }
  const std::string_view Rest = Data.substr(Skipped);
  const std::size_t Known = Head.size();
  Head.append(Rest.substr(0, MaxHeadBytes + 1 - std::min(Known, MaxHeadBytes)));
  const std::size_t From =
      Known < HeadEnd.size() ? 0 : Known - (HeadEnd.size() - 1);
  const std::size_t End = Head.find(HeadEnd, From);
  if (End == std::string::npos) {
    if (Head.size() > MaxHeadBytes)
      Failure = ParseError::HeaderTooLarge;
    return Data.size();
  }
  const std::size_t HeadBytes = End + HeadEnd.size();
  if (HeadBytes > MaxHeadBytes) {
    Failure = ParseError::HeaderTooLarge;
    return Data.size();
  }
  Head.resize(HeadBytes);
  if (!headIsStrict()) {
    Failure = ParseError::Malformed;
    return Data.size();
  }
  execute(Head);
  if (!HeadComplete && Failure == ParseError::None)
    Failure = ParseError::Malformed;
  return Skipped + (HeadBytes - Known);
}

bool MessageParser::headIsStrict() const {
  for (std::size_t At = 0; At < Head.size(); ++At) {
    if (Head[At] == '\0')
      return false;
    if (Head[At] == '\n' && (At == 0 || Head[At - 1] != '\r'))
      return false;
    if (Head[At] == '\r' && (At + 1 == Head.size() || Head[At + 1] != '\n'))
      return false;
    const bool LineStart = At >= 2 && Head[At - 1] == '\n';
    if (LineStart && (Head[At] == ' ' || Head[At] == '\t'))
      return false;
  }
  return true;
}

std::size_t MessageParser::execute(std::string_view Data) {
  const std::size_t Taken =
      http_parser_execute(&Parser, &callbacks(), Data.data(), Data.size());
  const http_errno Error = HTTP_PARSER_ERRNO(&Parser);
  if (Complete || Error == HPE_OK)
    return Taken;
  if (Failure == ParseError::None)
    Failure = ParseError::Malformed;
  return Taken;
}

HeaderList &MessageParser::headers() {
  return Kind == HTTP_REQUEST ? Request.Headers : Response.Headers;
}

MessageParser &MessageParser::self(http_parser *Parser) {
  return *static_cast<MessageParser *>(Parser->data);
}

bool MessageParser::framingIsPlain() const {
  const std::string *Coding = Request.Headers.find("transfer-encoding");
  if (Coding == nullptr)
    return Request.Headers.count("content-length") <= 1;
  return equalsIgnoreCase(*Coding, "chunked") &&
         Request.Headers.count("transfer-encoding") == 1 &&
         Request.Headers.count("content-length") == 0;
}

int MessageParser::finishHead() {
  if (Kind == HTTP_REQUEST && !framingIsPlain()) {
    Failure = ParseError::Malformed;
    return RejectResult;
  }
  HeadComplete = true;
  if (Kind == HTTP_REQUEST) {
    Request.Method = http_method_str(static_cast<http_method>(Parser.method));
    Request.KeepAlive = http_should_keep_alive(&Parser) != 0;
    Request.MinorVersion = Parser.http_minor;
    const std::string *Expect = Request.Headers.find("expect");
    Request.ExpectsContinue =
        Expect != nullptr && equalsIgnoreCase(*Expect, "100-continue");
    Sink.onHead();
    return 0;
  }
  Response.Status = Parser.status_code;
  const bool Informational = Response.Status < 200;
  const bool NoBody = SkipBody || Informational || Response.Status == 204 ||
                      Response.Status == 304;
  if (NoBody)
    Response.Framing = BodyFraming::None;
  else if (Response.Headers.find("transfer-encoding") != nullptr)
    Response.Framing = BodyFraming::Chunked;
  else if (Response.Headers.find("content-length") != nullptr)
    Response.Framing = BodyFraming::Length;
  else
    Response.Framing = BodyFraming::UntilClose;
  if (Response.Framing == BodyFraming::Length)
    Response.Length = Parser.content_length;
  Response.KeepAlive = http_should_keep_alive(&Parser) != 0;
  Sink.onHead();
  return SkipBody ? SkipBodyResult : 0;
}

const http_parser_settings &MessageParser::callbacks() {
  static const http_parser_settings Settings = [] {
    http_parser_settings All;
    http_parser_settings_init(&All);
    All.on_url = [](http_parser *Parser, const char *At, std::size_t Size) {
      self(Parser).Request.Target.append(At, Size);
      return 0;
    };
    All.on_status = [](http_parser *Parser, const char *At, std::size_t Size) {
      self(Parser).Response.Reason.append(At, Size);
      return 0;
    };
    All.on_header_field = [](http_parser *Parser, const char *At,
                             std::size_t Size) {
      MessageParser &Self = self(Parser);
      if (Self.HeadComplete)
        return 0; // Trailers are dropped.
      if (Self.LastWasValue)
        Self.headers().add({}, {});
      Self.LastWasValue = false;
      Self.headers().fields().back().Name.append(At, Size);
      return 0;
    };
    All.on_header_value = [](http_parser *Parser, const char *At,
                             std::size_t Size) {
      MessageParser &Self = self(Parser);
      if (Self.HeadComplete)
        return 0;
      Self.LastWasValue = true;
      Self.headers().fields().back().Value.append(At, Size);
      return 0;
    };
    All.on_headers_complete = [](http_parser *Parser) {
      return self(Parser).finishHead();
    };
    All.on_body = [](http_parser *Parser, const char *At, std::size_t Size) {
      self(Parser).Sink.onBody({At, Size});
      return 0;
    };
    All.on_message_complete = [](http_parser *Parser) {
      self(Parser).Complete = true;
      // The bytes that follow belong to the next message.
      http_parser_pause(Parser, 1);
      return 0;
    };
    return All;
  }();
  return Settings;
}

} // namespace mallowglade::http1
