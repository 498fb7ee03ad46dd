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
/// Fraction of the grace period after which new requests are refused. Higher: late requests are aborted at
/// the kill; without this limit 20 requests were lost on a day of planned stops, one node after the other.
/// Lower: more requests are refused.
constexpr double k_stop_refuse_fraction = 0.45;
/// Minimum duration of a stop in milliseconds, even without any request: callers with an old lookup answer
/// may still connect.
constexpr std::chrono::milliseconds k_stop_min_time{2500};
/// Milliseconds without a request after which the process may exit. Longer: stops take longer. Shorter: a
/// pause between two requests ends the process.
constexpr std::chrono::milliseconds k_stop_quiet_time{500};
/// Milliseconds before the kill at which the process exits in any case, so that its log is written
/// completely.
constexpr std::chrono::milliseconds k_stop_margin{500};
} // namespace

stop_decision plan_stop(const stop_progress& _progress)
{
	stop_decision decision;
	decision.close_idle = _progress.passed >= k_stop_close_idle_after;
	decision.refuse_new = _progress.passed >= k_stop_refuse_fraction * _progress.grace;
	const bool idle = 0 == _progress.busy_connections && _progress.since_request >= k_stop_quiet_time;
	if (_progress.passed >= _progress.grace - k_stop_margin)
	{
		decision.reason = stop_reason::grace_period_over;
	}
	else if (_progress.passed >= k_stop_min_time && idle)
	{
		decision.reason = stop_reason::quiet;
	}
	decision.end = stop_reason::serving != decision.reason;
	return decision;
}
} // namespace larkrack
