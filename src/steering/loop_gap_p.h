// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Loop gap: since when a request that is read now may have waited in its socket, while the process stood
/// still or its VM was suspended.
///
/// Inputs: each turn of the node's loop, at least one in k_longest_turn while it runs.
///
/// Rule: where no turn came for longer, what is read within k_backlog after it may have come at any moment
/// of the gap, and counts from its begin. Whoever waits for it has waited as long; a time-out that counted
/// from the reading would outlive its caller, and a backend server would work for nobody.
///
/// Relies on: a clock that counts the time of a suspension.
#pragma once

#include "base/clock_p.h"

namespace larkrack
{
/// Longest time between two turns of a loop that runs: twice the longest pause between two ticks, less what a
/// time-out may be too long.
constexpr std::chrono::milliseconds k_longest_turn{400};
/// Time for which what lay in the sockets is being read after a gap.
constexpr std::chrono::milliseconds k_backlog{100};

/// Finds the gaps.
class loop_gap
{
public:
	/// Takes note of a turn of the loop.
	void on_turn(steady_time _now)
	{
		if (steady_time{} != m_last_turn && _now - m_last_turn > k_longest_turn)
		{
			m_gap_began = m_last_turn;
			m_backlog_until = _now + k_backlog;
		}
		m_last_turn = _now;
	}
	/// @returns The earliest moment at which a request may have come that is read now. Before the first turn
	/// it is now.
	steady_time arrival(steady_time _now)
	{
		if (steady_time{} == m_last_turn)
		{
			return _now;
		}
		on_turn(_now);
		return _now < m_backlog_until ? m_gap_began : _now;
	}

private:
	steady_time m_last_turn{};
	steady_time m_gap_began{};
	steady_time m_backlog_until{};
};
} // namespace larkrack
