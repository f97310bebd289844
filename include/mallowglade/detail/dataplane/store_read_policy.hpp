#pragma once

#include <mallowglade/core.hpp>

#include <cstddef>

namespace mallowglade::dataplane {

/// @brief Decides when a router reads the metadata store itself.
///
/// The first router of each zone, in an order that all routers agree on, polls
/// the store. The others rely on reports from their peers that their state is
/// current, and read the store only if such reports are missing. Two times are
/// tracked: the confirmed time assumes that reports are not delayed and is used
/// to detect changes; the proven time is valid even for delayed reports and is
/// used for credentials.
class StoreReadPolicy {
public:
  /// @param Freshness time within which a change in the store has to take
  ///   effect
  explicit StoreReadPolicy(Milliseconds Freshness) : Freshness(Freshness) {}

  /// @brief Records a successful read.
  /// @param Start when the read was started
  /// @param Proves false if the store is known to hold an older state than the
  ///   fleet, so that the read does not show that credentials are current
  void recordRead(TimePoint Start, bool Proves = true);
  /// @brief Records a failed read.
  void recordFailedRead(TimePoint FailureTime) { FailedAt = FailureTime; }
  /// @brief Records a report that confirms this router's state.
  /// @param Received when the report arrived
  /// @param Age age of the reporter's state when it sent the report
  void recordConfirmation(TimePoint Received, Milliseconds Age);
  /// @return true if the sender of such a report read the store later than
  ///   this router
  bool isNewer(TimePoint Received, Milliseconds Age) const {
    return Received - Age > LastReadAt;
  }
  /// @brief Records a time at which this router's state was provably current.
  void recordProof(TimePoint CurrentAt);
  /// @brief Withdraws all proofs: this router's state is known to be old.
  void withdrawProofs() { ProvenAt = OwnProofAt = TimePoint{}; }
  /// @return true if the store should be read now
  /// @param Rank rank of this router among those of its zone that can reach
  ///   the store, from 0
  bool shouldRead(TimePoint Now, std::size_t Rank) const;
  /// @return minimum interval between reads triggered by reported changes; the
  ///   polling router's interval and a slow answer have to fit into the
  ///   freshness as well
  Milliseconds minReadInterval() const { return Freshness / PollsPerFreshness; }
  /// @return latest time at which this router's state was provably current
  TimePoint provenAt() const { return ProvenAt; }
  /// @return start of the latest successful read by this router
  TimePoint lastReadAt() const { return LastReadAt; }
  /// @return start of the latest read by this router that proves its state
  TimePoint ownProofAt() const { return OwnProofAt; }

  /// Routers of a zone that poll the store.
  static constexpr std::size_t PollingRouters = 1;
  /// Polls within `Freshness`.
  static constexpr int PollsPerFreshness = 4;

private:
  Milliseconds Freshness;
  TimePoint LastReadAt{};
  TimePoint ConfirmedAt{};
  TimePoint ProvenAt{};
  TimePoint OwnProofAt{};
  TimePoint FailedAt{};
  /// True if the latest read proved nothing; reading again would not either
  /// until the state has changed.
  bool ReadProvedNothing = false;
};

} // namespace mallowglade::dataplane
