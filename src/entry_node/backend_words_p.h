// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// What follows when a backend server says something of itself beside an answer.
///
/// Owns the log of rests and of backend servers that leave, and a timer for the next rest to end. Relies on
/// upstream_exchange to hand in all words, on backend_limits for those of limits, and on the forwarder to let
/// waiting requests try again when a rest ends.
#pragma once

#include "entry_node/backend_limits_p.h"
#include "entry_node/upstream_p.h"

#include <functional>
#include <map>

namespace larkrack
{
/// Hears backend servers for all requests of a node.
class backend_words : public answer_listener_base
{
public:
	/// @param[in] _on_rest_end Called when a backend server takes requests again.
	backend_words(asio::io_context& _context, const clock_base& _clock, limit_gate_base& _limits,
	    entry_log& _log, std::function<void()> _on_rest_end);

	void on_words(const backend_ptr& _backend, const answer_words& _words) override;
	/// @returns Backend servers that want no requests from this node now.
	std::size_t resting() const
	{
		return m_resting.size();
	}
	/// @returns Answers that asked for rest, since the start.
	std::uint64_t rests_asked() const
	{
		return m_rests_asked;
	}

private:
	/// By the end of the rest; the second part tells rests that end together apart.
	using rest_end = std::pair<steady_time, const backend_server*>;

	void hear_rest(const backend_ptr& _backend, steady_time::duration _rest);
	void hear_leaving(backend_server& _backend);
	/// Waits for the next rest to end, if there is one.
	void wait_for_next();
	void end_rests();
	void log_rest(const backend_server& _backend, const char* _state, std::chrono::milliseconds _rest);

	const clock_base& m_clock;
	limit_gate_base& m_limits;
	entry_log& m_log;
	std::function<void()> m_on_rest_end;
	asio::steady_timer m_timer;
	std::map<rest_end, backend_ptr> m_resting;
	std::uint64_t m_rests_asked = 0;
};
} // namespace larkrack
