// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Retry budget: decides whether this node may retry a request of a service.
///
/// Decides on each retry of a request that a backend server may have seen. Inputs: the limits that the
/// settings give for all nodes together (retries per first attempt, and a slack of further retries, both
/// within a sliding window), the number of nodes, and this node's own first attempts and retries of the
/// service.
///
/// Algorithm: a budget over a sliding window. With r the ratio and s the slack, a retry is granted while
/// `retries + 1 <= k_retry_used_fraction * (r * first attempts + s / nodes)` over the last window. The ratio
/// needs no division, because each node earns retries by its own first attempts. The slack is divided by the
/// maximum number of nodes ever seen at once, so a node that is cut off keeps to its share.
///
/// Owns the counts of the last window. Relies on the caller to count each first attempt once (earn) and to
/// ask before each retry (spend). attempt_rules_p.h decides which retries need the budget at all.
#pragma once

#include "base/clock_p.h"

#include <deque>

namespace larkrack
{
/// Fraction of the permitted retries that is used. For an external observer a first attempt and its retry may
/// fall into different windows; the unused rest covers that. A smaller fraction would refuse requests that a
/// retry could serve.
constexpr double k_retry_used_fraction = 0.75;
/// Number of intervals of a window. More: the counts follow the window more closely, but need more memory for
/// each service.
constexpr int k_retry_window_intervals = 10;

/// Limits on the retries of one service by all nodes together, as the settings give them.
struct retry_limits
{
	double ratio = 0.0;                  ///< Retries per first attempt in any window.
	double slack = 0.0;                  ///< Further retries in any window, by all nodes together.
	std::chrono::milliseconds window{0}; ///< Length of a window.
};

/// This node's share of the retries of one service.
class retry_budget
{
public:
	/// @param[in] _limits Limits of all nodes together. There is no slack until set_nodes() was called.
	explicit retry_budget(const retry_limits& _limits)
	    : m_ratio(k_retry_used_fraction * _limits.ratio),
	      m_total_slack(k_retry_used_fraction * _limits.slack), m_window(_limits.window)
	{
	}
	/// Sets the number of nodes that share the slack; less than one counts as one.
	void set_nodes(double _nodes);
	/// Counts a first attempt.
	void earn(steady_time _now);
	/// @returns Whether a retry may be made; if so, it is counted.
	bool spend(steady_time _now);

private:
	struct interval
	{
		steady_time begin{};
		int first_attempts = 0;
		int retries = 0;
	};
	/// @returns The current interval; removes those before the window.
	interval& current(steady_time _now);

	double m_ratio;
	double m_total_slack;
	double m_slack = 0.0;
	std::chrono::milliseconds m_window;
	std::deque<interval> m_intervals;
};
} // namespace larkrack
