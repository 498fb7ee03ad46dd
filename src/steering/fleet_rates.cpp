// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/fleet_rates_p.h"

namespace larkrack
{
void fleet_rates::add(const node_name& _self, const node_heartbeat& _node)
{
	for (const auto& [service, per_s] : _node.requests_per_s)
	{
		m_demand[service][_node.region] += per_s;
	}
	const bool is_before = _node.node < _self;
	for (const auto& [service, rates] : _node.sent_per_s)
	{
		std::map<region_name, other_nodes_rates>& sums = m_sent[service];
		for (const auto& [region, per_s] : rates)
		{
			other_nodes_rates& sum = sums[region];
			sum.total_per_s += per_s;
			sum.preceding_per_s += is_before ? per_s : 0.0;
		}
	}
}

rate_by_region fleet_rates::demand_of(const service_name& _service) const
{
	const auto it = m_demand.find(_service);
	return m_demand.end() == it ? rate_by_region() : it->second;
}

rate_by_region fleet_rates::single_region_demand_of(const service_name& _service) const
{
	rate_by_region bound;
	const auto it = m_sent.find(pinned_requests_of(_service));
	if (m_sent.end() == it)
	{
		return bound;
	}
	for (const auto& [region, sum] : it->second)
	{
		bound[region] = sum.total_per_s;
	}
	return bound;
}

other_nodes_rates fleet_rates::sent_of(const service_name& _service, const region_name& _region) const
{
	const auto service = m_sent.find(_service);
	if (m_sent.end() == service)
	{
		return {};
	}
	const auto region = service->second.find(_region);
	return service->second.end() == region ? other_nodes_rates{} : region->second;
}
} // namespace larkrack
