// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Times of one request: its deadline, how long a connection may take, and when a refused caller comes back.
///
/// Decides three times. Inputs: the timeout that the caller states (milliseconds, as text of a header), the
/// route's timeout (milliseconds), and whether the backend server is in this node's region.
///
/// Rule: the deadline is the arrival plus the smaller of the stated timeout (or the default) and the route's.
/// What the deadline does to a request that was sent, and to one that was not, stands in attempt_rules_p.h
/// (answer_at_deadline). A connection gets a short time within the region and a longer one to another region.
/// Refused callers come back after a random time, so that they do not return all at once; while all backend
/// servers rest, not before the first one is back.
///
/// Other ways: none was measured.
///
/// Relies on the caller's clock for nothing: a timeout is a length of time, not a point in time.
#pragma once

#include <chrono>
#include <optional>
#include <random>
#include <string_view>

namespace larkrack
{
/// Timeout when neither caller nor route names one, milliseconds. Longer holds memory for callers that are
/// gone, shorter ends slow requests of callers that said nothing. Not measured.
constexpr std::chrono::milliseconds k_default_timeout{30000};
/// Longest timeout that a caller may state, milliseconds. Keeps the arithmetic of deadlines within bounds; a
/// route's own timeout is nearly always shorter. Not measured.
constexpr std::chrono::milliseconds k_longest_stated_timeout{3600000};
/// Longest time for a new connection within the region, milliseconds. Longer waits for backend servers that
/// are gone, shorter gives up slow but healthy ones; 80 ms here and 200 ms to other regions cost 0.001 of
/// worth (docs/DECISIONS.md).
constexpr std::chrono::milliseconds k_connect_near{300};
/// The same to another region.
constexpr std::chrono::milliseconds k_connect_far{500};
/// Shortest time after which a refused caller comes back, seconds. Sooner meets the same overload and is
/// refused for good, later leaves freed slots unused; 0.1 to 0.3 costs 0.003 to 0.007 of worth, measured
/// together with the shorter wait of slot_queue_p.h (docs/DECISIONS.md).
constexpr double k_retry_after_first_s = 0.3;
/// Longest such time; each caller is told one between them, so that they don't come back together.
constexpr double k_retry_after_last_s = 0.8;

/// Time in which a backend server that turns a request away has said so: a round trip to another region and
/// a moment more. An exchange that nobody waits for any longer is listened to for so long, since what stands
/// beside such an answer binds this node. Longer: backend servers work for callers that have left. Shorter: a
/// rest that is asked for from far is missed.
constexpr std::chrono::milliseconds k_last_words{150};

/// @param[in] _since_sent Since the request was sent to the backend server.
/// @param[in] _deadline_over The backend server ends the request by itself, and may say that it did not run
/// it.
/// @returns For how long to listen to an exchange that nobody waits for any longer.
std::chrono::milliseconds time_for_last_words(std::chrono::milliseconds _since_sent, bool _deadline_over);
/// @param[in] _stated Text of the caller's header; nothing when it has none. A text that is no number counts
/// as the default.
/// @param[in] _of_route Timeout of the route; 0: none.
std::chrono::milliseconds request_timeout(
    std::optional<std::string_view> _stated, std::chrono::milliseconds _of_route);
/// @param[in] _same_region Whether the backend server is in this node's region.
std::chrono::milliseconds connect_timeout(bool _same_region);
/// @returns Seconds after which a refused caller may come back.
double retry_after_s(std::minstd_rand& _random);
/// @param[in] _left_s Until the first backend server that it may go to has rested.
/// @param[in] _usual_s What another refused caller would be told, for the spread.
/// @returns Seconds after which a caller may come back that all its backend servers turned away.
double retry_after_rest_s(double _left_s, double _usual_s);
} // namespace larkrack
