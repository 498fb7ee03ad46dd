// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Backend servers that turn requests away and ask the node for rest, and nine nodes whose callers go on.

#include "node_group_fixture.h"

namespace larkrack
{
namespace
{
using ms = std::chrono::milliseconds;

constexpr ms k_rest{1500};     ///< That the resting backend servers ask for, beside each answer.
constexpr ms k_under_way{500}; ///< Requests that come so soon after the word were on their way.
constexpr std::size_t k_allowed{
    2}; ///< Requests of one node to one backend server in what is left of the rest.
constexpr ms k_pause{4};
constexpr ms k_played{4000};
constexpr std::size_t k_objects = 47; ///< Each belongs to one backend server.
constexpr std::size_t k_servers = 6;
constexpr std::size_t k_resting = 2; ///< Of them.

/// @returns When requests of one node reached a backend server.
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

/// @returns The most requests that came within the rest which any of them had been answered with.
std::size_t most_in_rest(const std::vector<steady_time>& _arrivals)
{
	std::size_t most = 0;
	for (const steady_time answered : _arrivals)
	{
		const auto first = std::upper_bound(_arrivals.begin(), _arrivals.end(), answered + k_under_way);
		const auto last = std::upper_bound(_arrivals.begin(), _arrivals.end(), answered + k_rest);
		most = std::max(most, static_cast<std::size_t>(last - first));
	}
	return most;
}
} // namespace

class resting_backend_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(resting_backend_test);
	CPPUNIT_TEST(backend_server_that_asks_a_node_for_rest_gets_two_requests_of_it_at_most);
	CPPUNIT_TEST_SUITE_END();

protected:
	/// Guards against a word of a backend server beside an answer that no part of a node takes up.
	void backend_server_that_asks_a_node_for_rest_gets_two_requests_of_it_at_most()
	{
		asio::io_context context(1);
		const clock_system clock;
		std::deque<scripted_backend> servers;
		std::vector<backend_record> records;
		for (std::size_t i = 0; i < k_servers; ++i)
		{
			scripted_backend& server = servers.emplace_back(context);
			records.push_back(record_of("b" + std::to_string(i), server));
			if (i < k_resting)
			{
				server.usual.bytes =
				    scripted_backend::answer("", 503, "Larkrack-Shed: 1\r\nRetry-After: 1.5\r\n");
			}
		}
		node_group nodes(context, clock, records);
		std::deque<raw_caller> callers;
		const steady_time until = clock.steady() + k_played;
		for (std::size_t sent = 0; clock.steady() < until; ++sent)
		{
			const std::size_t node = sent % k_group_nodes;
			callers.emplace_back(context, nodes.at(node).address());
			callers.back().send("GET /read/" + name_of(node) + "/" + std::to_string(sent) +
			                    " HTTP/1.1\r\nHost: shop.example\r\nLarkrack-Request-Id: r" +
			                    std::to_string(sent) +
			                    "\r\nLarkrack-Deadline-Ms: 1500\r\nCookie: Larkrack-Affinity=" +
			                    std::to_string(sent % k_objects) + "\r\n\r\n");
			context.run_for(k_pause);
			nodes.at(node).tick();
		}
		std::size_t most = 0;
		for (std::size_t i = 0; i < k_resting; ++i)
		{
			CPPUNIT_ASSERT(!servers[i].requests.empty());
			for (std::size_t node = 0; node < k_group_nodes; ++node)
			{
				most = std::max(most, most_in_rest(arrivals_from(servers[i], node)));
			}
		}
		CPPUNIT_ASSERT_MESSAGE(
		    std::to_string(most) + " requests of a node while a backend server rested", most <= k_allowed);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(resting_backend_test);
} // namespace larkrack
