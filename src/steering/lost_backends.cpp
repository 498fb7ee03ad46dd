// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/lost_backends_p.h"

#include "steering/entry_life_p.h"

#include <algorithm>

namespace larkrack
{
void lost_backends::keep(const backend_state& _backend, steady_time _now)
{
	forget_expired(_now);
	const backend_id& id = _backend.registered.id;
	const steady_time leaving_until = _backend.reported_leaving ? _now + k_leaving_retention : steady_time{};
	const steady_time forgotten_at = std::max(_backend.rest.until(), leaving_until);
	if (forgotten_at <= _now)
	{
		return;
	}
	forget(id);
	m_lost[id] = {_backend.registered.started_ms, _backend.rest, _backend.reported_leaving, forgotten_at};
	m_by_time.emplace(forgotten_at, id);
	if (m_lost.size() > k_max_lost_backends)
	{
		forget(backend_id(m_by_time.begin()->second));
	}
}

void lost_backends::restore(backend_state& _backend, steady_time _now)
{
	forget_expired(_now);
	const auto found = m_lost.find(_backend.registered.id);
	if (m_lost.end() == found)
	{
		return;
	}
	if (entry_incarnation::same == classify_entry(found->second.started_ms, _backend.registered.started_ms))
	{
		_backend.rest = found->second.rest;
		_backend.reported_leaving = found->second.reported_leaving;
	}
	forget(_backend.registered.id);
}

void lost_backends::forget_expired(steady_time _now)
{
	while (!m_by_time.empty() && m_by_time.begin()->first <= _now)
	{
		forget(backend_id(m_by_time.begin()->second));
	}
}

void lost_backends::forget(const backend_id& _id)
{
	const auto found = m_lost.find(_id);
	if (m_lost.end() == found)
	{
		return;
	}
	const auto [first, last] = m_by_time.equal_range(found->second.forgotten_at);
	m_by_time.erase(std::find_if(first, last,
	    [&](const by_time::value_type& _entry)
	    {
		    return _entry.second == _id;
	    }));
	m_lost.erase(found);
}
} // namespace larkrack
