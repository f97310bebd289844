#pragma once

#include <mallowglade/detail/transport/peer_network.hpp>

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

/// @brief Puts the HMAC-SHA256 of envelope and body in front of the body.
/// @param Key fleet key
/// @return the sealed message
std::string sealMessage(std::string_view Key, const MessageEnvelope &Envelope,
                        std::string_view Body);

/// @brief Checks a sealed message.
/// @param Key fleet key
/// @param Sealed message as received
/// @return the body, or nothing if the code is missing or wrong
std::optional<std::string_view> openMessage(std::string_view Key,
                                            const MessageEnvelope &Envelope,
                                            std::string_view Sealed);

} // namespace mallowglade::detail
