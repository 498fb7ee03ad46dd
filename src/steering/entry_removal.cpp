// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/entry_removal_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Milliseconds for which a vanished entry is kept while the store answers. Longer: requests go to a backend
/// server that left. Shorter: one that renews late falls out of use. Set by the sum of all delays on
/// 80 nodes; not measured.
constexpr std::chrono::milliseconds k_removal_delay{500};
/// Milliseconds for which an entry is kept at most that vanished while the store was away. Longer: requests
/// go to backend servers that left during the outage. Shorter: an outage takes live ones out of use. Not
/// measured.
constexpr std::chrono::milliseconds k_removal_delay_outage{6000};
/// Milliseconds behind the store's return after which owners that live have written their entries again.
/// Longer: those that left are kept. Shorter: live ones fall out of use for a moment. Not measured.
constexpr std::chrono::milliseconds k_lapse_repair{2000};
/// Milliseconds of an outage in which no entry lapses. Longer: lapsed entries of live owners are honoured.
/// Shorter: a single failed call delays removals. Not measured.
constexpr std::chrono::milliseconds k_harmless_outage{1000};
} // namespace

void entry_removal::on_store_lost(steady_time _now)
{
	if (in_outage())
	{
		return;
	}
	m_lost_at = _now;
	m_lapses_until.reset();
}

void entry_removal::on_store_regained(steady_time _now)
{
	if (!in_outage())
	{
		return;
	}
	m_lapses_until = _now - *m_lost_at < k_harmless_outage ? _now : _now + k_lapse_repair;
}

removal_decision entry_removal::plan(steady_time _vanished_at) const
{
	const steady_time due = _vanished_at + k_removal_delay;
	if (!m_lost_at || _vanished_at < *m_lost_at)
	{
		return {due, removal_reason::vanished};
	}
	const steady_time latest = _vanished_at + k_removal_delay_outage;
	if (!m_lapses_until)
	{
		return {latest, removal_reason::store_away};
	}
	const steady_time repaired = std::min(latest, *m_lapses_until);
	if (repaired <= due)
	{
		return {due, removal_reason::vanished};
	}
	return {repaired, removal_reason::store_returned};
}
} // namespace larkrack
