// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Service steering: all that the decisions about requests of one service keep from one request to the next.
///
/// Owns the shares of regions, the retry budget, the overflow bucket, the key frequencies, the measured
/// demand and this node's parts of the slots; each is a module of its own and described there. Decides when a
/// change of the home share is worth a line of the log (k_logged_share_change).
///
/// Relies on the owner to call update() at a steady interval, with figures of all nodes.
#pragma once

#include "steering/backend_choice_p.h"
#include "steering/demand_meter_p.h"
#include "steering/key_frequency_p.h"
#include "steering/peak_rates_p.h"
#include "steering/region_choice_p.h"
#include "steering/region_plan_p.h"
#include "steering/retry_budget_p.h"

#include <optional>

namespace larkrack
{
/// Change of the home region's share that is logged, no unit. Smaller logs more lines. Not measured.
constexpr double k_logged_share_change = 0.05;

/// Bounds that hold over all nodes.
struct shared_bounds
{
	retry_limits retries;
	/// Part of a region's requests that may change their region from one window to the next.
	double max_shift = 0.0;
	std::chrono::milliseconds shift_window{2000}; ///< That window; fixed by the meaning of the setting.
};

/// Planning goes through all backend servers three times, some 0.1 us each time (worked out).
/// @param[in] _backends Backend servers of all services.
/// @returns Time between two plans at least, so that they take 0.3% of a core at any size: 1 s for 10,000,
/// while a fleet with up to 1,000 plans at each tick. Shares follow a change that much later.
std::chrono::milliseconds plan_pause(std::size_t _backends);

/// A change of the shares that is worth a line of the log, with the figures that led to it.
struct share_change
{
	double home_share = 0.0;
	figures_by_region figures;
};

/// One service at this node.
class service_steering
{
public:
	service_steering(region_name _home, const shared_bounds& _bounds);

	/// Plans the shares anew, and moves those in force towards the plan.
	/// @param[in] _per_s_elsewhere Requests a second that other nodes took, by their region.
	/// @param[in] _bound_elsewhere Those of them that may run in one region only, by that region.
	/// @returns The change of the shares by demand since the last line of the log, if it is worth one.
	std::optional<share_change> update(const std::vector<backend_state*>& _backends,
	    rate_by_region _per_s_elsewhere, rate_by_region _bound_elsewhere, steady_time _now);
	/// @returns This node's part of the slots in a region; all of them as long as nothing is known.
	slot_portion own_portion(const region_name& _region) const;
	void set_own_portion(const region_name& _region, const slot_portion& _portion)
	{
		m_own_portions[_region] = _portion;
	}

	/// Counts a first try that may run in one region only. The shares have no say in it.
	void count_bound(const region_name& _region)
	{
		m_bound[_region].count_arrival();
	}
	/// Takes the arrivals since the last tick into the rates.
	/// @param[in] _passed_s Time since then.
	void tick(double _passed_s);
	/// @returns Requests a second that may run in one region only, by that region.
	rate_by_region bound_per_s() const;
	/// @returns About the requests a second that this node sends to a region, those like one with that key.
	double sent_per_s(const region_name& _region, affinity_key _key) const;

	service_shares shares;
	retry_budget retries;
	overflow_bucket overflow;
	key_frequency keys;
	demand_meter demand;

private:
	region_name m_home;
	first_rates m_first_rates;
	peak_rates m_peaks;
	std::map<region_name, demand_meter> m_bound; ///< What may run in one region only.
	double m_last_capacity = 0.0;                ///< Of the home region, in slots.
	double m_logged_home_share = 1.0;            ///< By the last line of the log.
	std::map<region_name, slot_portion> m_own_portions;
};
} // namespace larkrack
