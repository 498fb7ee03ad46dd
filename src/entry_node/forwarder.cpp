// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/caller_identity_p.h"
#include "entry_node/forwarded_request_p.h"
#include "steering/region_rooms_p.h"
#include "steering/report_transport_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
log_line log_line_for(const service_name& _service, const share_change& _change)
{
	log_line line(event::shares_changed);
	line.text("service", _service.text).decimal("home_share", _change.home_share);
	for (const auto& [region, figures] : _change.figures)
	{
		line.decimal("demand:" + region.text, figures.demand)
		    .decimal("slots:" + region.text, figures.capacity);
	}
	return line;
}
} // namespace

forwarder::forwarder(asio::io_context& _context, const clock_base& _clock, header_names _names,
    const placement& _placement, shared_bounds _bounds, admission_factory _make_admission,
    backend_registry& _backends, const fleet_view_base& _fleet, quota_admission_base& _quotas,
    rollout_routing_base& _rollouts, limit_admission_base& _limits, crash_admission_base& _crashes,
    exchange_maker_base& _exchanges, entry_log& _log, metrics& _metrics)
    : m_reports(_context, _clock, _limits, _log,
          [this]
          {
	          retry_waiting_requests();
          }),
      m_context{_context, _clock, std::move(_names), region_name(_placement.region),
          domain_name(_placement.domain), _backends, _fleet, _quotas, _rollouts, _limits, _crashes,
          _exchanges, m_reports, _log, _metrics,
          std::minstd_rand(static_cast<unsigned>(_clock.steady().time_since_epoch().count())), {}, {}, {}, {},
          {}},
      m_bounds(_bounds), m_make_admission(std::move(_make_admission))
{
	m_context.exchanges.promises().set_breach_handler(
	    [this](const promise_breach& _breach)
	    {
		    m_context.log.write(log_line(event::promise_broken)
		                            .text("id", _breach.request_id)
		                            .text("how", to_string(_breach.kind))
		                            .number("status", _breach.status)
		                            .number("after_ms", to_ms(_breach.after).count()));
	    });
}

forwarder::~forwarder()
{
	m_context.exchanges.promises().set_breach_handler(nullptr);
}

void forwarder::handle(const std::shared_ptr<caller_session>& _session, caller_request&& _request)
{
	++m_context.counters.requests;
	request_owner_base& owner = *this;
	++m_last_number.value;
	const auto request =
	    std::make_shared<forwarded_request>(m_context, owner, m_last_number, _session, std::move(_request));
	m_requests.emplace(m_last_number.value, request);
	request->start();
}

std::optional<http::status> forwarder::check_before_body(const caller_request& _request)
{
	const route* found = m_context.routes ? find_route(_request, *m_context.routes) : nullptr;
	if (nullptr == found)
	{
		return std::nullopt;
	}
	const auto refuse = [this](reason _reason, http::status _status)
	{
		++m_context.counters.requests;
		m_context.exported_metrics.count_outcome("", outcome::not_run, _reason);
		return _status;
	};
	if (!takes(*found, timeout_of(_request, found, m_context.names)))
	{
		return refuse(reason::stopping, http::status::service_unavailable);
	}
	if (key_check::refused ==
	    identify(_request, *found, m_context.routes->customers(), m_context.names).check)
	{
		return refuse(reason::unknown_key, http::status::unauthorized);
	}
	return std::nullopt;
}

bool forwarder::takes(const route& _route, steady_time::duration _until_deadline) const
{
	if (!m_context.stop)
	{
		return true;
	}
	const steady_time now = m_context.clock.steady();
	const bool at_most_once = repeat_rule::at_most_once == _route.repeat;
	return takes_while_stopping(
	    *m_context.stop, {_until_deadline, estimate_times_of(_route, now), at_most_once}, now);
}

route_time_estimate forwarder::estimate_times_of(const route& _route, steady_time _now) const
{
	std::vector<steady_time::duration> running;
	for (const auto& [number, request] : m_requests)
	{
		if (request->is_of(_route))
		{
			running.push_back(request->age(_now));
		}
	}
	const auto ended = m_times.find(_route.name);
	return (m_times.end() == ended ? route_times() : ended->second).estimate(std::move(running));
}

