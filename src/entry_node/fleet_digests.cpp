// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/digest_codec_p.h"
#include "entry_node/fleet_p.h"

#include "steering/rendezvous_p.h"

#include <algorithm>

namespace larkrack
{
void fleet::on_digest(const domain_digest& _digest)
{
	if (_digest.domain == m_self.domain)
	{
		return; // Nodes of this failure domain send heartbeats to each other.
	}
	const steady_time now = m_clock.steady();
	m_last_outside_at = now;
	for (const digest_row& row : _digest.rows)
	{
		fleet_member& member = m_members[row.last.node];
		const bool is_unknown = nullptr == member.domain;
		const steady_time at = now - row.age;
		if (!is_unknown && node_liveness::outdated(row.last, member.last, alive(member, now)))
		{
			continue;
		}
		const bool moves = !is_unknown && member.last.domain != row.last.domain;
		if (moves)
		{
			remove_from_indices(member);
		}
		m_live.outdated = m_live.outdated || member.last.state != row.last.state;
		replace_address(member.last.ip, row.last.ip);
		member.last = row.last;
		member.last.clear_lists();
		member.heard_at = std::max(member.heard_at, at);
		member.last_seen_at = std::max(member.last_seen_at, at);
		m_last_heartbeat_at = std::max(m_last_heartbeat_at, at);
		if (is_unknown || moves)
		{
			add_to_indices(member);
		}
		raise_known_revisions(member.last);
	}
}

std::vector<const node_name*> fleet::live_in(const domain_name& _domain) const
{
	const steady_time now = m_clock.steady();
	std::vector<const node_name*> live;
	for (const auto& [name, member] : m_members)
	{
		if (member.last.domain == _domain && alive(member, now))
		{
			live.push_back(&name);
		}
	}
	return live;
}

std::vector<std::string> fleet::addresses_of(const std::vector<const node_name*>& _nodes) const
{
	std::vector<std::string> addresses;
	for (const node_name* node : _nodes)
	{
		const auto member = m_members.find(*node);
		if (m_members.end() != member)
		{
			addresses.push_back(member->second.last.ip);
		}
	}
	return addresses;
}

std::vector<std::string> fleet::relay_addresses(
    const domain_digest& _digest, const std::string& _sender_ip) const
{
	if (_digest.domain == m_self.domain)
	{
		return {};
	}
	std::vector<const node_name*> domain = live_in(m_self.domain);
	const std::vector<std::string> neighbours = addresses_of(domain);
	domain.push_back(&m_self.node);
	const bool is_relayed = neighbours.end() != std::find(neighbours.begin(), neighbours.end(), _sender_ip);
	const relay_plan plan(std::move(domain), _digest.number);
	return addresses_of(is_relayed ? plan.next(m_self.node) : plan.first(m_self.node));
}

std::vector<domain_digest> fleet::digest()
{
	const steady_time now = m_clock.steady();
	domain_digest part;
	part.domain = m_self.domain;
	part.region = m_self.region;
	part.number = ++m_digest_number;
	std::vector<domain_digest> parts;
	const auto add = [&part, &parts](const node_heartbeat& _node, std::chrono::milliseconds _age)
	{
		part.rows.push_back({_node, _age});
		part.rows.back().last.clear_lists();
		if (part.rows.size() >= k_digest_rows)
		{
			parts.push_back(part);
			part.rows.clear();
		}
	};
	++m_self.sequence;
	add(m_self, std::chrono::milliseconds(0));
	for (const node_name* name : live_in(m_self.domain))
	{
		const fleet_member& member = m_members.at(*name);
		add(member.last, std::chrono::duration_cast<std::chrono::milliseconds>(now - member.last_seen_at));
	}
	if (!part.rows.empty())
	{
		parts.push_back(std::move(part));
	}
	return parts;
}

std::vector<std::string> fleet::digest_targets()
{
	std::vector<std::string> targets;
	if (!liveness().sends_digests() || !is_delegate(m_self.node, live_in(m_self.domain)))
	{
		return targets;
	}
	const steady_time now = m_clock.steady();
	std::map<domain_name, const fleet_member*> best;
	for (const auto& [name, member] : m_members)
	{
		if (proximity::domain == member.domain->where || now < m_next_digest_at[member.last.domain])
		{
			continue;
		}
		const auto order = [this, now](const fleet_member& _member)
		{
			return std::make_pair(
			    alive(_member, now), rendezvous_weight(_member.last.node.text, m_digest_number));
		};
		const fleet_member*& chosen = best[member.last.domain];
		chosen = nullptr == chosen || order(member) > order(*chosen) ? &member : chosen;
	}
	for (const auto& [domain, member] : best)
	{
		m_next_digest_at[domain] = now + delegate_interval(member->domain->where);
		targets.push_back(member->last.ip);
	}
	return targets;
}
} // namespace larkrack
