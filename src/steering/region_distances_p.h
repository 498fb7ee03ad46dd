// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Region distances: round-trip times to other regions, and whether a region is near enough for a request.
///
/// Decides whether a request may go to the region of its key. Inputs: the connect times of new connections to
/// each region (seconds), and the route's objective (milliseconds), the time within which an answer has its
/// full worth.
///
/// Algorithm: the smallest connect time counts as the round-trip time, since connections are slow for many
/// other reasons. A longer connect time raises the estimate by the weight k_rtt_rise_weight only, so a path
/// that became longer is learned slowly. A region is near enough while the estimate is at most
/// k_max_rtt_fraction of the objective, or while there is no estimate.
///
/// Alternatives: without a bound, the round trip to a far region could use up the objective.
///
/// Owns one estimate for each region. Relies on upstream_exchange to measure the connect times.
#pragma once

#include "steering/names_p.h"

#include <chrono>
#include <map>

namespace larkrack
{
/// Weight of a sample above the estimate. Larger: a longer path is learned sooner, and more slow connections
/// are taken for distance.
constexpr double k_rtt_rise_weight = 0.01;
/// Maximum fraction of the objective that a round trip may take. Larger: more keys stay in their region, and
/// less time is left to run them. 70 ms pass for an objective of 300 ms.
constexpr double k_max_rtt_fraction = 0.25;

/// Estimated round-trip times to regions.
class region_distances
{
public:
	/// Adds the connect time of a new connection to a backend server of a region.
	void add_connect_time(const region_name& _region, std::chrono::steady_clock::duration _time)
	{
		const double measured_s = std::chrono::duration<double>(_time).count();
		const auto it = m_rtt_s.emplace(_region, measured_s).first;
		double& estimate_s = it->second;
		estimate_s =
		    measured_s < estimate_s ? measured_s : estimate_s + k_rtt_rise_weight * (measured_s - estimate_s);
	}
	/// @param[in] _objective 0: the route states none, and every region is near enough.
	bool near_enough(const region_name& _region, std::chrono::milliseconds _objective) const
	{
		const auto it = m_rtt_s.find(_region);
		if (m_rtt_s.end() == it || 0 == _objective.count())
		{
			return true;
		}
		return it->second <= k_max_rtt_fraction * std::chrono::duration<double>(_objective).count();
	}
	/// @returns Estimated round-trip time, seconds; 0 while unknown.
	double rtt_s(const region_name& _region) const
	{
		const auto it = m_rtt_s.find(_region);
		return m_rtt_s.end() == it ? 0.0 : it->second;
	}

private:
	std::map<region_name, double> m_rtt_s; ///< Estimated round-trip times.
};
} // namespace larkrack
