// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/fleet_p.h"

#include "steering/rendezvous_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Maximum number of addresses in one heartbeat. Higher: larger datagrams. Lower: a new node discovers the
/// others later; they discover it by its first heartbeat.
constexpr std::size_t k_max_listed_addresses = 64;

/// Number of addresses of other failure domains among them when digests describe these. Higher: each node of
/// a large failure domain sends heartbeats to more of them, which digests are meant to avoid. Lower: possibly
/// none of them is live.
constexpr std::size_t k_listed_foreign_addresses = 8;

std::size_t listed_addresses(std::size_t _known)
{
	return std::min(_known, k_max_listed_addresses);
}
} // namespace

fleet::fleet(const clock_base& _clock, node_heartbeat _self, backend_registry& _backends, entry_log& _log)
    : m_clock(_clock), m_self(std::move(_self)), m_backends(_backends), m_log(_log)
{
}

std::size_t fleet::nodes_of(const domain_name& _domain) const
{
	const auto it = m_domains.find(_domain);
	return m_domains.end() == it ? 0 : it->second.nodes;
}

void fleet::add_to_indices(fleet_member& _member)
{
	failure_domain_view& domain = m_domains[_member.last.domain];
	domain.where = node_liveness::proximity_of(m_self, _member.last);
	++domain.nodes;
	_member.domain = &domain;
	_member.name_hash = short_hash(_member.last.node.text);
	m_by_hash[_member.name_hash] = &_member;
	on_node_count_changed();
}

void fleet::remove_from_indices(const fleet_member& _member)
{
	const auto domain = m_domains.find(_member.last.domain);
	if (m_domains.end() != domain && 0 == --domain->second.nodes)
	{
		m_domains.erase(domain);
	}
	const auto hashed = m_by_hash.find(_member.name_hash);
	if (m_by_hash.end() != hashed && hashed->second == &_member)
	{
		m_by_hash.erase(hashed);
	}
}

void fleet::on_node_count_changed()
{
	std::size_t in_region = 1;
	const node_liveness pace = liveness();
	for (auto& [name, domain] : m_domains)
	{
		in_region += proximity::far == domain.where ? 0 : domain.nodes;
		domain.liveness_timeout = pace.liveness_timeout(domain.where, domain.nodes - 1);
		m_census.on_domain_counted(name, domain.nodes + (name == m_self.domain ? 1 : 0));
	}
	m_census.on_domain_counted(m_self.domain, 1);
	m_census.on_nodes_counted(m_members.size() + 1, in_region);
	m_live.outdated = true;
}

void fleet::replace_address(const std::string& _old_ip, const std::string& _ip)
{
	if (_old_ip == _ip)
	{
		return;
	}
	const auto before = m_member_ips.find(_old_ip);
	if (m_member_ips.end() != before && 0 == --before->second)
	{
		m_member_ips.erase(before);
		add_address(_old_ip);
	}
	if (!_ip.empty())
	{
		++m_member_ips[_ip];
		m_addresses.erase(_ip);
	}
}

void fleet::raise_known_revisions(const node_heartbeat& _live) const
{
	m_highest_revision = std::max(m_highest_revision, _live.store_revision);
	m_highest_config = std::max(m_highest_config, _live.config_version);
	m_newest_config_told = std::max(m_newest_config_told, _live.config_version);
}

