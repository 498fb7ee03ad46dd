// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/carrier_upstream_p.h"

#include "base/answer_form_p.h"

#include "larkrack/config.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Timeout for opening a connection. Shorter detects an unreachable peer sooner; longer tolerates distant or
/// busy peers.
constexpr std::chrono::milliseconds k_connect_timeout{300};
/// Maximum idle time of pooled connections, for repeatable and for other requests. A connection that was idle
/// for longer may just have been closed by the other side; this costs a repeatable request an attempt, and
/// makes the outcome of any other request unknown.
constexpr std::chrono::milliseconds k_max_idle_repeatable{10000};
constexpr std::chrono::milliseconds k_max_idle_other{1000};
/// Timeout for a backend server to confirm a cancellation. Without confirmation the slot stays taken until
/// the run's deadline.
constexpr std::chrono::milliseconds k_cancel_timeout{500};
/// Added to the deadline of a relayed request: an entry VM answers a little after the deadline that it got.
constexpr std::chrono::milliseconds k_peer_deadline_margin{50};

reason parse_reason(const std::string& _text)
{
	for (int at = 0; at <= static_cast<int>(reason::bad_request); ++at)
	{
		if (_text == to_string(static_cast<reason>(at)))
		{
			return static_cast<reason>(at);
		}
	}
	return reason::none;
}

/// Meaning of the not-run mark in an answer of a backend server.
enum class shed_mark
{
	none,        ///< There is no mark.
	proves_shed, ///< The request was not run.
	contradicts, ///< The mark stands beside a success, or in an answer to another request: it proves nothing.
};

/// @param[in] _id Id of the request that was sent.
shed_mark shed_mark_of(const http::response_header<>& _head, const std::string& _id)
{
	if ("1" != header_of(_head, k_header_shed))
	{
		return shed_mark::none;
	}
	const std::string id = header_of(_head, k_header_request_id);
	const bool own = id.empty() || _id == id;
	const http::status_class kind = http::to_status_class(_head.result());
	const bool refuses = http::status_class::client_error == kind || http::status_class::server_error == kind;
	return own && refuses ? shed_mark::proves_shed : shed_mark::contradicts;
}
} // namespace

http_request carrier::make_backend_request(
    const proxied_request& _call, const gate_backend& _backend, wall_time _expires) const
{
	http_request out(*_call.request);
	erase_hop_by_hop_fields(out);
	out.erase(k_header_relay);
	out.erase(k_header_caller);
	out.set(http::field::host, to_string(_backend.grant.address));
	out.set(k_header_request_id, _call.id);
	out.set(k_header_expires, std::to_string(to_us(_expires)));
	if (!_call.traceparent.empty())
	{
		out.set(k_header_traceparent, _call.traceparent);
	}
	out.keep_alive(true);
	out.prepare_payload();
	return out;
}

http_request carrier::make_peer_request(
    const proxied_request& _call, const endpoint& _where, request_origin _origin) const
{
	http_request out(*_call.request);
	erase_hop_by_hop_fields(out);
	out.set(http::field::host, to_string(_where));
	out.set(k_header_service, _call.service_name);
	out.set(k_header_request_id, _call.id);
	out.set(k_header_entry_vm, _call.entry_vm_path);
	out.set(k_header_caller, _call.caller.to_string());
	out.set(k_header_relay, make_relay_mark(m_signer, _call.id, _origin, m_clock.wall()));
	const auto left =
	    std::chrono::duration_cast<std::chrono::milliseconds>(_call.deadline - m_clock.steady());
	out.set(k_header_deadline, std::to_string(left.count()));
	if (!_call.traceparent.empty())
	{
		out.set(k_header_traceparent, _call.traceparent);
	}
	out.keep_alive(true);
	out.prepare_payload();
	return out;
}

bool carrier::send_upstream(upstream& _up, const http_request& _request, const yield_context& _yield)
{
	_up.sent = true;
	beast::error_code failure;
	http::async_write(_up.connection->stream, _request, _yield[failure]);
	return !failure;
}

bool carrier::read_head(http_session& _session, upstream& _up, bool _repeatable, const yield_context& _yield)
{
	// A caller that closes its connection before the response starts cancels a repeatable request. Other
	// requests continue, because their answers are stored for another attempt with the same key.
	auto waiting = std::make_shared<bool>(true);
	tcp::socket& caller = _session.stream().socket();
	caller.async_wait(tcp::socket::wait_read,
	    [waiting, _repeatable, &_session, &_up](const boost::system::error_code& _failure)
	    {
		    if (*waiting && _repeatable && !_failure && _session.peer_has_closed())
		    {
			    _up.caller_gone = true;
			    _up.connection->stream.cancel();
		    }
	    });
	beast::error_code failure;
	http::async_read_header(_up.connection->stream, _up.connection->buffer, _up.parser, _yield[failure]);
	*waiting = false;
	boost::system::error_code ignored;
	caller.cancel(ignored);
	return !failure && is_final_answer_head(_up.parser.get());
}

void carrier::finish(upstream& _up, exchange_status _end)
{
	if (_up.finished)
	{
		return;
	}
	_up.finished = true;
	if (_up.slot)
	{
		m_gate.release(*_up.slot, _end, m_clock.steady());
	}
	if (exchange_status::completed == _end && _up.parser.is_done() && _up.parser.keep_alive())
	{
		m_pool.give(_up.where, std::move(_up.connection));
	}
	_up.connection.reset();
}

