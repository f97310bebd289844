#include <mallowglade/detail/dataplane/request_features.hpp>

#include <algorithm>

namespace mallowglade::dataplane {

RequestFeatures requestFeatures(const WorkspaceId &Caller,
                                std::string_view Method,
                                std::string_view Target, std::string_view Body,
                                const std::vector<PromptPart> &Parts) {
  const std::uint64_t Whole = stableHash(
      Body, stableHash(Target, stableHash(Method, stableHash(Caller.Value))));
  RequestFeatures Features{{FeatureKind::ExactRequest, Whole}};
  // The last part belongs to the request itself.
  for (std::size_t Index = 0; Index + 1 < Parts.size(); ++Index) {
    const RequestFeature Part{FeatureKind::PromptPart, Parts[Index].Hash};
    if (std::find(Features.begin(), Features.end(), Part) == Features.end())
      Features.push_back(Part);
  }
  return Features;
}

ServiceKey serviceKey(const ServiceId &Name) {
  return ServiceKey(stableHash(Name.Value));
}

UpstreamProcess upstreamProcess(const UpstreamRecord &Upstream) {
  return UpstreamProcess(stableHash(Upstream.Id.Value, Upstream.BornMs));
}

} // namespace mallowglade::dataplane
