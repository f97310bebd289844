#pragma once

#include <mallowglade/detail/router/admin_routes.hpp>
#include <mallowglade/detail/router/answer.hpp>
#include <mallowglade/detail/router/context.hpp>
#include <mallowglade/detail/router/request_runner.hpp>

#include <memory>
#include <string>

namespace mallowglade {

/// @brief Serves callers and operators over HTTP.
class FrontEnd final : public AdminRoutes {
public:
  /// @param Context what the router's services share
  /// @param Answers where answers are kept
  /// @param Runner runs accepted requests
  FrontEnd(RouterContext Context, AnswerStore &Answers,
           std::shared_ptr<RequestRunner> Runner);
  ~FrontEnd() override;
  FrontEnd(const FrontEnd &) = delete;
  FrontEnd &operator=(const FrontEnd &) = delete;

  void add(const std::string &Method, const std::string &Path,
           Handler Serve) override;
  /// @brief Binds the address and starts to serve.
  /// @return nothing, or the reason why the address cannot be used
  Result<Success> start();
  /// @brief New requests get a redirect to other routers from now on.
  void redirectNewRequests();
  /// @return requests whose reply is not completely written
  std::size_t serving() const;
  /// @brief Updates the address answer; called on the control thread.
  void publishAddresses(std::vector<std::string> Addresses);
  /// @brief Closes all connections and waits for their threads.
  void stop();

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace mallowglade
