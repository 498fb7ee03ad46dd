// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/relay_server_p.h"

#include "entry_node/node_paths_p.h"
#include "steering/request_times_p.h"

namespace larkrack
{
namespace
{
/// Maximum number of requests of other nodes at a time: bounds the memory for their bodies.
constexpr std::size_t k_max_requests = 512;

relay_result not_sent(const char* _detail, bool _unreachable)
{
	relay_result result;
	result.result.detail = _detail;
	result.unreachable = _unreachable;
	return result;
}
} // namespace

relayed_attempt relayed_attempt::of(const caller_request& _request, const header_names& _names)
{
	return {std::string(_request[_names.request_id]), std::string(_request[k_attempt_header])};
}

/// One request of another node, from its arrival to its result.
class relay_server::relayed_request : public std::enable_shared_from_this<relayed_request>
{
public:
	relayed_request(relay_server& _owner, std::shared_ptr<caller_session> _session, relayed_attempt _name,
	    backend_ptr _backend, upstream_request _request, steady_time _deadline)
	    : m_owner(_owner), m_session(std::move(_session)), m_name(std::move(_name)),
	      m_backend(std::move(_backend)), m_fingerprint(_request.fingerprint),
	      m_at_most_once(_request.at_most_once), m_timer(_owner.m_services.io),
	      m_began_at(_owner.m_services.clock.steady()), m_deadline(_deadline)
	{
		const bool same_region = _owner.m_paths.region() == m_backend->region;
		const exchange_services& services = _owner.m_services;
		m_exchange = std::make_shared<upstream_exchange>(services, _owner.m_paths, m_backend,
		    std::move(_request), connect_timeout(same_region),
		    [this](exchange_result&& _result)
		    {
			    on_result(std::move(_result));
		    });
	}
	void start()
	{
		m_session->set_disconnect_handler(
		    [self = shared_from_this()]
		    {
			    self->cancel(std::chrono::milliseconds(0));
			    self->m_owner.m_requests.erase(self);
		    });
		m_timer.expires_after(m_deadline - m_began_at);
		m_timer.async_wait(
		    [self = shared_from_this()](beast::error_code _error)
		    {
			    if (!_error)
			    {
				    self->abandon("deadline", k_response_drain_time);
			    }
		    });
		m_exchange->start();
	}
	/// @returns Whether the request waits for a failure domain, and may be sent another way.
	bool can_abandon(const domain_name& _domain) const
	{
		return m_backend->registered.domain == _domain && (!m_exchange->sent() || !m_at_most_once);
	}
	/// Ends the request as not sent or lost.
	void abandon(const char* _detail, std::chrono::milliseconds _linger)
	{
		relay_result message;
		message.result.end = m_exchange->sent() ? exchange_outcome::lost : exchange_outcome::not_sent;
		message.result.detail = _detail;
		cancel(_linger);
		finish(std::move(message));
	}
	void cancel(std::chrono::milliseconds _linger)
	{
		m_timer.cancel();
		m_exchange->cancel(_linger);
	}

private:
	void on_result(exchange_result&& _result)
	{
		if (_result.connection_broke)
		{
			m_owner.m_crashes.on_connection_broken(m_backend, m_fingerprint);
		}
		relay_result message;
		message.unreachable = _result.no_connection;
		message.result = std::move(_result);
		finish(std::move(message));
	}
	void finish(relay_result&& _message)
	{
		const std::shared_ptr<relayed_request> self = shared_from_this(); // Removed from its owner here.
		m_timer.cancel();
		m_session->set_disconnect_handler(nullptr);
		_message.taken = m_owner.m_services.clock.steady() - m_began_at;
		if (exchange_outcome::answered != _message.result.end)
		{
			m_owner.log_failed(m_session->address(), m_name.request_id, *m_backend, _message);
		}
		m_owner.m_requests.erase(self);
		m_owner.respond(m_session, m_name, std::move(_message));
	}

