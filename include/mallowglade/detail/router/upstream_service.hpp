#pragma once

#include <mallowglade/detail/router/context.hpp>
#include <mallowglade/detail/router/upstream_directory.hpp>

#include <map>
#include <set>

namespace mallowglade {

/// @brief Upstreams from the instance list, corrected by direct signs.
class UpstreamService final
    : public UpstreamDirectory,
      public RouterPart,
      public std::enable_shared_from_this<UpstreamService> {
public:
  /// @param Context what the router's services share
  explicit UpstreamService(RouterContext Context);

  std::vector<Upstream> available(const PoolId &Pool) const override;
  bool isLeaving(const UpstreamId &Id) const override;
  void markLeaving(const UpstreamId &Id) override;
  void markDown(const UpstreamId &Id) override;
  void pause(const UpstreamId &Id, Milliseconds Span) override;
  void recordLimit(const UpstreamId &Id, std::optional<RequestRate> Rate,
                   TimePoint SaidAt) override;
  std::vector<LimitStatement> limits(const PoolId &Pool) const override;
  void onChange(std::function<void()> Changed) override;
  void start() override;

private:
  struct Entry {
    Upstream Info;
    bool Leaving = false;
    bool Down = false;
    TimePoint PausedUntil{};
    /// Time of the latest statement on a limit; none if it is the earliest.
    TimePoint LimitSaidAt{};
  };
  void refresh();
  void apply(const std::vector<Instance> &Instances);
  void probe(const UpstreamId &Id);
  void notify();

  RouterContext Context;
  std::map<UpstreamId, Entry> Entries;
  std::vector<std::function<void()>> Listeners;
  bool RefreshRunning = false;
};

} // namespace mallowglade
