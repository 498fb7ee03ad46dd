// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Carries one request at a time from a caller, or from another entry VM, to a backend server and its answer
/// back. carrier.cpp reads requests and answers refusals, carrier_keyed.cpp runs keys at most once,
/// carrier_attempts.cpp decides about tries, carrier_upstream.cpp makes the exchanges, carrier_deliver.cpp
/// brings answers back. Owns this thread's idle connections and the bytes that are read ahead. Relies on the
/// gate for slots, on the key table for the memory of keys, and on the view that the control thread
/// publishes; it decides by that view alone, so it goes on when the control thread stands still.
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
/// A request on its way.
struct carried
{
	const http_request* request = nullptr;
	request_origin origin = request_origin::caller;
	view_ptr view;
	service_handle service;
	std::string service_name;
	std::string id; ///< Of this try; unique.
	std::string key;
	std::string way;         ///< Names of the entry VMs so far, comma between them.
	std::string traceparent; ///< For the next hop.
	asio::ip::address caller;
	int priority = 5;
	bool repeatable = false;
	bool first_try = false;
	steady_time deadline{};
};

/// What became of it.
struct carried_end
{
	outcome result = outcome::not_run;
	reason why = reason::none;
	bool answered = false;      ///< The caller has its answer, or is gone.
	bool may_try_again = false; ///< Nothing ran and nothing was sent to the caller.
	int status = 0;             ///< Of the answer of the backend server.
	std::string backend;
	std::string content_type;
	std::string body; ///< Kept for further tries of a key, when small.
	bool body_kept = false;
};

/// @returns The end of a request that no backend server ran.
carried_end refused(reason _reason, bool _may_try_again = true);
/// @returns The end of a request that may have run.
carried_end not_known(reason _reason);

/// One for each traffic thread. Not thread-safe, but many coroutines use it.
class carrier
{
public:
	carrier(asio::io_context& _context, const kernel& _kernel, retry_token_bucket& _budget);

	/// Serves a request from a caller.
	void handle_caller(http_session& _session, http_request& _request, const yield_context& _yield);
	/// Serves a request from another entry VM.
	void handle_relay(http_session& _session, http_request& _request, const yield_context& _yield);
	/// @returns Requests that are in flight here.
	int in_flight() const
	{
		return m_in_flight;
	}

private:
	struct upstream; // One exchange with a backend server or an entry VM.
	struct read_ahead;

	void handle(http_session& _session, carried& _call, const yield_context& _yield);
	std::optional<reason> fill(carried& _call, const http_session& _session);
	void answer_lookup(http_session& _session, const http_request& _request, const yield_context& _yield);
	carried_end carry(http_session& _session, carried& _call, const yield_context& _yield);
	carried_end carry_keyed(http_session& _session, carried& _call, const yield_context& _yield);
	/// Who remembers a key, and until when.
	struct key_place
	{
		entry_vm_handle owner;
		incarnation life; ///< The process of it that remembers the key.
		steady_time forget_at{};
	};
	/// @returns The place, or the end of a request whose grant is not good.
	std::variant<key_place, carried_end> place_of_key(const carried& _call) const;
	carried_end run_keyed(
	    http_session& _session, carried& _call, steady_time _forget_at, const yield_context& _yield);
	carried_end wait_for_key(const std::shared_ptr<kept_ptr>& _answer,
	    const std::shared_ptr<asio::steady_timer>& _timer, const yield_context& _yield);
	carried_end serve(http_session& _session, carried& _call, const yield_context& _yield);
	carried_end try_once(
	    http_session& _session, carried& _call, std::vector<bool>& _tried, const yield_context& _yield);
	bool may_serve_here(const carried& _call, region_handle _region) const;
	entry_vm_handle pick_other(const carried& _call, region_handle _region, const std::vector<bool>& _tried);
	carried_end serve_here(
	    http_session& _session, carried& _call, std::chrono::microseconds _wait, const yield_context& _yield);
	std::variant<ticket, reason> enter(
	    const carried& _call, std::chrono::microseconds _wait, const yield_context& _yield);
	carried_end exchange_backend(
	    http_session& _session, carried& _call, const ticket& _ticket, const yield_context& _yield);
	carried_end exchange_peer(http_session& _session, carried& _call, entry_vm_handle _to,
	    request_origin _origin, const yield_context& _yield);
	bool send_upstream(upstream& _up, const http_request& _request, const yield_context& _yield);
	bool read_head(http_session& _session, upstream& _up, bool _repeatable, const yield_context& _yield);
	http_request make_backend_request(
	    const carried& _call, const gate_backend& _backend, wall_time _expires) const;
	http_request make_peer_request(
	    const carried& _call, const endpoint& _where, request_origin _origin) const;
	void deliver(http_session& _session, const carried& _call, const std::shared_ptr<upstream>& _up,
	    carried_end& _end, const yield_context& _yield);
	void deliver_small(http_session& _session, const carried& _call, upstream& _up, carried_end& _end,
	    const yield_context& _yield);
	void deliver_large(http_session& _session, const carried& _call, const std::shared_ptr<upstream>& _up,
	    const yield_context& _yield);
	/// Reads ahead until everything is read, the other side breaks off, or the caller is gone.
	void read_pieces(const std::shared_ptr<upstream>& _up, const std::shared_ptr<read_ahead>& _queue,
	    std::size_t _ahead, const yield_context& _yield);
	/// Sends the head, and then what is read ahead until its end; stops the reading when the caller is gone.
	/// @returns Whether the caller took all of it.
	bool send_pieces(http_session& _session, http::response<http::buffer_body>& _head, read_ahead& _queue,
	    const yield_context& _yield);
	void set_answer_head(const carried& _call, const upstream& _up, http::fields& _fields) const;
	void finish(upstream& _up, exchange_end _end);
	void abandon(const std::shared_ptr<upstream>& _up);
	void cancel_run(
	    const ticket& _ticket, const std::string& _id, steady_time _until, const yield_context& _yield);
	void answer_end(
	    http_session& _session, const carried& _call, const carried_end& _end, const yield_context& _yield);
	std::chrono::milliseconds comes_back(reason _reason);

	asio::io_context& m_context;
	const settings& m_settings;
	clock_base& m_clock;
	gate& m_gate;
	key_table& m_keys;
	view_publisher& m_board;
	metrics& m_metrics;
	const tracer_otlp& m_tracer;
	retry_token_bucket& m_budget;
	signer m_signer;
	connection_pool m_pool;
	std::mt19937_64 m_random;
	lookup_cache m_lookups;
	std::uint64_t m_next_id = 0;
	std::string m_id_prefix;
	std::size_t m_read_ahead = 0; ///< Bytes that all answers of this thread hold.
	int m_in_flight = 0;
};
} // namespace larkrack
