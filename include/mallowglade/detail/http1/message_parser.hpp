#pragma once

#include <mallowglade/detail/http1/message.hpp>

#include <http_parser.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace mallowglade::http1 {

/// @brief Reason why a message was rejected.
enum class ParseError {
  None,
  /// The syntax is invalid or the framing is ambiguous.
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
  /// The connection ended before the message was complete.
  Truncated,
};

/// @brief Receives the parts of a message as they are parsed.
class MessageSink {
public:
  virtual ~MessageSink() = default;
  /// @brief Called when the head is complete.
  virtual void onHead() = 0;
  /// @brief Called with decoded bytes of the body, without chunk framing.
  virtual void onBody(std::string_view Data) = 0;
};

/// @brief Incremental HTTP/1 parser for one message at a time, based on
///   http_parser.
///
/// The head is buffered until it is complete and checked more strictly than
/// http_parser does: bare line feeds, bare carriage returns, folded lines, NUL
/// bytes and names of fields that are no tokens are rejected. This prevents
/// request smuggling through another parser that interprets the same bytes
/// differently.
class MessageParser {
public:
  /// @param Kind request or response
  /// @param MaxHeadBytes maximum size of the head
  /// @param Sink receives the parts; must outlive the parser
  MessageParser(http_parser_type Kind, std::size_t MaxHeadBytes,
                MessageSink &Sink);
  MessageParser(const MessageParser &) = delete;
  MessageParser &operator=(const MessageParser &) = delete;

  /// @brief Prepares the parser for the next message.
  /// @param SkipBody true if the response has no body regardless of its head,
  ///   as for a HEAD request
  void reset(bool SkipBody = false);
  /// @brief Parses bytes up to the end of the message.
  /// @return number of bytes consumed; all of them unless the message ended or
  ///   an error occurred
  std::size_t feed(std::string_view Data);
  /// @brief Signals the end of the connection.
  /// @return true if the message is complete
  bool feedEof();

  bool complete() const { return Complete; }
  bool headComplete() const { return HeadComplete; }
  /// @return true once a byte of the message was consumed
  bool started() const { return Started; }
  ParseError error() const { return Failure; }
  /// @return the parsed request head; valid after `onHead`
  RequestHead &request() { return Request; }
  /// @return the parsed response head; valid after `onHead`
  ResponseHead &response() { return Response; }

private:
  static const http_parser_settings &callbacks();
  static MessageParser &fromParser(http_parser *Parser);
  std::size_t collectHead(std::string_view Data);
  bool headIsWellFormed() const;
  bool fieldNamesAreTokens() const;
  bool framingIsUnambiguous() const;
  std::size_t execute(std::string_view Data);
  int finishHead();
  HeaderList &headers();

  http_parser_type Kind;
  std::size_t MaxHeadBytes;
  MessageSink &Sink;
  http_parser Parser{};
  std::string Head;
  RequestHead Request;
  ResponseHead Response;
  ParseError Failure = ParseError::None;
  bool SkipBody = false;
  bool Started = false;
  bool HeadComplete = false;
  bool Complete = false;
  bool LastCallbackWasValue = true;
};

} // namespace mallowglade::http1
