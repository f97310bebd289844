#include <settings-client.hpp>

namespace fleet {

Reply setMember(const std::string &Router, const std::string &ChangeId,
                const std::string &Branch, long Base, const std::string &Path,
                const json &Value) {
  return postAsOperator(Router, "/admin/settings",
                        {{"change_id", ChangeId},
                         {"branch", Branch},
                         {"base_version", Base},
                         {"set", {{"path", Path}, {"value", Value}}}});
}

long settingsVersion(const std::string &Router) {
  const json Document = fetchAsOperator(Router, "/admin/settings").document();
  return Document.is_object() ? Document.value("version", -1L) : -1;
}

json branchValue(const std::string &Router, const std::string &Branch) {
  const json Document =
      fetchAsOperator(Router, "/admin/settings?branch=" + Branch).document();
  return Document.is_object() && Document.contains("value") ? Document["value"]
                                                            : json();
}

} // namespace fleet
