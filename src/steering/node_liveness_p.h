// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Decides how often nodes send heartbeats, to whom, and when a silent node counts as dead or is removed.
///
/// Inputs: the number of other nodes in total and in this node's failure domain; the proximity of another
/// node; the number of nodes of its failure domain that can report it; the time since its last sign of life;
/// the sequence number of the own heartbeat; the incarnation and sequence number of a received heartbeat.
///
/// Algorithm (heartbeats with a timeout, and neighbour reports within failure domains):
/// - Nodes of a failure domain send each other heartbeats at an interval that grows with the size of the
///   failure domain. Other nodes of the region get one of heartbeat_divisor() heartbeats, so that the number
///   of datagrams per second that a node receives does not grow with the fleet; nodes of other regions get
///   one of k_far_heartbeat_divisor times as many. The schedule differs by sender and receiver.
/// - Where other nodes receive a node's heartbeats less often than its own failure domain does, each
///   heartbeat reports the live nodes of its sender's failure domain and how long ago each was heard. Since
///   every node of a failure domain sends such reports, the state of one node is received many times as often
///   as its own heartbeats.
/// - A node counts as live while its last sign of life, its own or reported, is younger than
///   k_missed_heartbeats of the intervals at which its neighbours receive its heartbeats plus
///   k_missed_neighbour_reports of the intervals at which they report it, and at least for
///   k_min_liveness_timeout. Lookups list it until then.
/// - A failure domain of at least k_min_digest_nodes nodes reports its state to the others by digests
///   (domain_digest_p.h); heartbeats to other failure domains are then k_digest_heartbeat_divisor times less
///   frequent, and only rediscover nodes after a network partition.
///
/// Purpose: nodes that crash, are partitioned or stop in a fleet of hundreds, where callers that are sent to
/// a dead node wait a second for each connection. With 295 nodes in 9 failure domains a dead node of the
/// region counts as dead after 3.0 s instead of 11.8 s and a dead node of another region after 6.2 s instead
/// of 47 s, with two thirds of the datagrams between failure domains (computed; simulated by the model of a
/// fleet in the tests).
///
/// Scaling: the number of datagrams that a node sends is constant (computed: 35 per second with 9 nodes, 116
/// with 295 and with 7,776, of them 83 within the failure domain); the time until a crash is detected grows
/// with the size of a failure domain (60 ms per node) and, more slowly, of the fleet (4 ms per node in the
/// region, 15 ms in others); a heartbeat grows by 7 bytes for each node of the failure domain, for at most 32
/// nodes.
///
/// Alternatives:
/// - heartbeats to far nodes as often as to near ones: bytes between regions cost, and the state of far nodes
///   is outdated on arrival;
/// - an interval by the size of the whole fleet: the figures above;
/// - probes of random nodes with gossiped suspicion: loads and demand, which heartbeats carry, would need a
///   protocol of their own; not built.
///
/// Relies on failure domains of about the same size, since each node derives the intervals of the others from
/// its own view, and on nodes reporting only nodes of their own failure domain.
#pragma once

#include "steering/domain_digest_p.h"
#include "steering/node_heartbeat_p.h"

namespace larkrack
{
/// What a node sends at once to a node that it hears of for the first time.
enum class contact_reply
{
	none,         ///< Nothing: the node is already known.
	heartbeat,    ///< A heartbeat.
	introduction, ///< A heartbeat with addresses of other nodes, since the new node knows few.
};

/// The rule for one fleet size.
class node_liveness
{
public:
	/// @param[in] _in_domain Other nodes of this node's failure domain.
	/// @param[in] _other_nodes All other nodes, including those of the failure domain.
	node_liveness(std::size_t _in_domain, std::size_t _other_nodes)
	    : m_in_domain(_in_domain), m_other_nodes(_other_nodes)
	{
	}
	static proximity proximity_of(const node_heartbeat& _own, const node_heartbeat& _other);
	/// @returns Whether this node's failure domain reports its state to the others by digests.
	bool sends_digests() const
	{
		return uses_digests(m_in_domain + 1);
	}
	/// @returns Time between two heartbeats to a node of the own failure domain.
	std::chrono::milliseconds interval() const;
	/// @returns Number of heartbeats of which a node of that proximity gets one.
	int heartbeat_divisor(proximity _where) const;
	/// The schedule also differs by sender, so that the reports of a failure domain are spread over time.
	/// @returns Whether a node gets the heartbeat with this sequence number.
	bool is_heartbeat_due(
	    const node_name& _sender, const node_name& _node, std::uint64_t _sequence, proximity _where) const;
	/// @returns Whether the heartbeat with this sequence number includes the addresses of other nodes.
	bool includes_addresses(std::uint64_t _sequence) const;
	/// @returns Whether nodes of other failure domains get fewer heartbeats than those of the own failure
	/// domain.
	bool is_large() const
	{
		return heartbeat_divisor(proximity::region) > 1;
	}
	/// @returns Whether heartbeats report the other nodes of the failure domain.
	bool includes_neighbours() const
	{
		return is_large();
	}
	/// @returns Timeout of a node by its own heartbeats, without reports of others.
	std::chrono::milliseconds direct_liveness_timeout(proximity _where) const;
	/// @returns Number of nodes of the failure domain that one heartbeat reports, different ones each time.
	static std::size_t neighbours_per_heartbeat(std::size_t _known);
	/// @param[in] _domain_peers Other nodes of its failure domain.
	/// @returns Timeout of a node by all signs of life, its own heartbeats or reports of others.
	std::chrono::milliseconds liveness_timeout(proximity _where, std::size_t _domain_peers) const;
	/// A new node gets a reply at once from each node that receives its heartbeat, instead of at that node's
	/// scheduled heartbeat, which is later the larger the fleet is: all of 295 nodes know each other 1 s
	/// after a simultaneous start instead of 9 s.
	/// @param[in] _its Number of addresses in the first heartbeat of the new node.
	/// @param[in] _ours Number of addresses that this node could report to it, without its own.
	static contact_reply reply_to_new_node(std::size_t _its, std::size_t _ours);
	/// @returns Whether an address that never replied still gets each heartbeat after that many tries.
	static bool is_tried_each_heartbeat(int _tries);
	/// @returns Whether the node is to be removed from the table.
	static bool forgotten(steady_time::duration _silence);
	/// @param[in] _last Newest heartbeat of the node so far.
	/// @param[in] _alive Whether that incarnation counts as live.
	/// @returns Whether a heartbeat is older than the last one. Datagrams may be reordered; but a node whose
	/// wall clock went back has a lower incarnation, and is accepted once its former incarnation has timed
	/// out.
	static bool outdated(const node_heartbeat& _heartbeat, const node_heartbeat& _last, bool _alive);

private:
	std::size_t m_in_domain;
	std::size_t m_other_nodes;
};
} // namespace larkrack
