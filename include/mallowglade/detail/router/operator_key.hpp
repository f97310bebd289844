#pragma once

#include <mallowglade/detail/router/context.hpp>

namespace mallowglade {

/// @brief Checks the credential of an operators' call that only reads.
/// @param Context what the router's services share
/// @param Key bearer key as sent
/// @return true for the platform's key or that of any operator in force
bool isOperatorKey(const RouterContext &Context, const std::string &Key);

} // namespace mallowglade
