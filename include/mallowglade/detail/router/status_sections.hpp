#pragma once

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace mallowglade {

/// @brief Where parts of the router add what `/admin/status` shows.
class StatusSections {
public:
  /// @brief Describes a part's state; runs on the control thread.
  using Section = std::function<nlohmann::json()>;

  virtual ~StatusSections() = default;
  /// @brief Adds a section; to be done before the front end starts.
  /// @param Name member of the status document, for example `cells`
  /// @param Describe writes the section
  virtual void addSection(const std::string &Name, Section Describe) = 0;
};

} // namespace mallowglade
