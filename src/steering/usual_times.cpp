// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/usual_times_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Weight of the latest time in the mean and in the mean deviation.
constexpr double k_kind_weight = 0.1;

void move(steady_time::duration& _mean, steady_time::duration _latest)
{
	_mean = std::chrono::duration_cast<steady_time::duration>(
	    k_kind_weight * _latest + (1.0 - k_kind_weight) * _mean);
}
} // namespace

void usual_times::add(const request_kind& _kind, steady_time::duration _taken)
{
	if (_kind.empty())
	{
		return;
	}
	if (m_kinds.size() >= k_max_kinds && m_kinds.end() == m_kinds.find(_kind))
	{
		m_kinds.clear();
	}
	estimate& known = m_kinds[_kind];
	if (0 == known.count)
	{
		known.mean = _taken;
		known.deviation = _taken / 2;
	}
	move(known.deviation, std::chrono::abs(_taken - known.mean));
	move(known.mean, _taken);
	known.count = std::min(known.count + 1, k_min_kind_times);
}

steady_time::duration usual_times::overdue_after(
    const request_kind& _kind, steady_time::duration _until_deadline) const
{
	const auto found = m_kinds.find(_kind);
	if (m_kinds.end() == found || found->second.count < k_min_kind_times)
	{
		return std::chrono::duration_cast<steady_time::duration>(k_overdue_fraction * _until_deadline);
	}
	const estimate& known = found->second;
	return std::max<steady_time::duration>(
	    k_overdue_times * known.mean, known.mean + k_overdue_deviations * known.deviation);
}
} // namespace larkrack
