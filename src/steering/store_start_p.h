// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Store start: decides when a starting node may become a reader of the store, and which nodes register in
/// the store.
///
/// Inputs: time since the start; heartbeats of this node and of the live nodes.
///
/// Algorithm:
/// - A node ranks itself among the readers only after k_reader_rank_delay, when it has received heartbeats
///   of the others: before that, each node would rank first and open a watch.
/// - A registration helps only nodes that cannot reach a seed. So only the first k_registered_per_domain
///   nodes of a failure domain by rendezvous hashing register, and no node does within k_registration_delay
///   of its start.
///
/// Purpose: a start of all nodes at once. Scaling: registrations grow with the number of failure domains, not
/// of nodes.
///
/// Relies on node_liveness for which nodes are live, on state_copy for how a starting node gets the keys, and
/// on store_readers for which nodes read the store later on.
#pragma once

#include "steering/node_heartbeat_p.h"

namespace larkrack
{
/// Milliseconds after its start at which a node ranks itself among the readers of the store. Longer: a
/// starting fleet gets changes later. Shorter: nodes that have not received heartbeats of the others yet open
/// a watch each, one call in each 2.5 s. A round trip between regions, the spread of a common start (0.3 s)
/// and a heartbeat fit into this time.
constexpr std::chrono::milliseconds k_reader_rank_delay{800};
/// Milliseconds after its start from which on a node may register. Longer: nodes that reach no seed are found
/// later. Shorter: nodes register that will not rank among the first.
constexpr std::chrono::milliseconds k_registration_delay{2000};
/// Interval in milliseconds at which a node checks whether it has to register.
constexpr std::chrono::milliseconds k_registration_check_interval{1000};

/// @param[in] _live The other live nodes, of all failure domains.
/// @returns Whether this node has to keep itself registered in the store.
bool should_register(const node_heartbeat& _self, const std::vector<const node_heartbeat*>& _live);
} // namespace larkrack