void forwarder::refuse_waiting()
{
	std::vector<request_ptr> requests;
	for (const auto& [number, request] : m_requests)
	{
		if (request->waits_to_be_sent())
		{
			requests.push_back(request);
		}
	}
	for (const request_ptr& request : requests)
	{
		if (request->waits_to_be_sent()) // The end of another one may have ended or sent it.
		{
			request->refuse_as_stopping();
		}
	}
}

void forwarder::on_unread_refusal(const unread_refusal& _refusal)
{
	std::string id;
	const route* found = nullptr;
	if (nullptr != _refusal.headers)
	{
		id = std::string((*_refusal.headers)[m_context.names.request_id]);
		found = m_context.routes ? find_route(*_refusal.headers, *m_context.routes) : nullptr;
	}
	const auto status = static_cast<unsigned>(_refusal.status);
	if (nullptr != found && repeat_rule::at_most_once == found->repeat && is_promise(status))
	{
		m_context.exchanges.promises().record(id, status, m_context.clock.steady());
	}
	m_context.log.write(
	    log_line(event::unread_refused)
	        .text("id", id)
	        .text("route", nullptr == found ? "" : found->name)
	        .number("status", status)
	        .number("stalled_ms",
	            std::chrono::duration_cast<std::chrono::milliseconds>(_refusal.stalled).count()));
}

std::chrono::milliseconds forwarder::body_time_limit(const caller_request& _request) const
{
	const route* found = m_context.routes ? find_route(_request, *m_context.routes) : nullptr;
	return timeout_of(_request, found, m_context.names);
}

void forwarder::set_routes(std::shared_ptr<const routing_table> _routes)
{
	if (m_context.routes && m_context.routes->version() >= _routes->version())
	{
		return;
	}
	m_context.routes = std::move(_routes);
	std::unordered_map<std::string, route_times> kept; // Without routes that are gone.
	for (const route& each : m_context.routes->routes())
	{
		const auto known = m_times.find(each.name);
		if (m_times.end() != known)
		{
			kept.emplace(*known);
		}
	}
	m_times.swap(kept);
}

forwarded_service& forwarder::service_entry(const service_name& _service)
{
	const auto it = m_services.find(_service);
	if (m_services.end() != it)
	{
		return it->second;
	}
	forwarded_service fresh{
	    service_steering(m_context.region, m_bounds), m_make_admission({m_context.region, m_context.random,
	                                                      [this](group_id _group)
	                                                      {
		                                                      return weight_of(_group);
	                                                      }})};
	forwarded_service& service = m_services.emplace(_service, std::move(fresh)).first->second;
	service.steering.choice.set(m_backend_choice);
	const steady_time now = m_context.clock.steady();
	service.steering.retries.set_full_from(m_started_at + m_bounds.retries.window);
	service.steering.retries.set_slack_part(retry_slack_part(now));
	update(_service, service.steering, now);
	return service;
}

double forwarder::retry_slack_part(steady_time _now) const
{
	return slack_share(m_context.fleet.extent(), _now - m_started_at, m_bounds.retries.window);
}

double forwarder::weight_of(group_id _group) const
{
	const customer* found =
	    m_context.routes ? m_context.routes->customers().find_by_id(_group.value) : nullptr;
	return nullptr != found && found->limit.limited() ? found->limit.per_s : 1.0;
}

void forwarder::update(const service_name& _name, service_steering& _steering, steady_time _now)
{
	const fleet_view_base& others = m_context.fleet;
	const auto change = _steering.update(m_context.backends.of_service(_name), others.demand_of_others(_name),
	    others.single_region_demand_of_others(_name), _now);
	if (change)
	{
		m_context.log.write(log_line_for(_name, *change));
	}
}

