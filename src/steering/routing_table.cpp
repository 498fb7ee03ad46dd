// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/routing_table_p.h"

#include <algorithm>
#include <cctype>

namespace larkrack
{
namespace
{
std::string normalized_host(std::string_view _host)
{
	const std::size_t colon = _host.find(':');
	std::string host(_host.substr(0, colon));
	for (char& letter : host)
	{
		letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
	}
	return host;
}

std::string index_key(const std::string& _host, std::string_view _prefix)
{
	std::string key = _host;
	key += ' ';
	key += _prefix;
	return key;
}
} // namespace

routing_table::routing_table(std::uint64_t _version, std::vector<route> _routes,
    std::vector<routed_service> _services, const caller_limits& _limits, customer_directory _customers)
    : m_version(_version), m_routes(std::move(_routes)), m_services(std::move(_services)), m_limits(_limits),
      m_customers(std::move(_customers))
{
	for (std::size_t i = 0; i < m_routes.size(); ++i)
	{
		m_by_prefix.emplace(index_key(normalized_host(m_routes[i].host), m_routes[i].path_prefix), i);
	}
}

const route* routing_table::find(std::string_view _host, std::string_view _target) const
{
	const std::string host = normalized_host(_host);
	std::string_view path = _target.substr(0, _target.find('?'));
	while (!path.empty())
	{
		const std::size_t slash = path.rfind('/');
		if (std::string_view::npos == slash)
		{
			return nullptr;
		}
		const auto it = m_by_prefix.find(index_key(host, path.substr(0, slash + 1)));
		if (m_by_prefix.end() != it)
		{
			return &m_routes[it->second];
		}
		path = path.substr(0, slash);
	}
	return nullptr;
}

const routed_service* routing_table::find_service(const std::string& _name) const
{
	const auto it = std::find_if(m_services.begin(), m_services.end(),
	    [&](const routed_service& _service)
	    {
		    return _service.name == _name;
	    });
	return m_services.end() == it ? nullptr : &*it;
}

std::unordered_map<service_name, std::chrono::milliseconds> routing_table::warmup_times() const
{
	std::unordered_map<service_name, std::chrono::milliseconds> times;
	for (const routed_service& entry : m_services)
	{
		times.emplace(entry.name, entry.warmup_time);
	}
	return times;
}

std::vector<std::string> routing_table::home_regions(std::string_view _host) const
{
	const std::string host = normalized_host(_host);
	std::vector<std::string> regions;
	for (const route& entry : m_routes)
	{
		if (entry.home_regions.empty() || normalized_host(entry.host) != host)
		{
			continue;
		}
		regions.insert(regions.end(), entry.home_regions.begin(), entry.home_regions.end());
	}
	std::sort(regions.begin(), regions.end());
	regions.erase(std::unique(regions.begin(), regions.end()), regions.end());
	return regions;
}
} // namespace larkrack
