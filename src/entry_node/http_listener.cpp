// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/http_listener_p.h"

#include "steering/request_fingerprint_p.h"

namespace larkrack
{
namespace
{
/// Buffer bytes that an idle connection keeps. More costs idle memory, less an allocation per request.
constexpr std::size_t k_idle_buffer_bytes = 4096;
/// Delay after a failed accept. Longer: new callers wait. Shorter: the retries take up the CPU core.
constexpr std::chrono::milliseconds k_accept_retry_delay{20};
/// Maximum time to send a response. Longer: a caller that stopped reading holds a connection. Shorter:
/// downloads of slow callers are cut off.
constexpr std::chrono::milliseconds k_write_timeout{20000};
/// Time for the caller to close a connection after its last response. Longer: more open descriptors. Shorter:
/// a reset takes the response from a slow caller.
constexpr std::chrono::milliseconds k_close_timeout{1000};
/// Maximum bytes that are read and discarded during that time.
constexpr std::size_t k_max_drained_bytes = 512;

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
      m_address_hash(hash_of(_caller.address())), m_timer(m_socket.get_executor())
{
}

void caller_session::start()
{
	beast::error_code ignored; // Without the option small packets are only delayed.
	m_socket.set_option(tcp::no_delay(true), ignored);
	m_listener.m_sessions.insert(this);
	wait_request();
}

void caller_session::start_timer(std::chrono::milliseconds _timeout)
{
	m_timer.expires_after(_timeout);
	m_timer.async_wait(
	    [self = shared_from_this(), number = m_request_number, phase = m_phase](beast::error_code _error)
	    {
		    if (!_error && self->m_request_number == number && self->m_phase == phase)
		    {
			    self->on_timeout();
		    }
	    });
}

void caller_session::on_timeout()
{
	if (phase::head == m_phase)
	{
		refuse(http::status::request_timeout);
		return;
	}
	close();
}

void caller_session::wait_request()
{
	m_phase = phase::idle;
	m_parser.reset();
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
	start_timer(m_listener.limits().idle_timeout);
	m_socket.async_wait(tcp::socket::wait_read,
	    [self = shared_from_this()](beast::error_code _error)
	    {
		    if (self->m_closed)
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
	++m_request_number;
	m_phase = phase::head;
	m_parser.emplace();
	m_parser->header_limit(m_listener.limits().header_bytes);
	m_parser->body_limit(m_listener.limits().body_bytes);
	start_timer(m_listener.limits().header_timeout);
	http::async_read_header(m_socket, m_buffer, *m_parser,
	    [self = shared_from_this()](beast::error_code _error, std::size_t)
	    {
		    if (self->m_closed)
		    {
			    return;
		    }
		    if (http::error::header_limit == _error)
		    {
			    self->refuse(http::status::request_header_fields_too_large);
			    return;
		    }
		    if (http::error::body_limit == _error)
		    {
			    self->refuse(http::status::payload_too_large);
			    return;
		    }
		    if (_error && _error.category() == http::make_error_code(http::error::bad_method).category() &&
		        http::error::end_of_stream != _error && http::error::partial_message != _error)
		    {
			    self->refuse(http::status::bad_request);
			    return;
		    }
		    if (_error)
		    {
			    self->close();
			    return;
		    }
		    self->read_body();
	    });
}

void caller_session::read_body()
{
	if (!has_unambiguous_framing(m_parser->get()))
	{
		refuse(http::status::bad_request);
		return;
	}
	if (!m_parser->is_done() && m_listener.m_header_check)
	{
		if (const std::optional<http::status> refused = m_listener.m_header_check(m_parser->get()))
		{
			refuse(*refused);
			return;
		}
	}
	if (beast::iequals(m_parser->get()[http::field::expect], "100-continue") && !m_parser->is_done())
	{
		const auto text = std::make_shared<std::string>("HTTP/1.1 100 Continue\r\n\r\n");
		// No error handling needed: the read of the body fails too.
		asio::async_write(m_socket, asio::buffer(*text),
		    [self = shared_from_this(), text](beast::error_code, std::size_t)
		    {
		    });
	}
	if (m_parser->is_done())
	{
		dispatch_request();
		return;
	}
	http::async_read(m_socket, m_buffer, *m_parser,
	    [self = shared_from_this()](beast::error_code _error, std::size_t)
	    {
		    if (self->m_closed)
		    {
			    return;
		    }
		    if (http::error::body_limit == _error)
		    {
			    self->refuse(http::status::payload_too_large);
			    return;
		    }
		    if (_error)
		    {
			    self->close();
			    return;
		    }
		    self->dispatch_request();
	    });
}

void caller_session::refuse(http::status _status)
{
	m_phase = phase::serve;
	m_busy = true;
	m_keep_alive = false;
	m_head_request = false;
	caller_response response(_status, 11);
	respond(std::move(response));
}

void caller_session::dispatch_request()
{
	m_phase = phase::serve;
	m_busy = true;
	m_timer.cancel();
	caller_request request = m_parser->release();
	m_parser.reset();
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
	    [self = shared_from_this(), number = m_request_number](beast::error_code _error)
	    {
		    if (_error || self->m_closed || !self->m_busy || self->m_request_number != number)
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

void caller_session::respond(caller_response _response)
{
	if (m_closed || !m_busy)
	{
		return;
	}
	m_disconnect_handler = nullptr;
	m_keep_alive = m_keep_alive && !m_listener.stopping();
	m_response.emplace(std::move(_response));
	m_response->version(11);
	m_response->erase(http::field::connection);
	if (!m_keep_alive)
	{
		m_response->set(http::field::connection, "close");
	}
	if (!m_head_request || !m_response->has_content_length())
	{
		m_response->content_length(m_response->body().size());
	}
	start_timer(k_write_timeout);
	const auto sent = [self = shared_from_this()](beast::error_code _error, std::size_t)
	{
		self->on_sent(_error);
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
	http::async_write(m_socket, *m_response, sent);
}

void caller_session::on_sent(beast::error_code _error)
{
	m_response.reset();
	if (m_closed)
	{
		return;
	}
	m_busy = false;
	if (_error)
	{
		close();
		return;
	}
	if (!m_keep_alive)
	{
		drain_and_close();
		return;
	}
	wait_request();
}

void caller_session::drain_and_close()
{
	// The caller closes after it has read the response. Closing first could reset the connection and discard
	// the response on the caller's side.
	m_phase = phase::idle;
	++m_request_number;
	beast::error_code ignored; // The connection is closed in any case.
	m_socket.shutdown(tcp::socket::shutdown_send, ignored);
	start_timer(k_close_timeout);
	const auto drained = std::make_shared<std::array<char, k_max_drained_bytes>>();
	m_socket.async_read_some(asio::buffer(*drained),
	    [self = shared_from_this(), drained](beast::error_code, std::size_t)
	    {
		    self->close();
	    });
}

void caller_session::close()
{
	if (m_closed)
	{
		return;
	}
	m_closed = true;
	m_busy = false;
	m_listener.m_sessions.erase(this);
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
	beast::error_code error; // On an error available() is 0 and the connection is closed, as intended.
	if (phase::idle == m_phase && 0 == m_socket.available(error))
	{
		close();
	}
}

http_listener::http_listener(
    asio::io_context& _context, request_handler _handler, std::size_t _max_connections)
    : m_acceptor(_context), m_accept_retry_timer(_context), m_handler(std::move(_handler)),
      m_max_connections(_max_connections)
{
}

beast::error_code http_listener::listen(const tcp::endpoint& _address)
{
	beast::error_code error;
	m_acceptor.open(_address.protocol(), error);
	if (!error)
	{
		m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
	}
	if (!error)
	{
		m_acceptor.bind(_address, error);
	}
	if (!error)
	{
		m_acceptor.listen(asio::socket_base::max_listen_connections, error);
	}
	if (!error)
	{
		accept();
	}
	return error;
}

void http_listener::accept()
{
	m_acceptor.async_accept(m_caller,
	    [this](beast::error_code _error, tcp::socket _socket)
	    {
		    if (!m_acceptor.is_open())
		    {
			    return;
		    }
		    if (_error)
		    {
			    // Out of descriptors or a similar error: some connections have to end first.
			    m_accept_retry_timer.expires_after(k_accept_retry_delay);
			    m_accept_retry_timer.async_wait(
			        [this](beast::error_code _canceled)
			        {
				        if (!_canceled)
				        {
					        accept();
				        }
			        });
			    return;
		    }
		    if (m_sessions.size() < m_max_connections)
		    {
			    std::make_shared<caller_session>(std::move(_socket), m_caller, *this)->start();
		    }
		    accept();
	    });
}

void http_listener::stop_accepting()
{
	beast::error_code ignored; // The acceptor is not used again.
	m_acceptor.close(ignored);
	m_accept_retry_timer.cancel();
}

void http_listener::close_idle()
{
	const std::vector<caller_session*> sessions(m_sessions.begin(), m_sessions.end());
	for (caller_session* session : sessions)
	{
		session->close_if_idle();
	}
}

std::size_t http_listener::busy() const
{
	std::size_t count = 0;
	for (const caller_session* session : m_sessions)
	{
		count += session->busy() ? 1 : 0;
	}
	return count;
}
} // namespace larkrack
