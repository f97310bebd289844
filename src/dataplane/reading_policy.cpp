#include <mallowglade/detail/dataplane/reading_policy.hpp>

#include <algorithm>

namespace mallowglade::dataplane {

namespace {

/// Part of the freshness that may pass without confirmation; the rest is for
/// a slow answer of the store.
constexpr int UnconfirmedPart = 2;
/// Age of the proof at which the store is read although reports confirm the
/// state; credentials expire later.
constexpr Milliseconds ProofLimit{2'500};
/// Pause after a failed reading of a router that is not the first reader: all
/// routers asking a store that fails would only add to its load.
constexpr Milliseconds PauseAfterFailure{1'000};

} // namespace

void ReadingPolicy::readAt(TimePoint Start) {
  OwnReading = std::max(OwnReading, Start);
  ConfirmedAt = std::max(ConfirmedAt, Start);
  ProvenAt = std::max(ProvenAt, Start);
}

void ReadingPolicy::confirmed(TimePoint Received, Milliseconds Age) {
  ConfirmedAt = std::max(ConfirmedAt, Received - Age);
}

void ReadingPolicy::proven(TimePoint At) { ProvenAt = std::max(ProvenAt, At); }

bool ReadingPolicy::shouldRead(TimePoint Now, std::size_t Rank) const {
  if (Rank < Readers && Now - OwnReading >= Freshness / ReaderPart)
    return true;
  if (FailedAt != TimePoint{} && Now - FailedAt < PauseAfterFailure)
    return false;
  return Now - ConfirmedAt >= Freshness / UnconfirmedPart ||
         Now - ProvenAt >= ProofLimit;
}

} // namespace mallowglade::dataplane