void carrier::abandon(const std::shared_ptr<upstream>& _up)
{
	if (_up->finished)
	{
		return;
	}
	const std::optional<ticket> slot = _up->slot;
	finish(*_up, exchange_status::may_still_run);
	if (!slot)
	{
		return;
	}
	start(m_context,
	    [this, slot = *slot, id = _up->id, until = _up->expires](const yield_context& _yield)
	    {
		    cancel_run(slot, id, until, _yield);
	    });
}

void carrier::cancel_run(
    const ticket& _ticket, const std::string& _id, steady_time _until, const yield_context& _yield)
{
	const endpoint& where = _ticket.backend->grant.address;
	http_caller caller(m_context.get_executor());
	result<http_response> called = caller.call(
	    where, make_request(http::verb::delete_, "/.run/" + _id, where), k_cancel_timeout, _yield);
	const http_response* response = value_of(called);
	const bool confirmed = nullptr != response && http::status::ok == response->result();
	const auto left = _until - m_clock.steady();
	if (!confirmed && std::chrono::microseconds(0) < left)
	{
		sleep_for(m_context.get_executor(), left, _yield);
	}
	m_gate.confirm(_ticket, m_clock.steady());
}

proxied_result carrier::exchange_backend(
    http_session& _session, proxied_request& _call, const ticket& _ticket, const yield_context& _yield)
{
	const gate_backend& backend = *_ticket.backend;
	const endpoint where = backend.grant.address;
	const steady_time now = m_clock.steady();
	const auto run_limit = _call.view->rules->at(_call.service).run_limit;
	const auto left = std::min<std::chrono::microseconds>(run_limit, _call.deadline - now);
	connection_ptr connection =
	    m_pool.take(where, _call.repeatable ? k_max_idle_repeatable : k_max_idle_other);
	if (!connection)
	{
		connection = m_pool.connect(where, k_connect_timeout, _yield);
	}
	if (!connection)
	{
		m_gate.release(_ticket, exchange_status::never_sent, m_clock.steady());
		return refused_result(reason::unreachable);
	}
	auto up = std::make_shared<upstream>(std::move(connection), where);
	up->parser.skip(http::verb::head == _call.request->method());
	up->slot = _ticket;
	up->id = _call.id;
	up->backend = backend.grant.name;
	up->expires = now + left + k_clock_skew;
	up->connection->stream.expires_at(up->expires);
	const auto span = m_tracer.start_hop("backend_exchange", _call.traceparent, _call.traceparent);
	if (span)
	{
		span->SetTag("backend", up->backend);
	}
	const http_request request = make_backend_request(_call, backend, m_clock.wall() + left);
	if (!send_upstream(*up, request, _yield) || !read_head(_session, *up, _call.repeatable, _yield))
	{
		abandon(up);
		proxied_result end = unknown_result(reason::lost_answer);
		end.answered = up->caller_gone;
		if (up->caller_gone)
		{
			_session.close();
		}
		return end;
	}
	switch (shed_mark_of(up->parser.get(), _call.id))
	{
	case shed_mark::proves_shed:
		finish(*up, exchange_status::shed);
		return refused_result(reason::shed);
	case shed_mark::contradicts:
		abandon(up);
		return unknown_result(reason::lost_answer);
	case shed_mark::none:
		break;
	}
	proxied_result end;
	end.result = outcome::served;
	deliver(_session, _call, up, end, _yield);
	return end;
}

proxied_result carrier::exchange_peer(http_session& _session, proxied_request& _call, entry_vm_handle _to,
    request_origin _origin, const yield_context& _yield)
{
	m_metrics.count_relay();
	const endpoint where = _call.view->rules->at(_to).relay;
	connection_ptr connection =
	    m_pool.take(where, _call.repeatable ? k_max_idle_repeatable : k_max_idle_other);
	if (!connection)
	{
		connection = m_pool.connect(where, k_connect_timeout, _yield);
	}
	if (!connection)
	{
		return refused_result(reason::unreachable);
	}
	auto up = std::make_shared<upstream>(std::move(connection), where);
	up->parser.skip(http::verb::head == _call.request->method());
	up->connection->stream.expires_at(_call.deadline + k_peer_deadline_margin);
	const auto span = m_tracer.start_hop("relay", _call.traceparent, _call.traceparent);
	const http_request request = make_peer_request(_call, where, _origin);
	if (!send_upstream(*up, request, _yield) || !read_head(_session, *up, _call.repeatable, _yield))
	{
		abandon(up);
		proxied_result end = unknown_result(reason::lost_answer);
		end.answered = up->caller_gone;
		return end;
	}
	const auto& head = up->parser.get();
	const std::string peer_outcome = header_of(head, k_header_outcome);
	_call.entry_vm_path = header_of(head, k_header_entry_vm);
	up->backend = header_of(head, k_header_backend);
	if (to_string(outcome::served) != peer_outcome)
	{
		const bool not_run = to_string(outcome::not_run) == peer_outcome;
		const reason why = parse_reason(header_of(head, k_header_reason));
		finish(*up, exchange_status::shed);
		return not_run ? refused_result(why, reason::cap != why) : unknown_result(why);
	}
	proxied_result end;
	end.result = outcome::served;
	deliver(_session, _call, up, end, _yield);
	return end;
}
} // namespace larkrack
