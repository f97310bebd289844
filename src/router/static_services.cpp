#include <mallowglade/detail/router/static_services.hpp>

namespace mallowglade {

StaticSettings::StaticSettings(SettingsTree Tree)
    : Tree(std::make_shared<const SettingsTree>(std::move(Tree))) {}

std::shared_ptr<const SettingsTree> StaticSettings::current() const {
  return Tree;
}

bool StaticSettings::ready() const { return true; }

void StaticSettings::onChange(std::function<void()>) {}

SingleMember::SingleMember(Member Self) : Self(std::move(Self)) {}

Member SingleMember::self() const { return Self; }

std::vector<Member> SingleMember::alive() const { return {Self}; }

std::size_t SingleMember::registeredCount() const { return 1; }

RouterId SingleMember::ownerOf(const std::string &) const { return Self.Id; }

void SingleMember::announceLeaving() { Self.AcceptsWork = false; }

void SingleMember::onChange(std::function<void()>) {}

} // namespace mallowglade
