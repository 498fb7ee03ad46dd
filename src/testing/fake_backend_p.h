// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// The backend server stand-in: slots, connections, cold start, shedding, cancellation, deadlines, and a log
/// of runs.
/// Owns: its runs in flight and its faults. Relies on: a history that takes a line for each run.
#pragma once

#include "base/http_p.h"
#include "testing/history_p.h"

#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

namespace larkrack
{
/// Faults of one backend server.
struct backend_faults
{
	double shed_share = 0.0; ///< Part of requests that it refuses before running them.
	double slow = 1.0;       ///< Factor on its service time.
	double lie = -1.0;       ///< Load that it reports instead of the true one; negative: the truth.
	bool dead = false;       ///< Connections are closed at once.
	double cut_share = 0.0;  ///< Part of answers that break off.
	int cold_requests = 0;   ///< Requests until it is warm.
};

/// What it is told at the start.
struct fake_backend_options
{
	std::string name;
	endpoint address;
	int slots = 3;
	int connections = 330;
	std::chrono::microseconds connect_cost{1000};
};

/// One backend server. Runs on one thread.
class fake_backend
{
public:
	fake_backend(asio::io_context& _context, fake_backend_options _options, history_writer& _runs,
	    std::uint64_t _seed);
	std::optional<error> init();
	std::uint16_t port() const
	{
		return m_server.port();
	}
	const std::string& name() const
	{
		return m_options.name;
	}
	void set_faults(const nlohmann::json& _faults);
	/// @returns Counters since the start.
	nlohmann::json counts() const;

private:
	struct run
	{
		explicit run(const asio::any_io_executor& _executor) : timer(_executor)
		{
		}
		std::string id;
		std::string key;
		std::string kind;
		std::int64_t start = 0;
		std::int64_t expires = 0;
		int running = 0;
		bool cancelled = false;
		bool ended = false;
		asio::steady_timer timer;
	};
	using run_ptr = std::shared_ptr<run>;

	void handle(http_session& _session, http_request& _request, const yield_context& _yield);
	void handle_load(http_session& _session, const yield_context& _yield);
	void handle_cancel(http_session& _session, const std::string& _id, const yield_context& _yield);
	void refuse(http_session& _session, http::status _status, const char* _why, const yield_context& _yield);
	bool refuses(http_session& _session, const http_request& _request, const yield_context& _yield);
	void serve(http_session& _session, const http_request& _request, const yield_context& _yield);
	void work(run& _run, std::chrono::microseconds _time, const yield_context& _yield);
	void answer(http_session& _session, const http_request& _request, const run_ptr& _run,
	    const yield_context& _yield);
	void end(const run_ptr& _run);
	double chance();

	asio::io_context& m_context;
	fake_backend_options m_options;
	history_writer& m_runs;
	clock_system m_clock;
	backend_faults m_faults;
	std::mt19937_64 m_random;
	std::unordered_map<std::string, run_ptr> m_active;
	std::set<std::string> m_cancelled;
	int m_running = 0;
	std::uint64_t m_total = 0;
	http_server m_server;
};
} // namespace larkrack
