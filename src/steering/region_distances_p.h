// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Distances: whether another region is near enough for a request.
///
/// Decides whether a request may go to the region of its key. Inputs: the time that new connections to each
/// region needed (seconds), and the route's objective (milliseconds), the time within which an answer has its
/// full worth.
///
/// Rule: the smallest connect time seen counts as the round trip, since connections are slow for many other
/// reasons; a longer one moves the estimate by k_rise only, so a path that became longer is learned slowly. A
/// region is near enough while that takes at most k_near_part of the objective, or nothing is known of it.
///
/// Other ways: before there was no bound; the way to a far region could use up the objective.
///
/// Relies on upstream_exchange to time new connections.
#pragma once

#include "steering/names_p.h"

#include <chrono>
#include <map>

namespace larkrack
{
/// Weight of a sample above the estimate, no unit. Larger learns a longer path sooner, and takes more slow
/// connections for distance. Not measured.
constexpr double k_rise = 0.01;
/// Part of the objective that the way there and back may take, no unit. Larger keeps more keys at their place
/// and leaves less time to run them. Chosen so that 70 ms of 300 ms pass; not measured.
constexpr double k_near_part = 0.25;

/// Round-trip times to regions.
class region_distances
{
public:
	/// Takes the time that a connection to a backend server of a region needed to come up.
	void add_connect_time(const region_name& _region, std::chrono::steady_clock::duration _time)
	{
		const double measured_s = std::chrono::duration<double>(_time).count();
		const auto it = m_seconds.emplace(_region, measured_s).first;
		double& known_s = it->second;
		known_s = measured_s < known_s ? measured_s : known_s + k_rise * (measured_s - known_s);
	}
	/// @param[in] _objective 0: none is stated, and every region is near enough.
	bool near_enough(const region_name& _region, std::chrono::milliseconds _objective) const
	{
		const auto it = m_seconds.find(_region);
		if (m_seconds.end() == it || 0 == _objective.count())
		{
			return true;
		}
		return it->second <= k_near_part * std::chrono::duration<double>(_objective).count();
	}

private:
	std::map<region_name, double> m_seconds;
};
} // namespace larkrack
