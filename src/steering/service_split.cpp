// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/service_split_p.h"

namespace larkrack
{
namespace
{
/// Weight, or sum of weights, that is a rounding error and counts as 0. Not a tuning value.
constexpr double k_min_weight = 1e-9;
/// Lower than any credit.
constexpr double k_lowest_credit = -1e300;
} // namespace

const route_target& service_split::next(const std::vector<route_target>& _targets)
{
	double sum = 0.0;
	for (const route_target& target : _targets)
	{
		sum += target.weight;
	}
	const route_target* chosen = &_targets.front();
	double best = k_lowest_credit;
	for (const route_target& target : _targets)
	{
		double& credit = m_credit[target.service];
		credit += sum > k_min_weight ? target.weight / sum : 0.0;
		if (target.weight > k_min_weight && credit > best)
		{
			chosen = &target;
			best = credit;
		}
	}
	m_credit[chosen->service] -= 1.0;
	return *chosen;
}
} // namespace larkrack
