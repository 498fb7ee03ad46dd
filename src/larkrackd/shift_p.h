// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Shifts: moving a service's shares in steps from those in force to those that the operators declared.
///
/// Decides: the goal of a shift (goal_shares), whether the next step must wait (waits_for), and the window
/// that limiters use (limiter_window). Pure functions; control_shifts drives them under a lease.
/// Owns: no state. The step in force is a record in the store (step_record), changed by compare-and-swap;
/// each node keeps a copy, so a shift goes on from there when a driver or the store comes back.
/// Relies on: mix for the rate limit, policy for declared shares, cap and window.
/// Units: shares from 0 to 1; windows in microseconds; room in slots.
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
	std::string waits_for;                ///< "headroom" or "cold"; empty when it does not wait.
	wall_time at{};                       ///< When it was written.
	std::uint64_t number = 0;             ///< Steps since the goal was set.
	std::string by;                       ///< Entry VM that wrote it.
};

/// What a region could take, as far as it is known.
struct region_room
{
	bool open = false; ///< Some entry VM there answers and has slots.
	int usable = 0;    ///< Slots that may be used now.
	int running = 0;   ///< Slots in use.
	int slots = 0;     ///< Declared slots of all its backend servers.
	bool cold = false; ///< Some of its backend servers are cold.
};

/// @returns Why the next step must wait ("cold", "headroom"), or an empty text when it may be made. Only
/// regions that gain are looked at.
std::string waits_for(const std::vector<double>& _from, const std::vector<double>& _goal,
    const std::vector<region_room>& _rooms);
/// @returns Declared shares with drained regions taken out.
std::vector<double> goal_shares(const policy& _policy, const service_spec& _service);
/// @returns Window that limiters use: the declared one, and a margin for the spread of steps.
std::chrono::microseconds limiter_window(const steering_spec& _steering);

/// @returns JSON text of a record, as the store holds it.
std::string to_text(const step_record& _record);
/// @returns The record; one with sequence 0 for text that is not a record.
step_record step_from_text(const std::string& _text);
/// @returns Shares by region handle; empty when the regions differ from the policy's.
std::vector<double> shares_of(const policy& _policy, const std::map<std::string, double>& _by_name);
/// @returns Shares by region name.
std::map<std::string, double> shares_by_name(const policy& _policy, const std::vector<double>& _shares);
} // namespace larkrack
