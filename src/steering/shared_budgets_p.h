// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Shared budgets: decides this node's share of budgets that hold over all nodes: retries, connections to a
/// backend server, and the request rate of a cold backend server (slow start).
///
/// Inputs: the number of nodes seen, in total and in this region; the limits of the service (connections;
/// requests per second); whether consistent hashing assigns a backend server to this node.
///
/// Algorithm:
/// - Retries and connections are divided by the maximum number of nodes ever seen at once. A node that sends
///   no heartbeats may only be cut off and still spend its share, so the share is not given to others.
/// - A cold backend server gets requests from one node of its region, chosen by consistent hashing
///   (node_ring_p.h), which uses the whole rate. A node that sees less than half of its region cannot rely on
///   that choice and uses 1/n.
///
/// Alternatives:
/// - an equal share for each node of the rate of a cold backend server: every node started with a token, and
///   16 requests arrived in a second where 13.2 were allowed;
/// - division by the nodes that are seen now: in a network partition both sides would spend the whole budget.
///
/// Owns the maximum node counts (node_count_maximum), from which slack_share_p.h derives the part of a slack.
/// Relies on node_liveness for which nodes are live.
#pragma once

#include "steering/names_p.h"
#include "steering/slack_share_p.h"

#include <cstddef>
#include <map>
#include <vector>

namespace larkrack
{
/// Number of nodes that share a budget.
struct budget_sharing
{
	double nodes = 1.0; ///< Number of nodes, in all regions.
};

/// Maximum number of nodes ever seen at once, including this one.
class node_count_maximum
{
public:
	/// Sets the failure domains that the settings name; none: those that are seen.
	void set_domains(const std::vector<domain_name>& _domains);
	/// Updates the maxima with the number of nodes seen now.
	void on_nodes_counted(std::size_t _nodes, std::size_t _in_region);
	/// Updates the maximum of one failure domain.
	void on_domain_counted(const domain_name& _domain, std::size_t _nodes);
	/// @returns Nodes that share the budgets, by failure domain.
	fleet_extent extent() const;
	/// @returns Number of nodes that share the budgets.
	budget_sharing sharers() const
	{
		return {static_cast<double>(m_max_nodes)};
	}
	/// @returns Maximum number of nodes of this region ever seen at once.
	std::size_t max_in_region() const
	{
		return m_max_in_region;
	}

private:
	std::size_t m_max_nodes = 1;
	std::size_t m_max_in_region = 1;
	std::map<domain_name, std::size_t> m_max_in_domain; ///< 0: no node of it was ever seen.
};

/// @param[in] _limit Connections that one backend server accepts from all nodes; more than 0.
/// @returns Connections that this node may hold to it; at least 1.
double connections_of_node(int _limit, const budget_sharing& _sharing);

/// Reason for a node's share of the rate of a cold backend server.
enum class warmup_reason
{
	chosen,       ///< Consistent hashing chose this node: the whole rate.
	another_node, ///< Consistent hashing chose another node: nothing.
	cut_off,      ///< Most nodes of the region are not seen: 1/n.
};

/// This node's share of the rate that a cold backend server of its region bears.
struct warmup_decision
{
	double part = 0.0; ///< Fraction of the rate, 0 to 1.
	warmup_reason reason = warmup_reason::another_node;
};

/// @param[in] _region_nodes Live nodes of this region, including this one.
/// @param[in] _max_in_region Maximum number of nodes of the region ever seen at once.
/// @param[in] _chosen Whether consistent hashing assigns the backend server to this node.
warmup_decision plan_warmup(std::size_t _region_nodes, std::size_t _max_in_region, bool _chosen);

/// @param[in] _per_s Requests per second that the service allows a cold backend server, from all nodes.
/// @param[in] _part This node's share, 0 to 1.
/// @returns Requests per second that this node may send to the backend server.
double warmup_rate(double _per_s, double _part);
} // namespace larkrack
