// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Decides how changes of the store's keys get from a node that read them to the other nodes of its region.
///
/// Inputs: heartbeats of this node and of the live ones; datagrams that the changes fill; from whom datagrams
/// came.
///
/// Rule:
/// - Few changes are told by datagram. In a large fleet the reader tells the nodes of its own failure domain
///   and one node of each other failure domain of its region, which tells them on to its own, unless it knew
///   them already by another reader. In a small one it tells all.
/// - Many changes (more than k_told_datagrams, in a large fleet) are announced only, and nodes ask for them,
///   each once, over connections that give way to other traffic.
///
/// Pattern: hundreds of backend servers that leave or are replaced at once, told by nodes with links of
/// 20 Mbit/s. With 98 nodes in a region and 200 leaving backend servers, a reader that tells all sends 2.9
/// MB, 1.2 s of its link, and what does not fit is lost; nodes were found that knew of a leaving backend
/// server 4.3 s late.
///
/// Grows: datagrams of a reader with its failure domain and the number of failure domains of its region, not
/// with the region (36 for each datagram instead of 97 with 98 nodes); those of a node that tells on with its
/// failure domain.
///
/// Relies on: store_readers for who reads and for whom a node asks; node_liveness for who is live.
#pragma once

#include "steering/node_heartbeat_p.h"

namespace larkrack
{
/// Whether changes are sent as they are or asked for.
enum class telling
{
	datagrams,    ///< They are sent.
	announcement, ///< Only that there are some is sent.
};

/// @param[in] _datagrams That the changes fill; 0: one of them fits none.
telling plan_telling(std::size_t _datagrams, bool _large_fleet);

/// @param[in] _live Other live nodes of this node's region.
/// @param[in] _large_fleet Whether nodes of other failure domains tell on.
/// @returns Nodes to which a reader sends changes.
std::vector<const node_heartbeat*> first_told(
    const node_heartbeat& _self, const std::vector<const node_heartbeat*>& _live, bool _large_fleet);

/// @param[in] _sender Of changes that were new here; null: it is not known.
/// @returns Whether this node sends them to the others of its failure domain.
bool tells_on(const node_heartbeat& _self, const node_heartbeat* _sender, bool _large_fleet);
} // namespace larkrack
