// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "control_p.h"

#include "log_p.h"

#include <algorithm>
#include <cmath>

namespace larkrack
{
namespace
{
/// Rounds over the state of the fleet between two heartbeats.
constexpr int k_rounds_of_interval = 5;
constexpr std::chrono::milliseconds k_probe_interval{500};
constexpr std::chrono::milliseconds k_probe_timeout{400};
/// Rounds between two calls to the seeds of a node without a configuration.
constexpr std::size_t k_exchange_ticks = 20;

} // namespace

control::control(asio::io_context& _context) : m_context(_context), m_caller(_context.get_executor())
{
}

std::optional<error> control::init(kernel& _kernel)
{
	m_settings = &_kernel.find<settings_service>("settings")->get();
	m_clock = _kernel.find<clock_base>("clock");
	m_gate = _kernel.find<gate>("gate");
	m_peers = _kernel.find<peers_base>("peers");
	m_sync = _kernel.find<platform_sync>("platform_sync");
	m_board = _kernel.find<view_publisher>("view_publisher");
	m_life.value = static_cast<std::uint64_t>(to_us(m_clock->wall()));
	m_members = std::make_unique<membership>(m_settings->name, m_settings->domain, m_life);
	m_last_tick = m_clock->steady();
	m_sync->on_change(
	    [this](bool _config, const std::vector<record>& _records)
	    {
		    on_change(_config, _records);
	    });
	m_peers->on_message(
	    [this](const envelope& _envelope)
	    {
		    on_envelope(_envelope);
	    });
	using loop = void (control::*)(const yield_context&);
	for (const loop run :
	    {&control::tick_for_ever, &control::own_for_ever, &control::drive_for_ever, &control::probe_for_ever})
	{
		start(m_context,
		    [this, run](const yield_context& _yield)
		    {
			    (this->*run)(_yield);
		    });
	}
	return std::nullopt;
}

void control::shutdown()
{
	m_stopping = true;
}

void control::set_cut(const std::set<std::string>& _vms, bool _platform)
{
	m_peers->set_cut(_vms);
	m_sync->set_cut(_platform);
}

void control::tick_for_ever(const yield_context& _yield)
{
	while (!m_stopping)
	{
		tick(m_clock->steady());
		sleep_for(m_context.get_executor(), k_tick, _yield);
	}
}

void control::tick(steady_time _now)
{
	check_pause(_now);
	m_gate->tick(_now);
	if (_now < m_next_round)
	{
		return;
	}
	// The state of the fleet changes as fast as heartbeats come; looking at it more often costs and tells
	// nothing.
	m_next_round = _now + m_members->interval() / k_rounds_of_interval;
	++m_ticks;
	if (nullptr == rules())
	{
		// Without a configuration the seeds are all that is known.
		for (const endpoint& seed : m_settings->seeds)
		{
			if (1 == m_ticks % k_exchange_ticks)
			{
				m_peers->send(to_string(seed), seed, {m_settings->name, message_get_config{}});
			}
		}
		return;
	}
	update_gate(_now);
	update_shares(_now);
	send_heartbeats(_now);
	publish(_now);
	m_sync->set_reader(m_members->has_role("reader", k_readers, _now));
}

void control::check_pause(steady_time _now)
{
	const auto gap = _now - m_last_tick;
	m_last_tick = _now;
	if (gap < k_pause_gap)
	{
		return;
	}
	// The world may have gone on without this process: nothing is sent until the records are confirmed.
	log_event(event::node_paused, {{"gap_ms", gap.count() / 1000}});
	m_gate->hold(true);
	start(m_context,
	    [this](const yield_context& _yield)
	    {
		    const policy_ptr rules_now = m_sync->configuration().current();
		    for (std::size_t at = 0; rules_now && at < rules_now->services.size(); ++at)
		    {
			    const auto domain = rules_now->find_domain(m_settings->domain);
			    m_sync->update_record(
			        "confirm_owner", owner_key(domain, service_handle{static_cast<std::uint16_t>(at)}),
			        [](const std::string&)
			        {
				        return std::nullopt;
			        },
			        _yield);
		    }
		    update_gate(m_clock->steady());
		    m_gate->hold(false);
	    });
}

void control::on_envelope(const envelope& _envelope)
{
	if (const auto* body = std::get_if<message_heartbeat>(&_envelope.body))
	{
		on_heartbeat(_envelope, *body);
	}
	else if (const auto* get = std::get_if<message_get_config>(&_envelope.body))
	{
		if (get->have < m_sync->configuration().state().rev)
		{
			send(_envelope.from, m_sync->configuration().since(get->have));
		}
	}
	else if (const auto* config = std::get_if<message_config>(&_envelope.body))
	{
		if (take_status::gap == m_sync->take(*config))
		{
			send(_envelope.from, message_get_config{});
		}
	}
	else if (const auto* ask = std::get_if<message_get_records>(&_envelope.body))
	{
		send(_envelope.from, message_records{m_sync->records().newer_than(ask->have)});
	}
	else if (const auto* news = std::get_if<message_records>(&_envelope.body))
	{
		m_sync->take(news->records);
	}
}

void control::on_heartbeat(const envelope& _envelope, const message_heartbeat& _body)
{
	m_members->receive(_body.entries, m_clock->steady());
	if (_body.entries.empty())
	{
		return;
	}
	const member_entry& sender = _body.entries.front();
	if (m_sync->configuration().state().rev < sender.rev)
	{
		send(_envelope.from, message_get_config{m_sync->configuration().state().rev});
	}
	if (sender.records_digest != m_sync->records().digest())
	{
		send(_envelope.from, message_get_records{m_sync->records().sequences()});
	}
}

void control::send(const std::string& _vm, const message& _message)
{
	const policy* now = rules();
	const entry_vm_handle to = nullptr == now ? entry_vm_handle{} : now->find_entry_vm(_vm);
	if (is_valid(to) && _vm != m_settings->name)
	{
		m_peers->send(_vm, now->at(to).peers, {m_settings->name, _message});
	}
}

void control::send_heartbeats(steady_time _now)
{
	member_entry& self = m_members->self();
	self.rev = m_sync->configuration().state().rev;
	self.records_digest = m_sync->records().digest();
	self.leaving = m_leaving;
	self.loads = m_gate->headroom(_now);
	for (const heartbeat& one : m_members->tick(_now))
	{
		send(one.to, message_heartbeat{one.entries});
	}
	std::set<std::string> alive;
	for (const auto& [vm, domain] : m_members->members())
	{
		if (member_state::alive == m_members->state_of(vm, _now))
		{
			alive.insert(vm);
		}
	}
	for (const std::string& vm : alive)
	{
		if (0 == m_known_alive.count(vm))
		{
			log_event(event::peer_up, {{"peer", vm}});
		}
	}
	for (const std::string& vm : m_known_alive)
	{
		if (0 == alive.count(vm))
		{
			const bool left = member_state::left == m_members->state_of(vm, _now);
			log_event(left ? event::peer_left : event::peer_suspected, {{"peer", vm}});
		}
	}
	m_known_alive = std::move(alive);
}

void control::on_change(bool _config, const std::vector<record>& _records)
{
	if (_config)
	{
		configure();
		log_event(event::config_taken, {{"revision", rules()->rev.value}});
	}
	// Peers of this failure domain hear of it at once; the others by their own readers or by digest.
	for (const std::string& vm : m_members->alive_in(m_settings->domain, m_clock->steady()))
	{
		if (vm == m_settings->name)
		{
			continue;
		}
		if (!_records.empty())
		{
			send(vm, message_records{_records});
		}
		const member_entry* entry = m_members->entry_of(vm);
		if (_config && nullptr != entry && entry->rev < rules()->rev)
		{
			send(vm, m_sync->configuration().since(entry->rev));
		}
	}
	if (nullptr != rules())
	{
		const steady_time now = m_clock->steady();
		update_gate(now);
		update_shares(now);
		publish(now);
	}
}

void control::configure()
{
	const policy* now = rules();
	std::vector<member_config> members;
	for (const entry_vm_spec& vm : now->entry_vms)
	{
		members.push_back({vm.name, now->at(vm.domain).name});
	}
	m_members->configure(members);
}

void control::publish(steady_time _now)
{
	const policy_ptr now = m_sync->configuration().current();
	auto view = std::make_shared<traffic_view>();
	view->rules = now;
	view->self = now->find_entry_vm(m_settings->name);
	const domain_handle domain = now->find_domain(m_settings->domain);
	view->region = is_valid(domain) ? now->at(domain).region : region_handle{};
	view->life = m_life;
	view->stopping = m_leaving;
	if (!m_judged_life && m_sync->is_up())
	{
		m_judged_life = true;
		m_first_life = true;
		for (std::size_t at = 0; is_valid(domain) && at < now->services.size(); ++at)
		{
			const auto record = owners_from_text(
			    m_sync->records().value_of(owner_key(domain, {static_cast<std::uint16_t>(at)})));
			m_first_life = m_first_life && record.backends.empty();
		}
	}
	view->first_life = m_first_life;
	view->peers.resize(now->entry_vms.size());
	for (std::size_t at = 0; at < now->entry_vms.size(); ++at)
	{
		const entry_vm_spec& vm = now->entry_vms[at];
		peer_view& peer = view->peers[at];
		peer.rooms.resize(now->services.size());
		const member_entry* entry = m_members->entry_of(vm.name);
		if (nullptr == entry)
		{
			continue;
		}
		peer.alive = member_state::alive == m_members->state_of(vm.name, _now);
		peer.leaving = entry->leaving || vm.drain || (vm.name == m_settings->name && m_leaving);
		peer.life = entry->life;
		for (std::size_t service = 0; service < now->services.size(); ++service)
		{
			const auto load = entry->loads.find(now->services[service].name);
			if (entry->loads.end() != load)
			{
				peer.rooms[service] = load->second;
			}
		}
	}
	for (std::size_t at = 0; at < now->services.size(); ++at)
	{
		service_view service;
		const std::vector<double>& shares = m_services[now->services[at].name].limiter.current();
		service.plan = plan_mix(now->services[at].steering.demand, shares);
		for (const region_room& room : rooms({static_cast<std::uint16_t>(at)}, _now))
		{
			service.open.push_back(room.open);
		}
		view->services.push_back(std::move(service));
	}
	m_board->publish(view);
}

void control::probe_for_ever(const yield_context& _yield)
{
	while (!m_stopping)
	{
		sleep_for(m_context.get_executor(), k_probe_interval, _yield);
		for (const backend_state& backend : m_gate->states())
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

void control::probe(const backend_state& _backend, const yield_context& _yield)
{
	const endpoint& where = _backend.grant.address;
	result<http_response> called =
	    m_caller.call(where, make_request(http::verb::get, "/.load", where), k_probe_timeout, _yield);
	const http_response* response = value_of(called);
	if (nullptr == response)
	{
		return;
	}
	const nlohmann::json body = nlohmann::json::parse(response->body(), nullptr, false);
	if (body.is_object() && body.contains("load") && body["load"].is_number())
	{
		m_gate->report(_backend.grant.name, body["load"], body.value("cold", false), m_clock->steady());
	}
}

void control::begin_stop()
{
	m_leaving = true;
	log_event(event::node_stopping);
	m_members->self().leaving = true;
	if (nullptr != rules())
	{
		update_gate(m_clock->steady());
		publish(m_clock->steady());
	}
}

bool control::is_handed_over() const
{
	for (const backend_state& backend : m_gate->states())
	{
		if (0 < backend.running)
		{
			return false;
		}
	}
	return !m_sync->is_up() || m_gate->states().empty();
}

void control::say_farewell()
{
	member_entry& self = m_members->self();
	self.left = true;
	++self.sequence;
	for (const auto& [vm, domain] : m_members->members())
	{
		send(vm, message_heartbeat{{self}});
	}
}

std::vector<std::string> control::degraded_modes() const
{
	std::vector<std::string> modes;
	if (!m_sync->is_up() && m_members->has_role("reader", k_readers, m_clock->steady()))
	{
		modes.emplace_back("platform_down");
	}
	if (m_sync->is_older())
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
	for (const backend_state& backend : m_gate->states())
	{
		if (backend.grant.owned && k_load_report_stale < now - backend.reported_at)
		{
			modes.push_back("stale_measurements:" + backend.grant.name);
		}
	}
	return modes;
}

std::vector<shift_status> control::shifts() const
{
	std::vector<shift_status> all;
	for (const auto& [service, state] : m_services)
	{
		all.push_back({service, step_from_text(m_sync->records().value_of(step_key(service))),
		    state.limiter.current()});
	}
	return all;
}
} // namespace larkrack
