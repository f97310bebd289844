#include <mallowglade/detail/dataplane/crash_history.hpp>

#include <algorithm>

namespace mallowglade::dataplane {

RequestFingerprint requestFingerprint(std::string_view Caller,
                                      std::string_view Method,
                                      std::string_view Target,
                                      std::string_view Body) {
  return RequestFingerprint(stableHash(
      Body, stableHash(Target, stableHash(Method, stableHash(Caller)))));
}

RunOutcomes &RunOutcomes::operator+=(const RunOutcomes &Other) {
  Interrupted += Other.Interrupted;
  Answered += Other.Answered;
  return *this;
}

void CrashHistory::evictExpired() {
  const TimePoint Now = Time.now();
  std::erase_if(OwnEntries, [Now](const auto &Item) {
    return Now - Item.second.UpdatedAt > RetentionTime;
  });
}

void CrashHistory::recordInterrupted(RequestFingerprint Fingerprint) {
  evictExpired();
  if (OwnEntries.size() >= MaxFingerprints &&
      !OwnEntries.contains(Fingerprint)) {
    // Fingerprints with few interruptions are the least likely to be the cause
    // of crashes.
    const auto Victim =
        std::min_element(OwnEntries.begin(), OwnEntries.end(),
                         [](const auto &Left, const auto &Right) {
                           return std::pair(Left.second.Outcomes.Interrupted,
                                            Left.second.UpdatedAt) <
                                  std::pair(Right.second.Outcomes.Interrupted,
                                            Right.second.UpdatedAt);
                         });
    OwnEntries.erase(Victim);
  }
  Entry &Recorded = OwnEntries[Fingerprint];
  ++Recorded.Outcomes.Interrupted;
  Recorded.UpdatedAt = Time.now();
}

void CrashHistory::recordAnswered(RequestFingerprint Fingerprint) {
  if (!OwnEntries.contains(Fingerprint) && !PeerOutcomes.contains(Fingerprint))
    return;
  Entry &Recorded = OwnEntries[Fingerprint];
  ++Recorded.Outcomes.Answered;
  Recorded.UpdatedAt = Time.now();
}

bool CrashHistory::shouldRefuse(RequestFingerprint Fingerprint) const {
  RunOutcomes Total;
  const auto OwnEntry = OwnEntries.find(Fingerprint);
  if (OwnEntry != OwnEntries.end() &&
      Time.now() - OwnEntry->second.UpdatedAt <= RetentionTime)
    Total += OwnEntry->second.Outcomes;
  const auto PeerEntry = PeerOutcomes.find(Fingerprint);
  if (PeerEntry != PeerOutcomes.end())
    Total += PeerEntry->second;
  return Total.Interrupted >= MaxCrashes && Total.Answered == 0;
}

CrashTable CrashHistory::own() {
  evictExpired();
  CrashTable Table;
  for (const auto &[Fingerprint, Recorded] : OwnEntries)
    Table.emplace(Fingerprint, Recorded.Outcomes);
  return Table;
}

} // namespace mallowglade::dataplane
