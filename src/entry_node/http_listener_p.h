// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// HTTP/1.1 server for callers, based on callbacks: one request at a time per connection.
///
/// Owns the listening socket; each session is kept alive by its pending operations. Relies on the handler to
/// respond to each request exactly once. Connections that callers break are closed without a log line: broken
/// connections are ordinary, and the forwarder counts callers that disconnect before their response.
#pragma once

#include "steering/routing_table_p.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

namespace larkrack
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

using caller_request = http::request<http::string_body>;
using caller_response = http::response<http::string_body>;

class http_listener;

/// Connection from a caller. Kept alive by its pending operations.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
	caller_session(tcp::socket _socket, const tcp::endpoint& _caller, http_listener& _listener);

	/// Reads the first request.
	void start();
	/// Sends the response to the current request, then reads the next request.
	/// @param[in] _response Its Content-Length is set here, unless the request was HEAD and the response
	/// states one.
	void respond(caller_response _response);
	/// Sets the handler for a caller that disconnects before its response was sent.
	void set_disconnect_handler(std::function<void()> _handler)
	{
		m_disconnect_handler = std::move(_handler);
	}
	/// Closes the connection without a response.
	void close();
	/// Closes the connection if it carries no request.
	void close_if_idle();
	/// @returns Hash of the caller's address, without the port.
	std::uint64_t address_hash() const
	{
		return m_address_hash;
	}
	/// @returns Address of the caller, without the port.
	std::string address() const
	{
		return m_address.to_string();
	}
	/// @returns Whether a request waits for its response.
	bool busy() const
	{
		return m_busy;
	}

private:
	enum class phase
	{
		idle,  ///< Waiting for the first byte of a request.
		head,  ///< Reading a request.
		serve, ///< A response is due or being sent.
	};
	void wait_request();
	void read_head();
	void read_body();
	void refuse(http::status _status);
	void dispatch_request();
	void watch_for_disconnect();
	void start_timer(std::chrono::milliseconds _timeout);
	void on_timeout();
	void on_sent(beast::error_code _error);
	/// Shuts down the sending side, then closes the connection once the caller has closed it, or after
	/// k_close_timeout.
	void drain_and_close();

	tcp::socket m_socket;
	http_listener& m_listener;
	asio::ip::address m_address;
	std::uint64_t m_address_hash;
	asio::steady_timer m_timer;
	beast::flat_buffer m_buffer;
	std::optional<http::request_parser<http::string_body>> m_parser;
	std::optional<caller_response> m_response;
	std::function<void()> m_disconnect_handler;
	phase m_phase = phase::idle;
	bool m_busy = false;
	bool m_keep_alive = true;
	bool m_head_request = false;
	bool m_closed = false;
	unsigned m_request_number = 0;
};

/// Handles one request. Must lead to exactly one respond() or close().
using request_handler = std::function<void(const std::shared_ptr<caller_session>&, caller_request&&)>;

/// Checks the headers of a request before its body is read.
/// @returns Status to refuse the request with, unread; nothing: read the body.
using header_check = std::function<std::optional<http::status>(const caller_request&)>;

/// Accepts connections from callers.
class http_listener
{
public:
	/// @param[in] _max_connections Further connections are closed at once.
	http_listener(asio::io_context& _context, request_handler _handler, std::size_t _max_connections);

	/// Sets the check that runs before the body of a request is read.
	void set_header_check(header_check _check)
	{
		m_header_check = std::move(_check);
	}
	/// Starts to listen and to accept connections.
	/// @returns The error if the address cannot be opened or bound.
	beast::error_code listen(const tcp::endpoint& _address);
	/// @returns Bound address, with the port that was chosen if port 0 was given.
	tcp::endpoint address() const
	{
		return m_acceptor.local_endpoint();
	}
	/// Makes each response from now on the last one on its connection.
	void begin_stop()
	{
		m_stopping = true;
	}
	/// Stops accepting.
	void stop_accepting();
	/// Closes connections that carry no request.
	void close_idle();
	/// @returns Requests that wait for their response.
	std::size_t busy() const;
	std::size_t connections() const
	{
		return m_sessions.size();
	}
	bool stopping() const
	{
		return m_stopping;
	}
	const caller_limits& limits() const
	{
		return m_limits;
	}
	void set_limits(const caller_limits& _limits)
	{
		m_limits = _limits;
	}

private:
	friend class caller_session;
	void accept();

	tcp::acceptor m_acceptor;
	tcp::endpoint m_caller; ///< Remote address of the connection being accepted.
	asio::steady_timer m_accept_retry_timer;
	request_handler m_handler;
	header_check m_header_check;
	std::size_t m_max_connections;
	std::unordered_set<caller_session*> m_sessions;
	caller_limits m_limits;
	bool m_stopping = false;
};
} // namespace larkrack