contact_reply fleet::on_heartbeat(const node_heartbeat& _heartbeat)
{
	if (_heartbeat.node == m_self.node)
	{
		return contact_reply::none;
	}
	const steady_time now = m_clock.steady();
	fleet_member& member = m_members[_heartbeat.node];
	const bool is_new = member.last.incarnation != _heartbeat.incarnation;
	const bool is_unknown = nullptr == member.domain;
	// Uses the time since the node's own heartbeats, since its neighbours may already report the incarnation
	// that this heartbeat belongs to.
	const auto longest = liveness().direct_liveness_timeout(node_liveness::proximity_of(m_self, member.last));
	if (node_liveness::outdated(_heartbeat, member.last, now - member.heard_at <= longest))
	{
		return contact_reply::none;
	}
	const proximity where = node_liveness::proximity_of(m_self, _heartbeat);
	const bool moves = !is_unknown && member.last.domain != _heartbeat.domain;
	if (moves)
	{
		remove_from_indices(member);
	}
	m_live.outdated = m_live.outdated || is_new || member.last.state != _heartbeat.state;
	replace_address(member.last.ip, _heartbeat.ip);
	member.last = _heartbeat;
	member.heard_at = now;
	m_last_heartbeat_at = now;
	m_last_outside_at = proximity::domain == where ? m_last_outside_at : now;
	member.last_seen_at = now;
	if (proximity::domain == where || !liveness().sends_digests())
	{
		// Otherwise heartbeats are rarer than requests are long, and the counts would include requests that
		// ended long ago.
		m_backends.set_in_flight_of_node(_heartbeat.node, _heartbeat.in_flight);
	}
	for (const std::string& ip : _heartbeat.known_ips)
	{
		add_address(ip);
	}
	if (is_unknown || moves)
	{
		add_to_indices(member);
	}
	raise_known_revisions(member.last);
	apply_neighbour_reports(_heartbeat);
	member.last.clear_lists();
	if (!is_new)
	{
		return contact_reply::none;
	}
	const contact_reply due =
	    node_liveness::reply_to_new_node(_heartbeat.known_ips.size(), listed_addresses(m_members.size() - 1));
	// Failure domains that send digests learn about each other's nodes from these.
	const bool by_digest = proximity::domain != where && liveness().sends_digests();
	return by_digest && contact_reply::heartbeat == due ? contact_reply::none : due;
}

void fleet::apply_neighbour_reports(const node_heartbeat& _sender)
{
	const steady_time now = m_clock.steady();
	for (const neighbour_status& report : _sender.neighbours)
	{
		const auto it = m_by_hash.find(report.name_hash);
		if (m_by_hash.end() == it || it->second->last.domain != _sender.domain)
		{
			continue; // A node may report nodes of its own failure domain only.
		}
		fleet_member& member = *it->second;
		const steady_time at = now - report.age;
		if (at > member.last_seen_at)
		{
			member.last_seen_at = at;
			raise_known_revisions(member.last); // The member may have counted as dead.
		}
		if (at > member.heard_at)
		{
			m_live.outdated = m_live.outdated || member.last.state != report.state;
			member.last.state = report.state;
		}
	}
}

std::size_t fleet::first_listed(std::size_t _all, std::size_t _listed) const
{
	// Advances by one more than the number of listed items: nodes that get every k-th heartbeat would
	// otherwise always get the same items.
	return (rendezvous_weight(m_self.node.text, 0) + m_self.sequence * (_listed + 1)) % _all;
}

std::vector<neighbour_status> fleet::neighbour_reports() const
{
	std::vector<neighbour_status> reports;
	if (!liveness().includes_neighbours())
	{
		return reports;
	}
	const steady_time now = m_clock.steady();
	for (const auto& [name, member] : m_members)
	{
		if (member.last.domain == m_self.domain && alive(member, now))
		{
			reports.push_back({short_hash(name.text), member.last.state,
			    std::chrono::duration_cast<std::chrono::milliseconds>(now - member.heard_at)});
		}
	}
	if (reports.empty())
	{
		return reports;
	}
	const std::size_t listed = node_liveness::neighbours_per_heartbeat(reports.size());
	const auto begin = reports.begin() + static_cast<std::ptrdiff_t>(first_listed(reports.size(), listed));
	std::rotate(reports.begin(), begin, reports.end());
	reports.resize(listed);
	return reports;
}

void fleet::add_address(const std::string& _ip)
{
	if (!_ip.empty() && _ip != m_self.ip && 0 == m_member_ips.count(_ip))
	{
		m_addresses.emplace(_ip, 0);
	}
}

