// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/entry_node_p.h"

#include "steering/planned_stop_p.h"

#include "larkrack/config.h"

#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace larkrack
{
namespace
{
/// Number of file descriptors reserved for files, the store, other nodes and the like. Higher: fewer callers.
/// Lower: a node under load cannot reach the store.
constexpr int k_reserved_descriptors = 260;
/// Share of the other descriptors that connections of callers may use; the rest is for connections to backend
/// servers. Higher: requests wait for connections to backend servers. Lower: callers are refused sooner.
constexpr double k_caller_descriptors = 0.6;
/// Maximum number of connections of other nodes, which send queries and requests to forward. Higher: more
/// memory. Lower: requests of nodes without a path to backend servers are refused.
constexpr std::size_t k_peer_connections = 768;
/// Maximum number of connections to each of the other listeners: readiness, lookups, metrics. Higher:
/// more memory under abuse. Lower: lookups of a large region are refused.
constexpr std::size_t k_other_connections = 256;
/// Minimum number of descriptors that are divided, however few the settings permit.
constexpr int k_min_shared_descriptors = 64;

/// Maximum body of a request for readiness, a lookup or metrics, which need none, and time for it to arrive.
constexpr std::uint64_t k_max_other_body_bytes = 4096;
constexpr std::chrono::milliseconds k_max_other_body_time{5000};
/// Maximum body of a request of another node that is none to forward, or of one that is not known as a node.
constexpr std::uint64_t k_max_query_body_bytes = 65536;
/// Maximum time for the body of a request to forward. Shorter: large ones do not pass a narrow link.
constexpr std::chrono::milliseconds k_max_relay_body_time{60000};
/// Minimum interval between two log lines about requests and responses ended for lack of memory.
constexpr std::chrono::milliseconds k_memory_log_interval{1000};

/// Maximum interval between two ticks in milliseconds, however long the heartbeat interval is. Longer: shares
/// and vanished backend servers are updated later. Shorter: more processor time in large fleets.
constexpr std::chrono::milliseconds k_max_tick_interval{250};

/// Bytes of a relayed request beside the caller's head and body: the other fields, and headers that this node
/// adds.
constexpr std::uint64_t k_relay_message_bytes = 8192;

tcp::endpoint to_tcp(const endpoint& _endpoint)
{
	return {asio::ip::make_address(_endpoint.host), _endpoint.port};
}

std::string address_text(const endpoint& _endpoint)
{
	return _endpoint.host + ":" + std::to_string(_endpoint.port);
}

node_heartbeat heartbeat_of(const entry_settings& _settings)
{
	node_heartbeat self;
	self.node = node_name(_settings.place.node);
	self.incarnation = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
	    std::chrono::system_clock::now().time_since_epoch())
	                                                  .count());
	self.domain = domain_name(_settings.place.domain);
	self.region = region_name(_settings.place.region);
	self.ip = _settings.ip;
	self.callers = address_text(_settings.callers);
	return self;
}

std::vector<domain_name> domains_of(const entry_settings& _settings)
{
	std::vector<domain_name> domains;
	for (const auto& [domain, region] : _settings.region_of)
	{
		domains.emplace_back(domain);
	}
	return domains;
}

std::size_t caller_connections(const entry_settings& _settings)
{
	const int free = std::max(k_min_shared_descriptors, _settings.max_descriptors - k_reserved_descriptors);
	return static_cast<std::size_t>(k_caller_descriptors * free);
}
} // namespace

