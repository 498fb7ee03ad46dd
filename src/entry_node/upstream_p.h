// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// One exchange of request and response with a backend server, and the connection that it uses. Data from
/// backend servers is never trusted: an exchange that did not end cleanly closes its connection.
///
/// Owns the connection during the exchange; idle connections belong to the backend server's entry in the
/// registry. Relies on backend_registry for the entry and on its caller for retries: no request is sent twice
/// here.
#pragma once

#include "entry_node/answer_words_p.h"
#include "entry_node/backend_registry_p.h"
#include "entry_node/header_names_p.h"
#include "entry_node/http_listener_p.h"

#include <optional>
#include <string>

namespace larkrack
{
/// Connection to a backend server, for one exchange at a time.
class upstream_connection : public std::enable_shared_from_this<upstream_connection>
{
public:
	upstream_connection(asio::io_context& _context, backend_ptr _backend);
	~upstream_connection();
	upstream_connection(const upstream_connection&) = delete;
	upstream_connection& operator=(const upstream_connection&) = delete;

	/// Keeps the idle connection for a later exchange. Closes it as soon as it becomes readable, or shortly
	/// before the backend server would close it.
	/// @param[in] _lifetime Time for which the backend server keeps an idle connection open.
	void keep_idle(std::chrono::milliseconds _lifetime, steady_time _now);
	/// Takes the connection out of its idle state.
	/// @param[in] _max_idle_time A connection that was idle for longer is rejected.
	/// @returns Whether the connection is still usable: open, and without unexpected bytes.
	bool reuse(steady_time _now, std::chrono::milliseconds _max_idle_time);

	tcp::socket socket;
	beast::flat_buffer buffer;

private:
	void discard();

	backend_ptr m_backend;
	asio::steady_timer m_timer;
	steady_time m_idle_since{};
	bool m_idle = false;
	unsigned m_idle_periods = 0;
};

/// How an exchange ended.
enum class exchange_outcome
{
	answered, ///< A complete response of the backend server to this request.
	not_run,  ///< The backend server did not run the request.
	not_sent, ///< No byte of the request was sent.
	lost,     ///< The request may have run, but no valid response came.
};

/// Result of an exchange.
struct exchange_result
{
	exchange_outcome end = exchange_outcome::not_sent;
	std::optional<caller_response> response; ///< Set when answered.
	const char* detail = "";                 ///< Error name for the log.
	bool withheld = false;                   ///< Not sent: the backend server stopped accepting requests.
	bool slots_free = false;                 ///< Not run, although the backend server reported free slots.
	bool connection_broke = false;           ///< Lost: the backend server closed or reset the connection.
	/// Time that a new connection took to establish; nothing when no connection was made.
	std::optional<steady_time::duration> connect_time;
};

/// A request as it is sent to one backend server.
struct upstream_request
{
	std::shared_ptr<const std::string> bytes;
	std::string request_id;
	bool head = false;          ///< A HEAD request: its response has no body.
	bool by_completion = false; ///< The load report of a rejection counts more than the rejection.
	bool at_most_once = false;  ///< Must not run twice: a connection that may be stale is not used.
};

/// Receives the reports of backend servers about themselves (answer_words_p.h).
class backend_report_listener_base
{
public:
	virtual ~backend_report_listener_base() = default;
	virtual void on_backend_report(const backend_ptr& _backend, const backend_report& _report) = 0;
};

/// Sends one request to one backend server.
class upstream_exchange : public std::enable_shared_from_this<upstream_exchange>
{
public:
	using handler = std::function<void(exchange_result&&)>;

	/// @param[in] _listener Must outlive the exchange.
	/// @param[in] _connect_timeout Maximum time to establish a new connection.
	upstream_exchange(asio::io_context& _context, const clock_base& _clock, const header_names& _names,
	    backend_report_listener_base& _listener, backend_ptr _backend, upstream_request _request,
	    std::chrono::milliseconds _connect_timeout, handler _handler);
	/// Starts the exchange. The handler is called once, unless the exchange is cancelled before.
	void start();
	/// Cancels the exchange. Closing the connection stops the work of the backend server.
	/// @param[in] _linger Time for which the connection stays open first, since a response that is on its way
	/// may carry a report of the backend server.
	void cancel(std::chrono::milliseconds _linger);
	/// @returns Whether a byte of the request may have been sent.
	bool sent() const
	{
		return m_sent;
	}
	const backend_ptr& backend() const
	{
		return m_backend;
	}

private:
	void connect();
	/// Sends the request on a new connection, unless the backend server stopped accepting requests meanwhile.
	void write_if_accepted();
	void write();
	void read();
	void on_response();
	/// Skips a response to another request and reads the next one, or gives the connection up.
	void skip_foreign_response();
	void fail(exchange_outcome _end, const char* _detail, backend_signal _signal);
	void finish(exchange_result&& _result, backend_signal _signal);
	bool matches_request(const http::response_header<>& _head) const;
	/// @returns Whether a response carries a signature, a request id or the mark of a request that was not
	/// run. Without them it may come from any program that listens at the address.
	bool is_from_backend(const http::response_header<>& _head) const;
	/// Handles the report in the headers of a response, also if the response is not passed on.
	void handle_report(const http::response_header<>& _head);
	/// Handles the report of a response whose body is incomplete.
	void handle_partial_report();
	void apply_load(const backend_report& _report);
	/// @returns What the report of a response says that ends the exchange with a signal.
	refusal_report report_of(backend_signal _signal) const;
	void keep_connection(const caller_response& _response);
	/// Closes the connection of a cancelled exchange.
	void finish_cancelled();
	void close_connection();

	asio::io_context& m_context;
	const clock_base& m_clock;
	const header_names& m_names;
	backend_report_listener_base& m_listener;
	backend_ptr m_backend;
	upstream_request m_request;
	std::chrono::milliseconds m_connect_timeout;
	handler m_handler;
	asio::steady_timer m_timer;
	std::shared_ptr<upstream_connection> m_connection;
	std::optional<http::response_parser<http::string_body>> m_parser;
	bool m_sent = false;
	bool m_written = false; ///< The whole request was sent.
	bool m_done = false;
	bool m_cancelled = false; ///< Cancelled; only a report is still of interest, until m_done.
	/// The backend server closed the connection before a response began, or reset it.
	bool m_connection_broke = false;
	steady_time m_connecting_since{};
	std::optional<steady_time::duration> m_connect_time;
	int m_foreign_responses = 0;
	bool m_reported_free_slot = false; ///< The last load report of this exchange.
};
} // namespace larkrack
