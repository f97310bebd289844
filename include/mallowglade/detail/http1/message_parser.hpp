#pragma once

#include <mallowglade/detail/http1/message.hpp>

#include <http_parser.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace mallowglade::http1 {

/// @brief Why a message cannot be accepted.
enum class ParseError {
  None,
  /// Not a well-formed message, or one whose framing is ambiguous.
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
  /// The connection ended within the message.
  Truncated,
};

/// @brief Receives the parts of one message.
class MessageSink {
public:
  virtual ~MessageSink() = default;
  /// @brief The head is complete.
  virtual void onHead() = 0;
  /// @brief Bytes of the body, without their framing.
  virtual void onBody(std::string_view Data) = 0;
};

/// @brief Parses one HTTP/1 message at a time, on top of http_parser.
///
/// The head is collected first and checked more strictly than the library
/// does: bare line feeds, folded lines and NUL bytes are rejected, so that no
/// other parser can see a different message in the same bytes.
class MessageParser {
public:
  /// @param Kind request or response
  /// @param MaxHeadBytes largest accepted head
  /// @param Sink receives the parts; outlives the parser
  MessageParser(http_parser_type Kind, std::size_t MaxHeadBytes,
                MessageSink &Sink);
  MessageParser(const MessageParser &) = delete;
  MessageParser &operator=(const MessageParser &) = delete;

  /// @brief Prepares for the next message.
  /// @param SkipBody true if a response has no body whatever its head says
  void reset(bool SkipBody = false);
  /// @brief Takes bytes up to the end of the message.
  /// @return number of bytes taken; all of them unless the message ended or
  ///   an error occurred
  std::size_t feed(std::string_view Data);
  /// @brief Tells the parser that the connection ended.
  /// @return true if that completes the message
  bool feedEnd();

  bool complete() const { return Complete; }
  bool headComplete() const { return HeadComplete; }
  /// @return true once any byte of the message was taken
  bool started() const { return Started; }
  ParseError error() const { return Failure; }
  /// @return the parsed request head; valid after `onHead`
  RequestHead &request() { return Request; }
  /// @return the parsed response head; valid after `onHead`
  ResponseHead &response() { return Response; }

private:
  static const http_parser_settings &callbacks();
  static MessageParser &self(http_parser *Parser);
  std::size_t collectHead(std::string_view Data);
  bool headIsStrict() const;
  bool framingIsPlain() const;
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
  bool LastWasValue = true;
};

} // namespace mallowglade::http1
