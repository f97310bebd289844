#pragma once

/// @file
/// @brief Instance settings and the settings tree.

#include <mallowglade/detail/settings/audit.hpp>
#include <mallowglade/detail/settings/bounded_json.hpp>
#include <mallowglade/detail/settings/change.hpp>
#include <mallowglade/detail/settings/instance_settings.hpp>
#include <mallowglade/detail/settings/json_reader.hpp>
#include <mallowglade/detail/settings/replica.hpp>
#include <mallowglade/detail/settings/snapshot.hpp>
#include <mallowglade/detail/settings/tree.hpp>
