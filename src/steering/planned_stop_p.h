// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Decides the steps of a planned stop (graceful shutdown) of a node.
///
/// Inputs: time since the stop was asked for; the grace, which is the time from then to the kill; whether
/// any request is open; time since the last request came (steady clock).
///
/// Rule: at once the node is not ready, is left out of look-ups, and its answers close their connections;
/// that is what the state "stopping" does. Idle connections are closed after k_stop_close_idle, when
/// look-ups have led callers elsewhere. From k_stop_refuse_part of the grace on new requests are refused as
/// not run. The process ends when it has been quiet for k_stop_quiet, not before k_stop_earliest, and
/// k_stop_margin before the kill in any case.
///
/// Why not another way:
/// - requests taken until half a second before the end: they were broken off, 20 lost on a day of planned
///   stops in turn;
/// - end at once: callers with an older look-up would find nobody; not measured.
///
/// Relies on: the node to ask at each k_stop_step, and the platform to keep to the grace.
#pragma once

#include "base/clock_p.h"

namespace larkrack
{
/// Time between two looks at the stop, in milliseconds. Longer: the process ends later than it could. Not
/// measured.
constexpr std::chrono::milliseconds k_stop_step{100};

/// Why the process ends, or does not yet.
enum class stop_reason
{
	serving,     ///< It goes on.
	quiet,       ///< Ends: nothing to do.
	grace_spent, ///< Ends: the kill is near.
};

/// What is to be done now; what was done at an earlier step stays done.
struct stop_decision
{
	bool close_idle = false; ///< Close connections of callers that no request uses.
	bool refuse_new = false; ///< Refuse new requests as not run.
	bool end = false;        ///< End the process.
	stop_reason reason = stop_reason::serving;
};

/// How far a stop is.
struct stop_progress
{
	steady_time::duration passed{};        ///< Since the stop was asked for.
	std::chrono::milliseconds grace{0};    ///< From then to the kill.
	std::size_t busy_connections = 0;      ///< Connections of callers with an open request.
	steady_time::duration since_request{}; ///< Since the last request came, or the stop began; 0 while busy.
};

stop_decision plan_stop(const stop_progress& _progress);
} // namespace larkrack
