// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Crash evidence: whether a request is to blame for the ends of the backend servers that ran it.
///
/// Inputs: lives of backend servers that ended, each with the requests that were on it, as any node saw them;
/// requests that were served.
///
/// Rule: a request is to blame once k_blamed_ends backend servers have ended under it and it was not served
/// meanwhile. What is the same is told by the fingerprint: first of one caller, and where several callers
/// have sent the same, of all of them. An end that several nodes saw counts once, whoever tells of it first.
///
/// A backend server takes all its requests with it, so one that is innocent may be blamed that ran beside the
/// one at fault three times in a row. Such a one clears itself when it is let through alone
/// (blocked_requests_p.h).
///
/// Why not another way: blame by the part of a request's runs that ended a server needs a digest of each
/// request that is served; this way nothing is worked out while no server ends.
///
/// Relies on: one node counting for all (crash_guard), so that three nodes that saw one end each count three.
#pragma once

#include "steering/request_fingerprint_p.h"

#include "base/clock_p.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace larkrack
{
/// Backend servers that have to end under a request before it is to blame. One or two may end by themselves
/// beside it.
constexpr std::size_t k_blamed_ends = 3;
/// Time for which an end is remembered. Shorter: a request that comes each few minutes is never blamed.
constexpr std::chrono::minutes k_end_kept{10};
/// Requests with ends that are remembered; those that were told of first are forgotten first.
constexpr std::size_t k_most_suspects = 4096;
/// Ends of one request that are remembered: enough that those of other callers do not hide three of one.
constexpr std::size_t k_most_ends = 12;

/// A backend server that ended under a request.
struct backend_end
{
	std::uint32_t life = 0; ///< life_hash() of the backend server.
	std::uint32_t caller = k_any_caller;
	bool caller_only =
	    false; ///< Other callers were served the same lately: it counts against this one alone.
	steady_time at{};
};

/// What has ended under which requests.
class crash_evidence
{
public:
	/// Takes the end of a backend server under a request.
	/// @returns Who is to blame now: the request of its caller, or of any; nothing: nobody yet.
	std::optional<request_fingerprint> on_end(const request_fingerprint& _request, const backend_end& _end);
	/// Takes note that a request was served: what ended under it of that caller counts no more.
	void on_served(const request_fingerprint& _request);
	/// @returns Backend servers that have ended under the request of this caller.
	std::size_t ends_of(const request_fingerprint& _request) const;
	/// @returns Whether any request with that head is suspected.
	bool suspects(std::uint64_t _head) const
	{
		return m_heads.end() != m_heads.find(_head);
	}
	bool empty() const
	{
		return m_by_content.empty();
	}
	/// Forgets what is too old; call it at a steady interval.
	void tick(steady_time _now);

private:
	struct suspect
	{
		std::uint64_t head = 0;
		std::deque<backend_end> ends; ///< By the time that they were told.
	};
	void forget(std::map<std::uint64_t, suspect>::iterator _suspect);

	std::map<std::uint64_t, suspect> m_by_content;
	std::map<std::uint64_t, std::size_t> m_heads; ///< Suspects by head.
	std::deque<std::uint64_t> m_order;            ///< Contents, by the time that they came.
};
} // namespace larkrack
