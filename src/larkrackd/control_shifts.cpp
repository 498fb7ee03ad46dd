// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Shares and shifts: the part of control that moves traffic between regions.
#include "larkrackd/control_p.h"

#include "larkrackd/log_p.h"

#include <algorithm>
#include <cmath>

namespace larkrack
{
namespace
{
constexpr std::chrono::milliseconds k_drive_interval{250};
constexpr std::chrono::milliseconds k_lease_interval{1500};
/// A node that has just started waits this long for news of a region before it takes it for dead.
constexpr std::chrono::seconds k_start_grace{5};
} // namespace

std::vector<region_room> control::rooms(service_handle _service, steady_time _now) const
{
	const policy& now = *rules();
	std::vector<region_room> all(now.regions.size());
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
		region_room& room = all[now.at(vm.domain).region.idx];
		room.usable += load->second.usable;
		room.cold = room.cold || 0 < load->second.cold;
		room.running += load->second.running;
		room.open = room.open || 0 < load->second.slots;
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
			// A new node starts at the recorded step, never at the goal.
			state.limiter.reset(target, _now);
			state.started = _now;
			state.seen_open.assign(target.size(), false);
			continue;
		}
		const std::vector<region_room> room = rooms({static_cast<std::uint16_t>(at)}, _now);
		std::vector<bool> open;
		for (std::size_t region = 0; region < room.size(); ++region)
		{
			state.seen_open[region] =
			    state.seen_open[region] || room[region].open || state.started + k_start_grace < _now;
			// What was not heard of yet is not taken for dead.
			open.push_back(room[region].open || !state.seen_open[region]);
		}
		if (_now < state.started + k_start_grace)
		{
			start_from_peers(service.name, state, _now);
		}
		else
		{
			lower_to_capacity(room, state, _now);
		}
		const bool some_open = open.end() != std::find(open.begin(), open.end(), true);
		if (some_open)
		{
			state.limiter.advance(without_closed(target, open), open, _now);
		}
		tell_shares(service.name, target, state);
	}
}

void control::start_from_peers(const std::string& _service, service_state& _state, steady_time _now)
{
	for (const auto& [vm, domain] : m_members->members())
	{
		const member_entry* entry = m_members->entry_of(vm);
		const bool is_older = nullptr != entry && vm != m_settings->name && entry->life < m_life;
		if (!is_older || member_state::alive != m_members->state_of(vm, _now))
		{
			continue;
		}
		const auto told = entry->in_force.find(_service);
		if (entry->in_force.end() == told || told->second.size() != _state.limiter.current().size())
		{
			continue;
		}
		for (std::size_t region = 0; region < told->second.size(); ++region)
		{
			_state.limiter.lower(region, told->second[region] / k_share_parts, _now);
		}
	}
}

void control::lower_to_capacity(
    const std::vector<region_room>& _rooms, service_state& _state, steady_time _now)
{
	int running = 0;
	for (const region_room& room : _rooms)
	{
		running += room.running;
	}
	for (std::size_t region = 0; region < _rooms.size(); ++region)
	{
		// A region that lost slots can not have more of the work than it has slots for.
		const double most = static_cast<double>(_rooms[region].usable) / std::max(1, running);
		if (_rooms[region].usable < _rooms[region].slots)
		{
			_state.limiter.lower(region, most, _now);
		}
	}
}

void control::tell_shares(
    const std::string& _service, const std::vector<double>& _target, const service_state& _state)
{
	std::map<std::string, std::vector<int>>& told = m_members->self().in_force;
	if (_state.limiter.current() == _target)
	{
		told.erase(_service);
		return;
	}
	std::vector<int> parts;
	for (const double share : _state.limiter.current())
	{
		parts.push_back(static_cast<int>(std::lround(share * k_share_parts)));
	}
	told[_service] = parts;
}

void control::drive_for_ever(const yield_context& _yield)
{
	steady_time lease_at{};
	bool holds = false;
	while (!m_stopping)
	{
		sleep_for(m_context.get_executor(), k_drive_interval, _yield);
		const steady_time now = m_clock->steady();
		const bool candidate =
		    nullptr != rules() && !m_leaving && m_members->has_role("reader", k_readers, now);
		if (!candidate)
		{
			holds = false;
			continue;
		}
		if (lease_at + k_lease_interval <= now)
		{
			lease_at = now;
			const bool held = holds;
			holds = m_sync->hold_driver_lease(_yield);
			if (holds && !held)
			{
				m_drivers.clear();
			}
		}
		for (std::size_t at = 0; holds && nullptr != rules() && at < rules()->services.size(); ++at)
		{
			drive({static_cast<std::uint16_t>(at)}, _yield);
		}
	}
}

void control::drive(service_handle _service, const yield_context& _yield)
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
		// Only a step that is in force counts; asking for the next one changes nothing.
		const service_spec& service = held->at(_service);
		mix_limiter limiter(service.steering.cap, limiter_window(service.steering));
		limiter.reset(shares_of(*held, made.shares), m_clock->steady());
		m_drivers.insert_or_assign(service.name, limiter);
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
	const auto it = m_drivers.find(service.name);
	if (m_drivers.end() == it || it->second.current() != from)
	{
		mix_limiter limiter(service.steering.cap, limiter_window(service.steering));
		limiter.reset(from, at);
		m_drivers.insert_or_assign(service.name, limiter);
	}
	if (is_same_division(from, goal))
	{
		// Time in which nothing had to move is not saved up for a jump.
		m_drivers.at(service.name).reset(from, at);
		const std::vector<double> known_goal = shares_of(now, step.goal);
		const bool is_known = "done" == step.state && is_same_division(known_goal, goal);
		next.state = "done";
		next.waits_for.clear();
		next.shares = next.goal;
		return is_known ? std::nullopt : std::optional(to_text(next));
	}
	next.waits_for = waits_for(from, goal, rooms(_service, at));
	next.state = next.waits_for.empty() ? "moving" : "waiting";
	if (!next.waits_for.empty())
	{
		m_drivers.at(service.name).reset(from, at);
		const bool known =
		    step.state == next.state && step.waits_for == next.waits_for && step.goal == next.goal;
		return known ? std::nullopt : std::optional(to_text(next));
	}
	mix_limiter trial = m_drivers.at(service.name);
	trial.configure(service.steering.cap, limiter_window(service.steering));
	const std::vector<double> shares = trial.advance(goal, std::vector<bool>(goal.size(), true), at);
	if (shares == from)
	{
		return std::nullopt;
	}
	next.shares = is_same_division(shares, goal) ? next.goal : shares_by_name(now, shares);
	next.number = step.number + 1;
	next.state = is_same_division(shares, goal) ? "done" : "moving";
	return to_text(next);
}

} // namespace larkrack
