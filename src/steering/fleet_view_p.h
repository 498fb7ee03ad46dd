// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Fleet view: what the decisions about a request ask of the other nodes.
///
/// Relies on fleet to implement it from heartbeats; a test gives fixed answers.
#pragma once

#include "steering/backend_choice_p.h"
#include "steering/node_heartbeat_p.h"

namespace larkrack
{
/// A node that lends tokens.
struct quota_holder
{
	std::string ip;              ///< Empty: this node.
	std::uint32_t name_hash = 0; ///< short_hash of its name; 0: there is none.
};

/// The lenders of one thing: of a customer, or of a backend server.
struct quota_holders
{
	quota_holder first;
	quota_holder stand_in;
};

/// Nodes that may lend.
struct nodes_in_sight
{
	double live = 1.0;         ///< That take requests, this one among them.
	double most = 1.0;         ///< Most nodes ever seen at once.
	std::uint64_t version = 0; ///< Grows when one comes or goes.
};

/// What the decisions about a request ask of the fleet of nodes.
class fleet_view_base : public warmup_sharing_base
{
public:
	/// @returns Nodes that draw from shared budgets.
	virtual sharing sharers() const = 0;
	/// @returns Requests a second for a service, by region of the nodes that took them; this node left out.
	virtual rate_by_region demand_of_others(const service_name& _service) const = 0;
	/// @returns Requests a second for a service that may run in one region only, by that region; this node
	/// left out.
	virtual rate_by_region bound_of_others(const service_name& _service) const = 0;
	/// @returns This node's part of the slots of a service's backend servers in a region, by what each node
	/// sends there.
	virtual slot_portion portion(const service_name& _service, const region_name& _region) const = 0;
	/// @param[in] _customer customer::id.
	virtual quota_holders holders_of(std::uint64_t _customer) const = 0;
	virtual nodes_in_sight in_sight() const = 0;
	/// @param[in] _thing Hash of what is lent, the same at all nodes.
	/// @returns The lenders among the nodes of one region; without any in sight, name_hash of the first is 0.
	virtual quota_holders holders_in(const region_name& _region, std::uint64_t _thing) const = 0;
	/// @returns The same as in_sight(), of this region's nodes alone.
	virtual nodes_in_sight in_sight_of_region() const = 0;
	/// @returns Addresses of the other nodes of this region that answer.
	virtual std::vector<std::string> region_addresses() const = 0;
};
} // namespace larkrack
