#pragma once

#include <mallowglade/detail/http1/upstream_connection.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace mallowglade::http1 {

/// @brief Keeps idle connections to upstreams for reuse, newest first.
class UpstreamPool {
public:
  UpstreamPool(asio::io_context &Context, std::string AttemptHeader,
               UpstreamTimeouts Timeouts);

  /// @brief Takes an idle connection or makes one that is not yet connected.
  /// @param Address address of the upstream
  /// @param Fresh true to leave kept connections alone
  std::shared_ptr<UpstreamConnection>
  acquire(const asio::ip::tcp::endpoint &Address, bool Fresh = false);
  /// @brief Takes back a connection after its answer; drops it if unusable.
  void release(const asio::ip::tcp::endpoint &Address,
               const std::shared_ptr<UpstreamConnection> &Connection);
  /// @brief Closes the idle connections to one address.
  void forget(const asio::ip::tcp::endpoint &Address);
  /// @return number of connections opened so far
  std::uint64_t opened() const { return Opened; }

private:
  using Idle = std::deque<std::shared_ptr<UpstreamConnection>>;

  asio::io_context &Context;
  std::string AttemptHeader;
  UpstreamTimeouts Timeouts;
  std::map<asio::ip::tcp::endpoint, Idle> IdleByAddress;
  std::uint64_t Opened = 0;
};

} // namespace mallowglade::http1
