// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Slot queue: the requests that wait for a free slot, their order, and their maximum wait.
///
/// Inputs: the route's objective (milliseconds, the time within which an answer has its full worth) and its
/// priority (0 is the highest).
///
/// Algorithm: early load shedding. A request that finds no backend server with a free slot waits for
/// k_wait_fraction of its objective. Then it is refused as not run (reason no_headroom) with a retry time,
/// since a late answer is worth little and occupies a slot. Within a service, requests are ordered by
/// priority, and within a priority by arrival. When the first request finds no slot, the requests behind it
/// are not tried: requests of one service compete for the same backend servers. A request waits once; a
/// further attempt (attempt_rules_p.h) is made at once or not at all.
///
/// Each waiting request uses memory of the node until it ends.
///
/// Owns the queue of one service. Relies on arrival_admission to remove each request that no longer waits.
#pragma once

#include <chrono>
#include <list>
#include <map>

namespace larkrack
{
/// Fraction of the objective for which a request waits. Longer: more requests are served in a short overload.
/// Shorter: more time is left to run, and callers learn sooner that there is no free slot; twice the value
/// costs 0.004 of worth where the objective is short, four times the value 0.015 where slots are few
/// (docs/DECISIONS.md).
constexpr double k_wait_fraction = 0.1;
/// Maximum wait when the route has no objective, in milliseconds.
constexpr std::chrono::milliseconds k_default_wait{100};

/// @param[in] _objective Objective of the route; 0: it has none.
/// @returns Maximum time that a request waits for a slot.
inline std::chrono::milliseconds max_slot_wait(std::chrono::milliseconds _objective)
{
	if (_objective.count() <= 0)
	{
		return k_default_wait;
	}
	return std::chrono::milliseconds(
	    static_cast<std::int64_t>(k_wait_fraction * static_cast<double>(_objective.count())));
}

/// Requests of one service that wait for a slot.
/// @tparam Request Pointer or number of a request; a default value stands for none.
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
	/// @returns The request that is next; the default value when none waits.
	Request first() const
	{
		for (const auto& [priority, requests] : m_requests)
		{
			if (!requests.empty())
			{
				return requests.front();
			}
		}
		return Request();
	}

private:
	std::map<int, std::list<Request>> m_requests; ///< By priority.
};
} // namespace larkrack
