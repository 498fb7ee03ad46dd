// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/priority_admission_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
std::chrono::milliseconds remaining(const admission_request& _request, steady_time _now)
{
	return std::max(std::chrono::milliseconds(0), to_ms(_request.deadline - _now));
}
} // namespace

priority_admission::priority_admission(
    region_name _home, std::uint32_t _seed, fair_shares::weight_source _weight_of)
    : m_home(std::move(_home)), m_shares(std::move(_weight_of), _seed), m_schedule(_seed)
{
}

admission_decision priority_admission::on_arrival(const admission_request& _request, steady_time _now)
{
	const wait_request wait = describe(_request, _now);
	m_requests[_request.number.value].wait = wait;
	m_level.on_request(_request);
	if (0 == wait.used_up.count())
	{
		m_schedule.count_first(_request.rank);
	}
	if (wait_band::in_time == m_forecast.band(wait, _now))
	{
		m_forecast.on_arrival(_request.rank, _now);
	}
	if (!wait.returning && !m_level.admits(_request, _now))
	{
		return refusal(_request, reason::shed_by_priority, _now);
	}
	note_urgency(_request.rank);
	admission_decision decision = decision_about(_request);
	if (held(_request))
	{
		decision.verdict = admission_verdict::waits;
	}
	return decision;
}

wait_request priority_admission::describe(const admission_request& _request, steady_time _now)
{
	const std::chrono::milliseconds used_up = m_returns.used_up(_request.route, _request.stated_timeout);
	m_returns.count(_request.route, _request.stated_timeout);
	const given_retry_times given = m_schedule.given(used_up, _now);
	const caller_history history = return_detector::judge(used_up, given.shortest_s);
	wait_request wait;
	wait.rank = _request.rank;
	wait.objective = _request.objective;
	wait.used_up = history.used_up;
	wait.early = history.early;
	wait.returning = history.returning;
	wait.not_before = _now - history.used_up + from_s(given.mean_s);
	wait.arrived_at = _request.arrived_at;
	wait.deadline = _request.deadline;
	return wait;
}

admission_decision priority_admission::decision_about(const admission_request& _request) const
{
	admission_decision decision;
	decision.level = m_level.level(_request.region);
	decision.share = m_shares.share_of(_request.group);
	const auto found = m_requests.find(_request.number.value);
	decision.returning = m_requests.end() != found && found->second.wait.returning;
	return decision;
}

admission_decision priority_admission::refusal(
    const admission_request& _request, reason _why, steady_time _now)
{
	admission_decision decision = decision_about(_request);
	decision.verdict = admission_verdict::refused;
	decision.why = _why;
	const auto found = m_requests.find(_request.number.value);
	const bool early = m_requests.end() != found && found->second.wait.early;
	decision.retry_after_s = m_schedule.retry_after_s(_request.rank, remaining(_request, _now), early, _now);
	return decision;
}

fair_queue& priority_admission::queue_of(wait_band _band)
{
	switch (_band)
	{
	case wait_band::late:
		return m_late;
	case wait_band::early:
		return m_early;
	case wait_band::in_time:
		break;
	}
	return m_in_time;
}

queue_ahead priority_admission::ahead_of(const admission_request& _request, const wait_request& _wait) const
{
	queue_ahead ahead;
	ahead.in_time = m_in_time.ahead_of(_request, _wait.returning);
	ahead.late = m_in_time.size();
	ahead.late += _wait.early ? m_late.size() + m_early.ahead_of(_request, _wait.returning)
	                          : m_late.ahead_of(_request, _wait.returning);
	return ahead;
}

admission_decision priority_admission::on_no_slot(const admission_request& _request, steady_time _now)
{
	tracked_request& tracked = m_requests[_request.number.value];
	const wait_answer answer =
	    m_forecast.decide(tracked.wait, ahead_of(_request, tracked.wait), m_schedule.spare_per_s(), _now);
	if (!tracked.waited)
	{
		m_level.on_attempt(_request.region, slot_result::waits);
	}
	if (!answer.waits)
	{
		return refusal(_request, held(_request) ? reason::over_share : reason::no_headroom, _now);
	}
	tracked.band = answer.band;
	tracked.waiting = true;
	tracked.waited = true;
	queue_of(answer.band).add(_request, tracked.wait.returning);
	m_shares.on_waiting(_request);
	if (wait_band::in_time == answer.band)
	{
		m_forecast.on_waits(_now);
	}
	admission_decision decision = decision_about(_request);
	decision.verdict = admission_verdict::waits;
	decision.wait_until = answer.until;
	return decision;
}

