// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/entry_removal_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Milliseconds for which a vanished entry is kept while the store is reachable. Longer: requests go to a
/// backend server that left. Shorter: a backend server that renews its lease late is removed. The sum of
/// all delays with 80 nodes sets this value.
constexpr std::chrono::milliseconds k_removal_delay{500};
/// Maximum number of milliseconds for which an entry that vanished during a store outage is kept. Longer:
/// requests go to backend servers that left during the outage. Shorter: an outage removes live backend
/// servers.
constexpr std::chrono::milliseconds k_removal_delay_outage{6000};
/// Milliseconds after the end of a store outage by which live owners have written their entries again.
/// Longer: backend servers that left are kept. Shorter: live ones are removed for a moment.
constexpr std::chrono::milliseconds k_reregistration_time{2000};
/// Minimum length in milliseconds of an outage that lets leases expire. Longer: expired entries of live
/// owners are removed. Shorter: a single failed call delays removals.
constexpr std::chrono::milliseconds k_min_relevant_outage{1000};
} // namespace

void entry_removal::on_store_lost(steady_time _now)
{
	if (in_outage())
	{
		return;
	}
	m_lost_at = _now;
	m_reregistered_by.reset();
}

void entry_removal::on_store_recovered(steady_time _now)
{
	if (!in_outage())
	{
		return;
	}
	m_reregistered_by = _now - *m_lost_at < k_min_relevant_outage ? _now : _now + k_reregistration_time;
}

removal_decision entry_removal::plan(steady_time _vanished_at) const
{
	const steady_time due = _vanished_at + k_removal_delay;
	if (!m_lost_at || _vanished_at < *m_lost_at)
	{
		return {due, removal_reason::vanished};
	}
	const steady_time latest = _vanished_at + k_removal_delay_outage;
	if (!m_reregistered_by)
	{
		return {latest, removal_reason::store_unreachable};
	}
	const steady_time repaired = std::min(latest, *m_reregistered_by);
	if (repaired <= due)
	{
		return {due, removal_reason::vanished};
	}
	return {repaired, removal_reason::store_recovered};
}
} // namespace larkrack
