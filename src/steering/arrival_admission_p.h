// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Arrival admission: requests wait for a slot by route priority and arrival, for a fixed part of their
/// objective, and each node decides alone.
///
/// Handles short overload of single nodes. Inputs: the route's priority (0 is the highest) and objective
/// (milliseconds).
///
/// Algorithm: each request is admitted. Without a free slot it waits in the order of slot_queue_p.h for
/// max_slot_wait() of its objective, then it is refused with a random retry time (request_times_p.h). The
/// priority of the customer, the group, the time and the conditions are not used.
///
/// Alternatives: priority_admission_p.h, which sheds load by urgency over all nodes.
///
/// Owns the queue of one service. Relies on the random generator of the node, from which each refusal draws
/// once.
#pragma once

#include "steering/admission_p.h"
#include "steering/slot_queue_p.h"

#include <random>

namespace larkrack
{
/// Admission by route priority and arrival.
class arrival_admission : public admission_base
{
public:
	/// @param[in] _random Must outlive this object.
	explicit arrival_admission(std::minstd_rand& _random) : m_random(_random)
	{
	}
	bool uses_conditions() const override
	{
		return false;
	}
	admission_decision on_arrival(const admission_request& _request, steady_time _now) override;
	admission_decision on_no_slot(const admission_request& _request, steady_time _now) override;
	admission_decision on_wait_over(const admission_request& _request, steady_time _now) override;
	request_number next(steady_time _now) const override;
	void remove(const admission_request& _request) override;
	void on_sent(const admission_request& _request, steady_time _now) override;
	void on_end(const admission_request& _request, const admission_end& _end, steady_time _now) override;
	void tick(const admission_conditions& _conditions, steady_time _now) override;
	admission_report report(steady_time _now) const override;

private:
	std::minstd_rand& m_random;
	slot_queue<request_number> m_waiting;
};
} // namespace larkrack
