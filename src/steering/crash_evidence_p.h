// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Crash evidence: whether a request is to blame for the crashes of the backend servers that ran it.
///
/// Inputs: crashes of backend servers, each with the requests that were running there, as seen by any node;
/// requests that were served.
///
/// Algorithm: a request is blamed once k_crashes_to_block backend servers have crashed while running it,
/// unless it was served meanwhile. Requests are identified by their fingerprint: first for one caller, and if
/// several callers have sent the same request, for all callers. A crash that several nodes report counts
/// once, whoever reports it first.
///
/// A crash takes all requests of a backend server with it, so an innocent request that ran beside the faulty
/// one three times in a row may be blamed. It is cleared when it is let through alone (blocked_requests_p.h).
///
/// Alternative: blaming a request by the fraction of its runs that ended in a crash needs a digest
/// of each request that is served; with this rule nothing is computed while no backend server crashes.
///
/// Relies on one node counting for the whole fleet (crash_guard), so that three nodes that each saw one crash
/// count three.
#pragma once

#include "steering/request_fingerprint_p.h"

#include "base/clock_p.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace larkrack
{
/// Number of backend servers that have to crash while running a request before it is blamed. One or two may
/// crash by coincidence.
constexpr std::size_t k_crashes_to_block = 3;
/// Time for which a crash is remembered. Shorter: a request that arrives every few minutes is never blamed.
constexpr std::chrono::minutes k_crash_retention{10};
/// Maximum number of suspected requests; the oldest are evicted first.
constexpr std::size_t k_max_suspects = 4096;
/// Maximum number of crashes remembered for one request: enough that crashes of other callers do not displace
/// three of one caller.
constexpr std::size_t k_max_crashes_per_request = 12;

/// Crash of a backend server that was running a request.
struct crash_record
{
	std::uint32_t incarnation = 0; ///< incarnation_hash() of the backend server.
	std::uint32_t caller = k_any_caller;
	bool caller_only = false; ///< Other callers were recently served the same request: the crash counts
	                          ///< against this caller only.
	steady_time at{};
};

/// Crashes by the requests that were running.
class crash_evidence
{
public:
	/// Records the crash of a backend server that was running a request.
	/// @returns The request that is blamed now, for its caller or for all callers; nothing: none yet.
	std::optional<request_fingerprint> on_crash(
	    const request_fingerprint& _request, const crash_record& _crash);
	/// Records that a request was served: earlier crashes of it for that caller no longer count.
	void on_served(const request_fingerprint& _request);
	/// @returns Number of backend servers that crashed while running this caller's request.
	std::size_t crash_count(const request_fingerprint& _request) const;
	/// @returns Whether any request with that head is suspected.
	bool suspects(std::uint64_t _head) const
	{
		return m_heads.end() != m_heads.find(_head);
	}
	bool empty() const
	{
		return m_by_content.empty();
	}
	/// Removes expired crashes; call it at a regular interval.
	void tick(steady_time _now);

private:
	struct suspect
	{
		std::uint64_t head = 0;
		std::deque<crash_record> crashes; ///< Crashes in the order of their reports.
	};
	void forget(std::map<std::uint64_t, suspect>::iterator _suspect);

	std::map<std::uint64_t, suspect> m_by_content;
	std::map<std::uint64_t, std::size_t> m_heads; ///< Number of suspects by head.
	std::deque<std::uint64_t> m_order;            ///< Content hashes, in order of insertion.
};
} // namespace larkrack
