#pragma once

#include <mallowglade/detail/http1/blocking_call.hpp>
#include <mallowglade/detail/http1/event_stream.hpp>
#include <mallowglade/detail/http1/message.hpp>
#include <mallowglade/detail/http1/message_parser.hpp>
#include <mallowglade/detail/http1/server.hpp>
#include <mallowglade/detail/http1/server_exchange.hpp>
#include <mallowglade/detail/http1/upstream_connection.hpp>
#include <mallowglade/detail/http1/upstream_pool.hpp>
