// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Forwarder: all requests in flight, and the state that they share.
///
/// Owns the requests, and the admission and the steering state of each service. Feeds the
/// decisions of src/steering with current figures at each tick, and logs changes of shares. Relies on
/// backend_registry for the backend servers, on the fleet view for the other nodes, and on entry_node to call
/// tick() and retry_waiting_requests().
#pragma once

#include "entry_node/admission_factory_p.h"
#include "entry_node/backend_limits_p.h"
#include "entry_node/backend_words_p.h"
#include "entry_node/crash_guard_p.h"
#include "entry_node/customer_quotas_p.h"
#include "entry_node/entry_log_p.h"
#include "entry_node/exchange_maker_p.h"
#include "entry_node/rollouts_p.h"
#include "steering/fleet_view_p.h"
#include "steering/load_level_log_p.h"
#include "steering/loop_gap_p.h"
#include "steering/planned_stop_p.h"
#include "steering/service_split_p.h"
#include "steering/service_steering_p.h"

#include "base/metrics_p.h"

#include "larkrack/outcome.h"

#include <map>
#include <random>
#include <unordered_map>

namespace larkrack
{
/// Counters since the start, for the metrics page and tests.
struct forwarder_counters
{
	std::uint64_t requests = 0;
	std::uint64_t attempts = 0;       ///< Attempts at backend servers, retries included.
	std::uint64_t retries_denied = 0; ///< Retries that the retry budget did not cover.
	std::uint64_t disconnected = 0;   ///< Callers that disconnected before their response.
	std::uint64_t queued = 0;         ///< Waits of requests for a slot.
	std::uint64_t cold_runs = 0;      ///< Attempts at backend servers that are not the key's own.
	std::uint64_t late_answers = 0;   ///< Responses of backend servers after the objective.
};

class forwarded_request;
using request_ptr = std::shared_ptr<forwarded_request>;

/// Steering state of one service, and the admission of its requests.
struct forwarded_service
{
	service_steering steering;
	std::unique_ptr<admission_base> admission;
	load_level_log levels{};
};

/// State shared by all requests of a node. Owned by the forwarder.
struct request_context
{
	asio::io_context& io;
	const clock_base& clock;
	header_names names;
	region_name region; ///< Region of this node.
	domain_name domain; ///< Failure domain of this node.
	backend_registry& backends;
	const fleet_view_base& fleet;
	quota_admission_base& quotas;
	rollout_routing_base& rollouts;
	limit_admission_base& limits;
	crash_admission_base& crashes;
	exchange_maker_base& exchanges;
	backend_report_listener_base& reports;
	entry_log& log;
	metrics& exported_metrics;
	std::minstd_rand random;
	std::shared_ptr<const routing_table> routes; ///< Configuration for new requests; null: none yet.
	region_distances distances;
	forwarder_counters counters;
	loop_stall_detector gap;         ///< Corrects arrival times after the event loop stalled.
	std::optional<stop_course> stop; ///< Course of the planned stop; nothing: the node runs.
};

/// Interface of a request to its owner.
class request_owner_base
{
public:
	virtual ~request_owner_base() = default;
	/// @returns State of a service, created on first use.
	virtual forwarded_service& service_entry(const service_name& _service) = 0;
	/// @returns State that divides the requests of a route among its services.
	virtual service_split& split_for(const route& _route) = 0;
	/// @returns Times of a route's requests that have ended, created on first use.
	virtual route_times& times_of(const route& _route) = 0;
	/// @returns Whether the node, if it is stopping, takes a request of a route.
	virtual bool takes(const route& _route, steady_time::duration _until_deadline) const = 0;
	/// Tries to send queued requests again.
	virtual void retry_waiting_requests() = 0;
	/// Removes a request that has ended.
	virtual void remove(request_number _number) = 0;
};

/// Owns all requests in flight.
class forwarder : private request_owner_base
{
public:
	forwarder(asio::io_context& _context, const clock_base& _clock, header_names _names,
	    const placement& _placement, shared_bounds _bounds, admission_factory _make_admission,
	    backend_registry& _backends, const fleet_view_base& _fleet, quota_admission_base& _quotas,
	    rollout_routing_base& _rollouts, limit_admission_base& _limits, crash_admission_base& _crashes,
	    exchange_maker_base& _exchanges, entry_log& _log, metrics& _metrics);
	~forwarder() override;

