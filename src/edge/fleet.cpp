// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "fleet_p.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace larkrack
{
namespace
{
/// Time between two heartbeats in a small fleet, and for each node of a large one.
constexpr std::chrono::milliseconds k_interval{100};
constexpr std::chrono::milliseconds k_interval_per_node{8};
/// From so many other nodes on, those of other regions get one heartbeat of so many: bytes between regions
/// are few, and far news is old anyway.
constexpr std::size_t k_large_fleet = 24;
constexpr int k_far_rounds = 4;
/// A node that was silent for so many heartbeats, and so long, is not named to callers.
constexpr int k_silent_heartbeats = 5;
constexpr std::chrono::milliseconds k_silent{900};
/// A node that is silent for longer is forgotten.
constexpr std::chrono::seconds k_forgotten{60};
/// Addresses told in one heartbeat.
constexpr std::size_t k_told_addresses = 64;
/// Addresses in one answer to a look-up.
constexpr std::size_t k_named_addresses = 64;

/// @returns Weight of a node for rendezvous hashing.
std::uint64_t weight_of(const std::string& _node, std::uint64_t _what)
{
	return XXH64(_node.data(), _node.size(), _what);
}
} // namespace

fleet::fleet(const clock_base& _clock, edge_heartbeat _self, backend_registry& _backends, edge_log& _log)
    : m_clock(_clock), m_self(std::move(_self)), m_backends(_backends), m_log(_log)
{
}

std::chrono::milliseconds fleet::interval() const
{
	return std::max(k_interval, k_interval_per_node * static_cast<int>(m_members.size()));
}

bool fleet::alive(const fleet_member& _member) const
{
	const auto between = interval() * (is_far(_member) ? k_far_rounds : 1);
	return m_clock.steady() - _member.heard_at <=
	       std::max<std::chrono::milliseconds>(k_silent, k_silent_heartbeats * between);
}

void fleet::hear(const edge_heartbeat& _heartbeat)
{
	if (_heartbeat.node == m_self.node)
	{
		return;
	}
	fleet_member& member = m_members[_heartbeat.node];
	const auto order = [](const edge_heartbeat& _one)
	{
		return std::make_pair(_one.incarnation, _one.sequence);
	};
	// Datagrams overtake each other; but a node whose wall clock went back comes with a lower incarnation.
	if (order(_heartbeat) < order(member.last) && alive(member))
	{
		return;
	}
	member.last = _heartbeat;
	member.heard_at = m_clock.steady();
	m_backends.set_in_flight_of_node(node_name(_heartbeat.node), _heartbeat.in_flight);
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
	m_most_nodes = std::max(m_most_nodes, nodes);
	m_most_in_region = std::max(m_most_in_region, in_region);
}

void fleet::add_address(const std::string& _ip)
{
	if (!_ip.empty() && _ip != m_self.ip)
	{
		m_addresses.insert(_ip);
	}
}

bool fleet::is_far(const fleet_member& _member) const
{
	return m_members.size() >= k_large_fleet && _member.last.region != m_self.region;
}

std::vector<std::string> fleet::targets() const
{
	std::set<std::string> targets = m_addresses;
	for (const auto& [name, member] : m_members)
	{
		const bool turn = 0 == (weight_of(name, 0) + m_self.sequence) % k_far_rounds;
		if (is_far(member) && !turn && alive(member))
		{
			targets.erase(member.last.ip);
		}
	}
	return {targets.begin(), targets.end()};
}

edge_heartbeat fleet::next()
{
	++m_self.sequence;
	m_self.known_ips.clear();
	for (const auto& [name, member] : m_members)
	{
		if (alive(member) && m_self.known_ips.size() < k_told_addresses)
		{
			m_self.known_ips.push_back(member.last.ip);
		}
	}
	return m_self;
}

std::vector<std::string> fleet::ready_in(const std::string& _region) const
{
	std::vector<std::string> addresses;
	for (const auto& [name, member] : m_members)
	{
		const bool wanted = _region.empty() || member.last.region == _region;
		if (wanted && node_state::ready == member.last.state && alive(member))
		{
			addresses.push_back(member.last.callers);
		}
	}
	if (node_state::ready == m_self.state && (_region.empty() || m_self.region == _region))
	{
		addresses.push_back(m_self.callers);
	}
	return addresses;
}

std::vector<std::string> fleet::addresses_for(
    const std::string& _region, const std::vector<std::string>& _homes) const
{
	std::vector<std::string> addresses = ready_in(_region);
	for (const std::string& home : _homes)
	{
		if (!addresses.empty())
		{
			break;
		}
		addresses = ready_in(home);
	}
	if (addresses.empty())
	{
		addresses = ready_in("");
	}
	if (addresses.empty())
	{
		// Nobody is ready. A stopping node still serves; naming it is better than naming none.
		addresses.push_back(m_self.callers);
	}
	if (addresses.size() > k_named_addresses)
	{
		addresses.resize(k_named_addresses);
	}
	return addresses;
}

const fleet_member* fleet::newer(std::int64_t _store_revision) const
{
	const std::uint64_t chance = weight_of(m_self.node, m_self.sequence);
	const auto order = [&](const fleet_member& _member)
	{
		return std::make_pair(_member.last.region == m_self.region, weight_of(_member.last.node, chance));
	};
	const fleet_member* best = nullptr;
	for (const auto& [name, member] : m_members)
	{
		const bool newer = alive(member) && member.last.store_revision > _store_revision;
		if (newer && (nullptr == best || order(member) > order(*best)))
		{
			best = &member;
		}
	}
	return best;
}

std::uint64_t fleet::newest_config() const
{
	std::uint64_t newest = 0;
	for (const auto& [name, member] : m_members)
	{
		newest = std::max(newest, alive(member) ? member.last.config_version : 0);
	}
	return newest;
}

std::vector<std::string> fleet::region_nodes() const
{
	std::vector<std::string> nodes{m_self.node};
	for (const auto& [name, member] : m_members)
	{
		if (member.last.region == m_self.region && alive(member))
		{
			nodes.push_back(name);
		}
	}
	return nodes;
}

std::vector<std::string> fleet::region_addresses() const
{
	std::vector<std::string> addresses;
	for (const auto& [name, member] : m_members)
	{
		if (member.last.region == m_self.region && alive(member))
		{
			addresses.push_back(member.last.ip);
		}
	}
	return addresses;
}

std::size_t fleet::reader_rank() const
{
	const auto order = [](const edge_heartbeat& _node)
	{
		return std::make_pair(_node.store_reached, weight_of(_node.node, 0));
	};
	std::size_t rank = 0;
	for (const auto& [name, member] : m_members)
	{
		const bool may_read =
		    member.last.region == m_self.region && alive(member) && node_state::stopping != member.last.state;
		rank += may_read && order(member.last) > order(m_self) ? 1 : 0;
	}
	return rank;
}

std::optional<steady_time> fleet::store_answered_at() const
{
	std::optional<steady_time> latest;
	for (const auto& [name, member] : m_members)
	{
		if (member.last.region != m_self.region || !member.last.store_answer_age_ms)
		{
			continue;
		}
		const steady_time at = member.heard_at - std::chrono::milliseconds(*member.last.store_answer_age_ms);
		latest = latest ? std::max(*latest, at) : at;
	}
	return latest;
}

double fleet::warmup_part(const backend_state& _backend) const
{
	const std::vector<std::string> nodes = region_nodes();
	if (2 * nodes.size() < m_most_in_region)
	{
		// Most of the region is out of sight: it may be this node that is cut off.
		return 1.0 / static_cast<double>(m_most_in_region);
	}
	const std::uint64_t own = weight_of(m_self.node, _backend.id_hash);
	for (const std::string& node : nodes)
	{
		if (weight_of(node, _backend.id_hash) > own)
		{
			return 0.0;
		}
	}
	return 1.0;
}

void fleet::tick()
{
	for (auto it = m_members.begin(); it != m_members.end();)
	{
		const bool now_alive = alive(it->second);
		if (now_alive != it->second.told_alive)
		{
			it->second.told_alive = now_alive;
			const auto silent =
			    std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.steady() - it->second.heard_at);
			m_log.write(log_line(now_alive ? event::peer_up : event::peer_suspected)
			                .text("peer", it->first)
			                .number("incarnation", static_cast<std::int64_t>(it->second.last.incarnation))
			                .number("silent_ms", silent.count()));
		}
		if (!now_alive)
		{
			// What it has in flight now is not known; the reports of backend servers are all there is.
			m_backends.set_in_flight_of_node(node_name(it->first), {});
		}
		it = m_clock.steady() - it->second.heard_at > k_forgotten ? m_members.erase(it) : std::next(it);
	}
}

sharing fleet::sharers() const
{
	return {static_cast<double>(m_most_nodes)};
}

slot_portion fleet::portion(const std::string& _service, const std::string& _region) const
{
	const auto rate_of = [&](const edge_heartbeat& _node)
	{
		const auto service = _node.sent_per_s.find(_service);
		if (_node.sent_per_s.end() == service)
		{
			return 0.0;
		}
		const auto region = service->second.find(_region);
		return service->second.end() == region ? 0.0 : region->second;
	};
	const double own = rate_of(m_self);
	double before = 0.0;
	double all = own;
	for (const auto& [name, member] : m_members)
	{
		if (!alive(member))
		{
			continue;
		}
		const double rate = rate_of(member.last);
		all += rate;
		before += name < m_self.node ? rate : 0.0;
	}
	if (own <= 0.0)
	{
		return all > 0.0 ? slot_portion{0.0, 0.0} : slot_portion{};
	}
	return {before / all, (before + own) / all};
}

std::map<std::string, double> fleet::demand_of_others(const std::string& _service) const
{
	std::map<std::string, double> demand;
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
