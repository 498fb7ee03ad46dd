// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// The read-only part of the operators' listener: status, explanation of how a caller is routed, metrics, and
/// the live stream of updates.
#include "larkrackd/operators_p.h"

#include "larkrackd/lookup_p.h"

namespace larkrack
{
namespace
{
/// Interval at which a stream checks for updates. A shorter one is more current, a longer one takes less time
/// of the control thread.
constexpr std::chrono::milliseconds k_watch_interval{200};

const char* to_string(member_state _state)
{
	switch (_state)
	{
	case member_state::alive:
		return "alive";
	case member_state::suspected:
		return "suspected";
	case member_state::left:
		return "left";
	case member_state::unknown:
		break;
	}
	return "unknown";
}
} // namespace

nlohmann::json operators::backends_json() const
{
	const steady_time now = m_clock->steady();
	nlohmann::json backends = nlohmann::json::array();
	for (const gate_backend& backend : m_gate->states())
	{
		backends.push_back({{"name", backend.grant.name}, {"service", backend.grant.service},
		    {"slots", backend.grant.slots}, {"running", backend.running}, {"pace", backend.concurrency_limit},
		    {"owned", backend.grant.owned}, {"drain", backend.grant.drain}, {"served", backend.served},
		    {"full_ms", std::max<std::int64_t>(0, (backend.grant.full_until - now).count() / 1000)}});
	}
	return backends;
}

nlohmann::json operators::shifts_json(const policy& _rules) const
{
	nlohmann::json shifts = nlohmann::json::array();
	for (const shift_status& shift : m_control->shifts())
	{
		shifts.push_back({{"service", shift.service}, {"state", shift.step.state},
		    {"waits_for", shift.step.waits_for}, {"shares", shift.step.shares}, {"goal", shift.step.goal},
		    {"step", shift.step.number}, {"in_force", shares_by_name(_rules, shift.in_force)}});
	}
	return shifts;
}

void operators::add_entry_vms(const policy& _rules, nlohmann::json& _answer) const
{
	const steady_time now = m_clock->steady();
	for (const entry_vm_spec& vm : _rules.entry_vms)
	{
		const member_entry* entry = m_control->members().entry_of(vm.name);
		const member_state state = m_control->members().state_of(vm.name, now);
		const std::uint64_t at = nullptr == entry ? 0 : entry->rev.value;
		const bool leaving = vm.drain || (nullptr != entry && entry->leaving);
		_answer["entry_vms"].push_back({{"name", vm.name}, {"domain", _rules.at(vm.domain).name},
		    {"state", leaving && member_state::alive == state ? "leaving" : to_string(state)},
		    {"revision", at}, {"lags", at < _rules.rev.value}});
		for (std::size_t service = 0; nullptr != entry && service < _rules.services.size(); ++service)
		{
			const auto load = entry->loads.find(_rules.services[service].name);
			if (entry->loads.end() != load)
			{
				const domain_spec& domain = _rules.at(vm.domain);
				_answer["rooms"].push_back(
				    {{"region", _rules.regions[domain.region.idx].name}, {"domain", domain.name},
				        {"entry_vm", vm.name}, {"service", load->first}, {"slots", load->second.slots},
				        {"usable", load->second.usable}, {"running", load->second.running}});
			}
		}
	}
}

nlohmann::json operators::status_json() const
{
	nlohmann::json answer = {{"node", m_settings->name}, {"domain", m_settings->domain},
	    {"version", LARKRACK_VERSION}, {"revision", m_sync->configuration().state().rev.value},
	    {"degraded", m_control->degraded_modes()}, {"platform_up", m_sync->is_platform_up()},
	    {"platform_calls", m_sync->calls()}, {"keys", m_keys->size()}, {"life", m_control->life().value}};
	const peer_traffic sent = m_peers->traffic();
	answer["control"] = {{"sent_messages", sent.sent_messages}, {"sent_bytes", sent.sent_bytes},
	    {"received_messages", sent.received_messages}, {"received_bytes", sent.received_bytes}};
	answer["backends"] = backends_json();
	answer["shifts"] = nlohmann::json::array();
	answer["entry_vms"] = nlohmann::json::array();
	answer["rooms"] = nlohmann::json::array();
	const policy_ptr rules = m_sync->configuration().current();
	if (rules)
	{
		answer["shifts"] = shifts_json(*rules);
		add_entry_vms(*rules, answer);
	}
	return answer;
}

http_response operators::status() const
{
	return make_json(http::status::ok, status_json().dump());
}

nlohmann::json operators::explain_region(const traffic_view& _view, service_handle _service,
    const asio::ip::address& _caller, region_handle _region)
{
	const policy& rules = *_view.rules;
	const region_handle home = rules.home_of(_caller);
	nlohmann::json steps = nlohmann::json::array();
	const site_handle site = rules.clients->find(_caller);
	steps.push_back(
	    {{"rule", "client_block"}, {"result", is_valid(site) ? rules.sites[site.idx].name : "(no block)"}});
	steps.push_back({{"rule", "home_region"}, {"result", rules.regions[home.idx].name}});
	const double point = caller_hash_point(_caller, rules.at(_service).name);
	const mix& plan = _view.services[_service.idx].plan;
	nlohmann::json shares = nlohmann::json::object();
	for (std::size_t at = 0; at < plan.regions; ++at)
	{
		shares[rules.regions[at].name] = plan.part[home.idx * plan.regions + at];
	}
	steps.push_back({{"rule", "mix"}, {"parts", shares}, {"point", point},
	    {"result", is_valid(_region) ? rules.regions[_region.idx].name : "refused: cap"}});
	return steps;
}

nlohmann::json operators::explain_entry_vms(
    const traffic_view& _view, service_handle _service, region_handle _region)
{
	const policy& rules = *_view.rules;
	nlohmann::json choices = nlohmann::json::array();
	if (!is_valid(_region))
	{
		return choices;
	}
	for (const lookup_choice& choice : order_entry_vms(_view, _service, _region, 0.0))
	{
		const service_headroom& room = _view.peers[choice.vm.idx].rooms[_service.idx];
		choices.push_back(
		    {{"entry_vm", rules.at(choice.vm).name}, {"domain", rules.at(rules.at(choice.vm).domain).name},
		        {"weight", choice.weight}, {"usable", room.usable}, {"running", room.running}});
	}
	return choices;
}

http_response operators::explain(const std::string& _target) const
{
	const view_ptr view = m_view_publisher->get();
	boost::system::error_code failure;
	const auto caller = asio::ip::make_address(query_value(_target, "caller"), failure);
	const service_handle service =
	    view ? view->rules->find_service(query_value(_target, "service")) : service_handle{};
	if (failure || !is_valid(service))
	{
		return error_response(http::status::bad_request, "bad_query", "needs service=NAME and caller=IP");
	}
	const policy& rules = *view->rules;
	const region_handle region = region_for(*view, service, caller);
	nlohmann::json answer = {
	    {"service", rules.at(service).name}, {"caller", caller.to_string()}, {"revision", rules.rev.value}};
	if (is_valid(region))
	{
		answer["region"] = rules.regions[region.idx].name;
	}
	answer["steps"] = explain_region(*view, service, caller, region);
	answer["entry_vms"] = explain_entry_vms(*view, service, region);
	return make_json(http::status::ok, answer.dump());
}

http_response operators::scrape()
{
	const steady_time now = m_clock->steady();
	m_metrics->set("larkrack_configuration_revision", "Revision of the configuration in force.",
	    static_cast<double>(m_sync->configuration().state().rev.value));
	m_metrics->set("larkrack_platform_up", "1 when the platform answers.", m_sync->is_platform_up() ? 1 : 0);
	m_metrics->set("larkrack_degraded_modes", "Number of degraded modes that hold.",
	    static_cast<double>(m_control->degraded_modes().size()));
	for (const auto& [use, count] : m_sync->calls())
	{
		m_metrics->set("larkrack_platform_calls", "Calls to the platform since the start.", "use", use,
		    static_cast<double>(count));
	}
	for (const auto& [service, room] : m_gate->headroom(now))
	{
		m_metrics->set(
		    "larkrack_slots_usable", "Slots that may be used now.", "service", service, room.usable);
		m_metrics->set("larkrack_slots_running", "Slots in use.", "service", service, room.running);
	}
	const peer_traffic sent = m_peers->traffic();
	m_metrics->set("larkrack_control_sent_bytes", "Bytes of control messages sent.",
	    static_cast<double>(sent.sent_bytes));
	m_metrics->set("larkrack_control_received_bytes", "Bytes of control messages received.",
	    static_cast<double>(sent.received_bytes));
	http_response response(http::status::ok, 11);
	response.set(http::field::content_type, "text/plain; version=0.0.4");
	response.body() = m_metrics->text();
	return response;
}

void operators::watch(http_session& _session, const yield_context& _yield)
{
	http::response<http::buffer_body> head(http::status::ok, 11);
	head.set(http::field::content_type, "application/x-ndjson");
	bool open = _session.send_head(head, body_end::framed, _yield);
	std::string last;
	while (open && !m_stopping && !_session.peer_has_closed())
	{
		const nlohmann::json status = status_json();
		const nlohmann::json update = {{"revision", status["revision"]}, {"shifts", status["shifts"]},
		    {"degraded", status["degraded"]}, {"entry_vms", status["entry_vms"]}};
		const std::string line = update.dump() + "\n";
		if (line != last)
		{
			open = _session.send_piece(line.data(), line.size(), _yield);
			last = line;
		}
		sleep_for(m_context.get_executor(), k_watch_interval, _yield);
	}
	_session.close();
}
} // namespace larkrack
