// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/caller_session_p.h"

#include "entry_node/http_listener_p.h"
#include "steering/request_fingerprint_p.h"

#include <array>

namespace larkrack
{
namespace
{
using timer_clock = std::chrono::steady_clock;

/// Buffer bytes that an idle connection keeps. More costs idle memory, less an allocation per request.
constexpr std::size_t k_idle_buffer_bytes = 4096;
/// Maximum bytes of one read. More: a caller holds up the others. Fewer: more reads for an upload.
constexpr std::size_t k_max_read_bytes = 65536;
/// Maximum time to send a response. Longer: a caller that stopped reading holds a connection. Shorter:
/// downloads of slow callers are cut off.
constexpr std::chrono::milliseconds k_write_timeout{20000};
/// Time for the caller to close a connection after its last response. Longer: more open descriptors. Shorter:
/// a reset takes the response from a slow caller.
constexpr std::chrono::milliseconds k_close_timeout{1000};
/// Maximum bytes that are read and discarded during that time. More: a caller that sends on takes up the CPU
/// core. Fewer: a reset takes the response from a caller that has sent many requests behind the last one.
constexpr std::size_t k_max_drained_bytes = 1048576;
/// Bytes of a connection itself, as counted: session, socket and parser.
constexpr std::uint64_t k_connection_bytes = 4096;
/// Maximum growth of the room for a body whose length is not stated. More: memory that may stay unused.
/// Less: the body is copied more often.
constexpr std::size_t k_max_body_growth = 8U << 20U;
/// Retry-After of a request that is refused for lack of memory: bodies that come end within about that time.
constexpr int k_memory_retry_after_s = 1;
/// Time to read what waits in the socket of a caller whose time is over. Longer: a caller that is late holds
/// the connection. Shorter: more wake-ups while the node catches up.
constexpr std::chrono::milliseconds k_catch_up_time{20};

/// @returns Whether no server downstream can interpret the framing of a request differently (request
/// smuggling).
bool has_unambiguous_framing(const http::request<http::string_body>& _request)
{
	const auto codings = _request.equal_range(http::field::transfer_encoding);
	for (auto it = codings.first; it != codings.second; ++it)
	{
		if (!beast::iequals(it->value(), "chunked"))
		{
			return false;
		}
	}
	return _request.version() <= 11 && _request.count(http::field::host) <= 1;
}

/// @returns The status for a request that could not be parsed; nothing if the connection broke instead.
std::optional<http::status> status_of(const beast::error_code& _error)
{
	if (http::error::header_limit == _error)
	{
		return http::status::request_header_fields_too_large;
	}
	if (http::error::body_limit == _error)
	{
		return http::status::payload_too_large;
	}
	const bool is_http = _error.category() == http::make_error_code(http::error::bad_method).category();
	if (is_http && http::error::end_of_stream != _error && http::error::partial_message != _error)
	{
		return http::status::bad_request;
	}
	return std::nullopt;
}

/// Body of a request and its claim.
struct counted_body
{
	counted_body(std::string&& _bytes, const memory_ledger_ptr& _ledger)
	    : bytes(std::move(_bytes)), claim(_ledger)
	{
		claim.set(bytes.capacity(), memory_use::request);
	}
	std::string bytes;
	memory_claim claim;
};

std::uint64_t hash_of(const asio::ip::address& _address)
{
	const auto hash = [](const auto& _bytes)
	{
		return request_sender_hash({reinterpret_cast<const char*>(_bytes.data()), _bytes.size()});
	};
	return _address.is_v4() ? hash(_address.to_v4().to_bytes()) : hash(_address.to_v6().to_bytes());
}
} // namespace

caller_session::caller_session(tcp::socket _socket, const tcp::endpoint& _caller, http_listener& _listener)
    : m_socket(std::move(_socket)), m_listener(_listener), m_address(_caller.address()),
      m_address_hash(hash_of(_caller.address())), m_timer(m_socket.get_executor()),
      m_connection_memory(_listener.memory()), m_memory(_listener.memory(), this)
{
}

void caller_session::start()
{
	beast::error_code ignored; // Without the option small packets are only delayed.
	m_socket.set_option(tcp::no_delay(true), ignored);
	m_listener.add(*this);
	m_connection_memory.set(k_connection_bytes, memory_use::connection);
	wait_request();
}

void caller_session::enter(step _step)
{
	m_step = _step;
	++m_step_number;
}

void caller_session::start_timer(timer_clock::duration _timeout)
{
	m_stalled_before = m_listener.stalled_time();
	m_got_bytes = false;
	m_timer.expires_after(_timeout);
	m_timer.async_wait(
	    [self = shared_from_this(), number = m_step_number](beast::error_code _error)
	    {
		    if (!_error && self->is_current(number))
		    {
			    self->on_timeout();
		    }
	    });
}

void caller_session::on_timeout()
{
	if (step::idle == m_step && has_unread_bytes())
	{
		read_head();
		return;
	}
	if (step::head != m_step && step::body != m_step)
	{
		close();
		return;
	}
	const timer_clock::duration left = reading_time_left();
	if (left > timer_clock::duration::zero())
	{
		start_timer(left);
		return;
	}
	refuse_unread(http::status::request_timeout);
}

timer_clock::duration caller_session::reading_time_left()
{
	if (has_unread_bytes())
	{
		return k_catch_up_time;
	}
	const timer_clock::duration stalled = m_listener.measure_stalled_time() - m_stalled_before;
	if (step::head == m_step)
	{
		return stalled;
	}
	m_body_deadline += stalled;
	const timer_clock::duration until_deadline = m_body_deadline - timer_clock::now();
	if (m_got_bytes)
	{
		return std::min<timer_clock::duration>(until_deadline, m_listener.limits().idle_timeout);
	}
	return std::min(until_deadline, stalled);
}

bool caller_session::has_unread_bytes()
{
	beast::error_code error; // On an error available() is 0, as on a connection that has broken.
	return m_socket.available(error) > 0;
}

void caller_session::wait_request()
{
	enter(step::idle);
	m_parser.reset();
	m_memory.release();
	if (m_buffer.size() > 0)
	{
		read_head();
		return;
	}
	if (m_buffer.capacity() > k_idle_buffer_bytes)
	{
		m_buffer.clear();
		m_buffer.shrink_to_fit();
	}
	m_connection_memory.set(k_connection_bytes + m_buffer.capacity(), memory_use::connection);
	m_listener.note_resting(*this);
	start_timer(m_listener.limits().idle_timeout);
	m_socket.async_wait(tcp::socket::wait_read,
	    [self = shared_from_this(), number = m_step_number](beast::error_code _error)
	    {
		    if (!self->is_current(number))
		    {
			    return;
		    }
		    if (_error)
		    {
			    self->close();
			    return;
		    }
		    self->read_head();
	    });
}

void caller_session::read_head()
{
	enter(step::head);
	m_listener.note_reading(*this);
	m_body_time = {};
	m_parser.emplace();
	m_parser->header_limit(m_listener.limits().header_bytes);
	m_parser->body_limit(m_listener.limits().body_bytes);
	start_timer(m_listener.limits().header_timeout);
	parse();
}

std::size_t caller_session::max_unparsed_bytes() const
{
	return std::max<std::size_t>(k_max_read_bytes, m_listener.limits().header_bytes + 1);
}

bool caller_session::count_memory(std::uint64_t _growth)
{
	const unsigned number = m_step_number;
	std::uint64_t bytes = _growth;
	if (step::body == m_step)
	{
		const std::string& body = m_parser->get().body();
		bytes += m_parser->chunked() ? body.capacity() : body.size();
	}
	m_memory.set(bytes + m_buffer.capacity(), memory_use::incoming_request);
	return is_current(number);
}

bool caller_session::reserve_body()
{
	if (step::body != m_step || !m_parser->chunked())
	{
		return true;
	}
	std::string& body = m_parser->get().body();
	const std::size_t needed = body.size() + m_buffer.size();
	if (needed <= body.capacity())
	{
		return true;
	}
	const std::size_t growth = std::min(body.capacity(), k_max_body_growth);
	const std::size_t capacity = std::max(needed, body.capacity() + growth);
	if (!count_memory(capacity))
	{
		return false;
	}
	body.reserve(capacity);
	return true;
}

void caller_session::end_for_memory()
{
	if (step::head == m_step || step::body == m_step)
	{
		refuse_unread(http::status::service_unavailable, k_memory_retry_after_s);
		return;
	}
	close();
}

body_ptr caller_session::hold_body(std::string&& _body)
{
	if (_body.empty())
	{
		return nullptr;
	}
	const auto counted = std::make_shared<counted_body>(std::move(_body), m_listener.memory());
	return {counted, &counted->bytes};
}

void caller_session::read_more()
{
	if (m_buffer.size() >= max_unparsed_bytes())
	{
		const bool is_head = step::head == m_step;
		refuse_unread(is_head ? http::status::request_header_fields_too_large : http::status::bad_request);
		return;
	}
	m_socket.async_read_some(m_buffer.prepare(beast::read_size(m_buffer, k_max_read_bytes)),
	    [self = shared_from_this(), number = m_step_number](beast::error_code _error, std::size_t _size)
	    {
		    if (self->is_current(number))
		    {
			    self->on_read(_error, _size);
		    }
	    });
}

void caller_session::on_read(beast::error_code _error, std::size_t _size)
{
	if (_error)
	{
		close();
		return;
	}
	m_buffer.commit(_size);
	m_got_bytes = true;
	parse();
}

bool caller_session::is_part_complete() const
{
	return step::head == m_step ? m_parser->is_header_done() : m_parser->is_done();
}

void caller_session::parse()
{
	beast::error_code error;
	if (!reserve_body())
	{
		return;
	}
	while (!error && m_buffer.size() > 0 && !is_part_complete())
	{
		m_buffer.consume(m_parser->put(m_buffer.data(), error));
	}
	if (error && http::error::need_more != error)
	{
		on_read_failed(error);
		return;
	}
	if (!is_part_complete())
	{
		if (count_memory())
		{
			read_more();
		}
		return;
	}
	if (step::head == m_step)
	{
		on_head();
		return;
	}
	m_body_time = timer_clock::now() - m_body_began_at;
	dispatch_request();
}

void caller_session::on_read_failed(beast::error_code _error)
{
	if (const std::optional<http::status> refused = status_of(_error))
	{
		refuse_unread(*refused);
		return;
	}
	close();
}

void caller_session::on_head()
{
	if (!has_unambiguous_framing(m_parser->get()))
	{
		refuse_unread(http::status::bad_request);
		return;
	}
	if (m_parser->is_done())
	{
		dispatch_request();
		return;
	}
	if (const std::optional<http::status> refused = m_listener.check_header(m_parser->get()))
	{
		refuse_unread(*refused);
		return;
	}
	if (refuse_by_length())
	{
		return;
	}
	read_body();
}

bool caller_session::refuse_by_length()
{
	const memory_ledger_ptr& memory = m_listener.memory();
	const std::uint64_t room = nullptr == memory ? UINT64_MAX : memory->max_large_bytes();
	const std::uint64_t limit = std::min(room, m_listener.body_bytes_limit(*this, m_parser->get()));
	m_parser->body_limit(limit); // Of a body in chunks; the parser has checked a stated length already.
	const std::uint64_t length = m_parser->content_length().value_or(0);
	if (length > limit)
	{
		refuse_unread(http::status::payload_too_large);
		return true;
	}
	if (nullptr != memory && !memory->fits(length))
	{
		refuse_unread(http::status::service_unavailable, k_memory_retry_after_s);
		return true;
	}
	return false;
}

void caller_session::read_body()
{
	enter(step::body);
	m_parser->eager(true);
	m_body_began_at = timer_clock::now();
	const std::chrono::milliseconds limit = m_listener.body_time_limit(m_parser->get());
	m_body_deadline = m_body_began_at + limit;
	start_timer(std::min(limit, m_listener.limits().idle_timeout));
	if (beast::iequals(m_parser->get()[http::field::expect], "100-continue"))
	{
		send_continue();
		return;
	}
	parse();
}

void caller_session::send_continue()
{
	static const std::string s_text = "HTTP/1.1 100 Continue\r\n\r\n";
	m_sending_continue = true;
	asio::async_write(m_socket, asio::buffer(s_text),
	    [self = shared_from_this(), number = m_step_number](beast::error_code _error, std::size_t)
	    {
		    self->m_sending_continue = false;
		    if (!self->is_current(number))
		    {
			    return;
		    }
		    if (_error)
		    {
			    self->close();
			    return;
		    }
		    self->parse();
	    });
}

void caller_session::refuse_unread(http::status _status, std::optional<int> _retry_after_s)
{
	if (m_sending_continue)
	{
		close(); // A response would be mixed with the interim one; the request has not been read.
		return;
	}
	const bool has_headers = m_parser && m_parser->is_header_done();
	m_listener.on_unread_refusal({has_headers ? &m_parser->get() : nullptr, _status,
	    m_listener.measure_stalled_time() - m_stalled_before});
	enter(step::serve);
	beast::error_code ignored; // Without a pending read there is nothing to cancel.
	m_socket.cancel(ignored);
	m_keep_alive = false;
	m_head_request = false;
	m_parser.reset();
	m_buffer.clear();
	m_buffer.shrink_to_fit();
	caller_response response(_status, 11);
	if (_retry_after_s)
	{
		response.set(http::field::retry_after, std::to_string(*_retry_after_s));
	}
	respond(std::move(response));
}

void caller_session::dispatch_request()
{
	enter(step::serve);
	m_timer.cancel();
	caller_request request = m_parser->release();
	m_parser.reset();
	m_memory.release();
	m_connection_memory.set(k_connection_bytes + m_buffer.capacity(), memory_use::connection);
	m_proven = true;
	m_listener.note_whole_request(*this);
	m_keep_alive = request.keep_alive();
	m_head_request = http::verb::head == request.method();
	watch_for_disconnect();
	m_listener.m_handler(shared_from_this(), std::move(request));
}

void caller_session::watch_for_disconnect()
{
	if (m_buffer.size() > 0)
	{
		return;
	}
	m_socket.async_wait(tcp::socket::wait_read,
	    [self = shared_from_this(), number = m_step_number](beast::error_code _error)
	    {
		    if (_error || !self->is_current(number))
		    {
			    return;
		    }
		    beast::error_code error; // On an error the connection is unusable, as at its end.
		    if (self->m_socket.available(error) > 0 && !error)
		    {
			    return; // The next request; it is read after the current one.
		    }
		    self->close();
	    });
}

void caller_session::respond(caller_response _response, response_framing _framing)
{
	if (step::serve == m_step)
	{
		send_response(std::move(_response), _framing);
	}
}

void caller_session::send_response(caller_response&& _response, response_framing _framing)
{
	enter(step::send);
	m_disconnect_handler = nullptr;
	const bool by_close = response_framing::by_close == _framing;
	m_keep_alive = m_keep_alive && !m_listener.stopping() && !by_close;
	m_response.emplace(std::move(_response));
	m_response->version(11);
	m_response->erase(http::field::connection);
	if (!m_keep_alive)
	{
		m_response->set(http::field::connection, "close");
	}
	if (!by_close && (!m_head_request || !m_response->has_content_length()))
	{
		m_response->content_length(m_response->body().size());
	}
	if (by_close)
	{
		reset_on_close(true);
	}
	start_timer(k_write_timeout);
	const unsigned number = m_step_number;
	m_memory.set(m_response->body().capacity(), memory_use::outgoing_response);
	if (!is_current(number))
	{
		return; // Closed: there is no room for it.
	}
	const auto sent = [self = shared_from_this(), number = m_step_number](
	                      beast::error_code _error, std::size_t)
	{
		if (self->is_current(number))
		{
			self->on_sent(_error);
		}
	};
	if (m_head_request)
	{
		auto serializer = std::make_shared<http::response_serializer<http::string_body>>(*m_response);
		http::async_write_header(m_socket, *serializer,
		    [sent, serializer](beast::error_code _error, std::size_t _size)
		    {
			    sent(_error, _size);
		    });
		return;
	}
	if (m_response->body().size() > k_small_bytes)
	{
		m_serializer.emplace(*m_response);
		send_piece();
		return;
	}
	http::async_write(m_socket, *m_response, sent);
}

void caller_session::reset_on_close(bool _reset)
{
	beast::error_code ignored; // The connection is broken then.
	m_socket.set_option(asio::socket_base::linger(_reset, 0), ignored);
}

void caller_session::send_piece()
{
	http::async_write_some(m_socket, *m_serializer,
	    [self = shared_from_this(), number = m_step_number](beast::error_code _error, std::size_t)
	    {
		    if (!self->is_current(number))
		    {
			    return;
		    }
		    if (_error || self->m_serializer->is_done())
		    {
			    self->on_sent(_error);
			    return;
		    }
		    self->m_memory.touch();
		    self->send_piece();
	    });
}

void caller_session::on_sent(beast::error_code _error)
{
	const bool by_close = !m_response->has_content_length();
	m_serializer.reset();
	m_response.reset();
	m_memory.release();
	if (_error)
	{
		close();
		return;
	}
	if (!m_keep_alive)
	{
		if (by_close)
		{
			reset_on_close(false);
		}
		drain_and_close();
		return;
	}
	wait_request();
}

void caller_session::drain_and_close()
{
	// The caller closes after it has read the response. Closing first, or with bytes of the caller unread,
	// could reset the connection and discard the response on the caller's side.
	enter(step::drain);
	m_buffer.clear();
	m_drained_bytes = 0;
	beast::error_code ignored; // The connection is closed in any case.
	m_socket.shutdown(tcp::socket::shutdown_send, ignored);
	start_timer(k_close_timeout);
	drain();
}

void caller_session::drain()
{
	static std::array<char, k_max_read_bytes> s_discarded; // Written by all sessions, read by none.
	if (m_drained_bytes >= k_max_drained_bytes)
	{
		return; // The timer closes the connection.
	}
	m_socket.async_read_some(asio::buffer(s_discarded),
	    [self = shared_from_this(), number = m_step_number](beast::error_code _error, std::size_t _size)
	    {
		    if (!self->is_current(number))
		    {
			    return;
		    }
		    if (_error)
		    {
			    self->close();
			    return;
		    }
		    self->m_drained_bytes += _size;
		    self->drain();
	    });
}

void caller_session::close()
{
	if (step::closed == m_step)
	{
		return;
	}
	enter(step::closed);
	m_listener.remove(*this);
	m_memory.release();
	m_connection_memory.release();
	m_timer.cancel();
	beast::error_code ignored; // The connection is no longer needed.
	m_socket.close(ignored);
	if (m_disconnect_handler)
	{
		const auto handler = std::move(m_disconnect_handler);
		m_disconnect_handler = nullptr;
		handler();
	}
}

void caller_session::close_if_idle()
{
	if (step::idle == m_step && m_proven && !has_unread_bytes())
	{
		close();
	}
}
} // namespace larkrack
