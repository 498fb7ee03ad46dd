// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/mix_p.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace larkrack
{
namespace
{
/// Shares below this are treated as zero, to avoid a division by a rounding error.
constexpr double k_zero_share = 1e-12;
/// Maximum difference of two equal shares due to rounding. It must exceed the error of a sum of shares (a sum
/// of 1 - 1e-16 would keep a shift from reaching its goal) and be far below one step.
constexpr double k_rounding_error = 1e-9;
/// Minimum time between two samples of a limiter, and between two moves. Shorter needs more memory (window /
/// gap samples), longer makes steps coarser. Equal to k_control_tick_interval.
constexpr std::chrono::milliseconds k_sample_gap{50};

/// Returns to open regions the share that no other region may gain yet, so that only the lost share of a
/// closed region is refused.
void retain_unassigned(
    const std::vector<double>& _current, const std::vector<bool>& _open, std::vector<double>& _next)
{
	double unassigned = 1.0 - std::accumulate(_next.begin(), _next.end(), 0.0);
	for (std::size_t at = 0; at < _next.size() && k_zero_share < unassigned; ++at)
	{
		if (!_open[at] || _current[at] <= _next[at])
		{
			continue;
		}
		const double kept = std::min(unassigned, _current[at] - _next[at]);
		_next[at] += kept;
		unassigned -= kept;
	}
}
} // namespace

region_handle mix::choose(region_handle _home, double _point) const
{
	if (regions <= _home.idx)
	{
		return {};
	}
	double left = _point;
	const double* row = &part[_home.idx * regions];
	for (std::size_t at = 0; at < regions; ++at)
	{
		left -= row[at];
		if (left < 0.0)
		{
			return {static_cast<std::uint16_t>(at)};
		}
	}
	return {};
}

mix plan_mix(const std::vector<double>& _demand, const std::vector<double>& _shares)
{
	mix plan;
	plan.regions = _demand.size();
	plan.part.assign(plan.regions * plan.regions, 0.0);
	std::vector<double> spare(plan.regions);
	double spare_sum = 0.0;
	for (std::size_t at = 0; at < plan.regions; ++at)
	{
		spare[at] = std::max(0.0, _shares[at] - _demand[at]);
		spare_sum += spare[at];
	}
	for (std::size_t home = 0; home < plan.regions; ++home)
	{
		double* row = &plan.part[home * plan.regions];
		if (_demand[home] < k_zero_share)
		{
			std::copy(_shares.begin(), _shares.end(), row);
			continue;
		}
		const double kept = std::min(_demand[home], _shares[home]);
		row[home] = kept / _demand[home];
		if (spare_sum < k_zero_share)
		{
			continue;
		}
		// The excess beyond the spare shares of other regions stays unassigned.
		const double excess = _demand[home] - kept;
		double excess_sum = 0.0;
		for (std::size_t at = 0; at < plan.regions; ++at)
		{
			excess_sum += std::max(0.0, _demand[at] - _shares[at]);
		}
		const double taken = excess_sum < k_zero_share ? 0.0 : std::min(1.0, spare_sum / excess_sum);
		for (std::size_t at = 0; at < plan.regions; ++at)
		{
			row[at] += excess * taken * (spare[at] / spare_sum) / _demand[home];
		}
	}
	return plan;
}

std::vector<double> redistribute_closed_shares(
    const std::vector<double>& _shares, const std::vector<bool>& _open)
{
	double open_sum = 0.0;
	std::size_t open_count = 0;
	for (std::size_t at = 0; at < _shares.size(); ++at)
	{
		open_sum += _open[at] ? _shares[at] : 0.0;
		open_count += _open[at] ? 1 : 0;
	}
	// Without a closed region the shares stay as they are; dividing by a sum that is not exactly 1 would
	// change them.
	if (0 == open_count || _shares.size() == open_count)
	{
		return _shares;
	}
	std::vector<double> shares(_shares.size(), 0.0);
	for (std::size_t at = 0; at < _shares.size(); ++at)
	{
		if (_open[at])
		{
			shares[at] =
			    open_sum < k_zero_share ? 1.0 / static_cast<double>(open_count) : _shares[at] / open_sum;
		}
	}
	return shares;
}

bool are_shares_equal(const std::vector<double>& _a, const std::vector<double>& _b)
{
	return std::equal(_a.begin(), _a.end(), _b.begin(), _b.end(),
	    [](double _x, double _y)
	    {
		    return std::abs(_x - _y) < k_rounding_error;
	    });
}

void mix_limiter::reset(const std::vector<double>& _shares, steady_time _now)
{
	m_current = _shares;
	m_samples.clear();
	m_samples.push_back({_now, _shares});
}

void mix_limiter::configure(double _cap, std::chrono::microseconds _window)
{
	m_cap = _cap;
	m_window = _window;
}

void mix_limiter::lower(std::size_t _region, double _share, steady_time _now)
{
	if (m_current[_region] <= _share)
	{
		return;
	}
	m_current[_region] = _share;
	m_samples.push_back({_now, m_current});
}

double mix_limiter::min_in_window(std::size_t _region) const
{
	double minimum = m_current[_region];
	for (const sample& one : m_samples)
	{
		minimum = std::min(minimum, one.shares[_region]);
	}
	return minimum;
}

const std::vector<double>& mix_limiter::advance(
    const std::vector<double>& _target, const std::vector<bool>& _open, steady_time _now)
{
	if (_target.size() != m_current.size())
	{
		reset(_target, _now);
		return m_current;
	}
	// The newest sample at or before the start of the window is kept: it was in effect when the window began.
	while (1 < m_samples.size() && m_samples[1].at <= _now - m_window)
	{
		m_samples.pop_front();
	}
	const double elapsed = static_cast<double>((_now - m_samples.back().at).count());
	const double gain = m_cap * std::min(1.0, elapsed / static_cast<double>(m_window.count()));
	std::vector<double> next = m_current;
	for (std::size_t at = 0; at < next.size(); ++at)
	{
		// A constant rate, so that caches warm up during the shift and the share never jumps within a window.
		const double limit = std::min(min_in_window(at) + m_cap, m_current[at] + gain);
		next[at] = std::min(_target[at], limit);
	}
	retain_unassigned(m_current, _open, next);
	const bool moved = next != m_current;
	if (moved && _now - m_samples.back().at < k_sample_gap)
	{
		return m_current;
	}
	m_current = next;
	if (moved || k_sample_gap <= _now - m_samples.back().at)
	{
		m_samples.push_back({_now, m_current});
	}
	return m_current;
}
} // namespace larkrack
