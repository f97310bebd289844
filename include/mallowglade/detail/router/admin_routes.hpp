#pragma once

#include <mallowglade/core.hpp>

#include <functional>
#include <map>
#include <string>

namespace mallowglade {

/// @brief An operator's request.
struct AdminRequest {
  std::string Path;
  std::map<std::string, std::string> Parameters;
  std::string Body;
  /// Bearer key as sent; the handler checks it.
  std::string Key;
  /// Address of the operator's connection.
  std::string RemoteAddress;
};

/// @brief Reply to an operator.
struct AdminReply {
  int Status = 200;
  /// JSON document.
  std::string Body;
};

/// @brief Where services add the operators' calls, all under `/admin/`.
class AdminRoutes {
public:
  /// @brief Serves a call on a traffic thread; may block.
  using Handler = std::function<AdminReply(const AdminRequest &)>;

  virtual ~AdminRoutes() = default;
  /// @brief Adds a call; to be done before the front end starts.
  /// @param Method `GET` or `POST`
  /// @param Path exact path, for example `/admin/status`
  /// @param Serve handler
  virtual void add(const std::string &Method, const std::string &Path,
                   Handler Serve) = 0;
};

} // namespace mallowglade
