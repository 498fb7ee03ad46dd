// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Backend servers that shed requests and ask for a pause (Retry-After), and nine nodes whose callers keep
/// sending.

#include "node_group_fixture.h"

namespace larkrack
{
namespace
{
using ms = std::chrono::milliseconds;

constexpr ms k_requested_pause{1500}; ///< Retry-After in each response of the pausing backend servers.
constexpr ms k_in_transit{500};       ///< Requests this soon after such a response were already in transit.
/// Maximum requests of one node to one backend server in the remaining time of a pause.
constexpr std::size_t k_max_requests{2};
constexpr ms k_request_interval{4};
constexpr ms k_test_duration{4000};
constexpr std::size_t k_affinity_keys = 47; ///< Each key belongs to one backend server.
constexpr std::size_t k_servers = 6;
constexpr std::size_t k_pausing_servers = 2; ///< The first of k_servers.

/// @returns Arrival times of the requests of one node at a backend server.
std::vector<steady_time> arrivals_from(const scripted_backend& _backend, std::size_t _node)
{
	std::vector<steady_time> times;
	for (std::size_t i = 0; i < _backend.requests.size(); ++i)
	{
		if (std::string::npos != _backend.requests[i].find("/read/" + name_of(_node) + "/"))
		{
			times.push_back(_backend.arrivals[i]);
		}
	}
	return times;
}

/// @returns The maximum number of requests that arrived within the pause that one of them was answered with.
std::size_t max_requests_in_pause(const std::vector<steady_time>& _arrivals)
{
	std::size_t most = 0;
	for (const steady_time answered : _arrivals)
	{
		const auto first = std::upper_bound(_arrivals.begin(), _arrivals.end(), answered + k_in_transit);
		const auto last = std::upper_bound(_arrivals.begin(), _arrivals.end(), answered + k_requested_pause);
		most = std::max(most, static_cast<std::size_t>(last - first));
	}
	return most;
}
} // namespace

class resting_backend_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(resting_backend_test);
	CPPUNIT_TEST(pausing_backend_server_gets_at_most_two_requests_of_a_node);
	CPPUNIT_TEST_SUITE_END();

protected:
	/// Guards against a pause that a backend server asks for in a response and that the node ignores.
	void pausing_backend_server_gets_at_most_two_requests_of_a_node()
	{
		asio::io_context context(1);
		const clock_system clock;
		std::deque<scripted_backend> servers;
		std::vector<backend_record> records;
		for (std::size_t i = 0; i < k_servers; ++i)
		{
			scripted_backend& server = servers.emplace_back(context);
			records.push_back(record_of("b" + std::to_string(i), server));
			if (i < k_pausing_servers)
			{
				server.usual.bytes =
				    scripted_backend::answer("", 503, "Larkrack-Shed: 1\r\nRetry-After: 1.5\r\n");
			}
		}
		node_group nodes(context, clock, records);
		std::deque<raw_caller> callers;
		const steady_time until = clock.steady() + k_test_duration;
		for (std::size_t sent = 0; clock.steady() < until; ++sent)
		{
			const std::size_t node = sent % k_group_nodes;
			callers.emplace_back(context, nodes.at(node).address());
			callers.back().send("GET /read/" + name_of(node) + "/" + std::to_string(sent) +
			                    " HTTP/1.1\r\nHost: shop.example\r\nLarkrack-Request-Id: r" +
			                    std::to_string(sent) +
			                    "\r\nLarkrack-Deadline-Ms: 1500\r\nCookie: Larkrack-Affinity=" +
			                    std::to_string(sent % k_affinity_keys) + "\r\n\r\n");
			context.run_for(k_request_interval);
			nodes.at(node).tick();
		}
		std::size_t most = 0;
		for (std::size_t i = 0; i < k_pausing_servers; ++i)
		{
			CPPUNIT_ASSERT(!servers[i].requests.empty());
			for (std::size_t node = 0; node < k_group_nodes; ++node)
			{
				most = std::max(most, max_requests_in_pause(arrivals_from(servers[i], node)));
			}
		}
		CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " requests of a node while a backend server rested",
		    most <= k_max_requests);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(resting_backend_test);
} // namespace larkrack
