// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/slack_share_p.h"

namespace larkrack
{
double estimated_nodes(const fleet_extent& _extent)
{
	return static_cast<double>(_extent.nodes + _extent.unseen_domains * _extent.domain_nodes);
}

double slack_share(
    const fleet_extent& _extent, steady_time::duration _uptime, std::chrono::milliseconds _window)
{
	const bool alone = 1 == _extent.nodes && _extent.domains > 1;
	if (_uptime < _window || alone)
	{
		return 0.0;
	}
	return 1.0 / estimated_nodes(_extent);
}
} // namespace larkrack
