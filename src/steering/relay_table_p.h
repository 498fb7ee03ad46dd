// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Relay table: which other node forwards a request to a backend server that this node cannot reach, and
/// which nodes to ask whether they can.
///
/// Inputs: the live nodes that take requests (address, region, failure domain); the reports of nodes about
/// their own paths, with the age of each; refusals and failures of relays; the regions that a request must
/// stay in; the time (steady clock).
///
/// Algorithm:
/// - A node is a relay for a failure domain of backend servers while a report of it, at most
///   k_max_path_report_age old, states contact with that failure domain within k_max_contact_age. A node that
///   refused or could not be reached is none for k_refusal_time.
/// - Among the relays, those of this node's region are used, else those of the backend server's region, else
///   any, each time a random one, so that the load is spread. Requests with home regions use only relays in
///   these.
/// - While no path is broken nobody is asked. While one is, k_near_queries nodes of this region and
///   k_far_queries others, random ones, are asked at each k_query_interval, so that the number of messages
///   does not grow with the fleet; nodes whose report is still young are not asked again.
///
/// Alternatives (docs/DECISIONS.md): look-ups that leave out nodes with broken paths; paths stated in each
/// heartbeat.
///
/// Relies on its owner to send the queries and to call the on_ functions.
#pragma once

#include "steering/names_p.h"

#include "base/clock_p.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace larkrack
{
/// Maximum age of a report about paths, milliseconds. Longer: requests are sent to relays that have lost
/// their paths. Shorter: more queries.
constexpr std::chrono::milliseconds k_max_path_report_age{2000};
/// Maximum time since a relay's own contact with a failure domain, milliseconds, at the time of its report.
constexpr std::chrono::milliseconds k_max_contact_age{1000};
/// Time for which a node that refused or was not reached is no relay, milliseconds.
constexpr std::chrono::milliseconds k_refusal_time{1000};
/// Interval between two rounds of queries while a path is broken, milliseconds.
constexpr std::chrono::milliseconds k_query_interval{250};
/// Nodes of this region that are asked in each round.
constexpr std::size_t k_near_queries = 3;
/// Nodes of other regions that are asked in each round.
constexpr std::size_t k_far_queries = 2;
/// Relays from which on no further nodes are asked, only those whose reports get old.
constexpr std::size_t k_enough_relays = 8;

/// Another node that may forward requests.
struct relay_candidate
{
	std::string ip;
	region_name region;
	domain_name domain;
};

/// Age of a node's last direct contact with a failure domain of backend servers.
struct contact_ages
{
	std::chrono::milliseconds contact{0};  ///< Since a connection was established or a response arrived.
	std::chrono::milliseconds response{0}; ///< Since a response arrived.
};
/// What a node states about its own paths, by failure domain of backend servers. Failure domains without
/// contact are missing.
using path_report = std::map<domain_name, contact_ages>;

/// A backend server for which a relay is needed.
struct relay_query
{
	domain_name domain;     ///< Failure domain of the backend server.
	region_name region;     ///< Region of the backend server.
	region_name own_region; ///< Region of this node.
	/// Only nodes that get responses: this node can connect, and gets none.
	bool needs_responses = false;
	/// Regions that the request must stay in; null or empty: any.
	const std::vector<std::string>* homes = nullptr;
};

/// Reports of other nodes, and the choice among them.
class relay_table
{
public:
	void on_report(const relay_candidate& _node, path_report _report, steady_time _now);
	/// A query or a relayed request was refused by the node, or did not reach it.
	void on_refused(const std::string& _ip, steady_time _now);
	/// @returns A relay for a backend server; null when there is none. Valid until the next on_report().
	const relay_candidate* choose(
	    const relay_query& _query, std::minstd_rand& _random, steady_time _now) const;
	/// @returns Whether any relay is known for a failure domain.
	bool any_for(const domain_name& _domain, bool _needs_responses, steady_time _now) const;
	/// @param[in] _nodes The live nodes that take requests.
	/// @returns Nodes to ask in this round.
	std::vector<relay_candidate> nodes_to_ask(std::vector<relay_candidate> _nodes,
	    const region_name& _own_region, std::minstd_rand& _random, steady_time _now) const;
	/// Removes reports that are too old to be used.
	void tick(steady_time _now);

private:
	struct known_node
	{
		relay_candidate node;
		path_report report;
		steady_time reported_at{};
		steady_time refused_until{};
	};
	static bool reaches(
	    const known_node& _known, const domain_name& _domain, bool _needs_responses, steady_time _now);

	std::map<std::string, known_node> m_known; ///< By address.
};
} // namespace larkrack
