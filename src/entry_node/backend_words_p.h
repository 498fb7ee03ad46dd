// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Applies what backend servers report about themselves in response headers: a rate limit, a rest (a period
/// in which the backend server wants no requests from this node) or its planned shutdown.
///
/// Owns the log of rests and of backend servers that shut down, and a timer for the next rest to end. Relies
/// on upstream_exchange to pass in all reports, on backend_limits to process limits, and on the forwarder to
/// retry waiting requests when a rest ends.
#pragma once

#include "entry_node/backend_limits_p.h"
#include "entry_node/upstream_p.h"

#include <functional>
#include <map>

namespace larkrack
{
/// Processes the reports of backend servers for all requests of a node.
class backend_reports : public backend_report_listener_base
{
public:
	/// @param[in] _on_rest_end Called when a backend server accepts requests again.
	backend_reports(asio::io_context& _context, const clock_base& _clock, limit_admission_base& _limits,
	    entry_log& _log, std::function<void()> _on_rest_end);

	void on_backend_report(const backend_ptr& _backend, const backend_report& _reports) override;
	/// @returns Number of backend servers that currently want no requests from this node.
	std::size_t resting() const
	{
		return m_resting.size();
	}
	/// @returns Number of responses that asked for a rest, since the start.
	std::uint64_t rests_asked() const
	{
		return m_rests_asked;
	}
	/// @returns Number of responses whose load header had an invalid work time, since the start.
	std::uint64_t invalid_work_times() const
	{
		return m_invalid_work_times;
	}

private:
	/// End of a rest and its backend server, so that keys are unique when several rests end at once.
	using rest_end = std::pair<steady_time, const backend_server*>;

	void on_rest(const backend_ptr& _backend, steady_time::duration _rest);
	void on_leaving(backend_server& _backend);
	/// Starts the timer for the next rest to end, if there is one.
	void schedule_next_end();
	/// Ends all rests that are over.
	void end_rests();
	void log_rest(const backend_server& _backend, const char* _state, std::chrono::milliseconds _rest);

	const clock_base& m_clock;
	limit_admission_base& m_limits;
	entry_log& m_log;
	std::function<void()> m_on_rest_end;
	asio::steady_timer m_timer;
	std::map<rest_end, backend_ptr> m_resting;
	std::uint64_t m_rests_asked = 0;
	std::uint64_t m_invalid_work_times = 0;
};
} // namespace larkrack
