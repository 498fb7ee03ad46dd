// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Nodes that lose their paths to all backend servers while callers and the other nodes still reach them.

#include "partition_fixture.h"

#include <iostream>

namespace larkrack
{
namespace
{
constexpr ms k_before_cut{1000};
constexpr ms k_detection{1000}; ///< From the cut until the nodes are to serve as before.
constexpr ms k_judged{2500};    ///< Duration in which served requests are counted.
/// Lowest fraction of the requests at the cut nodes to be served, relative to the fraction at the others.
constexpr double k_min_relative_success = 0.9;

} // namespace

class partition_test : public partition_fixture
{
	CPPUNIT_TEST_SUITE(partition_test);
	CPPUNIT_TEST(node_with_resets_and_refusals_serves_like_the_others);
	CPPUNIT_TEST(node_with_silent_paths_serves_like_the_others);
	CPPUNIT_TEST(node_with_refused_new_connections_serves_like_the_others);
	CPPUNIT_TEST(node_without_responses_serves_like_the_others);
	CPPUNIT_TEST(most_nodes_with_resets_and_refusals_serve_like_the_others);
	CPPUNIT_TEST(cut_nodes_get_no_popular_request_blocked);
	CPPUNIT_TEST(node_that_starts_behind_its_cut_serves_like_the_others);
	CPPUNIT_TEST(node_whose_paths_come_and_go_serves_nearly_like_the_others);
	CPPUNIT_TEST(restored_node_sends_directly_within_a_second);
	CPPUNIT_TEST_SUITE_END();

protected:
	/// Guards against refusals at a node whose connections to all backend servers were reset.
	void node_with_resets_and_refusals_serves_like_the_others()
	{
		expect_service(1, path_cut::resets);
	}
	/// Guards against refusals and hanging requests at a node that loses all packets to backend servers.
	void node_with_silent_paths_serves_like_the_others()
	{
		expect_service(1, path_cut::silence);
	}
	/// Guards against refusals at a node that cannot open new connections to backend servers.
	void node_with_refused_new_connections_serves_like_the_others()
	{
		expect_service(1, path_cut::new_refused);
	}
	/// Guards against hanging requests at a node to which no response of a backend server gets through.
	void node_without_responses_serves_like_the_others()
	{
		expect_service(1, path_cut::response_silence);
	}
	/// Guards against a cut of most nodes that leaves the others refusing, or the cut ones without a relay.
	void most_nodes_with_resets_and_refusals_serve_like_the_others()
	{
		expect_service(k_group_nodes - 2, path_cut::resets);
	}

	/// Guards against a node that has never reached a backend server, and so takes none for sound.
	void node_that_starts_behind_its_cut_serves_like_the_others()
	{
		cut_nodes(1, path_cut::silence);
		run(k_detection, 1);
		expect_counted_service(1);
	}
	/// Guards against verdicts that come too late, or last too long, where a path is cut again and again.
	void node_whose_paths_come_and_go_serves_nearly_like_the_others()
	{
		run(k_before_cut, 1);
		m_cut = {};
		m_others = {};
		for (int i = 0; i < 4; ++i)
		{
			cut_nodes(1, 0 == i % 2 ? path_cut::silence : path_cut::none);
			run(ms(1500), 1);
		}
		settle();
		check_service();
	}
	/// Guards against a cut that reads as crashes of backend servers and blocks a popular request everywhere.
	void cut_nodes_get_no_popular_request_blocked()
	{
		for (scripted_backend& server : m_servers)
		{
			server.usual.hold = true; // Connections break with requests on them.
		}
		m_popular = true;
		run(ms(100), 0);
		cut_nodes(4, path_cut::resets);
		run(ms(300), 4);
		for (scripted_backend& server : m_servers)
		{
			server.usual.hold = false;
		}
		run(ms(500), 4);
		for (std::size_t node = 0; node < k_group_nodes; ++node)
		{
			CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_nodes->at(node).crashes().blocked());
		}
	}

	/// Guards against a node that keeps using relays, or keeps servers ejected, after its paths work again.
	void restored_node_sends_directly_within_a_second()
	{
		cut_nodes(1, path_cut::none);
		run(k_before_cut, 1);
		cut_nodes(1, path_cut::resets);
		run(ms(1500), 1);
		cut_nodes(1, path_cut::none);
		run(ms(1000), 1);
		m_cut = {};
		m_others = {};
		run(ms(1000), 1);
		settle();
		CPPUNIT_ASSERT_EQUAL(m_cut.sent, m_cut.served);
		std::size_t usable = 0;
		int connections = 0;
		for (const backend_state* backend : m_nodes->at(0).registry().of_service(service_name("shop")))
		{
			usable += backend->usable(m_clock.steady()) ? 1 : 0;
			connections += backend->connections;
		}
		CPPUNIT_ASSERT_EQUAL(k_servers, usable);
		CPPUNIT_ASSERT(connections > 0);
	}

	/// Cuts some nodes and checks that they serve nearly as often as the others.
	void expect_service(std::size_t _cut_nodes, path_cut _how)
	{
		run(k_before_cut, _cut_nodes);
		cut_nodes(_cut_nodes, _how);
		run(k_detection, _cut_nodes);
		expect_counted_service(_cut_nodes);
	}
	/// Counts requests from now on, and checks that the cut nodes serve nearly as often as the others.
	void expect_counted_service(std::size_t _cut_nodes)
	{
		m_cut = {};
		m_others = {};
		run(k_judged, _cut_nodes);
		settle();
		check_service();
	}
	void check_service() const
	{
		const std::string figures =
		    "cut nodes served " + std::to_string(m_cut.served) + " of " + std::to_string(m_cut.sent) +
		    ", others " + std::to_string(m_others.served) + " of " + std::to_string(m_others.sent) +
		    "; ms at p50 and p99: " + std::to_string(m_cut.quantile_ms(0.5)) + " " +
		    std::to_string(m_cut.quantile_ms(0.99)) + ", others " +
		    std::to_string(m_others.quantile_ms(0.5)) + " " + std::to_string(m_others.quantile_ms(0.99));
		if (nullptr != std::getenv("LARKRACK_FIGURES"))
		{
			std::cout << figures << "\n";
		}
		CPPUNIT_ASSERT_MESSAGE(figures, m_others.fraction() > 0.97);
		CPPUNIT_ASSERT_MESSAGE(figures, m_cut.fraction() >= k_min_relative_success * m_others.fraction());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(partition_test);
} // namespace larkrack
