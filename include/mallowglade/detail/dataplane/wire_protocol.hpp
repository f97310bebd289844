#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/http1/message.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mallowglade::dataplane {

/// @brief Identifies one attempt of a caller.
using AttemptId = StringId<struct CallerAttemptTag>;

/// @brief A part of a prompt that several requests may share.
struct PromptPart {
  /// Equal for equal content.
  std::uint64_t Hash = 0;
  double Tokens = 0;
};

/// @brief What a request says about itself.
struct RequestFacts {
  AttemptId Attempt;
  /// Time the caller still waits, counted from its sending.
  std::optional<Milliseconds> Deadline;
  std::string Credential;
  std::string LastEventId;
  /// Parts of the prompt in their order.
  std::vector<PromptPart> Parts;
  double PromptTokens = 0;
  double MaxOutputTokens = 0;
  /// The caller's estimate of its output; 0 if it gives none.
  double ExpectedOutputTokens = 0;
};

/// @brief What an upstream's answer says beside its status and body.
struct AnswerFacts {
  /// The upstream states that it did not run the request.
  bool NotExecuted = false;
  /// The answer carries the upstream's signature.
  bool Signed = false;
  /// Requests the upstream is running and has waiting.
  std::optional<unsigned> Running;
  std::optional<unsigned> Waiting;
};

/// @brief Fields that the router sets on a request to an upstream.
struct ForwardFields {
  Milliseconds TimeLeft{};
  UpstreamId ExpectedUpstream;
  WorkspaceId Workspace;
  /// Address of an upstream that keeps the shared prompt parts, `ip:port`;
  /// empty for none.
  std::string FetchPartsFrom;
  /// Event after which a resumed stream goes on; empty for none.
  std::string LastEventId;
};

/// @brief Translates between header fields and typed values.
class WireProtocol {
public:
  virtual ~WireProtocol() = default;
  /// @return name of the header that identifies an attempt
  virtual std::string attemptHeader() const = 0;
  /// @brief Reads what a request says about itself.
  virtual RequestFacts readRequest(const http1::HeaderList &Headers) const = 0;
  /// @brief Tells whether a caller's field is not passed on.
  virtual bool isRouterField(std::string_view Name) const = 0;
  /// @brief Appends the router's fields to a request under construction.
  virtual void appendForwardFields(std::string &Out,
                                   const ForwardFields &Fields) const = 0;
  /// @brief Reads what an answer says beside its status and body.
  virtual AnswerFacts readAnswer(const http1::ResponseHead &Head) const = 0;
  /// @brief Tells whether a target asks for readiness.
  virtual bool isReadinessCall(std::string_view Target) const = 0;
  /// @brief Tells whether a target asks for router addresses.
  virtual bool isAddressesCall(std::string_view Target) const = 0;
  /// @brief Renders the answer to a question for addresses.
  virtual std::string
  renderAddresses(const std::vector<std::string> &Addresses,
                  std::chrono::seconds TimeToLive) const = 0;
};

} // namespace mallowglade::dataplane
