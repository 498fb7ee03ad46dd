// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// The other nodes: who is there, who takes requests, what they carry.
#pragma once

#include "forwarder_p.h"
#include "heartbeat_p.h"

#include <set>

namespace larkrack
{
/// Another node, as far as its heartbeats tell.
struct fleet_member
{
	edge_heartbeat last;
	steady_time heard_at{};
	bool told_alive = false; ///< What the log says of it.
};

/// Keeps the table of nodes. No input and output of its own.
class fleet : public fleet_view_base
{
public:
	/// @param[in] _self This node; its state and figures are set before each heartbeat.
	/// @param[in] _backends Told what other nodes have in flight.
	/// @param[in] _log Told of nodes that come and go.
	fleet(const clock_base& _clock, edge_heartbeat _self, backend_registry& _backends, edge_log& _log);

	/// Takes a heartbeat of another node.
	void hear(const edge_heartbeat& _heartbeat);
	/// Names an address at which a node may be.
	void add_address(const std::string& _ip);
	/// @returns Addresses that the next heartbeat goes to.
	std::vector<std::string> targets() const;
	/// @returns This node's next heartbeat.
	edge_heartbeat next();
	/// @returns Addresses of nodes that callers of a region should use; never empty once this node is ready.
	std::vector<std::string> addresses_for(
	    const std::string& _region, const std::vector<std::string>& _homes) const;
	/// @returns This node's place among those of its region that read the store; the first few do. Nodes
	/// whose last call failed come behind the others, so that each tries once before the first few go on
	/// alone.
	std::size_t reader_rank() const;
	/// @returns When the store last answered any other node of this region; nothing when none tells of it.
	std::optional<steady_time> store_answered_at() const;
	/// @returns Addresses of the other nodes of this region that answer.
	std::vector<std::string> region_addresses() const;
	/// @returns Any node that knows a newer revision of the store's keys than the given one, or null. Nodes
	/// of this region come first; among them chance decides, so that a few are not asked by all.
	const fleet_member* newer(std::int64_t _store_revision) const;
	/// @returns Newest version of the configuration that any node has.
	std::uint64_t newest_config() const;
	/// Forgets nodes that have been silent for long.
	void tick();
	/// @returns Time between two heartbeats. It grows with the fleet, so that a node's cost does not.
	std::chrono::milliseconds interval() const;

	sharing sharers() const override;
	double warmup_part(const backend_state& _backend) const override;
	std::map<std::string, double> demand_of_others(const std::string& _service) const override;
	slot_portion portion(const std::string& _service, const std::string& _region) const override;

	edge_heartbeat& self()
	{
		return m_self;
	}
	const std::map<std::string, fleet_member>& members() const
	{
		return m_members;
	}

private:
	bool alive(const fleet_member& _member) const;
	/// @returns Whether heartbeats to the node are sent more rarely.
	bool is_far(const fleet_member& _member) const;
	/// @returns Names of the nodes of this region that answer, this one among them.
	std::vector<std::string> region_nodes() const;
	std::vector<std::string> ready_in(const std::string& _region) const;

	const clock_base& m_clock;
	edge_heartbeat m_self;
	backend_registry& m_backends;
	edge_log& m_log;
	std::map<std::string, fleet_member> m_members; ///< By node.
	std::set<std::string> m_addresses;
	/// Most nodes ever seen at once: who is silent may be cut off and draws from shared budgets all the same.
	std::size_t m_most_nodes = 1;
	std::size_t m_most_in_region = 1;
};
} // namespace larkrack
