#pragma once

#include <mallowglade/detail/http1/upstream_connection.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace mallowglade::http1 {

/// @brief Pool of idle connections to upstreams; the most recently used one is
///   reused first.
class UpstreamPool {
public:
  UpstreamPool(asio::io_context &Context, std::string AttemptHeader,
               UpstreamTimeouts Timeouts);

  /// @brief Takes an idle connection or creates one that is not yet connected.
  /// @param Address address of the upstream
  /// @param ForceNew true to create a connection even if there are idle ones
  std::shared_ptr<UpstreamConnection>
  acquire(const asio::ip::tcp::endpoint &Address, bool ForceNew = false);
  /// @brief Returns a connection after a response; closes it if it cannot be
  ///   reused.
  void release(const asio::ip::tcp::endpoint &Address,
               const std::shared_ptr<UpstreamConnection> &Connection);
  /// @brief Closes the idle connections to an address.
  void closeIdleConnections(const asio::ip::tcp::endpoint &Address);
  /// @return number of connections created so far
  std::uint64_t opened() const { return Opened; }

private:
  using IdleQueue = std::deque<std::shared_ptr<UpstreamConnection>>;

  asio::io_context &Context;
  std::string AttemptHeader;
  UpstreamTimeouts Timeouts;
  std::map<asio::ip::tcp::endpoint, IdleQueue> IdleByAddress;
  std::uint64_t Opened = 0;
};

} // namespace mallowglade::http1
