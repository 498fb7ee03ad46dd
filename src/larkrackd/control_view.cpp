// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// This node's view of the fleet: the part of control that publishes snapshots to the traffic threads, probes
/// backend servers for their load, and names the degraded modes.
#include "larkrackd/control_p.h"

#include "larkrack/config.h"

namespace larkrack
{
namespace
{
/// Pause between two load probes of a backend server, and the timeout of a probe. A shorter pause keeps the
/// measurements fresher, a longer one sends fewer requests that no caller asked for.
constexpr std::chrono::milliseconds k_probe_interval{500};
constexpr std::chrono::milliseconds k_probe_timeout{400};
} // namespace

void control::detect_first_incarnation(domain_handle _domain)
{
	if (m_checked_first_incarnation || !m_sync->is_platform_up())
	{
		return;
	}
	const policy& now = *rules();
	m_checked_first_incarnation = true;
	m_first_incarnation = true;
	for (std::size_t at = 0; is_valid(_domain) && at < now.services.size(); ++at)
	{
		const auto record = owners_from_text(
		    m_sync->records().value_of(owner_key(_domain, {static_cast<std::uint16_t>(at)})));
		m_first_incarnation = m_first_incarnation && record.backends.empty();
	}
}

peer_view control::view_of(const entry_vm_spec& _vm, steady_time _now) const
{
	const policy& now = *rules();
	peer_view peer;
	peer.rooms.resize(now.services.size());
	const member_entry* entry = m_members->entry_of(_vm.name);
	if (nullptr == entry)
	{
		return peer;
	}
	peer.alive = member_state::alive == m_members->state_of(_vm.name, _now);
	peer.leaving = entry->leaving || _vm.drain || (_vm.name == m_settings->name && m_leaving);
	peer.life = entry->life;
	for (std::size_t service = 0; service < now.services.size(); ++service)
	{
		const auto load = entry->loads.find(now.services[service].name);
		if (entry->loads.end() != load)
		{
			peer.rooms[service] = load->second;
		}
	}
	return peer;
}

service_view control::view_of(service_handle _service, steady_time _now)
{
	const service_spec& spec = rules()->at(_service);
	service_view service;
	service.plan = plan_mix(spec.steering.demand, m_services[spec.name].limiter.current());
	for (const region_capacity& capacity : region_capacities(_service, _now))
	{
		service.open.push_back(capacity.open);
	}
	return service;
}

void control::publish(steady_time _now)
{
	const policy_ptr now = m_sync->configuration().current();
	auto view = std::make_shared<traffic_view>();
	view->rules = now;
	view->self = now->find_entry_vm(m_settings->name);
	const domain_handle domain = now->find_domain(m_settings->domain);
	view->region = is_valid(domain) ? now->at(domain).region : region_handle{};
	view->life = m_incarnation;
	view->stopping = m_leaving;
	detect_first_incarnation(domain);
	view->is_first_incarnation = m_first_incarnation;
	for (const entry_vm_spec& vm : now->entry_vms)
	{
		view->peers.push_back(view_of(vm, _now));
	}
	for (std::size_t at = 0; at < now->services.size(); ++at)
	{
		view->services.push_back(view_of(service_handle{static_cast<std::uint16_t>(at)}, _now));
	}
	m_view_publisher->publish(view);
}

void control::run_probes(const yield_context& _yield)
{
	while (!m_stopping)
	{
		sleep_for(m_context.get_executor(), k_probe_interval, _yield);
		for (const gate_backend& backend : m_gate->states())
		{
			if (backend.grant.owned)
			{
				start(m_context,
				    [this, backend](const yield_context& _inner)
				    {
					    probe(backend, _inner);
				    });
			}
		}
	}
}

void control::probe(const gate_backend& _backend, const yield_context& _yield)
{
	const endpoint& where = _backend.grant.address;
	result<http_response> called =
	    m_caller.call(where, make_request(http::verb::get, "/.load", where), k_probe_timeout, _yield);
	const http_response* response = value_of(called);
	if (nullptr == response)
	{
		// The last measurement becomes stale, which degraded_modes reports.
		return;
	}
	const nlohmann::json body = nlohmann::json::parse(response->body(), nullptr, false);
	if (body.is_object() && body.contains("load") && body["load"].is_number())
	{
		m_gate->report(_backend.grant.name, body["load"], body.value("cold", false), m_clock->steady());
	}
}

std::vector<std::string> control::degraded_modes() const
{
	std::vector<std::string> modes;
	if (!m_sync->is_platform_up() && m_members->has_role("reader", k_readers, m_clock->steady()))
	{
		modes.emplace_back("platform_down");
	}
	if (m_sync->is_platform_older())
	{
		modes.emplace_back("platform_older");
	}
	if (nullptr == rules())
	{
		modes.emplace_back("no_configuration");
		return modes;
	}
	const steady_time now = m_clock->steady();
	bool stale_config = false;
	for (const domain_spec& domain : rules()->domains)
	{
		const std::vector<std::string> alive = m_members->alive_in(domain.name, now);
		if (alive.empty())
		{
			modes.push_back("cut_off_from:" + domain.name);
		}
		for (const std::string& vm : alive)
		{
			stale_config = stale_config || rules()->rev < m_members->entry_of(vm)->rev;
		}
	}
	if (stale_config)
	{
		modes.emplace_back("stale_configuration");
	}
	for (const gate_backend& backend : m_gate->states())
	{
		if (backend.grant.owned && k_max_load_report_age < now - backend.reported_at)
		{
			modes.push_back("stale_measurements:" + backend.grant.name);
		}
	}
	return modes;
}
} // namespace larkrack
