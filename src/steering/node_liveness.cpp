// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/node_liveness_p.h"

#include "steering/rendezvous_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Milliseconds between two heartbeats in a small fleet. Longer: what others have in flight is older, and
/// dead nodes are named longer. Shorter: more datagrams. 200 ms buys 0.003 of worth
/// with 12 nodes and costs 0.006 with 9 nodes and three slots each (docs/DECISIONS.md).
constexpr std::chrono::milliseconds k_interval{100};
/// Milliseconds of the interval for each other node of a large fleet: a node hears 125 heartbeats a second at
/// most. Longer: older news. Shorter: more processor time of each node. Not measured alone.
constexpr std::chrono::milliseconds k_interval_per_node{8};
/// Heartbeats of which a far node gets one. More: a far node's death is seen later. Fewer: more bytes
/// between regions; with one of one, heartbeats were half of all bytes between regions of 12 nodes.
constexpr int k_far_rounds = 4;
/// Of this many heartbeats, the first k_far_rounds tell the addresses of other nodes; so each node hears
/// them, whenever its turn is. More: nodes find each other later. Fewer: more bytes (a third of a heartbeat
/// of 12 nodes, a half of 65 nodes). A node's first heartbeats tell them always.
constexpr int k_address_rounds = 16;
/// A new node is introduced when it knows less than one of so many addresses that this node could tell.
/// Higher: nodes that know few others are left alone. Lower: nodes that start together answer each other at
/// length. Not measured.
constexpr std::size_t k_introduction_part = 2;
/// Intervals of silence after which a node counts as dead. More: look-ups name it longer. Fewer: a few lost
/// datagrams take a live node out. Not measured.
constexpr int k_silent_heartbeats = 5;
/// Milliseconds of silence that a live node may always have. Longer: look-ups name a dead node longer.
/// Shorter: a node whose processor is taken away for a moment counts as dead. Not measured.
constexpr std::chrono::milliseconds k_silent{900};
/// Seconds of silence after which a node is forgotten. Longer: nodes that were replaced stay in the table,
/// and make the interval longer. Shorter: a node that is cut off for a while must be found anew. Not
/// measured.
constexpr std::chrono::seconds k_forgotten{60};
} // namespace

std::chrono::milliseconds node_liveness::interval() const
{
	return std::max(k_interval, k_interval_per_node * static_cast<int>(m_other_nodes));
}

bool node_liveness::is_far(const region_name& _own, const region_name& _other)
{
	return _other != _own;
}

std::chrono::milliseconds node_liveness::longest_silence(bool _far) const
{
	const auto between = interval() * (_far ? k_far_rounds : 1);
	return std::max<std::chrono::milliseconds>(k_silent, k_silent_heartbeats * between);
}

bool node_liveness::is_turn_of_far(const node_name& _node, std::uint64_t _sequence)
{
	return 0 == (rendezvous_weight(_node.text, 0) + _sequence) % k_far_rounds;
}

bool node_liveness::tells_addresses(std::uint64_t _sequence)
{
	return _sequence % k_address_rounds < k_far_rounds;
}

bool node_liveness::wants_introduction(std::size_t _its, std::size_t _ours)
{
	return k_introduction_part * _its < _ours;
}

bool node_liveness::forgotten(steady_time::duration _silence)
{
	return _silence > k_forgotten;
}

bool node_liveness::outdated(const node_heartbeat& _heartbeat, const node_heartbeat& _last, bool _alive)
{
	const auto order = [](const node_heartbeat& _one)
	{
		return std::make_pair(_one.incarnation, _one.sequence);
	};
	return _alive && order(_heartbeat) < order(_last);
}
} // namespace larkrack
