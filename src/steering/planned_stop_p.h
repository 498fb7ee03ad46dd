// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Planned stop: decides the steps of a graceful shutdown of a node, and which requests it still takes.
///
/// Inputs: time since the stop was requested; the grace period (time from the request to the kill); the
/// number of connections with open work; time since the last request arrived (steady clock); of each request,
/// its time until its deadline and what is known of the times of its route.
///
/// Algorithm: the node state "stopping" at once makes the node not ready, removes it from lookup answers, and
/// lets its answers close their connections. Kept connections that rest are closed after
/// k_stop_close_idle_after, when callers have looked up other nodes; one on which no request has come yet
/// stays open for it. A request is taken if it ends in time for certain (its deadline) or by what its route's
/// requests take; all others are refused at once as not run, so that their callers go to another node. In the
/// first seconds, in which callers cannot know of the stop, requests of which nothing is known are taken if
/// they may run twice. The backend server of a request that is taken is told a deadline in time for its
/// answer. The process exits when it has had no request or new connection for k_stop_quiet_time, but not
/// before k_stop_min_time; it stops accepting k_stop_last_time before that, so that a connection that was
/// established is answered. k_stop_margin before the kill it writes its log and refuses what waits, and then
/// runs only as long as answers are due.
///
/// Alternatives:
/// - accepting requests until half a second before the end: those requests were aborted, 20 lost on a day of
///   planned stops, one node after the other;
/// - refusing all from a fixed part of the grace period on: in a long one, long requests that were taken
///   before are aborted; short ones are refused that would have ended in time;
/// - exiting at once: callers with an older lookup answer would find no node.
///
/// Relies on the node to call plan_stop() at each k_stop_check_interval, and on the platform to honour the
/// grace period.
#pragma once

#include "steering/route_times_p.h"

namespace larkrack
{
/// Interval at which the stop is checked, in milliseconds. Longer: the process exits later than it could.
constexpr std::chrono::milliseconds k_stop_check_interval{100};
/// Time from the end of accepting to the exit, in milliseconds. Longer: the process exits later. Shorter: the
/// request on a connection that was established just before is closed without an answer.
constexpr std::chrono::milliseconds k_stop_last_time{200};

/// Why the process exits, or does not exit yet.
enum class stop_reason
{
	serving,           ///< The process keeps running.
	quiet,             ///< Exits: no requests are left.
	grace_period_over, ///< Exits: the kill is near or due.
};

/// Steps to take now; a step that was taken earlier stays taken.
struct stop_decision
{
	bool close_idle = false;   ///< Close caller connections without an open request.
	bool last_answers = false; ///< Write the log, refuse what waits, and accept no more connections.
	bool end = false;          ///< Exit the process.
	stop_reason reason = stop_reason::serving;
};

/// Progress of a stop.
struct stop_progress
{
	steady_time::duration passed{};        ///< Time since the stop was requested.
	std::chrono::milliseconds grace{0};    ///< From the stop request to the kill.
	std::size_t busy_connections = 0;      ///< Connections with open work.
	steady_time::duration since_request{}; ///< Time since the last request or new connection, or since the
	                                       ///< stop request; 0 while a request is open.
};

/// @returns The steps to take now.
stop_decision plan_stop(const stop_progress& _progress);

/// Course of one stop. By default there is no time left.
struct stop_course
{
	steady_time began_at{};
	std::chrono::milliseconds grace{0}; ///< From the stop request to the kill.
};

/// @returns Time that a backend server may work on a request, so that its answer comes before the kill;
/// negative: it is over.
steady_time::duration stop_time_left(const stop_course& _course, steady_time _now);

/// A request that a stopping node may take.
struct stop_candidate
{
	steady_time::duration until_deadline{}; ///< The longest time that it can take.
	route_time_estimate of_route;
	/// An answer in place of its backend server's would leave open whether it ran.
	bool at_most_once = false;
};

/// @returns Whether a stopping node takes a request; if not, the request is refused as not run.
bool takes_while_stopping(const stop_course& _course, const stop_candidate& _request, steady_time _now);
} // namespace larkrack
