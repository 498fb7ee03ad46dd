// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/planned_stop_p.h"

namespace larkrack
{
namespace
{
/// Milliseconds after which idle connections are closed: by then callers have asked anew, since answers to
/// look-ups live for 1.5 s. Longer: fewer closes that cross a request, but less of the grace is left. Not
/// measured.
constexpr std::chrono::milliseconds k_stop_close_idle{1500};
/// Part of the grace after which new requests are refused. Higher: requests that come late are broken off, 20
/// lost on a day of planned stops in turn without such a part. Lower: more are
/// refused. The value itself was not measured.
constexpr double k_stop_refuse_part = 0.45;
/// Milliseconds before which the process does not end, however quiet: callers with an old answer of a look-up
/// may still come. Not measured.
constexpr std::chrono::milliseconds k_stop_earliest{2500};
/// Milliseconds without a request after which the process may end. Longer: stops take longer. Shorter: a
/// pause between two requests ends it. Not measured.
constexpr std::chrono::milliseconds k_stop_quiet{500};
/// Milliseconds before the kill at which the process ends in any case, so that its log is whole. Not
/// measured.
constexpr std::chrono::milliseconds k_stop_margin{500};
} // namespace

stop_decision plan_stop(const stop_progress& _progress)
{
	stop_decision decision;
	decision.close_idle = _progress.passed >= k_stop_close_idle;
	decision.refuse_new = _progress.passed >= k_stop_refuse_part * _progress.grace;
	const bool quiet = 0 == _progress.busy_connections && _progress.since_request >= k_stop_quiet;
	if (_progress.passed >= _progress.grace - k_stop_margin)
	{
		decision.reason = stop_reason::grace_spent;
	}
	else if (_progress.passed >= k_stop_earliest && quiet)
	{
		decision.reason = stop_reason::quiet;
	}
	decision.end = stop_reason::serving != decision.reason;
	return decision;
}
} // namespace larkrack
