// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Node ring: assigns each item to one node of many, and to a backup node.
///
/// Used to choose the lender of tokens and the node that warms up a cold backend server. Inputs: names of the
/// nodes; the hash of the item.
///
/// Algorithm: consistent hashing. Each node has k_points_per_node points on a ring, an item belongs to the
/// next point, and the backup is the next different node, which takes over when the first one leaves. A node
/// that joins or leaves changes the owner of 1/n of the items.
///
/// Alternative: rendezvous hashing, as elsewhere. A lookup on the ring takes log n steps instead
/// of n hashes, and there is one for each request of a customer and for each cold backend server that a
/// request could be sent to.
///
/// Relies on nodes having the same view of the live nodes, except for some seconds after a change.
#pragma once

#include "steering/names_p.h"

#include <cstdint>
#include <vector>

namespace larkrack
{
/// Points of each node. Higher values: more even distribution, and as many times more entries of 16 bytes.
/// Lower values: some nodes lend for several times as many customers as others.
constexpr int k_points_per_node = 8;

/// The owners of one item, as indices into the nodes that the ring was built from.
struct ring_owners
{
	std::size_t first = 0;
	std::size_t backup = 0; ///< The same as the first if there is only one node.
};

/// @param[in] _id_hash backend_state::id_hash.
/// @returns Ring position of a backend server, among the items that nodes of its region own.
std::uint64_t ring_position(std::uint32_t _id_hash);

/// Positions of nodes on the ring.
class node_ring
{
public:
	/// @param[in] _nodes Names, in the order of the indices in ring_owners.
	void build(const std::vector<node_name>& _nodes);
	bool empty() const
	{
		return m_points.empty();
	}
	/// The ring must not be empty.
	ring_owners owners_of(std::uint64_t _item) const;

private:
	struct point
	{
		std::uint64_t place;
		std::uint32_t node;
	};
	std::vector<point> m_points; ///< Sorted by position.
};
} // namespace larkrack
