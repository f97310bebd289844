#pragma once

#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace mallowglade {

/// @brief A number or truth value of a JSON document.
struct JsonScalar {
  bool IsBoolean = false;
  /// 0 or 1 for a truth value.
  double Number = 0;
};

/// Scalars of a JSON document by path.
using JsonScalars = std::map<std::string, JsonScalar>;

/// @brief Reads single members of a JSON document of a caller or an upstream.
///
/// The document itself is not built: its size in memory is a multiple of that
/// of the text.
/// @param Paths names of members, or of members of members as `outer.inner`
/// @return the members that are numbers or truth values; none if the text is
///   not valid JSON or nested too deeply
JsonScalars readScalars(std::string_view Text,
                        std::initializer_list<std::string_view> Paths);

/// @param Max upper bound of the result
/// @return the number, if it is there and not negative
std::optional<double> positiveNumber(const JsonScalars &Scalars,
                                     const std::string &Path, double Max);

} // namespace mallowglade
