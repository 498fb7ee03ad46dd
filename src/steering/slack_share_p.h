// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Slack share: decides which part of a slack that all nodes share in a sliding window this node may use.
///
/// Inputs: the time since this node's start; the maximum number of nodes ever seen at once, in total and in
/// one failure domain; how many failure domains the settings name, and from how many a node was ever seen.
///
/// Algorithm: an equal part for each node. Nobody tells what this node had spent in a life before this one,
/// so it uses no slack until a window has passed since its start. A failure domain from which no node was
/// ever seen may only be cut off: it counts with as many nodes as the largest one that was seen. A node that
/// has seen no other node, although there are other failure domains, cannot estimate anything and uses no
/// slack.
///
/// Purpose: starts, kills and network partitions; the parts of all nodes add up to no more than the slack.
/// Exact where each failure domain is cut off as a whole; a failure domain that starts in several parts which
/// do not see each other uses more, up to its part times the number of parts.
///
/// Alternatives (retry_budget_model_test):
/// - division by the nodes that were seen, from the start on: each node that starts uses the whole slack
/// until
///   it hears of others, and an island always does;
/// - no slack while any failure domain is unseen: one without nodes would disable the slack for good;
/// - parts lent by a node or by the store: calls and waits for what is rarely needed.
///
/// Relies on shared_budgets_p.h for the numbers of nodes.
#pragma once

#include "base/clock_p.h"

#include <cstddef>

namespace larkrack
{
/// Nodes that share a budget, as far as a node has seen them.
struct fleet_extent
{
	std::size_t nodes = 1;          ///< Maximum ever seen at once, including this node.
	std::size_t domain_nodes = 1;   ///< The same of the failure domain with the most.
	std::size_t domains = 1;        ///< Failure domains of the settings, including this node's.
	std::size_t unseen_domains = 0; ///< Those from which no node was ever seen.
};

/// @returns Number of nodes that share a budget, with those of unseen failure domains.
double estimated_nodes(const fleet_extent& _extent);

/// @param[in] _uptime Time since the start of this node.
/// @param[in] _window Window of the slack.
/// @returns Part of the slack that this node may use, 0 to 1.
double slack_share(
    const fleet_extent& _extent, steady_time::duration _uptime, std::chrono::milliseconds _window);
} // namespace larkrack
