// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Forwarder: all requests that are on their way, and what they share.
///
/// Owns the requests, the queues of those that wait, and the state of each service. It gives the decisions of
/// src/steering their figures at each tick, and logs what they changed. Relies on backend_registry for the
/// backend servers, on the fleet view for the other nodes, and on entry_node to call tick() and pump().
#pragma once

#include "entry_node/backend_limits_p.h"
#include "entry_node/backend_words_p.h"
#include "entry_node/crash_guard_p.h"
#include "entry_node/customer_quotas_p.h"
#include "entry_node/entry_log_p.h"
#include "entry_node/rollouts_p.h"
#include "entry_node/upstream_p.h"
#include "steering/fleet_view_p.h"
#include "steering/loop_gap_p.h"
#include "steering/service_split_p.h"
#include "steering/service_steering_p.h"
#include "steering/slot_queue_p.h"

#include "base/metrics_p.h"

#include "larkrack/outcome.h"

#include <map>
#include <random>

namespace larkrack
{
/// Counters for the metrics page and tests.
struct forwarder_counters
{
	std::uint64_t requests = 0;
	std::uint64_t attempts = 0;
	std::uint64_t retries_denied = 0;
	std::uint64_t left = 0;
	std::uint64_t queued = 0;
};

class forwarded_request;
using request_ptr = std::shared_ptr<forwarded_request>;

/// One service: the state of its decisions, and who waits for a slot.
struct forwarded_service
{
	service_steering steering;
	slot_queue<request_ptr> waiting;
};

/// What the requests of a node share. The forwarder owns it.
struct request_context
{
	asio::io_context& io;
	const clock_base& clock;
	header_names names;
	region_name region; ///< Of this node.
	domain_name domain; ///< Of this node.
	backend_registry& backends;
	const fleet_view_base& fleet;
	quota_gate_base& quotas;
	rollout_gate_base& rollouts;
	limit_gate_base& limits;
	crash_gate_base& crashes;
	answer_listener_base& words;
	entry_log& log;
	metrics& exported;
	std::minstd_rand random;
	std::shared_ptr<const routing_table> routes; ///< In force for new requests; null: none yet.
	region_distances distances;
	forwarder_counters counters;
	loop_gap gap;
	bool stopping = false; ///< New requests are refused.
};

/// What a request asks of its owner.
class request_owner_base
{
public:
	virtual ~request_owner_base() = default;
	/// @returns State of a service; made when it is first asked for.
	virtual forwarded_service& service_of(const service_name& _service) = 0;
	/// @returns How the requests of a route are divided among its services.
	virtual service_split& split_of(const route& _route) = 0;
	/// Lets waiting requests try again.
	virtual void pump() = 0;
	/// Drops a request that has ended.
	virtual void forget(const request_ptr& _request) = 0;
};

/// Owner of all requests that are on their way.
class forwarder : private request_owner_base
{
public:
	forwarder(asio::io_context& _context, const clock_base& _clock, header_names _names,
	    const placement& _placement, shared_bounds _bounds, backend_registry& _backends,
	    const fleet_view_base& _fleet, quota_gate_base& _quotas, rollout_gate_base& _rollouts,
	    limit_gate_base& _limits, crash_gate_base& _crashes, entry_log& _log, metrics& _metrics);
	~forwarder() override;

	/// Takes a request of a caller.
	void handle(const std::shared_ptr<caller_session>& _session, caller_request&& _request);
	/// @returns The status with which a request is refused before its body is read: it has no key of a
	/// customer. What else may refuse it is found when it was read.
	std::optional<http::status> refuse_unread(const caller_request& _request);
	/// Puts a configuration in force for requests that come from now on. Older ones are passed over.
	void set_routes(std::shared_ptr<const routing_table> _routes);
	/// From now on takes no request any more; those that are on their way go on.
	void begin_stop()
	{
		m_context.stopping = true;
	}
	/// Lets waiting requests try again; call it when backend servers came or changed.
	void pump() override;
	/// Works out shares and rates anew; call it at a steady interval.
	void tick();
	/// @returns First tries of callers at this node.
	rate_by_service requests_per_s() const;
	/// @returns Requests with an affinity key that this node sends to each region, and apart those that may
	/// run in one region only.
	rate_by_service_and_region sent_per_s() const;
	/// @returns What backend servers said beside their answers.
	const backend_words& words() const
	{
		return m_words;
	}
	const forwarder_counters& counters() const
	{
		return m_context.counters;
	}
	const std::shared_ptr<const routing_table>& routes() const
	{
		return m_context.routes;
	}
	/// @returns Requests whose answer is due.
	std::size_t in_flight() const
	{
		return m_requests.size();
	}

private:
	forwarded_service& service_of(const service_name& _service) override;
	service_split& split_of(const route& _route) override
	{
		return m_splits[_route.name];
	}
	void forget(const request_ptr& _request) override
	{
		m_requests.erase(_request);
	}
	void update(const service_name& _name, service_steering& _steering, steady_time _now);

	backend_words m_words;
	request_context m_context;
	shared_bounds m_bounds;
	std::map<service_name, forwarded_service> m_services;
	std::map<std::string, service_split> m_splits; ///< By route.
	std::unordered_set<request_ptr> m_requests;
	steady_time m_ticked_at{};
	steady_time m_planned_at{}; ///< When shares were planned last.
};
} // namespace larkrack
