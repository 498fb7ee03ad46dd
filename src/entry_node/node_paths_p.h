// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Paths of this node to the backend servers: observes them, checks those in doubt, asks other nodes about
/// theirs, and tells requests which way to go.
///
/// node_paths.cpp holds what requests ask and how verdicts are applied, node_paths_checks.cpp the checks and
/// the reports to other nodes.
///
/// Owns the checks that are running, the verdicts (steering/path_monitor) and the reports of other nodes
/// (steering/relay_table). Relies on exchanges to report their events, on backend_registry for the backend
/// servers, on the fleet view for the other nodes, on its owner to carry queries, to call tick(), and to act
/// when paths change.
///
/// Messages: none while all paths work. While one is broken, a query to at most k_near_queries +
/// k_far_queries nodes at each k_query_interval.
#pragma once

#include "entry_node/entry_log_p.h"
#include "entry_node/exchange_p.h"
#include "steering/fleet_view_p.h"
#include "steering/path_monitor_p.h"
#include "steering/relay_table_p.h"

#include <functional>
#include <map>
#include <random>

namespace larkrack
{
/// Receives what exchanges over direct connections show of the paths.
class path_listener_base
{
public:
	virtual ~path_listener_base() = default;
	/// @param[in] _until_deadline Time that the request has.
	/// @returns What is passed to the following two.
	virtual path_request on_exchange_start(
	    const backend_server& _backend, const request_kind& _kind, steady_time::duration _until_deadline) = 0;
	virtual void on_exchange_end(const path_request& _request) = 0;
	/// @param[in] _ran Whether the backend server ran the request.
	virtual void on_response(path_request& _request, bool _ran) = 0;
	virtual void on_connected(const backend_server& _backend) = 0;
	virtual void on_connect_failed(const backend_server& _backend) = 0;
};

/// What requests need to know of the paths.
class path_steering_base : public path_listener_base
{
public:
	/// @param[in] _may_try Whether the request may be lost to see whether an unresponsive path works again.
	/// @returns Whether a request to a backend server is sent over this node's own connections.
	virtual bool sends_directly(const backend_server& _backend, bool _may_try) = 0;
	/// @param[in] _homes Regions that the request must stay in; empty: any.
	/// @returns The node that forwards a request to a backend server, or nothing.
	virtual std::optional<relay_candidate> choose_relay(
	    const backend_server& _backend, const std::vector<std::string>& _homes) = 0;
	/// Reports that a relay refused a request or was not reached.
	virtual void on_relay_refused(const std::string& _ip) = 0;
	/// @returns Whether a path is in doubt, so that a request that reached no backend server may soon.
	virtual bool examining() const = 0;
	/// @returns Whether the path to a backend server is broken or in doubt: what fails there says nothing of
	/// the backend server.
	virtual bool in_doubt(const backend_server& _backend) const = 0;
};

/// Tells a crashed backend server from a broken path.
class path_witness_base
{
public:
	using path_handler = std::function<void(bool _works)>;

	virtual ~path_witness_base() = default;
	/// Finds out whether the path to a backend server that refuses connections works, by connections to its
	/// neighbours.
	/// @param[in] _handler Called once, with true also if there is no other backend server.
	virtual void confirm_path(const backend_server& _failed, path_handler _handler) = 0;
};

class path_check;

/// The node's own paths.
class node_paths : public path_steering_base, public path_witness_base
{
public:
	using response_handler = std::function<void(std::optional<std::string> _body)>;
	/// Sends a query to another node. The handler is called once, with nothing if no valid response came.
	using asker = std::function<void(
	    const relay_candidate& _node, const std::string& _body, response_handler _handler)>;
	/// Events that the owner acts on.
	struct callbacks
	{
		std::function<void()> on_change; ///< Requests that wait may be sent now.
		/// Requests in flight over direct connections to a failure domain are not answered any more.
		std::function<void(const domain_name& _domain)> on_lost;
	};

