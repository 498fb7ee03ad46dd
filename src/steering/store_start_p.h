// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Decides how a node that starts comes by the store's keys, and which nodes register there.
///
/// Inputs: time since the start; whether a live node that knows the keys was heard of; heartbeats of this
/// node and of the live ones; what other nodes asked this one for.
///
/// Rule:
/// - A node first listens for a moment (k_listen_first): its first heartbeat is answered by the seeds. If
///   somebody has the keys, it asks there, for k_copy_patience at most, then it reads the store itself, from
///   the cheaper copy of the store that may be old: what changed since comes by the readers.
/// - It ranks itself among the readers only after k_rank_wait, when it has heard of the others: before that,
///   each node would rank first and open a watch.
/// - A registration helps only nodes that can not reach a seed. So the first k_registered_of_domain nodes of
///   a failure domain by rendezvous hashing register, and none does in its first k_register_wait.
/// - A node gives a whole copy of the keys each k_copy_interval at most: its link is narrow and callers use
/// it.
///
/// Pattern: a start of all nodes at once (a herd), and single nodes that join a fleet that knows. Grows:
/// calls to the store at a common start with one cheap reading for each node; registrations with the failure
/// domains, not with nodes; a node that joins makes no call. A registration and a whole reading by each node
/// were 6.6 calls a node with 295 nodes and 1,356 backend servers.
///
/// Relies on: node_liveness for who is live; store_readers for who reads later on.
#pragma once

#include "steering/node_heartbeat_p.h"

namespace larkrack
{
/// What a node without the store's keys does next.
enum class first_read
{
	listen,     ///< Wait: others may answer in a moment.
	from_peers, ///< Wait: a node that has the keys is being asked.
	from_store, ///< Read the store.
};

/// @param[in] _since_start Since the node began to send heartbeats.
/// @param[in] _others_know Whether a live node has the keys.
first_read plan_first_read(steady_time::duration _since_start, bool _others_know);

/// Milliseconds between two looks whether the keys have come. Longer: a node is ready later. Shorter: more
/// wake-ups. Not measured.
constexpr std::chrono::milliseconds k_first_read_step{25};
/// Milliseconds from its start on until a node ranks itself among the readers of the store. Longer: the news
/// of a fleet that starts are older. Shorter: nodes that have not heard of the others yet open a watch each,
/// one call in each 2.5 s. A round trip between regions, the spread of a common start (0.3 s) and a heartbeat
/// fit.
constexpr std::chrono::milliseconds k_rank_wait{800};
/// Milliseconds from its start on until a node may register. Longer: nodes that reach no seed are found
/// later. Shorter: nodes register that will not rank first. Not measured.
constexpr std::chrono::milliseconds k_register_wait{2000};
/// Milliseconds between two looks whether this node has to register. Not measured.
constexpr std::chrono::milliseconds k_register_check{1000};

/// @param[in] _live The other live nodes, of all failure domains.
/// @returns Whether this node keeps itself registered in the store.
bool registers(const node_heartbeat& _self, const std::vector<const node_heartbeat*>& _live);

/// Limits the whole copies of the keys that this node gives to others (generic cell rate algorithm).
class copy_limit
{
public:
	/// @returns Whether one more may be given now.
	bool take(steady_time _now);

private:
	steady_time m_next{}; ///< When the next one would be due at the steady rate.
};
} // namespace larkrack
