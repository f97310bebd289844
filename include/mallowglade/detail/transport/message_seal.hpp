#pragma once

#include <mallowglade/detail/transport/peer_network.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace mallowglade::detail {

/// @brief Length of the authentication code in front of a message, in bytes.
inline constexpr std::size_t SealBytes = 32;

/// @brief What the authentication code of a message covers besides its body.
struct MessageEnvelope {
  /// Advertised address of the receiver, so that a message recorded on one
  /// link is not accepted by another router.
  RouterId To;
  std::string Type;
  PeerSender From;
};

/// @brief Authenticates messages with HMAC-SHA256; for one thread.
///
/// Keeps the keyed state between messages: setting it up takes longer than
/// hashing a short message.
class MessageSeal {
public:
  /// @param Key fleet key
  explicit MessageSeal(std::string_view Key);
  ~MessageSeal();
  MessageSeal(const MessageSeal &) = delete;
  MessageSeal &operator=(const MessageSeal &) = delete;

  /// @brief Puts the code of envelope and body in front of the body.
  std::string seal(const MessageEnvelope &Envelope, std::string_view Body);
  /// @brief Checks a sealed message.
  /// @param Sealed message as received
  /// @return the body, or nothing if the code is missing or wrong
  std::optional<std::string_view> open(const MessageEnvelope &Envelope,
                                       std::string_view Sealed);

private:
  std::string codeOf(const MessageEnvelope &Envelope, std::string_view Body);

  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace mallowglade::detail
