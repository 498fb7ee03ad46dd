// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/backend_rest_p.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace larkrack
{
std::optional<steady_time::duration> parse_rest(std::string_view _text)
{
	double seconds = 0.0;
	const char* end = _text.data() + _text.size();
	const auto [read_to, failure] = std::from_chars(_text.data(), end, seconds, std::chars_format::fixed);
	const bool readable = std::errc() == failure && end == read_to;
	if (!readable || !std::isfinite(seconds) || seconds < 0.0)
	{
		return std::nullopt;
	}
	const std::chrono::duration<double> rest(seconds);
	const std::chrono::duration<double> longest(k_max_rest);
	return std::chrono::ceil<steady_time::duration>(std::min(rest, longest));
}

bool backend_rest::take_report(steady_time::duration _rest, steady_time _now)
{
	if (_now + _rest <= std::max(m_until, _now))
	{
		return false;
	}
	m_until = _now + _rest;
	m_returning = true;
	m_returned_at = {};
	return true;
}

bool backend_rest::admits_after_rest(double _share_per_s, steady_time _now)
{
	if (!m_returning)
	{
		return true;
	}
	if (steady_time{} == m_returned_at)
	{
		m_returned_at = _now;
		m_share = {};
		return true;
	}
	if (_now - m_returned_at >= k_ramp_up_time)
	{
		m_returning = false;
		return true;
	}
	return _now - m_returned_at >= k_probe_time && m_share.take(_share_per_s, 1.0, _now);
}
} // namespace larkrack
