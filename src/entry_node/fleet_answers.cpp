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
/// Milliseconds without a heartbeat of any node after which this node counts itself as cut off, long before
/// each other node counts as dead. Longer: this node lends the whole limits of customers while their backup
/// lenders do the same. Shorter: a node that is paused for a moment refuses callers. In the smallest fleet
/// this is the time of four heartbeats.
constexpr std::chrono::milliseconds k_isolation_timeout{400};
/// Maximum age in milliseconds of the totals over the live nodes. Longer: shares, warm-up and quotas follow
/// a crash of a node or a change of demand later. Shorter: more passes over all nodes.
constexpr std::chrono::milliseconds k_max_summary_age{250};

/// Multiplier of name hashes in checksums: odd, so that different sets of nodes collide only by chance. Not a
/// tuning value.
constexpr std::uint64_t k_checksum_factor = 0x9E3779B97F4A7C15ULL;
/// Index of this node in the ring of nodes that warm up backend servers.
constexpr std::size_t k_own_index = 0;

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

responsible_nodes holders_of_table(const lender_table& _table, std::uint64_t _thing)
{
	const ring_owners owners = _table.ring.owners_of(_thing);
	responsible_nodes holders{_table.holders[owners.first], {}};
	if (owners.backup != owners.first)
	{
		holders.backup = _table.holders[owners.backup];
	}
	return holders;
}
} // namespace