entry_node::entry_node(
    const entry_settings& _settings, std::string _settings_path, const platform_dialect_base& _dialect)
    : m_settings(_settings), m_settings_path(std::move(_settings_path)), m_dialect(_dialect), m_context(1),
      m_log(_settings.place.node), m_backends(_settings.region_of),
      m_fleet(m_clock, heartbeat_of(_settings), m_backends, m_log),
      m_quotas(m_context, m_clock, _settings.quotas, m_fleet, node_name(_settings.place.node), m_log,
          [this](const std::vector<std::uint8_t>& _bytes, const std::string& _ip)
          {
	          send_datagram(_bytes, _ip);
          }),
      m_rollouts(
          m_clock, m_fleet, m_backends, _settings.expose_share, node_name(_settings.place.node),
          m_fleet.self().incarnation, m_log,
          [this](const std::vector<std::uint8_t>& _bytes, const std::string& _ip)
          {
	          send_datagram(_bytes, _ip);
          },
          [this](const rollout_status& _status, std::int64_t _expected_revision)
          {
	          write_rollout_status(_status, _expected_revision);
          }),
      m_limits(m_context, m_clock, m_fleet, m_backends, _settings.place, m_log,
          [this](const std::vector<std::uint8_t>& _bytes, const std::string& _ip)
          {
	          send_datagram(_bytes, _ip);
          }),
      m_crashes(
          m_context, m_clock, m_fleet, m_backends, region_name(_settings.place.region), m_log,
          [this](const std::vector<std::uint8_t>& _bytes, const std::string& _ip)
          {
	          send_datagram(_bytes, _ip);
          },
          [this](const request_block& _block)
          {
	          write_block(_block);
          }),
      m_paths(m_context, m_clock, m_backends, m_fleet, region_name(_settings.place.region), m_log,
          [this](
              const relay_candidate& _node, const std::string& _body, node_paths::response_handler _handler)
          {
	          ask_for_paths(_node, _body, std::move(_handler));
          },
          {[this]
              {
	              m_forwarder.retry_waiting_requests();
              },
              [this](const domain_name& _domain)
              {
	              m_forwarder.abandon_exchanges(_domain);
	              m_relays.abandon_requests(_domain);
              }}),
      m_exchanges(m_context, m_clock, _dialect.headers(), region_name(_settings.place.region), m_paths,
          [this](steady_time::duration _hop)
          {
	          m_metrics.observe_relay_hop(to_s(_hop));
          }),
      m_forwarder(m_context, m_clock, _dialect.headers(), _settings.place, _settings.bounds,
          make_admission_factory(_settings.overload.admission), m_backends, m_fleet, m_quotas, m_rollouts,
          m_limits, m_crashes, m_exchanges, m_log, m_metrics),
      m_relays({m_context, m_clock, m_exchanges.names(), m_forwarder.report_listener(), nullptr,
                   m_exchanges.memory()},
          m_backends, m_paths, m_crashes, m_log,
          [this](const std::string& _ip)
          {
	          return m_fleet.is_member_address(_ip);
          }),
      m_replica(
          m_clock, _dialect.codec(), m_backends, m_log,
          [this](std::shared_ptr<const routing_table> _routes)
          {
	          m_callers.set_limits(_routes->limits());
	          set_relay_limits(_routes->limits());
	          m_forwarder.set_routes(std::move(_routes));
	          m_quotas.set_routes(m_forwarder.routes()); // customer_quotas skips an older version.
	          m_backends.set_warmup_times(m_forwarder.routes()->warmup_times());
          },
          [this](const std::string& _ip)
          {
	          m_fleet.add_address(_ip);
          }),
      m_store(_dialect.make_store(m_context, _settings.store)),
      m_sync(m_context, m_clock, *m_store, m_replica, _dialect.codec(), *this, m_log, _settings.changes,
          _settings.place.node, _settings.ip),
      m_callers(
          m_context,
          [this](const std::shared_ptr<caller_session>& _session, caller_request&& _request)
          {
	          m_last_request_at = m_clock.steady();
	          m_forwarder.handle(_session, std::move(_request));
          },
          caller_connections(_settings), m_exchanges.memory()),
      m_readiness(
          m_context,
          [this](const std::shared_ptr<caller_session>& _session, caller_request&&)
          {
	          answer_readiness(_session);
          },
          k_other_connections, m_exchanges.memory()),
      m_lookups(
          m_context,
          [this](const std::shared_ptr<caller_session>& _session, caller_request&& _request)
          {
	          answer_lookup(_session, _request);
          },
          k_other_connections, m_exchanges.memory()),
      m_peers(
          m_context,
          [this](const std::shared_ptr<caller_session>& _session, caller_request&& _request)
          {
	          answer_peer(_session, std::move(_request));
          },
          k_peer_connections, m_exchanges.memory()),
      m_metrics_listener(
          m_context,
          [this](const std::shared_ptr<caller_session>& _session, caller_request&&)
          {
	          answer_metrics(_session);
          },
          k_other_connections, m_exchanges.memory()),
      m_datagram_socket(m_context), m_signals(m_context, SIGTERM, SIGINT, SIGHUP), m_tick_timer(m_context),
      m_stop_timer(m_context), m_fetch_timer(m_context), m_fetch_routes_timer(m_context),
      m_peer_caller(m_context.get_executor()),
      m_random(static_cast<unsigned>(std::hash<std::string>()(_settings.place.node)))
{
	m_forwarder.set_backend_choice(_settings.backend_choice);
	m_fleet.set_domains(domains_of(_settings));
	m_exchanges.memory()->set_limits(_settings.overload.max_response_mb, _settings.overload.memory_mb);
	m_exchanges.memory()->set_listener(this);
	set_body_rules();
	m_replica.set_rollouts(&m_rollouts);
	m_replica.set_blocks(&m_crashes);
	m_crashes.set_path_witness(&m_paths);
	if (_settings.peers)
	{
		m_exchanges.set_relay_port(_settings.peers->port, _settings.ip);
	}
	m_callers.set_header_check(
	    [this](const caller_request& _request)
	    {
		    return m_forwarder.check_before_body(_request);
	    });
	m_callers.set_unread_refusal_handler(
	    [this](const unread_refusal& _refusal)
	    {
		    m_forwarder.on_unread_refusal(_refusal);
	    });
	m_callers.set_body_time_rule(
	    [this](const caller_request& _request)
	    {
		    return m_forwarder.body_time_limit(_request);
	    });
}

