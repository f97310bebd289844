#pragma once

#include <mallowglade/detail/router/member_service.hpp>
#include <mallowglade/detail/router/settings_service.hpp>

namespace mallowglade {

/// @brief Settings that never change, for a router of its own.
class StaticSettings final : public SettingsService {
public:
  /// @param Tree the settings
  explicit StaticSettings(SettingsTree Tree);
  std::shared_ptr<const SettingsTree> current() const override;
  bool ready() const override;
  void onChange(std::function<void()> Changed) override;

private:
  std::shared_ptr<const SettingsTree> Tree;
};

/// @brief A fleet of one router.
class SingleMember final : public MemberService {
public:
  /// @param Self this router
  explicit SingleMember(Member Self);
  Member self() const override;
  std::vector<Member> alive() const override;
  std::size_t registeredCount() const override;
  RouterId ownerOf(const std::string &Role) const override;
  void announceLeaving() override;
  void onChange(std::function<void()> Changed) override;

private:
  Member Self;
};

} // namespace mallowglade
