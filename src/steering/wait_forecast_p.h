// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Wait forecast: decides whether a request that finds no free slot waits, until when, or is refused at once.
///
/// Load: more requests of a service than slots, so that requests wait at this node.
///
/// Inputs: the waiting requests before this one; slots freed for waiting requests (sends from the queue);
/// work times (ends of requests); this node's portion of the slots; the objective, counted from the caller's
/// first attempt (return_detector_p.h), and the deadline; the room that first arrivals leave free
/// (retry_schedule_p.h).
///
/// Algorithm: the rate of freed slots is counted only while requests wait, in two parts. The mean forgets
/// with k_freed_time_constant_s and starts from the prior, slots divided by work time. A window of
/// k_freed_window that differs from the mean by more than chance replaces the mean, so that a jump of the
/// rate counts after one window; the time since the last freed slot counts at once. The expected wait is the
/// number of requests up to and including this one, divided by the rate that remains beside more urgent
/// requests. While more requests arrive than slots are freed, a margin for chance is added: then another
/// request takes the slot, and a wait in vain gains nothing. A request waits when this ends before its latest
/// useful start: the end of its objective minus the work time.
///
/// A request that can not be answered within its objective is late. It is ordered behind all requests that
/// can (wait_order), its expected wait counts only the room that first arrivals leave free, and it is sent
/// only while the arrivals until the next freed slot still find one (late_may_start()). It may wait until its
/// deadline minus the work time.
///
/// A caller that returned sooner than it was told is ordered behind all others, and is not sent before the
/// time that callers like it were told (wait_order::not_before); otherwise it is treated as late. With the
/// order of a first arrival, frequent retries would find a free slot more often than callers that return as
/// told.
///
/// Alternatives: a fixed fraction of the objective (slot_queue_p.h) holds requests that can not be served.
///
/// Relies on the caller to report each wait, each send from the queue and when none waits that
/// can be in time.
#pragma once

#include "steering/admission_p.h"

#include <chrono>
#include <cstddef>
#include <map>

namespace larkrack
{
/// Time constant of the rate of freed slots, seconds. Shorter: chance refuses requests that could be served.
/// Longer: slow changes below the threshold of a jump count late.
constexpr double k_freed_time_constant_s = 1.0;
/// Time for which the prior counts as if it had been observed, seconds. Shorter: the first freed slots of an
/// overload decide alone. Longer: a wrong portion of the slots holds requests in vain.
constexpr double k_freed_prior_s = 0.2;
/// Length of a window in which sends are counted. Shorter: more processor time. Longer: a change counts
/// later.
constexpr std::chrono::milliseconds k_freed_window{100};
/// Time constant of the recent rate of freed slots, seconds. Shorter: too few events to tell a jump from
/// chance. Longer: requests wait in vain after a loss of capacity.
constexpr double k_recent_time_constant_s = 0.3;
/// Standard deviations by which the recent rate has to differ to replace the mean. Smaller: chance counts as
/// a jump. Larger: a jump is noticed late.
constexpr double k_jump_deviations = 2.0;
/// Weight of the newest work time in its mean. Smaller: follows a slower server late. Larger: a single slow
/// answer refuses requests.
constexpr double k_forecast_work_weight = 0.05;
/// Weight of the newest window in the dispersion of the freed slots. Smaller: regular slots are taken for
/// random ones for longer. Larger: a few even windows remove the margin.
constexpr double k_dispersion_weight = 0.1;
/// Standard deviations that are added during overload, where another request takes the slot. Smaller:
/// requests wait in vain. Larger: slots stay free for want of waiting requests.
constexpr double k_wait_deviations = 2.5;
/// Arrivals for each freed slot above which the node is overloaded. Smaller: chance counts as overload.
/// Larger: requests wait in vain at the start of an overload.
constexpr double k_overload_load = 1.1;
/// Time constant of the rate of all arrivals, seconds. Shorter: chance counts as overload. Longer: overload
/// is noticed late.
constexpr double k_load_time_constant_s = 0.5;
/// Time constant of the rates of arrivals by rank, seconds. Shorter: chance refuses less urgent requests.
/// Longer: they wait in vain at the start of an overload.
constexpr double k_overtaking_time_constant_s = 0.15;
/// Maximum number of ranks whose arrivals are counted apart; further ranks count as the least urgent one.
/// Bounds memory.
constexpr std::size_t k_max_wait_ranks = 16;

/// Part of the queue that a request waits in; the lowest is served first.
enum class wait_band
{
	in_time,
	late,  ///< It can not be answered within its objective.
	early, ///< Its caller returned sooner than it was told (caller_history::early).
};

/// Place of a waiting request in the queue; the lowest is tried first. Requests of equal order are served by
/// fair share and arrival.
struct wait_order
{
	wait_band band = wait_band::in_time;
	steady_time not_before{}; ///< Of an early request: it is not sent before. Else the epoch.
	urgency rank;
	bool first_arrival = true; ///< It did not return as told.

