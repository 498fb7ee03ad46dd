// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "backend_registry_p.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace larkrack
{
namespace
{
/// A report of a backend server is better than what heartbeats tell for so long.
constexpr std::chrono::milliseconds k_report_fresh{100};
/// First and last time for which a backend server that fails gets no new requests.
constexpr std::chrono::milliseconds k_suspend_first{300};
constexpr std::chrono::milliseconds k_suspend_last{3000};
/// Lost answers in a row that suspend a backend server; one alone may be the fault of one connection.
constexpr int k_lost_limit = 3;
} // namespace

double backend_server::busy(steady_time _now) const
{
	const bool fresh = _now - m_reported_at <= k_report_fresh;
	return in_flight + (fresh ? m_others : told_by_others);
}

void backend_server::report(const backend_load& _load, steady_time _now)
{
	m_others = std::max(0, _load.running + _load.waiting - in_flight);
	m_reported_at = _now;
}

void backend_server::signal(backend_signal _signal, steady_time _now)
{
	if (backend_signal::answered == _signal)
	{
		m_failures = 0;
		return;
	}
	if (backend_signal::refused == _signal)
	{
		// It is full: what others hold is at least what it has slots for.
		m_others = std::max<double>(m_others, record.slots);
		m_reported_at = _now;
		return;
	}
	++m_failures;
	if (backend_signal::lost == _signal && m_failures < k_lost_limit)
	{
		return;
	}
	const int doublings = std::min(m_failures - 1, 4);
	const auto pause = std::min(k_suspend_last, k_suspend_first * (1 << doublings));
	m_suspended_until = _now + pause;
}

void backend_registry::put(const backend_record& _record, steady_time _now)
{
	backend_ptr& backend = m_by_id[_record.id];
	if (!backend)
	{
		backend = std::make_shared<backend_server>();
		backend->key = XXH32(_record.id.data(), _record.id.size(), 0);
		m_by_key[backend->key] = backend.get();
		const auto region = m_region_of.find(_record.domain);
		backend->region = m_region_of.end() == region ? std::string() : region->second;
		m_by_service[_record.service].push_back(backend);
	}
	backend->record = _record;
	backend->gone = false;
	backend->evacuated =
	    m_evacuated.end() != std::find(m_evacuated.begin(), m_evacuated.end(), _record.domain);
	backend->cold_until = _now + _record.warmup_left;
}

void backend_registry::remove(const std::string& _id)
{
	const auto it = m_by_id.find(_id);
	if (m_by_id.end() == it)
	{
		return;
	}
	it->second->gone = true;
	it->second->idle.clear();
	std::vector<backend_ptr>& siblings = m_by_service[it->second->record.service];
	siblings.erase(std::remove(siblings.begin(), siblings.end(), it->second), siblings.end());
	m_by_key.erase(it->second->key);
	m_by_id.erase(it);
}

void backend_registry::set_evacuated(const std::vector<std::string>& _domains)
{
	m_evacuated = _domains;
	for (const auto& [id, backend] : m_by_id)
	{
		backend->evacuated =
		    m_evacuated.end() != std::find(m_evacuated.begin(), m_evacuated.end(), backend->record.domain);
	}
}

void backend_registry::take_told(const std::string& _node, const told_loads& _loads)
{
	const auto add = [this](const told_loads& _some, int _sign)
	{
		for (const told_load& load : _some)
		{
			const auto it = m_by_key.find(load.key);
			if (m_by_key.end() != it)
			{
				it->second->told_by_others = std::max(0, it->second->told_by_others + _sign * load.in_flight);
			}
		}
	};
	told_loads& before = m_told[_node];
	add(before, -1);
	add(_loads, 1);
	before = _loads;
}

told_loads backend_registry::own_loads() const
{
	told_loads loads;
	for (const auto& [key, backend] : m_by_key)
	{
		if (backend->in_flight > 0)
		{
			loads.push_back({key, backend->in_flight});
		}
	}
	return loads;
}

const std::vector<backend_ptr>& backend_registry::of_service(const std::string& _service) const
{
	static const std::vector<backend_ptr> s_none;
	const auto it = m_by_service.find(_service);
	return m_by_service.end() == it ? s_none : it->second;
}

backend_ptr backend_registry::find(const std::string& _id) const
{
	const auto it = m_by_id.find(_id);
	return m_by_id.end() == it ? nullptr : it->second;
}
} // namespace larkrack