bool fleet::should_register() const
{
	return larkrack::should_register(m_self, live_with(
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
	const reader_scope scope = plan_reader_scope(now - m_last_heartbeat_at, now - m_last_outside_at);
	std::vector<const node_heartbeat*> live;
	for (const auto& [name, member] : m_members)
	{
		const bool in_scope = reader_scope::region == scope || (reader_scope::failure_domain == scope &&
		                                                           proximity::domain == member.domain->where);
		if (in_scope && is_live_in_region(member, now))
		{
			live.push_back(&member.last);
		}
	}
	return plan_reader(m_self, live);
}

const node_heartbeat* fleet::peer_with_newer_keys(std::int64_t _store_revision) const
{
	if (m_highest_revision <= _store_revision)
	{
		return nullptr;
	}
	const auto is_newer = [_store_revision](const node_heartbeat& _node)
	{
		return _node.store_revision > _store_revision;
	};
	const node_heartbeat* peer = choose_peer(m_self, _store_revision, live_with(is_newer));
	if (nullptr == peer)
	{
		m_highest_revision = _store_revision; // The nodes with newer revisions count as dead.
	}
	return peer;
}

const node_heartbeat* fleet::peer_with_newer_routes(std::uint64_t _config_version) const
{
	if (m_highest_config <= _config_version)
	{
		return nullptr;
	}
	const auto is_newer = [_config_version](const node_heartbeat& _node)
	{
		return _node.config_version > _config_version;
	};
	const node_heartbeat* peer = choose_config_peer(m_self, _config_version, live_with(is_newer));
	if (nullptr == peer)
	{
		m_highest_config = _config_version;
	}
	return peer;
}

void fleet::fill_copy_view(copy_view& _view) const
{
	const steady_time now = m_clock.steady();
	const std::uint64_t own = rendezvous_weight(m_self.node.text, 0);
	for (const auto& [name, member] : m_members)
	{
		if (!alive(member, now))
		{
			continue;
		}
		const bool near = proximity::domain == member.domain->where;
		if (0 == member.last.store_revision)
		{
			_view.rank += near && rendezvous_weight(name.text, 0) > own ? 1 : 0;
			continue;
		}
		_view.anyone_has_keys = true;
		_view.domain_has_keys = _view.domain_has_keys || near;
		_view.region_has_keys = _view.region_has_keys || proximity::far != member.domain->where;
	}
}

const node_heartbeat* fleet::choose_page_source(copy_step _step, std::uint64_t _draw) const
{
	const auto is_source = [this, _step](const node_heartbeat& _node)
	{
		const bool wanted = copy_step::from_anyone == _step ||
		                    (copy_step::from_region == _step && _node.region == m_self.region) ||
		                    (copy_step::from_domain == _step && _node.domain == m_self.domain);
		return wanted && _node.store_revision > 0;
	};
	const std::vector<const node_heartbeat*> sources = live_with(is_source);
	const std::uint64_t draw = rendezvous_weight(m_self.node.text, _draw);
	return sources.empty() ? nullptr : sources[draw % sources.size()];
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

std::vector<std::string> fleet::change_receivers() const
{
	const auto is_of_region = [this](const node_heartbeat& _node)
	{
		return _node.region == m_self.region;
	};
	std::vector<std::string> addresses;
	for (const node_heartbeat* node : change_recipients(m_self, live_with(is_of_region), is_large()))
	{
		addresses.push_back(node->ip);
	}
	return addresses;
}

std::vector<std::string> fleet::change_relay_receivers(const std::string& _sender_ip) const
{
	const auto is_sender = [&_sender_ip](const node_heartbeat& _node)
	{
		return _node.ip == _sender_ip;
	};
	const std::vector<const node_heartbeat*> senders = live_with(is_sender);
	std::vector<std::string> addresses;
	if (!forwards_changes(m_self, senders.empty() ? nullptr : senders.front(), is_large()))
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
		if (is_live_in_region(member, now))
		{
			addresses.push_back(member.last.ip);
		}
	}
	return addresses;
}

std::vector<std::string> fleet::domain_addresses() const
{
	const steady_time now = m_clock.steady();
	std::vector<std::string> addresses;
	for (const auto& [name, member] : m_members)
	{
		if (proximity::domain == member.domain->where && alive(member, now))
		{
			addresses.push_back(member.last.ip);
		}
	}
	return addresses;
}

std::optional<store_confirmation> fleet::peers_confirmation(
    std::int64_t _revision, std::uint64_t _config_version) const
{
	std::optional<store_confirmation> latest;
	for (const auto& [name, member] : m_members)
	{
		const bool knows_more =
		    member.last.store_revision > _revision || member.last.config_version > _config_version;
		if (knows_more || !member.last.store_answer_age)
		{
			continue;
		}
		const steady_time at = member.heard_at - *member.last.store_answer_age;
		if (!latest || at > latest->at)
		{
			latest = store_confirmation{at, member.last.ip};
		}
	}
	return latest;
}

std::optional<steady_time> fleet::peers_store_response_time() const
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

std::vector<relay_candidate> fleet::relay_candidates() const
{
	const steady_time now = m_clock.steady();
	std::vector<relay_candidate> nodes;
	for (const auto& [name, member] : m_members)
	{
		if (node_state::ready == member.last.state && alive(member, now))
		{
			nodes.push_back({member.last.ip, member.last.region, member.last.domain});
		}
	}
	return nodes;
}

const live_summary& fleet::live() const
{
	const steady_time now = m_clock.steady();
	if (!m_live.outdated && now - m_live.at < std::min(interval(), k_max_summary_age))
	{
		return m_live;
	}
	const bool self_is_ready = node_state::ready == m_self.state;
	std::uint64_t ready_checksum = self_is_ready ? 1 : 0;
	std::uint64_t region_checksum = 0;
	m_live.at = now;
	m_live.outdated = false;
	m_live.ready_nodes = self_is_ready ? 1 : 0;
	m_live.rates.clear();
	for (const auto& [name, member] : m_members)
	{
		if (!alive(member, now))
		{
			continue;
		}
		const bool is_ready = node_state::ready == member.last.state;
		m_live.rates.add(m_self.node, member.last, member.heard_at);
		m_live.ready_nodes += is_ready ? 1 : 0;
		ready_checksum += is_ready ? k_checksum_factor * (member.name_hash + 1ULL) : 0;
		region_checksum +=
		    member.last.region == m_self.region ? k_checksum_factor * (member.name_hash + 1ULL) : 0;
	}
	m_live.ready_version += m_live.ready_checksum == ready_checksum && 0 != m_live.ready_version ? 0 : 1;
	m_live.region_version += m_live.region_checksum == region_checksum && 0 != m_live.region_version ? 0 : 1;
	m_live.ready_checksum = ready_checksum;
	m_live.region_checksum = region_checksum;
	return m_live;
}

const lender_table& fleet::lenders_of(const region_name& _region) const
{
	const live_summary& summary = live();
	lender_table& table = m_lenders[_region];
	if (table.version == summary.ready_version)
	{
		return table;
	}
	table.version = summary.ready_version;
	table.holders.clear();
	std::vector<node_name> names;
	const auto add = [&table, &names, &_region](const node_heartbeat& _node, const std::string& _ip)
	{
		if (node_state::ready == _node.state && (_region.empty() || _region == _node.region))
		{
			names.push_back(_node.node);
			table.holders.push_back({_ip, short_hash(_node.node.text)});
		}
	};
	for (const auto& [name, member] : m_members)
	{
		if (alive(member, summary.at))
		{
			add(member.last, member.last.ip);
		}
	}
	add(m_self, "");
	table.ring.build(names);
	return table;
}

const warmup_table& fleet::warmup_nodes() const
{
	const live_summary& summary = live();
	if (m_warmup_nodes.version == summary.region_version)
	{
		return m_warmup_nodes;
	}
	m_warmup_nodes.version = summary.region_version;
	std::vector<node_name> names{m_self.node};
	for (const auto& [name, member] : m_members)
	{
		if (is_live_in_region(member, summary.at))
		{
			names.push_back(name);
		}
	}
	m_warmup_nodes.nodes = names.size();
	m_warmup_nodes.ring.build(names);
	return m_warmup_nodes;
}

double fleet::warmup_share(const backend_state& _backend) const
{
	const warmup_table& table = warmup_nodes();
	const bool chosen = k_own_index == table.ring.owners_of(ring_position(_backend.id_hash)).first;
	return plan_warmup(table.nodes, m_census.max_in_region(), chosen).part;
}

slot_portion fleet::portion(const service_name& _service, const region_name& _region) const
{
	return plan_slot_portion(rate_of(m_self, _service, _region), live().rates.sent_of(_service, _region));
}

responsible_nodes fleet::responsible_for(std::uint64_t _customer) const
{
	const lender_table& table = lenders_of({});
	return table.ring.empty() ? responsible_nodes{{"", short_hash(m_self.node.text)}, {}}
	                          : holders_of_table(table, _customer);
}

responsible_nodes fleet::responsible_in_region(const region_name& _region, std::uint64_t _thing) const
{
	const lender_table& table = lenders_of(_region);
	return table.ring.empty() ? responsible_nodes{} : holders_of_table(table, _thing);
}

double fleet::budget_sharers(std::size_t _live) const
{
	const bool alone = m_clock.steady() - m_last_heartbeat_at > k_isolation_timeout;
	return alone ? 1.0 : std::max(1.0, static_cast<double>(_live));
}

live_node_counts fleet::live_nodes() const
{
	const live_summary& summary = live();
	return {budget_sharers(summary.ready_nodes), m_census.sharers().nodes, summary.ready_version};
}

live_node_counts fleet::live_nodes_of_region() const
{
	// Counts the nodes directly, so that the table of lenders is built only if a limit is configured.
	const live_summary& summary = live();
	std::size_t ready_nodes = node_state::ready == m_self.state ? 1 : 0;
	for (const auto& [name, member] : m_members)
	{
		ready_nodes +=
		    node_state::ready == member.last.state && is_live_in_region(member, summary.at) ? 1 : 0;
	}
	return {
	    budget_sharers(ready_nodes), static_cast<double>(m_census.max_in_region()), summary.ready_version};
}

rate_by_region fleet::demand_of_others(const service_name& _service) const
{
	return live().rates.demand_of(_service);
}

rate_by_region fleet::single_region_demand_of_others(const service_name& _service) const
{
	return live().rates.single_region_demand_of(_service);
}

std::vector<admission_report> fleet::reports_of_others(const service_name& _service) const
{
	return live().rates.reports_of(_service, m_clock.steady());
}
} // namespace larkrack
