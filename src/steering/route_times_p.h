// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Times that the requests of one route take, from their arrival to the end of the answer of a backend
/// server.
///
/// Inputs: the time of each request that has ended; the time so far of each one that still runs.
///
/// Algorithm: the times of the last k_route_times_kept requests are kept. The usual time is their median, or
/// that of the running requests if it is longer: short requests end first, so that the ended ones alone make
/// a route look faster than it is. The slowest time is known only if no running request has taken longer.
///
/// Relies on no clock.
#pragma once

#include "base/clock_p.h"

#include <algorithm>
#include <array>
#include <optional>
#include <vector>

namespace larkrack
{
/// Number of requests whose times are kept. More: a change of their work shows later. Fewer: the slowest of
/// them says less.
constexpr std::size_t k_route_times_kept = 32;
/// Minimum number of times from which anything is concluded.
constexpr std::size_t k_min_route_times = 8;

/// What is known of the times of a route's requests; nothing: too little was seen.
struct route_time_estimate
{
	std::optional<steady_time::duration> usual;
	std::optional<steady_time::duration> slowest;
};

/// The last times of a route's requests.
class route_times
{
public:
	/// Adds the time of a request that has ended.
	void add(steady_time::duration _time)
	{
		m_times[m_added % k_route_times_kept] = _time;
		++m_added;
	}
	/// @param[in] _running Time so far of each request of the route that still runs; any order.
	route_time_estimate estimate(std::vector<steady_time::duration> _running) const
	{
		std::vector<steady_time::duration> ended(m_times.begin(), m_times.begin() + kept());
		const auto longest_running = std::max_element(_running.begin(), _running.end());
		route_time_estimate known;
		if (ended.size() >= k_min_route_times)
		{
			const steady_time::duration slowest = *std::max_element(ended.begin(), ended.end());
			if (_running.end() == longest_running || *longest_running <= slowest)
			{
				known.slowest = slowest;
			}
		}
		known.usual = std::max(median(ended), median(_running));
		return known;
	}

private:
	std::ptrdiff_t kept() const
	{
		return static_cast<std::ptrdiff_t>(std::min(m_added, k_route_times_kept));
	}
	static std::optional<steady_time::duration> median(std::vector<steady_time::duration>& _times)
	{
		if (_times.size() < k_min_route_times)
		{
			return std::nullopt;
		}
		const auto middle = _times.begin() + static_cast<std::ptrdiff_t>(_times.size() / 2);
		std::nth_element(_times.begin(), middle, _times.end());
		return *middle;
	}

	std::array<steady_time::duration, k_route_times_kept> m_times{};
	std::size_t m_added = 0;
};
} // namespace larkrack
