// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// This node's part of budgets that all nodes share.
#pragma once

#include "../clock_p.h"

#include <deque>

namespace larkrack
{
/// Lets events through at a steady rate.
class token_bucket
{
public:
	/// Takes one token if there is one.
	/// @param[in] _per_s Rate at which tokens come.
	/// @param[in] _burst Most tokens that are saved up.
	bool take(double _per_s, double _burst, steady_time _now);

private:
	double m_tokens = 0.0;
	steady_time m_filled_at{};
};

/// Bounds repeats to a share of the first tries within a sliding window, and a few more.
class windowed_retry_budget
{
public:
	/// @param[in] _ratio Repeats for each first try in the window.
	/// @param[in] _slack Further repeats in the window.
	windowed_retry_budget(double _ratio, double _slack, std::chrono::milliseconds _window)
	    : m_ratio(_ratio), m_slack(_slack), m_window(_window)
	{
	}
	/// Counts a first try.
	void earn(steady_time _now);
	/// @returns Whether a repeat may be made; it is then counted.
	bool spend(steady_time _now);
	/// Sets the further repeats, when the number of nodes that share them has changed.
	void set_slack(double _slack)
	{
		m_slack = _slack;
	}

private:
	struct interval
	{
		steady_time begin{};
		int first_tries = 0;
		int repeats = 0;
	};
	interval& current(steady_time _now);

	double m_ratio;
	double m_slack;
	std::chrono::milliseconds m_window;
	std::deque<interval> m_intervals;
};
} // namespace larkrack
