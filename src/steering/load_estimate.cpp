// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/load_estimate_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Milliseconds for which a report takes precedence over heartbeats. Longer: an outdated load is taken for
/// the current one, and several nodes send to the same free slot. Shorter: heartbeats, which miss requests
/// that were sent since, are used more often. Set to the heartbeat interval of a small fleet.
constexpr std::chrono::milliseconds k_max_report_age{100};
} // namespace

double load_estimate::requests(steady_time _now) const
{
	const bool fresh = _now - m_reported_at <= k_max_report_age;
	return in_flight + (fresh ? m_reported_elsewhere : in_flight_elsewhere);
}

void load_estimate::on_report(const backend_load& _load, steady_time _now)
{
	m_reported_elsewhere = std::max(0, _load.running + _load.waiting - in_flight);
	m_reported_at = _now;
}

void load_estimate::on_refused(int _slots, steady_time _now)
{
	m_reported_elsewhere = std::max<double>(m_reported_elsewhere, _slots);
	m_reported_at = _now;
}
} // namespace larkrack
