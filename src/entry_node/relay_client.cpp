// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/relay_client_p.h"

#include "entry_node/answer_words_p.h"

#include <array>
#include <sstream>

namespace larkrack
{
namespace
{
/// Maximum idle time of a reused connection to a relay, milliseconds; shorter than the relay's own.
constexpr std::chrono::milliseconds k_max_idle{4000};
/// Maximum bytes of a result beside the body of the backend server's response.
constexpr std::uint64_t k_max_result_head_bytes = 65536;
/// Maximum bytes that are not parsed yet.
constexpr std::size_t k_read_buffer_bytes = 65536;

backend_signal signal_of(const relay_result& _message)
{
	switch (_message.result.end)
	{
	case exchange_outcome::answered:
		return backend_signal::answered;
	case exchange_outcome::not_run:
		return backend_signal::refused;
	case exchange_outcome::not_sent:
		return _message.unreachable ? backend_signal::unreachable : backend_signal::not_tried;
	case exchange_outcome::lost:
		break;
	}
	return _message.result.no_memory ? backend_signal::not_tried : backend_signal::lost;
}

/// @returns Whose name a header of a response gives.
answer_id name_in(const http::response_header<>& _head, const std::string& _header, const std::string& _own)
{
	const auto name = _head.find(_header);
	if (_head.end() == name)
	{
		return answer_id::none;
	}
	return name->value() == _own ? answer_id::own : answer_id::other;
}
} // namespace

relay_exchange::relay_exchange(const exchange_services& _services, relay_connections& _connections,
    relay_listener_base& _listener, std::string _relay_ip, backend_ptr _backend, upstream_request _request,
    std::chrono::milliseconds _connect_timeout, handler _handler)
    : m_services(_services), m_connections(_connections), m_listener(_listener),
      m_relay_ip(std::move(_relay_ip)), m_backend(std::move(_backend)), m_request(std::move(_request)),
      m_connect_timeout(_connect_timeout), m_handler(std::move(_handler)), m_timer(_services.io),
      m_reports(_services.clock, _services.names, _services.reports, m_backend, true),
      m_memory(_services.memory, this)
{
	const endpoint where{m_relay_ip, m_connections.port};
	const std::string bytes = encode_without_body(
	    relay_request{m_backend->registered.id, m_backend->registered.started_ms, m_request});
	http::request<http::empty_body> head(http::verb::post, k_relay_target, 11);
	head.set(http::field::host, to_string(where));
	head.set(http::field::content_type, "application/cbor");
	head.content_length(bytes.size() + (m_request.body ? m_request.body->size() : 0));
	head.set(m_services.names.request_id, m_request.request_id);
	head.set(k_attempt_header, std::to_string(m_request.attempt));
	std::ostringstream text;
	text << head.base();
	m_message = text.str() + bytes;
}

void relay_exchange::start()
{
	++m_backend->load.in_flight;
	m_connection = m_connections.pool.take({m_relay_ip, m_connections.port}, k_max_idle);
	if (m_connection)
	{
		m_on_kept_connection = true;
		write();
		return;
	}
	connect();
}

void relay_exchange::connect()
{
	m_connection = std::make_shared<client_connection>(m_services.io.get_executor());
	beast::error_code failed;
	const tcp::endpoint where(asio::ip::make_address(m_relay_ip, failed), m_connections.port);
	tcp::socket& socket = m_connection->stream.socket();
	socket.open(tcp::v4(), failed);
	if (!m_connections.own_address.empty())
	{
		// The relay knows this node by its address. Without the address it refuses the request.
		beast::error_code ignored;
		socket.bind({asio::ip::make_address(m_connections.own_address, ignored), 0}, ignored);
	}
	m_timer.expires_after(m_connect_timeout);
	m_timer.async_wait(
	    [self = shared_from_this()](beast::error_code _error)
	    {
		    if (!_error && !self->m_done && !self->m_sent)
		    {
			    self->fail_relay("relay_timeout");
		    }
	    });
	socket.async_connect(where,
	    [self = shared_from_this(), connection = m_connection](beast::error_code _error)
	    {
		    if (self->m_done)
		    {
			    return;
		    }
		    if (_error)
		    {
			    self->fail_relay("relay_unreachable");
			    return;
		    }
		    beast::error_code ignored; // Without the option small packets are only delayed.
		    connection->stream.socket().set_option(tcp::no_delay(true), ignored);
		    self->write();
	    });
}

void relay_exchange::write()
{
	if (!m_backend->accepts_requests_now(m_services.clock.steady()))
	{
		exchange_result result;
		result.detail = "not_wanted";
		result.withheld = true;
		finish(std::move(result), backend_signal::not_tried);
		return;
	}
	m_sent = true;
	m_sent_at = m_services.clock.steady();
	m_timer.cancel();
	if (nullptr != m_services.promises && m_request.at_most_once)
	{
		m_services.promises->on_sent(m_request.request_id, m_services.clock);
	}
	static const std::string s_no_body;
	const std::string& body = m_request.body ? *m_request.body : s_no_body;
	const std::array<asio::const_buffer, 2> bytes{asio::buffer(m_message), asio::buffer(body)};
	asio::async_write(m_connection->stream, bytes,
	    [self = shared_from_this(), connection = m_connection](beast::error_code _error, std::size_t)
	    {
		    self->m_written = !_error; // read() handles the error.
	    });
	read();
}

void relay_exchange::read()
{
	m_parser.emplace();
	m_parser->body_limit(nullptr == m_services.memory
	                         ? k_unlimited_body_bytes
	                         : m_services.memory->max_response_bytes() + k_max_result_head_bytes);
	m_connection->buffer.max_size(k_read_buffer_bytes);
	read_more();
}

void relay_exchange::read_more()
{
	// A parser that reads on behind the head passes over a length beyond the limit, and reserves it.
	m_parser->eager(m_parser->is_header_done());
	http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser,
	    [self = shared_from_this(), connection = m_connection](beast::error_code _error, std::size_t)
	    {
		    if (self->m_done)
		    {
			    return;
		    }
		    if (_error)
		    {
			    self->fail_read();
			    return;
		    }
		    if (self->m_parser->is_done())
		    {
			    self->on_response();
			    return;
		    }
		    self->m_memory.set(self->m_parser->get().body().size(), memory_use::response);
		    if (!self->m_done)
		    {
			    self->read_more();
		    }
	    });
}

