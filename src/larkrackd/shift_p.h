// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Shifts: a service's shares move in steps from those in force to those that the operators declared.
///
/// Decides: the goal of a shift (goal_shares), whether the next step must wait (waits_for), and the window
/// that limiters use (limiter_window). Pure functions; control_shifts applies them under a lease.
/// Owns: no state. The step in force is a record in the store (step_record), changed by compare-and-swap;
/// each node keeps a copy, so a shift continues from there when a driver or the store comes back.
/// Relies on: mix for the rate limit, policy for declared shares, cap and window.
/// Units: shares from 0 to 1; windows in microseconds; capacity in slots.
/// Reasons and figures: docs/DESIGN.md (Shifts), docs/MEASUREMENTS.md (row shift).
#pragma once

#include "larkrackd/mix_p.h"
#include "larkrackd/policy_p.h"

#include <map>
#include <string>

namespace larkrack
{
/// Step that is in force, as recorded in the store.
struct step_record
{
	std::uint64_t sequence = 0;
	std::map<std::string, double> shares; ///< By region name.
	std::map<std::string, double> goal;   ///< By region name.
	std::string state = "done";           ///< "done", "moving" or "waiting".
	std::string waits_for;                ///< "headroom" or "cold"; empty if the step does not wait.
	wall_time at{};                       ///< When the record was written.
	std::uint64_t number = 0;             ///< Steps since the goal was set.
	std::string by;                       ///< Entry VM that wrote the record.
};

/// Capacity of a region for one service, as its entry VMs report it.
struct region_capacity
{
	bool open = false; ///< At least one entry VM of the region is alive and has slots.
	int usable = 0;    ///< Slots that may be used now.
	int running = 0;   ///< Slots in use.
	int slots = 0;     ///< Declared slots of all its backend servers.
	bool cold = false; ///< Some of its backend servers are cold.
};

/// @returns Why the next step must wait ("cold", "headroom"), or an empty text if the step may be made. Only
/// regions whose share grows are checked.
std::string waits_for(const std::vector<double>& _from, const std::vector<double>& _goal,
    const std::vector<region_capacity>& _capacities);
/// @returns Declared shares without the drained regions.
std::vector<double> goal_shares(const policy& _policy, const service_spec& _service);
/// @returns Window that limiters use: the declared window and a margin for the time that a step takes to
/// reach all nodes.
std::chrono::microseconds limiter_window(const steering_spec& _steering);

/// @returns JSON text of a record, as the store holds it.
std::string to_text(const step_record& _record);
/// @returns The record; sequence 0 if the text is not a record.
step_record step_from_text(const std::string& _text);
/// @returns Shares by region handle; empty if there are none or the policy lacks one of the regions.
std::vector<double> shares_of(const policy& _policy, const std::map<std::string, double>& _by_name);
/// @returns Shares by region name.
std::map<std::string, double> shares_by_name(const policy& _policy, const std::vector<double>& _shares);
} // namespace larkrack
