// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Membership table of the fleet: which other nodes exist, which are live and ready, and what load they
/// report.
///
/// Owns the table of nodes and the candidate addresses of nodes whose heartbeat was not received yet
/// (fleet.cpp, fleet_digests.cpp); queries by other components are in fleet_answers.cpp. The rules that work
/// on the table are in src/steering: node_liveness, lookup_answer, store_readers, store_start, news_spread,
/// shared_budgets, fleet_rates, slot_portion. Relies on entry_node to pass in received heartbeats and to send
/// the heartbeats of this node.
///
/// Cost: processing a datagram is linear in its contents and independent of the number of nodes; a node that
/// joins or leaves costs one step per failure domain; tick() and next_heartbeat() iterate over all nodes.
/// Queries on the path of a request use lists of nodes that are rebuilt only when a node joins, is lost or
/// changes its state.
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
/// Latest time at which the store confirmed what this node knows, by itself or by the word of another node.
struct store_confirmation
{
	steady_time at{};
	std::string by; ///< Address of that node; "store": itself; empty: none since the start.
};

/// Cached list of the nodes that lend tokens.
struct lender_table
{
	std::uint64_t version = 0; ///< Value of live_summary::ready_version that the table was built for.
	std::vector<responsible_node> holders;
	node_ring ring; ///< Consistent hash ring of the holders, by index.
};

/// Cached list of the nodes of this region that warm up cold backend servers.
struct warmup_table
{
	std::uint64_t version = 0; ///< Value of live_summary::region_version that the table was built for.
	std::size_t nodes = 0;     ///< Live nodes of the region, including this node.
	node_ring ring;            ///< Consistent hash ring of these nodes; this node has index 0.
};

/// Cached totals over the live nodes, computed in one pass over the table.
struct live_summary
{
	steady_time at{};
	bool outdated = true;        ///< Whether a node joined or changed its state since.
	fleet_rates rates;           ///< Request rates of the other live nodes.
	std::size_t ready_nodes = 0; ///< Ready nodes, including this node.
	/// Checksums over the names of the ready nodes and of the live nodes of this region, to detect changes.
	std::uint64_t ready_checksum = 0;
	std::uint64_t region_checksum = 0;
	std::uint64_t ready_version = 0;  ///< Incremented when ready_checksum changes.
	std::uint64_t region_version = 0; ///< Incremented when region_checksum changes.
};

/// Membership table of the fleet. Performs no input or output of its own.
class fleet : public fleet_view_base
{
public:
	/// @param[in] _self Heartbeat of this node; the caller updates its state and load through self() before
	/// each heartbeat.
	/// @param[in] _backends Receives the numbers of requests that other nodes have in flight.
	/// @param[in] _log Receives an event for each node that counts as dead or is live again.
	fleet(const clock_base& _clock, node_heartbeat _self, backend_registry& _backends, entry_log& _log);

