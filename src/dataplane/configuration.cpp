#include <mallowglade/detail/dataplane/configuration.hpp>

#include <algorithm>
#include <cctype>

namespace mallowglade::dataplane {

namespace {

std::string lowerCase(std::string_view Text) {
  std::string Lower(Text);
  std::transform(
      Lower.begin(), Lower.end(), Lower.begin(),
      [](unsigned char C) { return static_cast<char>(std::tolower(C)); });
  return Lower;
}

std::string_view stripPort(std::string_view Host) {
  const std::size_t Colon = Host.rfind(':');
  return Colon == std::string_view::npos ? Host : Host.substr(0, Colon);
}

} // namespace

void Configuration::index() {
  RoutesByHost.clear();
  WorkspaceByKey.clear();
  ServiceByName.clear();
  for (std::size_t Index = 0; Index < Routes.size(); ++Index)
    RoutesByHost[lowerCase(Routes[Index].Host)].push_back(Index);
  for (auto &[Host, Indices] : RoutesByHost)
    std::stable_sort(Indices.begin(), Indices.end(),
                     [this](std::size_t Left, std::size_t Right) {
                       return Routes[Left].PathPrefix.size() >
                              Routes[Right].PathPrefix.size();
                     });
  for (std::size_t Index = 0; Index < Workspaces.size(); ++Index)
    for (const std::string &Key : Workspaces[Index].Keys)
      WorkspaceByKey.emplace(Key, Index);
  for (std::size_t Index = 0; Index < Services.size(); ++Index)
    ServiceByName.emplace(Services[Index].Name, Index);
}

const Route *Configuration::match(std::string_view Host,
                                  std::string_view Path) const {
  const auto Found = RoutesByHost.find(lowerCase(stripPort(Host)));
  if (Found == RoutesByHost.end())
    return nullptr;
  for (const std::size_t Index : Found->second)
    if (Path.starts_with(Routes[Index].PathPrefix))
      return &Routes[Index];
  return nullptr;
}

const Workspace *Configuration::findWorkspaceByKey(std::string_view Key) const {
  const auto Found = WorkspaceByKey.find(std::string(Key));
  return Found == WorkspaceByKey.end() ? nullptr : &Workspaces[Found->second];
}

const Service *Configuration::findService(const ServiceId &Name) const {
  const auto Found = ServiceByName.find(Name);
  return Found == ServiceByName.end() ? nullptr : &Services[Found->second];
}

} // namespace mallowglade::dataplane
