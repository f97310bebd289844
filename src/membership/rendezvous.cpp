#include <mallowglade/membership.hpp>

namespace mallowglade {

RouterId rendezvousOwner(const std::string &Role,
                         const std::vector<RouterId> &Members) {
  RouterId Owner;
  std::uint64_t OwnerHash = 0;
  for (const RouterId &Candidate : Members) {
    const std::uint64_t Hash = stableHash(Role, stableHash(Candidate.Value));
    const bool Outranks =
        Hash > OwnerHash || (Hash == OwnerHash && Candidate < Owner);
    if (!Owner.empty() && !Outranks)
      continue;
    Owner = Candidate;
    OwnerHash = Hash;
  }
  return Owner;
}

} // namespace mallowglade
