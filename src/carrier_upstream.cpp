// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "carrier_upstream_p.h"

#include "larkrack/config.h"

#include <algorithm>

namespace larkrack
{
namespace
{
constexpr std::chrono::milliseconds k_connect_timeout{300};
/// A pooled connection that idled longer may have been closed by the other side just now.
constexpr std::chrono::milliseconds k_idle_repeatable{10000};
constexpr std::chrono::milliseconds k_idle_careful{1000};
constexpr std::chrono::milliseconds k_cancel_timeout{500};
constexpr std::chrono::seconds k_piece_timeout{20};
/// An entry VM answers a little after the deadline that it was given.
constexpr std::chrono::milliseconds k_peer_patience{50};

const http::field k_hop_fields[] = {http::field::connection, http::field::keep_alive,
    http::field::proxy_connection, http::field::te, http::field::trailer, http::field::transfer_encoding,
    http::field::upgrade, http::field::expect};

template <typename Fields>
void erase_hop_fields(Fields& _fields)
{
	for (const http::field field : k_hop_fields)
	{
		_fields.erase(field);
	}
}

carried_end end_of(outcome _outcome, reason _reason, bool _may_try_again)
{
	carried_end end;
	end.result = _outcome;
	end.why = _reason;
	end.may_try_again = _may_try_again;
	return end;
}

reason reason_from(const std::string& _text)
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
} // namespace

http_request carrier::make_backend_request(
    const carried& _call, const backend_state& _backend, wall_time _expires) const
{
	http_request out(*_call.request);
	erase_hop_fields(out);
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
    const carried& _call, const endpoint& _where, request_origin _origin) const
{
	http_request out(*_call.request);
	erase_hop_fields(out);
	out.set(http::field::host, to_string(_where));
	out.set(k_header_service, _call.service_name);
	out.set(k_header_request_id, _call.id);
	out.set(k_header_entry_vm, _call.way);
	out.set(k_header_caller, _call.caller.to_string());
	out.set(k_header_relay, sign_relay(_call.id, _origin));
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
	_up.wrote = true;
	beast::error_code failure;
	http::async_write(_up.connection->stream, _request, _yield[failure]);
	return !failure;
}

bool carrier::read_head(http_session& _session, upstream& _up, bool _repeatable, const yield_context& _yield)
{
	// While the answer is awaited, a caller that closes its connection cancels the exchange. What may not be
	// repeated goes on: its answer is kept for the caller's second try.
	auto waiting = std::make_shared<bool>(true);
	tcp::socket& caller = _session.stream().socket();
	caller.async_wait(tcp::socket::wait_read,
	    [waiting, _repeatable, &_session, &_up](const boost::system::error_code& _failure)
	    {
		    if (*waiting && _repeatable && !_failure && _session.is_gone())
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
	return !failure;
}

void carrier::finish(upstream& _up, exchange_end _end)
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
	if (exchange_end::whole == _end && _up.parser.is_done() && _up.parser.get().keep_alive())
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
	finish(*_up, exchange_end::unsure);
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

carried_end carrier::exchange_backend(
    http_session& _session, carried& _call, const ticket& _ticket, const yield_context& _yield)
{
	const backend_state& backend = *_ticket.backend;
	const endpoint where = backend.grant.address;
	const steady_time now = m_clock.steady();
	const auto run_limit = _call.view->rules->at(_call.service).run_limit;
	const auto left = std::min<std::chrono::microseconds>(run_limit, _call.deadline - now);
	connection_ptr connection = m_pool.take(where, _call.repeatable ? k_idle_repeatable : k_idle_careful);
	if (!connection)
	{
		connection = m_pool.connect(where, k_connect_timeout, _yield);
	}
	if (!connection)
	{
		m_gate.release(_ticket, exchange_end::never_sent, m_clock.steady());
		return end_of(outcome::not_run, reason::unreachable, true);
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
		carried_end end = end_of(outcome::unknown, reason::lost_answer, false);
		end.answered = up->caller_gone;
		if (up->caller_gone)
		{
			_session.close();
		}
		return end;
	}
	if ("1" == header_of(up->parser.get(), k_header_shed))
	{
		finish(*up, exchange_end::shed);
		return end_of(outcome::not_run, reason::shed, true);
	}
	carried_end end;
	end.result = outcome::served;
	deliver(_session, _call, up, end, _yield);
	return end;
}

carried_end carrier::exchange_peer(http_session& _session, carried& _call, entry_vm_handle _to,
    request_origin _origin, const yield_context& _yield)
{
	m_metrics.count_relay();
	const endpoint where = _call.view->rules->at(_to).relay;
	connection_ptr connection = m_pool.take(where, _call.repeatable ? k_idle_repeatable : k_idle_careful);
	if (!connection)
	{
		connection = m_pool.connect(where, k_connect_timeout, _yield);
	}
	if (!connection)
	{
		return end_of(outcome::not_run, reason::unreachable, true);
	}
	auto up = std::make_shared<upstream>(std::move(connection), where);
	up->parser.skip(http::verb::head == _call.request->method());
	up->connection->stream.expires_at(_call.deadline + k_peer_patience);
	const auto span = m_tracer.start_hop("relay", _call.traceparent, _call.traceparent);
	const http_request request = make_peer_request(_call, where, _origin);
	if (!send_upstream(*up, request, _yield) || !read_head(_session, *up, _call.repeatable, _yield))
	{
		abandon(up);
		carried_end end = end_of(outcome::unknown, reason::lost_answer, false);
		end.answered = up->caller_gone;
		return end;
	}
	const auto& head = up->parser.get();
	const std::string said = header_of(head, k_header_outcome);
	_call.way = header_of(head, k_header_entry_vm);
	up->backend = header_of(head, k_header_backend);
	if (to_string(outcome::served) != said)
	{
		const bool not_run = to_string(outcome::not_run) == said;
		const reason why = reason_from(header_of(head, k_header_reason));
		finish(*up, exchange_end::shed);
		return end_of(not_run ? outcome::not_run : outcome::unknown, why, not_run && reason::cap != why);
	}
	carried_end end;
	end.result = outcome::served;
	deliver(_session, _call, up, end, _yield);
	return end;
}

void carrier::set_answer_head(const carried& _call, const upstream& _up, http::fields& _fields) const
{
	erase_hop_fields(_fields);
	_fields.set(k_header_outcome, to_string(outcome::served));
	_fields.set(k_header_entry_vm, _call.way);
	_fields.set(k_header_backend, _up.backend);
	_fields.set(k_header_request_id, _call.id);
}

void carrier::deliver(http_session& _session, const carried& _call, const std::shared_ptr<upstream>& _up,
    carried_end& _end, const yield_context& _yield)
{
	const auto& head = _up->parser.get();
	_end.answered = true;
	_end.status = static_cast<int>(head.result_int());
	_end.backend = _up->backend;
	_end.content_type = header_of(head, "Content-Type");
	const boost::optional<std::uint64_t> length = _up->parser.content_length();
	const bool is_small = (length && *length <= k_piece) || _up->parser.is_done();
	if (is_small)
	{
		deliver_small(_session, _call, *_up, _end, _yield);
	}
	else
	{
		deliver_large(_session, _call, _up, _end, _yield);
	}
	abandon(_up);
}

void carrier::deliver_small(http_session& _session, const carried& _call, upstream& _up, carried_end& _end,
    const yield_context& _yield)
{
	std::string body(_up.parser.is_done() ? 0 : _up.parser.content_length().value_or(0), '\0');
	beast::error_code failure;
	if (!_up.parser.is_done())
	{
		_up.parser.get().body().data = body.data();
		_up.parser.get().body().size = body.size();
		http::async_read(_up.connection->stream, _up.connection->buffer, _up.parser, _yield[failure]);
	}
	if (failure || !_up.parser.is_done())
	{
		// Nothing was sent on yet, so the caller gets a clear answer instead of a part.
		_end = end_of(outcome::unknown, reason::lost_answer, false);
		return;
	}
	http_response response(_up.parser.get().result(), 11);
	static_cast<http::fields&>(response.base()) = _up.parser.get().base();
	set_answer_head(_call, _up, response.base());
	finish(_up, exchange_end::whole);
	if (http::verb::head == _call.request->method())
	{
		_session.send_head_only(response, _yield);
		return;
	}
	if (!_call.key.empty() && body.size() <= k_kept_body)
	{
		_end.body = body;
		_end.body_kept = true;
	}
	response.body() = std::move(body);
	_session.send(response, _yield);
}

void carrier::deliver_large(http_session& _session, const carried& _call,
    const std::shared_ptr<upstream>& _up, carried_end& _end, const yield_context& _yield)
{
	(void)_end;
	http::response<http::buffer_body> head(_up->parser.get().result(), 11);
	static_cast<http::fields&>(head.base()) = _up->parser.get().base();
	set_answer_head(_call, *_up, head.base());
	const boost::optional<std::uint64_t> length = _up->parser.content_length();
	if (length)
	{
		head.content_length(*length);
	}
	const std::size_t ahead = m_settings.read_ahead ? k_read_ahead : k_piece;
	auto queue = std::make_shared<read_ahead>(m_context);
	start(m_context,
	    [this, queue, up = _up, ahead](const yield_context& _inner)
	    {
		    beast::error_code failure;
		    while (!failure && !up->parser.is_done() && !queue->stopped)
		    {
			    if (ahead <= queue->bytes || (0 < queue->bytes && k_read_ahead_total <= m_read_ahead))
			    {
				    queue->wait(_inner);
				    continue;
			    }
			    std::string piece(k_piece, '\0');
			    up->parser.get().body().data = piece.data();
			    up->parser.get().body().size = piece.size();
			    up->connection->stream.expires_after(k_piece_timeout);
			    http::async_read(up->connection->stream, up->connection->buffer, up->parser, _inner[failure]);
			    failure = http::error::need_buffer == failure ? beast::error_code() : failure;
			    piece.resize(piece.size() - up->parser.get().body().size);
			    if (queue->stopped)
			    {
				    break;
			    }
			    queue->bytes += piece.size();
			    m_read_ahead += piece.size();
			    queue->pieces.push_back(std::move(piece));
			    queue->notify();
		    }
		    queue->done = !failure && up->parser.is_done();
		    queue->failed = !queue->done;
		    if (queue->done)
		    {
			    finish(*up, exchange_end::whole);
		    }
		    else
		    {
			    abandon(up);
		    }
		    queue->notify();
	    });
	bool open = _session.send_head(head, _yield);
	while (open && !(queue->pieces.empty() && (queue->done || queue->failed)))
	{
		if (queue->pieces.empty())
		{
			queue->wait(_yield);
			continue;
		}
		const std::string piece = std::move(queue->pieces.front());
		queue->pieces.pop_front();
		open = _session.send_piece(piece.data(), piece.size(), _yield);
		queue->bytes -= piece.size();
		m_read_ahead -= piece.size();
		queue->notify();
	}
	m_read_ahead -= queue->bytes;
	queue->bytes = 0;
	queue->stopped = true;
	queue->notify();
	if (!open || queue->failed)
	{
		// A part was sent: closing is the only way to tell the caller that it is not whole.
		_session.close();
		if (_up->connection)
		{
			_up->connection->stream.cancel();
		}
	}
	else
	{
		_session.send_end(_yield);
	}
	while (!queue->done && !queue->failed)
	{
		queue->wait(_yield);
	}
}
} // namespace larkrack
