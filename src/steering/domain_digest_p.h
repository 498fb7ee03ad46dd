// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Domain digest: how nodes of large failure domains report their state to all other failure domains: who
/// sends a digest, to whom, and how it is relayed.
///
/// Inputs: names of the live nodes of a failure domain; the sequence number of a digest.
///
/// Algorithm:
/// - A failure domain of at least k_min_digest_nodes nodes reports its state by digests: the last heartbeat
///   of each of its live nodes, and how long ago it was received. Two delegates (the first two by rendezvous
///   hashing) send digests alternately, each to any one node of each other failure domain.
/// - The receiver relays the digest to some nodes of its own failure domain, and each of these relays it to
///   as many (relay_plan), in an order that differs by digest, so that a lost datagram or two different views
///   of the live nodes miss different nodes each time.
/// - A node counts as dead if k_max_missed_digests consecutive digests do not list it, in addition to the
///   time after which its own failure domain gives it up.
///
/// Purpose: hundreds of nodes in few failure domains. With heartbeats between all of 986 nodes, a round to
/// each far node took 47 s, so far nodes were discovered late and their demand was outdated, and a
/// simultaneous start sent a hello and a reply for each pair of nodes (0.7 GB between regions).
///
/// Scaling: traffic between failure domains grows with nodes times failure domains (at most 48 bytes per
/// second for each node and failure domain), not with pairs of nodes; traffic that a node receives grows with
/// the number of nodes (about 20 bytes per second for each); the time until a change is known everywhere does
/// not grow.
///
/// Alternatives:
/// - infrequent heartbeats between all nodes: the figures above;
/// - only sums of loads and demand: lookups, quotas and the choice of readers need to know individual nodes,
///   and would each need a protocol of their own;
/// - probes of random nodes with gossiped suspicion: the same.
///
/// Relies on node_liveness for the live nodes within a failure domain.
#pragma once

#include "steering/node_heartbeat_p.h"

namespace larkrack
{
/// Minimum number of nodes for a failure domain to use digests. Lower values: digests of a few nodes are
/// relayed by many. Higher values: heartbeats between all nodes of a larger fleet.
constexpr std::size_t k_min_digest_nodes = 64;

/// Last heartbeat of one node of a failure domain, and its age.
struct digest_row
{
	node_heartbeat last;              ///< Without the lists that only nodes of its own failure domain use.
	std::chrono::milliseconds age{0}; ///< Time since its failure domain received the heartbeat.
};

/// Part of a digest: one datagram.
struct domain_digest
{
	domain_name domain;
	region_name region;
	std::uint64_t number = 0; ///< Increases with each digest of a sender; the same for all its parts.
	std::vector<digest_row> rows;
};

/// @returns Whether a failure domain of that many nodes reports its state by digests.
inline bool uses_digests(std::size_t _nodes)
{
	return _nodes >= k_min_digest_nodes;
}
/// @returns Time between two digests of a failure domain to one of the same or of another region.
std::chrono::milliseconds digest_interval(proximity _where);
/// @returns Time without a digest entry after which a node counts as dead, in addition to the timeout of its
/// own failure domain.
std::chrono::milliseconds digest_timeout(proximity _where);
/// @param[in] _domain Names of the live nodes of this node's failure domain, without this node.
/// @returns Whether this node sends digests of its failure domain.
bool is_delegate(const node_name& _self, const std::vector<const node_name*>& _domain);
/// @returns Time between two digests that one delegate sends.
std::chrono::milliseconds delegate_interval(proximity _where);

/// How a digest is relayed within a failure domain.
class relay_plan
{
public:
	/// @param[in] _domain Names of all live nodes of the failure domain, including this node.
	/// @param[in] _number Sequence number of the digest.
	relay_plan(std::vector<const node_name*> _domain, std::uint64_t _number);
	/// @returns Nodes to which the node that received the digest from another failure domain relays it.
	std::vector<const node_name*> first(const node_name& _self) const;
	/// @returns Nodes to which a node that received the digest within its failure domain relays it; usually
	/// none.
	std::vector<const node_name*> next(const node_name& _self) const;

private:
	std::vector<const node_name*> m_order;
	std::size_t m_relays; ///< Number of relays, which come first in m_order.
};
} // namespace larkrack
