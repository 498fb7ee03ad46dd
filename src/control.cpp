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
constexpr std::chrono::milliseconds k_drive_interval{250};
constexpr std::chrono::milliseconds k_probe_interval{500};
constexpr std::chrono::milliseconds k_probe_timeout{400};
constexpr std::chrono::milliseconds k_lease_interval{1500};
/// A node that has just started waits this long for news of a region before it takes it for dead.
constexpr std::chrono::seconds k_start_grace{5};
/// Rounds between two calls to the seeds of a node without a configuration.
constexpr std::size_t k_exchange_ticks = 20;

std::string record_of_step(const std::string& _service)
{
	return "step/" + _service;
}
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
	m_board = _kernel.find<view_board>("view_board");
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

std::string control::owner_key(domain_handle _domain, service_handle _service) const
{
	return "owner/" + rules()->at(_domain).name + "/" + rules()->at(_service).name;
}

std::vector<std::string> control::backends_of(domain_handle _domain, service_handle _service) const
{
	std::vector<std::string> names;
	for (const backend_spec& backend : rules()->backends)
	{
		if (backend.domain == _domain && backend.service == _service)
		{
			names.push_back(backend.name);
		}
	}
	return names;
}

std::set<std::string> control::present_in(domain_handle _domain, steady_time _now) const
{
	const policy& now = *rules();
	const auto fits = [&](const entry_vm_spec& _vm)
	{
		const member_entry* entry = m_members->entry_of(_vm.name);
		const bool leaving = _vm.name == m_settings->name ? m_leaving : (nullptr != entry && entry->leaving);
		const member_state state = m_members->state_of(_vm.name, _now);
		const bool answers = member_state::alive == state;
		return answers && !leaving && !_vm.drain && 0 == m_sync->gone().count(_vm.name);
	};
	std::set<std::string> present;
	std::set<std::string> neighbours;
	for (const entry_vm_spec& vm : now.entry_vms)
	{
		if (!fits(vm))
		{
			continue;
		}
		if (vm.domain == _domain)
		{
			present.insert(vm.name);
		}
		else if (now.at(vm.domain).region == now.at(_domain).region)
		{
			neighbours.insert(vm.name);
		}
	}
	// A failure domain without any entry VM is served by the neighbours in its region, when its own are gone
	// for good.
	bool own_may_return = false;
	for (const entry_vm_spec& vm : now.entry_vms)
	{
		const member_entry* entry = m_members->entry_of(vm.name);
		const bool leaving = vm.name == m_settings->name ? m_leaving : (nullptr != entry && entry->leaving);
		const bool away = 0 < m_sync->gone().count(vm.name) || vm.drain || leaving;
		own_may_return = own_may_return || (vm.domain == _domain && !away);
	}
	return present.empty() && !own_may_return ? neighbours : present;
}

owner_facts control::facts(
    domain_handle _domain, service_handle _service, const std::set<std::string>& _present) const
{
	owner_facts known;
	known.self = m_settings->name;
	known.life = m_life;
	known.self_leaving = m_leaving;
	known.present = _present;
	known.gone = m_sync->gone();
	known.longest_run = rules()->at(_service).run_limit + k_clock_skew;
	known.now = m_clock->wall();
	for (const std::string& backend : backends_of(_domain, _service))
	{
		known.running[backend] = m_gate->running(backend);
	}
	return known;
}

