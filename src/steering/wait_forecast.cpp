// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/wait_forecast_p.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace larkrack
{
void wait_forecast::tick(double _own_slots, double _service_time_s, steady_time _now)
{
	close_windows(_now);
	m_own_slots = _own_slots;
	if (!m_work_measured)
	{
		m_work_time_s = _service_time_s;
	}
}

void wait_forecast::on_arrival(const urgency& _rank, steady_time _now)
{
	auto it = m_arrivals.find(_rank);
	if (m_arrivals.end() == it)
	{
		it = m_arrivals.size() < k_max_wait_ranks
		         ? m_arrivals.try_emplace(_rank, arrival_rate{k_overtaking_time_constant_s}).first
		         : std::prev(m_arrivals.end());
	}
	it->second.count(_now);
	m_all_arrivals.count(_now);
}

void wait_forecast::on_waits(steady_time _now)
{
	if (m_waiting)
	{
		return;
	}
	const double idle_s = to_s(_now - m_window_from);
	fade(idle_s);
	m_prior_s = k_freed_prior_s + (m_prior_s - k_freed_prior_s) * std::exp(-idle_s / k_freed_time_constant_s);
	m_waiting = true;
	m_window_from = _now;
	m_window_sent = 0.0;
}

void wait_forecast::on_sent_from_queue(steady_time _now)
{
	close_windows(_now);
	m_window_sent += 1.0;
}

void wait_forecast::on_none_waiting(steady_time _now)
{
	if (!m_waiting)
	{
		return;
	}
	close_windows(_now);
	add_window(to_s(_now - m_window_from));
	m_waiting = false;
	m_window_from = _now;
	m_window_sent = 0.0;
}

void wait_forecast::on_end(double _service_time_s)
{
	if (_service_time_s <= 0.0)
	{
		return;
	}
	const double weight = m_work_time_s > 0.0 ? k_forecast_work_weight : 1.0;
	m_work_time_s += weight * (_service_time_s - m_work_time_s);
	m_work_measured = true;
}

wait_answer wait_forecast::decide(
    const wait_request& _request, const queue_ahead& _ahead, double _late_room_per_s, steady_time _now) const
{
	if (wait_band::in_time != band(_request, _now))
	{
		return decide_late(_request, _ahead.late, _late_room_per_s, _now);
	}
	const wait_answer in_time = decide_in_time(_request, _ahead.in_time, _now);
	if (in_time.waits || 0 == _request.used_up.count())
	{
		return in_time;
	}
	return decide_late(_request, _ahead.late, _late_room_per_s, _now);
}

wait_answer wait_forecast::decide_in_time(
    const wait_request& _request, std::size_t _before, steady_time _now) const
{
	wait_answer answer;
	answer.until = latest_start(_request, false);
	return compare(answer, _before, freed_per_s(_now), overtaking_per_s(_request.rank, _now), _now);
}

wait_answer wait_forecast::decide_late(
    const wait_request& _request, std::size_t _before, double _late_room_per_s, steady_time _now) const
{
	wait_answer answer;
	answer.band = _request.early ? wait_band::early : wait_band::late;
	answer.until = latest_start(_request, true);
	return compare(answer, _before, _late_room_per_s, 0.0, _now);
}

wait_answer wait_forecast::compare(wait_answer _answer, std::size_t _before, double _freed_per_s,
    double _overtaking_per_s, steady_time _now) const
{
	const double remaining = _freed_per_s - _overtaking_per_s;
	const double slots = static_cast<double>(_before) + 1.0;
	_answer.expected_s = std::numeric_limits<double>::infinity();
	if (remaining > 0.0)
	{
		// Freed slots and overtaking requests vary independently, so their variances add up.
		const double variance = slots * (m_dispersion * _freed_per_s + _overtaking_per_s) / remaining;
		const double deviations = overloaded(_now) ? k_wait_deviations : 0.0;
		_answer.expected_s = (slots + deviations * std::sqrt(variance)) / remaining;
	}
	_answer.waits = _answer.until > _now && _answer.expected_s <= to_s(_answer.until - _now);
	return _answer;
}

wait_band wait_forecast::band(const wait_request& _request, steady_time _now) const
{
	if (_request.early)
	{
		return wait_band::early;
	}
	return late(_request, _now) ? wait_band::late : wait_band::in_time;
}

wait_order wait_forecast::order(const wait_request& _request, wait_band _band)
{
	wait_order order;
	order.band = _band;
	order.not_before = wait_band::early == _band ? _request.not_before : steady_time{};
	order.rank = _request.rank;
	order.first_arrival = !_request.returning;
	return order;
}

bool wait_forecast::late(const wait_request& _request, steady_time _now) const
{
	return _request.objective.count() > 0 && latest_start(_request, false) <= _now;
}

bool wait_forecast::late_may_start(double _free_slots, double _in_time_per_s, steady_time _now) const
{
	const double freed = freed_per_s(_now);
	return freed > 0.0 && _free_slots - 1.0 >= _in_time_per_s / freed;
}

double wait_forecast::freed_per_s(steady_time _now) const
{
	const double open_s = m_waiting ? std::max(0.0, to_s(_now - m_window_from)) : 0.0;
	const double seconds = m_seconds + open_s + m_prior_s;
	const double sent = m_sent + m_window_sent + prior_per_s() * m_prior_s;
	return seconds > 0.0 ? sent / seconds : prior_per_s();
}

steady_time wait_forecast::latest_start(const wait_request& _request, bool _late) const
{
	const bool by_deadline = _late || _request.objective.count() <= 0;
	const steady_time end = by_deadline ? _request.deadline
	                                    : std::min(_request.deadline,
	                                          _request.arrived_at - _request.used_up + _request.objective);
	return end - from_s(m_work_time_s);
}

double wait_forecast::overtaking_per_s(const urgency& _rank, steady_time _now) const
{
	double per_s = 0.0;
	for (auto it = m_arrivals.begin(); it != m_arrivals.end() && it->first < _rank; ++it)
	{
		per_s += it->second.per_s(_now);
	}
	return per_s;
}

bool wait_forecast::overloaded(steady_time _now) const
{
	return m_all_arrivals.per_s(_now) > k_overload_load * freed_per_s(_now);
}

void wait_forecast::arrival_rate::count(steady_time _now)
{
	rate = per_s(_now) + 1.0 / time_constant_s;
	at = _now;
}

double wait_forecast::arrival_rate::per_s(steady_time _now) const
{
	return rate * std::exp(-to_s(_now - at) / time_constant_s);
}

void wait_forecast::close_windows(steady_time _now)
{
	if (!m_waiting || _now - m_window_from < k_freed_window)
	{
		return;
	}
	close_window(to_s(_now - m_window_from));
	m_window_from = _now;
	m_window_sent = 0.0;
}

void wait_forecast::close_window(double _seconds)
{
	const double rate = (m_sent + prior_per_s() * m_prior_s) / std::max(1e-6, m_seconds + m_prior_s);
	const double expected = rate * _seconds;
	const double difference = m_window_sent - expected;
	m_dispersion += k_dispersion_weight * (difference * difference / (expected + 1.0) - m_dispersion);
	add_window(_seconds);
	// The variance of a count that fades exponentially is half of its mean.
	const double recent = rate * m_recent_seconds;
	if (std::abs(m_recent_sent - recent) <= k_jump_deviations * std::sqrt(recent / 2.0 + 1.0))
	{
		return;
	}
	m_sent = m_recent_sent;
	m_seconds = m_recent_seconds;
	m_prior_s = 0.0;
	m_dispersion = 1.0;
}

void wait_forecast::add_window(double _seconds)
{
	fade(_seconds);
	m_sent += m_window_sent;
	m_seconds += _seconds;
	m_recent_sent += m_window_sent;
	m_recent_seconds += _seconds;
}

void wait_forecast::fade(double _seconds)
{
	const double kept = std::exp(-_seconds / k_freed_time_constant_s);
	const double kept_recent = std::exp(-_seconds / k_recent_time_constant_s);
	m_sent *= kept;
	m_seconds *= kept;
	m_recent_sent *= kept_recent;
	m_recent_seconds *= kept_recent;
}

double wait_forecast::prior_per_s() const
{
	return m_work_time_s > 0.0 ? m_own_slots / m_work_time_s : 0.0;
}
} // namespace larkrack