void forwarder::tick()
{
	const steady_time now = m_context.clock.steady();
	m_context.gap.on_iteration(now);
	const double elapsed_s = steady_time{} == m_last_tick
	                             ? k_rate_time_constant_s
	                             : std::chrono::duration<double>(now - m_last_tick).count();
	m_last_tick = now;
	const double slack_part = retry_slack_part(now);
	const bool plan_due = now - m_last_plan >= min_plan_interval(m_context.backends.size());
	m_last_plan = plan_due ? now : m_last_plan;
	for (auto& [name, service] : m_services)
	{
		service_steering& steering = service.steering;
		steering.tick(elapsed_s);
		steering.retries.set_slack_part(slack_part);
		if (!plan_due)
		{
			continue;
		}
		update(name, steering, now);
		for (const auto& [region, share] : steering.shares.of_keys.shares())
		{
			steering.set_own_portion(region, m_context.fleet.portion(name, region));
		}
		update_admission(name, service, now);
	}
	retry_waiting_requests();
}

void forwarder::update_admission(const service_name& _name, forwarded_service& _service, steady_time _now)
{
	if (!_service.admission->uses_conditions())
	{
		return;
	}
	const service_steering& steering = _service.steering;
	admission_conditions conditions;
	conditions.rooms = region_rooms(m_context.backends.of_service(_name), steering.own_portions(), _now);
	conditions.others = m_context.fleet.reports_of_others(_name);
	conditions.service_time_s = steering.demand.service_time_s();
	conditions.requests_per_s = steering.demand.requests_per_s();
	_service.admission->tick(conditions, _now);
	for (const auto& [region, level] : _service.levels.update(_service.admission->report(_now).level))
	{
		m_context.log.write(log_line(event::load_level_changed)
		                        .text("service", _name.text)
		                        .text("region", region.text)
		                        .decimal("level", level));
	}
}

rate_by_service forwarder::requests_per_s() const
{
	rate_by_service rates;
	for (const auto& [name, service] : m_services)
	{
		rates[name] = service.steering.demand.requests_per_s();
	}
	return rates;
}

rate_by_service_and_region forwarder::sent_per_s() const
{
	rate_by_service_and_region sent;
	for (const auto& [name, service] : m_services)
	{
		const rate_by_region bound = service.steering.pinned_per_s();
		for (const auto& [region, share] : service.steering.shares.of_keys.shares())
		{
			const double per_s = share * service.steering.demand.requests_per_s();
			if (per_s > k_min_demand_per_s)
			{
				sent[name][region] = per_s;
			}
		}
		for (const auto& [region, per_s] : bound)
		{
			sent[name][region] += per_s;
			sent[pinned_requests_of(name)][region] = per_s;
		}
		if (service.admission->uses_conditions())
		{
			add_report(name, service.admission->report(m_context.clock.steady()), sent);
		}
	}
	return sent;
}

std::map<service_name, retry_counts> forwarder::retry_windows() const
{
	const steady_time now = m_context.clock.steady();
	std::map<service_name, retry_counts> windows;
	for (const auto& [name, service] : m_services)
	{
		windows.emplace(name, service.steering.retries.counts(now));
	}
	return windows;
}

rate_by_service_and_region forwarder::load_levels() const
{
	rate_by_service_and_region levels;
	for (const auto& [name, service] : m_services)
	{
		if (!service.levels.levels().empty())
		{
			levels[name] = service.levels.levels();
		}
	}
	return levels;
}

void forwarder::abandon_exchanges(const domain_name& _domain)
{
	if (m_context.stop)
	{
		return; // The usual requests have ceased: what is left may take longer, and is not begun anew in
		        // time.
	}
	std::vector<request_ptr> requests;
	for (const auto& [number, request] : m_requests)
	{
		if (request->can_abandon(_domain))
		{
			requests.push_back(request);
		}
	}
	for (const request_ptr& request : requests)
	{
		request->abandon_exchange();
	}
}

void forwarder::retry_waiting_requests()
{
	for (auto& [name, service] : m_services)
	{
		request_ptr first = first_waiting(service);
		while (first && first->try_send())
		{
			first = first_waiting(service);
		}
	}
}

request_ptr forwarder::first_waiting(const forwarded_service& _service) const
{
	const steady_time now = _service.admission->uses_conditions() ? m_context.clock.steady() : steady_time();
	const auto found = m_requests.find(_service.admission->next(now).value);
	return m_requests.end() == found ? nullptr : found->second;
}
} // namespace larkrack
