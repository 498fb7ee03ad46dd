// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Watch pacing: decides how long each watch of a reader waits at the store, and how long its response may
/// take, so that a silent connection is not taken for a store in which nothing changes.
///
/// Inputs: the bounds in which changes have to be in force; the rank of this node among the readers of its
/// region, and their number; the responses to its watches.
///
/// Algorithm: a change answers all watches at the same moment, so that they begin again together. A watch
/// after that waits by the rank of its reader, and later ones as long as all readers take together: the
/// readers of a region hear the store one after the other, one in each word_interval(), and a silence of all
/// connections is noticed by the first of them. A watch on a connection that has not answered yet returns at
/// once. A connection that has answered before gets a short time for each further response, by the time that
/// the last ones took; a new one gets a long time, since then the store itself may be slow. A watch that has
/// told nothing for k_told_patience of what other nodes know already ends, once for each thing they know.
///
/// Purpose: the time in which silence on all open connections is noticed follows from the bounds, at the same
/// number of calls to the store. If fewer nodes read, each of them calls more often.
///
/// Alternatives (docs/incidents/silent-connections.md compares them):
/// - shorter waits of all readers: as many times more calls;
/// - keep-alive probes of TCP: a box on the way may answer them for a store that is not reached;
/// - readers of all regions staggered together: needs an order of all readers, and news between regions.
///
/// Relies on store_readers for rank and number.
#pragma once

#include "steering/change_bounds_p.h"
#include "steering/store_readers_p.h"

#include "base/clock_p.h"
#include "base/watch_times_p.h"

#include <optional>

namespace larkrack
{
/// @returns Interval in which one of the readers of a region hears the store.
std::chrono::milliseconds word_interval(const change_bounds& _bounds);

/// What other nodes know of the store.
struct told_changes
{
	std::int64_t store_revision = 0;
	std::uint64_t config_version = 0;
};

/// What one reader knows of its watches.
class watch_pacing
{
public:
	explicit watch_pacing(std::chrono::milliseconds _interval) : m_interval(_interval)
	{
	}
	/// @returns Times of the next watch.
	watch_times next(const reader_decision& _position) const;
	/// Notes the response to a watch.
	/// @param[in] _times Those of that watch.
	/// @param[in] _taken Time from its begin to the response.
	void on_response(const watch_times& _times, bool _has_changes, steady_time::duration _taken);
	/// Notes that a watch ended without a response; the next one uses a new connection.
	void on_break();
	/// Notes that a watch begins to wait, or that it waits no more.
	void on_begin(steady_time _now)
	{
		m_waiting_since = _now;
	}
	void on_end()
	{
		m_waiting_since.reset();
	}
	/// @param[in] _known Latest changes that other nodes have told of and this node lacks; nothing: none.
	/// @returns Whether the watch that waits is to end.
	bool overdue(const std::optional<told_changes>& _known, steady_time _now);

private:
	/// What the last watch brought.
	enum class course
	{
		unproven, ///< Nothing yet on this connection.
		changed,  ///< Changes, or the first response on this connection.
		quiet,    ///< Nothing within its wait.
	};

	std::chrono::milliseconds m_interval;
	course m_course = course::unproven;
	std::chrono::milliseconds m_lateness{0}; ///< Of the last response after a whole wait.
	std::optional<steady_time> m_waiting_since;
	std::optional<steady_time> m_told_since; ///< When the first change was told of that this node lacks.
	told_changes m_ended_for;                ///< Changes for which a watch has been ended.
};
} // namespace larkrack
