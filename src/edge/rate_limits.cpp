// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "rate_limits_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Parts of a window that are counted apart.
constexpr int k_intervals = 10;
} // namespace

bool token_bucket::take(double _per_s, double _burst, steady_time _now)
{
	// A new bucket is empty: many nodes that begin at once must not spend a token each.
	if (steady_time{} != m_filled_at)
	{
		const double passed = std::chrono::duration<double>(_now - m_filled_at).count();
		m_tokens = std::min(_burst, m_tokens + passed * _per_s);
	}
	m_filled_at = _now;
	if (m_tokens < 1.0)
	{
		return false;
	}
	m_tokens -= 1.0;
	return true;
}

windowed_retry_budget::interval& windowed_retry_budget::current(steady_time _now)
{
	while (!m_intervals.empty() && m_intervals.front().begin + m_window <= _now)
	{
		m_intervals.pop_front();
	}
	if (m_intervals.empty() || m_intervals.back().begin + m_window / k_intervals <= _now)
	{
		m_intervals.push_back({_now, 0, 0});
	}
	return m_intervals.back();
}

void windowed_retry_budget::earn(steady_time _now)
{
	++current(_now).first_tries;
}

bool windowed_retry_budget::spend(steady_time _now)
{
	interval& last = current(_now);
	int first_tries = 0;
	int repeats = 0;
	for (const interval& one : m_intervals)
	{
		first_tries += one.first_tries;
		repeats += one.repeats;
	}
	if (repeats + 1 > m_ratio * first_tries + m_slack)
	{
		return false;
	}
	++last.repeats;
	return true;
}
} // namespace larkrack
