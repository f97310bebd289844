#include <mallowglade/membership.hpp>

namespace mallowglade {

RouterId rendezvousOwner(const std::string &Role,
                         const std::vector<RouterId> &Members) {
  RouterId Best;
  std::uint64_t BestHash = 0;
  for (const RouterId &Candidate : Members) {
    const std::uint64_t Hash = stableHash(Role, stableHash(Candidate.Value));
    const bool Higher =
        Hash > BestHash || (Hash == BestHash && Candidate < Best);
    if (!Best.empty() && !Higher)
      continue;
    Best = Candidate;
    BestHash = Hash;
  }
  return Best;
}

} // namespace mallowglade
