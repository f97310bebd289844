#include <mallowglade/detail/dataplane/store_read_policy.hpp>

#include <algorithm>

namespace mallowglade::dataplane {

namespace {

/// The state may stay unconfirmed for the freshness divided by this; the rest
/// of the time is for a slow answer of the store.
constexpr int UnconfirmedDivisor = 2;
/// Age of the proven time at which the store is read even if reports confirm
/// the state; lower than the age at which credentials are no longer accepted.
constexpr Milliseconds MaxProofAge{2'500};
/// Back-off after a failed read, except for the routers that poll: retries of
/// all routers would add to the load of a store that fails.
constexpr Milliseconds FailureBackoff{1'000};

} // namespace

void StoreReadPolicy::recordRead(TimePoint Start, bool Proves) {
  LastReadAt = std::max(LastReadAt, Start);
  ConfirmedAt = std::max(ConfirmedAt, Start);
  ReadProvedNothing = !Proves;
  if (!Proves) {
    // Reading it again at once would not show a newer state.
    FailedAt = Start;
    return;
  }
  ProvenAt = std::max(ProvenAt, Start);
  OwnProofAt = std::max(OwnProofAt, Start);
}

void StoreReadPolicy::recordConfirmation(TimePoint Received, Milliseconds Age) {
  ConfirmedAt = std::max(ConfirmedAt, Received - Age);
}

void StoreReadPolicy::recordProof(TimePoint CurrentAt) {
  ProvenAt = std::max(ProvenAt, CurrentAt);
  ReadProvedNothing = false;
}

bool StoreReadPolicy::shouldRead(TimePoint Now, std::size_t Rank) const {
  if (Rank < PollingRouters &&
      Now - LastReadAt >= Freshness / PollsPerFreshness)
    return true;
  if (FailedAt != TimePoint{} && Now - FailedAt < FailureBackoff)
    return false;
  return Now - ConfirmedAt >= Freshness / UnconfirmedDivisor ||
         (!ReadProvedNothing && Now - ProvenAt >= MaxProofAge);
}

} // namespace mallowglade::dataplane