	relay_server& m_owner;
	std::shared_ptr<caller_session> m_session;
	relayed_attempt m_name;
	backend_ptr m_backend;
	request_fingerprint m_fingerprint;
	bool m_at_most_once;
	asio::steady_timer m_timer;
	steady_time m_began_at;
	steady_time m_deadline;
	std::shared_ptr<upstream_exchange> m_exchange;
};

relay_server::relay_server(const exchange_services& _services, backend_registry& _backends,
    node_paths& _paths, crash_admission_base& _crashes, entry_log& _log, sender_check _is_node)
    : m_services(_services), m_backends(_backends), m_paths(_paths), m_crashes(_crashes), m_log(_log),
      m_is_node(std::move(_is_node))
{
}

relay_server::~relay_server()
{
	for (const std::shared_ptr<relayed_request>& request : m_requests)
	{
		request->cancel(std::chrono::milliseconds(0));
	}
}

void relay_server::abandon_requests(const domain_name& _domain)
{
	if (m_stop)
	{
		return; // As forwarder::abandon_exchanges().
	}
	const std::vector<std::shared_ptr<relayed_request>> requests(m_requests.begin(), m_requests.end());
	for (const std::shared_ptr<relayed_request>& request : requests)
	{
		if (request->can_abandon(_domain))
		{
			request->abandon("path_lost", std::chrono::milliseconds(0));
		}
	}
}

void relay_server::set_name(caller_response& _response, const relayed_attempt& _name) const
{
	if (!_name.request_id.empty())
	{
		_response.set(m_services.names.request_id, _name.request_id);
	}
	if (!_name.number.empty())
	{
		_response.set(k_attempt_header, _name.number);
	}
}

void relay_server::refuse(
    const std::shared_ptr<caller_session>& _session, const relayed_attempt& _name, http::status _status)
{
	++m_counters.refused;
	caller_response response(_status, 11);
	set_name(response, _name);
	_session->respond(std::move(response));
}

void relay_server::log_failed(const std::string& _sender, const std::string& _id,
    const backend_server& _backend, const relay_result& _result)
{
	log_line line(event::attempt_failed);
	line.text("id", _id)
	    .text("service", _backend.registered.service.text)
	    .text("backend", _backend.registered.id.text)
	    .text("why", _result.result.detail)
	    .decimal("busy", _backend.estimated_load(m_services.clock.steady()))
	    .number("ms", std::chrono::duration_cast<std::chrono::milliseconds>(_result.taken).count());
	if (_result.result.marks)
	{
		line.text("answer", to_string(*_result.result.marks));
	}
	m_log.write(line.text("relayed_for", _sender));
}

void relay_server::respond(const std::shared_ptr<caller_session>& _session, const relayed_attempt& _name,
    relay_result&& _result) const
{
	caller_response response(http::status::ok, 11);
	response.set(http::field::content_type, k_relay_content_type);
	set_name(response, _name);
	response.body() = encode(std::move(_result));
	_session->respond(std::move(response));
}

std::optional<relay_result> relay_server::reason_not_to_send(const relay_request& _message) const
{
	const steady_time now = m_services.clock.steady();
	const backend_ptr backend = m_backends.find(_message.backend);
	if (!backend || backend->registered.started_ms != _message.started_ms)
	{
		return not_sent("unknown_backend", false);
	}
	if (!backend->accepts_requests_now(now))
	{
		relay_result withheld = not_sent("not_wanted", false);
		withheld.result.withheld = true;
		return withheld;
	}
	if (backend->ejection.ejected(now))
	{
		return not_sent("ejected", true);
	}
	return std::nullopt;
}

void relay_server::handle_request(const std::shared_ptr<caller_session>& _session, caller_request&& _request)
{
	relayed_attempt name = relayed_attempt::of(_request, m_services.names);
	if (!m_is_node(_session->address()))
	{
		refuse(_session, name, http::status::forbidden);
		return;
	}
	if (m_requests.size() >= k_max_requests)
	{
		refuse(_session, name, http::status::service_unavailable);
		return;
	}
	result<relay_request> decoded =
	    decode_relay_request(std::move(_request.body()), m_services.names.request_id);
	relay_request* message = value_of(decoded);
	if (nullptr == message)
	{
		refuse(_session, name, http::status::bad_request);
		return;
	}
	name.request_id = message->request.request_id;
	const steady_time now = m_services.clock.steady();
	const steady_time deadline = m_gap.arrival(now) + message->request.time_left;
	if (now >= deadline)
	{
		respond(_session, name, not_sent("deadline", false));
		return;
	}
	if (m_stop && deadline - now > stop_time_left(*m_stop, now))
	{
		refuse(_session, name, http::status::service_unavailable);
		return;
	}
	if (std::optional<relay_result> reason = reason_not_to_send(*message))
	{
		respond(_session, name, std::move(*reason));
		return;
	}
	const backend_ptr backend = m_backends.find(message->backend);
	if (path_use::direct != backend->path)
	{
		refuse(_session, name, http::status::service_unavailable);
		return;
	}
	++m_counters.relayed;
	message->request.time_left = to_ms(deadline - now);
	message->request.body = _session->hold_body(std::exchange(message->request.after, {}));
	const auto request = std::make_shared<relayed_request>(
	    *this, _session, name, backend, std::move(message->request), deadline);
	m_requests.insert(request);
	request->start();
}

void relay_server::handle_path_query(
    const std::shared_ptr<caller_session>& _session, const caller_request& _request)
{
	result<std::vector<domain_name>> decoded = decode_path_query(_request.body());
	const std::vector<domain_name>* domains = value_of(decoded);
	if (nullptr == domains || m_stop)
	{
		refuse(
		    _session, {}, nullptr == domains ? http::status::bad_request : http::status::service_unavailable);
		return;
	}
	m_paths.report(*domains,
	    [_session](const path_report& _report)
	    {
		    caller_response response(http::status::ok, 11);
		    response.set(http::field::content_type, k_relay_content_type);
		    response.body() = encode(_report);
		    _session->respond(std::move(response));
	    });
}
} // namespace larkrack
