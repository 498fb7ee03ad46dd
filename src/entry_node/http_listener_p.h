// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// HTTP/1.1 server for callers, based on callbacks: accepts connections and holds what their sessions share
/// (limits, handlers, the time for which the event loop stood still).
///
/// Where all connections are taken, a new one takes the place of another: of the one that has been open for
/// longest without sending a whole request, else of the one that has rested for longest between two requests.
/// Where all carry requests, the new one is closed.
///
/// Owns the listening socket. Relies on the handler to respond to each request exactly once, and on tick().
/// Connections that callers break are closed without a log line: broken connections are ordinary, and the
/// forwarder counts callers that disconnect before their response.
#pragma once

#include "entry_node/caller_session_p.h"
#include "steering/loop_gap_p.h"
#include "steering/routing_table_p.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

namespace larkrack
{
/// Handles one request. Must lead to exactly one respond() or close().
using request_handler = std::function<void(const std::shared_ptr<caller_session>&, caller_request&&)>;

/// Checks the headers of a request before its body is read.
/// @returns Status to refuse the request with, unread; nothing: read the body.
using header_check = std::function<std::optional<http::status>(const caller_request&)>;

/// A request that was refused before it was read whole.
struct unread_refusal
{
	const caller_request* headers = nullptr; ///< Null: they are incomplete.
	http::status status = http::status::request_timeout;
	std::chrono::steady_clock::duration stalled{0}; ///< Time for which the event loop stood still meanwhile.
};
using unread_refusal_handler = std::function<void(const unread_refusal&)>;

/// @returns Maximum bytes of the body of a request, beside the limit of the listener.
using body_bytes_rule = std::function<std::uint64_t(const caller_session&, const caller_request&)>;

/// @returns Time that the body of a request may take to arrive, from the end of its headers.
using body_time_rule = std::function<std::chrono::milliseconds(const caller_request&)>;

/// Accepts connections from callers.
class http_listener
{
public:
	/// @param[in] _max_connections Maximum number of open connections.
	/// @param[in] _memory Counts what the connections hold; null: nothing does.
	http_listener(asio::io_context& _context, request_handler _handler, std::size_t _max_connections,
	    memory_ledger_ptr _memory = nullptr);

	/// Sets the check that runs before the body of a request is read.
	void set_header_check(header_check _check)
	{
		m_header_check = std::move(_check);
	}
	/// Sets a handler that is told of requests that were refused before they were read whole.
	void set_unread_refusal_handler(unread_refusal_handler _handler)
	{
		m_unread_refusal_handler = std::move(_handler);
	}
	/// Sets the rule for the time that bodies may take. Without it only the pauses between their bytes are
	/// limited.
	void set_body_time_rule(body_time_rule _rule)
	{
		m_body_time_rule = std::move(_rule);
	}
	/// Sets the rule for the size of bodies.
	void set_body_bytes_rule(body_bytes_rule _rule)
	{
		m_body_bytes_rule = std::move(_rule);
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
	/// Accepts the connections that are established already, then stops accepting.
	void stop_accepting();
	/// Closes connections that have carried requests and carry none now.
	void close_idle();
	/// @returns Connections that were accepted.
	std::uint64_t accepted() const
	{
		return m_accepted;
	}
	/// @returns Connections with a request that is being read or served, or whose response is on its way.
	std::size_t busy() const;
	std::size_t connections() const
	{
		return m_sessions.size();
	}
	/// @returns Requests that were refused before they were read whole.
	std::uint64_t unread_refusals() const
	{
		return m_unread_refusals;
	}
	/// @returns Connections that were closed for new ones.
	std::uint64_t displaced() const
	{
		return m_displaced;
	}
	const memory_ledger_ptr& memory() const
	{
		return m_memory;
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

	/// Must be called periodically: notices when the event loop stood still.
	/// @param[in] _now On the clock of the timers.
	void tick(steady_time _now)
	{
		m_stalls.on_iteration(_now);
	}

private:
	friend class caller_session;
	using session_list = boost::intrusive::list<caller_session,
	    boost::intrusive::member_hook<caller_session, session_hook, &caller_session::list_hook>,
	    boost::intrusive::constant_time_size<false>>;

	void add(caller_session& _session);
	void remove(caller_session& _session);
	/// A session waits for its next request.
	void note_resting(caller_session& _session);
	/// A request began.
	void note_reading(caller_session& _session);
	/// A request was read whole.
	void note_whole_request(caller_session& _session);
	/// Closes a connection for a new one, if all are taken and one may be closed.
	/// @returns Whether there is room.
	bool make_room();
	void accept();
	/// Begins a session if there is room.
	void on_accepted(tcp::socket _socket);
	void on_unread_refusal(const unread_refusal& _refusal);
	/// @returns Status to refuse a request with, by its headers; nothing: read the body.
	std::optional<http::status> check_header(const caller_request& _request) const;
	std::chrono::milliseconds body_time_limit(const caller_request& _request) const;
	std::uint64_t body_bytes_limit(const caller_session& _session, const caller_request& _request) const;
	/// @returns Time for which the event loop has stood still since the start, as known at the last tick.
	steady_time::duration stalled_time() const
	{
		return m_stalls.total();
	}
	/// @returns The same, as known now.
	steady_time::duration measure_stalled_time();

	tcp::acceptor m_acceptor;
	tcp::endpoint m_caller; ///< Remote address of the connection being accepted.
	asio::steady_timer m_accept_retry_timer;
	request_handler m_handler;
	header_check m_header_check;
	body_time_rule m_body_time_rule;
	body_bytes_rule m_body_bytes_rule;
	unread_refusal_handler m_unread_refusal_handler;
	loop_stall_detector m_stalls;
	std::uint64_t m_unread_refusals = 0;
	std::uint64_t m_displaced = 0;
	std::uint64_t m_accepted = 0;
	std::size_t m_max_connections;
	memory_ledger_ptr m_memory;
	std::unordered_set<caller_session*> m_sessions;
	session_list m_without_request; ///< Sessions that have sent no whole request; oldest first.
	session_list m_resting;         ///< Others that wait for a request; longest first.
	caller_limits m_limits;
	bool m_stopping = false;
};
} // namespace larkrack
