// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Simulated callers of the load tool: they look up entry VMs, send requests, retry, and write each attempt
/// to a history.
/// Owns: cached look-ups, idle connections, and the idempotency keys of payments.
/// Relies on: a deployment for the addresses of the entry VMs, and a history to write to.
#pragma once

#include "base/http_p.h"
#include "testing/deployment_p.h"
#include "testing/history_p.h"

#include <map>
#include <random>
#include <string>

namespace larkrack
{
/// One operation of one caller.
struct caller_operation
{
	std::string home;   ///< Home region of the caller.
	std::string caller; ///< IP address of the caller.
	std::string service;
	std::string kind;            ///< "page", "payment" or "download".
	std::int64_t work_us = 1000; ///< Service time of the request at the backend server, in microseconds.
	std::uint64_t bytes = 1000;  ///< Length of the response body.
	std::string object;          ///< Identifies the content of the response body; see body_pattern.
	int priority = 5;
	int deadline_ms = 5000;
	std::uint64_t read_rate = 0; ///< Read rate of the caller in bytes per second; 0: unlimited.
	int retries = 1;             ///< Maximum number of retries after an unknown outcome.
};

/// Simulates callers. Not thread-safe.
class callers
{
public:
	callers(asio::io_context& _context, const deployment& _deployment, history_writer& _history,
	    std::uint64_t _seed);

	/// Runs one operation, including its retries, and writes a line of history for each attempt.
	void run_operation(const caller_operation& _operation, const yield_context& _yield);
	/// @returns Operations in flight.
	int in_flight() const
	{
		return m_in_flight;
	}

private:
	struct entry_choice
	{
		std::string name;
		endpoint address;
	};
	struct lookup_result
	{
		std::vector<entry_choice> choices;
		std::string grant;
		std::chrono::steady_clock::time_point expires{};
	};
	/// Response of one attempt, as far as it arrived.
	struct response_record
	{
		bool connected = false;
		bool has_header = false;
		bool complete = true;        ///< The body has the expected length.
		bool content_matches = true; ///< All bytes belong to the requested object.
		std::uint64_t bytes = 0;
		int status = 0;
		std::string outcome;
		std::string reason;
		std::string entry_vms; ///< Entry VMs on the path of the request, comma-separated.
		std::string backend;
		std::string id;
		std::string retry_after_ms;
	};
	/// Looks up entry VMs, or takes them from the cache.
	lookup_result look_up(const caller_operation& _operation, const yield_context& _yield);
	/// Sends a look-up to one entry VM.
	std::optional<lookup_result> request_lookup(
	    const endpoint& _where, const caller_operation& _operation, const yield_context& _yield);
	response_record send(const caller_operation& _operation, const entry_choice& _to, const std::string& _key,
	    bool _is_first_attempt, const yield_context& _yield);
	void read_body(client_connection& _connection, http::response_parser<http::buffer_body>& _parser,
	    const caller_operation& _operation, response_record& _response, const yield_context& _yield);
	http_request make_operation_request(const caller_operation& _operation, const entry_choice& _to,
	    const std::string& _key, bool _is_first_attempt);
	void write_history(const caller_operation& _operation, const std::string& _key,
	    const response_record& _response, std::int64_t _t0, int _attempt);

	asio::io_context& m_context;
	const deployment& m_deployment;
	history_writer& m_history;
	clock_system m_clock;
	connection_pool m_pool;
	std::mt19937_64 m_random;
	std::map<std::string, lookup_result> m_cache;
	std::uint64_t m_next_key = 0;
	int m_in_flight = 0;
};
} // namespace larkrack