void relay_exchange::fail_read()
{
	m_listener.on_relay_refused(m_relay_ip);
	fail(exchange_outcome::lost, "relay_lost", backend_signal::not_tried);
}

void relay_exchange::end_for_memory()
{
	exchange_result result;
	result.end = exchange_outcome::lost;
	result.detail = "no_memory";
	result.no_memory = true;
	finish(std::move(result), backend_signal::not_tried);
}

void relay_exchange::on_response()
{
	if (m_parser->need_eof())
	{
		fail_read(); // The end of a connection does not tell whether the result is whole.
		return;
	}
	const relay_verdict verdict = judge_relay(marks_of(m_parser->get()), m_request.repeat());
	if (relay_verdict::result != verdict)
	{
		on_refusal(verdict);
		return;
	}
	result<relay_result> decoded = decode_relay_result(std::move(m_parser->get().body()));
	relay_result* message = value_of(decoded);
	if (nullptr == message)
	{
		fail(exchange_outcome::lost, "relay_broken_answer", backend_signal::not_tried);
		return;
	}
	if (m_written && m_parser->get().keep_alive())
	{
		m_connections.pool.give(
		    {m_relay_ip, m_connections.port}, std::make_unique<client_connection>(std::move(*m_connection)));
		m_connection.reset();
	}
	m_listener.on_relayed(m_services.clock.steady() - m_sent_at - message->taken);
	if (message->result.response)
	{
		m_reports.read(*message->result.response, true);
	}
	const backend_signal signal = signal_of(*message);
	judge(message->result);
	if (exchange_outcome::answered != message->result.end)
	{
		message->result.response.reset();
	}
	finish(std::move(message->result), signal);
}

relay_marks relay_exchange::marks_of(const http::response_header<>& _head) const
{
	relay_marks marks;
	marks.status = _head.result_int();
	marks.has_result = k_relay_content_type == _head[http::field::content_type];
	marks.request = name_in(_head, m_services.names.request_id, m_request.request_id);
	marks.attempt = name_in(_head, k_attempt_header, std::to_string(m_request.attempt));
	marks.on_kept_connection = m_on_kept_connection;
	return marks;
}

void relay_exchange::on_refusal(relay_verdict _verdict)
{
	if (relay_verdict::not_sent == _verdict)
	{
		fail_relay("relay_refused");
		return;
	}
	m_listener.on_relay_refused(m_relay_ip);
	fail(exchange_outcome::lost, "relay_broken_answer", backend_signal::not_tried);
}

void relay_exchange::judge(exchange_result& _result) const
{
	if (exchange_outcome::answered != _result.end && exchange_outcome::not_run != _result.end)
	{
		return;
	}
	const bool has_id = !m_request.request_id.empty();
	answer_verdict verdict = answer_verdict::inconclusive;
	if (_result.response)
	{
		_result.marks =
		    read_answer_marks(*_result.response, m_services.names, m_request.request_id, m_written);
		verdict = judge_answer(*_result.marks, has_id, m_request.repeat());
		_result.rejection = rejection_proof::of_answer(*_result.marks, has_id);
	}
	if (answer_verdict::rejected == verdict)
	{
		_result.end = exchange_outcome::not_run;
		return;
	}
	if (answer_verdict::answered != verdict || exchange_outcome::answered != _result.end)
	{
		_result.end = exchange_outcome::lost;
		_result.detail = "ambiguous_answer";
	}
}

void relay_exchange::fail_relay(const char* _detail)
{
	m_listener.on_relay_refused(m_relay_ip);
	exchange_result result;
	result.detail = _detail;
	result.relay_failed = true;
	finish(std::move(result), backend_signal::not_tried);
}

void relay_exchange::fail(exchange_outcome _end, const char* _detail, backend_signal _signal)
{
	exchange_result result;
	result.end = _end;
	result.detail = _detail;
	finish(std::move(result), _signal);
}

void relay_exchange::finish(exchange_result&& _result, backend_signal _signal)
{
	m_done = true;
	m_memory.release();
	--m_backend->load.in_flight;
	m_backend->on_exchange_end(_signal, m_services.clock.steady(),
	    _result.slots_free ? refusal_report::slots_free : refusal_report::none);
	_result.on_kept_connection = m_on_kept_connection;
	if (m_parser && m_parser->is_header_done() && http::status::ok != m_parser->get().result())
	{
		_result.relay_status = m_parser->get().result_int();
	}
	close();
	const handler decided = std::exchange(m_handler, nullptr);
	decided(std::move(_result));
}

void relay_exchange::close()
{
	m_timer.cancel();
	if (m_connection)
	{
		beast::error_code ignored; // The connection is discarded in any case.
		m_connection->stream.socket().close(ignored);
		m_connection.reset();
	}
}

void relay_exchange::cancel(std::chrono::milliseconds)
{
	if (m_done)
	{
		return;
	}
	m_done = true;
	m_memory.release();
	m_handler = nullptr;
	--m_backend->load.in_flight;
	close();
}
} // namespace larkrack
