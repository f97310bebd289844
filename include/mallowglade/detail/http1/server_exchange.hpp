#pragma once

#include <mallowglade/detail/http1/message.hpp>

#include <asio/ip/address.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mallowglade::http1 {

class ServerConnection;

/// @brief Client request and the interface to send its response.
///
/// The response starts with a call of either `respond` or `startBody`. After
/// `startBody`, `send` appends to the body and `finish` or `abort` ends the
/// response. All calls must be made on the executor of the connection; calls
/// after the client has disconnected have no effect.
class ServerExchange {
public:
  ServerExchange(std::weak_ptr<ServerConnection> Connection,
                 asio::ip::address ClientAddress)
      : ClientAddress(std::move(ClientAddress)),
        Connection(std::move(Connection)) {}

  /// Address that the client connected from.
  const asio::ip::address ClientAddress;

  RequestHead Head;
  std::string Body;
  /// Called once if the client disconnects before the response is complete.
  std::function<void()> OnDisconnected;
  /// Called after a write that leaves no more unsent bytes than the low-water
  /// mark.
  std::function<void()> OnDrained;

  /// @brief Sends a complete response.
  /// @param Fields header fields without those for the framing of the body
  void respond(unsigned Status, const HeaderList &Fields,
               std::string_view Payload);
  /// @brief Sends the head of a response whose body length is not known.
  ///
  /// For a client that does not understand chunks, the end of the connection
  /// ends the body; an incomplete response then ends with a TCP reset, also if
  /// the process ends.
  void startBody(unsigned Status, const HeaderList &Fields);
  /// @brief Sends a part of the body.
  void send(std::string_view Data);
  /// @brief Ends the body and completes the response.
  void finish();
  /// @brief Closes the connection, so that the client can detect an incomplete
  ///   response.
  void abort();
  /// @return number of bytes not yet written to the socket
  std::size_t unsentBytes() const;
  /// @brief Checks whether the client has closed the connection, without
  ///   waiting for the event loop to report it.
  bool clientDisconnected() const;
  /// @return true once the head of the response was sent
  bool started() const { return Started; }
  /// @brief Closes the connection after this response.
  void closeAfterResponse();

private:
  friend class ServerConnection;
  std::weak_ptr<ServerConnection> Connection;
  bool Started = false;
  bool Chunked = false;
  /// True if the response to this request has no body, whatever is sent.
  bool Bodyless = false;
};

} // namespace mallowglade::http1
