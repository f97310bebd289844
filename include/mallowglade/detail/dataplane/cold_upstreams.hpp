#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/dataplane/configuration.hpp>
#include <mallowglade/detail/dataplane/fleet_state.hpp>
#include <mallowglade/detail/dataplane/upstream_limits.hpp>
#include <mallowglade/outcomes.hpp>

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mallowglade::dataplane {

/// @brief Requests that all routers together may send to a cold upstream in one
///   second: its stated rate times `Overage`, and `Allowance` more.
struct ColdUpstreamLimits {
  double Overage = 1;
  double Allowance = 0;
};

/// @brief Rate at which all routers together may send to a cold upstream.
///
/// In any second at most `1.25 * Rate + 4/3 * Holders` requests start while the
/// routers agree on their members. The rate leaves room for a third more, since
/// a zone that is cut off keeps its part, and for two holders that the others
/// do not know yet.
/// @param PerSecond rate that the upstream tolerates
/// @return rate and holders; a rate of 0 if no request fits within the limits
RateCap coldRate(double PerSecond, const ColdUpstreamLimits &Limits);

/// @brief What a router knows of a cold process by itself.
struct ColdNotice {
  /// Time for which the process stays cold.
  Milliseconds Remaining{};
  /// Time since the router learned of it.
  Milliseconds Age{};
};

/// @brief Cold processes.
using ColdTable = std::map<UpstreamProcess, ColdNotice>;

/// @brief Adds what others report: on each process the latest notice.
void mergeLatest(ColdTable &Into, const ColdTable &Other,
                 Milliseconds SinceReceived);

/// @brief Why an upstream counts as cold or warm.
enum class ColdCause {
  Registration,
  Response,
  Unreachable,
  EvacuationEnded,
  Reported
};

std::string_view toString(ColdCause Cause);

/// @brief Begin or end of the time for which a process is cold.
struct ColdChange {
  UpstreamId Upstream;
  bool Begins = false;
  ColdCause Cause{};
  Milliseconds Remaining{};
  /// Rate of all routers together while it is cold.
  RequestRate Rate;
};

/// @brief What the decisions about cold upstreams need to know of the
///   deployment.
struct ColdSettings {
  ColdUpstreamLimits Limits;
  /// Availability zone of this router.
  ZoneId Zone;
  /// Time between renewals of an upstream's registration.
  Milliseconds UpstreamHeartbeat{};
};

/// @brief Knows which processes of upstreams are cold.
///
/// Load: upstreams that have just started or whose caches are empty, singly or
/// a zone at a time, while callers keep coming. They look idle, so that every
/// router would send to them first, and too many requests crash them.
///
/// What was learned last counts: from the registration, a response, a
/// connection that failed (the process has probably ended and comes back
/// cold), the end of an evacuation, or another router.
class ColdUpstreams {
public:
  explicit ColdUpstreams(const Clock &Time) : Time(Time) {}

  /// @brief Sets the rates; before that, no upstream counts as cold.
  void configure(const Configuration &Config, const ColdSettings &Settings);
  /// @brief Replaces the listed processes; others are forgotten.
  void setListed(const std::vector<UpstreamRecord> &List);
  /// @brief Replaces the zones that are evacuated. The upstreams of a zone that
  ///   is taken back count as cold until their registrations would say so.
  void setEvacuated(const std::set<ZoneId> &Zones);
  /// @brief Records that no connection to a process could be established.
  /// @return true if it counts as cold therefore
  bool recordUnreachable(UpstreamProcess Process);
  /// @brief Records how long a process says it stays cold.
  void recordStated(UpstreamProcess Process, Milliseconds Remaining);
  /// @brief Records what the other routers report.
  void setPeers(const ColdTable &Reported);

  /// @return true if a process may be cold, or was until recently
  bool any() const { return !Entries.empty(); }
  bool isCold(UpstreamProcess Process) const;
  /// @return true if a process counts as cold and did not yet at a time
  bool turnedColdAfter(UpstreamProcess Process, TimePoint At) const;
  /// @return number of cold processes
  std::size_t coldCount() const;
  /// @return rates in force: of cold processes, and of those that have become
  ///   warm within `OpeningTime`, for which the rate doubles each
  ///   `DoublingTime`
  std::unordered_map<UpstreamProcess, RateCap> rates() const;
  /// @return what this router has learned by itself. Failed connections only to
  ///   upstreams of its zone: from afar, a network that is cut looks the same.
  ColdTable report() const;
  /// @return what has changed since the last call
  std::vector<ColdChange> takeChanges();

  static constexpr Milliseconds OpeningTime = RateOpeningTime;
  static constexpr Milliseconds DoublingTime = RateDoublingTime;
  /// Longest time from the last failed connection of any router to the return
  /// of a process, given the back-off after failures.
  static constexpr Milliseconds ReturnTime{2'000};

private:
  struct Listing {
    UpstreamId Id;
    ServiceId Service;
    ZoneId Zone;
    StorePosition WrittenAt;
  };
  struct Statement {
    TimePoint Until{};
    TimePoint SaidAt{};
    ColdCause Cause{};
  };
  struct Entry {
    std::optional<Statement> Own;
    std::optional<Statement> Heard;

    const Statement &latest() const;
  };
  struct ToldBegin {
    UpstreamId Id;
    TimePoint Since{};
  };
  struct ServiceTimes {
    Milliseconds ColdTime{};
    RateCap Cap;
  };
  const ServiceTimes *timesOf(const Listing &Listed) const;
  /// @brief Records that a process is cold at least until a time.
  void extendOwn(UpstreamProcess Process, TimePoint Until, ColdCause Cause);
  void removeExpired();

  const Clock &Time;
  ColdSettings Settings;
  std::unordered_map<ServiceId, ServiceTimes> Services;
  std::unordered_map<UpstreamProcess, Listing> Listed;
  std::unordered_map<UpstreamProcess, Entry> Entries;
  std::set<ZoneId> Evacuated;
  /// Processes whose cold time `takeChanges` has told of.
  std::map<UpstreamProcess, ToldBegin> Told;
};

} // namespace mallowglade::dataplane
