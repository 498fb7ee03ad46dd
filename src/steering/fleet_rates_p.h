// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Fleet rates: sums of the request rates of the other live nodes.
///
/// Inputs: the heartbeats of the other live nodes, each added once.
///
/// Algorithm: one pass over all nodes at a regular interval computes all sums; queries read the sums, and
/// their cost does not depend on the number of nodes. The interval grows with the size of the failure
/// domains, so the passes per second cost the same at every fleet size.
///
/// Purpose: for each service, a tick queries the demand, the demand that is bound to one region and, for each
/// region, the portion of the slots. With 986 nodes and two services, a pass for each query made ten passes,
/// 4 times per second, on a tenth of a core.
///
/// Relies on fleet to add each live node and no other.
#pragma once

#include "steering/node_heartbeat_p.h"
#include "steering/slot_portion_p.h"

namespace larkrack
{
/// Sums of rates, in requests per second.
class fleet_rates
{
public:
	/// Resets all sums.
	void clear()
	{
		m_demand.clear();
		m_sent.clear();
	}
	/// Adds another live node.
	/// @param[in] _self Name of this node: slots are divided in the order of names.
	void add(const node_name& _self, const node_heartbeat& _node);
	/// @returns First attempts for a service, by region of the nodes that received them.
	rate_by_region demand_of(const service_name& _service) const;
	/// @returns Requests for a service that may run in only one region, by that region.
	rate_by_region single_region_demand_of(const service_name& _service) const;
	/// @returns Rates at which other nodes send to a region for a service.
	other_nodes_rates sent_of(const service_name& _service, const region_name& _region) const;

private:
	std::map<service_name, rate_by_region> m_demand;
	std::map<service_name, std::map<region_name, other_nodes_rates>> m_sent;
};
} // namespace larkrack
