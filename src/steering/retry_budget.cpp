// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/retry_budget_p.h"

#include <algorithm>

namespace larkrack
{
void retry_budget::set_nodes(double _nodes)
{
	m_slack = m_total_slack / std::max(1.0, _nodes);
}

retry_budget::interval& retry_budget::current(steady_time _now)
{
	while (!m_intervals.empty() && m_intervals.front().begin + m_window <= _now)
	{
		m_intervals.pop_front();
	}
	if (m_intervals.empty() || m_intervals.back().begin + m_window / k_retry_window_intervals <= _now)
	{
		m_intervals.push_back({_now, 0, 0});
	}
	return m_intervals.back();
}

void retry_budget::earn(steady_time _now)
{
	++current(_now).first_attempts;
}

bool retry_budget::spend(steady_time _now)
{
	interval& last = current(_now);
	int first_attempts = 0;
	int retries = 0;
	for (const interval& slice : m_intervals)
	{
		first_attempts += slice.first_attempts;
		retries += slice.retries;
	}
	if (retries + 1 > m_ratio * first_attempts + m_slack)
	{
		return false;
	}
	++last.retries;
	return true;
}
} // namespace larkrack
