// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/fleet_p.h"

#include "steering/rendezvous_p.h"
#include "steering/store_start_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Addresses that one heartbeat tells. More: larger datagrams. Fewer: a new node finds the others later; they
/// find it with its first heartbeat. Not measured.
constexpr std::size_t k_told_addresses = 64;

std::size_t told_addresses(std::size_t _known)
{
	return std::min(_known, k_told_addresses);
}

double rate_of(const node_heartbeat& _node, const service_name& _service, const region_name& _region)
{
	const auto service = _node.sent_per_s.find(_service);
	if (_node.sent_per_s.end() == service)
	{
		return 0.0;
	}
	const auto region = service->second.find(_region);
	return service->second.end() == region ? 0.0 : region->second;
}
} // namespace

fleet::fleet(const clock_base& _clock, node_heartbeat _self, backend_registry& _backends, entry_log& _log)
    : m_clock(_clock), m_self(std::move(_self)), m_backends(_backends), m_log(_log)
{
}

bool fleet::alive(const fleet_member& _member) const
{
	return m_clock.steady() - _member.heard_at <= liveness().longest_silence(is_far(_member));
}

bool fleet::hear(const node_heartbeat& _heartbeat)
{
	if (_heartbeat.node == m_self.node)
	{
		return false;
	}
	fleet_member& member = m_members[_heartbeat.node];
	const bool is_new = member.last.incarnation != _heartbeat.incarnation;
	// Whether the sender is live is asked only where it matters: that reads the clock.
	if (node_liveness::outdated(_heartbeat, member.last, true) && alive(member))
	{
		return false;
	}
	member.last = _heartbeat;
	member.heard_at = m_clock.steady();
	m_backends.set_in_flight_of_node(_heartbeat.node, _heartbeat.in_flight);
	add_address(_heartbeat.ip);
	for (const std::string& ip : _heartbeat.known_ips)
	{
		add_address(ip);
	}
	std::size_t nodes = 1;
	std::size_t in_region = 1;
	for (const auto& [name, one] : m_members)
	{
		++nodes;
		in_region += one.last.region == m_self.region ? 1 : 0;
	}
	m_census.on_seen(nodes, in_region);
	return is_new &&
	       node_liveness::wants_introduction(_heartbeat.known_ips.size(), told_addresses(nodes - 2));
}

void fleet::add_address(const std::string& _ip)
{
	if (!_ip.empty() && _ip != m_self.ip)
	{
		m_addresses.insert(_ip);
	}
}

std::vector<std::string> fleet::targets() const
{
	std::set<std::string> targets = m_addresses;
	for (const auto& [name, member] : m_members)
	{
		const bool turn = node_liveness::is_turn_of_far(name, m_self.sequence);
		if (is_far(member) && !turn && alive(member))
		{
			targets.erase(member.last.ip);
		}
	}
	return {targets.begin(), targets.end()};
}

std::vector<std::string> fleet::some_addresses() const
{
	// A window over the names that begins elsewhere in each node and goes on with each telling.
	const std::size_t nodes = m_members.size();
	const std::size_t told = told_addresses(nodes);
	const std::size_t first =
	    0 == nodes ? 0 : (rendezvous_weight(m_self.node.text, 0) + m_self.sequence * told) % nodes;
	std::vector<std::string> addresses;
	auto member = std::next(m_members.begin(), static_cast<std::ptrdiff_t>(first));
	for (std::size_t seen = 0; seen < nodes && addresses.size() < told; ++seen)
	{
		if (alive(member->second))
		{
			addresses.push_back(member->second.last.ip);
		}
		++member;
		member = m_members.end() == member ? m_members.begin() : member;
	}
	return addresses;
}

node_heartbeat fleet::introduction()
{
	++m_self.sequence;
	m_self.known_ips = some_addresses();
	return m_self;
}

node_heartbeat fleet::next()
{
	++m_self.sequence;
	m_self.known_ips.clear();
	if (node_liveness::tells_addresses(m_self.sequence))
	{
		m_self.known_ips = some_addresses();
	}
	return m_self;
}

bool fleet::registers() const
{
	return larkrack::registers(m_self, live_with(
	                                       [this](const node_heartbeat& _node)
	                                       {
		                                       return _node.domain == m_self.domain;
	                                       }));
}

