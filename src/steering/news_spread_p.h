// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Decides how changes of the store's keys get from the node that read them to the other nodes of its region.
///
/// Inputs: heartbeats of this node and of the live nodes; the number of datagrams that the changes fill; the
/// senders of received datagrams.
///
/// Algorithm:
/// - Few changes are sent by datagram. In a large fleet the reader sends them to the nodes of its own failure
///   domain and to one node of each other failure domain of its region, which forwards them to its own
///   failure domain unless it already knew them from another reader. In a small fleet the reader sends them
///   to all nodes.
/// - Many changes (more than k_max_change_datagrams, in a large fleet) are only announced, and each node
///   requests them once, over connections that have a lower priority than other traffic.
///
/// Purpose: hundreds of backend servers that leave or are replaced at once, reported by nodes with links of
/// 20 Mbit/s. With 98 nodes in a region and 200 leaving backend servers, a reader that sends to all nodes
/// sends 2.9 MB, 1.2 s of its link, and what does not fit is lost; nodes were found that learned of a leaving
/// backend server 4.3 s late.
///
/// Scaling: datagrams of a reader grow with its failure domain and the number of failure domains of its
/// region, not with the region (36 for each datagram instead of 97 with 98 nodes); datagrams of a forwarding
/// node grow with its failure domain.
///
/// Relies on store_readers for which nodes read and which node to request changes from, and on node_liveness
/// for the live nodes.
#pragma once

#include "steering/node_heartbeat_p.h"

namespace larkrack
{
/// Whether changes are sent in full or requested by the receivers.
enum class change_delivery
{
	datagrams,    ///< The changes are sent.
	announcement, ///< Only the fact that there are changes is sent.
};

/// @param[in] _datagrams Number of datagrams that the changes fill; 0: a change fits into no datagram.
change_delivery choose_change_delivery(std::size_t _datagrams, bool _large_fleet);

/// @param[in] _live Other live nodes of this node's region.
/// @param[in] _large_fleet Whether one node of each other failure domain forwards changes.
/// @returns Nodes to which a reader sends changes.
std::vector<const node_heartbeat*> change_recipients(
    const node_heartbeat& _self, const std::vector<const node_heartbeat*>& _live, bool _large_fleet);

/// @param[in] _sender Node that sent changes which were new here; null: unknown.
/// @returns Whether this node forwards them to the other nodes of its failure domain.
bool forwards_changes(const node_heartbeat& _self, const node_heartbeat* _sender, bool _large_fleet);
} // namespace larkrack
