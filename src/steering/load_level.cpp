// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/load_level_p.h"

#include "steering/rendezvous_p.h"

#include <algorithm>
#include <cmath>

namespace larkrack
{
namespace
{
/// Part by which a node admits more than what gets slots. Higher: more requests wait in vain. Lower: slots
/// stay free, since nobody waits for them, and the level falls slowly.
constexpr double k_excess_fraction = 0.05;
/// Change of the admitted part, 1/s, by the part of the attempts that gets no slot. Higher: the level
/// oscillates, since slots are freed only as requests end. Lower: a step of load settles later.
constexpr double k_gain_per_s = 5.0;
/// Time constant of the mean over the attempts, seconds. Longer: the level follows later. Shorter: it follows
/// the attempts of a single tick.
constexpr double k_attempt_time_constant_s = 0.2;
/// Time for which the last attempts count, milliseconds. Longer: the level follows single attempts for too
/// long. Shorter: nodes with few requests hardly contribute, and a large fleet settles later.
constexpr std::chrono::milliseconds k_attempt_lifetime{1000};
/// Growth of the admitted part, 1/s, by free part of the slots. Higher: the level oscillates, since slots
/// fill only as requests arrive. Lower: slots stay free for longer after a fall of load.
constexpr double k_release_per_s = 2.5;
/// Time without an attempt after which the level falls, milliseconds. Longer: a level stays after its load
/// has gone. Shorter: nodes with few requests lower the level of the fleet during overload.
constexpr std::chrono::milliseconds k_evidence_lifetime{3000};
/// Growth of the admitted part without attempts, 1/s. Higher: nodes with few requests lower the level of the
/// fleet during overload. Lower: a level stays after its load has gone.
constexpr double k_idle_growth_per_s = 0.1;
/// Part of the slots in use below which a region has free room. Higher: short gaps in the load lower the
/// level. Lower: slots stay free for longer after a fall of load.
constexpr double k_full_occupancy = 0.97;
/// Part of the slots in use from which on requests without a slot count as overload of the region. Lower: a
/// few servers with frequent keys shed load that other servers could run. Higher: the level rises late, since
/// load reports are old.
constexpr double k_short_occupancy = 0.85;
/// Highest part of the slots by which requests beyond the slots reduce what is admitted. Higher: wrong
/// reports of load stop admission. Lower: queues at backend servers grow.
constexpr double k_max_excess = 0.3;
/// Time constant of the approach to the mean of the other nodes' levels, seconds. Longer: nodes differ in
/// what they admit. Shorter: nothing is gained below the interval of heartbeats.
constexpr double k_consensus_time_constant_s = 0.3;
/// Highest level: some requests are always admitted, so that free room is noticed.
constexpr double k_max_level = 0.95;
/// Level below which everything is admitted and nothing is reported. Higher: a small overload is left to the
/// queues. Lower: heartbeats carry levels without effect.
constexpr double k_min_level = 0.005;
/// Longest time between two ticks that is accounted for, seconds; a longer pause is no evidence of load.
constexpr double k_max_tick_s = 1.0;
/// Number of counted requests at which older ones are halved. Higher: parts of the demand follow a change
/// later. Lower: they are less exact.
constexpr double k_remembered_requests = 512.0;
/// Maximum number of urgencies that are told apart; bounds memory. A further one counts as the next less
/// urgent one that is known.
constexpr std::size_t k_max_urgencies = 64;
/// Count below which an urgency is forgotten, requests.
constexpr double k_min_counted_requests = 0.25;
/// Seed of the hash of request numbers; no tuning value.
constexpr std::uint64_t k_number_seed = 6;

/// @returns Pseudo-random value in [0, 1), the same for the same request.
double spread_of(request_number _number)
{
	const std::string_view bytes(reinterpret_cast<const char*>(&_number.value), sizeof(_number.value));
	return unit_interval(rendezvous_weight(bytes, k_number_seed));
}

/// @returns Requests beyond the slots, as part of the slots; at most k_max_excess.
double excess_of(const region_room& _room)
{
	const double excess = _room.slots > 0.0 ? (_room.busy - _room.slots) / _room.slots : 0.0;
	return std::clamp(excess, 0.0, k_max_excess);
}

/// @returns Free part of the slots, beyond those that are always free for a moment.
double free_part_of(const region_room& _room)
{
	return _room.slots > 0.0 ? std::max(0.0, k_full_occupancy - _room.busy / _room.slots) : 0.0;
}

/// @returns Weight of the newest value in a moving average.
double newest_weight(double _passed_s, double _time_constant_s)
{
	return 1.0 - std::exp(-_passed_s / _time_constant_s);
}

} // namespace

void urgency_shares::count(const urgency& _rank)
{
	auto it = std::lower_bound(m_counts.begin(), m_counts.end(), _rank,
	    [](const counted_urgency& _counted, const urgency& _searched)
	    {
		    return _counted.rank < _searched;
	    });
	const bool is_known = m_counts.end() != it && it->rank == _rank;
	if (!is_known && m_counts.size() < k_max_urgencies)
	{
		it = m_counts.insert(it, {_rank, 0.0});
	}
	it = m_counts.end() == it ? std::prev(it) : it;
	it->requests += 1.0;
	m_total += 1.0;
	if (m_total >= k_remembered_requests)
	{
		age();
	}
}

void urgency_shares::age()
{
	m_total = 0.0;
	for (counted_urgency& counted : m_counts)
	{
		counted.requests /= 2.0;
	}
	m_counts.erase(std::remove_if(m_counts.begin(), m_counts.end(),
	                   [](const counted_urgency& _counted)
	                   {
		                   return _counted.requests < k_min_counted_requests;
	                   }),
	    m_counts.end());
	for (const counted_urgency& counted : m_counts)
	{
		m_total += counted.requests;
	}
}

double urgency_shares::position(const urgency& _rank, request_number _number) const
{
	if (m_total <= 0.0)
	{
		return 0.0;
	}
	double before = 0.0;
	for (const counted_urgency& counted : m_counts)
	{
		if (!(counted.rank < _rank))
		{
			const double own = counted.rank == _rank ? counted.requests : 0.0;
			return (before + own * spread_of(_number)) / m_total;
		}
		before += counted.requests;
	}
	return before / m_total;
}

void load_level::on_attempt(const region_name& _region, slot_result _result)
{
	slot_counts& newest = m_regions[_region].newest;
	switch (_result)
	{
	case slot_result::taken_at_once:
		newest.attempts += 1.0;
		newest.taken += 1.0;
		return;
	case slot_result::waits:
		newest.attempts += 1.0;
		return;
	case slot_result::taken_after_wait:
		newest.taken += 1.0;
		return;
	case slot_result::rejected:
		newest.taken -= 1.0;
		return;
	}
}

void load_level::average_attempts(region_state& _state, double _passed_s, steady_time _now)
{
	const double kept = 1.0 - newest_weight(_passed_s, k_attempt_time_constant_s);
	slot_counts& mean = _state.recent;
	mean.attempts = kept * mean.attempts + _state.newest.attempts;
	mean.taken = kept * mean.taken + _state.newest.taken;
	_state.attempt_at = _state.newest.attempts > 0.0 ? _now : _state.attempt_at;
	_state.newest = {};
}

double load_level::growth_per_s(const region_state& _state, const region_room& _room, steady_time _now)
{
	const double by_load = k_release_per_s * (free_part_of(_room) - excess_of(_room));
	const steady_time::duration age = _now - _state.attempt_at;
	if (age > k_attempt_lifetime || _state.recent.attempts <= 0.0)
	{
		return by_load + (age > k_evidence_lifetime ? k_idle_growth_per_s : 0.0);
	}
	const double served = std::clamp(_state.recent.taken / _state.recent.attempts, 0.0, 1.0);
	const double by_attempts = k_gain_per_s * (served * (1.0 + k_excess_fraction) - 1.0);
	// With slots free, requests found no slot only at the server of their key.
	const bool short_of_slots = _room.busy >= k_short_occupancy * _room.slots;
	return by_load + (short_of_slots ? by_attempts : std::max(0.0, by_attempts));
}

load_level::level_sum load_level::sum_levels(
    const std::vector<admission_report>& _others, const region_name& _region)
{
	level_sum sum;
	for (const admission_report& report : _others)
	{
		const auto it = report.level.find(_region);
		if (report.level.end() != it)
		{
			sum.weighted += report.freshness * it->second;
			sum.weight += report.freshness;
		}
	}
	return sum;
}

void load_level::update_level(
    region_state& _state, double _growth_per_s, const level_sum& _others, double _passed_s)
{
	const double change = (1.0 - _state.level) * _growth_per_s * _passed_s;
	_state.own_level = std::clamp(_state.own_level - change, 0.0, k_max_level);
	_state.level = _state.own_level;
	if (_others.weight <= 0.0)
	{
		return;
	}
	const double mean = _others.weighted / _others.weight;
	_state.own_level += newest_weight(_passed_s, k_consensus_time_constant_s) * (mean - _state.own_level);
	_state.level = (_state.own_level + _others.weighted) / (1.0 + _others.weight);
}

void load_level::tick(const admission_conditions& _conditions, steady_time _now)
{
	const double passed_s =
	    steady_time{} == m_last_tick ? 0.0 : std::clamp(to_s(_now - m_last_tick), 0.0, k_max_tick_s);
	m_last_tick = _now;
	for (auto it = m_regions.begin(); it != m_regions.end();)
	{
		it = 0 == _conditions.rooms.count(it->first) ? m_regions.erase(it) : std::next(it);
	}
	for (const auto& [region, room] : _conditions.rooms)
	{
		region_state& state = m_regions[region];
		average_attempts(state, passed_s, _now);
		update_level(
		    state, growth_per_s(state, room, _now), sum_levels(_conditions.others, region), passed_s);
	}
}

bool load_level::admits(const admission_request& _request, steady_time) const
{
	const double present = level(_request.region);
	return present < k_min_level || m_shares.position(_request.rank, _request.number) < 1.0 - present;
}

double load_level::level(const region_name& _region) const
{
	const auto it = m_regions.find(_region);
	return m_regions.end() == it || it->second.level < k_min_level ? 0.0 : it->second.level;
}

rate_by_region load_level::reported_levels() const
{
	rate_by_region levels;
	for (const auto& [region, state] : m_regions)
	{
		if (state.own_level >= k_min_level)
		{
			levels[region] = state.own_level;
		}
	}
	return levels;
}
} // namespace larkrack
