#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mallowglade::http1 {

/// @brief Header field; the name keeps the case used by the sender.
struct HeaderField {
  std::string Name;
  std::string Value;
};

/// @brief Header fields of a message in order of arrival.
class HeaderList {
public:
  /// @brief Appends a field.
  void add(std::string Name, std::string Value);
  /// @brief Finds the first field of a name, compared case-insensitively.
  /// @return the value, or null
  const std::string *find(std::string_view Name) const;
  /// @return number of fields of a name, compared case-insensitively
  std::size_t count(std::string_view Name) const;
  /// @return all fields
  const std::vector<HeaderField> &fields() const { return Fields; }
  /// @return all fields; mutable for the parser
  std::vector<HeaderField> &fields() { return Fields; }

private:
  std::vector<HeaderField> Fields;
};

/// @brief Start line and header fields of a request.
struct RequestHead {
  std::string Method;
  /// Request target as sent, including the query.
  std::string Target;
  HeaderList Headers;
  bool KeepAlive = true;
  /// True if the client waits for `100 Continue` before it sends the body.
  bool ExpectsContinue = false;
  /// Minor version of the HTTP/1.x protocol.
  unsigned short MinorVersion = 1;
};

/// @brief How the end of a response body is determined.
enum class BodyFraming { None, Length, Chunked, UntilClose };

/// @return name of the framing in logs
std::string_view toString(BodyFraming Framing);

/// @brief Status line and header fields of a response.
struct ResponseHead {
  unsigned Status = 0;
  std::string Reason;
  HeaderList Headers;
  bool KeepAlive = true;
  BodyFraming Framing = BodyFraming::None;
  /// Body length in bytes if `Framing` is `Length`.
  std::uint64_t Length = 0;
};

/// @brief Compares header names case-insensitively.
bool equalsIgnoreCase(std::string_view Left, std::string_view Right);

/// @brief Checks whether a comma-separated header value contains a token,
///   compared case-insensitively.
bool listContains(std::string_view Value, std::string_view Token);

/// @brief Checks whether a field is hop-by-hop and must not be forwarded.
///
/// Fields listed in `Connection` are hop-by-hop as well.
/// @param Name name of the field
/// @param Headers the message's fields
bool isHopByHop(std::string_view Name, const HeaderList &Headers);

/// @brief Parses the `timeout` parameter of the `Keep-Alive` header.
/// @return the idle timeout in seconds, or nothing if absent or invalid
std::optional<unsigned> keepAliveSeconds(const HeaderList &Headers);

/// @brief Reason phrase of a status code for the status line.
std::string_view reasonPhrase(unsigned Status);

/// @brief Appends a header field to a serialized message.
void appendField(std::string &Out, std::string_view Name,
                 std::string_view Value);

} // namespace mallowglade::http1
