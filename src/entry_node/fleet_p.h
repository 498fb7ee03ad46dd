// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// The other nodes: who is there, who takes requests, what they carry.
///
/// Owns the table of nodes and the addresses at which nodes may be (fleet.cpp); what others ask of it is
/// answered in fleet_answers.cpp. What follows from the table is decided in src/steering: node_liveness,
/// lookup_answer, store_readers, store_start, news_spread, shared_budgets, slot_portion. Relies on entry_node
/// to hand in heartbeats and to send those of this node.
#pragma once

#include "entry_node/forwarder_p.h"
#include "entry_node/heartbeat_p.h"
#include "steering/lookup_answer_p.h"
#include "steering/node_liveness_p.h"
#include "steering/quota_ring_p.h"
#include "steering/shared_budgets_p.h"
#include "steering/store_readers_p.h"

#include <functional>
#include <unordered_map>

namespace larkrack
{
/// Keeps the table of nodes. No input and output of its own.
class fleet : public fleet_view_base
{
public:
	/// @param[in] _self This node; its state and figures are set before each heartbeat.
	/// @param[in] _backends Told what other nodes have in flight.
	/// @param[in] _log Told of nodes that come and go.
	fleet(const clock_base& _clock, node_heartbeat _self, backend_registry& _backends, entry_log& _log);

	/// Takes a heartbeat of another node.
	/// @returns What it is to be sent at once.
	greeting hear(const node_heartbeat& _heartbeat);
	/// Names an address at which a node may be.
	void add_address(const std::string& _ip);
	/// @returns Addresses that the next heartbeat goes to.
	std::vector<std::string> targets();
	/// @returns This node's next heartbeat.
	node_heartbeat next();
	/// @returns This node's next heartbeat for a node that is new here; none is for greeting::none.
	node_heartbeat greet(greeting _greeting);
	/// @returns Whether this node keeps itself registered in the store.
	bool registers() const;
	/// @returns Nodes that callers of a region should use.
	lookup_decision look_up(const region_name& _region, const std::vector<region_name>& _homes) const;
	/// @returns Whether this node is one of those of its region that read the store.
	reader_decision reader() const;
	/// @returns When the store last answered any other node of this region; nothing when none tells of it.
	std::optional<steady_time> store_answered_at() const;
	/// @returns Addresses of the other nodes of this region that answer.
	std::vector<std::string> region_addresses() const;
	/// @returns Whether nodes of other failure domains are heard more rarely than those of the own one.
	bool is_large() const
	{
		return liveness().tells_neighbours();
	}
	/// @returns Addresses of the nodes to which changes go that this node read from the store.
	std::vector<std::string> first_told_addresses() const;
	/// @returns Addresses of the nodes to which changes of a node at an address are told on; mostly none.
	std::vector<std::string> told_on_addresses(const std::string& _sender_ip) const;
	/// @returns A live node that knows a newer revision of the store's keys than the given one, or null.
	const node_heartbeat* newer(std::int64_t _store_revision) const;
	/// @returns A live node that has a newer version of the configuration than the given one, or null.
	const node_heartbeat* newer_routes(std::uint64_t _config_version) const;
	/// Forgets nodes that have been silent for long.
	void tick();
	/// @returns Time between two heartbeats to the nodes of the own failure domain.
	std::chrono::milliseconds interval() const
	{
		return liveness().interval();
	}

	sharing sharers() const override
	{
		return m_census.sharers();
	}
	double warmup_part(const backend_state& _backend) const override;
	rate_by_region demand_of_others(const service_name& _service) const override;
	rate_by_region bound_of_others(const service_name& _service) const override;
	slot_portion portion(const service_name& _service, const region_name& _region) const override;
	quota_holders holders_of(std::uint64_t _customer) const override;
	nodes_in_sight in_sight() const override;

	/// @returns Whether another node counts as live.
	bool is_live(const node_name& _node) const;

	node_heartbeat& self()
	{
		return m_self;
	}
	const std::map<node_name, fleet_member>& members() const
	{
		return m_members;
	}

private:
	/// @returns Some of the things that a heartbeat may tell, others with each heartbeat and sender.
	template <typename Thing>
	std::vector<Thing> window(std::vector<Thing> _all, std::size_t _told) const;
	/// @returns Addresses of some live nodes, others each time.
	std::vector<std::string> some_addresses() const;
	node_liveness liveness() const
	{
		return node_liveness(nodes_of(m_self.domain), m_members.size());
	}
	/// @returns Other nodes of a failure domain, as far as they are known.
	std::size_t nodes_of(const domain_name& _domain) const;
	static bool alive(const fleet_member& _member, steady_time _now)
	{
		return _now - _member.sign_at <= _member.longest_silence;
	}
	/// @returns The other live nodes that meet a condition, in the order of their names.
	std::vector<const node_heartbeat*> live_with(
	    const std::function<bool(const node_heartbeat&)>& _condition) const;
	/// Counts the nodes anew when one has come or is forgotten: intervals and parts depend on their number.
	void on_members_changed();
	/// Builds the ring of lenders anew if the nodes that take requests changed.
	void refresh_lenders();
	void take_news(const node_heartbeat& _teller);
	std::vector<neighbour_news> news_of_neighbours() const;
	/// @returns Whether the next heartbeat goes to the node.
	bool is_due(const fleet_member& _member, const node_liveness& _pace, steady_time _now) const;
	/// @returns Whether the node is of this region and answers.
	bool is_near(const fleet_member& _member, steady_time _now) const
	{
		return _member.last.region == m_self.region && alive(_member, _now);
	}

	const clock_base& m_clock;
	node_heartbeat m_self;
	backend_registry& m_backends;
	entry_log& m_log;
	std::map<node_name, fleet_member> m_members;
	std::unordered_map<std::uint32_t, fleet_member*> m_by_hash; ///< By short_hash of the name.
	std::map<domain_name, std::size_t> m_domain_sizes;          ///< Other nodes of each failure domain.
	/// Addresses at which nodes may be, and heartbeats in a row that went there unanswered so far.
	std::map<std::string, int> m_addresses;
	node_census m_census;
	std::vector<node_name> m_lender_names; ///< Live nodes that take requests, this one among them.
	std::vector<quota_holder> m_lenders;   ///< The same.
	quota_ring m_ring;                     ///< Of them.
	std::uint64_t m_lenders_version = 0;
	steady_time m_heard_at{}; ///< When the last heartbeat of any node came.
};
} // namespace larkrack
