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
/// What the decisions about a request ask of the fleet of nodes.
class fleet_view_base : public warmup_sharing_base
{
public:
	/// @returns Nodes that draw from shared budgets.
	virtual sharing sharers() const = 0;
	/// @returns Requests a second for a service, by region of the nodes that took them; this node left out.
	virtual rate_by_region demand_of_others(const service_name& _service) const = 0;
	/// @returns This node's part of the slots of a service's backend servers in a region, by what each node
	/// sends there.
	virtual slot_portion portion(const service_name& _service, const region_name& _region) const = 0;
};
} // namespace larkrack