void control::update_gate(steady_time _now)
{
	const policy& now = *rules();
	const wall_time wall = m_clock->wall();
	std::vector<backend_grant> grants;
	std::map<std::pair<std::uint16_t, std::uint16_t>,
	    std::pair<owner_record, std::map<std::string, std::string>>>
	    plans;
	std::map<std::uint16_t, std::set<std::string>> present;
	const domain_handle self_domain = now.find_domain(m_settings->domain);
	if (!is_valid(self_domain))
	{
		return;
	}
	for (const backend_spec& backend : now.backends)
	{
		if (now.at(backend.domain).region != now.at(self_domain).region)
		{
			continue;
		}
		const auto place = std::make_pair(backend.domain.idx, backend.service.idx);
		if (0 == plans.count(place))
		{
			if (0 == present.count(backend.domain.idx))
			{
				present[backend.domain.idx] = present_in(backend.domain, _now);
			}
			const owner_facts known = facts(backend.domain, backend.service, present[backend.domain.idx]);
			auto& plan = plans[place];
			plan.first =
			    owners_from_text(m_sync->records().value_of(owner_key(backend.domain, backend.service)));
			plan.second = plan_owners(now.at(backend.domain).name, now.at(backend.service).name,
			    backends_of(backend.domain, backend.service), known.present, now.at(backend.service).owners);
		}
		const auto& [record, wanted] = plans[place];
		const auto entry = record.backends.find(backend.name);
		owner_facts self;
		self.self = m_settings->name;
		self.life = m_life;
		self.self_leaving = m_leaving;
		const bool holds =
		    record.backends.end() != entry && entry->second.vm == self.self && entry->second.life == m_life;
		if (!holds)
		{
			continue;
		}
		backend_grant grant;
		grant.name = backend.name;
		grant.service = now.at(backend.service).name;
		grant.address = backend.address;
		grant.slots = backend.slots;
		grant.drain = backend.drain || now.at(backend.domain).drain ||
		              now.regions[now.at(backend.domain).region.idx].drain;
		grant.owned = !is_giving_up(entry->second, backend.name, wanted, self);
		grant.full_until = _now + (entry->second.full_until - wall);
		grants.push_back(grant);
	}
	const double max_share = now.regions[now.at(self_domain).region.idx].max_share;
	m_gate->update(grants, max_share, _now);
	for (const backend_grant& grant : grants)
	{
		const int running = m_gate->running(grant.name);
		const auto it = m_draining.find(grant.name);
		if (grant.drain && m_draining.end() == it)
		{
			log_event(event::drain_started, {{"backend", grant.name}, {"running", running}});
			m_draining[grant.name] = 1;
		}
		if (grant.drain && 1 == m_draining[grant.name] && 0 == running)
		{
			log_event(event::drain_ended, {{"backend", grant.name}});
			m_draining[grant.name] = 0;
		}
		if (!grant.drain)
		{
			m_draining.erase(grant.name);
		}
	}
}

void control::own_for_ever(const yield_context& _yield)
{
	while (!m_stopping)
	{
		sleep_for(m_context.get_executor(), m_members->interval() * 2 / k_rounds_of_interval, _yield);
		const policy_ptr now = m_sync->configuration().current();
		const domain_handle self = now ? now->find_domain(m_settings->domain) : domain_handle{};
		for (std::size_t domain = 0; is_valid(self) && domain < now->domains.size(); ++domain)
		{
			if (now->domains[domain].region != now->at(self).region)
			{
				continue;
			}
			for (std::size_t service = 0;
			     service < now->services.size() && now == m_sync->configuration().current(); ++service)
			{
				own({static_cast<std::uint16_t>(domain)}, {static_cast<std::uint16_t>(service)}, _yield);
			}
		}
	}
}

void control::own(domain_handle _domain, service_handle _service, const yield_context& _yield)
{
	const policy& now = *rules();
	const std::vector<std::string> backends = backends_of(_domain, _service);
	if (backends.empty())
	{
		return;
	}
	const auto plan = [&, this](const std::string& _text) -> std::optional<owner_record>
	{
		const owner_facts known = facts(_domain, _service, present_in(_domain, m_clock->steady()));
		const auto wanted = plan_owners(
		    now.at(_domain).name, now.at(_service).name, backends, known.present, now.at(_service).owners);
		return next_owners(owners_from_text(_text), wanted, known);
	};
	const std::string key = owner_key(_domain, _service);
	if (!plan(m_sync->records().value_of(key)))
	{
		return;
	}
	const policy_ptr held = m_sync->configuration().current();
	owner_record taken;
	const call_status status = m_sync->update_record(
	    "write_owner", key,
	    [&](const std::string& _old) -> std::optional<std::string>
	    {
		    const std::optional<owner_record> next = plan(_old);
		    if (!next)
		    {
			    return std::nullopt;
		    }
		    taken = *next;
		    return to_text(*next);
	    },
	    _yield);
	if (call_status::done == status)
	{
		log_event(event::owner_taken, {{"record", key}, {"sequence", taken.sequence}});
	}
	else if (call_status::not_done != status || !m_sync->is_up())
	{
		sleep_for(m_context.get_executor(), k_backoff_first, _yield);
	}
}

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
		const step_record step = step_from_text(m_sync->records().value_of(record_of_step(service.name)));
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
	const std::string key = record_of_step(held->at(_service).name);
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
		if (backend.grant.owned && k_suspect_after * 4 < now - backend.reported_at)
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
		all.push_back({service, step_from_text(m_sync->records().value_of(record_of_step(service))),
		    state.limiter.current()});
	}
	return all;
}
} // namespace larkrack
