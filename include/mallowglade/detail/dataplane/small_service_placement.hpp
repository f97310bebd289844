#pragma once

#include <mallowglade/detail/dataplane/upstream_table.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mallowglade::dataplane {

/// @brief Requests that callers sent, by small service.
using OfferedRates = std::map<ServiceKey, RequestRate>;

/// @brief What an operator sees of a small service.
struct SmallServiceStatus {
  /// Fraction of the requests that routers send to upstreams.
  double AdmittedFraction = 1;
  /// Requests that wait at upstreams, per slot.
  double WaitingPerSlot = 0;
  /// Requests that this router refused, and attempts that upstreams refused.
  std::uint64_t Refused = 0;
  std::uint64_t RefusedByUpstreams = 0;
};

/// @brief A change of what this router does with a small service.
struct SmallServiceChange {
  enum class Kind {
    Begins,
    Ends,
    RefusingBegins,
    RefusingEnds,
  };
  ServiceId Service;
  Kind What = Kind::Begins;
  SmallServiceStatus Status;
};

/// @return name of the change in logs
std::string_view toString(SmallServiceChange::Kind What);

/// @brief Places requests of plain services that have fewer slots than the
///   fleet has routers.
///
/// Handles many routers that send a few short requests a second each. A report
/// takes longer to arrive than such a request takes to run, so a free slot
/// cannot be told from reports: a router that waits for one leaves upstreams
/// idle, and routers that pick the least loaded one all pick the same.
/// Upstreams are drawn at random and their own queues absorb the variation;
/// reports correct the weights a little. Above the capacity, all routers refuse
/// the same fraction at random, so that queues stay short and upstreams refuse
/// little.
class SmallServicePlacement {
public:
  /// @param Zone availability zone of this router
  SmallServicePlacement(UpstreamTable &Table, const Clock &Time,
                        RandomSource &Random, ZoneId Zone)
      : Table(Table), Time(Time), Random(&Random), Zone(std::move(Zone)) {}

  /// @brief Replaces the source of random numbers.
  /// @param Source has to outlive this object
  void setRandom(RandomSource &Source) { Random = &Source; }

  /// @param Config kept by pointer; has to stay valid until the next call
  void configure(const Configuration &NewConfig) { Config = &NewConfig; }
  /// @brief Sets the number of live routers, including this one.
  void setRouters(std::size_t Count) { Routers = Count; }
  /// @brief Replaces the sums of the other routers' rates, and brings estimates
  ///   up to date with the loads that they reported.
  void setPeers(const OfferedRates &Sum);
  /// @return true if requests for the service are placed by this class
  bool applies(const ServiceId &Name) const { return Services.contains(Name); }
  /// @brief Decides whether to send a request at all; a request is asked for
  ///   once.
  /// @param Eligible upstreams that may get it, not empty
  /// @return false if it should be refused
  bool admits(const ServiceId &Name, Milliseconds LatencyObjective,
              const std::vector<UpstreamState *> &Eligible);
  /// @return one of the upstreams, drawn at random; null if the class does not
  ///   apply to the service
  /// @param Eligible upstreams that may get the request, not empty
  UpstreamState *choose(const ServiceId &Name,
                        const std::vector<UpstreamState *> &Eligible) const;
  /// @brief Records that an upstream refused an attempt.
  void recordRefusal(const ServiceId &Name);
  /// @brief Records an attempt that an upstream took.
  /// @param Took time from sending it to the end of the response; nothing if
  ///   the response was broken off
  /// @param Failed true if the response reports a failure of the upstream
  void recordOutcome(const ServiceId &Name, UpstreamProcess Process,
                     std::optional<Milliseconds> Took, bool Failed);
  /// @return rates of this router, to report
  OfferedRates ownRates() const;
  /// @return changes since the last call
  std::vector<SmallServiceChange> takeChanges();
  /// @return status by service name
  std::map<std::string, SmallServiceStatus> status() const;

private:
  /// Mean of the latest values.
  struct RunningMean {
    void add(double Value, double MaxCount);
    double Mean = 0;
    double Count = 0;
  };
  struct ServiceState {
    /// Decaying count of the requests of this router.
    double Offered = 0;
    TimePoint DecayedAt{};
    RequestRate PeersOffered;
    /// Times that requests take in slots of all its upstreams.
    RunningMean ServiceTimeMs;
    SmallServiceStatus Status;
    bool Refusing = false;
    /// Last time at which requests were refused.
    TimePoint RefusedAt{};
  };
  struct UpstreamEstimate {
    /// Smoothed number of requests at the upstream.
    double Requests = 0;
    TimePoint UpdatedAt{};
    RunningMean ServiceTimeMs;
    /// Smoothed fraction of responses that reported a failure.
    double Failures = 0;
    TimePoint RespondedAt{};
  };

  /// @brief Begins and ends the placement of services as slots and routers
  ///   change.
  void updateServices();
  void updateEstimates(ServiceState &State,
                       const std::vector<UpstreamState *> &Upstreams);
  void updateFraction(const ServiceId &Name, ServiceState &State);
  /// @brief Decays the count of the requests of this router.
  void decay(ServiceState &State) const;
  /// @return estimate of the time that a request takes in a slot of the
  ///   upstream at its usual speed, in milliseconds; 0 if unknown
  double serviceTime(const ServiceState &State, UpstreamProcess Process) const;
  /// @return requests per second that the upstream can serve; 0 if unknown
  double capacity(const ServiceState &State,
                  const UpstreamState &Upstream) const;
  /// @return requests that wait at the upstream, per slot
  double waitingPerSlot(const UpstreamState &Upstream) const;
  /// @return relative probability of being drawn
  double weight(const ServiceState &State, const UpstreamState &Upstream) const;
  /// @return number in [0, 1), equally distributed
  double draw() const;

  UpstreamTable &Table;
  const Clock &Time;
  RandomSource *Random;
  ZoneId Zone;
  const Configuration *Config = nullptr;
  std::size_t Routers = 1;
  std::map<ServiceId, ServiceState> Services;
  std::unordered_map<UpstreamProcess, UpstreamEstimate> Estimates;
  std::vector<SmallServiceChange> Changes;
};

} // namespace mallowglade::dataplane
