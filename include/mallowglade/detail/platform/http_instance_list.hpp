#pragma once

#include <mallowglade/detail/platform/instance_list.hpp>

namespace mallowglade {

/// @brief Parses an instance list; entries that name no instance are left out.
/// @param Text JSON object with the list `instances`
Result<std::vector<Instance>> parseInstanceList(const std::string &Text);

/// @brief Instance list read from `GET /v1/instances`.
class HttpInstanceList final : public InstanceList {
public:
  /// @param Endpoint address `ip:port`
  /// @param CallTimeout limit of one call
  HttpInstanceList(std::string Endpoint, Milliseconds CallTimeout);
  Result<std::vector<Instance>> list() override;

private:
  std::string Endpoint;
  Milliseconds CallTimeout;
};

} // namespace mallowglade