entry_node::~entry_node()
{
	m_exchanges.memory()->set_listener(nullptr);
}

void entry_node::set_body_rules()
{
	caller_limits small;
	small.body_bytes = k_max_other_body_bytes;
	for (http_listener* listener : {&m_readiness, &m_lookups, &m_metrics_listener})
	{
		listener->set_limits(small);
		listener->set_body_time_rule(
		    [](const caller_request&)
		    {
			    return k_max_other_body_time;
		    });
	}
	m_peers.set_body_bytes_rule(
	    [this](const caller_session& _session, const caller_request& _request)
	    {
		    return max_peer_body(_session, _request);
	    });
	m_peers.set_body_time_rule(
	    [](const caller_request&)
	    {
		    return k_max_relay_body_time;
	    });
}

std::uint64_t entry_node::max_peer_body(const caller_session& _session, const caller_request& _request) const
{
	const bool may_relay =
	    k_relay_target == _request.target() && m_fleet.is_member_address(_session.address());
	return may_relay ? UINT64_MAX : k_max_query_body_bytes;
}

void entry_node::on_memory_end(memory_use _use, std::uint64_t _bytes)
{
	++m_unlogged_memory_ends;
	const steady_time now = m_clock.steady();
	if (steady_time{} != m_memory_logged_at && now - m_memory_logged_at < k_memory_log_interval)
	{
		return;
	}
	m_memory_logged_at = now;
	m_log.write(log_line(event::memory_ended)
	                .text("use", to_string(_use))
	                .number("bytes", static_cast<std::int64_t>(_bytes))
	                .number("held", static_cast<std::int64_t>(m_exchanges.memory()->held()))
	                .number("ends", static_cast<std::int64_t>(std::exchange(m_unlogged_memory_ends, 0))));
}

