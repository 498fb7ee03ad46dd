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

#include "entry_node/exchange_p.h"
#include "entry_node/node_paths_p.h"
#include "entry_node/report_reader_p.h"
#include "steering/rejected_requests_p.h"

namespace larkrack
{
/// Assumed Keep-Alive timeout of a backend server that states none, milliseconds.
constexpr std::chrono::milliseconds k_default_keep_alive{4000};

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
	/// @param[in] _request_id Id of the request that is to be sent.
	/// @returns Whether the connection is still usable: open, without unexpected bytes, and without a
	/// rejection of that request.
	bool reuse(steady_time _now, std::chrono::milliseconds _max_idle_time, std::string_view _request_id);

	tcp::socket socket;
	beast::flat_buffer buffer;
	rejected_requests rejections;

private:
	void discard();

	backend_ptr m_backend;
	asio::steady_timer m_timer;
	steady_time m_idle_since{};
	bool m_idle = false;
	unsigned m_idle_periods = 0;
};

/// Sends one request to one backend server over this node's own connection.
class upstream_exchange : public exchange_base,
                          private memory_holder_base,
                          public std::enable_shared_from_this<upstream_exchange>
{
public:
	/// @param[in] _services Must outlive the exchange, as must _paths.
	/// @param[in] _connect_timeout Maximum time to establish a new connection.
	upstream_exchange(const exchange_services& _services, path_listener_base& _paths, backend_ptr _backend,
	    upstream_request _request, std::chrono::milliseconds _connect_timeout, handler _handler);
	void start() override;
	void cancel(std::chrono::milliseconds _linger) override;
	bool sent() const override
	{
		return m_sent;
	}
	const backend_ptr& backend() const override
	{
		return m_backend;
	}
	const std::string& relay() const override;

private:
	void connect();
	/// Sends the request on a new connection, unless the backend server stopped accepting requests meanwhile.
	void write_if_accepted();
	void write();
	/// Begins to read a response, after the one before it if that was an interim one.
	void read();
	/// Reads more of the response.
	void read_more();
	/// Reports the size of the response.
	void report_memory();
	void end_for_memory() override;
	/// Ends an exchange whose response is broken, too large or not whole.
	void fail_read(beast::error_code _error);
	/// Goes on once it is certain that an answer which ends with its connection was not reset.
	void on_whole_response();
	void on_response();
	/// Ends an exchange whose connection brings no answer to its request.
	void end_without_answer(const char* _detail);
	/// Skips a response to another request and reads the next one, or gives the connection up.
	void skip_foreign_response();
	/// Ends an exchange that the backend server rejected.
	void finish_rejected(caller_response&& _response);
	/// Ends an exchange for which no connection was established.
	void fail_connect(const char* _detail);
	void fail(exchange_outcome _end, const char* _detail, backend_signal _signal);
	void finish(exchange_result&& _result, backend_signal _signal);
	answer_marks marks_of(const http::response_header<>& _head) const;
	answer_verdict verdict() const;
	/// Checks an answer, whichever request it belongs to, against the promises of this node.
	void check_promises(const http::response_header<>& _head) const;
	/// Handles the report in the headers of a response, also if the response is not passed on.
	void handle_report(const http::response_header<>& _head);
	/// Handles the report of a response whose body is incomplete.
	void handle_partial_report();
	/// Counts the exchange as in flight, or no longer.
	void count_in_flight(int _change);
	/// @returns What the report of a response says that ends the exchange with a signal.
	refusal_report report_of(backend_signal _signal) const;
	/// Remembers that the connection has brought the rejection of the request.
	void note_rejection();
	void keep_connection(const caller_response& _response);
	/// Closes the connection of a cancelled exchange.
	void finish_cancelled();
	void close_connection();

	exchange_services m_services;
	path_listener_base& m_paths;
	backend_ptr m_backend;
	upstream_request m_request;
	std::string m_head; ///< Bytes of the request up to its body.
	memory_claim m_memory;
	report_reader m_reports;
	std::chrono::milliseconds m_connect_timeout;
	handler m_handler;
	asio::steady_timer m_timer;
	std::shared_ptr<upstream_connection> m_connection;
	std::optional<http::response_parser<http::string_body>> m_parser;
	bool m_sent = false;
	bool m_written = false; ///< The whole request was sent.
	bool m_write_failed = false;
	bool m_done = false;
	bool m_on_kept_connection = false;
	bool m_cancelled = false; ///< Cancelled; only a report is still of interest, until m_done.
	/// The backend server closed the connection before a response began, or reset it.
	bool m_connection_broke = false;
	steady_time m_connecting_since{};
	std::optional<steady_time::duration> m_connect_time;
	steady_time m_started_at{};
	path_request m_path_request; ///< While it counts as in flight.
	int m_foreign_responses = 0;
	int m_interim_responses = 0;
	std::optional<answer_marks> m_marks; ///< Of the last answer whose head came.
	/// Reads the marks of an answer in chunks before its trailer becomes part of the head.
	std::function<void(std::uint64_t, beast::string_view, beast::error_code&)> m_on_chunk;
};
} // namespace larkrack
