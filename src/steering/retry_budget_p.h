// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Retry budget: decides whether this node may retry a request of a service.
///
/// Decides on each retry of a request that a backend server may have seen. Inputs: the limits that the
/// settings give for all nodes together (retries per first attempt, and a slack of further retries, both
/// within a sliding window), this node's part of the slack (slack_share_p.h), and this node's own first
/// attempts and retries of the service.
///
/// Algorithm: a budget over a sliding window. With r the ratio and s the slack, a retry is granted while
/// `retries + 1 <= k_retry_used_fraction * r * first attempts + k_slack_used_fraction * part * s` over the
/// last window. The ratio needs no division, because each node earns retries by its own first attempts.
/// Intervals of first attempts are forgotten when their begin is a window old, intervals of retries when
/// their end is, so that the counts err on the side of fewer retries. In the first window of its life,
/// k_retry_used_fraction_at_start applies: the node before it may have used its budget up, and nobody tells.
///
/// Alternatives (retry_budget_model_test, highest use of the budget of all nodes, 1 is allowed):
/// - intervals of retries that are forgotten with their begin: the budget is granted again nine tenths of a
///   window later;
/// - the whole ratio from the start on: what was spent before a kill is spent again.
///
/// Owns the counts of the last window. Relies on the caller to count each first attempt once (earn) and to
/// ask before each retry (spend). attempt_rules_p.h decides which retries need the budget at all.
#pragma once

#include "base/clock_p.h"

#include <deque>
#include <optional>

namespace larkrack
{
/// Fraction of the permitted retries that is used. For an external observer a first attempt and its retry may
/// fall into different windows; the unused rest covers that. A smaller fraction would refuse requests that a
/// retry could serve.
constexpr double k_retry_used_fraction = 0.75;
/// Fraction of the permitted retries that is used in the first window of a node's life: what
/// k_retry_used_fraction leaves. Larger: the retries of a life and of the one before it exceed the budget.
constexpr double k_retry_used_fraction_at_start = 1.0 - k_retry_used_fraction;
/// Fraction of the slack that is used. Larger: nodes that have not heard of a few others exceed it together.
/// Smaller: services with few requests get fewer retries.
constexpr double k_slack_used_fraction = 0.95;
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

/// Counts of a budget over the last window.
struct retry_counts
{
	int first_attempts = 0;
	int retries = 0;
	double allowed = 0.0; ///< Retries that this node may make in the window.
};

/// This node's share of the retries of one service.
class retry_budget
{
public:
	/// @param[in] _limits Limits of all nodes together. There is no slack until set_slack_part() was called.
	explicit retry_budget(const retry_limits& _limits) : m_limits(_limits)
	{
	}
	/// Sets the part of the slack that this node may use, 0 to 1.
	void set_slack_part(double _part)
	{
		m_slack_part = _part;
	}
	/// Sets the time until which a life before this one may have spent what its node may spend; by default
	/// there was none.
	void set_full_from(steady_time _at)
	{
		m_full_from = _at;
	}
	/// Counts a first attempt.
	void earn(steady_time _now);
	/// @returns Whether a retry may be made; if so, it is counted.
	bool spend(steady_time _now);
	/// @returns Counts of the window that ends now.
	retry_counts counts(steady_time _now) const;

private:
	struct interval
	{
		steady_time begin{};
		steady_time end{}; ///< Time of the latest retry.
		int first_attempts = 0;
		int retries = 0;
	};
	/// @returns The current interval; removes those before the window.
	interval& current(steady_time _now);

	retry_limits m_limits;
	double m_slack_part = 0.0;
	steady_time m_full_from{};
	std::deque<interval> m_intervals;
};
} // namespace larkrack
