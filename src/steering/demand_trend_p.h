// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Demand trend: the request rate of each region that is expected by the time a shift between regions takes
/// effect, for one service.
///
/// Answers demand that rises faster than shares may move: a region with few slots whose callers come in waves
/// is full before its shares by the measured rate have reached the plan. Inputs: requests per second by
/// region (moving averages, see demand_meter_p.h), and the time (steady clock).
///
/// Algorithm: the slope of a straight line through the rates of the last k_trend_window. A rising rate is
/// extrapolated by the time by which the moving average trails it and by k_trend_lead, and by no more than
/// k_max_trend_gain. A falling rate is returned as it is: requests that return home early run cold there.
///
/// Alternatives: a shorter moving average alone follows each random deviation of small services, and still
/// trails the rise by the time that the permitted shift takes.
///
/// Relies on the caller to update it at a steady interval.
#pragma once

#include "steering/rates_p.h"

#include "base/clock_p.h"

#include <deque>

namespace larkrack
{
/// Time over which the slope of a rate is measured. Longer: the forecast follows a wave later. Shorter:
/// random deviations are taken for a rise.
constexpr std::chrono::milliseconds k_trend_window{3000};
/// Minimum time between two samples of a rate, which bounds the samples in memory.
constexpr std::chrono::milliseconds k_trend_sample_interval{250};
/// Time for which a rise is extrapolated: one window of the permitted shift. Longer: shares overshoot when
/// the rise ends. Shorter: they arrive after the demand.
constexpr std::chrono::milliseconds k_trend_lead{2000};
/// Maximum forecast relative to the measured rate, so that a sudden rise of a nearly idle service does not
/// move all of its keys.
constexpr double k_max_trend_gain = 1.5;

/// Recent request rates of one service.
class demand_trend
{
public:
	/// Records the current rates.
	/// @param[in] _per_s Requests per second by region; moving averages.
	/// @returns The expected rates: never below the current ones.
	rate_by_region update(const rate_by_region& _per_s, steady_time _now);

private:
	struct sample
	{
		steady_time at{};
		rate_by_region per_s;
	};

	/// @returns Change of a region's rate, in requests per second each second.
	double slope_of(const region_name& _region) const;

	std::deque<sample> m_samples; ///< In the order of time, within k_trend_window.
};
} // namespace larkrack
