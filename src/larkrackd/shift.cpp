// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/shift_p.h"

#include <cmath>

namespace larkrack
{
namespace
{
/// Minimum fraction of a region's usable slots that must be free before its share grows. More keeps refusals
/// down while traffic moves, less lets a shift continue in a fuller fleet.
constexpr double k_min_free_fraction = 0.08;
/// Fraction of the declared window that is added for limiters, because a step reaches nodes at different
/// times. A larger one makes a shift slower by this fraction, a smaller one risks a gain above the cap. With
/// it, shifts stay within the cap (docs/MEASUREMENTS.md, row shift).
constexpr double k_window_margin_fraction = 0.1;
/// Minimum margin: for short windows the fraction alone would be less than steps need to reach all nodes.
constexpr std::chrono::milliseconds k_min_window_margin{200};
/// A gain below this is a rounding error and needs no free slots.
constexpr double k_gain_tolerance = 1e-9;
} // namespace

std::string waits_for(const std::vector<double>& _from, const std::vector<double>& _goal,
    const std::vector<region_capacity>& _capacities)
{
	for (std::size_t at = 0; at < _goal.size(); ++at)
	{
		if (_goal[at] <= _from[at] + k_gain_tolerance)
		{
			continue;
		}
		const region_capacity& capacity = _capacities[at];
		if (capacity.cold)
		{
			return "cold";
		}
		if (!capacity.open ||
		    capacity.usable - capacity.running < std::ceil(capacity.usable * k_min_free_fraction))
		{
			return "headroom";
		}
	}
	return "";
}

std::vector<double> goal_shares(const policy& _policy, const service_spec& _service)
{
	std::vector<bool> open(_policy.regions.size(), false);
	for (const domain_spec& domain : _policy.domains)
	{
		const bool drained = domain.drain || _policy.regions[domain.region.idx].drain;
		open[domain.region.idx] = open[domain.region.idx] || !drained;
	}
	return redistribute_closed_shares(_service.steering.shares, open);
}

std::chrono::microseconds limiter_window(const steering_spec& _steering)
{
	const auto margin = std::chrono::microseconds(
	    std::llround(static_cast<double>(_steering.window.count()) * k_window_margin_fraction));
	return _steering.window + std::max<std::chrono::microseconds>(margin, k_min_window_margin);
}

std::string to_text(const step_record& _record)
{
	return nlohmann::json({{"seq", _record.sequence}, {"shares", _record.shares}, {"goal", _record.goal},
	                          {"state", _record.state}, {"waits_for", _record.waits_for},
	                          {"at_us", to_us(_record.at)}, {"number", _record.number}, {"by", _record.by}})
	    .dump();
}

step_record step_from_text(const std::string& _text)
{
	step_record record;
	// The text is empty before the first record, or is not a record. No log line, because the text is read at
	// every tick: the driver then records the goal as the step in force (control::next_step), and each node's
	// mix_limiter still keeps to the cap.
	const nlohmann::json document = object_from_text(_text);
	// Records of earlier versions may lack fields, which then keep the defaults of step_record. A field of
	// another type throws: only larkrackd writes these records.
	record.sequence = document.value("seq", std::uint64_t{0});
	record.shares = document.value("shares", record.shares);
	record.goal = document.value("goal", record.goal);
	record.state = document.value("state", record.state);
	record.waits_for = document.value("waits_for", "");
	record.at = from_us(document.value("at_us", std::int64_t{0}));
	record.number = document.value("number", std::uint64_t{0});
	record.by = document.value("by", "");
	return record;
}

std::vector<double> shares_of(const policy& _policy, const std::map<std::string, double>& _by_name)
{
	std::vector<double> shares(_policy.regions.size(), 0.0);
	for (const auto& [name, share] : _by_name)
	{
		const region_handle region = _policy.find_region(name);
		if (!is_valid(region))
		{
			return {};
		}
		shares[region.idx] = share;
	}
	return _by_name.empty() ? std::vector<double>{} : shares;
}

std::map<std::string, double> shares_by_name(const policy& _policy, const std::vector<double>& _shares)
{
	std::map<std::string, double> by_name;
	for (std::size_t at = 0; at < _shares.size(); ++at)
	{
		by_name[_policy.regions[at].name] = _shares[at];
	}
	return by_name;
}
} // namespace larkrack
