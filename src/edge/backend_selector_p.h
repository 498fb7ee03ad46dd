// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Chooses a backend server for one request.
#pragma once

#include "backend_state_p.h"
#include "routing_table_p.h"

#include <cstdint>
#include <string>
#include <vector>

namespace larkrack
{
/// A node's part of the slots of each backend server: the part of [0, 1) between two ends. The parts of all
/// nodes lie side by side.
struct slot_portion
{
	double begin = 0.0;
	double end = 1.0;

	/// @returns Slots of one backend server that are this node's own. Where the part is no whole number of
	/// slots, the nodes take turns over the backend servers.
	int slots_of(const backend_state& _backend) const;
};

/// What is asked for.
struct selection
{
	const std::vector<backend_state*>* candidates = nullptr;
	std::string region;         ///< Where it shall run.
	std::string own_region;     ///< Region of this node.
	std::string nearest_domain; ///< Failure domain that is preferred; empty: none.
	std::uint64_t affinity = 0; ///< Hash of the affinity key; 0: none.
	double key_share = 0.0;     ///< Part of the service's requests that have this key.
	slot_portion portion;       ///< Slots that this node may use whatever other nodes do.
	std::vector<std::string> tried;
};

/// How many nodes draw from the budgets of a backend server.
struct sharing
{
	double nodes = 1.0; ///< All nodes.
};

/// Tells which nodes send to cold backend servers.
class warmup_sharing_base
{
public:
	virtual ~warmup_sharing_base() = default;
	/// @returns This node's part, 0 to 1, of what a cold backend server of its region bears. The parts of all
	/// nodes never sum up to much more than 1, whatever each of them sees.
	virtual double warmup_part(const backend_state& _backend) const = 0;
};

/// Bounds of a service that hold over all nodes.
struct service_bounds
{
	double warmup_requests_per_s = 0.0; ///< 0: no limit.
	int max_connections = 0;            ///< 0: no limit.
};

/// Chooses among backend servers that have a free slot, by rendezvous hashing when there is an affinity key,
/// else by load. Counts what it grants against the budget of cold backend servers.
///
/// A key stays on one backend server, or on as many as its share of the requests needs: one that has seen the
/// key lately is several times as fast, and one that sees all keys remembers none. Spreading keys while
/// everything is busy would make all backend servers slow, which would keep everything busy. So a key leaves
/// its few only for a backend server that is half idle.
class backend_selector
{
public:
	/// @returns Null when none may take the request now.
	backend_state* select(const selection& _selection, const service_bounds& _bounds, const sharing& _sharing,
	    const warmup_sharing_base& _warmup, steady_time _now) const;
};
} // namespace larkrack
