// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Node heartbeat: the state that each node reports to the others and that fleet decisions read. It is
/// encoded in heartbeat_p.h.
#pragma once

#include "steering/names_p.h"
#include "steering/rates_p.h"

#include "base/clock_p.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace larkrack
{
/// Readiness of a node.
enum class node_state : std::uint8_t
{
	starting, ///< No configuration is loaded yet.
	ready,
	stopping,
};

/// Number of requests of one node at one backend server.
struct in_flight_count
{
	std::uint32_t id_hash = 0; ///< short_hash of the backend server's id.
	int in_flight = 0;         ///< Requests.
};
/// Requests of one node at all backend servers.
using in_flight_counts = std::vector<in_flight_count>;

/// What a node reports of another node of its failure domain.
struct neighbour_status
{
	std::uint32_t name_hash = 0; ///< short_hash of that node's name.
	node_state state = node_state::starting;
	std::chrono::milliseconds age{0}; ///< Time since the reporting node last heard of it.
};

/// Heartbeat of one node.
struct node_heartbeat
{
	node_name node;
	std::uint64_t incarnation = 0; ///< Increases with each start of the node.
	std::uint64_t sequence = 0;    ///< Increases with each heartbeat of an incarnation.
	domain_name domain;
	region_name region;
	std::string ip;
	std::string callers; ///< Address for callers' requests, "IP:port".
	node_state state = node_state::starting;
	std::uint64_t config_version = 0;
	std::int64_t store_revision = 0; ///< Store revision up to which the node knows all keys.
	bool store_reached = true;       ///< Whether its last call to the store succeeded.
	/// Time since the store last responded to it; nothing if it never did.
	std::optional<std::chrono::milliseconds> store_answer_age;
	rate_by_service requests_per_s;        ///< First attempts of callers at this node.
	rate_by_service_and_region sent_per_s; ///< Requests with an affinity key, by the region where they run.
	in_flight_counts in_flight;
	std::vector<std::string> known_ips; ///< Addresses of other nodes, for discovery.
	/// Live nodes of its failure domain, reported to nodes that receive their heartbeats less often.
	std::vector<neighbour_status> neighbours;

	/// Drops the lists that are processed once and not read again: 3 KB for each node of a large fleet.
	void clear_lists()
	{
		known_ips = {};
		neighbours = {};
		in_flight = {};
	}
};

/// Location of another node relative to this one.
enum class proximity
{
	domain, ///< The node is in the same failure domain.
	region, ///< The node is in another failure domain of the region.
	far,    ///< The node is in another region.
};

/// Properties that all other nodes of one failure domain share.
struct failure_domain_view
{
	proximity where = proximity::far;
	std::size_t nodes = 0; ///< Other nodes that are known.
	/// Time without a sign of life after which a node counts as dead.
	steady_time::duration liveness_timeout{};
};

/// Another node, as known from its heartbeats.
struct fleet_member
{
	node_heartbeat last;
	const failure_domain_view* domain = nullptr;
	steady_time heard_at{};      ///< When its last heartbeat was received.
	steady_time last_seen_at{};  ///< Last sign of life: its own heartbeat or a report of its neighbours.
	std::uint32_t name_hash = 0; ///< short_hash of its name.
	bool logged_alive = false;   ///< State that was last logged.
};
} // namespace larkrack
