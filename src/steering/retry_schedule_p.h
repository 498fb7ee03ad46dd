// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Retry schedule: the retry time of a refused caller, spread so that returns find room.
///
/// Load: many callers refused within a short time, which would otherwise return together.
///
/// Inputs: this node's part of the capacity (requests a second), its first arrivals by rank, the rank of the
/// refused caller and the time that the caller still waits.
///
/// Algorithm: the room for returns is the planned fraction of the capacity minus the usual first arrivals:
/// the mean of the middle seconds among the last ones, so that a burst of up to two seconds does not count as
/// usual. An urgent caller may take a part of the room of less urgent first arrivals when there is no other.
/// Each refused caller books the first bucket of time, from the minimum retry time to a third of its
/// remaining time, in which fewer returns are booked than there is room; if there is none, the bucket with
/// the fewest. Returns come back at any node, and each node books its own part of the room, so the parts add
/// up without messages. A caller that returned early books nothing, so that frequent retries take no room.
///
/// A node that restarted gives the random retry time of request_times_p.h until it knows its demand.
///
/// It remembers the shortest and the mean retry time that were given out in each of the last buckets: a
/// caller that returned before the shortest is early (return_detector_p.h), and is not sent before the mean.
///
/// Alternatives: a random time between fixed limits (request_times_p.h) lets callers return during the
/// overload or all at once. Spreading over the caller's whole patience returns them later than room is free.
///
/// Relies on count_first() for each first arrival and on tick() several times a second.
#pragma once

#include "steering/admission_p.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>

namespace larkrack
{
/// Length of a bucket. Shorter: more buckets for the same time. Longer: returns within a bucket bunch.
constexpr std::chrono::milliseconds k_return_bucket{100};
/// Buckets ahead and behind. Fewer: callers with a long timeout can not be told a late return. More use more
/// memory; 128 cover a third of a timeout of 38 s.
constexpr std::size_t k_return_buckets = 128;
/// Fraction of the remaining time after which a caller no longer honours a retry time.
constexpr double k_patience_fraction = 1.0 / 3.0;
/// Fraction of the capacity that is planned for. Larger: chance leaves returns without room. Smaller: callers
/// return later than they could.
constexpr double k_planned_capacity_fraction = 0.95;
/// Fraction of the capacity of less urgent first arrivals that returns may take. Larger: urgent returns
/// refuse more of the less urgent callers. Smaller: urgent callers wait for room that never comes.
constexpr double k_displaced_fraction = 0.2;
/// Seconds of first arrivals that are remembered. Fewer: bursts count as usual. More: a lasting change counts
/// late.
constexpr std::size_t k_demand_seconds = 15;
/// Seconds left out at either end, the busiest and the quietest. Fewer: bursts count as usual. More: chance
/// sways the mean.
constexpr std::size_t k_demand_seconds_left_out = 3;
/// Seconds of first arrivals below which the demand is not known: callers get a random retry time between the
/// fixed limits. Fewer: a node that restarted takes chance for the demand. More: it spreads returns late.
constexpr std::size_t k_min_demand_seconds = 3;
/// Maximum number of ranks that are counted apart; further ranks count as the least urgent one. Bounds
/// memory.
constexpr std::size_t k_max_retry_ranks = 16;
/// Fraction of the shortest retry time given out here that counts as the shortest at any node, since nodes
/// book by their own figures. Larger: callers that returned as told get no precedence. Smaller: callers that
/// returned early get it.
constexpr double k_shortest_retry_tolerance = 0.5;
/// Buckets on either side of the caller's first attempt of which the retry times are looked at.
/// Fewer: a node that refused few callers takes a long retry time for the shortest. More: frequent retries
/// count as returns as told at the start of an overload.
constexpr std::int64_t k_given_retry_reach = 2;

/// Retry times that were given out to callers refused at about the same time, seconds.
struct given_retry_times
{
	double shortest_s = 0.0; ///< With the tolerance.
	double mean_s = 0.0;
};

/// Booked returns and demand of one service at this node.
class retry_schedule
{
public:
	/// @param[in] _seed Differs between nodes, so that they do not open the same buckets.
	explicit retry_schedule(std::uint32_t _seed);
	/// Counts a first arrival (neither a return nor an early one).
	void count_first(const urgency& _rank);
	/// Closes the second when it is over.
	/// @param[in] _capacity_per_s Requests that this node's part of the slots can run, a second.
	void tick(double _capacity_per_s, steady_time _now);
	/// @returns Retry time of a refused caller, seconds; books its return.
	/// @param[in] _left Time that the caller still waits.
	/// @param[in] _early The caller returned sooner than it was told (caller_history::early): books nothing.
	double retry_after_s(
	    const urgency& _rank, std::chrono::milliseconds _left, bool _early, steady_time _now);
	/// @returns Usual capacity that usual first arrivals of all ranks leave, requests a second; 0 while the
	/// demand is not known. For late requests, which wait longer than capacity is usually lost.
	double spare_per_s() const;
	/// @returns The same within the planned fraction of the capacity: room for booked returns of any rank.
	double free_per_s() const;
	/// @returns Room for returns of a rank, a second.
	double room_per_s(const urgency& _rank) const;
	/// @returns Usual first arrivals of all ranks, a second.
	double first_per_s() const;
	/// @returns Retry times given out to callers that made their first attempt that long ago.
	given_retry_times given(std::chrono::milliseconds _used_up, steady_time _now) const;

private:
	using bucket_number = std::int64_t;

	struct bucket
	{
		bucket_number number = -1;
		std::uint32_t booked = 0; ///< Returns in this bucket.
	};
	/// Retry times given out in one bucket of the past, seconds.
	struct given_bucket
	{
		bucket_number number = -1;
		double shortest_s = 0.0;
		double sum_s = 0.0;
		double callers = 0.0;
	};
	using seconds_ring = std::array<double, k_demand_seconds>;
	struct rank_demand
	{
		seconds_ring seconds{};
		std::uint32_t current = 0;
	};

	bool demand_known() const
	{
		return k_min_demand_seconds <= m_seconds_known;
	}
	double planned_per_s() const;
	double usual_per_s(const seconds_ring& _seconds) const;
	static bucket_number number_of(steady_time _time);
	bucket& bucket_at(bucket_number _number);
	std::uint32_t booked_at(bucket_number _number) const;
	std::uint32_t room_at(bucket_number _number, double _room_per_s) const;
	bucket_number choose(bucket_number _first, bucket_number _last, double _room_per_s) const;
	double time_within(bucket_number _number, double _max_s, steady_time _now);
	void note_given(double _after_s, steady_time _now);
	double demand_up_to(const urgency& _rank) const;

	std::minstd_rand m_random;
	double m_phase = 0.0; ///< Offset of the rounding of this node, 0 to 1.
	std::array<bucket, k_return_buckets> m_ahead{};
	std::array<given_bucket, k_return_buckets> m_behind{};
	std::map<urgency, rank_demand> m_demand;
	std::size_t m_seconds_known = 0;
	std::size_t m_next_second = 0;
	steady_time m_second_from{};
	seconds_ring m_capacity_seconds{};
	double m_capacity_per_s = 0.0;
};
} // namespace larkrack
