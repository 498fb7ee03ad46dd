// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/planned_stop_p.h"

namespace larkrack
{
namespace
{
/// Milliseconds after the stop request at which idle connections are closed. Callers have looked up nodes
/// again by then, since lookup answers are valid for 1.5 s. Longer: fewer connections are closed while a
/// request is on its way, but less of the grace period is left.
constexpr std::chrono::milliseconds k_stop_close_idle_after{1500};
/// Time after the stop request during which requests of which nothing is known are taken: callers go by
/// lookup answers from before it. Longer: requests are aborted at the kill. Shorter: more requests are
/// refused.
constexpr std::chrono::milliseconds k_stop_early_time{3000};
/// The same as a fraction of the grace period, if that is shorter.
constexpr double k_stop_early_fraction = 0.45;
/// Multiple of the slowest time seen that a request may take. Higher: requests are refused that would have
/// ended. Lower: a request that takes longer than those before it is aborted.
constexpr int k_stop_time_factor = 2;
/// Minimum duration of a stop in milliseconds, even without any request: callers with an old lookup answer
/// may still connect.
constexpr std::chrono::milliseconds k_stop_min_time{2500};
/// Milliseconds without a request after which the process may exit. Longer: stops take longer. Shorter: a
/// pause between two requests ends the process.
constexpr std::chrono::milliseconds k_stop_quiet_time{500};
/// Milliseconds before the kill at which the log is written and backend servers end what still runs; their
/// last answers arrive from other regions within it. Shorter: an answer, or a slow turn of the event loop,
/// comes after the kill.
constexpr std::chrono::milliseconds k_stop_margin{500};
} // namespace

stop_decision plan_stop(const stop_progress& _progress)
{
	stop_decision decision;
	decision.close_idle = _progress.passed >= k_stop_close_idle_after;
	decision.last_answers = _progress.passed >= _progress.grace - k_stop_margin;
	const bool idle = 0 == _progress.busy_connections;
	const bool over = decision.last_answers && (idle || _progress.passed >= _progress.grace);
	if (over)
	{
		decision.reason = stop_reason::grace_period_over;
	}
	else if (_progress.passed >= k_stop_min_time && idle && _progress.since_request >= k_stop_quiet_time)
	{
		decision.reason = stop_reason::quiet;
	}
	decision.end = stop_reason::serving != decision.reason;
	return decision;
}

steady_time::duration stop_time_left(const stop_course& _course, steady_time _now)
{
	return _course.began_at + _course.grace - k_stop_margin - _now;
}

bool takes_while_stopping(const stop_course& _course, const stop_candidate& _request, steady_time _now)
{
	const steady_time::duration left = stop_time_left(_course, _now);
	if (left <= steady_time::duration::zero())
	{
		return false;
	}
	const route_time_estimate& known = _request.of_route;
	const bool ends_in_time = known.slowest && k_stop_time_factor * *known.slowest <= left;
	if (_request.until_deadline <= left || ends_in_time)
	{
		return true;
	}
	if (_request.at_most_once)
	{
		return false;
	}
	const steady_time::duration early = std::min<steady_time::duration>(
	    k_stop_early_time, from_s(k_stop_early_fraction * to_s(_course.grace)));
	const bool usually_too_long = known.usual && *known.usual > left;
	return _now - _course.began_at < early && !usually_too_long;
}
} // namespace larkrack
