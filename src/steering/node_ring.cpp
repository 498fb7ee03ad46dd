// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/node_ring_p.h"

#include "steering/rendezvous_p.h"

#include <algorithm>

namespace larkrack
{
std::uint64_t ring_position(std::uint32_t _id_hash)
{
	return rendezvous_weight("", _id_hash);
}

void node_ring::build(const std::vector<node_name>& _nodes)
{
	m_points.clear();
	m_points.reserve(_nodes.size() * k_points_per_node);
	for (std::size_t i = 0; i < _nodes.size(); ++i)
	{
		for (int copy = 0; copy < k_points_per_node; ++copy)
		{
			const std::uint64_t place = rendezvous_weight(_nodes[i].text, static_cast<std::uint64_t>(copy));
			m_points.push_back({place, static_cast<std::uint32_t>(i)});
		}
	}
	std::sort(m_points.begin(), m_points.end(),
	    [](const point& _left, const point& _right)
	    {
		    return _left.place < _right.place;
	    });
}

ring_owners node_ring::owners_of(std::uint64_t _item) const
{
	const auto begin = std::lower_bound(m_points.begin(), m_points.end(), _item,
	    [](const point& _point, std::uint64_t _place)
	    {
		    return _point.place < _place;
	    });
	std::size_t next_index = m_points.end() == begin ? 0 : static_cast<std::size_t>(begin - m_points.begin());
	ring_owners owners{m_points[next_index].node, m_points[next_index].node};
	for (std::size_t visited = 0; visited < m_points.size() && owners.backup == owners.first; ++visited)
	{
		next_index = (next_index + 1) % m_points.size();
		owners.backup = m_points[next_index].node;
	}
	return owners;
}
} // namespace larkrack
