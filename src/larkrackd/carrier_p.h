// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Request proxy of one traffic thread: forwards each request of a caller or of another entry VM to a backend
/// server and returns the response.
///
/// Files: carrier.cpp parses requests and writes refusals, carrier_keyed.cpp runs each idempotency key at
/// most once, carrier_attempts.cpp decides about attempts, carrier_upstream.cpp makes the upstream exchanges,
/// carrier_deliver.cpp delivers responses.
/// Owns: this thread's idle upstream connections and the response bytes that are read ahead.
/// Relies on: gate for slots; key_table for finished keys; the traffic_view that the control thread
/// publishes. Every decision uses that snapshot alone, so requests are still served while the control thread
/// is blocked.
#pragma once

#include "base/http_p.h"
#include "base/metrics_p.h"
#include "larkrackd/gate_p.h"
#include "larkrackd/grant_p.h"
#include "larkrackd/key_table_p.h"
#include "larkrackd/lookup_p.h"
#include "larkrackd/relay_mark_p.h"
#include "larkrackd/retry_token_bucket_p.h"
#include "larkrackd/tracer_p.h"
#include "larkrackd/traffic_view_p.h"

#include <memory>
#include <random>
#include <string>

namespace larkrack
{
/// A request in progress.
struct proxied_request
{
	const http_request* request = nullptr;
	request_origin origin = request_origin::caller;
	view_ptr view;
	service_handle service;
	std::string service_name;
	std::string id; ///< Unique id of the current attempt.
	std::string key;
	std::string entry_vm_path; ///< Names of the entry VMs passed so far, separated by commas.
	std::string traceparent;   ///< Header value for the next hop.
	asio::ip::address caller;
	int priority = 5;
	bool repeatable = false;
	bool first_try = false;
	steady_time deadline{};
};

/// Result of a request or of one attempt.
struct proxied_result
{
	outcome result = outcome::not_run;
	reason why = reason::none;
	bool answered = false;  ///< The response was sent, or the caller closed its connection.
	bool may_retry = false; ///< No backend server ran the request and nothing was sent to the caller.
	int status = 0;         ///< HTTP status of the backend server's response.
	std::string backend;
	std::string content_type;
	std::string body; ///< Stored for further attempts with the same key, if small enough.
	bool body_kept = false;
};

/// @returns The result of a request that no backend server ran.
proxied_result refused_result(reason _reason, bool _may_retry = true);
/// @returns The result of a request that may have run.
proxied_result unknown_result(reason _reason);

/// One per traffic thread. Not thread-safe; shared by the coroutines of its thread.
class carrier
{
public:
	carrier(asio::io_context& _context, const kernel& _kernel, retry_token_bucket& _budget);

	/// Serves a request from a caller.
	void handle_caller(http_session& _session, http_request& _request, const yield_context& _yield);
	/// Serves a request from another entry VM.
	void handle_relay(http_session& _session, http_request& _request, const yield_context& _yield);
	/// @returns Number of requests in flight in this carrier.
	int in_flight() const
	{
		return m_in_flight;
	}

private:
	struct upstream; // One exchange with a backend server or another entry VM.
	struct read_ahead;

