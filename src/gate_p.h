// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Admission: exact counting of the slots of the backend servers that this entry VM owns, and a short queue.
#pragma once

#include "chooser_p.h"
#include "clock_p.h"
#include "settings_p.h"

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
/// What the gate is told of a backend server.
struct backend_grant
{
	std::string name;
	std::string service;
	endpoint address;
	int slots = 0;
	bool drain = false;
	bool owned = false;       ///< Whether new work may be sent.
	steady_time full_until{}; ///< Until then a former owner's work may still fill all slots.
};

/// Counters of one backend server. Guarded by the gate.
struct backend_state
{
	backend_grant grant;
	int running = 0;       ///< Slots that requests of this entry VM may occupy.
	double pace = 0.0;     ///< Slots that shedding leaves, from 1 to all.
	double reported = 0.0; ///< Share of slots in use by its own word.
	steady_time reported_at{};
	double latency_us = 0.0;
	int warm_limit = 0; ///< Slots that may be used while it is cold.
	steady_time shed_at{};
	std::uint64_t served = 0;
};
using backend_ptr = std::shared_ptr<backend_state>;

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
	unsure,     ///< It may still run: the slot stays taken until gate::confirm or gate::expire.
};

/// A request at the gate.
struct admission
{
	std::string service;
	int priority = 5;          ///< 0 (lowest) to 9.
	steady_time queue_until{}; ///< Latest end of waiting.
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

/// Keeps: for each backend server, running requests never exceed its slots; for the region, its configured
/// share. All functions may be called from every thread.
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
	/// Grants waiting requests what time has freed. Called at each tick.
	void tick(steady_time _now);

	/// @returns How long a request that joins the queue now would wait, by the pace of the last answers.
	std::chrono::microseconds expected_wait(const std::string& _service, steady_time _now) const;
	/// @returns Headroom of each service that has a backend server here.
	std::map<std::string, service_headroom> headroom(steady_time _now) const;
	/// @returns Requests that run at a backend server, or may run.
	int running(const std::string& _backend) const;
	/// @returns Requests that run anywhere from here, and those that wait.
	int in_flight() const;
	/// @returns Copies of all states.
	std::vector<backend_state> states() const;
	/// Holds up all new work, as after a pause of the process, until ownership is confirmed.
	void hold(bool _held);

private:
	struct pool
	{
		std::vector<backend_ptr> backends;
		std::list<waiter_ptr> queue; ///< By priority, then by arrival.
	};
	int usable(const backend_state& _backend, steady_time _now) const;
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
