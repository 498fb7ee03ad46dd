// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Backend servers that the platform's registry lists, with the state that this node observed of each in its
/// own exchanges.
///
/// Owns the state of each backend server and its idle connections. Relies on state_replica to put and remove
/// entries, on fleet to report how many requests other nodes have in flight, and on upstream to count
/// exchanges.
///
/// An incarnation is one run of a backend server process. A restarted backend server is a new incarnation,
/// with a new state object, under the same or another id.
#pragma once

#include "steering/backend_state_p.h"
#include "steering/lost_backends_p.h"
#include "steering/node_heartbeat_p.h"

#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace larkrack
{
class upstream_connection;

/// Entry of a backend server in the platform's registry.
struct backend_record : backend_registration
{
	boost::asio::ip::tcp::endpoint address;
};

/// One backend server with its address and the connections to it.
class backend_server : public backend_state
{
public:
	using connection_ptr = std::shared_ptr<upstream_connection>;

	/// Adds a connection that no request uses.
	void add_idle(connection_ptr _connection)
	{
		m_idle.push_back(std::move(_connection));
		++idle_connections;
	}
	/// @returns The idle connection that was added last, or null when there is none.
	connection_ptr take_idle();
	/// Removes an idle connection.
	void drop_idle(const connection_ptr& _connection);
	/// Closes all connections that no request uses.
	void close_idle()
	{
		m_idle.clear();
		idle_connections = 0;
	}

	boost::asio::ip::tcp::endpoint address;
	/// Until then the backend server counts as cold after an evacuation, regardless of its registry entry.
	steady_time evacuation_cold_until{};

private:
	std::vector<connection_ptr> m_idle;
};

using backend_ptr = std::shared_ptr<backend_server>;

/// All backend servers that are known.
class backend_registry
{
public:
	/// @param[in] _region_of Region by failure domain.
	explicit backend_registry(std::unordered_map<std::string, std::string> _region_of);
	/// Adds a backend server or updates its registration. A restarted backend server gets a new state object
	/// under the same id; requests in flight complete with the object of the former incarnation.
	void put(const backend_record& _record, steady_time _now);
	/// Removes a backend server. Reported state that is still in force is restored if its entry returns.
	void remove(const backend_id& _id, steady_time _now);
	/// Sends no new requests to a backend server until its next registry entry.
	void stop_new_requests(const backend_id& _id);
	/// Sets the failure domains that get no new requests. When an evacuation ends, the backend servers of
	/// the failure domain may have become cold, and their registry entries say so only after the end of the
	/// evacuation is known. Therefore they count as cold for the duration of a slow start. Without this, 15
	/// requests in one second reached such a backend server, where 14.6 were allowed.
	void set_evacuated(const std::vector<domain_name>& _domains, steady_time _now);
	/// Sets the duration of the slow start for the backend servers of each service.
	void set_warmup_times(std::unordered_map<service_name, std::chrono::milliseconds> _times)
	{
		m_warmup_times = std::move(_times);
	}
	/// @returns Backend servers of a service.
	const std::vector<backend_state*>& of_service(const service_name& _service) const;
	/// @returns Backend servers in a failure domain, of all services.
	const std::vector<backend_server*>& of_domain(const domain_name& _domain) const;
	/// @returns Failure domains that have or had backend servers.
	std::vector<domain_name> domains() const;
	/// Replaces the numbers of requests that another node has in flight.
	void set_in_flight_of_node(const node_name& _node, const in_flight_counts& _counts);
	/// Marks a backend server as in use, when a request is sent to it.
	void mark_in_use(backend_server& _backend)
	{
		m_in_use.insert(&_backend);
	}
	/// Visits only the backend servers that are marked as in use, and clears the mark of those without
	/// requests in flight.
	/// @returns Numbers of requests that this node has in flight.
	in_flight_counts own_in_flight();
	/// @returns The backend server, or null when there is none with that id.
	backend_ptr find(const backend_id& _id) const;
	/// @returns All regions, each once.
	const std::vector<region_name>& regions() const
	{
		return m_regions;
	}
	/// @param[in] _hash incarnation_hash() of a backend server.
	/// @returns The backend server, or null when there is none.
	backend_server* find_incarnation(std::uint32_t _hash) const;
	/// @returns Number of backend servers that report a limit; linear in the number of backend servers.
	std::size_t limited() const;
	/// @returns Number of backend servers that announced their shutdown in a response; linear in the number
	/// of backend servers.
	std::size_t reported_leaving() const;
	std::size_t size() const
	{
		return m_by_id.size();
	}

private:
	backend_ptr add_incarnation(const backend_record& _record);
	/// Removes an incarnation of a backend server from all indices except the one by id.
	void remove_incarnation(backend_server& _backend);

	std::unordered_map<std::string, std::string> m_region_of;
	std::vector<region_name> m_regions;
	std::unordered_map<backend_id, backend_ptr> m_by_id;
	std::unordered_map<service_name, std::vector<backend_state*>> m_by_service;
	std::map<domain_name, std::vector<backend_server*>> m_by_domain;
	std::unordered_map<std::uint32_t, backend_server*> m_by_hash;
	std::unordered_map<node_name, in_flight_counts> m_in_flight_of_node;
	/// All backend servers with requests of this node in flight; may hold others too.
	std::unordered_set<backend_server*> m_in_use;
	lost_backends m_lost;
	std::vector<domain_name> m_evacuated;
	std::unordered_map<service_name, std::chrono::milliseconds> m_warmup_times;
};
} // namespace larkrack
