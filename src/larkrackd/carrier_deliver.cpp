// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Delivery of a response to the caller. Small responses are read completely and then sent; large ones are
/// sent piece by piece while the next pieces are read ahead, so that a slow caller does not hold a slot of a
/// backend server. Relies on carrier_upstream.cpp to release the exchange.
#include "larkrackd/carrier_upstream_p.h"

#include "larkrack/config.h"

namespace larkrack
{
namespace
{
/// Timeout for reading one piece of a response.
constexpr std::chrono::seconds k_piece_timeout{20};

const http::field k_hop_by_hop_fields[] = {http::field::connection, http::field::keep_alive,
    http::field::proxy_connection, http::field::te, http::field::trailer, http::field::transfer_encoding,
    http::field::upgrade, http::field::expect};
} // namespace

void erase_hop_by_hop_fields(http::fields& _fields)
{
	for (const http::field field : k_hop_by_hop_fields)
	{
		_fields.erase(field);
	}
}

void carrier::set_answer_head(const proxied_request& _call, const upstream& _up, http::fields& _fields) const
{
	erase_hop_by_hop_fields(_fields);
	_fields.set(k_header_outcome, to_string(outcome::served));
	_fields.set(k_header_entry_vm, _call.entry_vm_path);
	_fields.set(k_header_backend, _up.backend);
	_fields.set(k_header_request_id, _call.id);
}

void carrier::deliver(http_session& _session, const proxied_request& _call,
    const std::shared_ptr<upstream>& _up, proxied_result& _end, const yield_context& _yield)
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
		deliver_large(_session, _call, _up, _yield);
	}
	abandon(_up);
}

void carrier::deliver_small(http_session& _session, const proxied_request& _call, upstream& _up,
    proxied_result& _end, const yield_context& _yield)
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
		// Nothing was sent to the caller yet, so the caller gets an error response instead of a truncated
		// one.
		_end = unknown_result(reason::lost_answer);
		return;
	}
	http_response response(_up.parser.get().result(), 11);
	static_cast<http::fields&>(response.base()) = _up.parser.get().base();
	set_answer_head(_call, _up, response.base());
	finish(_up, exchange_status::completed);
	if (http::verb::head == _call.request->method())
	{
		_session.send_head_only(response, _yield);
		return;
	}
	if (!_call.key.empty() && body.size() <= k_max_kept_body)
	{
		_end.body = body;
		_end.body_kept = true;
	}
	response.body() = std::move(body);
	_session.send(response, _yield);
}

void carrier::read_pieces(const std::shared_ptr<upstream>& _up, const std::shared_ptr<read_ahead>& _queue,
    std::size_t _ahead, const yield_context& _yield)
{
	beast::error_code failure;
	while (!failure && !_up->parser.is_done() && !_queue->stopped)
	{
		if (_ahead <= _queue->bytes || (0 < _queue->bytes && k_max_total_read_ahead <= m_read_ahead))
		{
			_queue->wait(_yield);
			continue;
		}
		std::string piece(k_piece, '\0');
		_up->parser.get().body().data = piece.data();
		_up->parser.get().body().size = piece.size();
		_up->connection->stream.expires_after(k_piece_timeout);
		http::async_read(_up->connection->stream, _up->connection->buffer, _up->parser, _yield[failure]);
		failure = http::error::need_buffer == failure ? beast::error_code() : failure;
		piece.resize(piece.size() - _up->parser.get().body().size);
		if (_queue->stopped)
		{
			break;
		}
		_queue->bytes += piece.size();
		m_read_ahead += piece.size();
		_queue->pieces.push_back(std::move(piece));
		_queue->notify();
	}
	_queue->done = !failure && _up->parser.is_done();
	_queue->failed = !_queue->done;
	if (_queue->done)
	{
		finish(*_up, exchange_status::completed);
	}
	else
	{
		abandon(_up);
	}
	_queue->notify();
}

bool carrier::send_pieces(http_session& _session, http::response<http::buffer_body>& _head, body_end _body,
    read_ahead& _queue, const yield_context& _yield)
{
	bool open = _session.send_head(_head, _body, _yield);
	while (open && !(_queue.pieces.empty() && (_queue.done || _queue.failed)))
	{
		if (_queue.pieces.empty())
		{
			_queue.wait(_yield);
			continue;
		}
		const std::string piece = std::move(_queue.pieces.front());
		_queue.pieces.pop_front();
		open = _session.send_piece(piece.data(), piece.size(), _yield);
		_queue.bytes -= piece.size();
		m_read_ahead -= piece.size();
		_queue.notify();
	}
	m_read_ahead -= _queue.bytes;
	_queue.bytes = 0;
	_queue.stopped = true;
	_queue.notify();
	return open;
}

void carrier::deliver_large(http_session& _session, const proxied_request& _call,
    const std::shared_ptr<upstream>& _up, const yield_context& _yield)
{
	http::response<http::buffer_body> head(_up->parser.get().result(), 11);
	static_cast<http::fields&>(head.base()) = _up->parser.get().base();
	set_answer_head(_call, *_up, head.base());
	const boost::optional<std::uint64_t> length = _up->parser.content_length();
	if (length)
	{
		head.content_length(*length);
	}
	const body_end body = _up->parser.need_eof() ? body_end::by_close : body_end::framed;
	const std::size_t ahead = m_settings.read_ahead ? k_max_read_ahead : k_piece;
	auto queue = std::make_shared<read_ahead>(m_context);
	start(m_context,
	    [this, queue, up = _up, ahead](const yield_context& _inner)
	    {
		    read_pieces(up, queue, ahead, _inner);
	    });
	const bool open = send_pieces(_session, head, body, *queue, _yield);
	if (!open || queue->failed)
	{
		// The caller already got a part of the response; the end of the connection is the only way to signal
		// that the response is incomplete.
		_session.break_off();
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
