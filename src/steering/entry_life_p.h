// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Decides which incarnation of a backend server a registry entry belongs to, when a backend server may
/// restart under the same id.
///
/// Inputs: the start times (Unix milliseconds by the backend server's own clock; 0: not declared) of the
/// current entry and of the received entry.
///
/// Algorithm: a later start time is a new incarnation, which has no knowledge and no requests of the previous
/// one; the same or an undeclared start time is the same incarnation. An entry with an earlier start time is
/// usually a late write of a former incarnation and is ignored: the current incarnation writes again within a
/// heartbeat. If it does not, the clock of its VM went back, and the entry is accepted after
/// k_former_entry_timeout.
///
/// Alternative: with the order of the store's revisions alone, a write of a former incarnation
/// that the store executes seconds late would restore its counts and connections.
///
/// Relies on state_replica to pass in entries in order of their revisions.
#pragma once

#include "base/clock_p.h"

#include <cstdint>

namespace larkrack
{
/// Seconds for which an entry with an earlier start time is ignored: three heartbeats of a backend server (3
/// s), after which the entry of an ended incarnation has expired. Longer: a backend server whose clock went
/// back is recognized later. Shorter: a late write of a former incarnation is accepted.
constexpr std::chrono::seconds k_former_entry_timeout{9};

/// Incarnation that an entry belongs to.
enum class entry_incarnation
{
	same,   ///< The current incarnation.
	newer,  ///< A new incarnation under the same id.
	former, ///< An incarnation that has probably ended.
};

/// @param[in] _known_born_ms Start time of the current entry.
/// @param[in] _born_ms Start time of the received entry.
entry_incarnation classify_entry(std::int64_t _known_born_ms, std::int64_t _born_ms);
} // namespace larkrack
