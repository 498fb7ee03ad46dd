// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Regression test: a backend server reports the maximum request rate that it accepts from all nodes
/// together, in responses that all nodes have forwarded.
///
/// The failure: eight seconds into a day two backend servers of an account service reported limits of 2.9 and
/// 5 requests per second. Four seconds later nodes that had forwarded the reports still sent them 51 and 114
/// requests in 4 s, as before; 22 and 35 were allowed. No request was refused and no alert was raised. The
/// cause: nodes ignored the header that reports a limit, and no budget for one backend server was shared by
/// all nodes. The evidence: the request rates did not change when the limits were reported, and in this test
/// 104 requests arrived where 22 are allowed, although all nodes had read the header.

#include "node_group_fixture.h"

namespace larkrack
{
namespace
{
using ms = std::chrono::milliseconds;

constexpr double k_limit_per_s = 2.9;
constexpr ms k_window{4000};
/// Maximum number of requests in a window: one and a half times what the limit allows, and five more.
constexpr double k_allowed = 1.5 * k_limit_per_s * 4.0 + 5.0;
/// Time until all nodes have forwarded a response that reports the limit, and half a second more.
constexpr ms k_until_known{1000};
constexpr ms k_pause{22};
constexpr std::size_t k_affinity_keys = 40; ///< About half of them belong to each backend server.

/// @returns Maximum number of requests that arrived within any window that starts at _from or later.
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
	CPPUNIT_TEST(nine_nodes_that_know_a_limit_send_at_most_what_it_allows);
	CPPUNIT_TEST_SUITE_END();

protected:
	void nine_nodes_that_know_a_limit_send_at_most_what_it_allows()
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
			            std::to_string(sent % k_affinity_keys) + "\r\n\r\n");
			served += 200 == caller.receive().result_int() ? 1 : 0;
			context.run_for(k_pause);
			nodes.at(sent % k_group_nodes).tick();
		}
		CPPUNIT_ASSERT_EQUAL(sent, served); // The other backend server has capacity for all requests.
		const std::size_t most = most_in_window(limited.arrivals, began + k_until_known);
		CPPUNIT_ASSERT_MESSAGE(std::to_string(most), static_cast<double>(most) <= k_allowed);
		CPPUNIT_ASSERT(!limited.arrivals.empty());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_limit_test);
} // namespace larkrack
