// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/retry_budget_p.h"

#include <algorithm>

namespace larkrack
{
retry_budget::interval& retry_budget::current(steady_time _now)
{
	while (!m_intervals.empty() &&
	       std::max(m_intervals.front().begin, m_intervals.front().end) + m_limits.window <= _now)
	{
		m_intervals.pop_front();
	}
	if (m_intervals.empty() || m_intervals.back().begin + m_limits.window / k_retry_window_intervals <= _now)
	{
		m_intervals.push_back({_now, {}, 0, 0});
	}
	return m_intervals.back();
}

void retry_budget::earn(steady_time _now)
{
	++current(_now).first_attempts;
}

retry_counts retry_budget::counts(steady_time _now) const
{
	retry_counts counts;
	for (const interval& slice : m_intervals)
	{
		counts.first_attempts += slice.begin + m_limits.window > _now ? slice.first_attempts : 0;
		counts.retries += slice.end + m_limits.window > _now ? slice.retries : 0;
	}
	const double used = _now < m_full_from ? k_retry_used_fraction_at_start : k_retry_used_fraction;
	counts.allowed =
	    used * m_limits.ratio * counts.first_attempts + k_slack_used_fraction * m_slack_part * m_limits.slack;
	return counts;
}

bool retry_budget::spend(steady_time _now)
{
	interval& last = current(_now);
	const retry_counts window = counts(_now);
	if (window.retries + 1 > window.allowed)
	{
		return false;
	}
	++last.retries;
	last.end = _now;
	return true;
}
} // namespace larkrack
