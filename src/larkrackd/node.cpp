// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/node_p.h"

#include "larkrack/config.h"

#include "base/metrics_p.h"
#include "larkrackd/control_p.h"
#include "larkrackd/log_p.h"
#include "larkrackd/operators_p.h"
#include "larkrackd/tracer_p.h"
#include "larkrackd/traffic_p.h"

namespace larkrack
{
namespace
{
/// Maximum time of a planned stop; requests that still run then are cut off. A longer one lets slow requests
/// complete and delays the replacement of the VM.
constexpr std::chrono::seconds k_max_stop_time{120};
/// Time between two checks whether all requests have ended and all backend servers are handed over.
constexpr std::chrono::milliseconds k_stop_poll_interval{20};
/// Time for which connections are still accepted after the begin of a stop: callers' cached look-ups must
/// have expired, with a margin for connections on their way. With this time a planned stop leaves no request
/// with an unknown outcome (docs/MEASUREMENTS.md, stop_entry).
constexpr std::chrono::milliseconds k_stop_accept_time = k_lookup_ttl + std::chrono::milliseconds(500);
/// Time for the sockets to send the farewell.
constexpr std::chrono::milliseconds k_farewell_send_time{100};
} // namespace

node::node(const settings& _settings)
{
	add_services(_settings);
}

void node::add_services(const settings& _settings)
{
	auto clock = std::make_unique<clock_system>();
	auto settings_holder = std::make_unique<settings_service>(_settings);
	auto peers = create_peers_websocket(m_context, settings_holder->get(), *clock);
	m_kernel.add(std::move(clock));
	m_kernel.add(std::move(settings_holder));
	m_kernel.add(std::make_unique<metrics>());
	m_kernel.add(std::make_unique<tracer_service>(m_context));
	m_kernel.add(std::make_unique<view_publisher>());
	m_kernel.add(std::make_unique<gate>(_settings.chooser));
	m_kernel.add(std::make_unique<key_table>());
	m_kernel.add(std::make_unique<store_http>(m_context, _settings.platform));
	m_kernel.add(std::move(peers));
	m_kernel.add(std::make_unique<platform_sync>(m_context, _settings.name, _settings.platform));
	m_kernel.add(std::make_unique<control>(m_context));
	m_kernel.add(std::make_unique<traffic>());
	m_kernel.add(std::make_unique<operators>(m_context));
	m_control = m_kernel.find<control>("control");
	m_traffic = m_kernel.find<traffic>("traffic");
}

int node::run()
{
	if (const std::optional<error> failure = m_kernel.init())
	{
		log_event(event::node_failed, {{"code", failure->code}, {"message", failure->message}});
		return 1;
	}
	log_event(event::node_started, {{"version", LARKRACK_VERSION}});
	boost::asio::signal_set signals(m_context, SIGINT, SIGTERM);
	// The wait fails only when the signal set is destroyed, after the I/O context has stopped.
	signals.async_wait(
	    [this](const boost::system::error_code& _failure, int)
	    {
		    if (!_failure)
		    {
			    start(m_context,
			        [this](const yield_context& _yield)
			        {
				        stop(_yield);
			        });
		    }
	    });
	m_context.run();
	m_kernel.shutdown();
	log_event(event::node_stopped, {{"in_flight", m_traffic->in_flight()}});
	return 0;
}

void node::stop(const yield_context& _yield)
{
	const auto began = std::chrono::steady_clock::now();
	m_control->begin_stop();
	m_traffic->begin_stop();
	sleep_for(m_context.get_executor(), k_stop_accept_time, _yield);
	m_traffic->stop_accepting();
	const auto is_overdue = [&]
	{
		return k_max_stop_time < std::chrono::steady_clock::now() - began;
	};
	while (!is_overdue() && (0 < m_traffic->in_flight() || !m_control->is_handed_over()))
	{
		sleep_for(m_context.get_executor(), k_stop_poll_interval, _yield);
	}
	m_control->send_farewell();
	sleep_for(m_context.get_executor(), k_farewell_send_time, _yield);
	m_context.stop();
}
} // namespace larkrack
