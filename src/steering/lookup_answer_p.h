// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Decides which nodes the answer to a look-up names.
///
/// Inputs: the region of the caller; the home regions of the host's routes, in the order of the
/// configuration; the nodes that are ready and live, this one among them if it is ready.
///
/// Rule (failover by locality): all nodes of the caller's region; if there are none, those of the first
/// home region that has any; if none has, those of all regions; if no node is ready, this one, which serves
/// on while it stops. At most k_named_addresses; where there are more, each answering node draws its own ones
/// (rendezvous hashing), so that the callers of a large region spread over all of it: of 98 nodes, the first
/// 64 by name had all callers and the others none.
///
/// Why not another way: naming the nodes of other regions beside those of the caller's region was not
/// measured.
///
/// Relies on: node_liveness for who is live. A node that died is named until its silence is too long
/// (longest_silence), and by callers for the time to live of the answer on top.
#pragma once

#include "steering/node_heartbeat_p.h"

#include <functional>

namespace larkrack
{
/// Where the named nodes are.
enum class lookup_reason
{
	own_region,  ///< In the caller's region, or in any when the caller names none.
	home_region, ///< In a home region of the host.
	any_region,  ///< Anywhere: neither has a ready node.
	none_ready,  ///< This node alone: no node is ready.
};

/// The answer to a look-up.
struct lookup_decision
{
	lookup_reason reason = lookup_reason::own_region;
	std::vector<std::string> addresses; ///< "IP:port"; never empty.
};

/// Tells whether a node is live. Asked only of nodes that may be named, since each answer reads the clock.
using live_test = std::function<bool(const node_heartbeat&)>;

/// @param[in] _region Of the caller; empty: it does not say.
/// @param[in] _homes Home regions of the host.
/// @param[in] _ready Nodes that said that they are ready, in the order in which they are to be named.
/// @param[in] _own Address of this node.
lookup_decision plan_lookup(const region_name& _region, const std::vector<region_name>& _homes,
    const std::vector<const node_heartbeat*>& _ready, const live_test& _is_live, const std::string& _own);
} // namespace larkrack