	/// Applies a heartbeat of another node.
	/// @returns The heartbeat that this node sends back at once, if any.
	contact_reply on_heartbeat(const node_heartbeat& _heartbeat);
	/// Applies a digest of the nodes of another failure domain.
	void on_digest(const domain_digest& _digest);
	/// @returns Addresses to which this node relays a digest received from _sender_ip; usually none.
	std::vector<std::string> relay_addresses(
	    const domain_digest& _digest, const std::string& _sender_ip) const;
	/// @returns Parts of a new digest of this node's failure domain, one datagram each.
	std::vector<domain_digest> digest();
	/// @returns One address in each other failure domain that is due to get a digest; empty when this node
	/// does not send digests.
	std::vector<std::string> digest_targets();
	/// Adds a candidate address: one at which a node may be reachable.
	void add_address(const std::string& _ip);
	/// @returns Addresses to which the heartbeat of this round is sent; call it after next_heartbeat().
	std::vector<std::string> heartbeat_targets();
	/// Starts a round of heartbeats.
	/// @returns This node's heartbeat for the round.
	node_heartbeat next_heartbeat();
	/// @returns A heartbeat of this node outside of the rounds, for a node that is new here or as an
	/// announcement. Do not call it with contact_reply::none.
	/// @param[in] _for Failure domain of the receiver; empty: several receivers.
	node_heartbeat unscheduled_heartbeat(contact_reply _greeting, const domain_name& _for = {});
	/// @returns Whether this node is to keep itself registered in the store.
	bool should_register() const;
	/// @param[in] _homes Home regions of the host that the callers request.
	/// @returns Nodes that callers of a region should use.
	lookup_decision look_up(const region_name& _region, const std::vector<region_name>& _homes) const;
	/// @returns Whether this node is one of the nodes of its region that read the store, and its rank.
	reader_decision reader() const;
	/// @returns Time of the latest response of the store to another node of this region, by their heartbeats;
	/// nothing when no node has reported a response.
	std::optional<steady_time> peers_store_response_time() const;
	/// @param[in] _revision Revision up to which this node knows the store's keys.
	/// @param[in] _config_version Version of this node's configuration.
	/// @returns The latest response of the store to another node that knows nothing newer than this node;
	/// nothing when there is none.
	std::optional<store_confirmation> peers_confirmation(
	    std::int64_t _revision, std::uint64_t _config_version) const;
	/// @returns Longest interval between two heartbeats that this node gets from one node of its region.
	std::chrono::milliseconds region_heartbeat_interval() const
	{
		return liveness().interval() * liveness().heartbeat_divisor(proximity::region);
	}
	/// @returns Addresses of the other live nodes of this failure domain.
	std::vector<std::string> domain_addresses() const;
	/// @returns Whether nodes of other failure domains get fewer heartbeats than nodes of this failure
	/// domain.
	bool is_large() const
	{
		return liveness().is_large();
	}
	/// @returns Addresses of the nodes to which this node sends changes that it has read from the store.
	std::vector<std::string> change_receivers() const;
	/// @returns Addresses to which this node relays changes received from _sender_ip; usually none.
	std::vector<std::string> change_relay_receivers(const std::string& _sender_ip) const;
	/// @returns A live node that has a newer revision of the store's keys than the given one, or null.
	/// Iterates over all nodes only if one of them may have a newer revision.
	const node_heartbeat* peer_with_newer_keys(std::int64_t _store_revision) const;
	/// @returns A live node that has a newer version of the configuration than the given one, or null.
	/// Iterates over all nodes only if one of them may have a newer version.
	const node_heartbeat* peer_with_newer_routes(std::uint64_t _config_version) const;
	/// @returns Highest version of the configuration that any node has told of, live or not.
	std::uint64_t newest_config_told() const
	{
		return m_newest_config_told;
	}
	/// @param[out] _view Receives whether a live node of this failure domain, of this region or of any region
	/// has the store's keys, and how many nodes of this failure domain that lack them rank before this node.
	void fill_copy_view(copy_view& _view) const;
	/// @returns A pseudo-random live node that has the store's keys; null when there is none.
	/// @param[in] _step Determines where the node may be: this failure domain, this region or anywhere.
	/// @param[in] _draw Random seed; pass another value in each call.
	const node_heartbeat* choose_page_source(copy_step _step, std::uint64_t _draw) const;
	/// Logs nodes that count as dead or are live again, and removes nodes that have been silent for long.
	void tick();
	/// @returns Interval between two heartbeats to the nodes of this failure domain.
	std::chrono::milliseconds interval() const
	{
		return liveness().interval();
	}

	budget_sharing sharers() const override
	{
		return m_census.sharers();
	}
	fleet_extent extent() const override
	{
		return m_census.extent();
	}
	/// Sets the failure domains that the settings name.
	void set_domains(const std::vector<domain_name>& _domains)
	{
		m_census.set_domains(_domains);
		on_node_count_changed();
	}
	double warmup_share(const backend_state& _backend) const override;
	rate_by_region demand_of_others(const service_name& _service) const override;
	rate_by_region single_region_demand_of_others(const service_name& _service) const override;
	slot_portion portion(const service_name& _service, const region_name& _region) const override;
	std::vector<admission_report> reports_of_others(const service_name& _service) const override;
	responsible_nodes responsible_for(std::uint64_t _customer) const override;
	live_node_counts live_nodes() const override;
	responsible_nodes responsible_in_region(const region_name& _region, std::uint64_t _thing) const override;
	live_node_counts live_nodes_of_region() const override;
	std::vector<std::string> region_addresses() const override;
	std::vector<relay_candidate> relay_candidates() const override;
	/// @returns Whether a node of the fleet has that address.
	bool is_member_address(const std::string& _ip) const
	{
		return m_member_ips.end() != m_member_ips.find(_ip);
	}

