// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Load level log: decides when the load level of a service in a region is logged.
///
/// Handles levels that change a little at each tick. Inputs: the load level (0 to 1) of each region.
///
/// Algorithm: levels are divided into bands: 0, and k_load_level_bands bands of equal width above it. A level
/// is logged when it is in another band than the level that was logged last and differs from it by
/// k_min_logged_level_change, so that a level at the bound of a band is not logged at each tick. The return
/// to 0 is always logged.
///
/// Alternatives: logging each change, which is a line for each region at each tick under load.
///
/// Owns the level of each region that had one, and the levels that were logged.
#pragma once

#include "steering/rates_p.h"

#include <map>
#include <utility>
#include <vector>

namespace larkrack
{
/// Number of bands above 0. More: more log lines. Fewer: the log tells less about the course of an overload.
constexpr int k_load_level_bands = 4;
/// Difference from the level that was logged last, below which no level above 0 is logged. Larger: bands are
/// logged late. Smaller: a level at the bound of a band is logged again and again.
constexpr double k_min_logged_level_change = 0.05;

/// Levels of one service.
class load_level_log
{
public:
	/// @param[in] _levels By region; a region without load is left out.
	/// @returns Levels that have to be logged.
	std::vector<std::pair<region_name, double>> update(const rate_by_region& _levels);
	/// @returns Level of each region that ever had one.
	const rate_by_region& levels() const
	{
		return m_levels;
	}

private:
	rate_by_region m_levels;
	rate_by_region m_logged;
};
} // namespace larkrack
