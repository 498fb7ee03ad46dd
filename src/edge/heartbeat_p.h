// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Datagram by which nodes tell each other that they are there, and its CBOR codec.
#pragma once

#include "backend_registry_p.h"

#include "larkrack/outcome.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace larkrack
{
/// What a node is ready for.
enum class node_state : std::uint8_t
{
	starting, ///< It has no configuration yet.
	ready,
	stopping,
};

/// Datagram of one node.
struct edge_heartbeat
{
	std::string node;
	std::uint64_t incarnation = 0; ///< Grows with each start of the node.
	std::uint64_t sequence = 0;    ///< Grows with each heartbeat of an incarnation.
	std::string domain;
	std::string region;
	std::string ip;
	std::string callers; ///< Address for callers' requests, "IP:port".
	node_state state = node_state::starting;
	std::uint64_t config_version = 0;
	std::int64_t store_revision = 0; ///< Up to which it knows the store's keys.
	bool store_reached = true;       ///< Whether the store answered its last call.
	/// Milliseconds since the store answered it; nothing when it never did.
	std::optional<std::int64_t> store_answer_age_ms;
	std::map<std::string, double> requests_per_s; ///< By service.
	/// Requests a second that this node sends to each region, by service.
	std::map<std::string, std::map<std::string, double>> sent_per_s;
	in_flight_counts in_flight;         ///< At each backend server.
	std::vector<std::string> known_ips; ///< Other nodes; how nodes find each other.
};

/// @returns The heartbeat as CBOR.
std::vector<std::uint8_t> encode(const edge_heartbeat& _heartbeat);
/// @returns The heartbeat, or an error when the bytes are none.
result<edge_heartbeat> decode_heartbeat(const std::uint8_t* _data, std::size_t _size);
} // namespace larkrack
