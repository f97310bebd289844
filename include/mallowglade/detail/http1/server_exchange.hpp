#pragma once

#include <mallowglade/detail/http1/message.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mallowglade::http1 {

class ServerConnection;

/// @brief One request of a caller and the way to answer it.
///
/// Exactly one of `respond` and `startBody` begins the answer. After
/// `startBody`, `send` adds bytes and `finish` or `abort` ends the answer.
/// All calls are made on the connection's executor; calls after the caller
/// has left have no effect.
class ServerExchange {
public:
  explicit ServerExchange(std::weak_ptr<ServerConnection> Connection)
      : Connection(std::move(Connection)) {}

  RequestHead Head;
  std::string Body;
  /// Called once if the caller leaves before the answer is complete.
  std::function<void()> OnGone;
  /// Called when unsent bytes fall below the low-water mark.
  std::function<void()> OnDrained;

  /// @brief Sends a whole answer.
  /// @param Fields header fields without framing
  void respond(unsigned Status, const HeaderList &Fields,
               std::string_view Payload);
  /// @brief Sends the head of an answer whose length is not known.
  void startBody(unsigned Status, const HeaderList &Fields);
  /// @brief Sends a part of the body.
  void send(std::string_view Data);
  /// @brief Ends the body; the answer is complete.
  void finish();
  /// @brief Closes the connection, so that the answer shows as incomplete.
  void abort();
  /// @return bytes that the caller has not taken yet
  std::size_t unsentBytes() const;
  /// @brief Looks whether the caller has closed its connection, without
  ///   waiting for the event loop to report it.
  bool callerLeft() const;
  /// @return true once the head of an answer was sent
  bool started() const { return Started; }
  /// @brief Ends the connection after this answer.
  void closeAfterwards();

private:
  friend class ServerConnection;
  std::weak_ptr<ServerConnection> Connection;
  bool Started = false;
  bool Chunked = false;
};

} // namespace mallowglade::http1
