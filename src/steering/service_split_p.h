// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Service split: chooses the service of each request of a route with several targets.
///
/// Input: the targets with their weights (no unit, any sum). Algorithm: smooth weighted round robin. Each
/// request adds every target's fraction of the weights to its credit; the target with the highest credit is
/// chosen and pays 1, so every prefix of the request sequence keeps to the weights. A target of weight 0 is
/// never chosen while another target has weight.
///
/// Alternatives: a random draw by weight deviates from the weights in short runs, when a canary gets few
/// requests.
///
/// Owns the credits of one route. Relies on its owner to keep one object for each route.
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
	/// @param[in] _targets At least one; targets may come and go between calls.
	/// @returns The chosen target.
	const route_target& next(const std::vector<route_target>& _targets);

private:
	std::map<std::string, double> m_credit; ///< By service.
};
} // namespace larkrack
