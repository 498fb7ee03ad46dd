// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Service split: which of a route's services gets a request.
///
/// Decides the service of each request of a route with several targets. Input: the targets with their weights
/// (no unit, any sum). Rule: smooth weighted round robin. Each request adds every target's part of the
/// weights to its credit, the target with the highest credit is chosen and pays 1; so every prefix of the
/// sequence keeps to the weights. A target of weight 0 is never chosen while another has weight.
///
/// Other ways: a random draw by weight was not measured; it strays in short runs, when a canary gets few
/// requests.
///
/// Relies on one object for each route.
#pragma once

#include "steering/routing_table_p.h"

#include <map>
#include <vector>

namespace larkrack
{
/// Divides the requests of one route.
class service_split
{
public:
	/// @param[in] _targets At least one; a target may come and go between calls.
	/// @returns The chosen one.
	const route_target& next(const std::vector<route_target>& _targets);

private:
	std::map<std::string, double> m_credit; ///< By service.
};
} // namespace larkrack
