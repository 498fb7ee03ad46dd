// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Retry budget: whether this node may send a request of a service once more.
///
/// Decides on each retry of a request that a backend server may have seen. Inputs: the limits that the
/// settings give for all nodes together (retries per first try, and a slack of further retries, both within a
/// sliding window), the number of nodes, and this node's own first tries and retries of the service.
///
/// Rule: a sliding-window budget. With r the ratio and s the slack, a retry is granted while
/// `retries + 1 <= k_retry_used_part * (r * first tries + s / nodes)` over the last window. The ratio needs
/// no division, because each node earns by its own first tries; the slack is divided by the most nodes ever
/// seen at once, so a node that is cut off keeps to its part.
///
/// Other ways: none was measured.
///
/// Relies on: the caller counts each first try once (earn) and asks before each retry (spend). Which retries
/// need the budget at all is decided in attempt_rules_p.h.
#pragma once

#include "base/clock_p.h"

#include <deque>

namespace larkrack
{
/// Part of the permitted retries that is used, no unit. A first try and its retry may fall into different
/// windows of whoever counts from outside; the rest covers that, and a smaller part would refuse requests
/// that a retry could serve. Not measured.
constexpr double k_retry_used_part = 0.75;
/// Intervals into which a window is divided. More follow the window closer and cost memory for each service.
/// Not measured.
constexpr int k_retry_window_intervals = 10;

/// What all nodes together may spend on retries of one service, as the settings give it.
struct retry_limits
{
	double ratio = 0.0;                  ///< Retries for each first try in any window.
	double slack = 0.0;                  ///< Further retries in any window, of all nodes together.
	std::chrono::milliseconds window{0}; ///< Length of a window.
};

/// This node's part of the retries of one service.
class retry_budget
{
public:
	/// @param[in] _limits Of all nodes. There is no slack until set_nodes() was called.
	explicit retry_budget(const retry_limits& _limits)
	    : m_ratio(k_retry_used_part * _limits.ratio), m_slack_of_all(k_retry_used_part * _limits.slack),
	      m_window(_limits.window)
	{
	}
	/// Sets among how many nodes the slack is divided; less than one counts as one.
	void set_nodes(double _nodes);
	/// Counts a first try.
	void earn(steady_time _now);
	/// @returns Whether a retry may be made; it is then counted.
	bool spend(steady_time _now);

private:
	struct interval
	{
		steady_time begin{};
		int first_tries = 0;
		int retries = 0;
	};
	interval& current(steady_time _now);

	double m_ratio;
	double m_slack_of_all;
	double m_slack = 0.0;
	std::chrono::milliseconds m_window;
	std::deque<interval> m_intervals;
};
} // namespace larkrack
