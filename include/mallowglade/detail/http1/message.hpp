#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mallowglade::http1 {

/// @brief One header field; the name keeps the spelling of the sender.
struct HeaderField {
  std::string Name;
  std::string Value;
};

/// @brief Header fields of a message in the order they arrived.
class HeaderList {
public:
  /// @brief Appends a field.
  void add(std::string Name, std::string Value);
  /// @brief Finds the first field with a name; case does not matter.
  /// @return the value, or null
  const std::string *find(std::string_view Name) const;
  /// @return number of fields with a name
  std::size_t count(std::string_view Name) const;
  /// @return all fields
  const std::vector<HeaderField> &fields() const { return Fields; }
  /// @return all fields, for the parser
  std::vector<HeaderField> &fields() { return Fields; }

private:
  std::vector<HeaderField> Fields;
};

/// @brief Start line and header fields of a request.
struct RequestHead {
  std::string Method;
  /// Request target as sent, with its query.
  std::string Target;
  HeaderList Headers;
  bool KeepAlive = true;
  /// True if the sender waits for `100 Continue` before the body.
  bool ExpectsContinue = false;
  /// Minor version of HTTP/1.
  unsigned short MinorVersion = 1;
};

/// @brief How the end of a response body is found.
enum class BodyFraming { None, Length, Chunked, UntilClose };

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

/// @brief Compares header names without regard to case.
bool equalsIgnoreCase(std::string_view Left, std::string_view Right);

/// @brief Tells whether a comma-separated header value holds a word.
bool listContains(std::string_view Value, std::string_view Word);

/// @brief Tells whether a field concerns only one connection.
///
/// Fields named in `Connection` count as well.
/// @param Name name of the field
/// @param Headers the message's fields
bool isHopByHop(std::string_view Name, const HeaderList &Headers);

/// @brief Reads the idle limit of a `Keep-Alive` header.
/// @return the limit in seconds, or nothing
std::optional<unsigned> keepAliveSeconds(const HeaderList &Headers);

/// @brief Names a status code for the status line.
std::string_view reasonOf(unsigned Status);

/// @brief Appends a header line to a message under construction.
void appendField(std::string &Out, std::string_view Name,
                 std::string_view Value);

} // namespace mallowglade::http1