	/// @returns Whether another node is known and counts as live.
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
	/// @param[in] _all Number of items; not 0.
	/// @param[in] _listed Number of items in one heartbeat.
	/// @returns Index of the first item that the present heartbeat lists; it advances with each heartbeat.
	std::size_t first_listed(std::size_t _all, std::size_t _listed) const;
	/// @param[in] _for Failure domain of the receiver.
	/// @returns Addresses of some live nodes, different ones each time. In a large failure domain most of
	/// them are of the receiver's failure domain.
	std::vector<std::string> sample_addresses(const domain_name& _for) const;
	/// @returns Names of the other live nodes of a failure domain.
	std::vector<const node_name*> live_in(const domain_name& _domain) const;
	std::vector<std::string> addresses_of(const std::vector<const node_name*>& _nodes) const;
	node_liveness liveness() const
	{
		return node_liveness(nodes_of(m_self.domain), m_members.size());
	}
	/// @returns Number of other nodes that are known in a failure domain.
	std::size_t nodes_of(const domain_name& _domain) const;
	static bool alive(const fleet_member& _member, steady_time _now)
	{
		return _now - _member.last_seen_at <= _member.domain->liveness_timeout;
	}
	/// @returns The other live nodes that satisfy a condition, in the order of their names.
	std::vector<const node_heartbeat*> live_with(
	    const std::function<bool(const node_heartbeat&)>& _condition) const;
	/// Adds a node that joined, or moved to another failure domain, to the counts and indices.
	void add_to_indices(fleet_member& _member);
	/// Removes a node from the counts and indices.
	void remove_from_indices(const fleet_member& _member);
	/// Replaces the address of a node in the address indices.
	/// @param[in] _ip The new address; empty: the node is removed.
	void replace_address(const std::string& _old_ip, const std::string& _ip);
	/// Updates what depends on the number of nodes: silence limits, the census and the cached totals.
	void on_node_count_changed();
	/// Raises the highest known revision and configuration version to those of a live node.
	void raise_known_revisions(const node_heartbeat& _live) const;
	/// Applies what a heartbeat reports about other nodes of its sender's failure domain.
	void apply_neighbour_reports(const node_heartbeat& _sender);
	/// @returns What this node's next heartbeat reports about other nodes of this failure domain.
	std::vector<neighbour_status> neighbour_reports() const;
	/// @returns Whether the heartbeat of this round is sent to the node.
	bool is_heartbeat_due(const fleet_member& _member, const node_liveness& _pace, steady_time _now) const;
	/// @returns Whether the node is in this region and counts as live.
	bool is_live_in_region(const fleet_member& _member, steady_time _now) const
	{
		return _member.last.region == m_self.region && alive(_member, _now);
	}
	/// @returns Totals over the live nodes, recomputed when outdated or older than about one tick.
	const live_summary& live() const;
	/// @param[in] _region Region of the lenders; empty: nodes of all regions lend.
	const lender_table& lenders_of(const region_name& _region) const;
	/// @param[in] _live Number of nodes that count as live.
	/// @returns Number of nodes that share a budget: 1 when this node seems cut off, otherwise _live.
	double budget_sharers(std::size_t _live) const;
	const warmup_table& warmup_nodes() const;

	const clock_base& m_clock;
	node_heartbeat m_self;
	backend_registry& m_backends;
	entry_log& m_log;
	std::map<node_name, fleet_member> m_members;
	std::unordered_map<std::uint32_t, fleet_member*> m_by_hash; ///< Members by short_hash of the name.
	std::uint64_t m_digest_number = 0;
	/// Time of the next digest to each other failure domain.
	std::map<domain_name, steady_time> m_next_digest_at;
	std::map<domain_name, failure_domain_view> m_domains; ///< Failure domains that have other nodes.
	/// Number of nodes at each address; more than one after an address was reused.
	std::unordered_map<std::string, int> m_member_ips;
	/// Candidate addresses that sent no heartbeat yet, with the number of heartbeats sent there.
	std::map<std::string, int> m_addresses;
	node_count_maximum m_census;
	mutable live_summary m_live;
	mutable std::map<region_name, lender_table> m_lenders; ///< By region; all regions under the empty name.
	mutable warmup_table m_warmup_nodes;
	/// Upper bound of the store revisions of the live nodes.
	mutable std::int64_t m_highest_revision = 0;
	/// Upper bound of the configuration versions of the live nodes.
	mutable std::uint64_t m_highest_config = 0;
	mutable std::uint64_t m_newest_config_told = 0; ///< Of any node, live or not.
	steady_time m_last_heartbeat_at{}; ///< Time of the latest heartbeat of any node, also by digests.
	steady_time m_last_outside_at{};   ///< Latest word of a node of another failure domain.
};
} // namespace larkrack
