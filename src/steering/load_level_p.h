// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Load level: which requests of a service are admitted before they take a slot, when all nodes together
/// receive more than the backend servers of a region can serve.
///
/// Load: several priorities at more than the capacity, spread over all nodes. The queue of a node orders only
/// its own requests; without a common level a node without urgent requests fills the slots for which urgent
/// requests wait at other nodes.
///
/// Inputs: the urgency of each request; each attempt to get a slot (taken, waits, rejected by a server); room
/// by region and the reports of the other nodes at each tick.
///
/// Algorithm:
/// - The level of a region is the part of its demand that is not admitted, least urgent requests first. Each
///   request has a position in [0, 1): the part of the demand that is more urgent, plus a hash of its number
///   within the part of its own urgency. It is admitted if its position is below 1 - level, so a class can be
///   admitted in part. The parts are learned from the requests that this node sees.
/// - The served part is the number of slots that requests took, by the number of admitted requests, over the
///   last moments; slots that were taken after a wait count when they are taken, so that draining a queue
///   does not look like overload. The admitted part changes in proportion to what the served part, raised by
///   k_excess_fraction, differs from 1. With the excess there is always somebody waiting for a slot that gets
///   free, and the level falls when the load does. The queue absorbs short bursts, since requests that get a
///   slot after a wait count as served.
/// - Requests without a slot count only while at least k_short_occupancy of the region's slots are in use:
///   a request with a key finds no slot when its own server is full, however many others are free.
/// - Free slots let the admitted part grow in proportion; requests beyond the slots at the backend servers
///   reduce it in proportion.
/// - Each node moves its level towards the mean of the levels that other nodes report, weighted by their
///   freshness, and admits by the mean of all including its own. The integration is thereby shared: each node
///   adds what it observes, and nodes with few requests rely on the others.
/// - Without attempts for k_attempt_lifetime a node only follows the others and the free room; after
///   k_evidence_lifetime its level falls slowly.
///
/// Alternatives:
/// - a threshold on the urgency alone: with few classes the load oscillates between two of them;
/// - the part of the requests that wait for long, in place of the served part: while a queue drains, all of
///   them do; the level overshoots and oscillates;
/// - this node's requests by its own slots, in place of the estimated load of the region: with few slots for
///   each node the level is above 0 without overload;
/// - level = 1 - slots / demand: the rate has a time constant of seconds, and leaves out retries and the
///   difference between known and cold keys;
/// - the maximum of all levels instead of the mean: one node with bad luck sheds load for the whole fleet.
///
/// Relies on its owner to call tick() at a steady interval, and to report each attempt once. A node that
/// hears no other node decides by its own figures.
#pragma once

#include "steering/admission_p.h"

namespace larkrack
{
/// What happened to an admitted request.
enum class slot_result
{
	taken_at_once,    ///< It got a slot without a wait.
	waits,            ///< It found no slot, and waits or is refused.
	taken_after_wait, ///< It got a slot after slot_result::waits.
	rejected,         ///< A backend server rejected it after it had got a slot.
};

/// Parts of the demand by urgency, learned from the requests that one node receives.
class urgency_shares
{
public:
	/// Counts a request.
	void count(const urgency& _rank);
	/// @returns Position of a request in the demand, 0 (most urgent) to 1; the same for the same number.
	double position(const urgency& _rank, request_number _number) const;
	/// @returns Number of urgencies that are told apart.
	std::size_t urgencies() const
	{
		return m_counts.size();
	}

private:
	/// Number of requests of one urgency; older ones count less.
	struct counted_urgency
	{
		urgency rank;
		double requests = 0.0;
	};
	/// Halves all counts, and removes urgencies that are no longer seen.
	void age();

	std::vector<counted_urgency> m_counts; ///< Ordered by rank.
	double m_total = 0.0;
};

/// Load levels of one service at one node.
class load_level
{
public:
	/// Counts the first arrival of a request at this node; before admits().
	void on_request(const admission_request& _request)
	{
		m_shares.count(_request.rank);
	}
	/// Counts what happened to an admitted request.
	/// @param[in] _region Region where the request was to run.
	void on_attempt(const region_name& _region, slot_result _result);
	/// Updates the levels of all regions that have room for the service; forgets those of other regions.
	void tick(const admission_conditions& _conditions, steady_time _now);
	/// @returns Whether a request may take a slot or wait for one, by its urgency and number.
	bool admits(const admission_request& _request, steady_time _now) const;
	/// @returns Part of the demand of a region that is not admitted, 0 to 1.
	double level(const region_name& _region) const;
	/// @returns Own levels for the next report, without those that are 0.
	rate_by_region reported_levels() const;

private:
	/// Counts of attempts to get a slot.
	struct slot_counts
	{
		double attempts = 0.0; ///< Requests.
		double taken = 0.0;    ///< Slots, without those of rejected requests.
	};
	/// Sum of the other nodes' levels, and of their weights.
	struct level_sum
	{
		double weighted = 0.0;
		double weight = 0.0;
	};
	/// Level of one region.
	struct region_state
	{
		slot_counts newest;       ///< Since the last tick.
		slot_counts recent;       ///< Decaying with k_attempt_time_constant_s.
		steady_time attempt_at{}; ///< Last tick that had an attempt.
		double own_level = 0.0;   ///< As reported to the others.
		double level = 0.0;       ///< Mean of the own level and those of the others.
	};

	/// Adds the attempts since the last tick to the recent ones.
	static void average_attempts(region_state& _state, double _passed_s, steady_time _now);
	/// @returns Rate of change of the admitted part, 1/s, relative to that part.
	static double growth_per_s(const region_state& _state, const region_room& _room, steady_time _now);
	/// @returns Sum over the reports that have a level of the region.
	static level_sum sum_levels(const std::vector<admission_report>& _others, const region_name& _region);
	/// Changes the own level, moves it towards those of the others, and computes the level of the region.
	static void update_level(
	    region_state& _state, double _growth_per_s, const level_sum& _others, double _passed_s);

	urgency_shares m_shares;
	std::map<region_name, region_state> m_regions;
	steady_time m_last_tick{};
};
} // namespace larkrack
