// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/watch_pacing_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Part of the shortest bound that the readers of a region may take to hear the store. The rest is for the
/// patience of a watch, a new connection across regions and the way of the news to the other nodes.
constexpr double k_interval_share = 0.4;
/// Maximum interval, however wide the bounds are: three readers wait for 2.5 s each. Longer: an outage of the
/// store is noticed later.
constexpr std::chrono::milliseconds k_max_word_interval{833};
/// Wait of a watch on a connection that has not answered yet.
constexpr std::chrono::milliseconds k_unproven_wait{1};
/// Patience on a connection that has answered before, as a multiple of the time that the last response took
/// beyond its wait, and its bounds in milliseconds. Longer: silence is noticed later. Shorter: a response
/// that was lost once on the way, and sent again, costs a connection and a call.
constexpr int k_patience_factor = 3;
constexpr std::chrono::milliseconds k_min_patience{250};
constexpr std::chrono::milliseconds k_max_patience{700};
/// Milliseconds for which a watch may say nothing of changes that other nodes know. Longer: a silent
/// connection is noticed later. Shorter: a watch whose response is on its way is ended.
constexpr std::chrono::milliseconds k_told_patience{150};
} // namespace

std::chrono::milliseconds word_interval(const change_bounds& _bounds)
{
	const auto share = std::chrono::milliseconds(
	    static_cast<std::int64_t>(k_interval_share * static_cast<double>(_bounds.shortest().count())));
	return std::min(k_max_word_interval, share);
}

watch_times watch_pacing::next(const reader_decision& _position) const
{
	switch (m_course)
	{
	case course::unproven:
		return {k_unproven_wait, k_max_patience};
	case course::changed:
		return {m_interval * static_cast<int>(_position.rank + 1),
		    std::clamp(k_patience_factor * m_lateness, k_min_patience, k_max_patience)};
	case course::quiet:
		break;
	}
	return {m_interval * static_cast<int>(_position.readers),
	    std::clamp(k_patience_factor * m_lateness, k_min_patience, k_max_patience)};
}

void watch_pacing::on_response(const watch_times& _times, bool _has_changes, steady_time::duration _taken)
{
	const auto taken = std::chrono::duration_cast<std::chrono::milliseconds>(_taken);
	if (!_has_changes && taken >= _times.wait)
	{
		m_lateness = taken - _times.wait;
	}
	const bool staggered = !_has_changes && course::unproven != m_course;
	m_course = staggered ? course::quiet : course::changed;
}

void watch_pacing::on_break()
{
	m_course = course::unproven;
	m_lateness = std::chrono::milliseconds(0);
}

bool watch_pacing::overdue(const std::optional<told_changes>& _known, steady_time _now)
{
	if (!_known)
	{
		m_told_since.reset();
		return false;
	}
	m_told_since = m_told_since.value_or(_now);
	const bool is_new = _known->store_revision > m_ended_for.store_revision ||
	                    _known->config_version > m_ended_for.config_version;
	if (!is_new || !m_waiting_since || course::unproven == m_course ||
	    _now - std::max(*m_told_since, *m_waiting_since) < k_told_patience)
	{
		return false;
	}
	m_ended_for = *_known;
	return true;
}
} // namespace larkrack
