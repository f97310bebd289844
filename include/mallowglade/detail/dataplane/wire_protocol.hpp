#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/http1/message.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mallowglade::dataplane {

/// @brief Identifies one attempt of a caller to get a response.
using AttemptId = StringId<struct CallerAttemptTag>;

/// @brief A segment of a prompt that other requests may contain as well.
struct PromptPart {
  /// Equal for parts with equal content.
  std::uint64_t Hash = 0;
  double Tokens = 0;
};

/// @brief Metadata from the header fields of a caller's request.
struct RequestMetadata {
  AttemptId Attempt;
  /// Time that the caller waits for the response, from when it sent the
  /// request.
  std::optional<Milliseconds> Deadline;
  std::string Credential;
  std::string LastEventId;
  /// Parts of the prompt, first to last.
  std::vector<PromptPart> Parts;
  double PromptTokens = 0;
  double MaxOutputTokens = 0;
  /// The caller's estimate of the output length; 0 if the caller sent none.
  double ExpectedOutputTokens = 0;
};

/// @brief Load that an upstream states in a response.
struct StatedLoad {
  unsigned Running = 0;
  unsigned Waiting = 0;
  unsigned Slots = 0;
  /// Time that work takes on the upstream's machine now, relative to its usual
  /// time.
  double WorkTimeFactor = 1;
  /// The upstream states its work time; otherwise the usual one is assumed.
  bool StatesWorkTime = false;
};

/// @brief Metadata from the header fields of an upstream's response.
struct ResponseMetadata {
  /// The response names the attempt that it belongs to.
  bool Identified = false;
  /// The upstream states that it did not execute the request.
  bool NotExecuted = false;
  /// The response carries the upstream's signature.
  bool Signed = false;
  /// The upstream states that it is leaving and takes no new requests.
  bool Leaving = false;
  /// Time for which an upstream that refused the request wants no others.
  std::optional<Milliseconds> Pause;
  /// Requests per second that the upstream takes from all routers together.
  std::optional<double> RequestsPerSecond;
  /// The limit cannot be read; it neither sets nor ends one.
  bool LimitUnreadable = false;
  /// Time for which the upstream stays cold.
  std::optional<Milliseconds> ColdRemaining;
  std::optional<StatedLoad> Load;
  /// The cold time, or a figure of the load, cannot be read.
  bool ColdUnreadable = false;
  bool LoadUnreadable = false;
};

/// @brief Where a caller that looks up router addresses is.
struct CallerPlace {
  RegionId Region;
  ZoneId Zone;
};

/// @brief Values of the header fields that the router adds to a forwarded
///   request.
struct ForwardFields {
  Milliseconds TimeLeft{};
  UpstreamId ExpectedUpstream;
  WorkspaceId Workspace;
  /// Address, `ip:port`, of an upstream whose KV cache holds the shared prompt
  /// parts; empty for none.
  std::string KvCacheSource;
  /// Last event that the caller received of a stream to be resumed; empty for
  /// a new request.
  std::string LastEventId;
};

/// @brief Maps header fields and request targets of the platform to typed
///   values and back.
class WireProtocol {
public:
  virtual ~WireProtocol() = default;
  /// @return name of the header field that identifies an attempt
  virtual std::string attemptHeader() const = 0;
  /// @brief Reads the metadata of a caller's request.
  virtual RequestMetadata
  readRequest(const http1::HeaderList &Headers) const = 0;
  /// @return true if only routers may set the field; a caller's value is not
  ///   forwarded
  virtual bool isRouterOnlyField(std::string_view Name) const = 0;
  /// @brief Appends the router's header fields to a forwarded request.
  /// @param RequestHead head under construction
  virtual void appendForwardFields(std::string &RequestHead,
                                   const ForwardFields &Fields) const = 0;
  /// @brief Reads the metadata of an upstream's response.
  virtual ResponseMetadata
  readResponse(const http1::ResponseHead &Head) const = 0;
  /// @return true if the request target is the readiness check
  virtual bool isReadinessRequest(std::string_view Target) const = 0;
  /// @return true if the request target is the lookup of router addresses
  virtual bool isAddressLookup(std::string_view Target) const = 0;
  /// @brief Reads where the caller of a lookup of router addresses is; what it
  ///   does not state is empty.
  virtual CallerPlace readCallerPlace(std::string_view Target) const = 0;
  /// @brief Renders the response body of a lookup of router addresses.
  /// @param TimeToLive how long the caller may use the addresses
  virtual std::string
  renderAddresses(const std::vector<std::string> &Addresses,
                  std::chrono::seconds TimeToLive) const = 0;
};

} // namespace mallowglade::dataplane
