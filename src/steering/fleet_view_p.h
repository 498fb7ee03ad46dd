// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Fleet view: the interface through which request decisions query the other nodes.
///
/// Implemented by fleet from heartbeats; tests implement it with fixed values.
#pragma once

#include "steering/admission_p.h"
#include "steering/backend_choice_p.h"
#include "steering/node_heartbeat_p.h"
#include "steering/relay_table_p.h"

namespace larkrack
{
/// A node that is responsible for a customer, a limit or another shared item, for example as the lender of
/// its tokens.
struct responsible_node
{
	std::string ip;              ///< Empty: this node.
	std::uint32_t name_hash = 0; ///< short_hash of its name; 0: there is none.
};

/// The nodes that are responsible for one item, such as a customer or a backend server.
struct responsible_nodes
{
	responsible_node first;
	responsible_node backup;
};

/// Counts of the nodes that may be responsible for items.
struct live_node_counts
{
	double live = 1.0;         ///< Live nodes that take requests, including this one.
	double most = 1.0;         ///< Maximum number of nodes ever live at once.
	std::uint64_t version = 0; ///< Increases when a node joins or leaves.
};

/// What request decisions need to know of the other nodes.
class fleet_view_base : public warmup_sharing_base
{
public:
	/// @returns Nodes that share the budgets.
	virtual budget_sharing sharers() const = 0;
	/// @returns The same by failure domain; one failure domain unless overridden.
	virtual fleet_extent extent() const
	{
		fleet_extent extent;
		extent.nodes = static_cast<std::size_t>(sharers().nodes);
		extent.domain_nodes = extent.nodes;
		return extent;
	}
	/// @returns Requests per second for a service, by region of the nodes that received them; without this
	/// node.
	virtual rate_by_region demand_of_others(const service_name& _service) const = 0;
	/// @returns Requests per second for a service that may run in only one region, by that region; without
	/// this node.
	virtual rate_by_region single_region_demand_of_others(const service_name& _service) const = 0;
	/// @returns This node's portion of the slots of a service's backend servers in a region, by the rates
	/// that each node sends there.
	virtual slot_portion portion(const service_name& _service, const region_name& _region) const = 0;
	/// @returns Admission reports of the other live nodes about a service, with their freshness; none unless
	/// overridden.
	virtual std::vector<admission_report> reports_of_others(const service_name&) const
	{
		return {};
	}
	/// @param[in] _customer customer::id.
	virtual responsible_nodes responsible_for(std::uint64_t _customer) const = 0;
	virtual live_node_counts live_nodes() const = 0;
	/// @param[in] _item Hash of the item, the same at all nodes.
	/// @returns The responsible nodes in one region; if none is live, name_hash of the first is 0.
	virtual responsible_nodes responsible_in_region(
	    const region_name& _region, std::uint64_t _item) const = 0;
	/// @returns The same as live_nodes(), for nodes of this region only.
	virtual live_node_counts live_nodes_of_region() const = 0;
	/// @returns The other live nodes that take requests; none unless overridden.
	virtual std::vector<relay_candidate> relay_candidates() const
	{
		return {};
	}
	/// @returns Addresses of the other live nodes of this region.
	virtual std::vector<std::string> region_addresses() const = 0;
};
} // namespace larkrack
