// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Node ring: which node of many has one thing, and which is the stand-in for it.
///
/// Used for the lender of tokens and for the node that warms up a cold backend server. Inputs:
/// names of the nodes; the hash of the thing.
///
/// Rule: consistent hashing. Each node has k_points places on a ring, a thing belongs to the next one, and
/// the stand-in is the next other node, which becomes the first when the first one goes. A node that comes or
/// goes changes the owner of 1/n of the things.
///
/// Why not rendezvous hashing as elsewhere: a look-up here costs log n steps in place of n hashes, and there
/// is one for each request of a customer and for each cold backend server that a request could go to.
///
/// Relies on: nodes seeing the same live nodes but for some seconds after a change.
#pragma once

#include "steering/names_p.h"

#include <cstdint>
#include <vector>

namespace larkrack
{
/// Places of each node. More: evener parts, and n times as many entries of 16 bytes. Fewer: some nodes lend
/// for several times as many customers as others.
constexpr int k_points = 8;

/// The owners of one thing, as indices into the nodes that the ring was built of.
struct ring_owners
{
	std::size_t first = 0;
	std::size_t stand_in = 0; ///< The same as the first when there is one node only.
};

/// @param[in] _id_hash backend_state::id_hash.
/// @returns Place of a backend server among the things that nodes of its region own.
std::uint64_t ring_place(std::uint32_t _id_hash);

/// Places of nodes on the ring.
class node_ring
{
public:
	/// @param[in] _nodes Names; their order is that of the indices in ring_owners.
	void build(const std::vector<node_name>& _nodes);
	bool empty() const
	{
		return m_points.empty();
	}
	/// The ring must not be empty.
	ring_owners owners_of(std::uint64_t _thing) const;

private:
	struct point
	{
		std::uint64_t place;
		std::uint32_t node;
	};
	std::vector<point> m_points; ///< By rising place.
};
} // namespace larkrack
