// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Judges histories: each promise of the system against what callers and backend servers wrote down.
/// Owns: nothing. Relies on: the clocks of all writers, which are one clock where all run on one host.
#pragma once

#include "testing/deployment_p.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace larkrack
{
/// Cap of one service's shifts.
struct cap_rule
{
	double cap = 0.1;
	std::int64_t window_us = 5000000;
};

/// What a history is judged by.
struct check_rules
{
	std::map<std::string, std::string> region_of_backend;
	std::map<std::string, int> slots_of_region; ///< "service/region" to slots.
	std::map<std::string, double> max_share;    ///< By region; missing: 1.
	std::map<std::string, cap_rule> caps;       ///< By service.
	std::int64_t drain_grace_us = 2000000;      ///< New work may still come for so long after a drain.
	std::int64_t config_spread_us = 5000000;    ///< An accepted configuration is everywhere after so long.
};

/// One broken promise.
struct violation
{
	std::string promise; ///< run_twice, false_refusal, over_slots, over_region, cut, crossed, phantom,
	                     ///< late_work, cap, reverted, not_in_force.
	std::string what;
};

/// Verdict and figures.
struct check_report
{
	std::vector<violation> violations;
	std::uint64_t tries = 0;
	std::uint64_t served = 0;
	std::uint64_t not_run = 0;
	std::uint64_t unknown = 0;
	std::uint64_t runs = 0;
	double max_gain_over_cap = 0.0; ///< Largest gain of a region in a window, as a part of the cap.
	double last_new_work_s = -1.0;  ///< After a drain's order; negative: there was no drain.
	double headroom_min = 1.0;      ///< Smallest free part of a region's slots for one service.

	/// @returns Violations of one promise.
	std::size_t count(const std::string& _promise) const;
};

/// @returns Rules for a deployment with a cap for all its services.
check_rules rules_for(const deployment& _deployment, double _cap, double _window_s);
/// Judges a history.
/// @param[in] _lines Lines of callers ("request"), of backend servers ("run"), of operators ("drain",
/// "undrain") and of nodes' logs ("event").
check_report check_history(const std::vector<nlohmann::json>& _lines, const check_rules& _rules);
} // namespace larkrack
