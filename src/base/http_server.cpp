// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "base/http_p.h"

#include "larkrack/config.h"

namespace larkrack
{
namespace
{
/// Maximum number of connections that wait to be accepted. The kernel's own limit may be lower.
constexpr int k_accept_backlog = 1024;
using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

std::size_t field_count(const http_request& _request, http::field _field)
{
	const auto range = _request.equal_range(_field);
	return static_cast<std::size_t>(std::distance(range.first, range.second));
}

/// @returns The status for a request that could not be parsed.
http::status status_of(const beast::error_code& _failure)
{
	if (http::error::header_limit == _failure)
	{
		return http::status::request_header_fields_too_large;
	}
	if (http::error::body_limit == _failure)
	{
		return http::status::payload_too_large;
	}
	if (beast::error::timeout == _failure)
	{
		return http::status::request_timeout;
	}
	return http::status::bad_request;
}

/// @returns Whether the error means that the connection ended, and not that the request is invalid.
bool is_disconnect(const beast::error_code& _failure)
{
	return http::error::end_of_stream == _failure || asio::error::connection_reset == _failure ||
	       asio::error::operation_aborted == _failure || asio::error::eof == _failure;
}
} // namespace

void sleep_for(
    const asio::any_io_executor& _executor, std::chrono::microseconds _time, const yield_context& _yield)
{
	asio::steady_timer timer(_executor, _time);
	// The wait can fail only when the I/O context is destroyed, which then runs no more coroutines.
	boost::system::error_code ignored;
	timer.async_wait(_yield[ignored]);
}

bool is_closed_by_peer(tcp::socket& _socket)
{
	if (!_socket.is_open())
	{
		return true;
	}
	char byte = 0;
	const auto size = ::recv(_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return 0 == size || (size < 0 && EAGAIN != errno && EWOULDBLOCK != errno);
}

http_session::http_session(tcp::socket _socket, bool _check_headers)
    : m_stream(std::move(_socket)), m_check_headers(_check_headers)
{
	// Both calls fail if the peer has already disconnected; the first read then ends the session.
	boost::system::error_code ignored;
	m_peer = m_stream.socket().remote_endpoint(ignored);
	m_stream.socket().set_option(tcp::no_delay(true), ignored);
}

std::string http_session::find_header_error(const http_request& _request) const
{
	if (!m_check_headers)
	{
		return "";
	}
	if (11 != _request.version() && 10 != _request.version())
	{
		return "unsupported HTTP version, neither 1.0 nor 1.1";
	}
	if (1 < field_count(_request, http::field::host))
	{
		return "more than one Host header";
	}
	if (11 == _request.version() && 0 == field_count(_request, http::field::host))
	{
		return "missing Host header";
	}
	if (1 < field_count(_request, http::field::content_length) ||
	    (0 < field_count(_request, http::field::content_length) &&
	        0 < field_count(_request, http::field::transfer_encoding)))
	{
		return "conflicting lengths of the body";
	}
	return "";
}

bool http_session::read(http_request& _request, const yield_context& _yield)
{
	http::request_parser<http::string_body> parser;
	parser.header_limit(k_header_limit);
	parser.body_limit(k_body_limit);
	m_stream.expires_after(k_caller_timeout);
	beast::error_code failure;
	http::async_read_header(m_stream, m_buffer, parser, _yield[failure]);
	if (!failure && "100-continue" == parser.get()[http::field::expect])
	{
		http::response<http::empty_body> go_on(http::status::continue_, 11);
		http::async_write(m_stream, go_on, _yield[failure]);
	}
	if (!failure)
	{
		http::async_read(m_stream, m_buffer, parser, _yield[failure]);
	}
	if (failure)
	{
		// Callers close idle connections all the time. A request that did not arrive completely was not run.
		const bool is_idle = !parser.got_some();
		if (is_disconnect(failure) || (beast::error::timeout == failure && is_idle))
		{
			close();
			return false;
		}
		// A timeout has closed the stream, so no response can be sent.
		return beast::error::timeout == failure ? false
		                                        : reject(status_of(failure), failure.message(), _yield);
	}
	_request = parser.release();
	++m_requests;
	m_keep_alive = _request.keep_alive();
	const std::string header_error = find_header_error(_request);
	if (!header_error.empty())
	{
		return reject(http::status::bad_request, header_error, _yield);
	}
	return true;
}

bool http_session::reject(http::status _status, const std::string& _why, const yield_context& _yield)
{
	m_keep_alive = false;
	const nlohmann::json body = {{"outcome", "not_run"}, {"reason", "bad_request"}, {"message", _why}};
	http_response response = make_json(_status, body.dump());
	response.set(k_header_outcome, to_string(outcome::not_run));
	response.set(k_header_reason, to_string(reason::bad_request));
	// The result is ignored: whether or not the caller reads the response, the connection is closed and
	// nothing was run.
	send(response, _yield);
	close();
	return false;
}

bool http_session::send(http_response& _response, const yield_context& _yield)
{
	_response.keep_alive(m_keep_alive);
	_response.prepare_payload();
	m_stream.expires_after(k_caller_timeout);
	beast::error_code failure;
	http::async_write(m_stream, _response, _yield[failure]);
	if (failure)
	{
		m_keep_alive = false;
	}
	return !failure;
}

bool http_session::send_head_only(http_response& _response, const yield_context& _yield)
{
	_response.keep_alive(m_keep_alive);
	m_stream.expires_after(k_caller_timeout);
	http::response_serializer<http::string_body> serializer(_response);
	beast::error_code failure;
	http::async_write_header(m_stream, serializer, _yield[failure]);
	m_keep_alive = m_keep_alive && !failure;
	return !failure;
}

bool http_session::send_head(
    http::response<http::buffer_body>& _head, body_end _body, const yield_context& _yield)
{
	m_body_end = _body;
	m_keep_alive = m_keep_alive && body_end::framed == _body;
	_head.keep_alive(m_keep_alive);
	if (body_end::framed == _body && !_head.has_content_length())
	{
		_head.chunked(true);
	}
	reset_on_close(body_end::by_close == _body);
	_head.body().data = nullptr;
	_head.body().more = true;
	m_head = &_head;
	m_serializer = std::make_unique<http::response_serializer<http::buffer_body>>(_head);
	m_stream.expires_after(k_caller_timeout);
	beast::error_code failure;
	http::async_write_header(m_stream, *m_serializer, _yield[failure]);
	return !failure;
}

bool http_session::send_piece(const char* _data, std::size_t _size, const yield_context& _yield)
{
	if (0 == _size)
	{
		return true; // An empty chunk would end the body.
	}
	m_head->body().data = const_cast<char*>(_data);
	m_head->body().size = _size;
	m_head->body().more = true;
	m_stream.expires_after(k_caller_timeout);
	beast::error_code failure;
	http::async_write(m_stream, *m_serializer, _yield[failure]);
	return !failure || http::error::need_buffer == failure;
}

bool http_session::send_end(const yield_context& _yield)
{
	m_head->body().data = nullptr;
	m_head->body().size = 0;
	m_head->body().more = false;
	beast::error_code failure;
	if (!m_serializer->is_done())
	{
		http::async_write(m_stream, *m_serializer, _yield[failure]);
	}
	m_serializer.reset();
	m_head = nullptr;
	if (failure)
	{
		m_keep_alive = false;
	}
	else
	{
		reset_on_close(false);
	}
	return !failure;
}

void http_session::reset_on_close(bool _reset)
{
	boost::system::error_code ignored; // Fails when the peer has already closed the connection.
	m_stream.socket().set_option(asio::socket_base::linger(_reset, 0), ignored);
}

bool http_session::peer_has_closed()
{
	return is_closed_by_peer(m_stream.socket());
}

void http_session::close()
{
	m_keep_alive = false;
	// Fails when the peer has already closed the connection; the socket is closed in either case.
	boost::system::error_code ignored;
	m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
	m_stream.close();
}

void http_session::break_off()
{
	if (body_end::framed == m_body_end)
	{
		close();
		return;
	}
	// After a usual close the part that was sent would pass for the whole.
	m_keep_alive = false;
	m_stream.close(); // By a reset, as set with the head.
}

http_server::http_server(asio::io_context& _context, http_handler _handler, std::size_t _limit)
    : m_context(_context), m_acceptor(_context),
      m_handler(std::make_shared<http_handler>(std::move(_handler))), m_limit(_limit),
      m_sessions(std::make_shared<session_map>()), m_stopping(std::make_shared<bool>(false))
{
}

http_server::~http_server()
{
	stop_accepting();
}

std::optional<error> http_server::listen(const endpoint& _endpoint, bool _shared)
{
	boost::system::error_code failure;
	const tcp::endpoint where(asio::ip::make_address(_endpoint.host), _endpoint.port);
	m_acceptor.open(where.protocol(), failure);
	m_acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
	if (_shared)
	{
		m_acceptor.set_option(reuse_port(true), failure);
	}
	// Errors of the calls above are overwritten: if open() failed, bind() fails too; if an option could not
	// be set, bind() reports that the port is in use.
	m_acceptor.bind(where, failure);
	if (!failure)
	{
		m_acceptor.listen(k_accept_backlog, failure);
	}
	if (failure)
	{
		return error{"listen", "can not listen on " + to_string(_endpoint) + ": " + failure.message()};
	}
	accept();
	return std::nullopt;
}

std::uint16_t http_server::port() const
{
	// Fails when the server is not listening; the port is then 0.
	boost::system::error_code ignored;
	return m_acceptor.local_endpoint(ignored).port();
}

void http_server::accept()
{
	m_acceptor.async_accept(
	    [this, stopping = m_stopping](const boost::system::error_code& _failure, tcp::socket _socket)
	    {
		    if (*stopping || asio::error::operation_aborted == _failure)
		    {
			    return;
		    }
		    // A failed accept (the caller disconnected, or file descriptors ran out) and a connection above
		    // the limit are not logged, since a flood of connections would flood the log. No request was
		    // read, so the caller may safely try another entry VM.
		    if (!_failure && m_sessions->size() < m_limit)
		    {
			    auto session = std::make_shared<http_session>(std::move(_socket), true);
			    m_sessions->emplace(session.get(), session);
			    start(m_context,
			        [session, handler = m_handler, sessions = m_sessions,
			            close_after = m_close_after_response](const yield_context& _yield)
			        {
				        http_request request;
				        while (session->keep_alive() && session->read(request, _yield))
				        {
					        if (*close_after)
					        {
						        session->close_after_response();
					        }
					        (*handler)(*session, request, _yield);
				        }
				        session->close();
				        sessions->erase(session.get());
			        });
		    }
		    accept();
	    });
}

void http_server::stop_accepting()
{
	*m_stopping = true;
	*m_close_after_response = true;
	// An error is ignored: the descriptor is released in either case.
	boost::system::error_code ignored;
	m_acceptor.close(ignored);
}

void http_server::close_all()
{
	stop_accepting();
	for (const auto& [raw, session] : *m_sessions)
	{
		session->close();
	}
}
} // namespace larkrack
