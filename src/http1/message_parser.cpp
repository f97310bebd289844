#include <mallowglade/detail/http1/message_parser.hpp>

#include <algorithm>

namespace mallowglade::http1 {

namespace {

constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view LineEnd = "\r\n";
/// Return values of the `on_headers_complete` callback of http_parser.
constexpr int SkipBodyResult = 1;
constexpr int ErrorResult = -1;

/// Characters of a token, RFC 9110 section 5.6.2.
bool isTokenCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9') ||
         std::string_view("!#$%&'*+-.^_`|~").find(C) != std::string_view::npos;
}

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
  LastCallbackWasValue = true;
}

std::size_t MessageParser::feed(std::string_view Data) {
  if (Data.empty() || Complete || Failure != ParseError::None)
    return 0;
  std::size_t Consumed = 0;
  if (!HeadComplete)
    Consumed = collectHead(Data);
  if (HeadComplete && !Complete && Failure == ParseError::None &&
      Consumed < Data.size())
    Consumed += execute(Data.substr(Consumed));
  return Consumed;
}

bool MessageParser::feedEof() {
  if (HeadComplete && !Complete && Failure == ParseError::None)
    http_parser_execute(&Parser, &callbacks(), nullptr, 0);
  if (!Complete && Failure == ParseError::None)
    Failure = ParseError::Truncated;
  return Complete;
}

std::size_t MessageParser::collectHead(std::string_view Data) {
  std::size_t Skipped = 0;
  if (!Started) {
    // RFC 9112 allows a server to ignore empty lines before a request line.
    while (Kind == HTTP_REQUEST && Data.substr(Skipped, 2) == "\r\n")
      Skipped += 2;
    if (Skipped == Data.size())
      return Skipped;
    Started = true;
  }
  const std::string_view Remaining = Data.substr(Skipped);
  const std::size_t PreviousSize = Head.size();
  Head.append(Remaining.substr(0, MaxHeadBytes + 1 -
                                      std::min(PreviousSize, MaxHeadBytes)));
  const std::size_t SearchStart =
      PreviousSize < HeadEnd.size() ? 0 : PreviousSize - (HeadEnd.size() - 1);
  const std::size_t End = Head.find(HeadEnd, SearchStart);
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
  if (!headIsWellFormed()) {
    Failure = ParseError::Malformed;
    return Data.size();
  }
  execute(Head);
  if (!HeadComplete && Failure == ParseError::None)
    Failure = ParseError::Malformed;
  return Skipped + (HeadBytes - PreviousSize);
}

bool MessageParser::fieldNamesAreTokens() const {
  std::string_view Lines = Head;
  for (std::size_t End = Lines.find(LineEnd); End != std::string_view::npos;
       End = Lines.find(LineEnd)) {
    Lines.remove_prefix(End + LineEnd.size());
    if (Lines == LineEnd)
      return true;
    const std::string_view Name = Lines.substr(0, Lines.find(':'));
    if (Name.empty() || Name.size() == Lines.size() ||
        !std::all_of(Name.begin(), Name.end(), isTokenCharacter))
      return false;
  }
  return true;
}

bool MessageParser::headIsWellFormed() const {
  if (!fieldNamesAreTokens())
    return false;
  for (std::size_t I = 0; I < Head.size(); ++I) {
    if (Head[I] == '\0')
      return false;
    if (Head[I] == '\n' && (I == 0 || Head[I - 1] != '\r'))
      return false;
    if (Head[I] == '\r' && (I + 1 == Head.size() || Head[I + 1] != '\n'))
      return false;
    const bool LineStart = I >= 2 && Head[I - 1] == '\n';
    if (LineStart && (Head[I] == ' ' || Head[I] == '\t'))
      return false;
  }
  return true;
}

std::size_t MessageParser::execute(std::string_view Data) {
  const std::size_t Consumed =
      http_parser_execute(&Parser, &callbacks(), Data.data(), Data.size());
  const http_errno Error = HTTP_PARSER_ERRNO(&Parser);
  if (Complete || Error == HPE_OK)
    return Consumed;
  if (Failure == ParseError::None)
    Failure = ParseError::Malformed;
  return Consumed;
}

HeaderList &MessageParser::headers() {
  return Kind == HTTP_REQUEST ? Request.Headers : Response.Headers;
}

MessageParser &MessageParser::fromParser(http_parser *Parser) {
  return *static_cast<MessageParser *>(Parser->data);
}

bool MessageParser::framingIsUnambiguous() const {
  const std::string *TransferEncoding =
      Request.Headers.find("transfer-encoding");
  if (TransferEncoding == nullptr)
    return Request.Headers.count("content-length") <= 1;
  return equalsIgnoreCase(*TransferEncoding, "chunked") &&
         Request.Headers.count("transfer-encoding") == 1 &&
         Request.Headers.count("content-length") == 0;
}

int MessageParser::finishHead() {
  for (HeaderField &Field : headers().fields())
    Field.Value.erase(Field.Value.find_last_not_of(" \t") + 1);
  if (Kind == HTTP_REQUEST && !framingIsUnambiguous()) {
    Failure = ParseError::Malformed;
    return ErrorResult;
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
    http_parser_settings Callbacks;
    http_parser_settings_init(&Callbacks);
    Callbacks.on_url = [](http_parser *Parser, const char *Text,
                          std::size_t Size) {
      fromParser(Parser).Request.Target.append(Text, Size);
      return 0;
    };
    Callbacks.on_status = [](http_parser *Parser, const char *Text,
                             std::size_t Size) {
      fromParser(Parser).Response.Reason.append(Text, Size);
      return 0;
    };
    Callbacks.on_header_field = [](http_parser *Parser, const char *Text,
                                   std::size_t Size) {
      MessageParser &Self = fromParser(Parser);
      if (Self.HeadComplete)
        return 0; // Trailer fields are discarded.
      if (Self.LastCallbackWasValue)
        Self.headers().add({}, {});
      Self.LastCallbackWasValue = false;
      Self.headers().fields().back().Name.append(Text, Size);
      return 0;
    };
    Callbacks.on_header_value = [](http_parser *Parser, const char *Text,
                                   std::size_t Size) {
      MessageParser &Self = fromParser(Parser);
      if (Self.HeadComplete)
        return 0;
      Self.LastCallbackWasValue = true;
      Self.headers().fields().back().Value.append(Text, Size);
      return 0;
    };
    Callbacks.on_headers_complete = [](http_parser *Parser) {
      return fromParser(Parser).finishHead();
    };
    Callbacks.on_body = [](http_parser *Parser, const char *Text,
                           std::size_t Size) {
      fromParser(Parser).Sink.onBody({Text, Size});
      return 0;
    };
    Callbacks.on_message_complete = [](http_parser *Parser) {
      fromParser(Parser).Complete = true;
      // Stops the parser, as the remaining bytes belong to the next message.
      http_parser_pause(Parser, 1);
      return 0;
    };
    return Callbacks;
  }();
  return Settings;
}

} // namespace mallowglade::http1
