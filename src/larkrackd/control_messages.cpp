// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Messages between entry VMs: the part of control that sends heartbeats, answers requests for configuration
/// and records, and logs which members are alive.
#include "larkrackd/control_p.h"

#include "larkrackd/log_p.h"

namespace larkrack
{
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
			send(_envelope.from, m_sync->configuration().changes_since(get->have));
		}
	}
	else if (const auto* config = std::get_if<message_config>(&_envelope.body))
	{
		if (apply_status::unknown_base == m_sync->take(*config))
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
	log_peer_changes(_now);
}

void control::log_peer_changes(steady_time _now)
{
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
		if (0 == m_logged_alive.count(vm))
		{
			log_event(event::peer_up, {{"peer", vm}});
		}
	}
	for (const std::string& vm : m_logged_alive)
	{
		if (0 == alive.count(vm))
		{
			const bool left = member_state::left == m_members->state_of(vm, _now);
			log_event(left ? event::peer_left : event::peer_suspected, {{"peer", vm}});
		}
	}
	m_logged_alive = std::move(alive);
}

void control::send_farewell()
{
	member_entry& self = m_members->self();
	self.left = true;
	++self.sequence;
	for (const auto& [vm, domain] : m_members->members())
	{
		send(vm, message_heartbeat{{self}});
	}
}
} // namespace larkrack
