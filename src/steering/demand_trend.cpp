// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/demand_trend_p.h"

#include "steering/demand_meter_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
double seconds(steady_time::duration _time)
{
	return std::chrono::duration<double>(_time).count();
}
} // namespace

rate_by_region demand_trend::update(const rate_by_region& _per_s, steady_time _now)
{
	while (!m_samples.empty() && _now - m_samples.front().at > k_trend_window)
	{
		m_samples.pop_front();
	}
	if (m_samples.empty() || _now - m_samples.back().at >= k_trend_sample_interval)
	{
		m_samples.push_back({_now, _per_s});
	}
	const double extrapolated_s = k_rate_time_constant_s + seconds(k_trend_lead);
	rate_by_region expected;
	for (const auto& [region, per_s] : _per_s)
	{
		const double rise = std::max(0.0, slope_of(region)) * extrapolated_s;
		expected[region] = std::min(per_s + rise, k_max_trend_gain * per_s);
	}
	return expected;
}

double demand_trend::slope_of(const region_name& _region) const
{
	// Half of the window at least: two samples at a start give no direction.
	if (m_samples.empty() || m_samples.back().at - m_samples.front().at < k_trend_window / 2)
	{
		return 0.0;
	}
	double time_sum = 0.0;
	double rate_sum = 0.0;
	for (const sample& one : m_samples)
	{
		time_sum += seconds(one.at - m_samples.front().at);
		rate_sum += one.per_s.count(_region) > 0 ? one.per_s.at(_region) : 0.0;
	}
	const auto count = static_cast<double>(m_samples.size());
	double covariance = 0.0;
	double variance = 0.0;
	for (const sample& one : m_samples)
	{
		const double time_offset = seconds(one.at - m_samples.front().at) - time_sum / count;
		const double per_s = one.per_s.count(_region) > 0 ? one.per_s.at(_region) : 0.0;
		covariance += time_offset * (per_s - rate_sum / count);
		variance += time_offset * time_offset;
	}
	return variance > 0.0 ? covariance / variance : 0.0;
}
} // namespace larkrack
