// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Distribution of a service's traffic among regions, and a rate limit on the share that a region may gain.
///
/// Decides: which region serves a caller (mix::choose), with as many callers in their home region as the
/// shares allow (plan_mix), and how far shares may move now (mix_limiter).
/// Owns: the limiter's history of shares, one window long. The history is lost with the process; control
/// initializes a new limiter from the recorded step and from the reports of nodes that run longer.
/// Relies on: policy for region handles; control_shifts for targets and for the set of open regions.
/// Units: shares, demands and fractions from 0 to 1; cap is a share per window; times in microseconds.
/// Reasons and figures: docs/DESIGN.md (Shifts), docs/MEASUREMENTS.md (rows shift and crash_region).
#pragma once

#include "base/clock_p.h"
#include "larkrackd/policy_p.h"

#include <deque>
#include <vector>

namespace larkrack
{
/// Fraction of the callers of each home region that each region serves.
struct mix
{
	std::size_t regions = 0;
	std::vector<double> part; ///< [home * regions + destination]; the sum of each row is 1.

	/// Selects the region of a caller. A caller always has the same point, so that few callers change region
	/// at a step of a shift.
	/// @param[in] _point Number in [0, 1), see caller_hash_point().
	/// @returns The region; invalid when the point falls into the unassigned fraction.
	region_handle choose(region_handle _home, double _point) const;
};

/// Computes a distribution that keeps as many callers in their home region as the shares allow.
/// @param[in] _demand Share of callers whose home is each region.
/// @param[in] _shares Share of traffic that each region should serve; a sum below 1 leaves the rest
/// unassigned.
mix plan_mix(const std::vector<double>& _demand, const std::vector<double>& _shares);

/// Moves the shares of closed (drained or failed) regions to the open ones, in proportion to the shares of
/// the open ones. When no region or every region is open, returns the shares unchanged.
/// @param[in] _open Whether each region may serve.
std::vector<double> redistribute_closed_shares(
    const std::vector<double>& _shares, const std::vector<bool>& _open);

/// @returns Whether two lists of shares are equal, apart from rounding errors.
bool are_shares_equal(const std::vector<double>& _a, const std::vector<double>& _b);

/// Limits the share that any region gains within one sliding window.
///
/// Losses of closed regions and by lower() take effect at once, gains only as far as the cap allows. A share
/// that one region lost and no other region has gained yet stays unassigned; its requests are refused.
/// @remarks The invariant is local: when every entry VM keeps it for its own mix, the total keeps it too.
class mix_limiter
{
public:
	/// @param[in] _cap Maximum share that a region may gain in one window.
	/// @param[in] _window Length of the window, including a margin for the spread of steps.
	mix_limiter(double _cap, std::chrono::microseconds _window) : m_cap(_cap), m_window(_window)
	{
	}
	/// Restarts from the given shares with an empty history.
	void reset(const std::vector<double>& _shares, steady_time _now);
	/// Changes cap and window; the history of shares is kept.
	void configure(double _cap, std::chrono::microseconds _window);
	/// Moves the shares towards a target: a region gains at a constant rate of cap per window, and is never
	/// more than cap above its minimum share within the window.
	/// @param[in] _open Whether each region may serve. An open region loses only what others gain; a closed
	/// region loses its whole share at once.
	/// @returns Current shares; their sum is 1 or less.
	const std::vector<double>& advance(
	    const std::vector<double>& _target, const std::vector<bool>& _open, steady_time _now);
	/// Lowers a region's share at once, for example when the region lost capacity. The share is regained only
	/// as fast as the cap allows.
	void lower(std::size_t _region, double _share, steady_time _now);
	/// @returns Current shares.
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
	double min_in_window(std::size_t _region) const;

	double m_cap;
	std::chrono::microseconds m_window;
	std::vector<double> m_current;
	std::deque<sample> m_samples;
};
} // namespace larkrack
