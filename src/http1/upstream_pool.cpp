#include <mallowglade/detail/http1/upstream_pool.hpp>

#include <algorithm>

namespace mallowglade::http1 {

namespace {

/// Idle time assumed for upstreams that announce none.
constexpr std::chrono::milliseconds DefaultIdleLimit{4'000};
/// Time before the announced idle limit at which a connection is given up;
/// a request must not cross the upstream's close.
constexpr std::chrono::milliseconds IdleMargin{700};

bool isFresh(const UpstreamConnection &Connection) {
  const std::chrono::milliseconds Limit =
      Connection.idleLimit().count() > 0
          ? std::chrono::milliseconds(Connection.idleLimit())
          : DefaultIdleLimit;
  const auto Idle = std::chrono::steady_clock::now() - Connection.idleSince();
  return Idle < Limit - IdleMargin;
}

} // namespace

UpstreamPool::UpstreamPool(asio::io_context &Context, std::string AttemptHeader,
                           UpstreamTimeouts Timeouts)
    : Context(Context), AttemptHeader(std::move(AttemptHeader)),
      Timeouts(Timeouts) {}

std::shared_ptr<UpstreamConnection>
UpstreamPool::acquire(const asio::ip::tcp::endpoint &Address, bool Fresh) {
  Idle &Waiting = IdleByAddress[Address];
  while (!Fresh && !Waiting.empty()) {
    auto Connection = std::move(Waiting.back());
    Waiting.pop_back();
    if (Connection->reusable() && isFresh(*Connection))
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
  Idle &Waiting = IdleByAddress[Address];
  while (!Waiting.empty() && !isFresh(*Waiting.front())) {
    const auto Oldest = std::move(Waiting.front());
    Waiting.pop_front();
    Oldest->cancel();
  }
  Waiting.push_back(Connection);
  Connection->watchIdle([this, Address, Raw = Connection.get()] {
    Idle &All = IdleByAddress[Address];
    const auto Found =
        std::find_if(All.begin(), All.end(),
                     [Raw](const auto &Kept) { return Kept.get() == Raw; });
    if (Found != All.end())
      All.erase(Found);
  });
}

void UpstreamPool::forget(const asio::ip::tcp::endpoint &Address) {
  const auto Found = IdleByAddress.find(Address);
  if (Found == IdleByAddress.end())
    return;
  const Idle All = std::move(Found->second);
  IdleByAddress.erase(Found);
  for (const auto &Connection : All)
    Connection->cancel();
}

} // namespace mallowglade::http1
