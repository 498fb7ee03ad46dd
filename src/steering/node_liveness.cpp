// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/node_liveness_p.h"

#include "steering/rendezvous_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Milliseconds between two heartbeats in a small fleet. Longer: in-flight counts of other nodes are older,
/// and dead nodes are listed for longer. Shorter: more datagrams. 200 ms gains 0.003 of worth with 12 nodes
/// and costs 0.006 with 9 nodes and three slots each (docs/DECISIONS.md).
constexpr std::chrono::milliseconds k_min_heartbeat_interval{100};
/// Milliseconds that each other node that receives heartbeats at this interval adds to it: a node receives at
/// most 83 heartbeats per second from its failure domain, and 33 from the others. Longer: older state.
/// Shorter: more processor time of each node and, beyond the failure domain, more bytes.
constexpr std::chrono::milliseconds k_heartbeat_interval_per_node{12};
/// A node of another region gets one of this many heartbeats that a node of the same region gets. Higher
/// values: the crash of a far node is detected later. Lower values: more bytes between regions; with 1,
/// heartbeats were half of all bytes between regions of 12 nodes.
constexpr int k_far_heartbeat_divisor = 4;
/// Of this many heartbeat cycles over all nodes, one includes the addresses of other nodes, so that each node
/// receives them. Higher values: nodes discover each other later. Lower values: more bytes (a third of a
/// heartbeat of 12 nodes, half of a heartbeat of 65 nodes). The first heartbeats of a node always include
/// addresses.
constexpr int k_address_cycles = 4;
/// One of this many heartbeats includes addresses if failure domains report by digests.
constexpr std::uint64_t k_heartbeats_per_address_list = 16;
/// Factor by which heartbeats to other failure domains are less frequent if the sender's failure domain sends
/// digests. Higher values: the end of a network partition is detected later where no digest crosses it. Lower
/// values: more bytes.
constexpr int k_digest_heartbeat_divisor = 4;
/// Consecutive heartbeats to an address without any reply; after that the address gets heartbeats as often as
/// a node of the region. Higher values: more datagrams to nodes that are gone. Lower values: nodes that start
/// together discover each other later.
constexpr int k_max_frequent_tries = 8;
/// A new node is introduced if it knows less than one of this many addresses that this node could report.
/// Higher values: nodes that know few others are not introduced. Lower values: nodes that start together
/// exchange long replies.
constexpr std::size_t k_introduction_divisor = 2;
/// Heartbeat intervals without a sign of life after which a node counts as dead. Higher values: lookups list
/// it for longer. Lower values: a few lost datagrams remove a live node.
constexpr int k_missed_heartbeats = 5;
/// Mean intervals between two neighbour reports of a node that may pass without any. Higher values: a dead
/// node is listed for longer. Lower values: a live node is removed, since reports of many nodes arrive at
/// random times: the fraction of intervals longer than k times the mean is e^-k. With 3 and half of the
/// neighbours reported, 178 of 86,000 pairs of 295 nodes had a live node as dead at a time, with 5% of
/// datagrams lost.
constexpr int k_missed_neighbour_reports = 10;
/// Timeout of a node in a large failure domain, in half heartbeat intervals: reports of other nodes, 24 per
/// second for each node with 110 of them, make up for a lost heartbeat. Higher values: a dead node is listed
/// for longer. Lower values: a node that stalls for a moment is removed.
constexpr int k_report_timeout_half_intervals = 5;
/// Maximum number of nodes of the failure domain that one heartbeat reports. Higher values: larger datagrams
/// (7 bytes each). Lower values: crashes are detected later. All nodes of a failure domain of 33 are
/// reported.
constexpr std::size_t k_max_told_neighbours = 32;
/// Minimum timeout of a node, milliseconds. Longer: lookups list a dead node for longer. Shorter: a node that
/// gets no processor time for a moment counts as dead.
constexpr std::chrono::milliseconds k_min_liveness_timeout{900};
/// Seconds without a sign of life after which a node is removed from the table. Longer: nodes that were
/// replaced stay in the table and lengthen the interval. Shorter: a node that is partitioned for a while must
/// be discovered again.
constexpr std::chrono::seconds k_node_retention{60};