admission_decision priority_admission::on_wait_over(const admission_request& _request, steady_time _now)
{
	remove(_request);
	report_if_none_waits(_now);
	// A caller that was refused before does not return again, so a late answer is better than none.
	if (m_requests[_request.number.value].wait.used_up.count() > 0)
	{
		return on_no_slot(_request, _now);
	}
	return refusal(_request, held(_request) ? reason::over_share : reason::no_headroom, _now);
}

bool priority_admission::held(const admission_request& _request) const
{
	const urgency least = std::max(m_least_urgent, m_previous_least_urgent);
	return !(_request.rank < least) && !m_shares.within_share(_request.group, _request.weight);
}

void priority_admission::note_urgency(const urgency& _rank)
{
	m_least_urgent = std::max(m_least_urgent, _rank);
}

request_number priority_admission::next(steady_time _now) const
{
	const urgency least = std::max(m_least_urgent, m_previous_least_urgent);
	const request_number in_time = m_in_time.next(
	    [this, &least](const urgency& _rank, group_id _group)
	    {
		    return _rank < least || m_shares.within_share(_group);
	    });
	return in_time.any() ? in_time : next_late(_now);
}

request_number priority_admission::next_late(steady_time _now) const
{
	const double free_slots = std::max(0.0, m_own_slots - m_in_flight);
	if (!m_forecast.late_may_start(free_slots, m_schedule.first_per_s(), _now))
	{
		return {};
	}
	const request_number late = m_late.next();
	if (late.any())
	{
		return late;
	}
	const request_number early = m_early.next();
	const auto found = m_requests.find(early.value);
	const bool is_due = m_requests.end() != found && found->second.wait.not_before <= _now;
	return is_due ? early : request_number();
}

void priority_admission::remove(const admission_request& _request)
{
	const auto found = m_requests.find(_request.number.value);
	if (m_requests.end() == found || !found->second.waiting)
	{
		return;
	}
	found->second.waiting = false;
	queue_of(found->second.band).remove(_request.number);
	m_shares.on_wait_end(_request.number);
}

void priority_admission::on_sent(const admission_request& _request, steady_time _now)
{
	tracked_request& tracked = m_requests[_request.number.value];
	if (tracked.sent)
	{
		return; // A further attempt uses the slot of the first one.
	}
	tracked.sent = true;
	queue_of(tracked.band).on_sent(_request);
	m_shares.on_sent(_request);
	m_level.on_attempt(
	    _request.region, tracked.waited ? slot_result::taken_after_wait : slot_result::taken_at_once);
	if (tracked.waited && wait_band::in_time == tracked.band)
	{
		m_forecast.on_sent_from_queue(_now);
	}
	report_if_none_waits(_now);
}

void priority_admission::on_end(
    const admission_request& _request, const admission_end& _end, steady_time _now)
{
	remove(_request);
	m_shares.on_end(_request.number);
	if (_end.answered)
	{
		m_forecast.on_end(_end.service_time_s);
	}
	if (_end.rejected)
	{
		m_level.on_attempt(_request.region, slot_result::rejected);
	}
	report_if_none_waits(_now);
	m_requests.erase(_request.number.value);
}

void priority_admission::report_if_none_waits(steady_time _now)
{
	if (0 == m_in_time.size())
	{
		m_forecast.on_none_waiting(_now);
	}
}

void priority_admission::tick(const admission_conditions& _conditions, steady_time _now)
{
	if (_now - m_period_from >= k_urgency_period)
	{
		m_period_from = _now;
		m_previous_least_urgent = m_least_urgent;
		m_least_urgent = {};
	}
	m_own_slots = 0.0;
	m_in_flight = 0.0;
	for (const auto& [region, room] : _conditions.rooms)
	{
		m_own_slots += room.own_slots;
		m_in_flight += room.in_flight;
	}
	std::vector<const admission_report*> of_home;
	for (const admission_report& report : _conditions.others)
	{
		if (report.sender_region == m_home)
		{
			of_home.push_back(&report);
		}
	}
	const auto home = _conditions.rooms.find(m_home);
	m_level.tick(_conditions, _now);
	m_shares.tick(_conditions.rooms.end() == home ? region_room() : home->second, of_home, _now);
	m_forecast.tick(m_own_slots, _conditions.service_time_s, _now);
	const double work_time_s = m_forecast.work_time_s();
	m_schedule.tick(work_time_s > 0.0 ? m_own_slots / work_time_s : 0.0, _now);
}

admission_report priority_admission::report(steady_time) const
{
	admission_report report;
	report.level = m_level.reported_levels();
	m_shares.report(report);
	return report;
}
} // namespace larkrack
