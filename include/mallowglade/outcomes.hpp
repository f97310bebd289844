#pragma once

/// @file
/// @brief Verdicts, attempts, claims and crash quarantine.

#include <mallowglade/detail/outcomes/attempt_policy.hpp>
#include <mallowglade/detail/outcomes/claim_log.hpp>
#include <mallowglade/detail/outcomes/claim_messages.hpp>
#include <mallowglade/detail/outcomes/claim_partition.hpp>
#include <mallowglade/detail/outcomes/claim_record.hpp>
#include <mallowglade/detail/outcomes/claim_requester.hpp>
#include <mallowglade/detail/outcomes/crash_attribution.hpp>
#include <mallowglade/detail/outcomes/crash_quarantine.hpp>
#include <mallowglade/detail/outcomes/crash_report.hpp>
#include <mallowglade/detail/outcomes/crash_report_codec.hpp>
#include <mallowglade/detail/outcomes/quarantine_codec.hpp>
#include <mallowglade/detail/outcomes/verdict.hpp>
