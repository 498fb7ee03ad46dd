// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/fair_shares_p.h"

#include "steering/fair_queue_p.h"

#include <algorithm>
#include <cmath>

namespace larkrack
{
namespace
{
/// @returns Level at which groups that all reach their caps fill the room: the solution of the quadratic
/// equation in the root of the level.
double level_of_limited(const std::vector<group_demand>& _limited, double _room, double _variation)
{
	double weights = 0.0;
	double roots = 0.0;
	for (const group_demand& group : _limited)
	{
		weights += group.weight;
		roots += std::sqrt(group.weight);
	}
	const double minimum = _variation * _variation * static_cast<double>(_limited.size());
	if (_room <= minimum)
	{
		return 0.0;
	}
	const double half = _variation * roots;
	const double root = (std::sqrt(half * half + weights * (_room - minimum)) - half) / weights;
	return root * root;
}

/// @returns The reported number of requests; 0 if it is invalid.
double valid_count(double _reported)
{
	return std::isfinite(_reported) && _reported > 0.0 ? _reported : 0.0;
}
} // namespace

double fair_cap(double _weight, double _level, double _variation)
{
	const double root = std::sqrt(_weight * _level) + _variation;
	return root * root;
}

std::optional<double> fair_level(const std::vector<group_demand>& _groups, double _room, double _variation)
{
	// Starts with all groups at their caps. Each round sets the groups aside that ask for less than their cap
	// at the level of the round; the level rises with each round.
	std::vector<group_demand> limited = _groups;
	double room = _room;
	while (!limited.empty())
	{
		const double level = level_of_limited(limited, room, _variation);
		const auto satisfied = std::partition(limited.begin(), limited.end(),
		    [&](const group_demand& _group)
		    {
			    return _group.requests > fair_cap(_group.weight, level, _variation);
		    });
		if (limited.end() == satisfied)
		{
			return level;
		}
		for (auto group = satisfied; group != limited.end(); ++group)
		{
			room -= group->requests;
		}
		limited.erase(satisfied, limited.end());
	}
	return std::nullopt;
}

fair_shares::fair_shares(weight_source _weight_of, std::uint64_t _salt)
    : m_weight_of(std::move(_weight_of)), m_salt(_salt)
{
}

void fair_shares::on_waiting(const admission_request& _request)
{
	on_end(_request.number);
	m_requests[_request.number.value] = {_request.group, false};
	local_group& group = m_local[_request.group.value];
	group.weight = valid_weight(_request.weight);
	++group.waiting;
	if (m_short && below_cap(_request.group, _request.weight))
	{
		m_contest_here = std::max(1.0, m_contest_here);
		m_contest = m_contest_here + m_waiting_elsewhere;
	}
}

void fair_shares::on_wait_end(request_number _request)
{
	const auto found = m_requests.find(_request.value);
	if (m_requests.end() != found && !found->second.running)
	{
		forget(found);
	}
}

void fair_shares::on_sent(const admission_request& _request)
{
	on_end(_request.number);
	m_requests[_request.number.value] = {_request.group, true};
	local_group& group = m_local[_request.group.value];
	group.weight = valid_weight(_request.weight);
	++group.running;
}

void fair_shares::on_end(request_number _request)
{
	const auto found = m_requests.find(_request.value);
	if (m_requests.end() != found)
	{
		forget(found);
	}
}

void fair_shares::forget(std::unordered_map<std::uint64_t, local_request>::iterator _request)
{
	const local_request ended = _request->second;
	m_requests.erase(_request);
	const auto group = m_local.find(ended.group.value);
	--(ended.running ? group->second.running : group->second.waiting);
	if (0 == group->second.running && 0 == group->second.waiting)
	{
		m_local.erase(group);
	}
}

void fair_shares::tick(
    const region_room& _room, const std::vector<const admission_report*>& _others, steady_time _now)
{
	++m_ticks;
	m_slots = _room.slots;
	m_short = _room.slots > 0.0 && _room.busy >= k_short_fraction * _room.slots;
	m_regional.clear();
	m_waiting_elsewhere = 0.0;
	if (m_short)
	{
		count(_others);
		plan(_room);
	}
	update_contest(_now);
}

void fair_shares::count(const std::vector<const admission_report*>& _others)
{
	m_running_rest = 0.0;
	for (const auto& [group, local] : m_local)
	{
		const double running = local.running;
		m_regional[group] = {local.weight, running, running};
	}
	for (const admission_report* other : _others)
	{
		m_running_rest += valid_count(other->running_rest);
		m_waiting_elsewhere += valid_count(other->waiting);
		for (const auto& [group, running] : other->running)
		{
			const double reported = valid_count(running);
			const auto [entry, added] = m_regional.try_emplace(group.value);
			if (added)
			{
				entry->second.weight = weight_of(group);
			}
			entry->second.running += reported;
		}
	}
}

void fair_shares::plan(const region_room& _room)
{
	std::vector<group_demand> groups;
	groups.reserve(m_regional.size());
	double running = 0.0;
	group_demand largest;
	for (const auto& [id, group] : m_regional)
	{
		groups.push_back({group.running, group.weight});
		running += group.running;
		largest = group.running > largest.requests ? groups.back() : largest;
	}
	const double unreported = std::max(0.0, _room.busy - running - m_running_rest);
	const double contested =
	    k_min_contest <= m_contest ? k_contested_variation * std::sqrt(_room.slots) : 0.0;
	const double room = std::max(0.0, _room.slots - contested - unreported - m_running_rest);
	m_free_slots = std::max(0.0, room - running);
	// With room for all, groups below the level of the largest one are not bound.
	const double root = std::max(0.0, std::sqrt(largest.requests) - k_share_variation);
	m_level = fair_level(groups, room, k_share_variation).value_or(root * root / largest.weight);
}

void fair_shares::update_contest(steady_time _now)
{
	const double passed_s = std::max(0.0, to_s(_now - m_ticked_at));
	m_ticked_at = _now;
	double waiting = 0.0;
	for (const auto& [id, group] : m_local)
	{
		const bool counts = m_short && group.waiting > 0 && below_cap(group_id{id}, group.weight);
		waiting += counts ? group.waiting : 0.0;
	}
	m_contest_here =
	    m_short ? std::max(waiting, m_contest_here * std::exp(-passed_s / k_contest_time_constant_s)) : 0.0;
	m_contest = m_contest_here + m_waiting_elsewhere;
}

double fair_shares::weight_of(group_id _group) const
{
	const auto found = m_local.find(_group.value);
	if (m_local.end() != found)
	{
		return found->second.weight;
	}
	return valid_weight(m_weight_of ? m_weight_of(_group) : 1.0);
}

double fair_shares::cap_of(const regional_group& _group) const
{
	const double cap = fair_cap(_group.weight, m_level, k_share_variation);
	return m_free_slots > 0.0 ? std::max(cap, _group.running + m_free_slots) : cap;
}

bool fair_shares::below_cap(group_id _group, double _weight) const
{
	const auto found = m_regional.find(_group.value);
	const double running = m_regional.end() == found ? 0.0 : found->second.running;
	return running + 1.0 <= fair_cap(valid_weight(_weight), m_level, k_share_variation);
}

bool fair_shares::within_share(group_id _group, double _weight) const
{
	if (!enforced())
	{
		return true;
	}
	const auto found = m_regional.find(_group.value);
	const regional_group group = m_regional.end() == found ? regional_group{} : found->second;
	const double cap = cap_of({valid_weight(_weight), group.running, group.running_here});
	const double part = std::max(1.0, group.running_here) / std::max(1.0, group.running);
	const auto local = m_local.find(_group.value);
	const int running = m_local.end() == local ? 0 : local->second.running;
	const double unused = k_unused_fraction * std::max(0.0, cap - group.running);
	return running + 1.0 <= cap * std::min(1.0, part) + unused + rounding_offset(_group);
}

double fair_shares::share_of(group_id _group) const
{
	if (!enforced())
	{
		return 1.0;
	}
	const auto found = m_regional.find(_group.value);
	const regional_group group =
	    m_regional.end() == found ? regional_group{weight_of(_group), 0.0, 0.0} : found->second;
	return std::min(1.0, cap_of(group) / m_slots);
}

void fair_shares::report(admission_report& _report) const
{
	_report.running.clear();
	_report.running_rest = 0.0;
	_report.waiting = k_min_contest <= m_contest_here ? m_contest_here : 0.0;
	if (!m_short)
	{
		return;
	}
	std::vector<std::pair<group_id, double>> groups;
	for (const auto& [id, group] : m_local)
	{
		if (group.running > 0)
		{
			groups.emplace_back(group_id{id}, group.running);
		}
	}
	const std::size_t named = std::min(k_reported_groups, groups.size());
	std::partial_sort(groups.begin(), groups.begin() + static_cast<std::ptrdiff_t>(named), groups.end(),
	    [](const auto& _a, const auto& _b)
	    {
		    return std::tie(_b.second, _a.first) < std::tie(_a.second, _b.first);
	    });
	for (std::size_t i = named; i < groups.size(); ++i)
	{
		_report.running_rest += groups[i].second;
	}
	groups.resize(named);
	_report.running = std::move(groups);
}

double fair_shares::rounding_offset(group_id _group) const
{
	// Multiples of the golden ratio, in 64 bits: evenly spread over the ticks, and different for each group.
	constexpr std::uint64_t k_golden_ratio = 0x9E3779B97F4A7C15ULL;
	const std::uint64_t mixed = (_group.value ^ m_salt) * k_golden_ratio + m_ticks * k_golden_ratio;
	return static_cast<double>(mixed >> 11U) * 0x1.0p-53;
}
} // namespace larkrack
