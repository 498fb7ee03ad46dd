// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Routing table: finds the route of a request.
///
/// Inputs: the Host header and the path of the request. Algorithm: among the routes of the host, the longest
/// path prefix wins; the host's port and case and the query are ignored, and a prefix ends at a slash. A
/// lookup tries the prefixes of the path from the longest on, one hash table lookup for each slash, so the
/// cost does not grow with the number of routes.
///
/// Owns one version of the configuration, which is immutable, so a request keeps the version that it started
/// with. Relies on the platform adapter to have validated what operators write.
#pragma once

#include "steering/customer_p.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace larkrack
{
/// Whether a request may run more than once.
enum class repeat_rule
{
	repeatable,
	at_most_once,
};

/// A service that gets a share of a route's requests.
struct route_target
{
	std::string service;
	double weight = 1.0;
};

/// Settings of an operator for the requests under one path prefix of a host.
struct route
{
	std::string name;
	std::string host;
	std::string path_prefix; ///< Begins and ends with a slash.
	repeat_rule repeat = repeat_rule::at_most_once;
	bool large_answers = false;             ///< Answers are so large that the distance they travel matters.
	std::chrono::milliseconds timeout{0};   ///< Maximum time that a request may be held; 0: no limit.
	std::chrono::milliseconds objective{0}; ///< Time within which an answer has its full worth.
	int priority = 0;                       ///< 0 is the highest.
	int max_attempts = 1;  ///< Maximum number of backend servers that one request may be sent to.
	bool needs_key = true; ///< Requests need the API key of a customer, if customers are configured.
	bool sticky = false;   ///< Requests with the same affinity key prefer the same backend server.
	std::vector<std::string> home_regions; ///< Empty: any region may serve.
	std::vector<route_target> targets;     ///< At least one.
};

/// Settings of an operator for a service.
struct routed_service
{
	std::string name;
	int max_connections = 0; ///< Maximum connections of all callers to one backend server; 0: no limit.
	double warmup_requests_per_s = 0.0;       ///< Request rate that a cold backend server bears; 0: no limit.
	std::chrono::milliseconds warmup_time{0}; ///< How long a backend server stays cold after it turns cold.
};

/// Limits on the size of a caller's requests, and on their time. The default values apply to limits that a
/// configuration leaves out.
struct caller_limits
{
	std::uint32_t header_bytes = 16U * 1024U;
	std::uint64_t body_bytes = 8ULL * 1024 * 1024;
	std::chrono::milliseconds header_timeout{10000};
	std::chrono::milliseconds idle_timeout{15000};
};

/// One version of the configuration. Immutable once built.
class routing_table
{
public:
	/// @param[in] _version Version of the configuration; a later one has a higher version.
	routing_table(std::uint64_t _version, std::vector<route> _routes, std::vector<routed_service> _services,
	    const caller_limits& _limits, customer_directory _customers = {});

	/// Finds the route with the longest prefix of the path.
	/// @param[in] _host Value of the Host header; its port and case are ignored.
	/// @param[in] _target Path, with or without a query.
	/// @returns Null when no route matches.
	const route* find(std::string_view _host, std::string_view _target) const;
	/// @returns Null when there is no such service.
	const routed_service* find_service(const std::string& _name) const;
	/// @returns Duration of the slow start of each service's backend servers.
	std::unordered_map<service_name, std::chrono::milliseconds> warmup_times() const;
	/// @returns Home regions of all routes of a host; empty when no route has any.
	std::vector<std::string> home_regions(std::string_view _host) const;

	std::uint64_t version() const
	{
		return m_version;
	}
	const customer_directory& customers() const
	{
		return m_customers;
	}
	const caller_limits& limits() const
	{
		return m_limits;
	}
	const std::vector<route>& routes() const
	{
		return m_routes;
	}

private:
	std::uint64_t m_version;
	std::vector<route> m_routes;
	std::vector<routed_service> m_services;
	caller_limits m_limits;
	customer_directory m_customers;
	/// Index into m_routes by host and prefix.
	std::unordered_map<std::string, std::size_t> m_by_prefix;
};
} // namespace larkrack
