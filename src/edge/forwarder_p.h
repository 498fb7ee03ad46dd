// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Carries requests of callers to backend servers: route, admission, attempts, final answer.
#pragma once

#include "backend_selector_p.h"
#include "edge_log_p.h"
#include "key_shares_p.h"
#include "region_distances_p.h"
#include "region_shares_p.h"
#include "retry_budget_p.h"
#include "upstream_p.h"

#include "../metrics_p.h"

#include "larkrack/outcome.h"

#include <list>
#include <map>
#include <random>

namespace larkrack
{
/// Bounds that hold over all nodes.
struct shared_bounds
{
	retry_limits retries;
	/// Part of a region's requests that may change their region from one window to the next.
	double max_shift = 0.15;
	std::chrono::milliseconds shift_window{2000};
};

/// Where a node stands.
struct placement
{
	std::string node;
	std::string domain;
	std::string region;
};

/// What this node measures of one service.
struct service_demand
{
	double requests_per_s = 0.0; ///< First tries of callers at this node.
	double service_time_s = 0.0; ///< Mean time of an exchange.
};
using demand_by_service = std::map<std::string, service_demand>;

/// Requests a second that a node sends to each region.
using rate_by_region = std::map<std::string, double>;

/// What the forwarder asks of the fleet of nodes.
class fleet_view_base : public warmup_sharing_base
{
public:
	/// @returns Nodes that draw from shared budgets.
	virtual sharing sharers() const = 0;
	/// @returns Requests a second for a service, by region of the nodes that took them; this node left out.
	virtual std::map<std::string, double> demand_of_others(const std::string& _service) const = 0;
	/// @returns This node's part of the slots of a service's backend servers in a region, by what each node
	/// sends there.
	virtual slot_portion portion(const std::string& _service, const std::string& _region) const = 0;
};

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

/// Owner of all requests that are on their way.
class forwarder
{
public:
	forwarder(asio::io_context& _context, const clock_base& _clock, header_names _names, placement _placement,
	    shared_bounds _bounds, backend_registry& _backends, const fleet_view_base& _fleet, edge_log& _log,
	    metrics& _metrics);
	~forwarder();

	/// Takes a request of a caller.
	void handle(const std::shared_ptr<caller_session>& _session, caller_request&& _request);
	/// Puts a configuration in force for requests that come from now on. Older ones are passed over.
	void set_routes(std::shared_ptr<const routing_table> _routes);
	/// From now on takes no request any more; those that are on their way go on.
	void begin_stop()
	{
		m_stopping = true;
	}
	/// Lets waiting requests try again; call it when backend servers came or changed.
	void pump();
	/// Works out shares and rates anew; call it at a steady interval.
	void tick();
	/// @returns Rates for the other nodes.
	demand_by_service demand() const;
	/// @returns Requests a second that this node sends to each region, by service.
	std::map<std::string, rate_by_region> sent_per_s() const;
	const forwarder_counters& counters() const
	{
		return m_counters;
	}
	const std::shared_ptr<const routing_table>& routes() const
	{
		return m_routes;
	}
	/// @returns Requests whose answer is due.
	std::size_t in_flight() const
	{
		return m_requests.size();
	}

private:
	friend class forwarded_request;
	/// State of one service.
	struct service_state
	{
		service_state(const std::string& _home, const shared_bounds& _bounds);
		region_shares shares;       ///< Of requests without an affinity key, and of large answers.
		region_shares keyed_shares; ///< Of the others.
		retry_budget retries;
		std::map<int, std::list<std::shared_ptr<forwarded_request>>> waiting; ///< By priority.
		std::map<std::string, slot_portion> portions;                         ///< By region.
		key_shares keys;
		token_bucket overflow; ///< Requests that may leave their planned region.
		int arrivals = 0;      ///< Since the last tick.
		double requests_per_s = 0.0;
		double service_time_s = 0.0;
		double last_capacity = 0.0;   ///< Of this region, in slots.
		double told_home_share = 1.0; ///< What the log says of the part that stays in this region.
	};
	service_state& state_of(const std::string& _service);
	/// @returns Demand and capacity of each region, in slots.
	figures_by_region figures_of(
	    const std::string& _service, const service_state& _state, steady_time _now) const;
	void update_shares(const std::string& _service, service_state& _state, steady_time _now);
	void update_keyed_shares(const std::string& _service, service_state& _state, steady_time _now);
	void log_shares(const std::string& _service, service_state& _state, const figures_by_region& _figures);
	/// @returns Whether one more request may leave its planned region; it is then counted.
	bool may_overflow(service_state& _state);
	void pump_service(service_state& _state);

	asio::io_context& m_context;
	const clock_base& m_clock;
	header_names m_names;
	placement m_placement;
	shared_bounds m_bounds;
	backend_registry& m_backends;
	const fleet_view_base& m_fleet;
	edge_log& m_log;
	metrics& m_metrics;
	backend_selector m_selector;
	std::shared_ptr<const routing_table> m_routes;
	std::map<std::string, service_state> m_services;
	std::map<std::string, smooth_rotation> m_splits; ///< By route.
	region_distances m_distances;
	std::unordered_set<std::shared_ptr<forwarded_request>> m_requests;
	forwarder_counters m_counters;
	steady_time m_ticked_at{};
	bool m_stopping = false;
	std::minstd_rand m_random;
};
} // namespace larkrack
