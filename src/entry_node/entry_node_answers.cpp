// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/entry_node_p.h"

#include "entry_node/deflate_p.h"
#include "entry_node/store_changes_codec_p.h"

#include "larkrack/config.h"

#include <limits>

namespace larkrack
{
void entry_node::answer_readiness(const std::shared_ptr<caller_session>& _session)
{
	const bool ready = node_state::ready == m_fleet.self().state;
	_session->respond(caller_response(ready ? http::status::ok : http::status::service_unavailable, 11));
}

void entry_node::answer_lookup(
    const std::shared_ptr<caller_session>& _session, const caller_request& _request)
{
	const std::string target(_request.target());
	const std::optional<lookup_query> query = m_dialect.parse_lookup(target);
	if (!query)
	{
		_session->respond(caller_response(http::status::not_found, 11));
		return;
	}
	m_metrics.count_lookup();
	std::vector<region_name> homes;
	if (m_forwarder.routes())
	{
		for (std::string& home : m_forwarder.routes()->home_regions(query->host))
		{
			homes.emplace_back(std::move(home));
		}
	}
	caller_response response(http::status::ok, 11);
	response.set(http::field::content_type, "application/json");
	const lookup_decision decision = m_fleet.look_up(region_name(query->region), homes);
	response.body() = m_dialect.render_lookup(decision.addresses, m_settings.lookup_ttl);
	_session->respond(std::move(response));
}

void entry_node::answer_peer(const std::shared_ptr<caller_session>& _session, caller_request&& _request)
{
	const std::string target(_request.target());
	if (k_relay_target == target)
	{
		m_relays.handle_request(_session, std::move(_request));
		return;
	}
	if (k_paths_target == target)
	{
		m_relays.handle_path_query(_session, _request);
		return;
	}
	if (0 == target.rfind("/state", 0))
	{
		answer_page(_session, target);
		return;
	}
	answer_changes(_session, target);
}

void entry_node::answer_page(const std::shared_ptr<caller_session>& _session, const std::string& _target)
{
	const steady_time now = m_clock.steady();
	const std::optional<std::string> after = text_of_hex(query_value(_target, "behind"));
	if (!after || 0 == m_replica.revision())
	{
		_session->respond(caller_response(http::status::not_found, 11));
		return;
	}
	if (!m_page_limit.may_send_page(now))
	{
		_session->respond(caller_response(http::status::service_unavailable, 11));
		return;
	}
	const std::string& packed = m_packed_pages.get(*after, m_replica, now);
	m_page_limit.on_page_sent(packed.size(), now);
	caller_response response(http::status::ok, 11);
	response.set(http::field::content_type, "application/cbor");
	response.set(http::field::content_encoding, "deflate");
	response.body() = packed;
	_session->respond(std::move(response));
}

void entry_node::answer_changes(const std::shared_ptr<caller_session>& _session, const std::string& _target)
{
	const auto number = [&_target](const char* _name, std::int64_t _absent)
	{
		const std::string text = query_value(_target, _name);
		return text.empty() ? _absent : std::strtoll(text.c_str(), nullptr, 10);
	};
	std::int64_t routes_revision = number("routes", 0);
	const std::int64_t max_routes_bytes = number("most_routes", std::numeric_limits<std::int64_t>::max());
	if (static_cast<std::int64_t>(m_replica.routes_bytes()) > max_routes_bytes)
	{
		routes_revision = m_replica.routes_revision(); // Omits the configuration.
	}
	const std::int64_t after = number("after", 0);
	caller_response response(http::status::ok, 11);
	response.set(http::field::content_type, "application/cbor");
	if (0 != number("pages", 0))
	{
		if (m_replica.needs_full_copy(after))
		{
			_session->respond(
			    caller_response(http::status::gone, 11)); // The requester then fetches all keys as pages.
			return;
		}
		const std::string query = std::to_string(after) + "," + std::to_string(routes_revision);
		response.set(http::field::content_encoding, "deflate");
		response.body() = m_packed_changes.get(query, m_replica.revision(),
		    [this, after, routes_revision]
		    {
			    return deflate_bytes(encode(m_replica.changes_after(after, routes_revision)));
		    });
		_session->respond(std::move(response));
		return;
	}
	answer_uncompressed(_session, m_replica.changes_after(after, routes_revision), std::move(response));
}

void entry_node::answer_uncompressed(const std::shared_ptr<caller_session>& _session,
    const store_changes& _changes, caller_response&& _response)
{
	const steady_time now = m_clock.steady();
	if (_changes.whole && !m_page_limit.may_send_page(now))
	{
		_session->respond(caller_response(http::status::service_unavailable, 11));
		return;
	}
	const std::vector<std::uint8_t> bytes = encode(_changes);
	if (_changes.whole)
	{
		m_page_limit.on_page_sent(bytes.size(), now);
	}
	_response.body().assign(bytes.begin(), bytes.end());
	_session->respond(std::move(_response));
}

void entry_node::set_memory_metrics()
{
	const memory_ledger& memory = *m_exchanges.memory();
	for (std::size_t i = 0; i < k_memory_uses; ++i)
	{
		const auto use = static_cast<memory_use>(i);
		m_metrics.set("larkrack_held_bytes", "Bytes held for connections by use.", "use", to_string(use),
		    static_cast<double>(memory.held(use)));
		m_metrics.set("larkrack_memory_ends",
		    "Requests and responses that were ended for lack of memory by use.", "use", to_string(use),
		    static_cast<double>(memory.ends(use)));
	}
	m_metrics.set("larkrack_displaced_connections", "Connections that were closed to make room for new ones.",
	    static_cast<double>(m_callers.displaced()));
}

std::string entry_node::metrics_text()
{
	const forwarder_counters& counters = m_forwarder.counters();
	const auto gauge = [this](const char* _name, const char* _help, double _value)
	{
		m_metrics.set(std::string("larkrack_") + _name, _help, _value);
	};
	gauge("requests_taken", "Requests taken since the start.", static_cast<double>(counters.requests));
	gauge("attempts", "Requests sent to backend servers since the start.",
	    static_cast<double>(counters.attempts));
	gauge("retries_denied", "Retries that the budget did not allow.",
	    static_cast<double>(counters.retries_denied));
	gauge(
	    "callers_left", "Callers that left before their answer.", static_cast<double>(counters.disconnected));
	gauge("queued", "Requests that waited for a slot.", static_cast<double>(counters.queued));
	gauge("cold_runs", "Requests sent to backend servers that are not their key's own.",
	    static_cast<double>(counters.cold_runs));
	gauge("late_answers", "Answers of backend servers after the objective of the route.",
	    static_cast<double>(counters.late_answers));
	gauge("invalid_work_times", "Answers of backend servers with an invalid work time.",
	    static_cast<double>(m_forwarder.reports().invalid_work_times()));
	gauge("in_flight", "Requests whose answer is due.", static_cast<double>(m_forwarder.in_flight()));
	gauge("caller_connections", "Open connections of callers.", static_cast<double>(m_callers.connections()));
	gauge("unread_refusals", "Requests of callers that were refused before they were read whole.",
	    static_cast<double>(m_callers.unread_refusals()));
	gauge("promises", "Refusals that promised of an at-most-once request that it never runs.",
	    static_cast<double>(m_exchanges.promises().promises()));
	gauge("broken_promises", "Requests that were sent, or ran, after such a refusal.",
	    static_cast<double>(m_exchanges.promises().breaches()));
	gauge("backend_servers", "Backend servers in the registry.", static_cast<double>(m_backends.size()));
	gauge("limited_backends", "Backend servers that name a limit of their requests.",
	    static_cast<double>(m_backends.limited()));
	gauge("limit_refusals", "Requests that the limit of a backend server kept from it.",
	    static_cast<double>(m_limits.refused()));
	gauge("resting_backends", "Backend servers that have asked this node for rest.",
	    static_cast<double>(m_forwarder.reports().resting()));
	gauge("rests_asked", "Answers of backend servers that asked for rest.",
	    static_cast<double>(m_forwarder.reports().rests_asked()));
	gauge("leaving_backends", "Backend servers that said beside an answer that they leave.",
	    static_cast<double>(m_backends.reported_leaving()));
	gauge("blocked_requests",
	    "Requests that are sent to no backend server, since some have ended under them.",
	    static_cast<double>(m_crashes.blocked()));
	gauge("block_refusals", "Requests that were refused because they are blocked.",
	    static_cast<double>(m_crashes.refused()));
	gauge("broken_paths", "Failure domains whose backend servers this node does not reach itself.",
	    static_cast<double>(m_paths.broken()));
	gauge("relay_exchanges", "Requests that were sent to a backend server over another node.",
	    static_cast<double>(m_exchanges.counters().by_relay));
	gauge("relay_refusals", "Requests that another node refused to forward, or that did not reach it.",
	    static_cast<double>(m_exchanges.counters().relay_refusals));
	gauge("relayed_for_others", "Requests of other nodes that were sent to a backend server.",
	    static_cast<double>(m_relays.counters().relayed));
	gauge("relayed_refused", "Requests of other nodes that were not forwarded.",
	    static_cast<double>(m_relays.counters().refused));
	gauge("nodes", "Other nodes that were heard of.", static_cast<double>(m_fleet.members().size()));
	gauge("config_version", "Version of the configuration in force.",
	    m_forwarder.routes() ? static_cast<double>(m_forwarder.routes()->version()) : 0.0);
	gauge("config_revision", "Revision up to which the configuration is known to be the newest one.",
	    static_cast<double>(m_replica.routes_confirmed_to()));
	gauge("config_behind_seconds", "Time for which a newer configuration has been known of; 0: none.",
	    to_s(m_config_catch_up.behind_for(m_clock.steady())));
	gauge("store_confirmation_age_seconds",
	    "Time since the store confirmed what this node knows, itself or by the word of another node.",
	    to_s(m_clock.steady() - last_confirmation().at));
	gauge("store_revision", "Revision up to which the store's keys are known.",
	    static_cast<double>(m_replica.revision()));
	gauge("store_reached", "Whether the store answered the last call.", m_sync.health().reached ? 1.0 : 0.0);
	gauge("log_lines_dropped", "Lines of the log that were dropped.", static_cast<double>(m_log.dropped()));
	set_memory_metrics();
	for (const auto& [service, levels] : m_forwarder.load_levels())
	{
		for (const auto& [region, level] : levels)
		{
			m_metrics.set("larkrack_load_level", "Load level by service and region, 0 to 1.",
			    {{"service", service.text}, {"region", region.text}}, level);
		}
	}
	for (const auto& [service, window] : m_forwarder.retry_windows())
	{
		const auto set = [this, &service = service](const char* _name, const char* _help, double _value)
		{
			m_metrics.set(_name, _help, "service", service.text, _value);
		};
		set("larkrack_retry_first_attempts", "First attempts in the last window of the retry budget.",
		    window.first_attempts);
		set("larkrack_retry_spent", "Retries in the last window of the retry budget.", window.retries);
		set("larkrack_retry_allowed", "Retries that this node may make in a window.", window.allowed);
	}
	for (const auto& [use, calls] : m_store->calls())
	{
		m_metrics.set(
		    "larkrack_store_calls", "Calls to the store by use.", "use", use, static_cast<double>(calls));
	}
	return m_metrics.text();
}

void entry_node::answer_metrics(const std::shared_ptr<caller_session>& _session)
{
	caller_response response(http::status::ok, 11);
	response.set(http::field::content_type, "text/plain; version=0.0.4");
	response.body() = metrics_text();
	_session->respond(std::move(response));
}
} // namespace larkrack
