// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "forwarded_request_p.h"

#include <algorithm>
#include <cmath>

namespace larkrack
{
namespace
{
/// Weight of the newest tick in a rate is tick / k_rate_memory_s.
constexpr double k_rate_memory_s = 2.0;
/// Service time before any exchange has ended.
constexpr double k_service_time_prior_s = 0.4;
/// Parts of the permitted shift that are used; the rest is left to chance in small numbers.
constexpr double k_shift_part_away = 0.7;
constexpr double k_shift_part_back = 0.2;
/// Part of a service's requests that may leave their planned region because it has no free slot.
constexpr double k_overflow_part = 0.03;
/// A region that lost this part of its slots at once has failed.
constexpr double k_capacity_loss = 0.3;
/// Part of the slots that plans count on: a region spills before its last slot is taken.
constexpr double k_planned_part = 0.85;
/// Before anything was measured, regions are taken to ask alike for this part of all slots.
constexpr double k_first_load = 0.8;
/// A home share that moved by so much is told in the log.
constexpr double k_told_share = 0.05;
/// Requests a second below which nothing was measured.
constexpr double k_no_demand = 0.5;

share_pace pace_of(const shared_bounds& _bounds)
{
	const double per_s = _bounds.max_shift / std::chrono::duration<double>(_bounds.shift_window).count();
	return {k_shift_part_away * per_s, k_shift_part_back * per_s};
}
} // namespace

forwarder::service_state::service_state(const std::string& _home, const shared_bounds& _bounds)
    : shares(_home, pace_of(_bounds)), keyed_shares("", pace_of(_bounds)), retries(_bounds.retries),
      service_time_s(k_service_time_prior_s)
{
}

forwarder::forwarder(asio::io_context& _context, const clock_base& _clock, header_names _names,
    placement _placement, shared_bounds _bounds, backend_registry& _backends, const fleet_view_base& _fleet,
    edge_log& _log, metrics& _metrics)
    : m_context(_context), m_clock(_clock), m_names(std::move(_names)), m_placement(std::move(_placement)),
      m_bounds(_bounds), m_backends(_backends), m_fleet(_fleet), m_log(_log), m_metrics(_metrics),
      m_random(static_cast<unsigned>(_clock.steady().time_since_epoch().count()))
{
}

forwarder::~forwarder() = default;

void forwarder::handle(const std::shared_ptr<caller_session>& _session, caller_request&& _request)
{
	++m_counters.requests;
	const auto request = std::make_shared<forwarded_request>(*this, _session, std::move(_request));
	m_requests.insert(request);
	request->start();
}

void forwarder::set_routes(std::shared_ptr<const routing_table> _routes)
{
	if (m_routes && m_routes->version() >= _routes->version())
	{
		return;
	}
	m_routes = std::move(_routes);
}

forwarder::service_state& forwarder::state_of(const std::string& _service)
{
	const auto it = m_services.find(_service);
	if (m_services.end() != it)
	{
		return it->second;
	}
	service_state& state =
	    m_services.emplace(_service, service_state(m_placement.region, m_bounds)).first->second;
	state.retries.set_nodes(m_fleet.sharers().nodes);
	update_shares(_service, state, m_clock.steady());
	update_keyed_shares(_service, state, m_clock.steady());
	return state;
}

figures_by_region forwarder::figures_of(
    const std::string& _service, const service_state& _state, steady_time _now) const
{
	figures_by_region figures;
	double capacity = 0.0;
	for (const backend_state* backend : m_backends.of_service(service_name(_service)))
	{
		// A cold backend server carries little; it is left out until it is warm.
		if (backend->usable(_now) && !backend->region.empty() && !backend->cold(_now))
		{
			const double slots = k_planned_part * backend->registered.slots;
			figures[backend->region.text].capacity += slots;
			capacity += slots;
		}
	}
	std::map<std::string, double> per_s = m_fleet.demand_of_others(_service);
	per_s[m_placement.region] += _state.requests_per_s;
	double all_per_s = 0.0;
	for (const auto& [region, rate] : per_s)
	{
		all_per_s += rate;
		figures[region].demand += rate * _state.service_time_s;
	}
	if (all_per_s < k_no_demand)
	{
		figures[m_placement.region].demand = 0.0;
		const double each = k_first_load * capacity / static_cast<double>(figures.size());
		for (auto& [region, one] : figures)
		{
			one.demand = each;
		}
	}
	return figures;
}

void forwarder::update_shares(const std::string& _service, service_state& _state, steady_time _now)
{
	const figures_by_region figures = figures_of(_service, _state, _now);
	const auto home = figures.find(m_placement.region);
	const double home_capacity = figures.end() == home ? 0.0 : home->second.capacity;
	const bool failed = home_capacity < (1.0 - k_capacity_loss) * _state.last_capacity;
	_state.last_capacity = home_capacity;
	_state.shares.follow(plan_shares(m_placement.region, figures), failed, _now);
	log_shares(_service, _state, figures);
}

void forwarder::update_keyed_shares(const std::string& _service, service_state& _state, steady_time _now)
{
	std::map<std::string, double> planned;   // Slots that are there but for planned changes.
	std::map<std::string, double> answering; // Those of them that did not fail lately.
	for (const backend_state* backend : m_backends.of_service(service_name(_service)))
	{
		if (backend->region.empty() || !backend->accepts_new_requests() || backend->cold(_now))
		{
			continue;
		}
		planned[backend->region.text] += backend->registered.slots;
		answering[backend->region.text] += backend->usable(_now) ? backend->registered.slots : 0;
	}
	bool failed = false;
	for (const auto& [region, slots] : planned)
	{
		failed = failed || answering[region] < (1.0 - k_capacity_loss) * slots;
	}
	_state.keyed_shares.follow(plan_keyed_shares(answering), failed, _now);
}

void forwarder::log_shares(
    const std::string& _service, service_state& _state, const figures_by_region& _figures)
{
	const auto home = _state.shares.shares().find(m_placement.region);
	const double share = _state.shares.shares().end() == home ? 0.0 : home->second;
	if (std::abs(share - _state.told_home_share) < k_told_share)
	{
		return;
	}
	_state.told_home_share = share;
	log_line line(event::shares_changed);
	line.text("service", _service).decimal("home_share", share);
	for (const auto& [region, figures] : _figures)
	{
		line.decimal("demand:" + region, figures.demand).decimal("slots:" + region, figures.capacity);
	}
	m_log.write(line);
}

void forwarder::tick()
{
	const steady_time now = m_clock.steady();
	const double passed = steady_time{} == m_ticked_at
	                          ? k_rate_memory_s
	                          : std::chrono::duration<double>(now - m_ticked_at).count();
	m_ticked_at = now;
	const double weight = std::min(1.0, passed / k_rate_memory_s);
	const double nodes = m_fleet.sharers().nodes;
	for (auto& [name, state] : m_services)
	{
		const double rate = passed > 0.0 ? state.arrivals / passed : state.requests_per_s;
		state.requests_per_s += weight * (rate - state.requests_per_s);
		state.arrivals = 0;
		state.retries.set_nodes(nodes);
		update_shares(name, state, now);
		update_keyed_shares(name, state, now);
		for (const auto& [region, share] : state.keyed_shares.shares())
		{
			state.portions[region] = m_fleet.portion(name, region);
		}
	}
	pump();
}

demand_by_service forwarder::demand() const
{
	demand_by_service demand;
	for (const auto& [name, state] : m_services)
	{
		demand[name] = {state.requests_per_s, state.service_time_s};
	}
	return demand;
}

bool forwarder::may_overflow(service_state& _state)
{
	return _state.overflow.take(
	    std::max(1.0, k_overflow_part * _state.requests_per_s), 1.0, m_clock.steady());
}

std::map<std::string, rate_by_region> forwarder::sent_per_s() const
{
	std::map<std::string, rate_by_region> sent;
	for (const auto& [name, state] : m_services)
	{
		for (const auto& [region, share] : state.keyed_shares.shares())
		{
			if (share * state.requests_per_s > k_no_demand)
			{
				sent[name][region] = share * state.requests_per_s;
			}
		}
	}
	return sent;
}

void forwarder::pump()
{
	for (auto& [name, state] : m_services)
	{
		pump_service(state);
	}
}

void forwarder::pump_service(service_state& _state)
{
	for (auto& [priority, requests] : _state.waiting)
	{
		while (!requests.empty())
		{
			const std::shared_ptr<forwarded_request> request = requests.front();
			if (!request->try_send())
			{
				return;
			}
		}
	}
}
} // namespace larkrack
