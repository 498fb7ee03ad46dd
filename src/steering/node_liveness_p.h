// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Decides how often nodes send heartbeats, to whom, and when a silent node counts as dead or is forgotten.
///
/// Inputs: number of other nodes; whether a node is of another region; time since its last heartbeat;
/// sequence number of the own heartbeat; incarnation and sequence of a heartbeat that comes in.
///
/// Rule (heartbeats with a timeout): the interval grows with the fleet, so that the datagrams that a node
/// gets a second do not. Nodes of other regions get one heartbeat of k_far_rounds, at turns that differ by
/// node. A node counts as live while its silence is shorter than k_silent_heartbeats
/// of the intervals at which it sends here, and k_silent at least. A look-up names it until then.
///
/// Why not another way:
/// - heartbeats to far nodes as often as to near ones: bytes between regions cost, and far news is old
///   anyway;
/// - gossip of suspicion, or asking others before a node counts as dead: not measured.
///
/// Relies on: all nodes seeing about the same number of nodes, since each derives the interval of the
/// others from its own view.
#pragma once

#include "steering/node_heartbeat_p.h"

namespace larkrack
{
/// The rule for one size of fleet.
class node_liveness
{
public:
	/// @param[in] _other_nodes Nodes in the table, this one left out.
	explicit node_liveness(std::size_t _other_nodes) : m_other_nodes(_other_nodes)
	{
	}
	/// @returns Time between two heartbeats of a node.
	std::chrono::milliseconds interval() const;
	/// @returns Whether heartbeats between the two regions are sent more rarely.
	static bool is_far(const region_name& _own, const region_name& _other);
	/// @returns Longest silence of a live node.
	std::chrono::milliseconds longest_silence(bool _far) const;
	/// @returns Whether a far node gets the heartbeat with this sequence number.
	static bool is_turn_of_far(const node_name& _node, std::uint64_t _sequence);
	/// @returns Whether the heartbeat with this sequence number tells the addresses of other nodes.
	static bool tells_addresses(std::uint64_t _sequence);
	/// @param[in] _its Addresses that the first heartbeat of a new node tells.
	/// @param[in] _ours Addresses that this node could tell it, its own left out.
	/// @returns Whether it is told at once who else is there: it finds the fleet in a round trip instead of
	/// an interval, which grows with the fleet.
	static bool wants_introduction(std::size_t _its, std::size_t _ours);
	/// @returns Whether the node is to be forgotten.
	static bool forgotten(steady_time::duration _silence);
	/// @param[in] _last Newest heartbeat of the node so far.
	/// @param[in] _alive Whether that life counts as live.
	/// @returns Whether a heartbeat is older than what is known. Datagrams overtake each other; but a node
	/// whose wall clock went back comes with a lower incarnation, and is heard once its former life is
	/// silent.
	static bool outdated(const node_heartbeat& _heartbeat, const node_heartbeat& _last, bool _alive);

private:
	std::size_t m_other_nodes;
};
} // namespace larkrack
