// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/node_paths_p.h"

#include "entry_node/path_check_p.h"
#include "entry_node/relay_messages_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Time for which requests wait for a verdict from the first failure on, milliseconds: the timeouts of a
/// connection and of a check, and a query to another region.
constexpr std::chrono::milliseconds k_examination_time{1000};

const char* to_string(path_use _use)
{
	switch (_use)
	{
	case path_use::direct:
		return "direct";
	case path_use::by_relay:
		return "by_relay";
	case path_use::none:
		break;
	}
	return "none";
}

const domain_name& domain_of(const backend_server& _backend)
{
	return _backend.registered.domain;
}
} // namespace

node_paths::node_paths(asio::io_context& _context, const clock_base& _clock, backend_registry& _backends,
    const fleet_view_base& _fleet, region_name _region, entry_log& _log, asker _ask, callbacks _callbacks)
    : m_context(_context), m_clock(_clock), m_backends(_backends), m_fleet(_fleet),
      m_region(std::move(_region)), m_log(_log), m_ask(std::move(_ask)), m_callbacks(std::move(_callbacks)),
      m_random(static_cast<unsigned>(_clock.steady().time_since_epoch().count()))
{
}

node_paths::~node_paths()
{
	*m_alive = false;
	for (auto& [domain, running] : m_checks)
	{
		running.check->cancel();
	}
}

path_request node_paths::on_exchange_start(
    const backend_server& _backend, const request_kind& _kind, steady_time::duration _until_deadline)
{
	return m_monitor.on_exchange_start(domain_of(_backend), _kind, _until_deadline, m_clock.steady());
}

void node_paths::on_exchange_end(const path_request& _request)
{
	m_monitor.on_exchange_end(_request, m_clock.steady());
}

void node_paths::on_response(path_request& _request, bool _ran)
{
	m_monitor.on_response(_request, _ran, m_clock.steady());
}

void node_paths::on_connected(const backend_server& _backend)
{
	m_monitor.on_connected(domain_of(_backend), m_clock.steady());
}

void node_paths::on_connect_failed(const backend_server& _backend)
{
	begin_examination(domain_of(_backend));
	m_monitor.on_connect_failed(domain_of(_backend), _backend.id_hash, m_clock.steady());
	start_due_checks();
}

void node_paths::begin_examination(const domain_name& _domain)
{
	if (!m_monitor.suspected(_domain) && !m_monitor.broken(_domain))
	{
		m_examined_until = m_clock.steady() + k_examination_time;
	}
}

bool node_paths::sends_directly(const backend_server& _backend, bool _may_try)
{
	if (path_use::by_relay != _backend.path)
	{
		return true;
	}
	const steady_time now = m_clock.steady();
	if (m_monitor.unresponsive(domain_of(_backend)))
	{
		return _may_try && m_monitor.take_trial(domain_of(_backend), now);
	}
	return _backend.idle_connections > 0 && m_monitor.open_connections_work(domain_of(_backend), now);
}

std::optional<relay_candidate> node_paths::choose_relay(
    const backend_server& _backend, const std::vector<std::string>& _homes)
{
	relay_query query;
	query.domain = domain_of(_backend);
	query.region = _backend.region;
	query.own_region = m_region;
	query.needs_responses = m_monitor.unresponsive(query.domain);
	query.homes = &_homes;
	const relay_candidate* relay = m_relays.choose(query, m_random, m_clock.steady());
	return nullptr == relay ? std::nullopt : std::make_optional(*relay);
}

void node_paths::on_relay_refused(const std::string& _ip)
{
	m_relays.on_refused(_ip, m_clock.steady());
	ask_others();
	update();
}

bool node_paths::examining() const
{
	if (m_clock.steady() >= m_examined_until)
	{
		return false;
	}
	const std::vector<domain_name> troubled = m_monitor.troubled();
	return std::any_of(troubled.begin(), troubled.end(),
	    [this](const domain_name& _domain)
	    {
		    const auto state = m_uses.find(_domain);
		    return m_uses.end() == state || path_use::by_relay != state->second.use;
	    });
}

bool node_paths::in_doubt(const backend_server& _backend) const
{
	return m_monitor.broken(domain_of(_backend)) || m_monitor.suspected(domain_of(_backend));
}

void node_paths::tick()
{
	const steady_time now = m_clock.steady();
	m_monitor.tick(now);
	m_relays.tick(now);
	start_due_checks();
	ask_others();
	update();
}

