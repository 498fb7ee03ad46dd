// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Work times: the mean work time of a service's requests, apart for servers that are likely to know the key
/// and for others.
///
/// Handles services whose requests take several times as long at a server that does not know their key.
/// Inputs: each response: whether it came from one of the key's own servers, the slowness that the server
/// reported before, whether other requests were ahead there, and the time of the exchange less the round
/// trip.
///
/// Algorithm: two exponentially weighted means of the time divided by the slowness. The time of a request
/// that may have waited at the server is an upper bound of its work time; it counts only if it is below the
/// mean. Otherwise queues would raise the mean, which again would move requests away from queues.
///
/// Alternatives: the mean service time of demand_meter_p.h covers queues and both kinds of runs.
#pragma once

namespace larkrack
{
/// Weight of a response in a mean, no unit. Larger: single long requests move keys. Smaller: the first cold
/// runs of a node count for long.
constexpr double k_work_time_weight = 0.05;
/// Work time assumed until a response came, seconds. Longer: requests do not wait at their server at first.
/// Shorter: queues grow at the start.
constexpr double k_initial_work_time_s = 0.2;

/// End of one exchange with a response of a server that ran the request.
struct work_sample
{
	bool own = true;       ///< Ran at one of the key's own servers, or has no key.
	bool queued = false;   ///< Other requests may have been ahead of it.
	double slowness = 1.0; ///< Of the server, when the request was sent.
	double time_s = 0.0;   ///< Time from sending to the response, less the round trip.
};

/// Mean work times of one service.
class work_times
{
public:
	void on_answer(const work_sample& _sample);
	/// @returns Usual work time at the key's own servers, seconds.
	double own_s() const
	{
		return m_own_s;
	}
	/// @returns Usual work time at other servers, seconds; never below own_s().
	double other_s() const
	{
		return m_other_s > m_own_s ? m_other_s : m_own_s;
	}

private:
	double m_own_s = k_initial_work_time_s;
	double m_other_s = k_initial_work_time_s;
};
} // namespace larkrack
