// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// HTTP/1.1 through Boost.Beast: a server whose handlers are coroutines, and a pooling client.
///
/// For: larkrackd and the tools. Each step of a request is a line of a coroutine. http_listener of
/// larkrack-edge is its counterpart by callbacks: it has no coroutine's stack for each connection
/// (k_stack), since memory has a price there (docs/PLATFORM.md), and it streams no answers.
/// Decides: what is a bad request (answered with a 4xx and `not_run`), and when a connection may be used
/// again.
/// Owns: sessions of callers, and idle connections to servers, each of one thread.
/// Relies on: one thread for each I/O context, so no strand is needed.
/// Units: limits in bytes and times from larkrack/config.h.
#pragma once

#include "base/clock_p.h"
#include "base/settings_p.h"

#include "larkrack/config.h"

#include <boost/asio.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace larkrack
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using yield_context = asio::yield_context;
/// Limit of a body that may have any length. The library takes "no limit" for zero when a length is stated.
constexpr std::uint64_t k_any_length = INT64_MAX;

using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

/// @returns A header of the request, or an empty text.
template <typename Message>
std::string header_of(const Message& _message, const char* _name)
{
	const auto it = _message.find(_name);
	return _message.end() == it ? std::string() : std::string(it->value());
}

/// Starts a coroutine with our stack size. Exceptions in it are broken invariants.
/// @remarks Each context has one thread, so no strand is needed.
template <typename Function>
void start(const asio::any_io_executor& _executor, Function&& _function)
{
	constexpr void (*k_no_completion)() = []
	{
	};
	asio::spawn(asio::bind_executor(_executor, k_no_completion), std::forward<Function>(_function),
	    boost::coroutines::attributes(k_stack));
}

template <typename Function>
void start(asio::io_context& _context, Function&& _function)
{
	start(asio::any_io_executor(_context.get_executor()), std::forward<Function>(_function));
}

/// Suspends a coroutine.
void sleep_for(
    const asio::any_io_executor& _executor, std::chrono::microseconds _time, const yield_context& _yield);

/// Connection from a caller.
class http_session
{
public:
	http_session(tcp::socket _socket, bool _secure_head);

	/// @returns The stream, for waiting on it.
	beast::tcp_stream& stream()
	{
		return m_stream;
	}
	/// @returns Address of the other side.
	const tcp::endpoint& peer() const
	{
		return m_peer;
	}
	/// Reads the next request. Answers bad input with a 4xx by itself.
	/// @returns False when the connection has ended.
	bool read(http_request& _request, const yield_context& _yield);
	/// Sends a whole answer. Sets Content-Length.
	/// @returns False when it could not be sent whole.
	bool send(http_response& _response, const yield_context& _yield);
	/// Sends an answer to HEAD: its Content-Length stays as it is.
	bool send_head_only(http_response& _response, const yield_context& _yield);
	/// Sends the head of a streamed answer: with Content-Length if it is set, else chunked.
	bool send_head(http::response<http::buffer_body>& _head, const yield_context& _yield);
	/// Sends a piece of a streamed answer.
	bool send_piece(const char* _data, std::size_t _size, const yield_context& _yield);
	/// Ends a streamed answer.
	bool send_end(const yield_context& _yield);
	/// @returns Whether the other side has closed; its data, if any, stays unread.
	bool is_gone();
	/// Closes at once.
	void close();
	/// The next answer is the last one on this connection.
	void set_last()
	{
		m_keep_alive = false;
	}
	/// @returns Number of requests that were read.
	std::size_t requests() const
	{
		return m_requests;
	}
	/// @returns Whether another request may follow.
	bool keep_alive() const
	{
		return m_keep_alive;
	}

private:
	bool refuse(http::status _status, const std::string& _why, const yield_context& _yield);
	std::string fault_of(const http_request& _request) const;

	beast::tcp_stream m_stream;
	beast::flat_buffer m_buffer;
	tcp::endpoint m_peer;
	bool m_keep_alive = true;
	bool m_check_head = true;
	std::size_t m_requests = 0;
	http::response<http::buffer_body>* m_head = nullptr;
	std::unique_ptr<http::response_serializer<http::buffer_body>> m_serializer;
};

