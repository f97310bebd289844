#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/dataplane/fleet_state.hpp>
#include <mallowglade/outcomes.hpp>
#include <mallowglade/scheduling.hpp>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace mallowglade::dataplane {

/// @brief Requests per second by service.
using DemandTable = std::map<ServiceKey, RequestRate>;

/// @brief What a process of an upstream last said about its limit.
struct ReportedLimit {
  /// Requests per second that it takes from all routers together; nothing if
  /// it named no limit.
  std::optional<RequestRate> Rate;
  /// Time since it said so.
  Milliseconds Age{};
  /// True if it said so to the sender itself or, in a digest, to a router of
  /// its zone. What the sender has only heard is news to routers that know
  /// nothing of the process, such as one that has just started: it would seem
  /// newer than it is each time it is passed on.
  bool Direct = true;
  /// Requests per second at which all routers together start while the rate
  /// opens after the end or a raise of the limit, for routers that did not know
  /// the limit; nothing if it does not open.
  std::optional<RequestRate> Opening;
};

/// @brief Limits by process.
using LimitTable = std::map<UpstreamProcess, ReportedLimit>;

/// @brief Adds what others report: on each process the latest direct statement,
///   or the latest one heard of if there is none.
void mergeLatest(LimitTable &Into, const LimitTable &Other,
                 Milliseconds SinceReceived);

/// @brief Demand of another router.
struct FleetMember {
  RouterKey Key;
  DemandTable Demand;
};

/// @brief Rate that no upstream has named, and that all routers together keep
///   to.
struct RateCap {
  RequestRate Rate;
  /// Number of routers among which it is divided, whatever their demand.
  std::size_t Holders = 1;
  /// What the holders are chosen by; equal for the processes of an upstream.
  std::uint64_t Resource = 0;
};

/// @brief How a response changes what is known of a limit.
enum class LimitChange { None, Begins, Changes, Ends };

/// @brief Keeps the requests that all routers start at an upstream within the
///   limit that the upstream named.
///
/// A limit is for the whole fleet, so routers tell each other the latest
/// statement of each process and their own demand, and `rateShare` divides the
/// limit. A limit belongs to a process: it ends when a response no longer
/// names it, and with the process. After its end, and after a raise, the rate
/// opens from what it was: all routers hold requests back for an upstream that
/// was short of capacity a moment ago. A cap is known by all routers at once
/// and must hold from that moment, before they know each other's demand; so it
/// is divided equally, and begins with an empty allowance.
class UpstreamLimits {
public:
  /// @param Seed differs between routers and starts of a router
  UpstreamLimits(const Clock &Time, RouterKey Self, std::uint64_t Seed)
      : Time(Time), Self(Self), Seed(Seed) {}

  /// @brief Replaces the set of listed processes; others are forgotten.
  void setListed(std::unordered_map<UpstreamProcess, ServiceKey> Listed);
  /// @brief Records what a response says.
  /// @param Rate limit that it names; nothing if it names none
  /// @param SentAt time at which the request was sent; a response without a
  ///   limit may have been on its way before the limit was named
  /// @return what has changed; a new value at most once a second, and only if
  /// it
  ///   differs clearly
  LimitChange recordResponse(UpstreamProcess Process,
                             std::optional<RequestRate> Rate, TimePoint SentAt);
  /// @brief Replaces what the other routers report.
  void setPeers(const LimitTable &Limits, std::vector<FleetMember> Members);
  /// @brief Replaces the rates that hold whatever upstreams name.
  void setCaps(std::unordered_map<UpstreamProcess, RateCap> Current);
  /// @brief Counts a request that this router would send if it could.
  void recordDemand(ServiceKey Service);

  /// @return true if any listed process has a limit
  bool any() const { return !Allowances.empty(); }
  /// @return rate of a process for the whole fleet, the smaller one of what it
  ///   named, or what is open already, and its cap, or nothing
  std::optional<RequestRate> limitOf(UpstreamProcess Process) const;
  /// @return this router's share of the limit of a process, or nothing
  std::optional<RequestRate> shareOf(UpstreamProcess Process) const;
  /// @return true if a request may be sent to a process now
  bool mayStart(UpstreamProcess Process) const;
  /// @return time from which a request may be sent to a process; `max()` if
  ///   this router has no share of its limit
  TimePoint startableFrom(UpstreamProcess Process) const;
  /// @brief Records that a request is sent.
  void recordStart(UpstreamProcess Process);
  /// @brief Records that no byte of a request was sent after all.
  void recordNotSent(UpstreamProcess Process);

  /// @return what is known of limits, to report to the others
  LimitTable report() const;
  /// @return demand of this router, to report; empty while there is no limit
  DemandTable ownDemand() const;
  /// @return number of processes that have named a limit
  std::size_t limitedCount() const;

  /// Time after which the end of a limit is no longer reported.
  static constexpr std::chrono::seconds EndRetention{60};
  /// Time after which a limit that no response has named again is forgotten.
  static constexpr std::chrono::minutes Retention{10};

private:
  struct Statement {
    std::optional<RequestRate> Rate;
    TimePoint SaidAt;
    /// True if a response to this router said so.
    bool Own;
  };
  /// Requests per second over a short and a longer time.
  struct Demand {
    double Recent = 0;
    double Longer = 0;
    TimePoint DecayedAt{};
  };
  /// A rate that opens.
  struct Opening {
    RequestRate From;
    TimePoint Since;
  };
  /// @return limit that a process named, or nothing
  std::optional<RequestRate> namedLimit(UpstreamProcess Process) const;
  /// @return the same, or what is open already after its end or a raise
  std::optional<RequestRate> openRate(UpstreamProcess Process) const;
  /// @return true if a response that names a limit was probably written before
  ///   the limit ended
  bool isOutdated(UpstreamProcess Process, RequestRate Rate,
                  TimePoint SentAt) const;
  /// @param Heard true if another router has only heard of the statement
  /// @param Open rate that is open at another router
  void record(UpstreamProcess Process, const Statement &Latest,
              bool Heard = false, std::optional<RequestRate> Open = {});
  /// @brief Creates, ends and shares allowances as the statements say.
  void update(UpstreamProcess Process);
  /// @brief Divides all limits again.
  void divide();
  static void decay(Demand &Entry, TimePoint Now);
  RequestRate ownDemandOf(ServiceKey Service) const;

  const Clock &Time;
  RouterKey Self;
  std::uint64_t Seed;
  std::unordered_map<UpstreamProcess, ServiceKey> Listed;
  std::map<UpstreamProcess, Statement> Statements;
  std::unordered_map<UpstreamProcess, Opening> Openings;
  std::unordered_map<UpstreamProcess, RateCap> Caps;
  std::unordered_map<UpstreamProcess, RateAllowance> Allowances;
  /// Values that `recordResponse` has told of.
  std::unordered_map<UpstreamProcess, std::pair<RequestRate, TimePoint>> Told;
  std::vector<FleetMember> Members;
  std::unordered_map<ServiceKey, Demand> OwnDemand;
  TimePoint DividedAt{};
};

} // namespace mallowglade::dataplane
