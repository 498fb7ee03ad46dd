// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/region_choice_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
bool is_home(const region_name& _region, const std::vector<std::string>& _home_regions)
{
	return _home_regions.end() != std::find(_home_regions.begin(), _home_regions.end(), _region.text);
}

bool allowed(const region_name& _region, const std::vector<std::string>& _home_regions)
{
	return _home_regions.empty() || is_home(_region, _home_regions);
}
} // namespace

region_choice choose_region(affinity_key _key, const route& _route, const region_name& _own_region,
    const region_distances& _distances, service_shares& _shares, std::minstd_rand& _random)
{
	const double position = affinity_position(_key, _random);
	// Requests with large answers stay near their caller: the bytes sent between regions cost more than the
	// key's affinity saves.
	if (_key.any() && !_route.large_answers)
	{
		region_name region = _shares.of_keys.region_of(position);
		if (region == _own_region || _distances.near_enough(region, _route.objective))
		{
			return {std::move(region), region_rule::by_key};
		}
	}
	return {_shares.by_demand.next_region(position), region_rule::by_share};
}

std::vector<region_name> regions_to_try(const region_name& _planned, const share_by_region& _shares,
    const std::vector<std::string>& _home_regions)
{
	std::vector<region_name> regions;
	if (!_planned.empty() && allowed(_planned, _home_regions))
	{
		regions.push_back(_planned);
	}
	std::vector<std::pair<double, region_name>> others;
	for (const auto& [region, share] : _shares)
	{
		if (region != _planned && allowed(region, _home_regions))
		{
			others.emplace_back(-share, region);
		}
	}
	std::sort(others.begin(), others.end());
	for (auto& [share, region] : others)
	{
		regions.push_back(std::move(region));
	}
	if (regions.empty())
	{
		for (const std::string& home : _home_regions)
		{
			regions.emplace_back(home);
		}
	}
	return regions;
}

bool must_leave(const region_name& _planned, const std::vector<std::string>& _home_regions)
{
	return _planned.empty() || !allowed(_planned, _home_regions);
}

overflow_decision overflow_bucket::may_leave(const region_name& _planned,
    const std::vector<std::string>& _home_regions, double _requests_per_s, steady_time _now)
{
	if (must_leave(_planned, _home_regions))
	{
		return overflow_decision::no_choice;
	}
	const double per_s = std::max(k_overflow_min_per_s, k_overflow_fraction * _requests_per_s);
	return m_bucket.take(per_s, k_overflow_burst, _now) ? overflow_decision::overflow
	                                                    : overflow_decision::denied;
}
} // namespace larkrack
