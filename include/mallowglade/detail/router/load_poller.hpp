#pragma once

#include <mallowglade/detail/router/context.hpp>
#include <mallowglade/detail/router/upstream_directory.hpp>

#include <map>
#include <memory>
#include <optional>

namespace mallowglade {

/// @brief Reads the load reports of upstreams; control thread only.
class LoadPoller : public std::enable_shared_from_this<LoadPoller> {
public:
  /// @param Context what the router's services share
  explicit LoadPoller(RouterContext Context);
  /// @brief Starts a poll of each upstream that is due.
  /// @param List upstreams to poll
  void poll(const std::vector<Upstream> &List);
  /// @return requests that an upstream reported as running, if it did lately
  std::optional<std::uint32_t> runningOn(const UpstreamId &Id) const;

private:
  struct Report {
    std::optional<std::uint32_t> Running;
    TimePoint At;
    TimePoint NextPoll;
    bool Polling = false;
  };
  void take(const UpstreamId &Id, const Result<std::string> &Reply);

  RouterContext Context;
  std::map<UpstreamId, Report> Reports;
};

} // namespace mallowglade
