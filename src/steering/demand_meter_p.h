// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Demand meter: measures the request rate and service time of one service at this node.
///
/// Provides the rate (requests per second) and the mean service time (seconds) from which region shares are
/// planned (region_plan_p.h) and which heartbeats report to the other nodes. Inputs: each first attempt, and
/// the time from sending a request to its complete response. Both are exponentially weighted moving averages,
/// the rate by time and the service time by exchange.
///
/// Relies on a tick at a regular interval.
#pragma once

#include "steering/rates_p.h"

#include "base/clock_p.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace larkrack
{
/// Time constant of the rate, seconds: the newest tick has a weight of its length divided by this. Longer is
/// steadier, shorter follows a change sooner.
constexpr double k_rate_time_constant_s = 2.0;
/// Weight of the newest exchange in the mean service time, no unit. Smaller is steadier.
constexpr double k_service_time_weight = 0.05;
/// Service time assumed before any exchange has ended, seconds.
constexpr double k_initial_service_time_s = 0.4;

/// Requests per second, summed over all regions, below which the rate counts as not measured yet.
constexpr double k_min_demand_per_s = 0.5;

/// How far the moving averages of the rates have converged since the first requests: they start at zero and
/// underestimate the demand at first.
class rate_convergence
{
public:
	/// @param[in] _per_s Rates of all nodes, averaged with k_rate_time_constant_s.
	/// @returns Fraction of the demand that is not measured yet, 0 to 1; 1 as long as there are hardly any
	/// requests.
	double unmeasured(const rate_by_region& _per_s, steady_time _now)
	{
		if (!m_since)
		{
			double total_per_s = 0.0;
			for (const auto& [region, per_s] : _per_s)
			{
				total_per_s += per_s;
			}
			if (total_per_s < k_min_demand_per_s)
			{
				return 1.0;
			}
			m_since = _now;
		}
		return std::exp(-std::chrono::duration<double>(_now - *m_since).count() / k_rate_time_constant_s);
	}

private:
	std::optional<steady_time> m_since; ///< When a rate was measured first.
};

/// Averages of one service.
class demand_meter
{
public:
	/// Counts a first attempt.
	void count_arrival()
	{
		++m_arrivals;
	}
	/// Adds the duration of an exchange that ended with a response.
	void add_service_time(double _took_s)
	{
		m_service_time_s += k_service_time_weight * (_took_s - m_service_time_s);
	}
	/// Updates the rate with the arrivals since the last tick.
	/// @param[in] _passed_s Seconds since the last tick.
	void tick(double _passed_s)
	{
		const double weight = std::min(1.0, _passed_s / k_rate_time_constant_s);
		const double rate = _passed_s > 0.0 ? m_arrivals / _passed_s : m_requests_per_s;
		m_requests_per_s += weight * (rate - m_requests_per_s);
		m_arrivals = 0;
	}
	double requests_per_s() const
	{
		return m_requests_per_s;
	}
	double service_time_s() const
	{
		return m_service_time_s;
	}

private:
	int m_arrivals = 0; ///< Since the last tick.
	double m_requests_per_s = 0.0;
	double m_service_time_s = k_initial_service_time_s;
};
} // namespace larkrack