void node_paths::ask_others()
{
	const steady_time now = m_clock.steady();
	if (now < m_next_query_at || !m_monitor.any_broken())
	{
		return;
	}
	m_next_query_at = now + k_query_interval;
	std::vector<domain_name> broken;
	for (const domain_name& domain : m_backends.domains())
	{
		if (m_monitor.broken(domain))
		{
			broken.push_back(domain);
		}
	}
	const std::string body = encode_path_query(broken);
	for (const relay_candidate& node :
	    m_relays.nodes_to_ask(m_fleet.relay_candidates(), m_region, m_random, now))
	{
		m_ask(node, body,
		    [this, alive = m_alive, node](const std::optional<std::string>& _response)
		    {
			    if (*alive)
			    {
				    on_reported(node, _response);
			    }
		    });
	}
}

void node_paths::on_reported(const relay_candidate& _node, const std::optional<std::string>& _body)
{
	const steady_time now = m_clock.steady();
	if (!_body)
	{
		m_relays.on_refused(_node.ip, now);
		return;
	}
	result<path_report> decoded = decode_path_report(*_body);
	path_report* report = value_of(decoded);
	if (nullptr == report)
	{
		m_relays.on_refused(_node.ip, now);
		return;
	}
	m_relays.on_report(_node, std::move(*report), now);
	update();
}

path_use node_paths::use_of(const domain_name& _domain) const
{
	if (!m_monitor.broken(_domain))
	{
		return path_use::direct;
	}
	const steady_time now = m_clock.steady();
	const bool unresponsive = m_monitor.unresponsive(_domain);
	if (m_relays.any_for(_domain, unresponsive, now))
	{
		return path_use::by_relay;
	}
	return unresponsive || m_monitor.open_connections_work(_domain, now) ? path_use::direct : path_use::none;
}

void node_paths::update()
{
	if (m_uses.empty() && !m_monitor.any_broken())
	{
		return;
	}
	bool changed = false;
	for (const domain_name& domain : m_backends.domains())
	{
		changed = update_domain(domain) || changed;
	}
	if (changed)
	{
		m_callbacks.on_change();
	}
}

bool node_paths::update_domain(const domain_name& _domain)
{
	const steady_time now = m_clock.steady();
	const auto known = m_uses.find(_domain);
	if (!m_monitor.broken(_domain))
	{
		if (m_uses.end() == known)
		{
			return false;
		}
		m_log.write(log_line(event::path_regained)
		                .text("domain", _domain.text)
		                .number("ms", to_ms(now - known->second.since).count()));
		m_uses.erase(known);
		apply(_domain, path_use::direct);
		return true;
	}
	const bool is_new = m_uses.end() == known;
	path_state& state = m_uses[_domain];
	const path_use use = use_of(_domain);
	const bool changed = is_new || use != state.use;
	if (is_new)
	{
		state.since = now;
	}
	state.use = use;
	if (changed)
	{
		log_lost(_domain, use);
	}
	apply(_domain, use);
	abandon_if_lost(_domain, state);
	return changed;
}

void node_paths::abandon_if_lost(const domain_name& _domain, path_state& _state)
{
	const steady_time now = m_clock.steady();
	if (path_use::by_relay != _state.use || m_monitor.open_connections_work(_domain, now))
	{
		_state.abandoned_at = {};
		return;
	}
	const bool trial_over =
	    m_monitor.unresponsive(_domain) && now - _state.abandoned_at >= m_monitor.trial_interval(_domain);
	if (steady_time{} == _state.abandoned_at || trial_over)
	{
		_state.abandoned_at = now;
		m_callbacks.on_lost(_domain);
	}
}

void node_paths::apply(const domain_name& _domain, path_use _use)
{
	const bool close_idle =
	    path_use::by_relay == _use && !m_monitor.open_connections_work(_domain, m_clock.steady());
	for (backend_server* server : m_backends.of_domain(_domain))
	{
		if (close_idle)
		{
			server->close_idle();
		}
		if (server->path == _use)
		{
			continue;
		}
		server->path = _use;
		server->ejection.forgive(); // Its failures may have been those of the path.
	}
}

void node_paths::log_lost(const domain_name& _domain, path_use _use)
{
	m_log.write(log_line(event::path_lost)
	                .text("domain", _domain.text)
	                .text("use", to_string(_use))
	                .text("sign", m_monitor.unresponsive(_domain) ? "responses" : "connections")
	                .number("failed", static_cast<std::int64_t>(m_monitor.failed_servers(_domain).size())));
}
} // namespace larkrack
