// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Remembers what backend servers reported whose entry vanished from the registry, since they may still be
/// running.
///
/// Decides what is remembered and for how long. Inputs: the state of a backend server whose entry vanished,
/// and later the entry that appears under its id; the time.
///
/// Algorithm: an entry also vanishes while the store is unreachable, or when its backend server could not
/// write it. When it reappears for the same incarnation, an unexpired rest is restored, and so is the report
/// that the backend server is leaving. A rest is dropped when it ends, the report after k_leaving_retention.
/// Only backend servers that reported either are remembered, at most k_max_lost_backends; beyond that the one
/// that expires first is evicted.
///
/// Relies on backend_registry to pass in vanished and reappearing backend servers.
#pragma once

#include "steering/backend_state_p.h"

#include <map>
#include <unordered_map>

namespace larkrack
{
/// Time for which a backend server without an entry may keep running after it reported that it is leaving.
/// Longer: more memory. Shorter: a backend server whose entry reappears late gets requests again.
constexpr std::chrono::minutes k_leaving_retention{10};
/// Maximum number of backend servers that are remembered, about 200 bytes each.
constexpr std::size_t k_max_lost_backends = 4096;

/// Backend servers without an entry.
class lost_backends
{
public:
	/// Remembers what a backend server reported, if it is still in force.
	void keep(const backend_state& _backend, steady_time _now);
	/// Restores what the same incarnation of a backend server reported before its entry vanished.
	void restore(backend_state& _backend, steady_time _now);

private:
	struct lost
	{
		std::int64_t started_ms;
		backend_rest rest;
		bool reported_leaving;
		steady_time forgotten_at;
	};
	using by_time = std::multimap<steady_time, backend_id>;

	void forget_expired(steady_time _now);
	void forget(const backend_id& _id);

	std::unordered_map<backend_id, lost> m_lost;
	by_time m_by_time; ///< Entries by expiry time.
};
} // namespace larkrack