/// Handles one request. Must send exactly one answer, or close the session.
using http_handler = std::function<void(http_session&, http_request&, const yield_context&)>;

/// Listens and runs a coroutine for each connection.
class http_server
{
public:
	/// @param[in] _limit Connections at once; more are closed at once.
	http_server(asio::io_context& _context, http_handler _handler, std::size_t _limit = k_caller_connections);
	~http_server();
	http_server(const http_server&) = delete;
	http_server& operator=(const http_server&) = delete;

	/// Listens.
	/// @param[in] _shared Whether several listeners of this process share the port.
	/// @returns An error when the address can not be had.
	std::optional<error> listen(const endpoint& _endpoint, bool _shared = false);
	/// @returns The port in use; of interest when 0 was asked for.
	std::uint16_t port() const;
	/// From now on each answer asks its caller to open no further request on the connection.
	void begin_stop()
	{
		*m_last_answers = true;
	}
	/// Stops accepting; connections live on until their answer is sent.
	void stop_accepting();
	/// Closes all connections.
	void close_all();
	/// @returns Number of open connections.
	std::size_t connections() const
	{
		return m_sessions->size();
	}

private:
	using session_map = std::unordered_map<http_session*, std::shared_ptr<http_session>>;
	void accept();

	asio::io_context& m_context;
	tcp::acceptor m_acceptor;
	std::shared_ptr<http_handler> m_handler;
	std::size_t m_limit;
	std::shared_ptr<session_map> m_sessions;
	std::shared_ptr<bool> m_stopping;
	std::shared_ptr<bool> m_last_answers = std::make_shared<bool>(false);
};

/// Connection to a server, usable for one exchange at a time.
struct client_connection
{
	explicit client_connection(const asio::any_io_executor& _executor) : stream(_executor)
	{
	}
	beast::tcp_stream stream;
	beast::flat_buffer buffer;
	std::chrono::steady_clock::time_point last_used{};
};
using connection_ptr = std::unique_ptr<client_connection>;

/// Idle connections of one thread. Not thread-safe.
class connection_pool
{
public:
	explicit connection_pool(asio::any_io_executor _executor) : m_executor(std::move(_executor))
	{
	}
	/// @param[in] _max_idle Idle connections that are older are closed instead.
	/// @returns An idle connection that the other side has not closed, or null.
	connection_ptr take(const endpoint& _endpoint, std::chrono::milliseconds _max_idle);
	/// Keeps a connection whose last exchange ended cleanly.
	void give(const endpoint& _endpoint, connection_ptr _connection);
	/// Opens a new connection.
	/// @returns Null when it could not be had in time.
	connection_ptr connect(
	    const endpoint& _endpoint, std::chrono::milliseconds _timeout, const yield_context& _yield);

private:
	asio::any_io_executor m_executor;
	std::unordered_map<std::string, std::vector<connection_ptr>> m_idle;
};

/// Makes whole exchanges, for control traffic and tools. One thread.
class http_caller
{
public:
	explicit http_caller(const asio::any_io_executor& _executor) : m_pool(_executor)
	{
	}
	/// @returns The answer; or error "refused" when nothing was sent; or "unsure".
	result<http_response> call(const endpoint& _endpoint, const http_request& _request,
	    std::chrono::milliseconds _timeout, const yield_context& _yield);

private:
	connection_pool m_pool;
};

/// @returns A request with method, target and Host set.
http_request make_request(
    http::verb _verb, const std::string& _target, const endpoint& _endpoint, const std::string& _body = "");
/// @returns A JSON answer.
http_response make_json(http::status _status, const std::string& _body);
/// @returns Value of a parameter of the target's query, decoded, or an empty text.
std::string query_value(const std::string& _target, const std::string& _name);
/// @returns The target without its query.
std::string path_of(const std::string& _target);
/// @returns True when the socket shows the end of the stream, or an error, without waiting.
bool is_closed_by_peer(tcp::socket& _socket);
} // namespace larkrack
