// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Admission control of one entry VM for the backend servers that it owns.
///
/// Decides: whether a request gets a slot now, waits in a short queue, or is refused. A request is started on
/// a backend server only while the number of requests running there is below its slots, its concurrency limit
/// (additive increase, multiplicative decrease: halved when the backend server sheds a request) and its
/// slow-start limit (while it is cold), and while the number of requests of the service is below the region's
/// max_share of all slots of the service here. (The choosers that docs/MEASUREMENTS.md compares with
/// own_count don't respect these limits.) The queue length is bounded by the number of requests that the
/// usable slots can serve before the new request times out; a request of higher priority evicts the last
/// request of the lowest priority.
/// Owns: the number of running requests, the last load report and the average latency of each backend server,
/// and one queue for each service. This state is in memory only: after a crash the next owner counts every
/// slot as taken until backend_grant::full_until.
/// Relies on: control, which sets the owned backend servers (update, hold); chooser, which selects one that
/// has a free slot; carrier, which releases each ticket exactly once.
/// Units: time points and latencies in microseconds; loads and shares from 0 to 1; counts are slots.
/// Reasons and figures: docs/DESIGN.md (The way of a request, Choice), docs/MEASUREMENTS.md (Beside the plain
/// ways).
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
/// A backend server that control assigns to this entry VM.
struct backend_grant
{
	std::string name;
	std::string service;
	endpoint address;
	int slots = 0;            ///< Maximum number of concurrent requests.
	bool drain = false;       ///< It gets no new requests; running requests complete.
	bool owned = false;       ///< Whether new requests may be sent.
	steady_time full_until{}; ///< Until then requests of the previous owner may still occupy all slots.
};

/// State of one backend server. Guarded by the gate's mutex.
struct gate_backend
{
	backend_grant grant;
	int running = 0;                ///< Requests of this entry VM that run there or may still run there.
	double concurrency_limit = 0.0; ///< AIMD limit, 1 to grant.slots.
	double reported = 0.0;          ///< Share of its slots in use from its last load report, 0 to 1.
	steady_time reported_at{};
	double latency_us = 0.0;  ///< Moving average of completed exchanges, microseconds; 0: none yet.
	int slow_start_limit = 0; ///< Slots that may be used while it is cold.
	steady_time shed_at{};    ///< Last shed request that lowered the concurrency limit.
	std::uint64_t served = 0;
};
using backend_ptr = std::shared_ptr<gate_backend>;

/// A slot of one backend server. Must be returned by gate::release().
struct ticket
{
	backend_ptr backend;
	steady_time started{};
};

/// Outcome of an exchange, from which the gate decides whether the slot is free.
enum class exchange_status
{
	completed,     ///< The whole response was read; the slot is free.
	shed,          ///< The backend server refused to run it; the slot is free.
	never_sent,    ///< No request byte was sent; the slot is free.
	may_still_run, ///< The request may still run: the slot stays taken until gate::confirm().
};

/// Request for a slot.
struct admission
{
	std::string service;
	int priority = 5;          ///< 0 (lowest) to 9.
	steady_time queue_until{}; ///< Time at which the request leaves the queue without a slot.
};

/// Entry in the queue. It is either granted a slot or removed from the queue, exactly once.
struct waiter
{
	admission request;
	std::optional<ticket> granted;
	bool removed = false;
	std::function<void()> wake; ///< Called once when granted, evicted or timed out; must not call the gate.
};
using waiter_ptr = std::shared_ptr<waiter>;

/// Slots of one service at one entry VM.
struct service_headroom
{
	int usable = 0;  ///< Slots that may be used now.
	int running = 0; ///< Slots in use, or counted as in use.
	int queued = 0;
	int cold = 0;  ///< Number of cold backend servers.
	int slots = 0; ///< Slots of all assigned backend servers, drained or not.
	/// @returns Slots that are free now.
	int free() const
	{
		return std::max(0, usable - running);
	}
};

/// Admission control of one entry VM. Thread-safe.
class gate : public service_base
{
public:
	explicit gate(const std::string& _chooser);
	const char* name() const override
	{
		return "gate";
	}

	/// Replaces the set of backend servers; counts of running requests are kept.
	/// @param[in] _max_share Share of all slots of a service that may be used here.
	void update(const std::vector<backend_grant>& _grants, double _max_share, steady_time _now);
	/// Admits a request, queues it, or refuses it.
	/// @param[in] _wake Called once when a queued request is granted a slot, evicted or timed out.
	/// @returns A ticket, or the entry in the queue, or the reason of the refusal.
	std::variant<ticket, waiter_ptr, reason> admit(
	    const admission& _request, std::function<void()> _wake, steady_time _now);
	/// Removes a request from the queue.
	/// @returns The ticket, if one was granted in the meantime.
	std::optional<ticket> leave_queue(const waiter_ptr& _waiter);
	/// Releases a ticket and updates limits and latency from the outcome.
	void release(const ticket& _ticket, exchange_status _end, steady_time _now);
	/// Frees a slot that was released as exchange_status::may_still_run, because the backend server confirmed
	/// that the request no longer runs, or its deadline passed.
	void confirm(const ticket& _ticket, steady_time _now);
	/// Stores a load report of a backend server.
	/// @param[in] _load Share of its slots in use; clamped to 0 to 1.
	void report(const std::string& _backend, double _load, bool _cold, steady_time _now);
	/// Serves the queues from slots that became usable by the passing of time. Called every
	/// k_control_tick_interval.
	void tick(steady_time _now);

	/// @returns Estimated wait of a request that joins the queue now, from the mean latency.
	std::chrono::microseconds expected_wait(const std::string& _service, steady_time _now) const;
	/// @returns Headroom of each service that has a backend server here.
	std::map<std::string, service_headroom> headroom(steady_time _now) const;
	/// @returns Number of requests that run or may still run on a backend server.
	int running(const std::string& _backend) const;
	/// @returns Copies of the states of all backend servers.
	std::vector<gate_backend> states() const;
	/// Suspends or resumes all admissions. Used after a pause of the process, until ownership is confirmed
	/// again.
	void hold(bool _on_hold);

private:
	struct pool
	{
		std::vector<backend_ptr> backends;
		std::list<waiter_ptr> queue; ///< Ordered by priority, highest first, then by arrival.
	};
	int usable(const gate_backend& _backend, steady_time _now) const;
	service_headroom headroom_of(const pool& _pool, steady_time _now) const;
	std::optional<ticket> take_slot(pool& _pool, steady_time _now);
	void serve_queue(pool& _pool, steady_time _now);
	static double mean_latency(const pool& _pool);
	static bool enqueue(pool& _pool, const waiter_ptr& _waiter, int _limit);

	mutable std::mutex m_mutex;
	std::unique_ptr<chooser_base> m_chooser;
	std::map<std::string, pool> m_pools;
	std::map<std::string, backend_ptr> m_by_name;
	double m_max_share = 1.0;
	bool m_on_hold = false;
};
} // namespace larkrack
