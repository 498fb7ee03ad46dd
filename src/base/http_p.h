// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// HTTP/1.1 through Boost.Beast: a server whose handlers are coroutines, and a pooling client.
///
/// Used by larkrackd and the tools, which write each request as a sequential coroutine. larkrack-edge has
/// http_listener instead, which uses callbacks: a coroutine stack for each connection
/// (k_coroutine_stack_size) would cost memory, which is priced there (docs/PLATFORM.md). http_listener does
/// not stream responses.
/// Decides: which requests are invalid (they get a 4xx response and outcome `not_run`), and when a connection
/// may be reused.
/// Owns: the sessions of callers, and idle connections to servers; each belongs to one thread.
/// Relies on: one thread for each I/O context, so no strand is needed; limits (bytes) and timeouts from
/// larkrack/config.h.
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
/// Body limit for responses of any length. Boost.Beast treats its own "no limit" value as zero when a message
/// states a Content-Length.
constexpr std::uint64_t k_unlimited_body_bytes = INT64_MAX;
/// Maximum bytes of the body of a response to this process's own calls, of the store or of another node.
/// More: a faulty peer takes the memory of the process. Fewer: a configuration of 100,000 routes is never
/// read.
constexpr std::uint64_t k_max_control_body_bytes = 64U << 20U;

using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

/// @returns The value of a header, or an empty string when the message has no such header.
template <typename Message>
std::string header_of(const Message& _message, const char* _name)
{
	const auto it = _message.find(_name);
	return _message.end() == it ? std::string() : std::string(it->value());
}

/// Starts a coroutine with a stack of k_coroutine_stack_size bytes. An exception that leaves the coroutine is
/// a broken invariant and propagates to the thread that runs the I/O context.
/// @remarks Each context has one thread, so no strand is needed.
template <typename Function>
void start(const asio::any_io_executor& _executor, Function&& _function)
{
	constexpr void (*k_no_completion)() = []
	{
	};
	asio::spawn(asio::bind_executor(_executor, k_no_completion), std::forward<Function>(_function),
	    boost::coroutines::attributes(k_coroutine_stack_size));
}

template <typename Function>
void start(asio::io_context& _context, Function&& _function)
{
	start(asio::any_io_executor(_context.get_executor()), std::forward<Function>(_function));
}

/// Suspends the calling coroutine for an interval.
void sleep_for(
    const asio::any_io_executor& _executor, std::chrono::microseconds _time, const yield_context& _yield);

/// How the receiver of a streamed response knows the end of its body.
enum class body_end
{
	framed,   ///< By Content-Length or by chunks.
	by_close, ///< By the end of the connection.
};

/// Server side of one connection from a caller.
class http_session
{
public:
	/// @param[in] _check_headers Whether requests with ambiguous or missing headers are rejected.
	http_session(tcp::socket _socket, bool _check_headers);

	/// @returns The underlying stream, for waiting until it is readable.
	beast::tcp_stream& stream()
	{
		return m_stream;
	}
	/// @returns Address and port of the caller's side of the connection.
	const tcp::endpoint& peer() const
	{
		return m_peer;
	}
	/// Reads the next request. Responds to an invalid request with a 4xx status and closes the connection.
	/// @returns False when the connection was closed and there is no request to handle.
	bool read(http_request& _request, const yield_context& _yield);
	/// Sends a complete response and sets its Content-Length.
	/// @returns False when the response could not be sent completely.
	bool send(http_response& _response, const yield_context& _yield);
	/// Sends the response to a HEAD request: headers only, with Content-Length as the caller of this method
	/// set it.
	bool send_head_only(http_response& _response, const yield_context& _yield);
	/// Sends the headers of a streamed response. A framed one uses chunked encoding unless Content-Length is
	/// set; one that ends with the connection is the last on it.
	/// @param[in] _head Must stay valid until send_end().
	bool send_head(http::response<http::buffer_body>& _head, body_end _body, const yield_context& _yield);
	/// Sends a part of the body of a streamed response.
	bool send_piece(const char* _data, std::size_t _size, const yield_context& _yield);
	/// Completes a streamed response.
	bool send_end(const yield_context& _yield);
	/// @returns Whether the caller has closed the connection. Data that the caller has sent stays unread.
	bool peer_has_closed();
	/// Closes the connection immediately.
	void close();
	/// Ends the connection in the middle of a streamed response, so that it does not look complete.
	void break_off();
	/// Makes the next response the last one on this connection (`Connection: close`).
	void close_after_response()
	{
		m_keep_alive = false;
	}
	/// @returns Number of requests that were read on this connection.
	std::size_t requests() const
	{
		return m_requests;
	}
	/// @returns Whether another request may follow on this connection.
	bool keep_alive() const
	{
		return m_keep_alive;
	}

private:
	/// Lets each end of the connection be a reset, also that of this process: until a response is sent whole
	/// whose end is that of its connection, a usual end would make a part of it the whole.
	void reset_on_close(bool _reset);
	/// Responds with a 4xx status and outcome `not_run`, and closes the connection.
	/// @returns False, for read() to return.
	bool reject(http::status _status, const std::string& _why, const yield_context& _yield);
	/// @returns What is wrong with the version or headers of a request; empty when they are valid.
	std::string find_header_error(const http_request& _request) const;

