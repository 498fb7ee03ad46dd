// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Callers as the load tool plays them: look-ups that are cached, requests, second tries, and a history of
/// all.
/// Owns: cached look-ups, kept connections, the keys of payments. Relies on: a deployment for the addresses
/// of the entry VMs, and a history to write to.
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
	std::string home;   ///< Region of the caller.
	std::string caller; ///< Its address.
	std::string service;
	std::string kind;            ///< "page", "payment" or "download".
	std::int64_t work_us = 1000; ///< Service time that it asks of the backend server.
	std::uint64_t bytes = 1000;  ///< Length of the answer.
	std::string object;          ///< Names the content of the answer.
	int priority = 5;
	int deadline_ms = 5000;
	std::uint64_t read_rate = 0; ///< Bytes a second that the caller reads; 0: as fast as it can.
	int second_tries = 1;        ///< Further tries after an unknown outcome.
};

/// Plays callers. One thread.
class callers
{
public:
	callers(asio::io_context& _context, const deployment& _deployment, history_writer& _history,
	    std::uint64_t _seed);

	/// Does one operation, with its second tries, and writes a line of history for each try.
	void operate(const caller_operation& _operation, const yield_context& _yield);
	/// @returns Operations in flight.
	int in_flight() const
	{
		return m_in_flight;
	}

private:
	struct choice
	{
		std::string name;
		endpoint where;
	};
	struct looked_up
	{
		std::vector<choice> choices;
		std::string grant;
		std::chrono::steady_clock::time_point expires{};
	};
	struct answer
	{
		bool connected = false;
		bool got_head = false;
		bool whole = true;
		bool own = true;
		std::uint64_t bytes = 0;
		int status = 0;
		std::string outcome;
		std::string reason;
		std::string way;
		std::string backend;
		std::string id;
		std::string retry_after_ms;
	};
	looked_up look_up(const caller_operation& _operation, const yield_context& _yield);
	std::optional<looked_up> ask(
	    const endpoint& _where, const caller_operation& _operation, const yield_context& _yield);
	answer send(const caller_operation& _operation, const choice& _to, const std::string& _key,
	    bool _first_try, const yield_context& _yield);
	void read_body(client_connection& _connection, http::response_parser<http::buffer_body>& _parser,
	    const caller_operation& _operation, answer& _answer, const yield_context& _yield);
	http_request make(
	    const caller_operation& _operation, const choice& _to, const std::string& _key, bool _first_try);
	void write(const caller_operation& _operation, const std::string& _key, const answer& _answer,
	    std::int64_t _t0, int _try);

	asio::io_context& m_context;
	const deployment& m_deployment;
	history_writer& m_history;
	clock_system m_clock;
	connection_pool m_pool;
	std::mt19937_64 m_random;
	std::map<std::string, looked_up> m_cache;
	std::uint64_t m_next_key = 0;
	int m_in_flight = 0;
};
} // namespace larkrack