lookup_decision fleet::look_up(const region_name& _region, const std::vector<region_name>& _homes) const
{
	std::vector<const node_heartbeat*> ready;
	for (const auto& [name, member] : m_members)
	{
		if (node_state::ready == member.last.state)
		{
			ready.push_back(&member.last);
		}
	}
	if (node_state::ready == m_self.state)
	{
		ready.push_back(&m_self);
	}
	const auto is_live = [this](const node_heartbeat& _node)
	{
		return _node.node == m_self.node || alive(m_members.at(_node.node));
	};
	return plan_lookup(_region, _homes, ready, is_live, m_self.callers);
}

reader_decision fleet::reader() const
{
	std::vector<const node_heartbeat*> live;
	for (const auto& [name, member] : m_members)
	{
		if (is_near(member))
		{
			live.push_back(&member.last);
		}
	}
	return plan_reader(m_self, live);
}

const node_heartbeat* fleet::newer(std::int64_t _store_revision) const
{
	const auto knows_more = [_store_revision](const node_heartbeat& _node)
	{
		return _node.store_revision > _store_revision;
	};
	return choose_peer(m_self, _store_revision, live_with(knows_more));
}

const node_heartbeat* fleet::newer_routes(std::uint64_t _config_version) const
{
	const auto is_newer = [_config_version](const node_heartbeat& _node)
	{
		return _node.config_version > _config_version;
	};
	return choose_peer_for_routes(m_self, _config_version, live_with(is_newer));
}

std::vector<const node_heartbeat*> fleet::live_with(
    const std::function<bool(const node_heartbeat&)>& _condition) const
{
	std::vector<const node_heartbeat*> live;
	for (const auto& [name, member] : m_members)
	{
		// Whether a node is live is asked last: that reads the clock.
		if (_condition(member.last) && alive(member))
		{
			live.push_back(&member.last);
		}
	}
	return live;
}

std::vector<std::string> fleet::region_addresses() const
{
	std::vector<std::string> addresses;
	for (const auto& [name, member] : m_members)
	{
		if (is_near(member))
		{
			addresses.push_back(member.last.ip);
		}
	}
	return addresses;
}

std::optional<steady_time> fleet::store_answered_at() const
{
	std::optional<steady_time> latest;
	for (const auto& [name, member] : m_members)
	{
		if (member.last.region != m_self.region || !member.last.store_answer_age)
		{
			continue;
		}
		const steady_time at = member.heard_at - *member.last.store_answer_age;
		latest = latest ? std::max(*latest, at) : at;
	}
	return latest;
}

double fleet::warmup_part(const backend_state& _backend) const
{
	std::vector<const node_name*> nodes{&m_self.node};
	for (const auto& [name, member] : m_members)
	{
		if (is_near(member))
		{
			nodes.push_back(&name);
		}
	}
	return plan_warmup(m_self.node, nodes, m_census.most_in_region(), _backend.id_hash).part;
}

void fleet::tick()
{
	for (auto it = m_members.begin(); it != m_members.end();)
	{
		fleet_member& member = it->second;
		const bool now_alive = alive(member);
		if (now_alive != member.logged_alive)
		{
			member.logged_alive = now_alive;
			const steady_time::duration silence = m_clock.steady() - member.heard_at;
			m_log.write(log_line(now_alive ? event::peer_up : event::peer_suspected)
			                .text("peer", it->first.text)
			                .number("incarnation", static_cast<std::int64_t>(member.last.incarnation))
			                .number("silent_ms",
			                    std::chrono::duration_cast<std::chrono::milliseconds>(silence).count()));
		}
		if (!now_alive)
		{
			// What it has in flight now is not known; the reports of backend servers are all there is.
			m_backends.set_in_flight_of_node(it->first, {});
		}
		it = node_liveness::forgotten(m_clock.steady() - member.heard_at) ? m_members.erase(it)
		                                                                  : std::next(it);
	}
}

slot_portion fleet::portion(const service_name& _service, const region_name& _region) const
{
	std::vector<node_rate> others;
	for (const auto& [name, member] : m_members)
	{
		if (alive(member))
		{
			others.push_back({&name, rate_of(member.last, _service, _region)});
		}
	}
	return plan_slot_portion(m_self.node, rate_of(m_self, _service, _region), others);
}

rate_by_region fleet::demand_of_others(const service_name& _service) const
{
	rate_by_region demand;
	for (const auto& [name, member] : m_members)
	{
		const auto it = member.last.requests_per_s.find(_service);
		if (member.last.requests_per_s.end() != it && alive(member))
		{
			demand[member.last.region] += it->second;
		}
	}
	return demand;
}
} // namespace larkrack
