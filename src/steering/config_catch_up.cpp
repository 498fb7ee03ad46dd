// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/config_catch_up_p.h"

#include "steering/store_pacing_p.h"

#include <algorithm>

namespace larkrack
{
void config_catch_up::update(std::uint64_t _own, std::uint64_t _told, steady_time _now)
{
	m_told = std::max(m_told, _told);
	const bool behind = m_told > std::max(_own, m_refuted);
	m_behind_since = m_behind ? m_behind_since : _now;
	const bool has_config = 0 != _own;
	if (behind && (!m_behind || has_config != m_had_config))
	{
		// A starting node gets the configuration with its copy of all keys.
		m_store_read_at = has_config ? _now + k_store_read_delay : steady_time::max();
	}
	m_behind = behind;
	m_had_config = has_config;
	if (!m_behind)
	{
		m_failures = 0;
	}
}

void config_catch_up::on_peer_without_config(steady_time _now)
{
	if (m_behind && 0 == m_failures)
	{
		m_store_read_at = std::min(m_store_read_at, _now);
	}
}

void config_catch_up::on_store_read(
    bool _answered, std::uint64_t _own, steady_time _now, std::minstd_rand& _random)
{
	if (!_answered)
	{
		m_store_read_at = _now + draw_backoff(m_failures++, _random);
		return;
	}
	m_refuted = m_told_before_read > _own ? m_told_before_read : m_refuted;
	m_failures = 0;
	m_behind = false; // Another version that was told of meanwhile counts from now on.
	update(_own, m_told, _now);
}
} // namespace larkrack
