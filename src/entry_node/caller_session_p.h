// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// One connection of an HTTP/1.1 caller: reads one request at a time, hands it to the listener's handler, and
/// sends the response.
///
/// The outcome of a request has one owner, the step of its session. Each change of the step ends the
/// operations of the step before: their handlers compare the number of the step that began them with the
/// current one, and do nothing if it differs. A request that the session itself refuses (refuse_unread()) has
/// left the steps that can dispatch it, so that it is never passed on, whatever was read meanwhile.
///
/// | step | what ends it | next |
/// | --- | --- | --- |
/// | idle | first byte of a request | head |
/// | idle | idle timeout, and nothing waits to be read | closed |
/// | head | headers complete | body, or serve without a body |
/// | body | body complete | serve |
/// | head, body | invalid, too large, or late with nothing left to read | send, as refused |
/// | serve | respond() | send |
/// | send | response written, connection is kept | idle |
/// | send | response written, last one on the connection | drain |
/// | drain | the caller closes, or k_close_timeout | closed |
///
/// A timeout judges the caller by what has come, not by what was read: bytes that wait in the socket are read
/// first, and the time for which the event loop stood still does not count.
///
/// What it holds in memory is counted in the ledger of its listener, which ends it where memory is short: a
/// request that is being read is refused with 503, a response that the caller does not take is closed. A
/// request that was passed on stays.
///
/// Owns its socket; kept alive by its pending operations. Relies on http_listener for limits and handlers.
#pragma once

#include "steering/memory_ledger_p.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/intrusive/list.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace larkrack
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

using caller_request = http::request<http::string_body>;
using caller_response = http::response<http::string_body>;

/// Body of a request, shared by the attempts for it. Counted in the ledger as long as anything refers to it.
using body_ptr = std::shared_ptr<const std::string>;

class http_listener;

/// Place of a session in one of the lists of its listener.
using session_hook =
    boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// What tells the end of a response.
enum class response_framing
{
	by_length, ///< Its Content-Length: this node holds the whole of it.
	by_close,  ///< The end of its connection, which may come early unnoticed.
};

/// Connection from a caller.
class caller_session : public std::enable_shared_from_this<caller_session>, private memory_holder_base
{
public:
	caller_session(tcp::socket _socket, const tcp::endpoint& _caller, http_listener& _listener);

	/// Reads the first request.
	void start();
	/// Sends the response to the current request, then reads the next request. Without effect once the
	/// request has its response or the connection is closed.
	/// @param[in] _response Its Content-Length is set here, unless the request was HEAD and the response
	/// states one, or its end is that of the connection.
	void respond(caller_response _response, response_framing _framing = response_framing::by_length);
	/// Sets the handler for a caller that disconnects before its response was sent.
	void set_disconnect_handler(std::function<void()> _handler)
	{
		m_disconnect_handler = std::move(_handler);
	}
	/// @returns The body of the current request, counted in the ledger until nothing refers to it any more.
	body_ptr hold_body(std::string&& _body);
	/// Closes the connection without a response.
	void close();
	/// Closes the connection if it has carried requests and carries none now. Otherwise its first request may
	/// be on its way.
	void close_if_idle();
	/// @returns Whether it has sent a whole request.
	bool proven() const
	{
		return m_proven;
	}
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
	/// @returns Whether a request is being read or served, or its response is on its way to the caller.
	bool busy() const
	{
		return step::idle != m_step && step::closed != m_step;
	}
	/// @returns Time from the end of the headers of the current request to the end of its body; 0 if the body
	/// came with the headers.
	std::chrono::steady_clock::duration body_time() const
	{
		return m_body_time;
	}

