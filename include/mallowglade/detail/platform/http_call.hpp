#pragma once

#include <mallowglade/core.hpp>

#include <cstddef>
#include <string>

namespace mallowglade::detail {

/// @brief A call to a platform service over HTTP.
struct HttpCall {
  /// Address `ip:port`.
  std::string Endpoint;
  std::string Method;
  std::string Path;
  std::string Body;
  Milliseconds Timeout{};
};

/// Maximum size of a reply.
inline constexpr std::size_t MaxHttpResponseBytes = 67'108'864;

/// @brief Makes a call and waits for the reply.
/// @return the reply's body; `platform.unavailable` if nothing was sent or the
///   status was not 200, `platform.timeout` if the call may have taken effect
Result<std::string> callHttp(const HttpCall &Call);

} // namespace mallowglade::detail
