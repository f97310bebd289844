#pragma once

#include <mallowglade/detail/router/admin_routes.hpp>
#include <mallowglade/detail/router/context.hpp>
#include <mallowglade/detail/router/settings_service.hpp>
#include <mallowglade/detail/router/settings_versions.hpp>

#include <atomic>
#include <mutex>

namespace mallowglade {

/// @brief The operators' settings tree: this router's copy and its changes.
class TreeSettingsService final
    : public SettingsService,
      public SettingsVersions,
      public RouterPart,
      public std::enable_shared_from_this<TreeSettingsService> {
public:
  /// @param Context what the router's services share
  explicit TreeSettingsService(RouterContext Context);

  std::shared_ptr<const SettingsTree> current() const override;
  bool ready() const override;
  void onChange(std::function<void()> Changed) override;
  SettingsVersion version() const override;
  void noticeVersion(SettingsVersion Version, const RouterId &Peer) override;
  void start() override;
  void drain() override;

  /// @return records in force; safe from any thread
  std::shared_ptr<const SettingsSnapshot> records() const;
  /// @brief Runs an operator's change on the platform threads and waits.
  /// @param Command what to change
  /// @param Origin where the command comes from
  /// @return how the change ended; an accepted one is in force here by then
  ChangeResult change(ChangeCommand Command, ChangeOrigin Origin);

private:
  void perform(const ReplicaActions &Actions);
  void performOne(const ReadHead &Action);
  void performOne(const ReadPacks &Action);
  void performOne(const WatchHead &Action);
  void performOne(const SendSettingsRequest &Action);
  void performOne(const NotifyPeers &Action);
  void performOne(const ApplySettings &Action);
  void performOne(const LogInvalidSettings &Action);
  void receivePeerMessages();
  void updateMembers();
  void publishReady();
  void applyOwnChange(const ChangeResult &Result);
  TimePoint now() const { return Context.Time.now(); }

  RouterContext Context;
  SeededRandom Random;
  SettingsSnapshot Seed;
  SettingsReplica Replica;
  std::vector<std::function<void()>> Listeners;
  mutable std::mutex Mutex;
  std::shared_ptr<const SettingsTree> Tree;
  std::shared_ptr<const SettingsSnapshot> Records;
  std::atomic<bool> Ready{false};
};

} // namespace mallowglade
