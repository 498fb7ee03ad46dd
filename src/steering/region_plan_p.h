// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Region plan: how the requests of one region and service should be divided among the regions.
///
/// Decides the planned shares, and whether a region's capacity failed. In that case the plan takes effect at
/// once; otherwise region_shares_p.h moves the shares in force towards it. Inputs, for one service: slots of
/// the backend servers by region; requests per second by region of the nodes that took them; mean service
/// time (seconds). Demand and capacity are both in slots: demand is rate times service time.
///
/// Algorithm, for requests without a key: they run in the home region up to its capacity, and the rest goes
/// to other regions in proportion to their spare capacity. When all regions together cannot carry the demand,
/// each region is granted the same fraction of its own demand. For requests with a key: the same, but with
/// the peaks of the demand (peak_rates_p.h) instead of the current demand, so that a steady set of keys stays
/// in the home region and a steady set is spilled.
///
/// Requests whose home regions leave one region only are not divided. Their slots are deducted from the
/// capacity of that region first, so that it is not filled with requests that could run elsewhere.
///
/// Alternatives (docs/DESIGN.md, "Keys"): dividing the keys by the slots of the regions, whatever their home
/// region; counting demand as 0 until it is measured, which overloads small regions at the start.
///
/// Relies on heartbeats for the rates of other nodes, and on backend_state_p.h for which backend servers are
/// usable and warm.
#pragma once

#include "steering/backend_state_p.h"
#include "steering/rates_p.h"

#include <map>
#include <vector>

namespace larkrack
{
/// Fraction of the slots that plans count on: a region spills before its last slot is used. Larger: more
/// requests stay in the home region. Smaller: less queueing, and room for rising demand; 0.85 loses up to
/// 0.02 of a quiet day where a region has few slots (docs/DECISIONS.md).
constexpr double k_planned_slot_fraction = 0.7;
/// A region that lost this fraction of its slots counts as failed. Smaller: keys move for a few ejected
/// backend servers. Larger: requests fail for longer.
constexpr double k_capacity_loss = 0.3;
/// Fraction of all slots that unmeasured demand is assumed to occupy, divided equally among the regions.
/// Larger: small regions spill requests at the start. Smaller: small regions are overloaded at the start.
constexpr double k_initial_load = 0.8;
/// Slots, or fraction of the demand, below which a sum is a rounding error and counts as 0. Not a tuning
/// value.
constexpr double k_rounding_error = 1e-9;

/// Demand and capacity of a region for one service.
struct region_load
{
	double demand = 0.0;   ///< Slots that the requests of the region's callers would occupy.
	double capacity = 0.0; ///< Slots of usable and warm backend servers that plans count on.
};

/// Measured demand for one service.
struct demand_rates
{
	rate_by_region per_s; ///< Requests per second, by region of the nodes that took them; sum over all nodes.
	double service_time_s = 0.0; ///< Mean time of an exchange with a backend server.
	/// Fraction of the demand that the rates do not cover yet, 0 to 1; k_initial_load stands in for it.
	double unmeasured = 0.0;
	/// Requests per second that may run in that region only; sum over all nodes, not included in per_s.
	rate_by_region pinned_per_s{};
};

using load_by_region = std::map<region_name, region_load>;
/// Fractions of the requests, 0 to 1.
using share_by_region = std::map<region_name, double>;

/// Computes demand and capacity of each region.
/// @param[in] _home Region of this node.
load_by_region region_loads(const region_name& _home, const std::vector<backend_state*>& _backends,
    const demand_rates& _rates, steady_time _now);

/// @returns Planned shares of the requests, which sum up to 1; empty when no region has any capacity.
share_by_region plan_shares(const region_name& _home, const load_by_region& _figures);

/// Planned shares, and whether they take effect at once.
struct region_plan
{
	share_by_region shares; ///< Empty: no region has any capacity.
	bool immediate = false; ///< Capacity failed, so that a gradual shift would only fail requests.
};

/// Plans the shares of requests without a key.
/// @param[in] _last_capacity Capacity of the home region in the previous plan, in slots.
region_plan plan_by_demand(const region_name& _home, const load_by_region& _figures, double _last_capacity);
/// Plans the shares of requests with a key.
/// @param[in] _figures With the peaks of the demand.
/// @param[in] _in_force Shares in force. The plan takes effect at once when a region with a share among them
/// lost slots to ejections; planned changes (drain, evacuation) do not count as lost.
region_plan plan_for_keys(const region_name& _home, const load_by_region& _figures,
    const share_by_region& _in_force, const std::vector<backend_state*>& _backends, steady_time _now);
/// @returns Capacity of a region, in slots.
double capacity_of(const load_by_region& _figures, const region_name& _region);
} // namespace larkrack
