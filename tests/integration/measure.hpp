#pragma once

/// Measurements of whole fleets; each prints one JSON object a line.
namespace fleet {

/// Fairness, utilisation and control traffic for each policy.
/// @return 0, or 1 if the policy `cell` misses a stated number
int measureFleet();
/// Verdicts and executions under failures.
/// @return 0, or 1 on a wrong answer, double run or false `not_run`
int measureFailures();
/// Time from the acceptance of a change until it is in force everywhere.
int measureSettings();
/// A mixed load of two workspaces on three routers, for a first look.
int runQuickstart();

} // namespace fleet
