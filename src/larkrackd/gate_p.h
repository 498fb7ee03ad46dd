// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Admission control of one entry VM for the backend servers that it owns.
///
/// Decides: whether a request gets a slot now, waits in a short queue, or is refused. A request starts at a
/// backend server only while those that run there are fewer than its slots, its concurrency limit (additive
/// increase, multiplicative decrease: halved when it sheds) and its slow-start limit (while it is cold), and
/// while those of the service are fewer than the region's max_share of all its slots here. (The choosers
/// that docs/MEASUREMENTS.md compares with own_count do not keep to this.) The queue holds as many as the
/// usable slots can serve within the request's patience; a higher priority pushes out the last of the lowest.
/// Owns: the count of running requests of each backend server, one queue for each service, the last load
/// report and smoothed latency. All of it is in memory: after a crash the next owner counts every slot as
/// taken until backend_grant::full_until.
/// Relies on: control, which says what is owned (update, hold); chooser, which orders backend servers that
/// have a free slot; carrier, which gives each ticket back exactly once.
/// Units: time points and latencies in microseconds; loads and shares are parts from 0 to 1; counts are
/// slots.
/// Reasons and figures: docs/DESIGN.md (The way of a request, Choice), docs/MEASUREMENTS.md (Beside the
/// plain ways).
#pragma once

#include "base/clock_p.h"
#include "base/settings_p.h"
#include "larkrackd/chooser_p.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace larkrack
{
/// What the gate is told of a backend server that this entry VM holds.
struct backend_grant
{
	std::string name;
	std::string service;
	endpoint address;
	int slots = 0;            ///< Requests that it can run at once.
	bool drain = false;       ///< It gets no new work; what runs there ends whole.
	bool owned = false;       ///< Whether new work may be sent.
	steady_time full_until{}; ///< Until then requests of the former owner may still fill all slots.
};

/// Counters of one backend server. Guarded by the gate's mutex.
struct gate_backend
{
	backend_grant grant;
	int running = 0;                ///< Requests of this entry VM that run there, or may still run.
	double concurrency_limit = 0.0; ///< Slots that shedding leaves, from 1 to all (AIMD).
	double reported = 0.0;          ///< Part of its slots in use, from its own load report, 0 to 1.
	steady_time reported_at{};
	double latency_us = 0.0;  ///< Moving average of whole exchanges, microseconds; 0: none yet.
	int slow_start_limit = 0; ///< Slots that may be used while it is cold.
	steady_time shed_at{};    ///< Last shed request that lowered the concurrency limit.
	std::uint64_t served = 0;
};
using backend_ptr = std::shared_ptr<gate_backend>;

/// Right to one slot of one backend server. Must be given back by gate::release.
struct ticket
{
	backend_ptr backend;
	steady_time started{};
};

/// How an exchange ended, as far as the gate is concerned.
enum class exchange_end
{
	whole,      ///< Answered; the slot is free.
	shed,       ///< Refused before running; the slot is free.
	never_sent, ///< No byte was sent; the slot is free.
	unsure,     ///< It may still run: the slot stays taken until gate::confirm.
};

/// A request that asks for a slot.
struct admission
{
	std::string service;
	int priority = 5;          ///< 0 (lowest) to 9.
	steady_time queue_until{}; ///< Latest end of waiting in the queue.
};

/// Place in the queue. Exactly one of the outcomes happens, once.
struct waiter
{
	admission request;
	std::optional<ticket> granted;
	bool given_up = false;
	std::function<void()> wake; ///< Called when granted; must not call the gate.
};
using waiter_ptr = std::shared_ptr<waiter>;

/// Slots of one service at one entry VM.
struct service_headroom
{
	int usable = 0;  ///< Slots that may be used now.
	int running = 0; ///< Slots in use, or taken as in use.
	int queued = 0;
	int cold = 0;  ///< Backend servers that are cold.
	int slots = 0; ///< Slots of all owned backend servers, drained or not.
	/// @returns Slots that are free now.
	int free() const
	{
		return std::max(0, usable - running);
	}
};

/// All functions may be called from every thread.
class gate : public service_base
{
public:
	explicit gate(const std::string& _chooser);
	const char* name() const override
	{
		return "gate";
	}

	/// Replaces what is known of the backend servers; counts survive.
	/// @param[in] _max_share Share of all slots of a service that may be used here.
	void update(const std::vector<backend_grant>& _grants, double _max_share, steady_time _now);
	/// Admits at once, or queues, or refuses.
	/// @param[in] _wake Called once when a queued request is granted a slot.
	/// @returns A ticket; or a place in the queue; or the reason of a refusal.
	std::variant<ticket, waiter_ptr, reason> admit(
	    const admission& _request, std::function<void()> _wake, steady_time _now);
	/// Leaves the queue.
	/// @returns The ticket when it was granted in the meantime.
	std::optional<ticket> give_up(const waiter_ptr& _waiter);
	/// Gives a ticket back.
	void release(const ticket& _ticket, exchange_end _end, steady_time _now);
	/// Frees a slot that was released as unsure: the backend server confirmed, or its deadline passed.
	void confirm(const ticket& _ticket, steady_time _now);
	/// Takes a backend server's load report.
	void report(const std::string& _backend, double _load, bool _cold, steady_time _now);
	/// Serves the queues with slots that became usable by time alone. Called every k_tick.
	void tick(steady_time _now);

	/// @returns How long a request that joins the queue now would wait, estimated from the mean latency.
	std::chrono::microseconds expected_wait(const std::string& _service, steady_time _now) const;
	/// @returns Headroom of each service that has a backend server here.
	std::map<std::string, service_headroom> headroom(steady_time _now) const;
	/// @returns Requests that run at a backend server, or may run.
	int running(const std::string& _backend) const;
	/// @returns Copies of all states.
	std::vector<gate_backend> states() const;
	/// Stops or resumes all admissions, as after a pause of the process until ownership is confirmed.
	void hold(bool _held);

private:
	struct pool
	{
		std::vector<backend_ptr> backends;
		std::list<waiter_ptr> queue; ///< By priority, then by arrival.
	};
	int usable(const gate_backend& _backend, steady_time _now) const;
	service_headroom headroom_of(const pool& _pool, steady_time _now) const;
	std::optional<ticket> take(pool& _pool, steady_time _now);
	void serve_queue(pool& _pool, steady_time _now);
	static double mean_latency(const pool& _pool);
	static bool enqueue(pool& _pool, const waiter_ptr& _waiter, int _limit);

	mutable std::mutex m_mutex;
	std::unique_ptr<chooser_base> m_chooser;
	std::map<std::string, pool> m_pools;
	std::map<std::string, backend_ptr> m_by_name;
	double m_max_share = 1.0;
	bool m_held = false;
};
} // namespace larkrack
