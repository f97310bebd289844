#pragma once

#include <mallowglade/detail/dataplane/fair_share.hpp>
#include <mallowglade/detail/dataplane/placement.hpp>

#include <list>
#include <memory>
#include <optional>
#include <string_view>

namespace mallowglade::dataplane {

/// @brief Reason for rejecting a request before it is sent to an upstream.
enum class Refusal {
  /// The workspace has used up its fair share and the pool has no spare
  /// capacity.
  ShareUsedUp,
  /// No upstream had capacity before the queue deadline.
  NoRoom,
  /// No upstream of the service is ready.
  NoUpstream,
  /// All ready upstreams of the service are in evacuated zones.
  ZonesEvacuated,
  /// No upstream of the service is in a region that the request may be executed
  /// in.
  NoHomeUpstream,
  /// All upstreams of the service have asked for a pause.
  UpstreamsPaused,
  /// The limits that the service's upstreams named leave no request of this
  /// router before the queue deadline.
  UpstreamsLimited,
  /// The slots of a small service are taken.
  SlotsTaken,
  /// The queue is full.
  QueueFull,
  /// The metadata store was not read recently enough to rule out that the
  /// credential was revoked.
  CredentialsNotFresh,
  CrashesUpstreams,
  CrashesSuspected,
  /// The router is shutting down.
  Stopping,
};

/// @return name of the reason in logs and metrics
std::string_view toString(Refusal Reason);

/// @brief A request that is queued until an upstream has capacity.
class QueuedRequest {
public:
  virtual ~QueuedRequest() = default;
  /// @brief Called when an upstream is selected; the request may be sent now.
  virtual void place(const PlacementChoice &Choice) = 0;
  /// @brief Called when the request is rejected without having been sent
  ///   since it was queued.
  /// @param RetryAfter delay after which the caller should retry
  virtual void refuse(Refusal Reason, Milliseconds RetryAfter) = 0;

  PlacementQuery Query;
  /// Workspace whose share the tokens count against.
  WorkspaceKey ShareKey;
  /// True if the request counts against the share of a workspace.
  bool HasWorkspace = false;
  /// True if the request was sent before and is retried or resumed; such
  /// requests go first and bypass the share check.
  bool PreviouslySent = false;
  /// Tokens charged to the workspace's share.
  double ShareTokens = 0;
  unsigned Priority = 0;
  TimePoint Arrived{};
  /// Time after which a queued request is refused.
  TimePoint QueueDeadline{};
};

/// @brief Decision on a request that is submitted.
struct AdmissionDecision {
  enum class Action { Send, Wait, Refuse };
  /// Why a request waits.
  enum class WaitCause {
    /// Others wait already.
    OthersWait,
    NoCapacity,
    /// The rest of the capacity is reserved for the least served workspaces.
    ReservedForLeastServed,
  };
  Action What = Action::Wait;
  /// Counts if the request waits.
  WaitCause Cause = WaitCause::OthersWait;
  /// Counts if the request is refused.
  Refusal Reason = Refusal::NoRoom;
  /// Counts if the request is sent.
  PlacementChoice Choice;
  /// True if the request is above the share of its workspace.
  bool OverShare = false;
  /// True if no upstream may take the request, however few others wait.
  bool NoneMayTake = false;
  /// Added to the usual time after which a refused caller should retry.
  Milliseconds AddedDelay{};
  /// Least time after which a refused caller should retry.
  Milliseconds LeastDelay{};
  /// Queued request that is refused to make room in the queue; null for none.
  std::shared_ptr<QueuedRequest> Displaced;
};

/// @return name of the cause in explanations
std::string_view toString(AdmissionDecision::WaitCause Cause);

/// @brief Admission control: sends, queues or refuses requests.
///
/// Handles demand above the capacity of the pool. Workspaces below their
/// max-min fair share are served first. Workspaces above it get spare capacity
/// only and are otherwise refused at once instead of waiting in the queue until
/// they time out. A full queue makes room for a workspace that is served less.
class Admission {
public:
  Admission(Placement &Placer, FairShare &Shares, const Clock &Time,
            RandomSource &Random);

  /// @brief Submits a request; `place` or `refuse` is called on it either
  ///   before this function returns or later.
  void submit(std::shared_ptr<QueuedRequest> Request);
  /// @brief Takes the decision that `submit` carries out, and records nothing
  ///   except in the placement and the random numbers that it is given.
  /// @param Choosing placement of this router, or a copy of it
  AdmissionDecision decide(const QueuedRequest &Request, Placement &Choosing,
                           RandomSource &Drawing);
  /// @return time after which the caller of a refused request should retry
  static Milliseconds retryAfter(const QueuedRequest &Request,
                                 const AdmissionDecision &Decision,
                                 RandomSource &Drawing);
  /// @brief Removes a request whose caller has disconnected.
  void withdraw(const QueuedRequest *Request);
  /// @brief Sends queued requests to upstreams that have capacity.
  void dispatch();
  /// @brief Refuses queued requests whose `QueueDeadline` has passed.
  void expire();
  /// @brief Refuses all queued requests and all later ones.
  void stop();
  std::size_t waiting() const { return Queue.size(); }
  /// @return queued requests for the same service that are sent before this one
  std::size_t countAhead(const QueuedRequest &Request);

private:
  /// @brief Decides whether a request finds room at an upstream.
  AdmissionDecision findRoom(const QueuedRequest &Request, Placement &Choosing);
  /// @brief Decides on a request above the share of its workspace.
  AdmissionDecision decideOverShare(const QueuedRequest &Request,
                                    Placement &Choosing);
  /// @brief Counts and sends a request.
  void send(QueuedRequest &Request, const PlacementChoice &Choice);
  bool tryPlace(QueuedRequest &Request);
  /// @return refusal of a request that no upstream can take before its
  ///   deadline; nothing if one may take it
  /// @param Ahead queued requests for its service that are sent before it
  std::optional<AdmissionDecision>
  findUnservable(const QueuedRequest &Request, std::size_t Ahead,
                 const Placement &Choosing) const;
  void refuse(QueuedRequest &Request, const AdmissionDecision &Decision);
  /// @brief Counts a request that waits or is refused for want of room.
  /// @param Requests 1, or -1 if it waited and has found room
  void recordUnmet(const QueuedRequest &Request, double Requests);
  /// @return fraction of its share that the request's workspace has used; 0 if
  ///   the request does not count against a share
  double shareFill(const QueuedRequest &Request);
  /// @return the latest queued request of the most served workspace, if that is
  ///   served more than the workspace of the given request; null if there is
  ///   none
  std::shared_ptr<QueuedRequest> findMoreServed(const QueuedRequest &Request);
  bool precedes(const QueuedRequest &Left, const QueuedRequest &Right) const;
  Placement &Placer;
  FairShare &Shares;
  const Clock &Time;
  RandomSource &Random;
  std::list<std::shared_ptr<QueuedRequest>> Queue;
  bool Stopped = false;
  /// Set while `dispatch` runs; callbacks may re-enter it.
  bool Dispatching = false;
};

} // namespace mallowglade::dataplane
