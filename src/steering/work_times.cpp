// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/work_times_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Shortest work time that is assumed, seconds: a response can be faster than the round trip that is
/// deducted. Not a tuning value.
constexpr double k_min_work_time_s = 0.0001;
} // namespace

void work_times::on_answer(const work_sample& _sample)
{
	const double work_s = std::max(k_min_work_time_s, _sample.time_s / _sample.slowness);
	double& mean_s = _sample.own ? m_own_s : m_other_s;
	if (_sample.queued && work_s > mean_s)
	{
		return;
	}
	mean_s += k_work_time_weight * (work_s - mean_s);
}
} // namespace larkrack
