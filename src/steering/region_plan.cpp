// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/region_plan_p.h"

#include <algorithm>

namespace larkrack
{
load_by_region region_loads(const region_name& _home, const std::vector<backend_state*>& _backends,
    const demand_rates& _rates, steady_time _now)
{
	load_by_region figures;
	double capacity = 0.0;
	for (const backend_state* backend : _backends)
	{
		// A cold backend server bears few requests; it is left out until it is warm.
		if (backend->usable(_now) && !backend->region.empty() && !backend->cold(_now))
		{
			double slots = k_planned_slot_fraction * backend->registered.slots;
			if (backend->limit.limited())
			{
				// The backend server's own limit admits fewer requests than would fill its slots.
				slots = std::min(slots, *backend->limit.report().per_s * _rates.service_time_s);
			}
			figures[backend->region].capacity += slots;
			capacity += slots;
		}
	}
	for (const auto& [region, per_s] : _rates.pinned_per_s)
	{
		region_load& load = figures[region];
		load.capacity = std::max(0.0, load.capacity - per_s * _rates.service_time_s);
	}
	// The home region counts as a region with callers, even if nothing is known of it.
	figures.try_emplace(_home);
	for (const auto& [region, per_s] : _rates.per_s)
	{
		figures[region].demand += per_s * _rates.service_time_s;
	}
	const double unmeasured_demand =
	    _rates.unmeasured * k_initial_load * capacity / static_cast<double>(figures.size());
	for (auto& [region, load] : figures)
	{
		load.demand += unmeasured_demand;
	}
	return figures;
}

share_by_region plan_shares(const region_name& _home, const load_by_region& _figures)
{
	double demand = 0.0;
	double capacity = 0.0;
	for (const auto& [region, figures] : _figures)
	{
		demand += figures.demand;
		capacity += figures.capacity;
	}
	share_by_region shares;
	if (capacity < k_rounding_error)
	{
		return shares;
	}
	const auto home = _figures.find(_home);
	const double home_demand = _figures.end() == home ? 0.0 : home->second.demand;
	const double home_capacity = _figures.end() == home ? 0.0 : home->second.capacity;
	const double granted_fraction = demand > capacity ? capacity / demand : 1.0;
	if (home_demand * granted_fraction <= home_capacity && home_capacity > k_rounding_error)
	{
		shares[_home] = 1.0;
		return shares;
	}
	double total_spare = 0.0;
	for (const auto& [region, figures] : _figures)
	{
		if (region != _home)
		{
			total_spare += std::max(0.0, figures.capacity - granted_fraction * figures.demand);
		}
	}
	const double home_share =
	    home_demand < k_rounding_error ? 0.0 : home_capacity / (home_demand * granted_fraction);
	shares[_home] = home_share;
	for (const auto& [region, figures] : _figures)
	{
		if (region == _home)
		{
			continue;
		}
		const double spare = std::max(0.0, figures.capacity - granted_fraction * figures.demand);
		const double fraction = total_spare > k_rounding_error
		                            ? spare / total_spare
		                            : figures.capacity / (capacity - home_capacity);
		shares[region] = (1.0 - home_share) * fraction;
	}
	return shares;
}

region_plan plan_by_demand(const region_name& _home, const load_by_region& _figures, double _last_capacity)
{
	const bool failed = capacity_of(_figures, _home) < (1.0 - k_capacity_loss) * _last_capacity;
	return {plan_shares(_home, _figures), failed};
}

region_plan plan_for_keys(const region_name& _home, const load_by_region& _figures,
    const share_by_region& _in_force, const std::vector<backend_state*>& _backends, steady_time _now)
{
	// Slots of backend servers that accept new requests: planned changes (drain, evacuation) are left out.
	std::map<region_name, double> existing_slots;
	// Slots among them whose backend server is usable, that is, not ejected.
	std::map<region_name, double> usable_slots;
	for (const backend_state* backend : _backends)
	{
		if (backend->region.empty() || !backend->accepts_new_requests() || backend->cold(_now))
		{
			continue;
		}
		existing_slots[backend->region] += backend->registered.slots;
		usable_slots[backend->region] += backend->usable(_now) ? backend->registered.slots : 0;
	}
	bool failed = false;
	for (const auto& [region, share] : _in_force)
	{
		failed = failed || (share > k_rounding_error &&
		                       usable_slots[region] < (1.0 - k_capacity_loss) * existing_slots[region]);
	}
	return {plan_shares(_home, _figures), failed};
}

double capacity_of(const load_by_region& _figures, const region_name& _region)
{
	const auto figures = _figures.find(_region);
	return _figures.end() == figures ? 0.0 : figures->second.capacity;
}
} // namespace larkrack
