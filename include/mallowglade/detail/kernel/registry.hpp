#pragma once

#include <any>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace mallowglade {

/// @brief Finds services by name; the micro-kernel's only shared state.
class ServiceRegistry {
public:
  /// @brief Registers a service; a second one under the same name replaces it.
  /// @param Name name to find the service by
  /// @param Service the service, stored under its interface type
  template <class Interface>
  void add(std::string_view Name, std::shared_ptr<Interface> Service) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Services.insert_or_assign(std::string(Name), std::any(std::move(Service)));
  }

  /// @brief Finds a service.
  /// @param Name name given at registration
  /// @return the service, or null if none is registered under that name with
  ///   this interface
  template <class Interface>
  std::shared_ptr<Interface> find(std::string_view Name) const {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto Found = Services.find(Name);
    if (Found == Services.end())
      return nullptr;
    const auto *Service =
        std::any_cast<std::shared_ptr<Interface>>(&Found->second);
    return Service == nullptr ? nullptr : *Service;
  }

private:
  mutable std::mutex Mutex;
  std::map<std::string, std::any, std::less<>> Services;
};

} // namespace mallowglade
