// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/server_slowness_p.h"

#include <charconv>

namespace larkrack
{
void server_slowness::on_report(double _factor, steady_time _now)
{
	m_mean = reported() ? m_mean + k_slowness_mean_weight * (_factor - m_mean) : _factor;
	m_last = _factor;
	m_change_per_tick = (m_mean - m_last) * per_tick();
	m_reported_at = _now;
}

std::optional<double> parse_slowness(std::string_view _text)
{
	double percent = 0.0;
	const char* const end = _text.data() + _text.size();
	const std::from_chars_result parsed = std::from_chars(_text.data(), end, percent);
	// A comparison with "not a number" is false, so that "nan" is rejected too.
	const bool in_range = percent > 0.0 && percent <= k_max_slowness_percent;
	if (std::errc{} != parsed.ec || end != parsed.ptr || !in_range)
	{
		return std::nullopt;
	}
	return percent / k_usual_slowness_percent;
}
} // namespace larkrack
