// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Decides which slots of each backend server are this node's own, to be used whatever other nodes do.
///
/// Inputs: requests a second that each node sends to the region for the service, this node's among them, as
/// heartbeats tell them; the names of the nodes.
///
/// Rule: each node has a part of [0, 1) in proportion to what it sends; the parts lie side by side in the
/// order of the nodes' names, so they sum up to all slots. A part that is no whole number of slots is
/// rounded at a place that differs from one backend server to the next (by the hash of its id), so the
/// nodes take turns. A node that sends nothing there has no part; when nobody sends anything, each has all.
///
/// Why not another way (docs/DESIGN.md, "Direct sending"):
/// - estimated load alone: when it is too high by old news, free slots stay unused. Own slots and the
///   estimate together raised a score of 0.578 to 0.893; a change of the counting alone had 0.603 there;
/// - equal parts for all nodes: not measured.
///
/// Relies on: nodes having heard each other's rates. For one heartbeat after a change parts may overlap.
#pragma once

#include "steering/backend_state_p.h"

#include <vector>

namespace larkrack
{
/// A node's part of the slots of each backend server: the part of [0, 1) between two ends.
struct slot_portion
{
	double begin = 0.0;
	double end = 1.0;

	/// @returns Slots of one backend server that are this node's own, in requests.
	int slots_of(const backend_state& _backend) const;
};

/// What another node sends to a region for a service.
struct node_rate
{
	const node_name* node = nullptr;
	double per_s = 0.0; ///< Requests a second.
};

/// @param[in] _own_per_s Requests a second that this node sends there.
/// @param[in] _others The other live nodes, in the order of their names.
/// @returns This node's part.
slot_portion plan_slot_portion(
    const node_name& _self, double _own_per_s, const std::vector<node_rate>& _others);
} // namespace larkrack
