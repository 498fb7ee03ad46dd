// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/backend_limit_p.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace larkrack
{
quota_subject limit_quota_subject(std::uint64_t _id, double _per_s)
{
	return {_id, {_per_s, k_limit_burst + k_limit_burst_s * _per_s}};
}

double lender_node_count(double _live, double _most)
{
	if (2.0 * _live > _most)
	{
		return _most;
	}
	return 2.0 * _live == _most ? _live : k_minority_share * _live;
}

std::optional<limit_report> parse_limit(std::string_view _text, steady_time _now)
{
	double per_s = 0.0;
	const char* end = _text.data() + _text.size();
	const auto [read_to, failure] = std::from_chars(_text.data(), end, per_s, std::chars_format::fixed);
	const bool readable = std::errc() == failure && end == read_to;
	if (!readable || !std::isfinite(per_s) || per_s < 0.0)
	{
		return std::nullopt;
	}
	if (per_s > k_max_limit_per_s)
	{
		return limit_report{std::nullopt, _now};
	}
	return limit_report{std::max(k_min_limit_per_s, per_s), _now};
}

bool reported_limit::take_report(const limit_report& _report)
{
	if (_report.report_time < m_report.report_time)
	{
		return false;
	}
	const bool changes = _report.per_s != m_report.per_s;
	m_report = _report;
	return changes;
}
} // namespace larkrack
