// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Checks the guarantees of the system against histories that callers, backend servers and nodes have
/// written.
/// Owns: no state.
/// Relies on: comparable clocks of all writers of a history; they are one clock when all programs run on one
/// host.
#pragma once

#include "testing/deployment_p.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace larkrack
{
/// Maximum gain of a region's share of one service in a time window.
struct cap_rule
{
	double cap = 0.1;
	std::int64_t window_us = 5000000;
};

/// Parameters of the guarantees that a history is checked against.
struct check_rules
{
	std::map<std::string, std::string> region_of_backend;
	std::map<std::string, int> slots_of_region; ///< Slots by "service/region".
	std::map<std::string, double> max_share;    ///< Maximum fraction of slots in use, by region; missing: 1.
	std::map<std::string, cap_rule> caps;       ///< Caps by service.
	std::int64_t drain_grace_us = 2000000;      ///< Time after a drain for which new requests are allowed.
	std::int64_t config_spread_us = 5000000;    ///< Time in which every node must apply a configuration.
};

/// Violation of one guarantee.
struct violation
{
	std::string guarantee; ///< run_twice, false_refusal, over_slots, over_region, cut, crossed, phantom,
	                       ///< late_work, cap, reverted, not_in_force.
	std::string what;      ///< Description of the violation.
};

/// Violations and statistics of a history.
struct check_report
{
	std::vector<violation> violations;
	std::uint64_t tries = 0;
	std::uint64_t served = 0;
	std::uint64_t not_run = 0;
	std::uint64_t unknown = 0;
	std::uint64_t runs = 0;
	double max_gain_over_cap = 0.0; ///< Maximum gain of a region in a window, as a fraction of the cap.
	double last_new_work_s =
	    -1.0; ///< Time of the last new request after a drain was ordered; negative: no drain.
	double headroom_min = 1.0; ///< Minimum fraction of free slots of a region for one service.

	/// @returns Number of violations of one guarantee.
	std::size_t count(const std::string& _guarantee) const;
};

/// @returns Rules for a deployment whose services all have the same cap.
check_rules rules_for(const deployment& _deployment, double _cap, double _window_s);
/// Checks a history.
/// @param[in] _lines Lines of callers ("request"), of backend servers ("run"), of operators ("drain",
/// "undrain") and of nodes' logs ("event").
check_report check_history(const std::vector<nlohmann::json>& _lines, const check_rules& _rules);
} // namespace larkrack
