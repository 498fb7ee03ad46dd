// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Fleet view of one node in a simulated fleet, for model tests. Nodes are numbered and assigned to three
/// regions round-robin. Owns the set of visible nodes, which the test sets.
#pragma once

#include "steering/fleet_view_p.h"
#include "steering/node_ring_p.h"
#include "steering/rendezvous_p.h"

#include <map>

namespace larkrack
{
constexpr int k_model_regions = 3;

inline region_name model_region_of(int _node)
{
	return region_name("r" + std::to_string(_node % k_model_regions));
}

inline std::string model_name_of(int _node)
{
	return "n" + std::to_string(_node);
}

/// Fleet view computed from the nodes last passed to set_visible_nodes(). The address of a node is its
/// number.
class model_view : public fleet_view_base
{
public:
	/// Sets the visible nodes, including this node.
	void set_visible_nodes(const std::vector<int>& _nodes)
	{
		m_all = {_nodes, {}, false};
		m_by_region.clear();
		for (const int node : _nodes)
		{
			m_by_region[model_region_of(node)].nodes.push_back(node);
		}
		nodes.live = static_cast<double>(_nodes.size());
		nodes.most = std::max(nodes.most, nodes.live);
		near.live = static_cast<double>(m_by_region[model_region_of(self)].nodes.size());
		near.most = std::max(near.most, near.live);
		++nodes.version;
		near.version = nodes.version;
	}
	budget_sharing sharers() const override
	{
		return {nodes.most};
	}
	rate_by_region demand_of_others(const service_name&) const override
	{
		return {};
	}
	rate_by_region single_region_demand_of_others(const service_name&) const override
	{
		return {};
	}
	slot_portion portion(const service_name&, const region_name&) const override
	{
		return {};
	}
	double warmup_share(const backend_state&) const override
	{
		return 1.0;
	}
	responsible_nodes responsible_for(std::uint64_t _thing) const override
	{
		return holders_among(m_all, _thing);
	}
	live_node_counts live_nodes() const override
	{
		return nodes;
	}
	responsible_nodes responsible_in_region(const region_name& _region, std::uint64_t _thing) const override
	{
		const auto it = m_by_region.find(_region);
		return m_by_region.end() == it || it->second.nodes.empty() ? responsible_nodes()
		                                                           : holders_among(it->second, _thing);
	}
	live_node_counts live_nodes_of_region() const override
	{
		return near;
	}
	std::vector<std::string> region_addresses() const override
	{
		std::vector<std::string> others;
		for (const int node : m_by_region.at(model_region_of(self)).nodes)
		{
			if (node != self)
			{
				others.push_back(std::to_string(node));
			}
		}
		return others;
	}

	int self = 0;
	live_node_counts nodes; ///< Counts of all regions; a test may set other values.
	live_node_counts near;  ///< Counts of this region.

private:
	struct part
	{
		std::vector<int> nodes;
		node_ring ring;
		bool built = false;
	};

	responsible_node holder(int _node) const
	{
		return {_node == self ? "" : std::to_string(_node), short_hash(model_name_of(_node))};
	}
	responsible_nodes holders_among(part& _part, std::uint64_t _thing) const
	{
		if (!_part.built)
		{
			std::vector<node_name> names;
			for (const int node : _part.nodes)
			{
				names.emplace_back(model_name_of(node));
			}
			_part.ring.build(names);
			_part.built = true;
		}
		const ring_owners owners = _part.ring.owners_of(_thing);
		responsible_nodes holders{holder(_part.nodes[owners.first]), {}};
		if (owners.first != owners.backup)
		{
			holders.backup = holder(_part.nodes[owners.backup]);
		}
		return holders;
	}

	mutable part m_all; ///< Rings are built on first use.
	mutable std::map<region_name, part> m_by_region;
};
} // namespace larkrack
