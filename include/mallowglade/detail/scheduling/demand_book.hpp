#pragma once

#include <mallowglade/detail/scheduling/messages.hpp>
#include <mallowglade/detail/scheduling/token_bucket.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace mallowglade {

/// @brief Fleet-wide limits of a workspace; 0 means no limit.
struct QueueTerms {
  WorkspaceId Id;
  double RequestsPerSecond = 0;
  double UnitsPerSecond = 0;
  std::uint32_t QueueLength = 0;
  Milliseconds QueueTime{};
};

/// @brief A request for the book.
struct BookRequest {
  RequestId Id;
  WorkspaceId Workspace;
  ServiceUnits Hint;
  Fingerprint Print;
  std::uint64_t PrefixHash = 0;
  std::vector<UpstreamId> Avoid;
  /// Limits were checked for the first attempt already.
  bool Retry = false;
};

/// @brief A request that gets its final answer now; it was not dispatched.
struct RefusedRequest {
  RequestId Request;
  Error Reason;
  Milliseconds RetryAfter{};
};

/// @brief A request that may be dispatched.
struct DispatchNow {
  RequestId Request;
  GrantId Grant;
  UpstreamId Upstream;
  std::string Address;
};

/// @brief What a grant leads to; nothing for a repeated grant.
using GrantOutcome = std::variant<std::monostate, DispatchNow, GrantReturn>;

/// @brief A router's requests for one cell, and its report session.
class DemandBook {
public:
  /// @param Cell the cell
  /// @param First first session number; above those of earlier processes
  DemandBook(CellId Cell, Epoch First);
  /// @brief Takes the limits of all workspaces.
  /// @param Terms the limits
  /// @param RegisteredRouters routers that share them
  void configure(const std::vector<QueueTerms> &Terms,
                 std::size_t RegisteredRouters);
  /// @brief Starts a new session, after the cell's owner changed.
  void beginSession();
  /// @brief Queues a request.
  /// @return the refusal if a limit is exceeded
  std::optional<RefusedRequest> enqueue(BookRequest Request, TimePoint Now);
  /// @brief Removes a queued request.
  /// @return true if it was queued
  bool cancel(const RequestId &Request);
  /// @brief Decides on a grant.
  GrantOutcome receive(const Grant &Offer, TimePoint Now);
  /// @brief Takes renewed rates.
  void receive(const Allotment &Rates, TimePoint Now);
  /// @brief Notes what a running request has received.
  void progress(const GrantProgress &State);
  /// @brief Ends a running request.
  /// @return the message to send, or nothing for an unknown grant
  std::optional<Completion> finish(Completion Done, TimePoint Now);
  /// @brief Refuses the requests that waited too long.
  std::vector<RefusedRequest> expire(TimePoint Now);
  /// @return the report to send now, if one is due
  std::optional<DemandReport> report(TimePoint Now);
  /// @return the progress of running grants with news, if due
  std::optional<Progress> progressReport(TimePoint Now);
  /// @return requests that wait
  std::size_t queued() const { return Where.size(); }
  /// @return requests that run
  std::size_t held() const { return Held.size(); }
  /// @return session number in force
  Epoch session() const { return Session; }

private:
  struct Waiting {
    BookRequest Request;
    TimePoint Since;
  };
  struct WorkspaceBook {
    std::map<Ticket, Waiting> Queue;
    std::uint64_t Arrivals = 0;
    double Served = 0;
    double Lag = 0;
    double Fraction = 0;
    std::optional<TimePoint> FractionAt;
    TokenBucket Requests;
    TokenBucket Units;
  };
  struct Running {
    WorkspaceId Workspace;
    UpstreamId Upstream;
    Fingerprint Print;
    double Hint = 0;
    /// What the cell has charged, as far as this router knows.
    ServiceUnits Charge;
    TimePoint Started;
    std::optional<TimePoint> ToldAt;
    GrantProgress State;
  };
  struct EndedGrant {
    TimePoint At;
    Completion Done;
  };

  double fractionOf(const WorkspaceBook &Book, TimePoint Now) const;
  std::optional<RefusedRequest>
  checkLimits(WorkspaceBook &Book, const BookRequest &Request, TimePoint Now);
  GrantOutcome accept(const Grant &Offer, WorkspaceBook &Book, TimePoint Now);
  static bool hasNews(const Running &Entry, TimePoint Now);
  bool fresh(std::uint64_t Basis, TimePoint Now) const;
  bool fullDue(TimePoint Now) const;
  bool deltaDue(TimePoint Now) const;
  WorkspaceDemand demandOf(const WorkspaceId &Id, const WorkspaceBook &Book,
                           TimePoint Now, bool Full) const;
  void fillFull(DemandReport &Report, TimePoint Now);
  void forgetOld(TimePoint Now);
  void addService(Running &Entry, double Served);

  CellId Cell;
  Epoch Session;
  std::map<WorkspaceId, QueueTerms> Terms;
  std::size_t Registered = 1;
  std::map<WorkspaceId, WorkspaceBook> Books;
  std::unordered_map<RequestId, std::pair<WorkspaceId, Ticket>> Where;
  std::unordered_map<GrantId, Running> Held;
  std::deque<EndedGrant> Ended;
  std::set<GrantId> EndedIds;
  std::set<WorkspaceId> Changed;
  std::vector<GrantId> Accepted;
  std::deque<std::pair<std::uint64_t, TimePoint>> Sent;
  Ticket NextTicket{1};
  std::uint64_t Sequence = 0;
  bool Answered = false;
  std::optional<TimePoint> LastFull;
  std::optional<TimePoint> LastReport;
  std::optional<TimePoint> LastProgress;
};

} // namespace mallowglade
