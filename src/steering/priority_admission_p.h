// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Priority admission: admits, queues and refuses the requests of one service when its slots are short, by
/// urgency over all nodes, by fair shares between groups, and by the wait that a request can expect.
///
/// Load: more requests than slots, from callers of different urgency and from groups of different size.
///
/// Algorithm, in the order in which a request meets it:
/// - return_detector_p.h tells whether the caller was refused before, and since when it waits;
/// - load_level_p.h sheds the least urgent part of what the region can not serve; a caller that returned as
///   told is not shed again;
/// - fair_shares_p.h holds a request of a group above its share, as long as others wait;
/// - wait_forecast_p.h lets a request that finds no slot wait until it can no longer be useful, or refuses it
///   at once;
/// - fair_queue_p.h orders the requests that wait; requests that can no longer be in time, and those whose
///   callers returned too soon, wait behind all others;
/// - retry_schedule_p.h tells a refused caller when to return.
///
/// Relies on its owner for tick() several times a second, and on the reports of other nodes in
/// admission_conditions.
#pragma once

#include "steering/fair_queue_p.h"
#include "steering/fair_shares_p.h"
#include "steering/load_level_p.h"
#include "steering/retry_schedule_p.h"
#include "steering/return_detector_p.h"
#include "steering/wait_forecast_p.h"

namespace larkrack
{
/// Period in which the least urgent admitted rank is determined. Shorter: gaps between the requests of a rank
/// let more urgent ones be held. Longer: shares bind no rank for a while after the least urgent one is shed.
constexpr std::chrono::milliseconds k_urgency_period{1000};

/// Admission of one service at one node.
class priority_admission : public admission_base
{
public:
	/// @param[in] _home Region of the node.
	/// @param[in] _seed Differs between nodes.
	/// @param[in] _weight_of Weight of a group that only other nodes have.
	priority_admission(region_name _home, std::uint32_t _seed, fair_shares::weight_source _weight_of);

	admission_decision on_arrival(const admission_request& _request, steady_time _now) override;
	admission_decision on_no_slot(const admission_request& _request, steady_time _now) override;
	admission_decision on_wait_over(const admission_request& _request, steady_time _now) override;
	request_number next(steady_time _now) const override;
	void remove(const admission_request& _request) override;
	void on_sent(const admission_request& _request, steady_time _now) override;
	void on_end(const admission_request& _request, const admission_end& _end, steady_time _now) override;
	void tick(const admission_conditions& _conditions, steady_time _now) override;
	admission_report report(steady_time _now) const override;
	/// @returns Number of requests that have arrived and not ended.
	std::size_t tracked() const
	{
		return m_requests.size();
	}

private:
	/// What is known of a request between its arrival and its end.
	struct tracked_request
	{
		wait_request wait;
		wait_band band = wait_band::in_time; ///< Where it waits or waited.
		bool waiting = false;
		bool waited = false;
		bool sent = false;
	};

	/// @returns The caller's history and times of a request that arrives.
	wait_request describe(const admission_request& _request, steady_time _now);
	/// @returns A decision with the level and the share, for the log.
	admission_decision decision_about(const admission_request& _request) const;
	admission_decision refusal(const admission_request& _request, reason _why, steady_time _now);
	/// @returns Whether the group of a request is above its share and the request not more urgent than others
	/// that are admitted. The shares count the requests of all urgencies, so holding more urgent requests
	/// would let less urgent ones pass at other nodes.
	bool held(const admission_request& _request) const;
	void note_urgency(const urgency& _rank);
	fair_queue& queue_of(wait_band _band);
	/// @returns Waiting requests that would be tried before a request.
	queue_ahead ahead_of(const admission_request& _request, const wait_request& _wait) const;
	void report_if_none_waits(steady_time _now);
	/// @returns The first request of the queue of late requests that may start now.
	request_number next_late(steady_time _now) const;

	region_name m_home;
	return_detector m_returns;
	load_level m_level;
	fair_shares m_shares;
	wait_forecast m_forecast;
	retry_schedule m_schedule;
	fair_queue m_in_time;
	fair_queue m_late;
	fair_queue m_early;
	std::unordered_map<std::uint64_t, tracked_request> m_requests; ///< By request_number.
	urgency m_least_urgent;          ///< Least urgent rank admitted since the last change of period.
	urgency m_previous_least_urgent; ///< The same in the period before.
	steady_time m_period_from{};
	double m_own_slots = 0.0; ///< This node's portion of the slots of all regions.
	double m_in_flight = 0.0; ///< Requests of this node at these slots, at the last tick.
};
} // namespace larkrack
