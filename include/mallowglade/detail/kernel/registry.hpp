#pragma once

#include <any>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace mallowglade {

/// @brief Thread-safe registry of services by name; the only shared state of
///   the micro-kernel.
class ServiceRegistry {
public:
  /// @brief Registers a service and replaces any other of the same name.
  /// @param Name name of the service
  /// @param Service the service; `find` must ask for the same interface type
  template <class Interface>
  void add(std::string_view Name, std::shared_ptr<Interface> Service) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Services.insert_or_assign(std::string(Name), std::any(std::move(Service)));
  }

  /// @brief Finds a service.
  /// @param Name name used at registration
  /// @return the service, or null if none is registered under that name with
  ///   this interface
  template <class Interface>
  std::shared_ptr<Interface> find(std::string_view Name) const {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto Entry = Services.find(Name);
    if (Entry == Services.end())
      return nullptr;
    const auto *Service =
        std::any_cast<std::shared_ptr<Interface>>(&Entry->second);
    return Service == nullptr ? nullptr : *Service;
  }

private:
  mutable std::mutex Mutex;
  std::map<std::string, std::any, std::less<>> Services;
};

} // namespace mallowglade