std::optional<error> entry_node::open()
{
	const auto listen = [](http_listener& _listener,
	                        const std::optional<endpoint>& _where) -> std::optional<error>
	{
		if (!_where)
		{
			return std::nullopt;
		}
		const beast::error_code failed = _listener.listen(to_tcp(*_where));
		if (failed)
		{
			return error{"listen", "can not listen on " + address_text(*_where) + ": " + failed.message()};
		}
		return std::nullopt;
	};
	const std::pair<http_listener*, std::optional<endpoint>> listeners[] = {{&m_callers, m_settings.callers},
	    {&m_readiness, m_settings.readiness}, {&m_lookups, m_settings.lookups}, {&m_peers, m_settings.peers},
	    {&m_metrics_listener, m_settings.metrics}};
	for (const auto& [listener, where] : listeners)
	{
		if (auto failed = listen(*listener, where))
		{
			return failed;
		}
	}
	beast::error_code failed;
	const asio::ip::udp::endpoint where(asio::ip::make_address(m_settings.ip), m_settings.heartbeat_port);
	m_datagram_socket.open(asio::ip::udp::v4(), failed);
	m_datagram_socket.bind(where, failed);
	if (failed)
	{
		return error{
		    "listen", "can not bind UDP port " + std::to_string(where.port()) + ": " + failed.message()};
	}
	m_datagram_socket.non_blocking(true, failed);
	return std::nullopt;
}

void entry_node::run()
{
	m_log.write(log_line(event::node_started)
	                .text("region", m_settings.place.region)
	                .text("domain", m_settings.place.domain)
	                .text("callers", address_text(m_settings.callers)));
	m_copy_started_at = m_clock.steady();
	m_forwarder.set_started_at(m_copy_started_at);
	add_seeds(m_settings.seeds);
	watch_signals();
	receive_datagrams();
	m_started_at = m_clock.steady();
	m_sync.begin();
	tick();
	m_context.run();
	m_log.write(log_line(event::node_stopped));
	m_log.flush();
}

void entry_node::add_seeds(const std::vector<std::string>& _seeds)
{
	for (const std::string& seed : _seeds)
	{
		m_fleet.add_address(seed.substr(0, seed.rfind(':')));
	}
}

void entry_node::watch_signals()
{
	m_signals.async_wait(
	    [this](beast::error_code _error, int _signal)
	    {
		    if (_error)
		    {
			    return;
		    }
		    if (SIGHUP == _signal)
		    {
			    reload_settings();
		    }
		    else
		    {
			    begin_stop();
		    }
		    watch_signals();
	    });
}

void entry_node::reload_settings()
{
	result<nlohmann::json> document = read_json_file(m_settings_path);
	if (const error* failed = std::get_if<error>(&document))
	{
		m_log.write(log_line(event::settings_refused).text("why", failed->message));
		return;
	}
	const auto parsed = parse_entry_settings(*value_of(document));
	if (const auto* mistakes = std::get_if<std::vector<mistake>>(&parsed))
	{
		m_log.write(log_line(event::settings_refused).text("why", to_string(*mistakes)));
		return;
	}
	const entry_settings& reloaded = std::get<entry_settings>(parsed);
	add_seeds(reloaded.seeds);
	m_settings.lookup_ttl = reloaded.lookup_ttl;
	m_settings.grace = reloaded.grace;
	m_log.write(
	    log_line(event::settings_reloaded).number("seeds", static_cast<std::int64_t>(reloaded.seeds.size())));
}

void entry_node::begin_stop()
{
	if (m_stopping)
	{
		return;
	}
	m_stopping = true;
	m_stop = {m_clock.steady(), m_settings.grace};
	m_last_request_at = m_stop.began_at;
	m_log.write(log_line(event::node_stopping)
	                .number("in_flight", static_cast<std::int64_t>(m_forwarder.in_flight())));
	m_fleet.self().state = node_state::stopping;
	send_heartbeat_to_region();
	send_heartbeats();
	m_callers.begin_stop();
	m_forwarder.begin_stop(m_stop);
	m_relays.begin_stop(m_stop);
	stop_step();
}

void entry_node::end_taking_requests()
{
	m_stop_told = true;
	m_accepting_ended_at = m_clock.steady();
	m_callers.stop_accepting();
	m_forwarder.refuse_waiting();
	m_sync.end();
	m_log.write(log_line(event::node_stopped)
	                .number("in_flight", static_cast<std::int64_t>(m_forwarder.in_flight())));
	m_log.flush();
}

