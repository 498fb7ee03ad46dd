// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/backend_registry_p.h"

#include "steering/entry_life_p.h"

#include <algorithm>
#include <set>

namespace larkrack
{
backend_registry::backend_registry(std::unordered_map<std::string, std::string> _region_of)
    : m_region_of(std::move(_region_of))
{
	std::set<region_name> regions;
	for (const auto& [domain, region] : m_region_of)
	{
		regions.emplace(region);
	}
	m_regions.assign(regions.begin(), regions.end());
}

backend_server::connection_ptr backend_server::take_idle()
{
	if (m_idle.empty())
	{
		return nullptr;
	}
	connection_ptr connection = std::move(m_idle.back());
	m_idle.pop_back();
	--idle_connections;
	return connection;
}

void backend_server::drop_idle(const connection_ptr& _connection)
{
	m_idle.erase(std::remove(m_idle.begin(), m_idle.end(), _connection), m_idle.end());
	idle_connections = static_cast<int>(m_idle.size());
}

backend_ptr backend_registry::add_incarnation(const backend_record& _record)
{
	auto backend = std::make_shared<backend_server>();
	backend->id_hash = incarnation_hash(_record);
	m_by_hash[backend->id_hash] = backend.get();
	const auto region = m_region_of.find(_record.domain.text);
	backend->region = m_region_of.end() == region ? region_name() : region_name(region->second);
	m_by_service[_record.service].push_back(backend.get());
	std::vector<backend_server*>& neighbours = m_by_domain[_record.domain];
	backend->path = neighbours.empty() ? path_use::direct : neighbours.front()->path;
	neighbours.push_back(backend.get());
	return backend;
}

void backend_registry::remove_incarnation(backend_server& _backend)
{
	_backend.gone = true;
	_backend.close_idle();
	std::vector<backend_state*>& siblings = m_by_service[_backend.registered.service];
	siblings.erase(std::remove(siblings.begin(), siblings.end(), &_backend), siblings.end());
	std::vector<backend_server*>& neighbours = m_by_domain[_backend.registered.domain];
	neighbours.erase(std::remove(neighbours.begin(), neighbours.end(), &_backend), neighbours.end());
	m_by_hash.erase(_backend.id_hash);
	m_in_use.erase(&_backend);
}

void backend_registry::put(const backend_record& _record, steady_time _now)
{
	backend_ptr& backend = m_by_id[_record.id];
	if (backend &&
	    (entry_incarnation::same != classify_entry(backend->registered.started_ms, _record.started_ms) ||
	        backend->registered.domain != _record.domain || backend->registered.service != _record.service))
	{
		remove_incarnation(*backend);
		backend.reset();
	}
	const bool is_new = !backend;
	if (is_new)
	{
		backend = add_incarnation(_record);
	}
	backend->registered = _record;
	if (is_new)
	{
		m_lost.restore(*backend, _now);
	}
	backend->address = _record.address;
	backend->gone = false;
	backend->evacuated =
	    m_evacuated.end() != std::find(m_evacuated.begin(), m_evacuated.end(), _record.domain);
	backend->cold_until = std::max(_now + _record.warmup_left, backend->evacuation_cold_until);
}

void backend_registry::remove(const backend_id& _id, steady_time _now)
{
	const auto it = m_by_id.find(_id);
	if (m_by_id.end() == it)
	{
		return;
	}
	m_lost.keep(*it->second, _now);
	remove_incarnation(*it->second);
	m_by_id.erase(it);
}

void backend_registry::stop_new_requests(const backend_id& _id)
{
	if (const backend_ptr backend = find(_id))
	{
		backend->registered.draining = true;
	}
}

void backend_registry::set_evacuated(const std::vector<domain_name>& _domains, steady_time _now)
{
	m_evacuated = _domains;
	for (const auto& [id, backend] : m_by_id)
	{
		const bool was_evacuated = backend->evacuated;
		backend->evacuated = m_evacuated.end() !=
		                     std::find(m_evacuated.begin(), m_evacuated.end(), backend->registered.domain);
		const auto warmup = m_warmup_times.find(backend->registered.service);
		if (was_evacuated && !backend->evacuated && m_warmup_times.end() != warmup)
		{
			backend->evacuation_cold_until = _now + warmup->second;
			backend->cold_until = std::max(backend->cold_until, backend->evacuation_cold_until);
		}
	}
}

void backend_registry::set_in_flight_of_node(const node_name& _node, const in_flight_counts& _counts)
{
	const auto add = [this](const in_flight_counts& _node_counts, int _sign)
	{
		for (const in_flight_count& count : _node_counts)
		{
			const auto it = m_by_hash.find(count.id_hash);
			if (m_by_hash.end() != it)
			{
				int& elsewhere = it->second->load.in_flight_elsewhere;
				elsewhere = std::max(0, elsewhere + _sign * count.in_flight);
			}
		}
	};
	in_flight_counts& before = m_in_flight_of_node[_node];
	add(before, -1);
	add(_counts, 1);
	before = _counts;
}

in_flight_counts backend_registry::own_in_flight()
{
	in_flight_counts counts;
	for (auto it = m_in_use.begin(); it != m_in_use.end();)
	{
		const backend_server& backend = **it;
		if (backend.load.in_flight <= 0)
		{
			it = m_in_use.erase(it);
			continue;
		}
		counts.push_back({backend.id_hash, backend.load.in_flight});
		++it;
	}
	return counts;
}

const std::vector<backend_state*>& backend_registry::of_service(const service_name& _service) const
{
	static const std::vector<backend_state*> s_empty;
	const auto it = m_by_service.find(_service);
	return m_by_service.end() == it ? s_empty : it->second;
}

const std::vector<backend_server*>& backend_registry::of_domain(const domain_name& _domain) const
{
	static const std::vector<backend_server*> s_empty;
	const auto it = m_by_domain.find(_domain);
	return m_by_domain.end() == it ? s_empty : it->second;
}

std::vector<domain_name> backend_registry::domains() const
{
	std::vector<domain_name> names;
	names.reserve(m_by_domain.size());
	for (const auto& [domain, backends] : m_by_domain)
	{
		names.push_back(domain);
	}
	return names;
}

backend_server* backend_registry::find_incarnation(std::uint32_t _hash) const
{
	const auto it = m_by_hash.find(_hash);
	return m_by_hash.end() == it ? nullptr : it->second;
}

std::size_t backend_registry::limited() const
{
	return static_cast<std::size_t>(std::count_if(m_by_id.begin(), m_by_id.end(),
	    [](const auto& _entry)
	    {
		    return _entry.second->limit.limited();
	    }));
}

std::size_t backend_registry::reported_leaving() const
{
	return static_cast<std::size_t>(std::count_if(m_by_id.begin(), m_by_id.end(),
	    [](const auto& _entry)
	    {
		    return _entry.second->reported_leaving;
	    }));
}

backend_ptr backend_registry::find(const backend_id& _id) const
{
	const auto it = m_by_id.find(_id);
	return m_by_id.end() == it ? nullptr : it->second;
}
} // namespace larkrack
