// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Shifts: steps from the shares in force to the shares that the operators declared.
#pragma once

#include "mix_p.h"
#include "policy_p.h"

#include <map>
#include <string>

namespace larkrack
{
/// Step that is in force, as recorded in the platform.
struct step_record
{
	std::uint64_t sequence = 0;
	std::map<std::string, double> shares; ///< By region.
	std::map<std::string, double> goal;
	std::string state = "done"; ///< "done", "moving" or "waiting".
	std::string waits_for;      ///< "headroom" or "cold"; empty when it does not wait.
	wall_time at{};
	std::uint64_t number = 0; ///< Steps since the goal was set.
	std::string by;
};

/// What a region could take, as far as it is known.
struct region_room
{
	bool open = false; ///< Some entry VM there answers and has slots.
	int usable = 0;
	int running = 0;
	int slots = 0;     ///< Declared slots of all its backend servers.
	bool cold = false; ///< Some of its backend servers are cold.
};

/// Why a step may not be made now; empty: it may.
std::string waits_for(const std::vector<double>& _from, const std::vector<double>& _goal,
    const std::vector<region_room>& _rooms);
/// @returns Declared shares with drained regions taken out.
std::vector<double> goal_shares(const policy& _policy, const service_spec& _service);
/// @returns Window that limiters use: the declared one, and a margin for the spread of steps.
std::chrono::microseconds limiter_window(const steering_spec& _steering);

std::string to_text(const step_record& _record);
step_record step_from_text(const std::string& _text);
/// @returns Shares by region handle; empty when the regions differ from the policy's.
std::vector<double> shares_of(const policy& _policy, const std::map<std::string, double>& _by_name);
std::map<std::string, double> shares_by_name(const policy& _policy, const std::vector<double>& _shares);
} // namespace larkrack
