// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Fake backend server with slots, a connection limit, cold start, load shedding, cancellation and deadlines.
/// It writes a log of its runs.
/// Owns: its running requests and its faults.
/// Relies on: a history that takes a line for each run.
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
/// Injected faults of one backend server.
struct backend_faults
{
	double shed_share = 0.0;     ///< Fraction of requests that are shed without running them.
	double slow_factor = 1.0;    ///< Factor on the service time.
	double reported_load = -1.0; ///< Load that is reported instead of the actual load; negative: none.
	bool dead = false;           ///< Connections are closed without a response.
	double cut_share = 0.0;      ///< Fraction of responses that are truncated.
	int cold_requests = 0;       ///< Number of requests until the server is warm.
};

/// Startup options of a fake backend server.
struct fake_backend_options
{
	std::string name;
	endpoint address;
	int slots = 3;
	int connections = 330;                        ///< Maximum number of open connections.
	std::chrono::microseconds connect_cost{1000}; ///< Delay of the first request of a connection.
};

/// Fake backend server. Not thread-safe.
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
	/// Sets faults from JSON; missing fields keep their values.
	void set_faults(const nlohmann::json& _faults);
	/// @returns Counters since the start.
	nlohmann::json counts() const;

private:
	/// One request while it runs. Times in microseconds since 1970.
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
		int running = 0; ///< Number of running requests at the start, including this one.
		bool cancelled = false;
		bool ended = false;
		asio::steady_timer timer;
	};
	using run_ptr = std::shared_ptr<run>;

	void handle(http_session& _session, http_request& _request, const yield_context& _yield);
	void handle_load(http_session& _session, const yield_context& _yield);
	void handle_cancel(http_session& _session, const std::string& _id, const yield_context& _yield);
	void send_shed_response(
	    http_session& _session, http::status _status, const char* _why, const yield_context& _yield);
	/// Sheds a request that is expired or cancelled, or that the shedding fault selects.
	/// @returns Whether a response was sent.
	bool shed_if_needed(http_session& _session, const http_request& _request, const yield_context& _yield);
	void serve(http_session& _session, const http_request& _request, const yield_context& _yield);
	/// Waits for the service time, or until the run expires or is cancelled.
	void wait_service_time(run& _run, std::chrono::microseconds _time, const yield_context& _yield);
	/// Sends the response, and finishes the run before its last bytes are sent.
	void send_response(http_session& _session, const http_request& _request, const run_ptr& _run,
	    const yield_context& _yield);
	/// Frees the slot and writes the run to the log. Later calls for the same run have no effect.
	void finish_run(const run_ptr& _run);
	/// @returns A random number between 0 and 1.
	double draw_fraction();

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
