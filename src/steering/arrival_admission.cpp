// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/arrival_admission_p.h"

#include "steering/request_times_p.h"

namespace larkrack
{
admission_decision arrival_admission::on_arrival(const admission_request&, steady_time)
{
	return {};
}

admission_decision arrival_admission::on_no_slot(const admission_request& _request, steady_time _now)
{
	m_waiting.add(_request.rank.of_route, _request.number);
	admission_decision decision;
	decision.verdict = admission_verdict::waits;
	decision.wait_until = _now + max_slot_wait(_request.objective);
	return decision;
}

admission_decision arrival_admission::on_wait_over(const admission_request&, steady_time)
{
	admission_decision decision;
	decision.verdict = admission_verdict::refused;
	decision.why = reason::no_headroom;
	decision.retry_after_s = retry_after_s(m_random);
	return decision;
}

request_number arrival_admission::next(steady_time) const
{
	return m_waiting.first();
}

void arrival_admission::remove(const admission_request& _request)
{
	m_waiting.remove(_request.rank.of_route, _request.number);
}

void arrival_admission::on_sent(const admission_request&, steady_time)
{
}

void arrival_admission::on_end(const admission_request&, const admission_end&, steady_time)
{
}

void arrival_admission::tick(const admission_conditions&, steady_time)
{
}

admission_report arrival_admission::report(steady_time) const
{
	return {};
}
} // namespace larkrack