	session_hook list_hook; ///< Of the lists of http_listener.

private:
	enum class step
	{
		idle,  ///< Waiting for the first byte of a request.
		head,  ///< Reading the headers of a request.
		body,  ///< Reading the body of a request.
		serve, ///< The handler owes a response.
		send,  ///< A response is being sent.
		drain, ///< The last response was sent; waiting for the caller to close.
		closed,
	};
	/// Begins a step, which ends the pending operations of the step before.
	void enter(step _step);
	bool is_current(unsigned _step_number) const
	{
		return m_step_number == _step_number;
	}
	void wait_request();
	void read_head();
	void end_for_memory() override;
	/// Counts what the current step holds.
	/// @returns Whether the step goes on: the session was not ended for memory.
	bool count_memory(std::uint64_t _growth = 0);
	/// Makes room for the next bytes of a body whose length is not stated, by steps that waste little.
	/// @returns Whether the step goes on.
	bool reserve_body();
	/// @returns Bytes of one unparsed line or head after which the request is refused.
	std::size_t max_unparsed_bytes() const;
	/// Reads on, then continues with parse().
	void read_more();
	void on_read(beast::error_code _error, std::size_t _size);
	/// Parses what has been read, and continues as far as that allows.
	void parse();
	/// @returns Whether the current step has read all that it needs.
	bool is_part_complete() const;
	void on_head();
	/// Refuses a body that is too long, or for which there is no room, by its stated length.
	/// @returns Whether it was refused.
	bool refuse_by_length();
	void read_body();
	/// Sends "100 Continue", then reads the body.
	void send_continue();
	/// Ends a request that cannot be read: answers an invalid one, closes a broken connection.
	void on_read_failed(beast::error_code _error);
	/// Refuses the current request, which was not read whole, and never will be: the only way to a response
	/// of the session's own.
	/// @param[in] _retry_after_s Value of Retry-After, seconds; nothing: none.
	void refuse_unread(http::status _status, std::optional<int> _retry_after_s = std::nullopt);
	void dispatch_request();
	void watch_for_disconnect();
	/// Starts the timer of the current step.
	void start_timer(std::chrono::steady_clock::duration _timeout);
	void on_timeout();
	/// @returns How much longer the caller may take to send the request, since it kept within the limits as
	/// far as this node can tell; 0: it is late.
	std::chrono::steady_clock::duration reading_time_left();
	bool has_unread_bytes();
	void send_response(caller_response&& _response, response_framing _framing);
	/// Lets each end of the connection be a reset, also that of this process: until a response is sent whole
	/// whose end is that of its connection, a usual end would make a part of it the whole.
	void reset_on_close(bool _reset);
	/// Sends a large response in pieces, so that the ledger learns of its progress.
	void send_piece();
	void on_sent(beast::error_code _error);
	/// Shuts down the sending side, then closes the connection once the caller has closed it, or after
	/// k_close_timeout.
	void drain_and_close();
	/// Reads and discards what the caller still sends, up to a bound.
	void drain();

	tcp::socket m_socket;
	http_listener& m_listener;
	asio::ip::address m_address;
	std::uint64_t m_address_hash;
	asio::steady_timer m_timer;
	beast::flat_buffer m_buffer;
	memory_claim m_connection_memory; ///< Of the connection itself; can't end.
	memory_claim m_memory;            ///< Of the request that is read, or the response that is sent.
	std::optional<http::request_parser<http::string_body>> m_parser;
	std::optional<caller_response> m_response;
	std::optional<http::response_serializer<http::string_body>> m_serializer; ///< Of a large m_response.
	std::function<void()> m_disconnect_handler;
	step m_step = step::idle;
	unsigned m_step_number = 0;
	/// Time for which the event loop had stood still when the timer was started.
	std::chrono::steady_clock::duration m_stalled_before{};
	std::chrono::steady_clock::time_point m_body_began_at{};
	std::chrono::steady_clock::time_point m_body_deadline{};
	std::chrono::steady_clock::duration m_body_time{};
	std::size_t m_drained_bytes = 0;
	bool m_got_bytes = false; ///< Bytes have come since the timer was started.
	bool m_sending_continue = false;
	bool m_proven = false; ///< It has sent a whole request.
	bool m_keep_alive = true;
	bool m_head_request = false;
};
} // namespace larkrack