	/// Accepts a request of a caller.
	void handle(const std::shared_ptr<caller_session>& _session, caller_request&& _request);
	/// Checks a request before its body is read. Only the customer's key is checked; all other reasons for a
	/// refusal are checked once the request was read.
	/// @returns The status to refuse the request with, or nothing.
	std::optional<http::status> check_before_body(const caller_request& _request);
	/// Logs a request that its session refused before it was read whole, and records the promise.
	void on_unread_refusal(const unread_refusal& _refusal);
	/// @returns Time that the body of a request may take: nobody waits for the answer after its deadline.
	std::chrono::milliseconds body_time_limit(const caller_request& _request) const;
	/// Applies a configuration to requests that arrive from now on. A version that is not newer than the
	/// current one is ignored.
	void set_routes(std::shared_ptr<const routing_table> _routes);
	/// Sets the rule of choice of services that are used from now on; call it before the first request.
	void set_backend_choice(backend_choice_setting _setting)
	{
		m_backend_choice = _setting;
	}
	/// Sets the start of this node; until a window has passed since, retries leave room for those of a life
	/// before. By default there was none.
	void set_started_at(steady_time _at)
	{
		m_started_at = _at;
	}
	/// Refuses new requests from now on; requests in flight continue.
	void begin_stop(const stop_course& _course = {})
	{
		m_context.stop = _course;
	}
	/// Refuses all requests that wait for something other than an answer.
	void refuse_waiting();
	/// Tries to send queued requests again; call it when backend servers were added or changed.
	void retry_waiting_requests() override;
	/// Ends direct exchanges with the backend servers of a failure domain whose path is broken, so that their
	/// requests are sent another way if they may be. A node that stops ends none.
	void abandon_exchanges(const domain_name& _domain);
	/// Updates rates, and at longer intervals the shares of regions; call it at a steady interval.
	void tick();
	/// @returns Arriving requests of callers at this node, without retries.
	rate_by_service requests_per_s() const;
	/// @returns Requests per second with an affinity key that this node sends to each region. Requests that
	/// may run in one region only are included, and also listed apart under the name of pinned_requests_of().
	rate_by_service_and_region sent_per_s() const;
	/// @returns Reports of backend servers about themselves.
	const backend_reports& reports() const
	{
		return m_reports;
	}
	/// @returns Counts of the retry budget of each service over its last window.
	std::map<service_name, retry_counts> retry_windows() const;
	/// @returns Load level of each service and region that ever had one.
	rate_by_service_and_region load_levels() const;
	/// @returns Receiver of the reports of backend servers, also for exchanges that others start.
	backend_report_listener_base& report_listener()
	{
		return m_reports;
	}
	const forwarder_counters& counters() const
	{
		return m_context.counters;
	}
	const std::shared_ptr<const routing_table>& routes() const
	{
		return m_context.routes;
	}
	/// @returns Requests that have no response yet.
	std::size_t in_flight() const
	{
		return m_requests.size();
	}

private:
	forwarded_service& service_entry(const service_name& _service) override;
	service_split& split_for(const route& _route) override
	{
		return m_splits[_route.name];
	}
	route_times& times_of(const route& _route) override
	{
		return m_times[_route.name];
	}
	bool takes(const route& _route, steady_time::duration _until_deadline) const override;
	/// @returns What is known of the times of a route's requests, running ones included.
	route_time_estimate estimate_times_of(const route& _route, steady_time _now) const;
	void remove(request_number _number) override
	{
		m_requests.erase(_number.value);
	}
	/// @returns The request of a service that is tried first; null when none waits.
	request_ptr first_waiting(const forwarded_service& _service) const;
	void update(const service_name& _name, service_steering& _steering, steady_time _now);
	/// @returns Part of the slack of each retry budget that this node may use, 0 to 1.
	double retry_slack_part(steady_time _now) const;
	/// @returns Weight of a group in fair shares: the limit of the customer, requests per second; 1 without.
	double weight_of(group_id _group) const;
	/// Tells the admission of a service its current conditions, if it uses them.
	void update_admission(const service_name& _name, forwarded_service& _service, steady_time _now);

	backend_reports m_reports;
	request_context m_context;
	shared_bounds m_bounds;
	admission_factory m_make_admission;
	backend_choice_setting m_backend_choice = backend_choice_setting::reported;
	std::map<service_name, forwarded_service> m_services;
	std::map<std::string, service_split> m_splits;             ///< Key: name of the route.
	std::unordered_map<std::string, route_times> m_times;      ///< Key: name of the route.
	std::unordered_map<std::uint64_t, request_ptr> m_requests; ///< By request_number.
	request_number m_last_number;
	steady_time m_started_at{}; ///< Start of this node; epoch: no life before it.
	steady_time m_last_tick{};
	steady_time m_last_plan{}; ///< Last update of the shares of regions.
};
} // namespace larkrack
