#include <mallowglade/membership.hpp>

#include <tuple>

namespace mallowglade {

std::string_view toString(MemberState State) {
  switch (State) {
  case MemberState::Alive:
    return "alive";
  case MemberState::Suspect:
    return "suspect";
  case MemberState::Dead:
    return "dead";
  }
  return "dead";
}

bool supersedes(const MemberRecord &Update, const MemberRecord &Known) {
  return std::tie(Update.Start, Update.VersionCounter, Update.State) >
         std::tie(Known.Start, Known.VersionCounter, Known.State);
}

} // namespace mallowglade
