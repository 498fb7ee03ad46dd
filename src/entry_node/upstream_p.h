// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// One exchange with a backend server, and the connection that it uses. What a backend server sends is never
/// trusted: an exchange that did not end cleanly closes its connection. Owns the connection while the
/// exchange lasts; idle ones belong to the backend server's entry in the registry. Relies on backend_registry
/// for the entry and on its caller for retries: nothing is sent twice here.
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

	/// Keeps the connection for a later exchange, and drops it as soon as anything comes on it.
	/// @param[in] _life Time for which the backend server keeps it open.
	void rest(std::chrono::milliseconds _life, steady_time _now);
	/// Ends the rest.
	/// @returns Whether the connection is still fit for use.
	bool wake(steady_time _now, std::chrono::milliseconds _longest_rest);

	tcp::socket socket;
	beast::flat_buffer buffer;

private:
	void drop();

	backend_ptr m_backend;
	asio::steady_timer m_timer;
	steady_time m_rested_at{};
	bool m_resting = false;
	unsigned m_rests = 0;
};

/// How an exchange ended.
enum class exchange_outcome
{
	answered, ///< A whole answer of the backend server to this very request.
	not_run,  ///< The backend server did not run it.
	not_sent, ///< No byte of it was sent.
	lost,     ///< It may have run.
};

/// Result of an exchange.
struct exchange_result
{
	exchange_outcome end = exchange_outcome::not_sent;
	std::optional<caller_response> response; ///< Set when answered.
	const char* detail = "";                 ///< What went wrong, for the log.
	bool withheld = false;                   ///< Not sent: the backend server wanted none any more.
	bool connection_broke = false;           ///< Lost: the backend server's end of it was closed or reset.
	/// Time that a new connection needed to come up; nothing when none was made.
	std::optional<steady_time::duration> connect_time;
};

/// A request as it goes to one backend server.
struct upstream_request
{
	std::shared_ptr<const std::string> bytes;
	std::string request_id;
	bool head = false;         ///< Its answer has no body.
	bool at_most_once = false; ///< A connection that may be stale is not used.
};

/// Is told what a backend server says of itself beside its answers.
class answer_listener_base
{
public:
	virtual ~answer_listener_base() = default;
	virtual void on_words(const backend_ptr& _backend, const answer_words& _words) = 0;
};

/// Sends one request to one backend server.
class upstream_exchange : public std::enable_shared_from_this<upstream_exchange>
{
public:
	using handler = std::function<void(exchange_result&&)>;

	/// @param[in] _listener Outlives the exchange.
	/// @param[in] _connect_timeout Longest time for a new connection to come up.
	upstream_exchange(asio::io_context& _context, const clock_base& _clock, const header_names& _names,
	    answer_listener_base& _listener, backend_ptr _backend, upstream_request _request,
	    std::chrono::milliseconds _connect_timeout, handler _handler);
	/// Starts it. The handler is called once, unless it is cancelled before.
	void start();
	/// Gives it up: the connection is closed, which stops the work of the backend server.
	/// @param[in] _listen Time for which it stays open before, for what may stand beside an answer.
	void cancel(std::chrono::milliseconds _listen);
	/// @returns Whether a byte of the request may have left.
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
	/// Sends it on a connection that came up, unless the backend server wants no requests any more.
	void write_if_wanted();
	void write();
	void read();
	void on_answer();
	/// Reads on behind an answer to another request, or gives the connection up.
	void pass_over_foreign();
	void fail(exchange_outcome _end, const char* _detail, backend_signal _signal);
	void finish(exchange_result&& _result, backend_signal _signal);
	bool is_ours(const http::response_header<>& _head) const;
	/// @returns Whether an answer signs, or names a request. Others may come from anything that listens at
	/// the address.
	bool is_from_backend(const http::response_header<>& _head) const;
	/// Takes what stands beside an answer, also one that is not passed on.
	void take_words(const http::response_header<>& _head);
	/// Takes what stands beside an answer whose body did not come whole.
	void take_words_of_part();
	void take_load(const backend_load& _load);
	void keep_connection(const caller_response& _response);
	/// Ends what is left of a cancelled exchange.
	void end_listening();
	void close_connection();

	asio::io_context& m_context;
	const clock_base& m_clock;
	const header_names& m_names;
	answer_listener_base& m_listener;
	backend_ptr m_backend;
	upstream_request m_request;
	std::chrono::milliseconds m_connect_timeout;
	handler m_handler;
	asio::steady_timer m_timer;
	std::shared_ptr<upstream_connection> m_connection;
	std::optional<http::response_parser<http::string_body>> m_parser;
	bool m_sent = false;
	bool m_written = false; ///< The whole request has left.
	bool m_done = false;
	bool m_cancelled = false;        ///< Nobody waits for its end; it is listened to until m_done.
	bool m_connection_broke = false; ///< By the other end, before an answer began.
	steady_time m_connecting_since{};
	std::optional<steady_time::duration> m_connect_time;
	int m_foreign_answers = 0;
};
} // namespace larkrack
