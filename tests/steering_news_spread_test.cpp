// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Distribution of the store's changes from a reader to the other nodes of its region.

#include "fixtures.h"

#include "steering/news_spread_p.h"

#include <set>

namespace larkrack
{
class news_spread_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(news_spread_test);
	CPPUNIT_TEST(few_changes_are_sent_and_many_announced);
	CPPUNIT_TEST(small_fleet_is_sent_changes_directly);
	CPPUNIT_TEST(large_region_is_fully_reached_with_few_datagrams_of_each_node);
	CPPUNIT_TEST(readers_choose_different_forwarding_nodes);
	CPPUNIT_TEST(changes_from_the_own_failure_domain_or_unknown_senders_are_not_forwarded);
	CPPUNIT_TEST_SUITE_END();

protected:
	static std::vector<node_heartbeat> region_of(int _nodes, int _domains)
	{
		std::vector<node_heartbeat> nodes(static_cast<std::size_t>(_nodes));
		for (std::size_t i = 0; i < nodes.size(); ++i)
		{
			nodes[i].node = node_name("n" + std::to_string(i));
			nodes[i].region = region_name("east");
			nodes[i].domain = domain_name("d" + std::to_string(i % static_cast<std::size_t>(_domains)));
		}
		return nodes;
	}

	static std::vector<const node_heartbeat*> others(
	    const std::vector<node_heartbeat>& _nodes, const node_heartbeat& _self)
	{
		std::vector<const node_heartbeat*> some;
		for (const node_heartbeat& node : _nodes)
		{
			if (node.node != _self.node)
			{
				some.push_back(&node);
			}
		}
		return some;
	}

	void few_changes_are_sent_and_many_announced()
	{
		CPPUNIT_ASSERT(change_delivery::announcement == choose_change_delivery(0, true));
		CPPUNIT_ASSERT(change_delivery::datagrams == choose_change_delivery(1, true));
		CPPUNIT_ASSERT(change_delivery::datagrams == choose_change_delivery(6, true));
		CPPUNIT_ASSERT(change_delivery::announcement == choose_change_delivery(7, true));
		CPPUNIT_ASSERT(change_delivery::datagrams == choose_change_delivery(7, false));
		CPPUNIT_ASSERT(change_delivery::announcement == choose_change_delivery(0, false));
	}

	void small_fleet_is_sent_changes_directly()
	{
		const std::vector<node_heartbeat> nodes = region_of(9, 3);
		CPPUNIT_ASSERT_EQUAL(
		    std::size_t(8), change_recipients(nodes[0], others(nodes, nodes[0]), false).size());
		CPPUNIT_ASSERT(!forwards_changes(nodes[0], &nodes[1], false));
	}

	void large_region_is_fully_reached_with_few_datagrams_of_each_node()
	{
		const std::vector<node_heartbeat> nodes = region_of(98, 3);
		const node_heartbeat& reader = nodes[0];
		std::set<std::string> reached{reader.node.text};
		const std::vector<const node_heartbeat*> first =
		    change_recipients(reader, others(nodes, reader), true);
		CPPUNIT_ASSERT(first.size() <= 36);
		for (const node_heartbeat* recipient : first)
		{
			reached.insert(recipient->node.text);
			if (!forwards_changes(*recipient, &reader, true))
			{
				continue;
			}
			int forwarded = 0;
			for (const node_heartbeat* other : others(nodes, *recipient))
			{
				const bool same = other->domain == recipient->domain;
				forwarded += same ? 1 : 0;
				if (same)
				{
					reached.insert(other->node.text);
				}
			}
			CPPUNIT_ASSERT(forwarded <= 33);
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(98), reached.size());
	}

	void readers_choose_different_forwarding_nodes()
	{
		const std::vector<node_heartbeat> nodes = region_of(98, 3);
		std::set<std::string> forwarders;
		for (std::size_t reader = 0; reader < 30; reader += 3)
		{
			for (const node_heartbeat* recipient :
			    change_recipients(nodes[reader], others(nodes, nodes[reader]), true))
			{
				if (recipient->domain == nodes[1].domain)
				{
					forwarders.insert(recipient->node.text);
				}
			}
		}
		CPPUNIT_ASSERT(forwarders.size() > 5);
	}

	void changes_from_the_own_failure_domain_or_unknown_senders_are_not_forwarded()
	{
		std::vector<node_heartbeat> nodes = region_of(6, 3);
		CPPUNIT_ASSERT(forwards_changes(nodes[0], &nodes[1], true));
		CPPUNIT_ASSERT(!forwards_changes(nodes[0], &nodes[3], true));
		CPPUNIT_ASSERT(!forwards_changes(nodes[0], nullptr, true));
		nodes[1].region = region_name("west");
		CPPUNIT_ASSERT(!forwards_changes(nodes[0], &nodes[1], true));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(news_spread_test);
} // namespace larkrack
