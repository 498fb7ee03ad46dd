// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// The other nodes: who is there, who takes requests, what they carry.
///
/// Owns the table of nodes and the addresses at which nodes may be (fleet.cpp, fleet_digests.cpp); what
/// others ask of it is answered in fleet_answers.cpp. What follows from the table is decided in src/steering:
/// node_liveness, lookup_answer, store_readers, store_start, news_spread, shared_budgets, fleet_rates,
/// slot_portion. Relies on entry_node to hand in heartbeats and to send those of this node.
///
/// Cost, with n nodes: a datagram takes steps for what it tells, none for each node; a node that comes or
/// goes takes a step for each failure domain; tick() and next() go through all nodes. What goes through all
/// nodes for a request goes through a list that is built anew only when a node comes, dies or changes its
/// state.
#pragma once

#include "entry_node/forwarder_p.h"
#include "entry_node/heartbeat_p.h"
#include "steering/fleet_rates_p.h"
#include "steering/lookup_answer_p.h"
#include "steering/node_liveness_p.h"
#include "steering/node_ring_p.h"
#include "steering/shared_budgets_p.h"
#include "steering/state_copy_p.h"
#include "steering/store_readers_p.h"

#include <functional>
#include <unordered_map>

namespace larkrack
{
/// Nodes that lend tokens, as of one change of them.
struct lender_table
{
	std::uint64_t version = 0;
	std::vector<quota_holder> holders;
	node_ring ring; ///< Of them.
};

/// Nodes of this region that warm up cold backend servers, as of one change of them.
struct warmer_table
{
	std::uint64_t version = 0;
	std::size_t nodes = 0; ///< Live, this one among them.
	node_ring ring;        ///< Of them; this one is the first.
};

/// What the live nodes come to, as of one pass through all nodes.
struct live_summary
{
	steady_time at{};
	bool outdated = true;   ///< A node came or changed its state since.
	fleet_rates rates;      ///< Of the other nodes.
	std::size_t takers = 0; ///< Nodes that take requests, this one among them.
	/// Sums over those that take requests, and over those of this region: they change when one comes or goes.
	std::uint64_t takers_sum = 0;
	std::uint64_t near_sum = 0;
	std::uint64_t takers_version = 0; ///< Grows when the first changes.
	std::uint64_t near_version = 0;   ///< Grows when the second changes.
};

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
	/// Takes what another failure domain tells of its nodes.
	void hear_digest(const domain_digest& _digest);
	/// @returns Addresses to which a digest that came from an address is passed on; mostly none.
	std::vector<std::string> relay_addresses(
	    const domain_digest& _digest, const std::string& _sender_ip) const;
	/// @returns Parts of a new digest of this node's failure domain; none when this node has to send none.
	std::vector<domain_digest> digest();
	/// @returns An address in each other failure domain that is due to get a digest now.
	std::vector<std::string> digest_targets();
	/// Names an address at which a node may be.
	void add_address(const std::string& _ip);
	/// @returns Addresses that the next heartbeat goes to.
	std::vector<std::string> targets();
	/// @returns This node's next heartbeat.
	node_heartbeat next();
	/// @returns This node's next heartbeat for a node that is new here; none is for greeting::none.
	/// @param[in] _for Failure domain of that node; empty: of several nodes.
	node_heartbeat greet(greeting _greeting, const domain_name& _for = {});
	/// @returns Whether this node keeps itself registered in the store.
	bool registers() const;
	/// @returns Nodes that callers of a region should use.
	lookup_decision look_up(const region_name& _region, const std::vector<region_name>& _homes) const;
	/// @returns Whether this node is one of those of its region that read the store.
	reader_decision reader() const;
	/// @returns When the store last answered any other node of this region; nothing when none tells of it.
	std::optional<steady_time> store_answered_at() const;
	/// @returns Addresses of the other nodes of this failure domain that answer.
	std::vector<std::string> domain_addresses() const;
	/// @returns Whether nodes of other failure domains are heard more rarely than those of the own one.
	bool is_large() const
	{
		return liveness().is_large();
	}
	/// @returns Addresses of the nodes to which changes go that this node read from the store.
	std::vector<std::string> first_told_addresses() const;
	/// @returns Addresses of the nodes to which changes of a node at an address are told on; mostly none.
	std::vector<std::string> told_on_addresses(const std::string& _sender_ip) const;
	/// @returns A live node that knows a newer revision of the store's keys than the given one, or null.
	/// Goes through all nodes only if one of them may.
	const node_heartbeat* newer(std::int64_t _store_revision) const;
	/// @returns A live node that has a newer version of the configuration than the given one, or null.
	/// Goes through all nodes only if one of them may.
	const node_heartbeat* newer_routes(std::uint64_t _config_version) const;
	/// @param[out] _view Who has the store's keys, and how many nodes that lack them come before this one.
	void note_copies(copy_view& _view) const;
	/// @returns A live node that has the store's keys, another one each time; null when there is none.
	/// @param[in] _step Where it is to be.
	const node_heartbeat* copy_giver(copy_step _step, std::uint64_t _draw) const;
	/// Notes which nodes have died or are back, and forgets those that have been silent for long.
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
	quota_holders holders_in(const region_name& _region, std::uint64_t _thing) const override;
	nodes_in_sight in_sight_of_region() const override;
	std::vector<std::string> region_addresses() const override;

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
	/// @returns Place at which those of some things begin that this heartbeat tells.
	std::size_t window_begin(std::size_t _all, std::size_t _told) const;
	/// @returns Addresses of some live nodes, others each time; in a large failure domain mostly of its own.
	std::vector<std::string> some_addresses(const domain_name& _for) const;
	/// @returns Names of the live nodes of a failure domain.
	std::vector<const node_name*> live_in(const domain_name& _domain) const;
	std::vector<std::string> addresses_of(const std::vector<const node_name*>& _nodes) const;
	node_liveness liveness() const
	{
		return node_liveness(nodes_of(m_self.domain), m_members.size());
	}
	/// @returns Other nodes of a failure domain, as far as they are known.
	std::size_t nodes_of(const domain_name& _domain) const;
	static bool alive(const fleet_member& _member, steady_time _now)
	{
		return _now - _member.sign_at <= _member.domain->longest_silence;
	}
	/// @returns The other live nodes that meet a condition, in the order of their names.
	std::vector<const node_heartbeat*> live_with(
	    const std::function<bool(const node_heartbeat&)>& _condition) const;
	/// Puts a node that came, or came to another failure domain, into the counts and indices.
	void enter(fleet_member& _member);
	/// Takes it out of them.
	void leave(const fleet_member& _member);
	/// Takes the address of a node that was heard, in place of the one that it had.
	void set_address(const std::string& _before, const std::string& _ip);
	/// Intervals and parts depend on the number of nodes.
	void on_counts_changed();
	/// Notes what a live node knows of the store's keys.
	void note_knowledge(const node_heartbeat& _live) const;
	void take_news(const node_heartbeat& _teller);
	std::vector<neighbour_news> news_of_neighbours() const;
	/// @returns Whether the next heartbeat goes to the node.
	bool is_due(const fleet_member& _member, const node_liveness& _pace, steady_time _now) const;
	/// @returns Whether the node is of this region and answers.
	bool is_near(const fleet_member& _member, steady_time _now) const
	{
		return _member.last.region == m_self.region && alive(_member, _now);
	}
	/// @returns Summary that is as old as one tick at most.
	const live_summary& live() const;
	/// @param[in] _region Empty: nodes of all regions lend.
	const lender_table& lenders_of(const region_name& _region) const;
	/// @returns How many nodes of some that were counted as live may be trusted to be in sight.
	double in_sight_of(std::size_t _live) const;
	const warmer_table& warmers() const;

	const clock_base& m_clock;
	node_heartbeat m_self;
	backend_registry& m_backends;
	entry_log& m_log;
	std::map<node_name, fleet_member> m_members;
	std::unordered_map<std::uint32_t, fleet_member*> m_by_hash; ///< By short_hash of the name.
	std::uint64_t m_digest_number = 0;
	std::map<domain_name, steady_time> m_digest_due; ///< When each other failure domain gets the next digest.
	std::map<domain_name, failure_domain_view> m_domains; ///< With other nodes in them.
	std::unordered_map<std::string, int>
	    m_member_ips; ///< Nodes at each address; more than one after a reuse.
	/// Addresses at which nodes may be that were not heard, and heartbeats in a row that went there.
	std::map<std::string, int> m_addresses;
	node_census m_census;
	mutable live_summary m_live;
	mutable std::map<region_name, lender_table> m_lenders; ///< Of each region, and of all under no name.
	mutable warmer_table m_warmers;
	/// No live node knows more of the store's keys than this.
	mutable std::int64_t m_highest_revision = 0;
	/// No live node has a newer configuration than this.
	mutable std::uint64_t m_highest_config = 0;
	steady_time m_heard_at{}; ///< When the last heartbeat of any node came.
};
} // namespace larkrack
