// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Request times: the deadline of a request, its connect timeouts, and the retry time of a refused caller.
///
/// Inputs: the timeout that the caller states (milliseconds, as text of a header), the route's timeout
/// (milliseconds), and whether the backend server is in this node's region.
///
/// Algorithm: the deadline is the arrival plus the smaller of the stated timeout (or the default) and the
/// route's timeout. attempt_rules_p.h (response_at_deadline) describes what happens at the deadline to a
/// request that was sent and to a request that was not. The connect timeout is short within the region and
/// longer to another region. Refused callers get a random retry time, so that they do not return all at
/// once; while all backend servers rest, the retry time is not before the end of the first rest.
///
/// Relies on no clock of the caller: a timeout is a duration, not a point in time.
#pragma once

#include <chrono>
#include <optional>
#include <random>
#include <string_view>

namespace larkrack
{
/// Timeout when neither caller nor route states one, in milliseconds. Longer: memory is held for callers that
/// are gone. Shorter: slow requests of callers without a stated timeout are aborted.
constexpr std::chrono::milliseconds k_default_timeout{30000};
/// Maximum timeout that a caller may state, in milliseconds. Keeps the arithmetic of deadlines within bounds;
/// a route's own timeout is nearly always shorter.
constexpr std::chrono::milliseconds k_max_stated_timeout{3600000};
/// Connect timeout within the region, in milliseconds. Longer: requests wait for backend servers that are
/// gone. Shorter: slow but healthy backend servers are given up; 80 ms here and 200 ms to other regions cost
/// 0.001 of worth (docs/DECISIONS.md).
constexpr std::chrono::milliseconds k_connect_timeout_same_region{300};
/// Connect timeout to another region, in milliseconds.
constexpr std::chrono::milliseconds k_connect_timeout_other_region{500};
/// Minimum retry time of a refused caller, in seconds. Shorter: the caller meets the same overload and is
/// refused for good. Longer: freed slots stay unused; 0.1 to 0.3 costs 0.003 to 0.007 of worth, measured
/// together with the shorter wait of slot_queue_p.h (docs/DECISIONS.md).
constexpr double k_retry_after_min_s = 0.3;
/// Maximum retry time of a refused caller, in seconds. Each caller gets a random time between the minimum
/// and this maximum, so that callers do not return together.
constexpr double k_retry_after_max_s = 0.8;

/// Time within which a backend server that rejects a request has answered: a round trip to another region and
/// some margin. After nobody waits for an exchange any longer, its answer is still read for this time, since
/// headers of such an answer bind this node. Longer: backend servers work for callers that have left.
/// Shorter: a rest that a backend server of another region asks for is missed.
constexpr std::chrono::milliseconds k_response_drain_time{150};

/// @param[in] _since_sent Time since the request was sent to the backend server.
/// @param[in] _deadline_passed The deadline has passed: the backend server ends the request by itself, and
/// may answer that it did not run the request.
/// @returns How long to read the answer of an exchange that nobody waits for any longer.
std::chrono::milliseconds response_drain_time(std::chrono::milliseconds _since_sent, bool _deadline_passed);
/// @param[in] _text Text of the caller's header.
/// @returns The stated timeout, at most k_max_stated_timeout; nothing when the text is no number.
std::optional<std::chrono::milliseconds> parse_timeout(std::string_view _text);
/// @param[in] _stated Text of the caller's header; nothing when there is no such header. A text that is no
/// number counts as the default.
/// @param[in] _route_timeout Timeout of the route; 0: none.
std::chrono::milliseconds request_timeout(
    std::optional<std::string_view> _stated, std::chrono::milliseconds _route_timeout);
/// @param[in] _same_region Whether the backend server is in this node's region.
std::chrono::milliseconds connect_timeout(bool _same_region);
/// @returns Retry time of a refused caller, in seconds.
double retry_after_s(std::minstd_rand& _random);
/// @param[in] _left_s Seconds until the first rest ends among the backend servers that may run the request.
/// @param[in] _usual_s Retry time that another refused caller would get, for the spread.
/// @returns Retry time, in seconds, of a caller whose request all backend servers rejected.
double retry_after_rest_s(double _left_s, double _usual_s);
} // namespace larkrack
