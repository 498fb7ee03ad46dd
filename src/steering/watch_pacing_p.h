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
/// the last ones took; a new one gets a long time, since then the store itself may be slow.
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

#include "steering/store_readers_p.h"

#include "base/clock_p.h"

namespace larkrack
{
/// Bounds in which changes of the store have to be in force at each node.
struct change_bounds
{
	std::chrono::milliseconds config{2500}; ///< Configurations.
	std::chrono::milliseconds drain{2500};  ///< Backend servers that leave.
	std::chrono::milliseconds shortest() const
	{
		return std::min(config, drain);
	}
};

/// @returns Interval in which one of the readers of a region hears the store.
std::chrono::milliseconds word_interval(const change_bounds& _bounds);

/// Times of one watch.
struct watch_times
{
	std::chrono::milliseconds wait{0};     ///< The store responds after it if nothing changes.
	std::chrono::milliseconds patience{0}; ///< Beyond the wait; without a response until then, it ends.
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
};
} // namespace larkrack