bool fleet::is_heartbeat_due(const fleet_member& _member, const node_liveness& _pace, steady_time _now) const
{
	const proximity where = node_liveness::proximity_of(m_self, _member.last);
	// A silent node of another region gets heartbeats as often as a node of this region, to detect its
	// return.
	const bool is_silent_far = proximity::far == where && !alive(_member, _now);
	return _pace.is_heartbeat_due(
	    m_self.node, _member.last.node, m_self.sequence, is_silent_far ? proximity::region : where);
}

std::vector<std::string> fleet::heartbeat_targets()
{
	const steady_time now = m_clock.steady();
	const node_liveness pace = liveness();
	std::vector<std::string> targets;
	for (const auto& [name, member] : m_members)
	{
		if (is_heartbeat_due(member, pace, now))
		{
			targets.push_back(member.last.ip);
		}
	}
	for (auto& [ip, tries] : m_addresses)
	{
		if (node_liveness::is_tried_each_heartbeat(tries++) ||
		    pace.is_heartbeat_due(m_self.node, node_name(ip), m_self.sequence, proximity::region))
		{
			targets.push_back(ip);
		}
	}
	return targets;
}

std::vector<std::string> fleet::sample_addresses(const domain_name& _for) const
{
	const auto any = [](const node_heartbeat&)
	{
		return true;
	};
	std::vector<const node_heartbeat*> live = live_with(any);
	std::size_t listed = listed_addresses(live.size());
	const auto is_foreign = [&_for](const node_heartbeat* _node)
	{
		return _node->domain != _for;
	};
	const auto foreign = std::stable_partition(live.begin(), live.end(),
	    [&is_foreign](const node_heartbeat* _node)
	    {
		    return !is_foreign(_node);
	    });
	std::vector<std::string> addresses;
	if (uses_digests(static_cast<std::size_t>(foreign - live.begin())))
	{
		// Digests describe the nodes of other failure domains; a few addresses are enough to send digests to.
		for (std::size_t i = 0;
		     i < k_listed_foreign_addresses && foreign + static_cast<std::ptrdiff_t>(i) != live.end(); ++i)
		{
			addresses.push_back((*(foreign + static_cast<std::ptrdiff_t>(i)))->ip);
		}
		live.erase(foreign, live.end());
		listed = listed_addresses(live.size());
	}
	const std::size_t begin = live.empty() ? 0 : first_listed(live.size(), listed);
	addresses.reserve(addresses.size() + listed);
	for (std::size_t i = 0; i < listed; ++i)
	{
		addresses.push_back(live[(begin + i) % live.size()]->ip);
	}
	return addresses;
}

node_heartbeat fleet::unscheduled_heartbeat(contact_reply _greeting, const domain_name& _for)
{
	++m_self.sequence;
	m_self.neighbours.clear();
	m_self.known_ips.clear();
	if (contact_reply::introduction == _greeting)
	{
		m_self.known_ips = sample_addresses(_for);
	}
	return m_self;
}

node_heartbeat fleet::next_heartbeat()
{
	++m_self.sequence;
	m_self.neighbours = neighbour_reports();
	m_self.known_ips.clear();
	if (liveness().includes_addresses(m_self.sequence))
	{
		m_self.known_ips = sample_addresses(m_self.domain);
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
			m_log.write(log_line(now_alive ? event::peer_up : event::peer_suspected)
			                .text("peer", it->first.text)
			                .number("incarnation", static_cast<std::int64_t>(member.last.incarnation))
			                .number("silent_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
			                                         now - member.last_seen_at)
			                                         .count()));
		}
		if (!now_alive)
		{
			// The requests that a dead node has in flight are unknown; only the load reports of the backend
			// servers remain.
			m_backends.set_in_flight_of_node(it->first, {});
		}
		if (!node_liveness::forgotten(now - member.last_seen_at))
		{
			++it;
			continue;
		}
		remove_from_indices(member);
		replace_address(member.last.ip, "");
		it = m_members.erase(it);
	}
	if (m_members.size() != before)
	{
		on_node_count_changed();
	}
}
} // namespace larkrack