bool entry_node::ends_now(const stop_decision& _decision, steady_time _now) const
{
	return _decision.end &&
	       (_now - m_accepting_ended_at >= k_stop_last_time || _now - m_stop.began_at >= m_stop.grace);
}

void entry_node::stop_step()
{
	const steady_time now = m_clock.steady();
	const std::size_t busy = m_callers.busy() + m_relays.in_flight();
	if (m_callers.accepted() != m_accepted_before)
	{
		m_accepted_before = m_callers.accepted();
		m_last_request_at = now;
	}
	const steady_time::duration since_request = 0 == busy ? now - m_last_request_at : steady_time::duration{};
	const stop_decision decision = plan_stop({now - m_stop.began_at, m_stop.grace, busy, since_request});
	if (decision.close_idle)
	{
		m_callers.close_idle();
	}
	if ((decision.last_answers || decision.end) && !m_stop_told)
	{
		end_taking_requests();
	}
	if (ends_now(decision, now))
	{
		m_context.stop();
		return;
	}
	m_stop_timer.expires_after(k_stop_check_interval);
	m_stop_timer.async_wait(
	    [this](beast::error_code _error)
	    {
		    if (!_error)
		    {
			    stop_step();
		    }
	    });
}

void entry_node::set_relay_limits(caller_limits _limits)
{
	_limits.body_bytes += _limits.header_bytes + k_relay_message_bytes;
	_limits.header_bytes = caller_limits().header_bytes;
	_limits.header_timeout = caller_limits().header_timeout;
	_limits.idle_timeout = caller_limits().idle_timeout;
	m_peers.set_limits(_limits);
}

void entry_node::write_block(const request_block& _block)
{
	start(m_context,
	    [this, _block](const yield_context& _yield)
	    {
		    m_sync.write_block(_block, _yield);
	    });
}

void entry_node::write_rollout_status(const rollout_status& _status, std::int64_t _expected_revision)
{
	start(m_context,
	    [this, _status, _expected_revision](const yield_context& _yield)
	    {
		    m_sync.write_rollout_status(_status, _expected_revision, _yield);
	    });
}

void entry_node::tick_listeners()
{
	const auto now = std::chrono::time_point_cast<steady_time::duration>(std::chrono::steady_clock::now());
	for (http_listener* listener : {&m_callers, &m_readiness, &m_lookups, &m_peers, &m_metrics_listener})
	{
		listener->tick(now);
	}
}

void entry_node::tick()
{
	m_replica.tick();
	m_forwarder.tick();
	m_fleet.tick();
	m_quotas.tick();
	m_limits.tick();
	m_crashes.tick();
	m_paths.tick();
	m_relays.tick();
	m_exchanges.tick();
	m_exchanges.memory()->tick(m_clock.steady());
	m_rollouts.tick();
	m_packed_pages.tick(m_clock.steady());
	tick_listeners();
	// Some of the backend servers are enough to become ready. Affinity keys that run on a backend server that
	// is still unknown are served late, but refusing callers until all 10,002 backend servers are known makes
	// them wait for 13 s after a power loss of all nodes.
	const bool has_keys = 0 != m_replica.revision() || m_backends.size() > 0;
	if (node_state::starting == m_fleet.self().state && m_forwarder.routes() && has_keys)
	{
		m_fleet.self().state = node_state::ready;
	}
	if (m_clock.steady() >= m_next_heartbeat)
	{
		m_next_heartbeat = m_clock.steady() + m_fleet.interval();
		send_heartbeats();
	}
	send_digests();
	fetch_from_peers();
	check_confirmation();
	m_log.flush();
	m_tick_timer.expires_after(std::min(m_fleet.interval(), k_max_tick_interval));
	m_tick_timer.async_wait(
	    [this](beast::error_code _error)
	    {
		    if (!_error)
		    {
			    tick();
		    }
	    });
}

} // namespace larkrack
