// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Division of a service's traffic among regions: the plan, and a rate limit on what a region may gain.
///
/// Decides: which region serves a caller (mix::choose), with as many callers in their home region as the
/// shares allow (plan_mix), and how far shares may move now (mix_limiter).
/// Owns: nothing but the limiter's own history of shares, one window long. It is lost with the process;
/// control starts a new one from the recorded step and from what older nodes report.
/// Relies on: policy for region handles; control_shifts for targets and for which regions are open.
/// Units: shares, demands and parts from 0 to 1; cap is a share for each window; times in microseconds.
/// Reasons and figures: docs/DESIGN.md (Shifts), docs/MEASUREMENTS.md (rows shift and crash_region).
#pragma once

#include "base/clock_p.h"
#include "larkrackd/policy_p.h"

#include <deque>
#include <vector>

namespace larkrack
{
/// Part of the callers of each home region that goes to each region.
struct mix
{
	std::size_t regions = 0;
	std::vector<double> part; ///< [home * regions + destination]; each row's sum is 1.

	/// Chooses by a number that is the same for the same caller, so that few callers move at a step.
	/// @param[in] _point Number in [0, 1).
	region_handle choose(region_handle _home, double _point) const;
};

/// Keeps as many callers in their home region as the shares allow.
/// @param[in] _demand Share of callers that live nearest to each region.
/// @param[in] _shares Share that each region shall serve.
mix plan_mix(const std::vector<double>& _demand, const std::vector<double>& _shares);

/// Moves the share of drained or dead regions to the others, in proportion to theirs. When no region or every
/// region is open, the shares stay as they are.
/// @param[in] _open Whether each region may serve.
std::vector<double> without_closed(const std::vector<double>& _shares, const std::vector<bool>& _open);

/// @returns Whether two divisions are the same but for rounding.
bool is_same_division(const std::vector<double>& _a, const std::vector<double>& _b);

/// Limits what any region gains within one sliding window.
///
/// Losses are taken at once, gains only as the cap allows; what is lost by one region and not yet
/// gained by another stays unassigned and is refused.
/// @remarks The invariant is local. When every entry VM keeps it for its own mix, the sum keeps it too.
class mix_limiter
{
public:
	/// @param[in] _cap Share that a region may gain in one window.
	/// @param[in] _window Length of the window, with a margin for the spread of steps.
	mix_limiter(double _cap, std::chrono::microseconds _window) : m_cap(_cap), m_window(_window)
	{
	}
	/// Starts over from known shares: nothing was gained before.
	void reset(const std::vector<double>& _shares, steady_time _now);
	/// Changes cap and window; the memory of what was gained stays.
	void configure(double _cap, std::chrono::microseconds _window);
	/// Moves towards a target as far as the cap allows: a region gains at an even rate of cap for each
	/// window, and never more than cap above its lowest share within the window.
	/// @param[in] _open Whether each region may serve. An open one loses only what others gain; a closed one
	/// loses all at once.
	/// @returns Shares in force; their sum is 1 or less.
	const std::vector<double>& advance(
	    const std::vector<double>& _target, const std::vector<bool>& _open, steady_time _now);
	/// Takes a region's share down at once, as when it lost capacity; it is regained only as the cap allows.
	void lower(std::size_t _region, double _share, steady_time _now);
	/// @returns Shares in force.
	const std::vector<double>& current() const
	{
		return m_current;
	}

private:
	struct sample
	{
		steady_time at;
		std::vector<double> shares;
	};
	double lowest(std::size_t _region) const;

	double m_cap;
	std::chrono::microseconds m_window;
	std::vector<double> m_current;
	std::deque<sample> m_samples;
};
} // namespace larkrack
