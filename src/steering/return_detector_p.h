// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Return detector: recognizes a caller that was refused before, at any node, by the timeout that it states.
///
/// Load: refused callers that come back at another node than the one that refused them.
///
/// Inputs: the route and the stated timeout of each request; the shortest retry time that is given out
/// (retry_schedule_p.h).
///
/// Algorithm: counts the stated timeouts of each route in a table of fixed size (space-saving: an unknown
/// value replaces the one with the lowest count and inherits that count). Counts are halved from time to
/// time, so that the table follows callers that change their timeout. A value that makes up
/// k_common_fraction of the counts is a usual timeout; a route may have several. A request that states a
/// usual timeout is a first arrival. Otherwise its caller has used up the difference to the next longer usual
/// timeout; with none, it is a first arrival. So a request with a rare timeout of its own is at worst treated
/// as a return, and pays for it with its objective, which counts from the assumed first attempt. A caller
/// that used up less than the shortest retry time gets no precedence.
///
/// Alternatives: nodes that tell each other about refused callers, and a token in the answer
/// (docs/design/refusal-and-return.md).
///
/// Relies on callers to state the time for which they still wait.
#pragma once

#include "base/clock_p.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace larkrack
{
/// Maximum number of routes with learned timeouts; the one unused for longest is evicted. Bounds memory.
constexpr std::size_t k_max_timeout_routes = 128;
/// Stated timeouts that are counted for a route. The error of a count is at most the requests divided by
/// this: with fewer, rare values pass for usual ones. More use more memory.
constexpr std::size_t k_counted_timeouts = 16;
/// Requests of a route before any timeout counts as usual. Fewer: the first callers decide. More: after a
/// restart returning callers go unrecognized for longer.
constexpr std::uint32_t k_min_timeout_requests = 50;
/// Requests after which the counts of a route are halved. Fewer: less steady. More: a changed timeout is
/// learned late.
constexpr std::uint32_t k_halve_timeouts_at = 400;
/// Fraction of the requests that makes a timeout a usual one. Smaller: returns that state the same rest pass
/// for first arrivals. Larger: callers with a less frequent timeout count as returning.
constexpr double k_common_fraction = 0.1;

/// What a stated timeout tells of a caller.
struct caller_history
{
	std::chrono::milliseconds used_up{0}; ///< Time since the caller's first attempt.
	bool returning = false;               ///< It returned as told; takes precedence over first arrivals.
	bool early = false;                   ///< It returned sooner than any retry time that is given out.
};

/// Stated timeouts of the routes of one node.
class return_detector
{
public:
	/// Counts the timeout that a request states.
	/// @param[in] _route Hash of the route's name.
	void count(std::uint64_t _route, std::optional<std::chrono::milliseconds> _stated);
	/// @returns Time that the caller used up since its first attempt; 0: a first arrival or not known.
	std::chrono::milliseconds used_up(
	    std::uint64_t _route, std::optional<std::chrono::milliseconds> _stated) const;
	/// @param[in] _used_up Result of used_up().
	/// @param[in] _shortest_retry_s Shortest retry time that was given out to callers of this first attempt,
	/// seconds.
	static caller_history judge(std::chrono::milliseconds _used_up, double _shortest_retry_s);
	/// @returns Number of routes that are known.
	std::size_t routes() const
	{
		return m_routes.size();
	}

private:
	struct timeout_count
	{
		std::int32_t stated_ms = 0;
		std::uint32_t requests = 0;
	};
	struct route_timeouts
	{
		std::array<timeout_count, k_counted_timeouts> counts{};
		std::uint32_t seen = 0;    ///< Requests since the route is known, up to k_min_timeout_requests.
		std::uint32_t counted = 0; ///< Sum of the counts.
		std::uint64_t used_at = 0; ///< Number of the last request.
	};

	route_timeouts& route(std::uint64_t _route);
	void evict_oldest();
	static void halve(route_timeouts& _route);

	std::unordered_map<std::uint64_t, route_timeouts> m_routes;
	std::uint64_t m_requests = 0;
};
} // namespace larkrack
