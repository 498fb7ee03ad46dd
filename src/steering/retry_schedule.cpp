// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/retry_schedule_p.h"

#include "steering/request_times_p.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>

namespace larkrack
{
namespace
{
/// Length of a bucket, seconds.
constexpr double k_bucket_s = std::chrono::duration<double>(k_return_bucket).count();
/// Step between the rounding offsets of consecutive buckets (golden ratio): any run of buckets gets its room,
/// also where a bucket's room is a fraction of a request.
constexpr double k_turn_step = 0.6180339887498949;

std::size_t place_of(std::int64_t _number)
{
	return static_cast<std::size_t>(_number) % k_return_buckets;
}
} // namespace

retry_schedule::retry_schedule(std::uint32_t _seed) : m_random(_seed)
{
	m_random.discard(8);
	m_phase = std::uniform_real_distribution<double>()(m_random);
}

void retry_schedule::count_first(const urgency& _rank)
{
	auto it = m_demand.find(_rank);
	if (m_demand.end() == it)
	{
		it = m_demand.size() < k_max_retry_ranks ? m_demand.try_emplace(_rank).first
		                                         : std::prev(m_demand.end());
	}
	++it->second.current;
}

void retry_schedule::tick(double _capacity_per_s, steady_time _now)
{
	m_capacity_per_s = _capacity_per_s;
	if (steady_time{} == m_second_from)
	{
		m_second_from = _now;
	}
	const double passed_s = to_s(_now - m_second_from);
	if (passed_s < 1.0)
	{
		return;
	}
	for (auto& [rank, demand] : m_demand)
	{
		demand.seconds[m_next_second] = demand.current / passed_s;
		demand.current = 0;
	}
	m_capacity_seconds[m_next_second] = _capacity_per_s;
	m_next_second = (m_next_second + 1) % k_demand_seconds;
	m_seconds_known = std::min(m_seconds_known + 1, k_demand_seconds);
	m_second_from = _now;
}

double retry_schedule::retry_after_s(
    const urgency& _rank, std::chrono::milliseconds _left, bool _early, steady_time _now)
{
	const double patience_s = k_patience_fraction * std::chrono::duration<double>(_left).count();
	const double reach_s = k_bucket_s * static_cast<double>(k_return_buckets - 1);
	const double max_s = std::min(patience_s, reach_s);
	if (max_s <= k_retry_after_min_s)
	{
		return k_retry_after_min_s;
	}
	if (!demand_known())
	{
		return std::min(max_s, larkrack::retry_after_s(m_random));
	}
	const bucket_number first = number_of(_now + from_s(k_retry_after_min_s));
	const bucket_number last = number_of(_now + from_s(max_s));
	const bucket_number chosen = choose(first, last, room_per_s(_rank));
	const double after_s = time_within(chosen, max_s, _now);
	if (!_early)
	{
		++bucket_at(chosen).booked;
		note_given(after_s, _now);
	}
	return after_s;
}

double retry_schedule::spare_per_s() const
{
	return demand_known() ? std::max(0.0, usual_per_s(m_capacity_seconds) - first_per_s()) : 0.0;
}

double retry_schedule::free_per_s() const
{
	return std::max(0.0, planned_per_s() - first_per_s());
}

double retry_schedule::room_per_s(const urgency& _rank) const
{
	const double displaced = k_displaced_fraction * (planned_per_s() - demand_up_to(_rank));
	return std::max(free_per_s(), displaced);
}

double retry_schedule::planned_per_s() const
{
	// The present figure alone would open each bucket at its highest chance value before the bucket is over.
	return k_planned_capacity_fraction * std::min(m_capacity_per_s, usual_per_s(m_capacity_seconds));
}

double retry_schedule::first_per_s() const
{
	return m_demand.empty() ? 0.0 : demand_up_to(std::prev(m_demand.end())->first);
}

given_retry_times retry_schedule::given(std::chrono::milliseconds _used_up, steady_time _now) const
{
	const bucket_number middle = number_of(_now - _used_up);
	const bucket_number until = middle + k_given_retry_reach;
	given_retry_times times;
	double callers = 0.0;
	double sum_s = 0.0;
	for (bucket_number number = middle - k_given_retry_reach; number <= until; ++number)
	{
		const given_bucket& past = m_behind[place_of(number)];
		if (past.number != number)
		{
			continue;
		}
		times.shortest_s = 0.0 == callers ? past.shortest_s : std::min(times.shortest_s, past.shortest_s);
		callers += past.callers;
		sum_s += past.sum_s;
	}
	times.shortest_s = std::max(k_retry_after_min_s, k_shortest_retry_tolerance * times.shortest_s);
	times.mean_s = std::max(k_retry_after_min_s, callers > 0.0 ? sum_s / callers : 0.0);
	return times;
}

double retry_schedule::usual_per_s(const seconds_ring& _seconds) const
{
	if (0 == m_seconds_known)
	{
		return 0.0;
	}
	seconds_ring sorted = _seconds;
	const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(m_seconds_known);
	std::sort(sorted.begin(), end);
	const std::size_t left_out = std::min(k_demand_seconds_left_out, (m_seconds_known - 1) / 2);
	const auto from = sorted.begin() + static_cast<std::ptrdiff_t>(left_out);
	const auto until = end - static_cast<std::ptrdiff_t>(left_out);
	return std::accumulate(from, until, 0.0) / static_cast<double>(until - from);
}

retry_schedule::bucket_number retry_schedule::number_of(steady_time _time)
{
	return _time.time_since_epoch() / k_return_bucket;
}

retry_schedule::bucket& retry_schedule::bucket_at(bucket_number _number)
{
	bucket& found = m_ahead[place_of(_number)];
	if (found.number != _number)
	{
		found = bucket{};
		found.number = _number;
	}
	return found;
}

std::uint32_t retry_schedule::booked_at(bucket_number _number) const
{
	const bucket& found = m_ahead[place_of(_number)];
	return found.number == _number ? found.booked : 0;
}

std::uint32_t retry_schedule::room_at(bucket_number _number, double _room_per_s) const
{
	const double turn = k_turn_step * static_cast<double>(_number) + m_phase;
	const double offset = turn - std::floor(turn);
	return static_cast<std::uint32_t>(std::floor(std::max(0.0, _room_per_s * k_bucket_s) + offset));
}

retry_schedule::bucket_number retry_schedule::choose(
    bucket_number _first, bucket_number _last, double _room_per_s) const
{
	bucket_number fewest = _first;
	for (bucket_number number = _first; number <= _last; ++number)
	{
		if (booked_at(number) < room_at(number, _room_per_s))
		{
			return number;
		}
		fewest = booked_at(number) < booked_at(fewest) ? number : fewest;
	}
	return fewest;
}

double retry_schedule::time_within(bucket_number _number, double _max_s, steady_time _now)
{
	const double from_now_s = static_cast<double>(_number) * k_bucket_s - to_s(_now.time_since_epoch());
	const double from_s = std::max(k_retry_after_min_s, from_now_s);
	const double until_s = std::min(_max_s, from_now_s + k_bucket_s);
	return until_s <= from_s ? from_s : std::uniform_real_distribution<double>(from_s, until_s)(m_random);
}

void retry_schedule::note_given(double _after_s, steady_time _now)
{
	const bucket_number number = number_of(_now);
	given_bucket& past = m_behind[place_of(number)];
	if (past.number != number)
	{
		past = given_bucket{};
		past.number = number;
		past.shortest_s = _after_s;
	}
	past.shortest_s = std::min(past.shortest_s, _after_s);
	past.sum_s += _after_s;
	past.callers += 1.0;
}

double retry_schedule::demand_up_to(const urgency& _rank) const
{
	double per_s = 0.0;
	for (const auto& [rank, demand] : m_demand)
	{
		per_s += _rank < rank ? 0.0 : usual_per_s(demand.seconds);
	}
	return per_s;
}
} // namespace larkrack
