// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Peak rates: the highest request rate of each region in the recent past, for one service.
///
/// Region plans for requests with an affinity key (region_plan_p.h) use these peaks as the demand. Inputs:
/// requests per second by region, and the time (steady clock).
///
/// Algorithm: a maximum that decays exponentially; a rate above the maximum replaces it at once. A key that
/// is placed in another region runs once on a backend server that has no state for it, so the placement
/// follows the peaks of demand and not each short change.
///
/// Owns the decaying maxima. Relies on the caller to update them at a steady interval.
#pragma once

#include "steering/rates_p.h"

#include "base/clock_p.h"

namespace larkrack
{
/// Time constant of the decay, in seconds. Longer: keys are moved less often. Shorter: keys return to their
/// home region sooner after a burst.
constexpr double k_peak_time_constant_s = 30.0;

/// Decaying maxima of the request rates of one service.
class peak_rates
{
public:
	/// Decays the maxima and raises them to the current rates.
	/// @returns The peak of each region; a region without a current rate keeps its decaying peak.
	const rate_by_region& update(const rate_by_region& _per_s, steady_time _now);

private:
	rate_by_region m_peaks;
	steady_time m_updated_at{};
};
} // namespace larkrack
