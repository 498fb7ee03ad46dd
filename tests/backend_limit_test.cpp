// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// A backend server that names how many requests a second it takes from all nodes together, and the nodes
/// that have passed its answers on.
///
/// The incident: eight seconds into a day two backend servers of an account service named limits of 2.9 and 5
/// a second. Four seconds later they were still sent 51 and 114 requests in 4 s, as before, by nodes that had
/// passed their answers on; 22 and 35 were allowed. No node refused anything, and no alert rose. The cause:
/// nodes passed over the header in which a limit is named, and no budget held over nodes for one backend
/// server. Proved by the rates, which did not move when the limits were named, and by this test, in which 104
/// came where 22 are allowed, although all nodes had read the header.

#include "node_group_fixture.h"

namespace larkrack
{
namespace
{
using ms = std::chrono::milliseconds;

constexpr double k_named_per_s = 2.9;
constexpr ms k_window{4000};
/// What a window may hold: one and a half times what the limit allows, and five requests.
constexpr double k_allowed = 1.5 * k_named_per_s * 4.0 + 5.0;
/// Until all nodes have passed on an answer that names the limit, and half a second more.
constexpr ms k_until_known{1000};
constexpr ms k_pause{22};
constexpr std::size_t k_objects = 40; ///< Of which about half belong to each backend server.

/// @returns The most requests that came within any window, from a moment on.
std::size_t most_in_window(const std::vector<steady_time>& _arrivals, steady_time _from)
{
	std::size_t most = 0;
	for (auto begin = _arrivals.begin(); begin != _arrivals.end(); ++begin)
	{
		const auto end = std::upper_bound(begin, _arrivals.end(), *begin + k_window);
		most = *begin < _from ? most : std::max(most, static_cast<std::size_t>(end - begin));
	}
	return most;
}
} // namespace

class backend_limit_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(backend_limit_test);
	CPPUNIT_TEST(nine_nodes_that_know_a_limit_send_no_more_than_it_allows);
	CPPUNIT_TEST_SUITE_END();

protected:
	void nine_nodes_that_know_a_limit_send_no_more_than_it_allows()
	{
		asio::io_context context(1);
		const clock_system clock;
		scripted_backend limited(context);
		scripted_backend other(context);
		limited.usual.bytes = scripted_backend::answer("fine", 200, "Larkrack-Limit: 2.9\r\n");
		const std::vector<backend_record> records{record_of("limited", limited), record_of("other", other)};
		node_group nodes(context, clock, records);
		std::vector<raw_caller> callers;
		for (std::size_t i = 0; i < k_group_nodes; ++i)
		{
			callers.emplace_back(context, nodes.at(i).address());
		}
		const steady_time began = clock.steady();
		std::size_t served = 0;
		std::size_t sent = 0;
		for (; clock.steady() - began < k_until_known + k_window + ms(1000); ++sent)
		{
			raw_caller& caller = callers[sent % k_group_nodes];
			caller.send("GET /read/ HTTP/1.1\r\nHost: shop.example\r\nLarkrack-Request-Id: r" +
			            std::to_string(sent) +
			            "\r\nLarkrack-Deadline-Ms: 1500\r\nCookie: Larkrack-Affinity=" +
			            std::to_string(sent % k_objects) + "\r\n\r\n");
			served += 200 == caller.receive().result_int() ? 1 : 0;
			context.run_for(k_pause);
			nodes.at(sent % k_group_nodes).tick();
		}
		CPPUNIT_ASSERT_EQUAL(sent, served); // The other backend server has room for all.
		const std::size_t most = most_in_window(limited.arrivals, began + k_until_known);
		CPPUNIT_ASSERT_MESSAGE(std::to_string(most), static_cast<double>(most) <= k_allowed);
		CPPUNIT_ASSERT(!limited.arrivals.empty());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_limit_test);
} // namespace larkrack