	node_paths(asio::io_context& _context, const clock_base& _clock, backend_registry& _backends,
	    const fleet_view_base& _fleet, region_name _region, entry_log& _log, asker _ask,
	    callbacks _callbacks);
	~node_paths() override;
	node_paths(const node_paths&) = delete;
	node_paths& operator=(const node_paths&) = delete;

	path_request on_exchange_start(const backend_server& _backend, const request_kind& _kind,
	    steady_time::duration _until_deadline) override;
	void on_exchange_end(const path_request& _request) override;
	void on_response(path_request& _request, bool _ran) override;
	void on_connected(const backend_server& _backend) override;
	void on_connect_failed(const backend_server& _backend) override;
	bool sends_directly(const backend_server& _backend, bool _may_try) override;
	std::optional<relay_candidate> choose_relay(
	    const backend_server& _backend, const std::vector<std::string>& _homes) override;
	void on_relay_refused(const std::string& _ip) override;
	bool examining() const override;
	bool in_doubt(const backend_server& _backend) const override;
	void confirm_path(const backend_server& _failed, path_handler _handler) override;

	/// Makes checks and queries that are due, and updates the verdicts.
	void tick();
	/// Prepares this node's report about its paths, and checks those without recent contact first.
	/// @param[in] _domains Failure domains of interest.
	void report(const std::vector<domain_name>& _domains, std::function<void(const path_report&)> _handler);
	/// @returns Region of this node.
	const region_name& region() const
	{
		return m_region;
	}
	/// @returns Number of failure domains whose path is broken.
	std::size_t broken() const
	{
		return m_uses.size();
	}

private:
	/// A check of one failure domain and who waits for its end.
	struct running_check
	{
		std::shared_ptr<path_check> check;
		std::vector<path_handler> waiting;
	};
	/// How a failure domain with a broken path is reached.
	struct path_state
	{
		path_use use = path_use::direct;
		steady_time since{};
		steady_time abandoned_at{}; ///< When requests over direct connections were given up; epoch: not yet.
	};

	void start_due_checks();
	/// @param[in] _without Backend server that is not to be connected to; null: any.
	/// @returns Whether a check is running now.
	bool start_check(const domain_name& _domain, const backend_server* _without);
	std::vector<backend_ptr> controls_of(const domain_name& _domain, const backend_server* _without) const;
	/// Gives requests up that wait for responses over a broken path, if there is another way.
	void abandon_if_lost(const domain_name& _domain, path_state& _state);
	void on_checked(const domain_name& _domain, bool _connected, const std::vector<std::uint32_t>& _failed);
	/// Lets requests wait for a verdict if a failure domain was not in doubt before.
	void begin_examination(const domain_name& _domain);
	void ask_others();
	void on_reported(const relay_candidate& _node, const std::optional<std::string>& _body);
	/// Applies the verdicts to the backend servers, and reports changes.
	void update();
	/// @returns Whether the way to the failure domain has changed.
	bool update_domain(const domain_name& _domain);
	path_use use_of(const domain_name& _domain) const;
	void apply(const domain_name& _domain, path_use _use);
	void log_lost(const domain_name& _domain, path_use _use);
	path_report own_report(const std::vector<domain_name>& _domains) const;

	asio::io_context& m_context;
	const clock_base& m_clock;
	backend_registry& m_backends;
	const fleet_view_base& m_fleet;
	region_name m_region;
	entry_log& m_log;
	asker m_ask;
	callbacks m_callbacks;
	path_monitor m_monitor;
	relay_table m_relays;
	std::minstd_rand m_random;
	std::map<domain_name, running_check> m_checks;
	std::map<domain_name, path_state> m_uses; ///< Failure domains with broken paths.
	steady_time m_examined_until{};           ///< End of the time for which requests wait for a verdict.
	steady_time m_next_query_at{};
	mutable std::size_t m_last_control = 0; ///< Spreads checks over the backend servers.
	std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};
} // namespace larkrack
