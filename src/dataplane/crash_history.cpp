#include <mallowglade/detail/dataplane/crash_history.hpp>

#include <algorithm>

namespace mallowglade::dataplane {

RequestPrint printOf(std::string_view Caller, std::string_view Method,
                     std::string_view Target, std::string_view Body) {
  return RequestPrint(stableHash(
      Body, stableHash(Target, stableHash(Method, stableHash(Caller)))));
}

RunOutcomes &RunOutcomes::operator+=(const RunOutcomes &Other) {
  Interrupted += Other.Interrupted;
  Finished += Other.Finished;
  return *this;
}

void CrashHistory::forgetOld() {
  const TimePoint Now = Time.now();
  std::erase_if(Own, [Now](const auto &Each) {
    return Now - Each.second.Newest > RememberFor;
  });
}

void CrashHistory::interrupted(RequestPrint Print) {
  forgetOld();
  if (Own.size() >= MostPrints && !Own.contains(Print)) {
    // Prints that were interrupted once are the least telling ones.
    const auto Least = std::min_element(
        Own.begin(), Own.end(), [](const auto &Left, const auto &Right) {
          return std::pair(Left.second.Runs.Interrupted, Left.second.Newest) <
                 std::pair(Right.second.Runs.Interrupted, Right.second.Newest);
        });
    Own.erase(Least);
  }
  Entry &Of = Own[Print];
  ++Of.Runs.Interrupted;
  Of.Newest = Time.now();
}

void CrashHistory::finished(RequestPrint Print) {
  if (!Own.contains(Print) && !Peers.contains(Print))
    return;
  Entry &Of = Own[Print];
  ++Of.Runs.Finished;
  Of.Newest = Time.now();
}

bool CrashHistory::isolated(RequestPrint Print) const {
  RunOutcomes Fleet;
  const auto Mine = Own.find(Print);
  if (Mine != Own.end() && Time.now() - Mine->second.Newest <= RememberFor)
    Fleet += Mine->second.Runs;
  const auto Theirs = Peers.find(Print);
  if (Theirs != Peers.end())
    Fleet += Theirs->second;
  return Fleet.Interrupted >= MostCrashes && Fleet.Finished == 0;
}

CrashTable CrashHistory::own() {
  forgetOld();
  CrashTable Table;
  for (const auto &[Print, Of] : Own)
    Table.emplace(Print, Of.Runs);
  return Table;
}

} // namespace mallowglade::dataplane
