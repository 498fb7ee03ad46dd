// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Slot queue: how long a request waits for a free slot, and who is next.
///
/// Decides the longest wait of a request that finds no backend server with room, the order of those that
/// wait, and the end of a wait. Inputs: the route's objective (milliseconds, the time within which an answer
/// has its full worth) and its priority (0 is the highest).
///
/// Rule: early load shedding. A request waits for k_wait_part of its objective; then it is refused as not run
/// (reason no_headroom) with a time to come back, since an answer that comes late is worth little and holds a
/// slot. Within a service, higher priorities go first, and within a priority who came first. When the first
/// one finds no slot, none behind it is tried: requests of one service compete for the same backend servers.
/// A request waits once; another attempt (attempt_rules_p.h) is made at once or not at all.
///
/// Other ways: none was measured. Each request that waits costs memory of the node until it ends.
///
/// Relies on forwarder to try the first one whenever a request ended, a backend server changed, or a tick
/// passed.
#pragma once

#include <chrono>
#include <list>
#include <map>

namespace larkrack
{
/// Part of the objective for which a request waits, no unit. Longer serves more at a short overload, shorter
/// leaves more time to run and tells callers sooner that there is no room: twice the value costs 0.004 of
/// worth where the objective is short, four times 0.015 where slots are few (docs/DECISIONS.md).
constexpr double k_wait_part = 0.1;
/// Wait when the route names no objective, milliseconds. Not measured.
constexpr std::chrono::milliseconds k_wait_default{100};

/// @param[in] _objective 0: none.
inline std::chrono::milliseconds longest_wait(std::chrono::milliseconds _objective)
{
	if (_objective.count() <= 0)
	{
		return k_wait_default;
	}
	return std::chrono::milliseconds(
	    static_cast<std::int64_t>(k_wait_part * static_cast<double>(_objective.count())));
}

/// Requests of one service that wait for a slot.
/// @tparam Request Pointer to a request.
template <typename Request>
class slot_queue
{
public:
	/// @param[in] _priority 0 is the highest.
	void add(int _priority, Request _request)
	{
		m_requests[_priority].push_back(std::move(_request));
	}
	void remove(int _priority, const Request& _request)
	{
		m_requests[_priority].remove(_request);
	}
	/// @returns Who is next; null when nobody waits.
	Request first() const
	{
		for (const auto& [priority, requests] : m_requests)
		{
			if (!requests.empty())
			{
				return requests.front();
			}
		}
		return nullptr;
	}

private:
	std::map<int, std::list<Request>> m_requests; ///< By priority.
};
} // namespace larkrack
