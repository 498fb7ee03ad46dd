// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// HTTP/1.1 towards callers, by callbacks: one request at a time on a connection. Owns the listening socket;
/// each session owns itself by its pending operations. Relies on the handler to answer each request once.
/// Connections that callers break are closed without a log line: that is ordinary, and the forwarder counts
/// callers who leave before their answer.
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

/// Connection from a caller.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
	caller_session(tcp::socket _socket, const tcp::endpoint& _caller, http_listener& _listener);

	/// Reads the first request.
	void start();
	/// Sends the answer to the request that was handed over last, then reads the next one.
	/// @param[in] _response Its Content-Length is set here, unless the request was HEAD.
	void respond(caller_response _response);
	/// Sets what happens when the caller leaves before the answer was sent.
	void on_leave(std::function<void()> _handler)
	{
		m_on_leave = std::move(_handler);
	}
	/// Ends the connection without an answer.
	void close();
	/// Closes the connection if no request is on it.
	void close_if_idle();
	/// @returns Hash of the caller's address, without the port.
	std::uint64_t address_hash() const
	{
		return m_address_hash;
	}
	/// @returns Whether a request waits for its answer.
	bool busy() const
	{
		return m_busy;
	}

private:
	enum class phase
	{
		idle,  ///< Waiting for the first byte of a request.
		head,  ///< Reading a request.
		serve, ///< An answer is due.
	};
	void wait_request();
	void read_head();
	void read_body();
	void refuse(http::status _status);
	void hand_over();
	void watch_caller();
	void arm(std::chrono::milliseconds _timeout);
	void on_timeout();
	void on_sent(beast::error_code _error);
	/// Ends the connection once the caller has closed it, or after a moment.
	void close_after_caller();

	tcp::socket m_socket;
	http_listener& m_listener;
	std::uint64_t m_address_hash;
	asio::steady_timer m_timer;
	beast::flat_buffer m_buffer;
	std::optional<http::request_parser<http::string_body>> m_parser;
	std::optional<caller_response> m_response;
	std::function<void()> m_on_leave;
	phase m_phase = phase::idle;
	bool m_busy = false;
	bool m_keep_alive = true;
	bool m_head_request = false;
	bool m_closed = false;
	unsigned m_request_number = 0;
};

/// Takes one request. Must lead to exactly one respond() or close().
using request_handler = std::function<void(const std::shared_ptr<caller_session>&, caller_request&&)>;

/// Looks at the head of a request whose body was not read yet.
/// @returns Status with which it is refused without reading on; nothing: read on.
using head_check = std::function<std::optional<http::status>(const caller_request&)>;

/// Accepts connections of callers.
class http_listener
{
public:
	/// @param[in] _max_connections More are closed at once.
	http_listener(asio::io_context& _context, request_handler _handler, std::size_t _max_connections);

	/// Sets what is asked before a body is read.
	void set_head_check(head_check _check)
	{
		m_head_check = std::move(_check);
	}
	/// Listens.
	/// @returns The error when the address can not be had.
	beast::error_code listen(const tcp::endpoint& _address);
	/// @returns Address in use; of interest when port 0 was asked for.
	tcp::endpoint address() const
	{
		return m_acceptor.local_endpoint();
	}
	/// From now on each answer is the last on its connection.
	void begin_stop()
	{
		m_stopping = true;
	}
	/// Stops accepting.
	void stop_accepting();
	/// Closes connections that carry no request.
	void close_idle();
	/// @returns Requests whose answer is due.
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
	tcp::endpoint m_caller; ///< Of the connection that is being accepted.
	asio::steady_timer m_accept_pause;
	request_handler m_handler;
	head_check m_head_check;
	std::size_t m_max_connections;
	std::unordered_set<caller_session*> m_sessions;
	caller_limits m_limits;
	bool m_stopping = false;
};
} // namespace larkrack
