// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Interface of an exchange: one request sent to one backend server, and its response. Implemented by
/// upstream_exchange (over this node's own connection) and relay_exchange (over another node).
///
/// Relies on its caller for retries: no request is sent twice by an exchange.
#pragma once

#include "entry_node/backend_registry_p.h"
#include "entry_node/http_listener_p.h"
#include "entry_node/report_reader_p.h"
#include "steering/answer_verdict_p.h"
#include "steering/memory_ledger_p.h"
#include "steering/names_p.h"
#include "steering/promise_ledger_p.h"
#include "steering/request_fingerprint_p.h"

#include <functional>
#include <optional>
#include <string>

namespace larkrack
{
/// What all exchanges of a node share.
struct exchange_services
{
	asio::io_context& io;
	const clock_base& clock;
	const header_names& names;
	backend_report_listener_base& reports;
	promise_ledger* promises = nullptr; ///< Promises to check exchanges against; null: none are known.
	memory_ledger_ptr memory = nullptr; ///< Bounds of the responses; null: there are none.
};

/// How an exchange ended.
enum class exchange_outcome
{
	answered, ///< A complete response of the backend server to this request.
	not_run,  ///< The backend server did not run the request.
	not_sent, ///< No byte of the request was sent.
	lost,     ///< The request may have run, but no valid response came.
};
/// The last value of enum exchange_outcome.
constexpr exchange_outcome k_last_exchange_outcome = exchange_outcome::lost;

/// Result of an exchange.
struct exchange_result
{
	exchange_outcome end = exchange_outcome::not_sent;
	std::optional<caller_response> response; ///< Set when answered; when not run, the head of the rejection.
	response_framing framing = response_framing::by_length; ///< Of the response.
	std::optional<rejection_proof> rejection;               ///< Set when not run.
	std::string detail;                                     ///< Error name for the log.
	std::optional<answer_marks> marks; ///< Of the answer that ended the exchange; nothing: none came.
	bool withheld = false;             ///< Not sent: the backend server stopped accepting requests.
	bool slots_free = false;           ///< Not run, although the backend server reported free slots.
	bool connection_broke = false;     ///< Lost: the backend server closed or reset the connection.
	bool relay_failed = false;         ///< Not sent: the relay was not reached, or refused.
	bool no_memory = false; ///< Lost: a node had no room for the response; another attempt meets the same.
	bool no_connection = false;      ///< Not sent: this node's own connection was not established.
	bool on_kept_connection = false; ///< Earlier exchanges have used the connection.
	unsigned relay_status = 0;       ///< With which a relay answered instead of a result; 0: none.
	/// Time that a new connection took to establish; nothing when no connection was made.
	std::optional<steady_time::duration> connect_time;
};

/// Bytes of the headers of a response that are always allowed; the limit of callers' headers may allow more.
constexpr std::uint32_t k_default_response_header_bytes = 16384;

/// A request as it is sent to one backend server. The bytes are `before`, the time left in milliseconds,
/// `after` and `body`.
struct upstream_request
{
	std::string before; ///< Up to the value of the header with the time left.
	std::string after;  ///< From the end of that line.
	body_ptr body;      ///< What follows, shared by the attempts; null: nothing.
	std::string request_id;
	request_kind kind;               ///< Of which this node has seen the times; empty: those are not known.
	request_fingerprint fingerprint; ///< Sent to a relay, which reports crashes in place of this node.
	std::chrono::milliseconds time_left{0};
	/// Maximum bytes of the headers of its response. A response beyond it is lost, although it has run.
	std::uint32_t max_header_bytes = k_default_response_header_bytes;
	bool head = false;          ///< A HEAD request: its response has no body.
	bool by_completion = false; ///< The load report of a rejection counts more than the rejection.
	bool at_most_once = false;  ///< Must not run twice: a connection that may be stale is not used.
	unsigned attempt = 1;       ///< Number of the attempt for its request, from 1 on.
	bool first_attempt = true;  ///< May be sent over a path in doubt, to see whether it works.
	bool relayed = false;       ///< Sent for another node, which counts it as in flight.

	repeat_rule repeat() const
	{
		return at_most_once ? repeat_rule::at_most_once : repeat_rule::repeatable;
	}
};

/// @param[in] _time_left Time until the deadline; the header states at least 1 ms.
/// @returns The bytes up to the shared body.
std::string head_of_request(const upstream_request& _request, std::chrono::milliseconds _time_left);
/// @returns All bytes of the request.
std::string bytes_of_request(const upstream_request& _request, std::chrono::milliseconds _time_left);

/// Sends one request to one backend server.
class exchange_base
{
public:
	using handler = std::function<void(exchange_result&&)>;

	virtual ~exchange_base() = default;
	/// Starts the exchange. The handler is called once, unless the exchange is cancelled before.
	virtual void start() = 0;
	/// Cancels the exchange. Closing the connection stops the work of the backend server.
	/// @param[in] _linger Time for which the connection stays open first, since a response that is on its way
	/// may carry a report of the backend server.
	virtual void cancel(std::chrono::milliseconds _linger) = 0;
	/// @returns Whether a byte of the request may have been sent.
	virtual bool sent() const = 0;
	virtual const backend_ptr& backend() const = 0;
	/// @returns Address of the node that forwards the request; empty: this node sends it itself.
	virtual const std::string& relay() const = 0;
};
} // namespace larkrack