	friend bool operator<(const wait_order& _a, const wait_order& _b)
	{
		return std::tie(_a.band, _a.not_before, _a.rank, _a.first_arrival) <
		       std::tie(_b.band, _b.not_before, _b.rank, _b.first_arrival);
	}
};

/// What the forecast needs to know of a request.
struct wait_request
{
	urgency rank;
	std::chrono::milliseconds objective{0}; ///< 0: the route has none, only the deadline counts.
	std::chrono::milliseconds used_up{0};   ///< Time from the caller's first attempt to this arrival.
	bool early = false;                     ///< Its caller returned sooner than it was told.
	steady_time not_before{};               ///< If early: when callers like it were told to return.
	steady_time arrived_at{};
	steady_time deadline{};
	bool returning = false; ///< Its caller returned as told (caller_history::returning).
};

/// Waiting requests that are tried before a request.
struct queue_ahead
{
	std::size_t in_time = 0; ///< If it is ordered by its rank.
	std::size_t late = 0;    ///< If it is ordered as late.
};

/// Answer of the forecast.
struct wait_answer
{
	bool waits = false; ///< False: refuse at once.
	wait_band band = wait_band::in_time;
	steady_time until{};    ///< If it waits: latest useful start, refuse then.
	double expected_s = 0.; ///< Expected wait, seconds; with the margin during overload.
};

/// Forecast for one service at this node.
class wait_forecast
{
public:
	/// Updates the prior.
	/// @param[in] _own_slots This node's portion of the slots.
	/// @param[in] _service_time_s Mean work time of the service; replaced by own ends once there are any.
	void tick(double _own_slots, double _service_time_s, steady_time _now);
	/// Counts a request that arrives and can be in time, whether or not it finds a slot.
	void on_arrival(const urgency& _rank, steady_time _now);
	/// Tells that a request that can be in time waits.
	void on_waits(steady_time _now);
	/// Counts a waiting request that was sent to a backend server and was not late.
	void on_sent_from_queue(steady_time _now);
	/// Tells that no request that can be in time waits any longer, whether the last one was sent or refused.
	void on_none_waiting(steady_time _now);
	/// Counts an answered request.
	void on_end(double _service_time_s);
	/// A caller that was refused before (used_up above 0) also waits for a late answer when it can not be in
	/// time, since it does not return again.
	/// @param[in] _late_room_per_s Rate that first arrivals leave free (retry_schedule::spare_per_s()).
	wait_answer decide(const wait_request& _request, const queue_ahead& _ahead, double _late_room_per_s,
	    steady_time _now) const;
	/// @returns Band of a request that arrives or waits, if it is sent now.
	wait_band band(const wait_request& _request, steady_time _now) const;
	/// @returns Place of a request in a band.
	static wait_order order(const wait_request& _request, wait_band _band);
	/// @param[in] _free_slots Free slots of this node's portion.
	/// @param[in] _in_time_per_s First arrivals a second at this node.
	/// @returns Whether a late or early request may take a slot: the arrivals until the next freed slot find
	/// one.
	bool late_may_start(double _free_slots, double _in_time_per_s, steady_time _now) const;
	/// @returns Slots freed for waiting requests, a second.
	double freed_per_s(steady_time _now) const;
	double work_time_s() const
	{
		return m_work_time_s;
	}

private:
	struct arrival_rate
	{
		double time_constant_s = 0.0;
		double rate = 0.0;
		steady_time at{};

		void count(steady_time _now);
		double per_s(steady_time _now) const;
	};

	bool late(const wait_request& _request, steady_time _now) const;
	wait_answer decide_in_time(const wait_request& _request, std::size_t _before, steady_time _now) const;
	wait_answer decide_late(
	    const wait_request& _request, std::size_t _before, double _late_room_per_s, steady_time _now) const;
	wait_answer compare(wait_answer _answer, std::size_t _before, double _freed_per_s,
	    double _overtaking_per_s, steady_time _now) const;
	bool overloaded(steady_time _now) const;
	steady_time latest_start(const wait_request& _request, bool _late) const;
	double overtaking_per_s(const urgency& _rank, steady_time _now) const;
	void close_windows(steady_time _now);
	void close_window(double _seconds);
	void add_window(double _seconds);
	void fade(double _seconds);
	double prior_per_s() const;

	double m_own_slots = 0.0;
	double m_work_time_s = 0.0;
	bool m_work_measured = false;
	bool m_waiting = false;      ///< Requests that can be in time wait now.
	steady_time m_window_from{}; ///< Start of the open window; without waiting requests: since when.
	double m_window_sent = 0.0;  ///< Sends in the open window.
	double m_sent = 0.0;         ///< Sends in closed windows, fading.
	double m_recent_sent = 0.0;  ///< Sends in closed windows, fading fast.
	double m_recent_seconds = 0.0;
	double m_prior_s = k_freed_prior_s; ///< Weight of the prior; 0 after a jump.
	double m_dispersion = 1.0;          ///< Variance of the sends in a window by their mean; 1: random.
	double m_seconds = 0.0;             ///< Time with waiting requests in closed windows, fading.
	std::map<urgency, arrival_rate> m_arrivals;
	arrival_rate m_all_arrivals{k_load_time_constant_s};
};
} // namespace larkrack
