// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Service steering: the state that decisions about the requests of one service keep between requests.
///
/// Owns the shares of regions, the retry budget, the overflow bucket, the key frequencies, the measured
/// demand, the rule of choice and this node's share of the slots; each is described in a module of its own.
/// Decides when a change of the home region's share is logged (k_logged_share_change).
///
/// Relies on its owner to call update() at a steady interval, with the rates of all nodes.
#pragma once

#include "steering/backend_choice_p.h"
#include "steering/demand_meter_p.h"
#include "steering/demand_trend_p.h"
#include "steering/key_frequency_p.h"
#include "steering/peak_rates_p.h"
#include "steering/region_choice_p.h"
#include "steering/region_plan_p.h"
#include "steering/retry_budget_p.h"
#include "steering/service_choice_p.h"

#include <optional>

namespace larkrack
{
/// Change of the home region's share from which on it is logged. Smaller: more log lines.
constexpr double k_logged_share_change = 0.05;

/// Bounds that hold over all nodes.
struct shared_bounds
{
	retry_limits retries;
	/// Fraction of a region's requests that may change their region from one window to the next.
	double max_shift = 0.0;
	/// Length of that window; fixed by the definition of the setting.
	std::chrono::milliseconds shift_window{2000};
};

/// Minimum time between two plans. A plan iterates over all backend servers three times, about 0.1 us each
/// time (calculated).
/// @param[in] _backends Number of backend servers of all services.
/// @returns An interval at which planning takes 0.3% of a core at any size: 1 s for 10,000 backend servers,
/// while a fleet with up to 1,000 plans at each tick. Shares follow a change later by that interval.
std::chrono::milliseconds min_plan_interval(std::size_t _backends);

/// Change of the shares that is logged, with the demand and capacity that led to it.
struct share_change
{
	double home_share = 0.0;
	load_by_region figures;
};

/// State of one service at this node.
class service_steering
{
public:
	service_steering(region_name _home, const shared_bounds& _bounds);

	/// Plans the shares again, and moves the shares in force towards the plan.
	/// @param[in] _per_s_elsewhere Requests per second that other nodes took, by their region.
	/// @param[in] _pinned_elsewhere Those that may run in one region only, by that region.
	/// @returns The change of the shares by demand since the last one returned, if it has to be logged.
	std::optional<share_change> update(const std::vector<backend_state*>& _backends,
	    rate_by_region _per_s_elsewhere, rate_by_region _pinned_elsewhere, steady_time _now);
	/// @returns This node's share of the slots in a region; all slots until set_own_portion() was called.
	slot_portion own_portion(const region_name& _region) const;
	const std::map<region_name, slot_portion>& own_portions() const
	{
		return m_own_portions;
	}
	void set_own_portion(const region_name& _region, const slot_portion& _portion)
	{
		m_own_portions[_region] = _portion;
	}

	/// Counts a first attempt that may run in one region only. The shares do not apply to it.
	void count_pinned(const region_name& _region)
	{
		m_pinned[_region].count_arrival();
	}
	/// Adds the arrivals since the last tick to the rates.
	/// @param[in] _passed_s Time since the last tick.
	void tick(double _passed_s);
	/// @returns Requests per second that may run in one region only, by that region.
	rate_by_region pinned_per_s() const;
	/// @returns Approximate requests per second that this node sends to a region, of those with or without a
	/// key like this request.
	double sent_per_s(const region_name& _region, affinity_key _key) const;

	service_shares shares;
	retry_budget retries;
	overflow_bucket overflow;
	key_frequency keys;
	demand_meter demand;
	service_choice choice;

private:
	region_name m_home;
	rate_convergence m_first_rates;
	peak_rates m_peaks;
	demand_trend m_trend;
	std::map<region_name, demand_meter> m_pinned; ///< Requests that may run in one region only.
	double m_last_capacity = 0.0;                 ///< Capacity of the home region, in slots.
	double m_logged_home_share = 1.0;             ///< Share of the home region that was logged last.
	std::map<region_name, slot_portion> m_own_portions;
};
} // namespace larkrack
