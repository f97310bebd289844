#pragma once

#include <mallowglade/detail/router/context.hpp>
#include <mallowglade/detail/router/dispatcher.hpp>
#include <mallowglade/detail/router/upstream_directory.hpp>

#include <deque>
#include <map>
#include <memory>

namespace mallowglade {

/// @brief How a router that decides alone places requests.
enum class LocalPolicy {
  /// An equal part of each upstream, workspaces by smallest service received.
  Split,
  /// A random upstream at once, without a limit.
  Random,
};

/// @brief Baseline dispatchers: every router decides for itself.
class LocalDispatcher final : public Dispatcher {
public:
  /// @param Context what the router's services share
  /// @param Policy placement
  LocalDispatcher(RouterContext Context, LocalPolicy Policy);

  void enqueue(DispatchRequest Request, Reply Done) override;
  bool cancel(const RequestId &Request) override;
  void progress(const RequestId &Request, const Assignment &Where,
                const AttemptProgress &Progress) override;
  void finish(const RequestId &Request, const Assignment &Where, AttemptEnd End,
              const AttemptProgress &Progress) override;
  /// @brief Refuses requests that waited too long and assigns free slots.
  void tick();

private:
  struct Waiting {
    DispatchRequest Request;
    Reply Done;
    TimePoint Since;
  };
  bool refuseByLimits(const DispatchRequest &Request, const Reply &Done) const;
  void refuseExpired();
  void assignAll();
  bool assignOne();
  std::optional<Upstream> choose(const DispatchRequest &Request);
  std::uint32_t limitOf(const Upstream &Candidate) const;

  RouterContext Context;
  LocalPolicy Policy;
  SeededRandom Random;
  std::deque<Waiting> Queue;
  std::map<WorkspaceId, double> VirtualTime;
  std::map<UpstreamId, std::uint32_t> InFlight;
  std::map<UpstreamId, PoolId> Pools;
  std::uint64_t NextGrant = 1;
};

} // namespace mallowglade
