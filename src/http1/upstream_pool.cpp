#include <mallowglade/detail/http1/upstream_pool.hpp>

#include <algorithm>

namespace mallowglade::http1 {

namespace {

/// Idle timeout assumed for upstreams that announce none.
constexpr std::chrono::milliseconds DefaultIdleLimit{4'000};
/// Connections are no longer reused this long before the idle timeout, so that
/// a request does not race with the upstream closing the connection.
constexpr std::chrono::milliseconds IdleMargin{700};

bool isWithinIdleLimit(const UpstreamConnection &Connection) {
  const std::chrono::milliseconds Limit =
      Connection.idleLimit().count() > 0
          ? std::chrono::milliseconds(Connection.idleLimit())
          : DefaultIdleLimit;
  const auto IdleTime =
      std::chrono::steady_clock::now() - Connection.idleSince();
  return IdleTime < Limit - IdleMargin;
}

} // namespace

UpstreamPool::UpstreamPool(asio::io_context &Context, std::string AttemptHeader,
                           UpstreamTimeouts Timeouts)
    : Context(Context), AttemptHeader(std::move(AttemptHeader)),
      Timeouts(Timeouts) {}

std::shared_ptr<UpstreamConnection>
UpstreamPool::acquire(const asio::ip::tcp::endpoint &Address, bool ForceNew) {
  IdleQueue &IdleConnections = IdleByAddress[Address];
  while (!ForceNew && !IdleConnections.empty()) {
    auto Connection = std::move(IdleConnections.back());
    IdleConnections.pop_back();
    if (Connection->reusable() && isWithinIdleLimit(*Connection))
      return Connection;
    Connection->cancel();
  }
  ++Opened;
  return std::make_shared<UpstreamConnection>(Context, Address, AttemptHeader,
                                              Timeouts);
}

void UpstreamPool::release(
    const asio::ip::tcp::endpoint &Address,
    const std::shared_ptr<UpstreamConnection> &Connection) {
  if (!Connection->reusable()) {
    Connection->cancel();
    return;
  }
  IdleQueue &IdleConnections = IdleByAddress[Address];
  while (!IdleConnections.empty() &&
         !isWithinIdleLimit(*IdleConnections.front())) {
    const auto Oldest = std::move(IdleConnections.front());
    IdleConnections.pop_front();
    Oldest->cancel();
  }
  IdleConnections.push_back(Connection);
  Connection->notifyOnIdleClose([this, Address,
                                 ClosedConnection = Connection.get()] {
    IdleQueue &Queue = IdleByAddress[Address];
    const auto Found = std::find_if(
        Queue.begin(), Queue.end(), [ClosedConnection](const auto &Candidate) {
          return Candidate.get() == ClosedConnection;
        });
    if (Found != Queue.end())
      Queue.erase(Found);
  });
}

void UpstreamPool::closeIdleConnections(
    const asio::ip::tcp::endpoint &Address) {
  const auto Found = IdleByAddress.find(Address);
  if (Found == IdleByAddress.end())
    return;
  const IdleQueue Closing = std::move(Found->second);
  IdleByAddress.erase(Found);
  for (const auto &Connection : Closing)
    Connection->cancel();
}

} // namespace mallowglade::http1
