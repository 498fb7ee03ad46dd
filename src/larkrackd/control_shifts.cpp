// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Shares and shifts: the part of control that applies each service's shares at this node and, while the node
/// holds the driver's lease, makes the steps of shifts.
#include "larkrackd/control_p.h"

#include "larkrackd/log_p.h"

#include <algorithm>
#include <cmath>

namespace larkrack
{
namespace
{
constexpr std::chrono::milliseconds k_step_interval{250};
constexpr std::chrono::milliseconds k_lease_renewal_interval{1500};
/// After its start a node waits this long for entries from a region before it counts the region as closed.
constexpr std::chrono::seconds k_startup_grace{5};
} // namespace

std::vector<region_capacity> control::region_capacities(service_handle _service, steady_time _now) const
{
	const policy& now = *rules();
	std::vector<region_capacity> all(now.regions.size());
	for (const backend_spec& backend : now.backends)
	{
		if (backend.service == _service && !backend.drain && !now.at(backend.domain).drain)
		{
			all[now.at(backend.domain).region.idx].slots += backend.slots;
		}
	}
	for (const entry_vm_spec& vm : now.entry_vms)
	{
		const member_entry* entry = m_members->entry_of(vm.name);
		if (nullptr == entry || member_state::alive != m_members->state_of(vm.name, _now))
		{
			continue;
		}
		const auto load = entry->loads.find(now.at(_service).name);
		if (entry->loads.end() == load)
		{
			continue;
		}
		region_capacity& capacity = all[now.at(vm.domain).region.idx];
		capacity.usable += load->second.usable;
		capacity.cold = capacity.cold || 0 < load->second.cold;
		capacity.running += load->second.running;
		capacity.open = capacity.open || 0 < load->second.slots;
	}
	return all;
}

void control::update_shares(steady_time _now)
{
	const policy& now = *rules();
	for (std::size_t at = 0; at < now.services.size(); ++at)
	{
		const service_spec& service = now.services[at];
		service_state& state = m_services[service.name];
		state.limiter.configure(service.steering.cap, limiter_window(service.steering));
		const step_record step = step_from_text(m_sync->records().value_of(step_key(service.name)));
		std::vector<double> target = shares_of(now, step.shares);
		if (target.empty())
		{
			target = goal_shares(now, service);
		}
		if (state.limiter.current().size() != target.size())
		{
			// A node starts at the recorded step, never at the goal.
			state.limiter.reset(target, _now);
			state.started = _now;
			state.was_open.assign(target.size(), false);
			continue;
		}
		const std::vector<region_capacity> capacity =
		    region_capacities({static_cast<std::uint16_t>(at)}, _now);
		std::vector<bool> open;
		for (std::size_t region = 0; region < capacity.size(); ++region)
		{
			state.was_open[region] =
			    state.was_open[region] || capacity[region].open || state.started + k_startup_grace < _now;
			// Within the grace period a region counts as open until its first entry arrives.
			open.push_back(capacity[region].open || !state.was_open[region]);
		}
		if (_now < state.started + k_startup_grace)
		{
			start_from_peers(service.name, state, _now);
		}
		else
		{
			lower_to_capacity(capacity, state, _now);
		}
		const bool some_open = open.end() != std::find(open.begin(), open.end(), true);
		if (some_open)
		{
			state.limiter.advance(redistribute_closed_shares(target, open), open, _now);
		}
		announce_shares(service.name, target, state);
	}
}

void control::start_from_peers(const std::string& _service, service_state& _state, steady_time _now)
{
	for (const auto& [vm, domain] : m_members->members())
	{
		const member_entry* entry = m_members->entry_of(vm);
		const bool started_earlier =
		    nullptr != entry && vm != m_settings->name && entry->life < m_incarnation;
		if (!started_earlier || member_state::alive != m_members->state_of(vm, _now))
		{
			continue;
		}
		const auto announced = entry->in_force.find(_service);
		if (entry->in_force.end() == announced || announced->second.size() != _state.limiter.current().size())
		{
			continue;
		}
		for (std::size_t region = 0; region < announced->second.size(); ++region)
		{
			_state.limiter.lower(region, announced->second[region] / k_share_units, _now);
		}
	}
}

void control::lower_to_capacity(
    const std::vector<region_capacity>& _capacities, service_state& _state, steady_time _now)
{
	int running = 0;
	for (const region_capacity& capacity : _capacities)
	{
		running += capacity.running;
	}
	for (std::size_t region = 0; region < _capacities.size(); ++region)
	{
		// A region that lost slots gets no larger share of the requests than its usable slots can run.
		const double max_share = static_cast<double>(_capacities[region].usable) / std::max(1, running);
		if (_capacities[region].usable < _capacities[region].slots)
		{
			_state.limiter.lower(region, max_share, _now);
		}
	}
}

void control::announce_shares(
    const std::string& _service, const std::vector<double>& _target, const service_state& _state)
{
	std::map<std::string, std::vector<int>>& announced = m_members->self().in_force;
	if (_state.limiter.current() == _target)
	{
		announced.erase(_service);
		return;
	}
	std::vector<int> units;
	for (const double share : _state.limiter.current())
	{
		units.push_back(static_cast<int>(std::lround(share * k_share_units)));
	}
	announced[_service] = units;
}

void control::run_shift_driver(const yield_context& _yield)
{
	steady_time lease_at{};
	bool holds = false;
	while (!m_stopping)
	{
		sleep_for(m_context.get_executor(), k_step_interval, _yield);
		const steady_time now = m_clock->steady();
		const bool candidate =
		    nullptr != rules() && !m_leaving && m_members->has_role("reader", k_readers, now);
		if (!candidate)
		{
			holds = false;
			continue;
		}
		if (lease_at + k_lease_renewal_interval <= now)
		{
			lease_at = now;
			const bool held = holds;
			holds = m_sync->hold_driver_lease(_yield);
			if (holds && !held)
			{
				m_driver_limiters.clear();
			}
		}
		for (std::size_t at = 0; holds && nullptr != rules() && at < rules()->services.size(); ++at)
		{
			drive_shift({static_cast<std::uint16_t>(at)}, _yield);
		}
	}
}

void control::drive_shift(service_handle _service, const yield_context& _yield)
{
	const policy_ptr held = m_sync->configuration().current();
	const std::string key = step_key(held->at(_service).name);
	if (!next_step(m_sync->records().value_of(key), _service))
	{
		return;
	}
	step_record made;
	const call_status status = m_sync->update_record(
	    "write_step", key,
	    [&](const std::string& _old)
	    {
		    std::optional<std::string> text =
		        held == m_sync->configuration().current() ? next_step(_old, _service) : std::nullopt;
		    if (text)
		    {
			    made = step_from_text(*text);
		    }
		    return text;
	    },
	    _yield);
	if (call_status::done == status)
	{
		// The limiter advances only when a step is in force; next_step works on a copy of the limiter.
		const service_spec& service = held->at(_service);
		mix_limiter limiter(service.steering.cap, limiter_window(service.steering));
		limiter.reset(shares_of(*held, made.shares), m_clock->steady());
		m_driver_limiters.insert_or_assign(service.name, limiter);
		const event what = "done" == made.state
		                       ? event::shift_done
		                       : ("waiting" == made.state ? event::shift_waits : event::shift_step);
		log_event(what,
		    {{"service", held->at(_service).name}, {"shares", made.shares}, {"waits_for", made.waits_for}});
	}
}

std::optional<std::string> control::next_step(const std::string& _old, service_handle _service)
{
	const policy& now = *rules();
	const service_spec& service = now.at(_service);
	const steady_time at = m_clock->steady();
	step_record step = step_from_text(_old);
	const std::vector<double> goal = goal_shares(now, service);
	const std::vector<double> from = shares_of(now, step.shares);
	step_record next = step;
	next.sequence = step.sequence + 1;
	next.goal = shares_by_name(now, goal);
	next.at = m_clock->wall();
	next.by = m_settings->name;
	if (from.empty())
	{
		next.shares = next.goal;
		next.state = "done";
		next.number = 0;
		return to_text(next);
	}
	const auto it = m_driver_limiters.find(service.name);
	if (m_driver_limiters.end() == it || it->second.current() != from)
	{
		mix_limiter limiter(service.steering.cap, limiter_window(service.steering));
		limiter.reset(from, at);
		m_driver_limiters.insert_or_assign(service.name, limiter);
	}
	if (are_shares_equal(from, goal))
	{
		// Time without a shift gives no credit for a larger first step.
		m_driver_limiters.at(service.name).reset(from, at);
		const std::vector<double> known_goal = shares_of(now, step.goal);
		const bool is_known = "done" == step.state && are_shares_equal(known_goal, goal);
		next.state = "done";
		next.waits_for.clear();
		next.shares = next.goal;
		return is_known ? std::nullopt : std::optional(to_text(next));
	}
	next.waits_for = waits_for(from, goal, region_capacities(_service, at));
	next.state = next.waits_for.empty() ? "moving" : "waiting";
	if (!next.waits_for.empty())
	{
		m_driver_limiters.at(service.name).reset(from, at);
		const bool known =
		    step.state == next.state && step.waits_for == next.waits_for && step.goal == next.goal;
		return known ? std::nullopt : std::optional(to_text(next));
	}
	mix_limiter advanced = m_driver_limiters.at(service.name);
	advanced.configure(service.steering.cap, limiter_window(service.steering));
	const std::vector<double> shares = advanced.advance(goal, std::vector<bool>(goal.size(), true), at);
	if (shares == from)
	{
		return std::nullopt;
	}
	next.shares = are_shares_equal(shares, goal) ? next.goal : shares_by_name(now, shares);
	next.number = step.number + 1;
	next.state = are_shares_equal(shares, goal) ? "done" : "moving";
	return to_text(next);
}

} // namespace larkrack
