// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Loop stall detection: determines since when a request that is read now may have waited in its socket,
/// while the process was stalled or its VM was suspended.
///
/// Inputs: each iteration of the node's event loop, at least one in k_max_loop_interval while it runs.
///
/// Algorithm: if no iteration occurred for longer, everything that is read within k_stall_backlog_time after
/// the stall may have arrived at any moment of it, and counts as arrived at its start. The caller has waited
/// since then; a timeout counted from the read would outlast the caller's own, and a backend server would run
/// a request that no caller awaits. The time of all stalls is summed, since a limit on what a caller may take
/// does not include it.
///
/// Relies on a clock that includes the time of a suspension.
#pragma once

#include "base/clock_p.h"

namespace larkrack
{
/// Maximum time between two iterations of a running loop: twice the longest pause between two ticks, less the
/// permitted excess of a timeout.
constexpr std::chrono::milliseconds k_max_loop_interval{400};
/// Time after a stall during which requests that were waiting in sockets are read.
constexpr std::chrono::milliseconds k_stall_backlog_time{100};

/// Detects stalls of the event loop.
class loop_stall_detector
{
public:
	/// Records an iteration of the loop.
	void on_iteration(steady_time _now)
	{
		if (steady_time{} != m_last_iteration && _now - m_last_iteration > k_max_loop_interval)
		{
			m_stall_began = m_last_iteration;
			m_backlog_until = _now + k_stall_backlog_time;
			m_total += _now - m_last_iteration;
		}
		m_last_iteration = _now;
	}
	/// @returns The earliest time at which a request that is read now may have arrived; the current time
	/// before the first iteration.
	steady_time arrival(steady_time _now)
	{
		if (steady_time{} == m_last_iteration)
		{
			return _now;
		}
		on_iteration(_now);
		return _now < m_backlog_until ? m_stall_began : _now;
	}

	/// @returns Time of all stalls so far.
	steady_time::duration total() const
	{
		return m_total;
	}

private:
	steady_time m_last_iteration{};
	steady_time m_stall_began{};
	steady_time m_backlog_until{};
	steady_time::duration m_total{};
};
} // namespace larkrack
