// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/node_paths_p.h"

#include "entry_node/path_check_p.h"
#include "steering/request_times_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Backend servers that one check connects to.
constexpr std::size_t k_controls = 2;
/// The same where a crash is to be told from a broken path: a request may have crashed several at once.
constexpr std::size_t k_crash_controls = 3;
/// Maximum number of checks that one query of another node starts.
constexpr std::size_t k_max_checks_for_query = 16;
} // namespace

std::vector<backend_ptr> node_paths::controls_of(
    const domain_name& _domain, const backend_server* _without) const
{
	const std::vector<backend_server*>& servers = m_backends.of_domain(_domain);
	const std::set<std::uint32_t>& failed = m_monitor.failed_servers(_domain);
	const steady_time now = m_clock.steady();
	const std::size_t wanted = nullptr == _without ? k_controls : k_crash_controls;
	const std::size_t first = servers.empty() ? 0 : m_last_control++ % servers.size();
	std::vector<backend_ptr> preferred;
	std::vector<backend_ptr> others;
	for (std::size_t i = 0; i < servers.size() && preferred.size() < wanted; ++i)
	{
		const backend_server& server = *servers[(first + i) % servers.size()];
		if (!server.accepts_new_requests() || &server == _without)
		{
			continue;
		}
		const bool doubtful = 0 != failed.count(server.id_hash) || server.ejection.ejected(now);
		(doubtful ? others : preferred).push_back(m_backends.find(server.registered.id));
	}
	while (preferred.size() < wanted && !others.empty())
	{
		preferred.push_back(std::move(others.back()));
		others.pop_back();
	}
	return preferred;
}

bool node_paths::start_check(const domain_name& _domain, const backend_server* _without)
{
	if (m_checks.end() != m_checks.find(_domain))
	{
		return true;
	}
	std::vector<backend_ptr> controls = controls_of(_domain, _without);
	m_monitor.on_check_started(_domain, m_clock.steady());
	if (controls.empty())
	{
		m_monitor.on_check_failed(_domain, {}, k_controls, m_clock.steady());
		return false;
	}
	const bool same_region = controls.front()->region == m_region;
	running_check& running = m_checks[_domain];
	running.check = std::make_shared<path_check>(m_context, m_clock, std::move(controls),
	    connect_timeout(same_region) / 2,
	    [this, _domain](const backend_ptr& _connected, const std::vector<std::uint32_t>& _failed)
	    {
		    on_checked(_domain, nullptr != _connected, _failed);
	    });
	running.check->start();
	return true;
}

void node_paths::on_checked(
    const domain_name& _domain, bool _connected, const std::vector<std::uint32_t>& _failed)
{
	const auto it = m_checks.find(_domain);
	const std::vector<path_handler> waiting = std::move(it->second.waiting);
	m_checks.erase(it);
	if (_connected)
	{
		m_monitor.on_check_passed(_domain, m_clock.steady());
	}
	else
	{
		begin_examination(_domain);
		const std::vector<backend_server*>& servers = m_backends.of_domain(_domain);
		const auto accepting = std::count_if(servers.begin(), servers.end(),
		    [](const backend_server* _server)
		    {
			    return _server->accepts_new_requests();
		    });
		m_monitor.on_check_failed(_domain, _failed, static_cast<std::size_t>(accepting), m_clock.steady());
	}
	for (const path_handler& handler : waiting)
	{
		handler(_connected);
	}
	ask_others();
	update();
}

void node_paths::start_due_checks()
{
	for (const domain_name& domain : m_monitor.due_checks(m_clock.steady()))
	{
		start_check(domain, nullptr);
	}
}

void node_paths::confirm_path(const backend_server& _failed, path_handler _handler)
{
	const domain_name& domain = _failed.registered.domain;
	if (start_check(domain, &_failed))
	{
		m_checks[domain].waiting.push_back(std::move(_handler));
		return;
	}
	for (const domain_name& other : m_backends.domains())
	{
		if (other != domain && start_check(other, &_failed))
		{
			m_checks[other].waiting.push_back(std::move(_handler));
			return;
		}
	}
	_handler(true);
}

path_report node_paths::own_report(const std::vector<domain_name>& _domains) const
{
	const steady_time now = m_clock.steady();
	path_report report;
	for (const domain_name& domain : _domains)
	{
		if (const std::optional<steady_time> contact = m_monitor.last_contact(domain))
		{
			const steady_time response = m_monitor.last_response(domain);
			report[domain] = {to_ms(now - *contact),
			    steady_time{} == response ? std::chrono::milliseconds::max() : to_ms(now - response)};
		}
	}
	return report;
}

void node_paths::report(
    const std::vector<domain_name>& _domains, std::function<void(const path_report&)> _handler)
{
	const steady_time now = m_clock.steady();
	const auto pending = std::make_shared<std::size_t>(1);
	const auto finish = [this, pending, _domains, handler = std::move(_handler)]
	{
		if (0 == --*pending)
		{
			handler(own_report(_domains));
		}
	};
	std::size_t checks = 0;
	for (const domain_name& domain : _domains)
	{
		const std::optional<steady_time> contact = m_monitor.last_contact(domain);
		const bool recent = contact && now - *contact <= k_max_contact_age / 2;
		if (recent || m_monitor.broken(domain) || checks >= k_max_checks_for_query)
		{
			continue;
		}
		++checks;
		if (start_check(domain, nullptr))
		{
			++*pending;
			m_checks[domain].waiting.emplace_back(
			    [finish](bool)
			    {
				    finish();
			    });
		}
	}
	finish();
}
} // namespace larkrack
