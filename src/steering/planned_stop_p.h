// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Planned stop: decides the steps of a graceful shutdown of a node.
///
/// Inputs: time since the stop was requested; the grace period (time from the request to the kill); the
/// number of connections with an open request; time since the last request arrived (steady clock).
///
/// Algorithm: the node state "stopping" at once makes the node not ready, removes it from lookup answers, and
/// lets its answers close their connections. Idle connections are closed after k_stop_close_idle_after, when
/// callers have looked up other nodes. From k_stop_refuse_fraction of the grace period on, new requests are
/// refused as not run. The process exits when it has had no request for k_stop_quiet_time, but not before
/// k_stop_min_time, and in any case k_stop_margin before the kill.
///
/// Alternatives:
/// - accepting requests until half a second before the end: those requests were aborted, 20 lost on a day of
///   planned stops, one node after the other;
/// - exiting at once: callers with an older lookup answer would find no node.
///
/// Relies on the node to call plan_stop() at each k_stop_check_interval, and on the platform to honour the
/// grace period.
#pragma once

#include "base/clock_p.h"

namespace larkrack
{
/// Interval at which the stop is checked, in milliseconds. Longer: the process exits later than it could.
constexpr std::chrono::milliseconds k_stop_check_interval{100};

/// Why the process exits, or does not exit yet.
enum class stop_reason
{
	serving,           ///< The process keeps running.
	quiet,             ///< Exits: no requests are left.
	grace_period_over, ///< Exits: the kill is near.
};

/// Steps to take now; a step that was taken earlier stays taken.
struct stop_decision
{
	bool close_idle = false; ///< Close caller connections without an open request.
	bool refuse_new = false; ///< Refuse new requests as not run.
	bool end = false;        ///< Exit the process.
	stop_reason reason = stop_reason::serving;
};

/// Progress of a stop.
struct stop_progress
{
	steady_time::duration passed{};        ///< Time since the stop was requested.
	std::chrono::milliseconds grace{0};    ///< From the stop request to the kill.
	std::size_t busy_connections = 0;      ///< Caller connections with an open request.
	steady_time::duration since_request{}; ///< Time since the last request, or since the stop request; 0
	                                       ///< while a request is open.
};

/// @returns The steps to take now.
stop_decision plan_stop(const stop_progress& _progress);
} // namespace larkrack
