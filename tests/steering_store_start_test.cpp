// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of which nodes register in the store.

#include "fixtures.h"

#include "steering/store_start_p.h"

namespace larkrack
{
class store_start_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(store_start_test);
	CPPUNIT_TEST(registered_nodes_of_295_are_two_per_failure_domain);
	CPPUNIT_TEST(registered_node_that_stops_is_replaced);
	CPPUNIT_TEST(node_without_known_nodes_registers);
	CPPUNIT_TEST_SUITE_END();

protected:
	static std::vector<node_heartbeat> fleet_of(int _nodes, int _domains)
	{
		std::vector<node_heartbeat> nodes(static_cast<std::size_t>(_nodes));
		for (std::size_t i = 0; i < nodes.size(); ++i)
		{
			nodes[i].node = node_name("n" + std::to_string(i));
			nodes[i].domain = domain_name("d" + std::to_string(i % static_cast<std::size_t>(_domains)));
			nodes[i].state = node_state::ready;
		}
		return nodes;
	}

	static std::map<domain_name, int> registered_by_domain(const std::vector<node_heartbeat>& _nodes)
	{
		std::map<domain_name, int> registered;
		for (const node_heartbeat& self : _nodes)
		{
			std::vector<const node_heartbeat*> others;
			for (const node_heartbeat& node : _nodes)
			{
				if (&node != &self)
				{
					others.push_back(&node);
				}
			}
			registered[self.domain] += should_register(self, others) ? 1 : 0;
		}
		return registered;
	}

	void registered_nodes_of_295_are_two_per_failure_domain()
	{
		const std::map<domain_name, int> registered = registered_by_domain(fleet_of(295, 9));
		CPPUNIT_ASSERT_EQUAL(std::size_t(9), registered.size());
		for (const auto& [domain, nodes] : registered)
		{
			CPPUNIT_ASSERT_EQUAL(2, nodes);
		}
	}

	void registered_node_that_stops_is_replaced()
	{
		std::vector<node_heartbeat> nodes = fleet_of(20, 1);
		for (node_heartbeat& node : nodes)
		{
			node.state = node_state::stopping;
			// The stopping node may keep its own registration, in addition to two others.
			CPPUNIT_ASSERT(registered_by_domain(nodes).begin()->second >= 2);
			node.state = node_state::ready;
		}
	}

	void node_without_known_nodes_registers()
	{
		CPPUNIT_ASSERT(should_register(fleet_of(1, 1).front(), {}));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_start_test);
} // namespace larkrack