std::chrono::milliseconds interval_for(std::size_t _other_nodes)
{
	return std::max(k_min_heartbeat_interval, k_heartbeat_interval_per_node * static_cast<int>(_other_nodes));
}

/// @returns Timeout in a large failure domain, whose nodes report each other's state.
std::chrono::milliseconds neighbour_report_timeout(std::size_t _other_nodes)
{
	const std::chrono::milliseconds timeout =
	    interval_for(_other_nodes) * k_report_timeout_half_intervals / 2;
	return std::max(k_min_liveness_timeout, timeout);
}
} // namespace

proximity node_liveness::proximity_of(const node_heartbeat& _own, const node_heartbeat& _other)
{
	if (_other.region != _own.region)
	{
		return proximity::far;
	}
	return _other.domain == _own.domain ? proximity::domain : proximity::region;
}

std::chrono::milliseconds node_liveness::interval() const
{
	return interval_for(m_in_domain);
}

int node_liveness::heartbeat_divisor(proximity _where) const
{
	const int digest_factor = sends_digests() ? k_digest_heartbeat_divisor : 1;
	const int region_divisor = digest_factor * static_cast<int>(interval_for(m_other_nodes) / interval());
	switch (_where)
	{
	case proximity::domain:
		return 1;
	case proximity::region:
		return region_divisor;
	case proximity::far:
		break;
	}
	return k_far_heartbeat_divisor * region_divisor;
}

bool node_liveness::is_heartbeat_due(
    const node_name& _sender, const node_name& _node, std::uint64_t _sequence, proximity _where) const
{
	const std::uint64_t offset = rendezvous_weight(_node.text, rendezvous_weight(_sender.text, 0));
	return 0 == (offset + _sequence) % static_cast<unsigned>(heartbeat_divisor(_where));
}

std::size_t node_liveness::neighbours_per_heartbeat(std::size_t _known)
{
	return std::min(_known, k_max_told_neighbours);
}

bool node_liveness::includes_addresses(std::uint64_t _sequence) const
{
	if (sends_digests())
	{
		return 0 == _sequence % k_heartbeats_per_address_list;
	}
	const std::uint64_t cycle = _sequence / static_cast<unsigned>(heartbeat_divisor(proximity::far));
	return 0 == cycle % k_address_cycles;
}

std::chrono::milliseconds node_liveness::direct_liveness_timeout(proximity _where) const
{
	return std::max<std::chrono::milliseconds>(
	    k_min_liveness_timeout, k_missed_heartbeats * heartbeat_divisor(_where) * interval());
}

std::chrono::milliseconds node_liveness::liveness_timeout(proximity _where, std::size_t _domain_peers) const
{
	const std::chrono::milliseconds own_timeout = direct_liveness_timeout(_where);
	const std::chrono::milliseconds domain_timeout = std::max<std::chrono::milliseconds>(
	    k_min_liveness_timeout, k_missed_heartbeats * interval_for(_domain_peers));
	if (proximity::domain == _where && sends_digests())
	{
		return neighbour_report_timeout(m_in_domain);
	}
	if (proximity::domain != _where && uses_digests(_domain_peers + 1))
	{
		return neighbour_report_timeout(_domain_peers) + digest_timeout(_where);
	}
	if (proximity::domain == _where || !includes_neighbours() || 0 == _domain_peers)
	{
		return own_timeout;
	}
	const std::chrono::milliseconds report_interval =
	    heartbeat_divisor(_where) * interval() / static_cast<int>(neighbours_per_heartbeat(_domain_peers));
	return std::min(own_timeout, domain_timeout + k_missed_neighbour_reports * report_interval);
}

bool node_liveness::is_tried_each_heartbeat(int _tries)
{
	return _tries < k_max_frequent_tries;
}

contact_reply node_liveness::reply_to_new_node(std::size_t _its, std::size_t _ours)
{
	return k_introduction_divisor * _its < _ours ? contact_reply::introduction : contact_reply::heartbeat;
}

bool node_liveness::forgotten(steady_time::duration _silence)
{
	return _silence > k_node_retention;
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
