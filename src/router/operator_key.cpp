#include <mallowglade/detail/router/operator_key.hpp>

#include <mallowglade/detail/router/settings_service.hpp>

#include <algorithm>

namespace mallowglade {

bool isOperatorKey(const RouterContext &Context, const std::string &Key) {
  const std::string Hash = sha256Hex(Key);
  const std::string &Platform = Context.Settings.PlatformKeySha256;
  if (!Platform.empty() && secureEquals(Platform, Hash))
    return true;
  const auto Tree =
      Context.Services.find<SettingsService>(service_name::Settings)->current();
  return std::any_of(Tree->Operators.begin(), Tree->Operators.end(),
                     [&Hash](const OperatorSettings &Operator) {
                       return secureEquals(Operator.KeyHash, Hash);
                     });
}

} // namespace mallowglade