	void handle(http_session& _session, proxied_request& _call, const yield_context& _yield);
	std::optional<reason> fill(proxied_request& _call, const http_session& _session);
	void answer_lookup(http_session& _session, const http_request& _request, const yield_context& _yield);
	proxied_result dispatch_request(
	    http_session& _session, proxied_request& _call, const yield_context& _yield);
	proxied_result handle_keyed(http_session& _session, proxied_request& _call, const yield_context& _yield);
	/// The entry VM that stores the result of a key, and until when.
	struct key_location
	{
		entry_vm_handle owner;
		incarnation life; ///< Incarnation of the owner that stores the key.
		steady_time forget_at{};
	};
	/// @returns The location, or the result of a request whose grant is invalid or expired.
	std::variant<key_location, proxied_result> locate_key(const proxied_request& _call) const;
	proxied_result run_once(
	    http_session& _session, proxied_request& _call, steady_time _forget_at, const yield_context& _yield);
	proxied_result wait_for_key(const std::shared_ptr<kept_answer_ptr>& _answer,
	    const std::shared_ptr<asio::steady_timer>& _timer, const yield_context& _yield);
	proxied_result serve(http_session& _session, proxied_request& _call, const yield_context& _yield);
	proxied_result attempt_once(http_session& _session, proxied_request& _call, std::vector<bool>& _tried,
	    const yield_context& _yield);
	bool can_serve_locally(const proxied_request& _call, region_handle _region) const;
	entry_vm_handle pick_peer(
	    const proxied_request& _call, region_handle _region, const std::vector<bool>& _tried);
	proxied_result serve_locally(http_session& _session, proxied_request& _call,
	    std::chrono::microseconds _wait, const yield_context& _yield);
	std::variant<ticket, reason> enter(
	    const proxied_request& _call, std::chrono::microseconds _wait, const yield_context& _yield);
	proxied_result exchange_backend(
	    http_session& _session, proxied_request& _call, const ticket& _ticket, const yield_context& _yield);
	proxied_result exchange_peer(http_session& _session, proxied_request& _call, entry_vm_handle _to,
	    request_origin _origin, const yield_context& _yield);
	bool send_upstream(upstream& _up, const http_request& _request, const yield_context& _yield);
	bool read_head(http_session& _session, upstream& _up, bool _repeatable, const yield_context& _yield);
	http_request make_backend_request(
	    const proxied_request& _call, const gate_backend& _backend, wall_time _expires) const;
	http_request make_peer_request(
	    const proxied_request& _call, const endpoint& _where, request_origin _origin) const;
	void deliver(http_session& _session, const proxied_request& _call, const std::shared_ptr<upstream>& _up,
	    proxied_result& _end, const yield_context& _yield);
	void deliver_small(http_session& _session, const proxied_request& _call, upstream& _up,
	    proxied_result& _end, const yield_context& _yield);
	void deliver_large(http_session& _session, const proxied_request& _call,
	    const std::shared_ptr<upstream>& _up, const yield_context& _yield);
	/// Reads the response ahead until it is complete, upstream fails, or the caller is gone.
	/// @param[in] _ahead Bytes that may be buffered for this response.
	void read_pieces(const std::shared_ptr<upstream>& _up, const std::shared_ptr<read_ahead>& _queue,
	    std::size_t _ahead, const yield_context& _yield);
	/// Sends the head, then the pieces that read_pieces() queues; stops the reading when the caller is gone.
	/// @returns Whether the caller's connection is still usable.
	bool send_pieces(http_session& _session, http::response<http::buffer_body>& _head, body_end _body,
	    read_ahead& _queue, const yield_context& _yield);
	void set_answer_head(const proxied_request& _call, const upstream& _up, http::fields& _fields) const;
	void finish(upstream& _up, exchange_status _end);
	void abandon(const std::shared_ptr<upstream>& _up);
	void cancel_run(
	    const ticket& _ticket, const std::string& _id, steady_time _until, const yield_context& _yield);
	void answer_end(http_session& _session, const proxied_request& _call, const proxied_result& _end,
	    const yield_context& _yield);
	std::chrono::milliseconds retry_delay(reason _reason);

	asio::io_context& m_context;
	const settings& m_settings;
	clock_base& m_clock;
	gate& m_gate;
	key_table& m_keys;
	view_publisher& m_view_publisher;
	metrics& m_metrics;
	const tracer_otlp& m_tracer;
	retry_token_bucket& m_budget;
	signer m_signer;
	connection_pool m_pool;
	std::mt19937_64 m_random;
	lookup_cache m_lookups;
	std::uint64_t m_next_id = 0;
	std::string m_id_prefix;
	std::size_t m_read_ahead = 0; ///< Bytes that are buffered for all responses of this thread.
	int m_in_flight = 0;
};
} // namespace larkrack
