// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Decides which nodes a lookup response lists.
///
/// Inputs: the region of the caller; the home regions of the host's routes, in the order of the
/// configuration; the nodes that are ready and live, including this node if it is ready.
///
/// Algorithm (failover by locality): all nodes of the caller's region; if there are none, those of the first
/// home region that has any; if none has, those of all regions; if no node is ready, only this node, which
/// still serves requests while it stops. The maximum is k_max_lookup_addresses; if there are more nodes, each
/// responding node selects its own subset (rendezvous hashing), so that the callers of a large region spread
/// over all nodes: of 98 nodes, the first 64 by name had all callers and the others none.
///
/// Relies on node_liveness for the live nodes. A node that crashed is listed until its timeout
/// (liveness_timeout), and used by callers for the time to live of the response in addition.
#pragma once

#include "steering/node_heartbeat_p.h"

#include <functional>

namespace larkrack
{
/// Where the listed nodes are.
enum class lookup_reason
{
	own_region,  ///< The nodes are in the caller's region, or in any if the caller states none.
	home_region, ///< The nodes are in a home region of the host.
	any_region,  ///< The nodes are in any region: neither of the above has a ready node.
	none_ready,  ///< Only this node: no node is ready.
};

/// The response to a lookup.
struct lookup_decision
{
	lookup_reason reason = lookup_reason::own_region;
	std::vector<std::string> addresses; ///< "IP:port"; never empty.
};

/// Tells whether a node is live. Called only for nodes that may be listed, since each call reads the clock.
using live_predicate = std::function<bool(const node_heartbeat&)>;

/// @param[in] _region Region of the caller; empty: not stated.
/// @param[in] _homes Home regions of the host.
/// @param[in] _ready Nodes that reported that they are ready, in the order in which they are listed.
/// @param[in] _own Address of this node.
lookup_decision plan_lookup(const region_name& _region, const std::vector<region_name>& _homes,
    const std::vector<const node_heartbeat*>& _ready, const live_predicate& _is_live,
    const std::string& _own);
} // namespace larkrack
