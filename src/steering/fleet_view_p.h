// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Fleet view: what the decisions about a request ask of the other nodes.
///
/// Relies on fleet to implement it from heartbeats; a test gives fixed answers.
#pragma once

#include "backend_choice_p.h"

#include <map>
#include <string>

namespace larkrack
{
/// What the decisions about a request ask of the fleet of nodes.
class fleet_view_base : public warmup_sharing_base
{
public:
	/// @returns Nodes that draw from shared budgets.
	virtual sharing sharers() const = 0;
	/// @returns Requests a second for a service, by region of the nodes that took them; this node left out.
	virtual std::map<std::string, double> demand_of_others(const std::string& _service) const = 0;
	/// @returns This node's part of the slots of a service's backend servers in a region, by what each node
	/// sends there.
	virtual slot_portion portion(const std::string& _service, const std::string& _region) const = 0;
};
} // namespace larkrack
