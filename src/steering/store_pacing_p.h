// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Decides when a node calls the store: pauses between tries, between batches of changes, and between
/// renewals of its registration.
///
/// Inputs: tries in a row that failed; a random generator of the node's own; the answer to a renewal.
///
/// Rule: exponential back-off with jitter; a pause is drawn between half of the bound and the bound, which
/// doubles with each try. A node registers under a lease and renews it at a third of its life; when the
/// store says that the lease has lapsed, it registers anew. A reader collects changes for k_batch_pause, so
/// that many cost one call.
///
/// Why not another way (docs/DESIGN.md, "State"):
/// - a call for each change: prices 0.181 and worth 0.701 on a quiet day of 80 nodes; collected, with
///   three readers in place of four: 0.155 and 0.726;
/// - leases of 10 s, renewed every 3.5 s: more calls; not measured alone.
///
/// Relies on: store_readers for whether the node reads at all.
#pragma once

#include "base/clock_p.h"

#include <random>

namespace larkrack
{
/// Milliseconds between two looks whether this node has become a reader. Longer: a region whose readers died
/// waits longer. Shorter: more wake-ups. Not measured.
constexpr std::chrono::milliseconds k_reader_check{200};
/// Milliseconds for which changes are collected behind a batch, so that many of them cost one call. Longer:
/// news is older. Shorter: more calls. Prices 0.181 to 0.155 on a quiet day of 80 nodes, together with three
/// readers; 500 ms changes nothing beyond the error.
constexpr std::chrono::milliseconds k_batch_pause{250};
/// Seconds that a node's registration lives without a renewal. Longer: a dead node stays registered. Shorter:
/// more calls. Not measured alone.
constexpr std::chrono::seconds k_registration_ttl{30};
/// Seconds between two renewals: three fit in a life, so that two may fail.
/// Not measured alone.
constexpr std::chrono::seconds k_registration_renewal{10};
/// Tries that a registration counts as failed before its first, so that it backs off at the longest pause at
/// once: nothing waits for it. Not measured.
constexpr int k_registration_tries = 4;

/// Draws the pause behind a failed try.
/// @param[in] _tries Tries that failed before it, in a row; not negative.
std::chrono::milliseconds draw_backoff(int _tries, std::minstd_rand& _random);

/// @param[in] _done Whether the store answered the renewal.
/// @param[in] _left Life of the lease by that answer; 0: it has lapsed.
/// @returns Whether the node has to register anew.
bool registration_lapsed(bool _done, std::chrono::seconds _left);
} // namespace larkrack
