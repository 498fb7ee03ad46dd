// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/load_level_log_p.h"

#include <algorithm>
#include <cmath>

namespace larkrack
{
namespace
{
/// @returns 0 for no load, else 1 to k_load_level_bands.
int band_of(double _level)
{
	return std::clamp(static_cast<int>(std::ceil(_level * k_load_level_bands)), 0, k_load_level_bands);
}

bool must_be_logged(double _level, double _logged)
{
	if (band_of(_level) == band_of(_logged))
	{
		return false;
	}
	return _level <= 0.0 || std::abs(_level - _logged) >= k_min_logged_level_change;
}
} // namespace

std::vector<std::pair<region_name, double>> load_level_log::update(const rate_by_region& _levels)
{
	for (auto& [region, level] : m_levels)
	{
		level = 0.0;
	}
	for (const auto& [region, level] : _levels)
	{
		m_levels[region] = level;
	}
	std::vector<std::pair<region_name, double>> changes;
	for (const auto& [region, level] : m_levels)
	{
		double& logged = m_logged[region];
		if (must_be_logged(level, logged))
		{
			logged = level;
			changes.emplace_back(region, level);
		}
	}
	return changes;
}
} // namespace larkrack
