// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/fleet_p.h"

#include "steering/news_spread_p.h"
#include "steering/rendezvous_p.h"
#include "steering/store_start_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Milliseconds without a heartbeat of any node after which this one counts as cut off, long before each
/// other one counts as dead. Longer: it lends the whole limit of customers beside their stand-ins. Shorter: a
/// node that stands still for a moment refuses callers. In the smallest fleet it is four heartbeats.
constexpr std::chrono::milliseconds k_alone{400};

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
		return _node.node == m_self.node || this->is_live(_node.node);
	};
	return plan_lookup(_region, _homes, ready, is_live, m_self.callers);
}

bool fleet::is_live(const node_name& _node) const
{
	const auto it = m_members.find(_node);
	return m_members.end() != it && alive(it->second, m_clock.steady());
}

reader_decision fleet::reader() const
{
	const steady_time now = m_clock.steady();
	std::vector<const node_heartbeat*> live;
	for (const auto& [name, member] : m_members)
	{
		if (is_near(member, now))
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
	const steady_time now = m_clock.steady();
	std::vector<const node_heartbeat*> live;
	for (const auto& [name, member] : m_members)
	{
		if (_condition(member.last) && alive(member, now))
		{
			live.push_back(&member.last);
		}
	}
	return live;
}

std::vector<std::string> fleet::first_told_addresses() const
{
	const auto is_of_region = [this](const node_heartbeat& _node)
	{
		return _node.region == m_self.region;
	};
	std::vector<std::string> addresses;
	for (const node_heartbeat* node : first_told(m_self, live_with(is_of_region), is_large()))
	{
		addresses.push_back(node->ip);
	}
	return addresses;
}

std::vector<std::string> fleet::told_on_addresses(const std::string& _sender_ip) const
{
	const auto is_sender = [&_sender_ip](const node_heartbeat& _node)
	{
		return _node.ip == _sender_ip;
	};
	const std::vector<const node_heartbeat*> senders = live_with(is_sender);
	std::vector<std::string> addresses;
	if (!tells_on(m_self, senders.empty() ? nullptr : senders.front(), is_large()))
	{
		return addresses;
	}
	const auto is_neighbour = [this](const node_heartbeat& _node)
	{
		return _node.domain == m_self.domain;
	};
	for (const node_heartbeat* node : live_with(is_neighbour))
	{
		addresses.push_back(node->ip);
	}
	return addresses;
}

std::vector<std::string> fleet::region_addresses() const
{
	const steady_time now = m_clock.steady();
	std::vector<std::string> addresses;
	for (const auto& [name, member] : m_members)
	{
		if (is_near(member, now))
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
	const steady_time now = m_clock.steady();
	std::vector<const node_name*> nodes{&m_self.node};
	for (const auto& [name, member] : m_members)
	{
		if (is_near(member, now))
		{
			nodes.push_back(&name);
		}
	}
	return plan_warmup(m_self.node, nodes, m_census.most_in_region(), _backend.id_hash).part;
}

slot_portion fleet::portion(const service_name& _service, const region_name& _region) const
{
	const steady_time now = m_clock.steady();
	std::vector<node_rate> others;
	for (const auto& [name, member] : m_members)
	{
		if (alive(member, now))
		{
			others.push_back({&name, rate_of(member.last, _service, _region)});
		}
	}
	return plan_slot_portion(m_self.node, rate_of(m_self, _service, _region), others);
}

quota_holders fleet::holders_of(std::uint64_t _customer) const
{
	if (m_ring.empty())
	{
		return {{"", short_hash(m_self.node.text)}, {}};
	}
	const ring_owners owners = m_ring.owners_of(_customer);
	quota_holders holders{m_lenders[owners.first], {}};
	if (owners.stand_in != owners.first)
	{
		holders.stand_in = m_lenders[owners.stand_in];
	}
	return holders;
}

nodes_in_sight fleet::in_sight() const
{
	const bool alone = m_clock.steady() - m_heard_at > k_alone;
	const double live = alone ? 1.0 : std::max(1.0, static_cast<double>(m_lenders.size()));
	return {live, m_census.sharers().nodes, m_lenders_version};
}

rate_by_region fleet::demand_of_others(const service_name& _service) const
{
	const steady_time now = m_clock.steady();
	rate_by_region demand;
	for (const auto& [name, member] : m_members)
	{
		const auto it = member.last.requests_per_s.find(_service);
		if (member.last.requests_per_s.end() != it && alive(member, now))
		{
			demand[member.last.region] += it->second;
		}
	}
	return demand;
}

rate_by_region fleet::bound_of_others(const service_name& _service) const
{
	const steady_time now = m_clock.steady();
	const service_name told_as = bound_part_of(_service);
	rate_by_region bound;
	for (const auto& [name, member] : m_members)
	{
		const auto it = member.last.sent_per_s.find(told_as);
		if (member.last.sent_per_s.end() == it || !alive(member, now))
		{
			continue;
		}
		for (const auto& [region, per_s] : it->second)
		{
			bound[region] += per_s;
		}
	}
	return bound;
}
} // namespace larkrack
