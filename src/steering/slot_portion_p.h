// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Slot portion: decides which slots of each backend server are this node's own, which it may use whatever
/// other nodes do.
///
/// Inputs: requests per second that each node, including this one, sends to the region for the service, from
/// heartbeats; the names of the nodes.
///
/// Algorithm: each node gets an interval of [0, 1) in proportion to the requests that it sends; the intervals
/// adjoin in the order of the nodes' names, so they sum up to all slots. An interval that is not a whole
/// number of slots is rounded with an offset that differs between backend servers (by the hash of their id),
/// so that the nodes take turns. A node that sends nothing to the region has no interval; when no node sends
/// anything, each node has all slots.
///
/// Alternatives (docs/DESIGN.md, "Direct sending"):
/// - the estimated load alone: when outdated messages make it too high, free slots stay unused. Own slots and
///   the estimate together raised a score of 0.578 to 0.893; a change of the counting alone reached 0.603
///   there.
///
/// Relies on the nodes to have received each other's rates. For one heartbeat after a change, intervals may
/// overlap.
#pragma once

#include "steering/backend_state_p.h"

namespace larkrack
{
/// A node's share of the slots of each backend server: the interval [begin, end) of [0, 1).
struct slot_portion
{
	double begin = 0.0;
	double end = 1.0;

	/// @returns Number of slots of one backend server that are this node's own.
	int slots_of(const backend_state& _backend) const;
};

/// Requests per second that the other live nodes send to a region for a service.
struct other_nodes_rates
{
	double total_per_s = 0.0;
	double preceding_per_s = 0.0; ///< Rate of the nodes whose names precede this node's name.
};

/// @param[in] _own_per_s Requests per second that this node sends to the region.
/// @returns This node's interval.
slot_portion plan_slot_portion(double _own_per_s, const other_nodes_rates& _others);
} // namespace larkrack
