// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Store readers: decides which nodes read the store, and how a node that lags behind others catches up.
///
/// Inputs: heartbeats of this node and of the live nodes (region, state, whether the store answered their
/// last call, store revision up to which they know its keys).
///
/// Algorithm: the nodes of a region are ranked by rendezvous hashing; the first k_region_readers read the
/// store and send its changes to the others. Nodes whose last call failed rank behind the others: in an
/// outage each node tries once, and the first few keep trying. A node that learns of a newer revision waits
/// briefly for datagrams that may be on their way, then asks a node that has the revision: one of its failure
/// domain or region if possible, chosen by a hash that changes with each heartbeat, so that the load of these
/// requests is spread. The configuration has a version of its own and is requested separately, so that a
/// large configuration does not delay other changes. A node that hears nobody outside of its failure domain,
/// or nobody at all, for k_reader_isolation_timeout ranks itself among those that it hears, long before each
/// silent node counts as dead: many nodes are heard each second, whatever the size of the fleet.
///
/// Alternatives (docs/DESIGN.md, "State"):
/// - every node reads: 0.36 of a day's worth for calls on a quiet day of 80 nodes, score 0.19; four of a
///   region: 0.057 and 0.88;
/// - four of a region with a call for each change: prices 0.181 and worth 0.701 on a quiet day of 80 nodes;
///   three, with changes collected: 0.155 and 0.726;
/// - one channel for the configuration and all other changes: while 1,256 routes were sent to 80 nodes, the
///   last node knew of a leaving backend server 1.7 s after the first node, of 2.5 s that are permitted;
/// - in an outage, ranking only nodes that claim to reach the store: every node continued to call.
///
/// Relies on node_liveness for which nodes are live.
#pragma once

#include "steering/node_heartbeat_p.h"

namespace larkrack
{
/// Reason for which a node reads the store, or not.
enum class reader_reason
{
	ranks_first, ///< One of the first nodes of its region: reads the store.
	others_read, ///< Enough other nodes rank before it: gets the changes from them.
};

/// Whether a node reads the store, by its rank in its region.
struct reader_decision
{
	bool reads = false;
	reader_reason reason = reader_reason::others_read;
	std::size_t rank = 0;    ///< Number of nodes of its region that rank before it.
	std::size_t readers = 1; ///< Number of nodes that read.
};

/// Nodes among which a node ranks itself as a reader.
enum class reader_scope
{
	region,         ///< The live nodes of its region.
	failure_domain, ///< Those of its failure domain: it hears no other nodes.
	alone,          ///< It hears nobody.
};

/// @param[in] _silence Time since any other node was heard.
/// @param[in] _outside_silence Time since a node of another failure domain was heard.
reader_scope plan_reader_scope(steady_time::duration _silence, steady_time::duration _outside_silence);

/// @param[in] _self This node.
/// @param[in] _live The other live nodes, of all regions.
reader_decision plan_reader(const node_heartbeat& _self, const std::vector<const node_heartbeat*>& _live);

/// @param[in] _others Live nodes of the region other than this one.
/// @returns Whether all nodes of the region read the store, so that no node needs to be sent changes.
bool all_nodes_read(std::size_t _others);

/// @returns Time for which a node that lags behind another one waits before it asks.
std::chrono::milliseconds catch_up_delay(bool _reads);

/// @param[in] _tries Number of requests for the configuration that failed, in a row; not negative.
/// @returns Time for which a node whose configuration is older than another node's waits before it asks.
std::chrono::milliseconds config_catch_up_delay(bool _reads, int _tries);

/// @param[in] _live The other live nodes, in the order of their names.
/// @returns The node to ask for the changes after this node's revision; null when none has any.
const node_heartbeat* choose_peer(const node_heartbeat& _self, std::int64_t _store_revision,
    const std::vector<const node_heartbeat*>& _live);

/// @param[in] _config_version Version of this node's configuration; 0: none.
/// @returns The node to ask for a newer configuration; null when none has any.
const node_heartbeat* choose_config_peer(const node_heartbeat& _self, std::uint64_t _config_version,
    const std::vector<const node_heartbeat*>& _live);
} // namespace larkrack
