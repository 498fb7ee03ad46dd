// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/control_p.h"

#include "larkrackd/log_p.h"

namespace larkrack
{
namespace
{
/// Updates of the fleet's state in one heartbeat interval.
constexpr int k_updates_per_interval = 5;
/// Updates between two requests to the seeds while the node has no configuration.
constexpr std::size_t k_seed_contact_ticks = 20;
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
	m_view_publisher = _kernel.find<view_publisher>("view_publisher");
	m_incarnation.value = static_cast<std::uint64_t>(to_us(m_clock->wall()));
	m_members = std::make_unique<membership>(m_settings->name, m_settings->domain, m_incarnation);
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
	    {&control::run_ticks, &control::run_ownership, &control::run_shift_driver, &control::run_probes})
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

void control::set_partitioned(const std::set<std::string>& _vms, bool _platform)
{
	m_peers->set_partitioned(_vms);
	m_sync->set_partitioned(_platform);
}

void control::run_ticks(const yield_context& _yield)
{
	while (!m_stopping)
	{
		tick(m_clock->steady());
		sleep_for(m_context.get_executor(), k_control_tick_interval, _yield);
	}
}

void control::tick(steady_time _now)
{
	check_pause(_now);
	m_gate->tick(_now);
	if (_now < m_next_update)
	{
		return;
	}
	// The state of the fleet changes with the heartbeats; updating it more often costs processor time and
	// yields nothing new.
	m_next_update = _now + m_members->interval() / k_updates_per_interval;
	++m_ticks;
	if (nullptr == rules())
	{
		// Without a configuration the seeds are the only known peers.
		for (const endpoint& seed : m_settings->seeds)
		{
			if (1 == m_ticks % k_seed_contact_ticks)
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
	if (gap < k_process_pause_threshold)
	{
		return;
	}
	// Other nodes may have taken over backend servers during the pause: no new work is sent until the owner
	// records are confirmed.
	log_event(event::node_paused, {{"gap_ms", gap.count() / 1000}});
	m_gate->hold(true);
	start(m_context,
	    [this](const yield_context& _yield)
	    {
		    const policy_ptr rules_now = m_sync->configuration().current();
		    for (std::size_t at = 0; rules_now && at < rules_now->services.size(); ++at)
		    {
			    const auto domain = rules_now->find_domain(m_settings->domain);
			    // update_record itself takes the record that it reads; without an answer the known record
			    // stays in force.
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

void control::on_change(bool _config, const std::vector<record>& _records)
{
	if (_config)
	{
		configure();
		log_event(event::config_taken, {{"revision", rules()->rev.value}});
	}
	// Peers in this failure domain are sent the change at once; nodes in other failure domains get it through
	// their own readers, or when digests differ.
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
			send(vm, m_sync->configuration().changes_since(entry->rev));
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
	for (const gate_backend& backend : m_gate->states())
	{
		if (0 < backend.running)
		{
			return false;
		}
	}
	return !m_sync->is_platform_up() || m_gate->states().empty();
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
