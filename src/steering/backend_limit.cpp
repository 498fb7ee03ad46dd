// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/backend_limit_p.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace larkrack
{
quota_subject subject_of(std::uint64_t _id, double _per_s)
{
	return {_id, {_per_s, k_limit_burst + k_limit_burst_s * _per_s}};
}

double lending_nodes(double _live, double _most)
{
	if (2.0 * _live > _most)
	{
		return _most;
	}
	return 2.0 * _live == _most ? _live : k_island_part * _live;
}

std::optional<limit_word> parse_limit(std::string_view _text, steady_time _now)
{
	double per_s = 0.0;
	const char* end = _text.data() + _text.size();
	const auto [read_to, failure] = std::from_chars(_text.data(), end, per_s, std::chars_format::fixed);
	const bool readable = std::errc() == failure && end == read_to;
	if (!readable || !std::isfinite(per_s) || per_s < 0.0)
	{
		return std::nullopt;
	}
	if (per_s > k_most_limit_per_s)
	{
		return limit_word{std::nullopt, _now};
	}
	return limit_word{std::max(k_least_limit_per_s, per_s), _now};
}

bool named_limit::hear(const limit_word& _word)
{
	if (_word.said_at < m_word.said_at)
	{
		return false;
	}
	const bool changes = _word.per_s != m_word.per_s;
	m_word = _word;
	return changes;
}
} // namespace larkrack
