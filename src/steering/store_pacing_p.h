// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Store pacing: decides when a node calls the store: pauses between attempts, between batches of changes,
/// and between renewals of its registration.
///
/// Inputs: the number of attempts in a row that failed; a random generator of the node; the answer to a
/// renewal.
///
/// Algorithm: exponential backoff with jitter; a pause is drawn between half of the bound and the bound,
/// which doubles with each attempt. A node registers under a lease and renews it at a third of its time to
/// live; when the store answers that the lease has expired, the node registers again. A reader collects
/// changes for k_batch_delay, so that many changes cost one call.
///
/// Alternatives (docs/DESIGN.md, "State"):
/// - a call for each change: prices 0.181 and worth 0.701 on a quiet day of 80 nodes; collected, with three
///   readers instead of four: 0.155 and 0.726;
/// - leases of 10 s, renewed every 3.5 s: more calls.
///
/// Relies on store_readers for whether the node reads the store at all.
#pragma once

#include "base/clock_p.h"

#include <random>

namespace larkrack
{
/// Interval in milliseconds at which a node checks whether it has become a reader. Longer: a region whose
/// readers crashed waits longer. Shorter: more wake-ups.
constexpr std::chrono::milliseconds k_reader_check_interval{200};
/// Milliseconds for which changes are collected after a batch, so that many of them cost one call. Longer:
/// changes arrive later. Shorter: more calls. Prices 0.181 to 0.155 on a quiet day of 80 nodes, together with
/// three readers; 500 ms changes nothing beyond the error.
constexpr std::chrono::milliseconds k_batch_delay{250};
/// Time to live of a node's registration without a renewal, in seconds. Longer: a crashed node stays
/// registered. Shorter: more calls.
constexpr std::chrono::seconds k_registration_ttl{30};
/// Seconds between two renewals. Three renewals fit into the time to live, so that two may fail.
constexpr std::chrono::seconds k_registration_renewal{10};
/// Number of failed attempts with which the backoff of a registration starts, so that it pauses for the
/// maximum at once: nothing waits for a registration.
constexpr int k_registration_initial_failures = 4;

/// Draws the pause after a failed attempt.
/// @param[in] _tries Number of attempts that failed before it, in a row; not negative.
std::chrono::milliseconds draw_backoff(int _tries, std::minstd_rand& _random);

/// @param[in] _done Whether the store answered the renewal.
/// @param[in] _left Remaining time to live of the lease by that answer; 0: the lease has expired.
/// @returns Whether the node has to register again.
bool registration_expired(bool _done, std::chrono::seconds _left);
} // namespace larkrack
