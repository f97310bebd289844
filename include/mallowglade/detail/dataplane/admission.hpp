#pragma once

#include <mallowglade/detail/dataplane/fair_share.hpp>
#include <mallowglade/detail/dataplane/placement.hpp>

#include <list>
#include <memory>
#include <string_view>

namespace mallowglade::dataplane {

/// @brief Why a request is refused before it was sent anywhere.
enum class Refusal {
  /// The workspace has had its share and the pool has no capacity to spare.
  ShareUsedUp,
  /// No upstream had room in time.
  NoRoom,
  /// No upstream of the service is ready.
  NoUpstream,
  /// The queue holds as many requests as it may.
  QueueFull,
  /// The credential may have been withdrawn; the store was not heard lately.
  CredentialsNotFresh,
  /// The router is stopping.
  Stopping,
};

/// @brief Names a refusal in logs and metrics.
std::string_view toString(Refusal Reason);

/// @brief A request that waits for an upstream.
class Waiter {
public:
  virtual ~Waiter() = default;
  /// @brief The request may be sent.
  virtual void place(const PlacementChoice &Where) = 0;
  /// @brief The request is given up; it has not been sent by this wait.
  /// @param RetryAfter when the caller should come back
  virtual void refuse(Refusal Reason, Milliseconds RetryAfter) = 0;

  PlacementQuery Query;
  WorkspaceKey Who;
  /// False for requests without a workspace.
  bool HasWorkspace = false;
  /// True for a request that was sent before; it goes before all others.
  bool Continues = false;
  /// Tokens that count against the workspace's share.
  double ShareTokens = 0;
  unsigned Priority = 0;
  TimePoint Arrived{};
  /// When waiting longer is of no use.
  TimePoint GiveUpAt{};
};

/// @brief Decides which requests are sent, wait or are refused.
///
/// Load it answers: more work arrives than the pool can do. Workspaces below
/// their max-min share go first; those beyond it are served from spare
/// capacity only and otherwise refused at once, so that nobody waits for an
/// answer that will not come.
class Admission {
public:
  Admission(Placement &Places, FairShare &Shares, const Clock &Time,
            RandomSource &Random);

  /// @brief Takes a request; it is placed or refused within the call or later.
  void submit(std::shared_ptr<Waiter> Request);
  /// @brief Removes a request whose caller has left.
  void withdraw(const Waiter *Request);
  /// @brief Sends what has room now.
  void pump();
  /// @brief Refuses what has waited too long.
  void expire();
  /// @brief Refuses all that waits and all that comes.
  void stop();
  std::size_t waiting() const { return Queue.size(); }

private:
  bool tryPlace(Waiter &Request);
  bool precedes(const Waiter &Left, const Waiter &Right) const;
  Milliseconds retryAfter(const Waiter &Of);

  Placement &Places;
  FairShare &Shares;
  const Clock &Time;
  RandomSource &Random;
  std::list<std::shared_ptr<Waiter>> Queue;
  bool Stopped = false;
  bool Pumping = false;
};

} // namespace mallowglade::dataplane
