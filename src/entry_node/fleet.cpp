// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/fleet_p.h"

#include "steering/rendezvous_p.h"

#include <algorithm>
#include <set>

namespace larkrack
{
namespace
{
/// Addresses that one heartbeat tells. More: larger datagrams. Fewer: a new node finds the others later; they
/// find it with its first heartbeat. Not measured.
constexpr std::size_t k_told_addresses = 64;

/// Lists that were taken in and are not asked for again: 3 KB for each node of a large fleet.
void forget_lists(node_heartbeat& _heartbeat)
{
	_heartbeat.known_ips = {};
	_heartbeat.neighbours = {};
	_heartbeat.in_flight = {};
}

std::size_t told_addresses(std::size_t _known)
{
	return std::min(_known, k_told_addresses);
}
} // namespace

fleet::fleet(const clock_base& _clock, node_heartbeat _self, backend_registry& _backends, entry_log& _log)
    : m_clock(_clock), m_self(std::move(_self)), m_backends(_backends), m_log(_log)
{
}

std::size_t fleet::nodes_of(const domain_name& _domain) const
{
	const auto it = m_domain_sizes.find(_domain);
	return m_domain_sizes.end() == it ? 0 : it->second;
}

void fleet::on_members_changed()
{
	m_domain_sizes.clear();
	m_by_hash.clear();
	std::size_t in_region = 1;
	for (auto& [name, member] : m_members)
	{
		++m_domain_sizes[member.last.domain];
		m_by_hash[short_hash(name.text)] = &member;
		in_region += member.last.region == m_self.region ? 1 : 0;
	}
	m_census.on_seen(m_members.size() + 1, in_region);
	const node_liveness pace = liveness();
	for (auto& [name, member] : m_members)
	{
		const std::size_t tellers = nodes_of(member.last.domain) - 1;
		member.longest_silence =
		    pace.longest_silence(node_liveness::proximity_of(m_self, member.last), tellers);
	}
}

greeting fleet::hear(const node_heartbeat& _heartbeat)
{
	if (_heartbeat.node == m_self.node)
	{
		return greeting::none;
	}
	const steady_time now = m_clock.steady();
	fleet_member& member = m_members[_heartbeat.node];
	const bool is_new = member.last.incarnation != _heartbeat.incarnation;
	const bool is_unknown = 0 == member.last.incarnation;
	// Its own silence counts here: neighbours may tell of the life that this heartbeat is of.
	const auto longest = liveness().longest_own_silence(node_liveness::proximity_of(m_self, member.last));
	if (node_liveness::outdated(_heartbeat, member.last, now - member.heard_at <= longest))
	{
		return greeting::none;
	}
	member.last = _heartbeat;
	member.heard_at = now;
	m_heard_at = now;
	member.sign_at = now;
	m_backends.set_in_flight_of_node(_heartbeat.node, _heartbeat.in_flight);
	add_address(_heartbeat.ip);
	for (const std::string& ip : _heartbeat.known_ips)
	{
		add_address(ip);
	}
	if (is_unknown)
	{
		on_members_changed();
	}
	take_news(_heartbeat);
	forget_lists(member.last);
	return is_new ? node_liveness::greeting_for(
	                    _heartbeat.known_ips.size(), told_addresses(m_members.size() - 1))
	              : greeting::none;
}

void fleet::take_news(const node_heartbeat& _teller)
{
	const steady_time now = m_clock.steady();
	for (const neighbour_news& news : _teller.neighbours)
	{
		const auto it = m_by_hash.find(news.name_hash);
		if (m_by_hash.end() == it || it->second->last.domain != _teller.domain)
		{
			continue; // It may tell of its own failure domain only.
		}
		fleet_member& member = *it->second;
		const steady_time at = now - news.age;
		member.sign_at = std::max(member.sign_at, at);
		if (at > member.heard_at)
		{
			member.last.state = news.state;
		}
	}
}

template <typename Thing>
std::vector<Thing> fleet::window(std::vector<Thing> _all, std::size_t _told) const
{
	if (_all.empty())
	{
		return _all;
	}
	// One more than is told, so that nodes that hear each k-th heartbeat don't hear of the same things
	// always.
	const std::size_t first =
	    (rendezvous_weight(m_self.node.text, 0) + m_self.sequence * (_told + 1)) % _all.size();
	std::rotate(_all.begin(), _all.begin() + static_cast<std::ptrdiff_t>(first), _all.end());
	_all.resize(_told);
	return _all;
}

std::vector<neighbour_news> fleet::news_of_neighbours() const
{
	std::vector<neighbour_news> news;
	if (!is_large())
	{
		return news;
	}
	const steady_time now = m_clock.steady();
	for (const auto& [name, member] : m_members)
	{
		if (member.last.domain == m_self.domain && alive(member, now))
		{
			news.push_back({short_hash(name.text), member.last.state,
			    std::chrono::duration_cast<std::chrono::milliseconds>(now - member.heard_at)});
		}
	}
	const std::size_t told = node_liveness::told_neighbours(news.size());
	return window(std::move(news), told);
}

void fleet::add_address(const std::string& _ip)
{
	if (!_ip.empty() && _ip != m_self.ip)
	{
		m_addresses.emplace(_ip, 0);
	}
}

bool fleet::is_due(const fleet_member& _member, const node_liveness& _pace, steady_time _now) const
{
	const proximity where = node_liveness::proximity_of(m_self, _member.last);
	// A far node that is silent is asked as often as one of the region, so that it is found again.
	const bool found_anew = proximity::far == where && !alive(_member, _now);
	return _pace.is_turn(
	    m_self.node, _member.last.node, m_self.sequence, found_anew ? proximity::region : where);
}

std::vector<std::string> fleet::targets()
{
	const steady_time now = m_clock.steady();
	const node_liveness pace = liveness();
	std::vector<std::string> targets;
	std::set<std::string> heard;
	for (const auto& [name, member] : m_members)
	{
		heard.insert(member.last.ip);
		if (is_due(member, pace, now))
		{
			targets.push_back(member.last.ip);
		}
	}
	for (auto& [ip, tries] : m_addresses)
	{
		if (0 != heard.count(ip))
		{
			tries = 0;
		}
		else if (node_liveness::is_tried_often(tries++) ||
		         pace.is_turn(m_self.node, node_name(ip), m_self.sequence, proximity::region))
		{
			targets.push_back(ip);
		}
	}
	return targets;
}

std::vector<std::string> fleet::some_addresses() const
{
	std::vector<std::string> addresses;
	const auto any = [](const node_heartbeat&)
	{
		return true;
	};
	for (const node_heartbeat* node : live_with(any))
	{
		addresses.push_back(node->ip);
	}
	const std::size_t told = told_addresses(addresses.size());
	return window(std::move(addresses), told);
}

node_heartbeat fleet::greet(greeting _greeting)
{
	++m_self.sequence;
	m_self.neighbours.clear();
	m_self.known_ips.clear();
	if (greeting::introduction == _greeting)
	{
		m_self.known_ips = some_addresses();
	}
	return m_self;
}

node_heartbeat fleet::next()
{
	++m_self.sequence;
	m_self.neighbours = news_of_neighbours();
	m_self.known_ips.clear();
	if (liveness().tells_addresses(m_self.sequence))
	{
		m_self.known_ips = some_addresses();
	}
	return m_self;
}

void fleet::tick()
{
	const steady_time now = m_clock.steady();
	const std::size_t before = m_members.size();
	for (auto it = m_members.begin(); it != m_members.end();)
	{
		fleet_member& member = it->second;
		const bool now_alive = alive(member, now);
		if (now_alive != member.logged_alive)
		{
			member.logged_alive = now_alive;
			m_log.write(
			    log_line(now_alive ? event::peer_up : event::peer_suspected)
			        .text("peer", it->first.text)
			        .number("incarnation", static_cast<std::int64_t>(member.last.incarnation))
			        .number("silent_ms",
			            std::chrono::duration_cast<std::chrono::milliseconds>(now - member.sign_at).count()));
		}
		if (!now_alive)
		{
			// What it has in flight now is not known; the reports of backend servers are all there is.
			m_backends.set_in_flight_of_node(it->first, {});
		}
		it = node_liveness::forgotten(now - member.sign_at) ? m_members.erase(it) : std::next(it);
	}
	if (m_members.size() != before)
	{
		on_members_changed();
	}
	refresh_lenders();
}

void fleet::refresh_lenders()
{
	const steady_time now = m_clock.steady();
	std::vector<node_name> names;
	std::vector<quota_holder> lenders;
	const auto add = [&names, &lenders](const node_name& _name, const std::string& _ip)
	{
		names.push_back(_name);
		lenders.push_back({_ip, short_hash(_name.text)});
	};
	for (const auto& [name, member] : m_members)
	{
		if (node_state::ready == member.last.state && alive(member, now))
		{
			add(name, member.last.ip);
		}
	}
	if (node_state::ready == m_self.state)
	{
		add(m_self.node, "");
	}
	if (names == m_lender_names)
	{
		return;
	}
	m_ring.build(names);
	m_lender_names = std::move(names);
	m_lenders = std::move(lenders);
	++m_lenders_version;
}
} // namespace larkrack
