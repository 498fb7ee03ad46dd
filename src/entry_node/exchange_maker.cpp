// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/exchange_maker_p.h"

#include "steering/request_times_p.h"

namespace larkrack
{
namespace
{
/// Time after the last relayed request after which connections to relays are closed, milliseconds.
constexpr std::chrono::milliseconds k_relay_idle_time{5000};
} // namespace

exchange_maker::exchange_maker(asio::io_context& _context, const clock_base& _clock, header_names _names,
    region_name _region, path_steering_base& _paths, std::function<void(steady_time::duration _hop)> _on_hop)
    : m_context(_context), m_clock(_clock), m_names(std::move(_names)), m_region(std::move(_region)),
      m_paths(_paths), m_on_hop(std::move(_on_hop)), m_connections(_context)
{
}

void exchange_maker::set_relay_port(std::uint16_t _port, std::string _own_address)
{
	m_connections.port = _port;
	m_connections.own_address = std::move(_own_address);
}

void exchange_maker::tick()
{
	if (steady_time{} != m_last_relayed_at && m_clock.steady() - m_last_relayed_at > k_relay_idle_time)
	{
		m_connections.pool.clear();
		m_last_relayed_at = {};
	}
}

std::shared_ptr<exchange_base> exchange_maker::make(const backend_ptr& _backend, upstream_request&& _request,
    const std::vector<std::string>& _homes, backend_report_listener_base& _reports,
    exchange_base::handler _handler)
{
	const exchange_services services{m_context, m_clock, m_names, _reports, &m_promises, m_memory};
	const bool may_try = _request.first_attempt && !_request.at_most_once;
	const bool directly = 0 == m_connections.port || m_paths.sends_directly(*_backend, may_try);
	const std::optional<relay_candidate> relay =
	    directly ? std::nullopt : m_paths.choose_relay(*_backend, _homes);
	if (!relay)
	{
		return std::make_shared<upstream_exchange>(services, m_paths, _backend, std::move(_request),
		    connect_timeout(_backend->region == m_region), std::move(_handler));
	}
	++m_counters.by_relay;
	m_last_relayed_at = m_clock.steady();
	relay_listener_base& listener = *this;
	return std::make_shared<relay_exchange>(services, m_connections, listener, relay->ip, _backend,
	    std::move(_request), connect_timeout(relay->region == m_region), std::move(_handler));
}

void exchange_maker::on_relay_refused(const std::string& _ip)
{
	++m_counters.relay_refusals;
	m_paths.on_relay_refused(_ip);
}

void exchange_maker::on_relayed(steady_time::duration _hop)
{
	m_on_hop(_hop);
}
} // namespace larkrack
