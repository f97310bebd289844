#pragma once

/// @file
/// @brief The platform's services behind interfaces, and their adapters.

#include <mallowglade/detail/platform/etcd_store.hpp>
#include <mallowglade/detail/platform/http_instance_list.hpp>
#include <mallowglade/detail/platform/instance_list.hpp>
#include <mallowglade/detail/platform/key_value_store.hpp>