	beast::tcp_stream m_stream;
	beast::flat_buffer m_buffer;
	tcp::endpoint m_peer;
	bool m_keep_alive = true;
	body_end m_body_end = body_end::framed; ///< Of the streamed response that is being sent.
	bool m_check_headers = true;
	std::size_t m_requests = 0;
	http::response<http::buffer_body>* m_head = nullptr;
	std::unique_ptr<http::response_serializer<http::buffer_body>> m_serializer;
};

/// Handles one request. Must send exactly one response, or close the session.
using http_handler = std::function<void(http_session&, http_request&, const yield_context&)>;

/// Accepts connections and runs a coroutine for each one.
class http_server
{
public:
	/// @param[in] _limit Maximum number of open connections; further ones are closed immediately.
	http_server(asio::io_context& _context, http_handler _handler, std::size_t _limit = k_caller_connections);
	~http_server();
	http_server(const http_server&) = delete;
	http_server& operator=(const http_server&) = delete;

	/// Starts to accept connections.
	/// @param[in] _shared Whether several listeners of this process share the port (SO_REUSEPORT).
	/// @returns An error when the address cannot be bound.
	std::optional<error> listen(const endpoint& _endpoint, bool _shared = false);
	/// @returns The port that the server listens on, which the kernel chose if listen() was given port 0.
	std::uint16_t port() const;
	/// Makes every further response close its connection (`Connection: close`).
	void begin_stop()
	{
		*m_close_after_response = true;
	}
	/// Stops accepting connections. Open connections stay until their current response is sent.
	void stop_accepting();
	/// Stops accepting and closes all connections immediately.
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
	std::shared_ptr<bool> m_close_after_response = std::make_shared<bool>(false);
};

/// Client side of a connection; carries one request at a time.
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

/// Idle connections of one thread, by server. Not thread-safe.
class connection_pool
{
public:
	explicit connection_pool(asio::any_io_executor _executor) : m_executor(std::move(_executor))
	{
	}
	/// Removes a connection from the pool.
	/// @param[in] _max_idle Maximum idle time; connections that were idle for longer are closed.
	/// @returns An idle connection that the server has not closed, or null.
	connection_ptr take(const endpoint& _endpoint, std::chrono::milliseconds _max_idle);
	/// Returns a connection to the pool. Its last response must have been read completely.
	void give(const endpoint& _endpoint, connection_ptr _connection);
	/// Closes all idle connections.
	void clear()
	{
		m_idle.clear();
	}
	/// Opens a new connection.
	/// @returns The connection, or null when connecting failed or timed out.
	connection_ptr connect(
	    const endpoint& _endpoint, std::chrono::milliseconds _timeout, const yield_context& _yield);

private:
	asio::any_io_executor m_executor;
	std::unordered_map<std::string, std::vector<connection_ptr>> m_idle;
};

/// Maximum idle time of a reused control connection: that of calls in a row. It is shorter than the timeout
/// of any call, so that connections which fell silent together cost one timeout and not one each.
constexpr std::chrono::milliseconds k_max_control_idle{300};

/// How the connection of one call behaved.
struct connection_report
{
	bool kept = false;   ///< It had carried an earlier call.
	bool silent = false; ///< The call ended because nothing came in time.
};

/// HTTP client for control traffic and tools: sends a request and reads the complete response. Not
/// thread-safe.
class http_caller
{
public:
	/// @param[in] _max_idle Maximum idle time of a connection that is used again.
	explicit http_caller(
	    const asio::any_io_executor& _executor, std::chrono::milliseconds _max_idle = k_max_control_idle)
	    : m_pool(_executor), m_max_idle(_max_idle)
	{
	}
	/// @returns The response; error "refused" when nothing was sent; error "unsure" when the request was
	/// sent, at least in part, and no complete response arrived.
	result<http_response> call(const endpoint& _endpoint, const http_request& _request,
	    std::chrono::milliseconds _timeout, const yield_context& _yield);
	/// Ends the call that waits for its response, if any, as one that got none.
	void abandon();
	/// @returns How the connection of the call behaved that has returned last.
	const connection_report& last_call() const
	{
		return m_last_call;
	}

private:
	connection_pool m_pool;
	std::chrono::milliseconds m_max_idle;
	connection_report m_last_call;
	client_connection* m_waiting = nullptr; ///< Connection of the latest call, while it waits.
};

/// @returns A request with method, target and Host set.
http_request make_request(
    http::verb _verb, const std::string& _target, const endpoint& _endpoint, const std::string& _body = "");
/// @returns A response with a JSON body.
http_response make_json(http::status _status, const std::string& _body);
/// @returns The percent-decoded value of a query parameter of a request target, or an empty string.
std::string query_value(const std::string& _target, const std::string& _name);
/// @returns A request target without its query.
std::string path_of(const std::string& _target);
/// Checks a socket without blocking.
/// @returns True when the peer has closed the stream or the socket has an error.
bool is_closed_by_peer(tcp::socket& _socket);
} // namespace larkrack
