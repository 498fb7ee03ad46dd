// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Decisions about the nodes of a fleet: lookup responses, liveness and heartbeat schedules, store readers,
/// and shared budgets.

#include "fixtures.h"

#include "steering/fleet_rates_p.h"
#include "steering/lookup_answer_p.h"
#include "steering/node_liveness_p.h"
#include "steering/node_ring_p.h"
#include "steering/rendezvous_p.h"
#include "steering/shared_budgets_p.h"
#include "steering/slot_portion_p.h"
#include "steering/store_readers_p.h"

#include <map>
#include <set>

namespace larkrack
{
/// Provides nodes as their heartbeats describe them, ordered by name.
class steering_nodes_fixture : public CppUnit::TestFixture
{
public:
	void setUp() override
	{
		m_nodes.clear();
	}

protected:
	node_heartbeat& add(const std::string& _name, const std::string& _region = "east")
	{
		node_heartbeat& one = m_nodes[_name];
		one.node = node_name(_name);
		one.region = region_name(_region);
		one.callers = _name + ":80";
		one.state = node_state::ready;
		return one;
	}

	std::vector<const node_heartbeat*> all_but(const std::string& _name = "") const
	{
		std::vector<const node_heartbeat*> selected;
		for (const auto& [name, node] : m_nodes)
		{
			if (name != _name)
			{
				selected.push_back(&node);
			}
		}
		return selected;
	}

	std::map<std::string, node_heartbeat> m_nodes;
};

class lookup_answer_test : public steering_nodes_fixture
{
	CPPUNIT_TEST_SUITE(lookup_answer_test);
	CPPUNIT_TEST(own_region_with_ready_nodes_lists_all_of_them_and_no_others);
	CPPUNIT_TEST(home_region_first_with_a_ready_node_is_listed);
	CPPUNIT_TEST(any_region_is_listed_if_neither_has_a_node);
	CPPUNIT_TEST(none_ready_lists_this_node);
	CPPUNIT_TEST(caller_without_a_region_gets_all_nodes);
	CPPUNIT_TEST(large_region_lists_64_nodes);
	CPPUNIT_TEST(large_region_nodes_are_listed_evenly_over_all_responding_nodes);
	CPPUNIT_TEST(dead_nodes_are_never_listed);
	CPPUNIT_TEST_SUITE_END();

protected:
	lookup_decision ask(const std::string& _region, const std::vector<region_name>& _homes = {},
	    const std::string& _answering = "self:80")
	{
		return plan_lookup(
		    region_name(_region), _homes, all_but(),
		    [this](const node_heartbeat& _node)
		    {
			    return 0 == m_dead.count(_node.node.text);
		    },
		    _answering);
	}

	void large_region_nodes_are_listed_evenly_over_all_responding_nodes()
	{
		for (int i = 0; i < 98; ++i)
		{
			add("n" + std::to_string(i));
		}
		std::map<std::string, int> listed;
		for (int i = 0; i < 98; ++i)
		{
			const std::string answering = "n" + std::to_string(i) + ":80";
			const std::vector<std::string> addresses = ask("east", {}, answering).addresses;
			CPPUNIT_ASSERT(addresses == ask("east", {}, answering).addresses);
			for (const std::string& address : addresses)
			{
				++listed[address];
			}
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(98), listed.size());
		for (const auto& [address, times] : listed)
		{
			CPPUNIT_ASSERT(times > 64 * 8 / 10 && times < 64 * 12 / 10);
		}
	}

	void own_region_with_ready_nodes_lists_all_of_them_and_no_others()
	{
		add("n1");
		add("n2");
		add("n3", "west");
		const lookup_decision decision = ask("east", {region_name("west")});
		CPPUNIT_ASSERT(lookup_reason::own_region == decision.reason);
		CPPUNIT_ASSERT((std::vector<std::string>{"n1:80", "n2:80"}) == decision.addresses);
	}

	void home_region_first_with_a_ready_node_is_listed()
	{
		add("n1", "north");
		add("n2", "west");
		const lookup_decision decision = ask("east", {region_name("south"), region_name("west")});
		CPPUNIT_ASSERT(lookup_reason::home_region == decision.reason);
		CPPUNIT_ASSERT(std::vector<std::string>{"n2:80"} == decision.addresses);
	}

	void any_region_is_listed_if_neither_has_a_node()
	{
		add("n1", "north");
		const lookup_decision decision = ask("east", {region_name("south")});
		CPPUNIT_ASSERT(lookup_reason::any_region == decision.reason);
		CPPUNIT_ASSERT(std::vector<std::string>{"n1:80"} == decision.addresses);
	}

	void none_ready_lists_this_node()
	{
		const lookup_decision decision = ask("east");
		CPPUNIT_ASSERT(lookup_reason::none_ready == decision.reason);
		CPPUNIT_ASSERT(std::vector<std::string>{"self:80"} == decision.addresses);
	}

	void caller_without_a_region_gets_all_nodes()
	{
		add("n1", "north");
		add("n2", "west");
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), ask("").addresses.size());
	}

	void large_region_lists_64_nodes()
	{
		for (int i = 100; i < 200; ++i)
		{
			add("n" + std::to_string(i));
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(64), ask("east").addresses.size());
	}

	void dead_nodes_are_never_listed()
	{
		add("n1");
		add("n2", "west");
		m_dead = {"n1"};
		CPPUNIT_ASSERT(std::vector<std::string>{"n2:80"} == ask("east").addresses);
		m_dead = {"n1", "n2"};
		CPPUNIT_ASSERT(std::vector<std::string>{"self:80"} == ask("east").addresses);
	}

	std::set<std::string> m_dead;
};

class node_liveness_test : public steering_nodes_fixture
{
	CPPUNIT_TEST_SUITE(node_liveness_test);
	CPPUNIT_TEST(interval_grows_with_the_failure_domain_from_100_ms_on);
	CPPUNIT_TEST(divisor_in_a_small_fleet_is_one_and_four_for_far_nodes);
	CPPUNIT_TEST(divisor_in_a_large_fleet_bounds_the_datagrams_per_second);
	CPPUNIT_TEST(timeout_small_fleet_is_900_ms_and_2_s_for_far_nodes);
	CPPUNIT_TEST(timeout_large_fleet_is_five_heartbeats_and_four_times_that_for_far_nodes);
	CPPUNIT_TEST(timeout_with_digests_is_two_and_a_half_heartbeats_and_three_digests);
	CPPUNIT_TEST(digest_relayed_reaches_each_node_once);
	CPPUNIT_TEST(delegates_are_two_of_a_failure_domain);
	CPPUNIT_TEST(timeout_of_nodes_that_neighbours_report_is_short);
	CPPUNIT_TEST(timeout_of_a_node_alone_in_its_failure_domain_depends_on_its_heartbeats);
	CPPUNIT_TEST(proximity_depends_on_region_and_failure_domain);
	CPPUNIT_TEST(heartbeat_to_a_far_node_is_due_once_in_its_divisor);
	CPPUNIT_TEST(addresses_are_in_the_first_heartbeats_and_then_in_one_of_four_to_each_node);
	CPPUNIT_TEST(address_without_a_reply_is_tried_each_heartbeat_only_at_first);
	CPPUNIT_TEST(forgotten_after_a_minute);
	CPPUNIT_TEST(outdated_lower_sequence_or_incarnation_unless_the_former_one_timed_out);
	CPPUNIT_TEST_SUITE_END();

protected:
	using ms = std::chrono::milliseconds;

	void interval_grows_with_the_failure_domain_from_100_ms_on()
	{
		CPPUNIT_ASSERT(ms(100) == node_liveness(0, 0).interval());
		CPPUNIT_ASSERT(ms(100) == node_liveness(8, 8).interval());
		CPPUNIT_ASSERT(ms(108) == node_liveness(9, 9).interval());
		CPPUNIT_ASSERT(ms(960) == node_liveness(80, 80).interval());
		CPPUNIT_ASSERT(ms(384) == node_liveness(32, 294).interval());
		CPPUNIT_ASSERT(ms(384) == node_liveness(32, 7775).interval());
	}

	void divisor_in_a_small_fleet_is_one_and_four_for_far_nodes()
	{
		const node_liveness liveness(2, 8);
		CPPUNIT_ASSERT_EQUAL(1, liveness.heartbeat_divisor(proximity::region));
		CPPUNIT_ASSERT_EQUAL(4, liveness.heartbeat_divisor(proximity::far));
		CPPUNIT_ASSERT(!liveness.includes_neighbours());
	}

	void divisor_in_a_large_fleet_bounds_the_datagrams_per_second()
	{
		for (const std::size_t nodes : {294U, 1000U, 7775U})
		{
			const std::size_t in_domain = nodes / 9;
			const node_liveness liveness(in_domain, nodes);
			const double per_s = 1000.0 / static_cast<double>(liveness.interval().count());
			const auto beyond = static_cast<double>(nodes - in_domain);
			CPPUNIT_ASSERT(liveness.includes_neighbours());
			CPPUNIT_ASSERT(per_s * static_cast<double>(in_domain) <= 84.0);
			CPPUNIT_ASSERT(per_s * beyond / liveness.heartbeat_divisor(proximity::region) <= 84.0);
		}
	}

	void timeout_small_fleet_is_900_ms_and_2_s_for_far_nodes()
	{
		const node_liveness liveness(2, 8);
		CPPUNIT_ASSERT(ms(900) == liveness.liveness_timeout(proximity::domain, 2));
		CPPUNIT_ASSERT(ms(900) == liveness.liveness_timeout(proximity::region, 2));
		CPPUNIT_ASSERT(ms(2000) == liveness.liveness_timeout(proximity::far, 2));
	}

	void timeout_large_fleet_is_five_heartbeats_and_four_times_that_for_far_nodes()
	{
		const node_liveness liveness(60, 60);
		CPPUNIT_ASSERT(ms(3600) == liveness.direct_liveness_timeout(proximity::region));
		CPPUNIT_ASSERT(ms(14400) == liveness.direct_liveness_timeout(proximity::far));
	}

	/// Lookups may list a dead node of the region for at most 8 s.
	void timeout_with_digests_is_two_and_a_half_heartbeats_and_three_digests()
	{
		const node_liveness liveness(109, 985);
		CPPUNIT_ASSERT(liveness.sends_digests() && !node_liveness(32, 294).sends_digests());
		CPPUNIT_ASSERT(ms(3270) == liveness.liveness_timeout(proximity::domain, 109));
		CPPUNIT_ASSERT(ms(3270 + 3000) == liveness.liveness_timeout(proximity::region, 109));
		CPPUNIT_ASSERT(ms(3270 + 12000) == liveness.liveness_timeout(proximity::far, 109));
	}

	static std::vector<node_name> names_of(std::size_t _nodes)
	{
		std::vector<node_name> names(_nodes);
		for (std::size_t i = 0; i < _nodes; ++i)
		{
			names[i] = node_name("n" + std::to_string(i));
		}
		return names;
	}

	static std::vector<const node_name*> all_but(
	    const std::vector<node_name>& _names, const node_name* _left_out)
	{
		std::vector<const node_name*> selected;
		selected.reserve(_names.size());
		for (const node_name& name : _names)
		{
			if (&name != _left_out)
			{
				selected.push_back(&name);
			}
		}
		return selected;
	}

	void digest_relayed_reaches_each_node_once()
	{
		const std::vector<node_name> names = names_of(110);
		const std::vector<const node_name*> domain = all_but(names, nullptr);
		std::set<const node_name*> relays_of_all;
		for (std::uint64_t number = 0; number < 20; ++number)
		{
			const relay_plan plan(domain, number);
			const node_name& root = names[7];
			std::map<const node_name*, int> reached;
			for (const node_name* first : plan.first(root))
			{
				++reached[first];
				for (const node_name* next : plan.next(*first))
				{
					++reached[next];
				}
				CPPUNIT_ASSERT(plan.next(*first).size() <= 10);
				relays_of_all.insert(first);
			}
			CPPUNIT_ASSERT(plan.first(root).size() <= 21);
			reached.erase(&root);
			CPPUNIT_ASSERT_EQUAL(std::size_t(109), reached.size());
			for (const auto& [node, times] : reached)
			{
				CPPUNIT_ASSERT_EQUAL(1, times);
			}
		}
		CPPUNIT_ASSERT(relays_of_all.size() > 60); // Other nodes relay the next digest.
	}

	void delegates_are_two_of_a_failure_domain()
	{
		const std::vector<node_name> names = names_of(110);
		int delegates = 0;
		for (const node_name& self : names)
		{
			delegates += is_delegate(self, all_but(names, &self)) ? 1 : 0;
		}
		CPPUNIT_ASSERT_EQUAL(2, delegates);
		CPPUNIT_ASSERT(is_delegate(names[0], {}));
	}

	void timeout_of_nodes_that_neighbours_report_is_short()
	{
		const node_liveness liveness(32, 294);
		CPPUNIT_ASSERT(ms(1920) == liveness.liveness_timeout(proximity::domain, 32));
		CPPUNIT_ASSERT(ms(1920 + 10 * 108) == liveness.liveness_timeout(proximity::region, 32));
		CPPUNIT_ASSERT(ms(1920 + 10 * 432) == liveness.liveness_timeout(proximity::far, 32));
	}

	void timeout_of_a_node_alone_in_its_failure_domain_depends_on_its_heartbeats()
	{
		const node_liveness liveness(32, 294);
		CPPUNIT_ASSERT(ms(5 * 9 * 384) == liveness.liveness_timeout(proximity::region, 0));
		CPPUNIT_ASSERT(liveness.liveness_timeout(proximity::region, 1) <= ms(5 * 9 * 384));
	}

	void proximity_depends_on_region_and_failure_domain()
	{
		node_heartbeat own = add("n1");
		own.domain = domain_name("east-a");
		node_heartbeat other = own;
		CPPUNIT_ASSERT(proximity::domain == node_liveness::proximity_of(own, other));
		other.domain = domain_name("east-b");
		CPPUNIT_ASSERT(proximity::region == node_liveness::proximity_of(own, other));
		other.region = region_name("west");
		CPPUNIT_ASSERT(proximity::far == node_liveness::proximity_of(own, other));
	}

	void heartbeat_to_a_far_node_is_due_once_in_its_divisor()
	{
		for (const node_liveness liveness : {node_liveness(2, 8), node_liveness(32, 294)})
		{
			const int heartbeat_divisor = liveness.heartbeat_divisor(proximity::far);
			for (int node = 0; node < 20; ++node)
			{
				int turns = 0;
				for (int sequence = 1; sequence <= 2 * heartbeat_divisor; ++sequence)
				{
					const node_name name("n" + std::to_string(node));
					turns += liveness.is_heartbeat_due(node_name("self"), name,
					             static_cast<std::uint64_t>(sequence), proximity::far)
					             ? 1
					             : 0;
				}
				CPPUNIT_ASSERT_EQUAL(2, turns);
			}
		}
	}

	void addresses_are_in_the_first_heartbeats_and_then_in_one_of_four_to_each_node()
	{
		for (const node_liveness liveness : {node_liveness(2, 8), node_liveness(32, 294)})
		{
			CPPUNIT_ASSERT(liveness.includes_addresses(1) && liveness.includes_addresses(2));
			const auto heartbeat_divisor =
			    static_cast<std::uint64_t>(liveness.heartbeat_divisor(proximity::far));
			for (int node = 0; node < 20; ++node)
			{
				int heard = 0;
				for (std::uint64_t sequence = 4 * heartbeat_divisor; sequence < 8 * heartbeat_divisor;
				     ++sequence)
				{
					const node_name name("n" + std::to_string(node));
					const bool turn =
					    liveness.is_heartbeat_due(node_name("self"), name, sequence, proximity::far);
					heard += turn && liveness.includes_addresses(sequence) ? 1 : 0;
				}
				CPPUNIT_ASSERT_EQUAL(1, heard);
			}
		}
	}

	void address_without_a_reply_is_tried_each_heartbeat_only_at_first()
	{
		CPPUNIT_ASSERT(node_liveness::is_tried_each_heartbeat(0));
		CPPUNIT_ASSERT(node_liveness::is_tried_each_heartbeat(7));
		CPPUNIT_ASSERT(!node_liveness::is_tried_each_heartbeat(8));
	}

	void forgotten_after_a_minute()
	{
		CPPUNIT_ASSERT(!node_liveness::forgotten(std::chrono::seconds(60)));
		CPPUNIT_ASSERT(node_liveness::forgotten(std::chrono::milliseconds(60001)));
	}

	void outdated_lower_sequence_or_incarnation_unless_the_former_one_timed_out()
	{
		node_heartbeat last;
		last.incarnation = 1000;
		last.sequence = 5;
		node_heartbeat late = last;
		late.sequence = 4;
		node_heartbeat restarted;
		restarted.incarnation = 10;
		restarted.sequence = 9;
		CPPUNIT_ASSERT(node_liveness::outdated(late, last, true));
		CPPUNIT_ASSERT(node_liveness::outdated(restarted, last, true));
		CPPUNIT_ASSERT(!node_liveness::outdated(restarted, last, false));
		CPPUNIT_ASSERT(!node_liveness::outdated(last, last, true));
	}
};

class store_readers_test : public steering_nodes_fixture
{
	CPPUNIT_TEST_SUITE(store_readers_test);
	CPPUNIT_TEST(reader_three_of_a_region_in_every_view);
	CPPUNIT_TEST(reader_stopping_node_does_not_count);
	CPPUNIT_TEST(reader_alone_in_its_region_reads);
	CPPUNIT_TEST(peer_none_if_no_node_is_ahead);
	CPPUNIT_TEST(peer_of_the_own_region_is_preferred);
	CPPUNIT_TEST(peer_with_a_newer_configuration_is_found_at_any_revision);
	CPPUNIT_TEST(wait_for_an_unavailable_configuration_grows);
	CPPUNIT_TEST(peer_changes_with_the_heartbeats);
	CPPUNIT_TEST(wait_of_a_reader_is_longer);
	CPPUNIT_TEST(changes_are_sent_only_if_some_nodes_do_not_read);
	CPPUNIT_TEST_SUITE_END();

protected:
	void add_east(int _nodes)
	{
		for (int i = 10; i < 10 + _nodes; ++i)
		{
			add("n" + std::to_string(i));
		}
	}

	int readers()
	{
		int count = 0;
		for (const auto& [name, node] : m_nodes)
		{
			const reader_decision decision = plan_reader(node, all_but(name));
			CPPUNIT_ASSERT(decision.reads == (reader_reason::ranks_first == decision.reason));
			count += decision.reads ? 1 : 0;
		}
		return count;
	}

	void reader_three_of_a_region_in_every_view()
	{
		add_east(20);
		CPPUNIT_ASSERT_EQUAL(3, readers());
	}

	void reader_stopping_node_does_not_count()
	{
		add_east(4);
		const std::string first = [this]
		{
			for (const auto& [name, node] : m_nodes)
			{
				if (0 == plan_reader(node, all_but(name)).rank)
				{
					return name;
				}
			}
			return std::string();
		}();
		m_nodes.at(first).state = node_state::stopping;
		CPPUNIT_ASSERT_EQUAL(4, readers()); // The three other nodes, and the stopping node until it ends.
	}

	void reader_alone_in_its_region_reads()
	{
		add_east(20);
		add("west1", "west");
		CPPUNIT_ASSERT(plan_reader(m_nodes.at("west1"), all_but("west1")).reads);
	}

	void peer_none_if_no_node_is_ahead()
	{
		add_east(3);
		CPPUNIT_ASSERT(nullptr == choose_peer(m_nodes.at("n10"), 0, all_but("n10")));
	}

	void peer_of_the_own_region_is_preferred()
	{
		add("n1").store_revision = 5;
		for (int i = 20; i < 40; ++i)
		{
			add("n" + std::to_string(i), "west").store_revision = 9;
		}
		node_heartbeat& self = add("n0");
		CPPUNIT_ASSERT_EQUAL(std::string("n1"), choose_peer(self, 4, all_but("n0"))->node.text);
		CPPUNIT_ASSERT(region_name("west") == choose_peer(self, 5, all_but("n0"))->region);
	}

	void peer_with_a_newer_configuration_is_found_at_any_revision()
	{
		add("n1").config_version = 7;
		node_heartbeat& self = add("n0");
		self.store_revision = 9;
		self.config_version = 6;
		CPPUNIT_ASSERT_EQUAL(std::string("n1"), choose_config_peer(self, 6, all_but("n0"))->node.text);
		CPPUNIT_ASSERT(nullptr == choose_config_peer(self, 7, all_but("n0")));
		CPPUNIT_ASSERT(nullptr == choose_peer(self, 9, all_but("n0")));
	}

	void wait_for_an_unavailable_configuration_grows()
	{
		CPPUNIT_ASSERT(std::chrono::milliseconds(60) == config_catch_up_delay(false, 0));
		CPPUNIT_ASSERT(std::chrono::milliseconds(120) == config_catch_up_delay(false, 1));
		CPPUNIT_ASSERT(std::chrono::milliseconds(960) == config_catch_up_delay(false, 1000));
		CPPUNIT_ASSERT(std::chrono::milliseconds(1000) == config_catch_up_delay(true, 1000));
	}

	void peer_changes_with_the_heartbeats()
	{
		add_east(10);
		for (auto& [name, node] : m_nodes)
		{
			node.store_revision = 5;
		}
		std::map<std::string, int> asked;
		node_heartbeat& self = m_nodes.at("n10");
		for (self.sequence = 1; self.sequence <= 100; ++self.sequence)
		{
			++asked[choose_peer(self, 4, all_but("n10"))->node.text];
		}
		CPPUNIT_ASSERT(asked.size() > 6);
	}

	void wait_of_a_reader_is_longer()
	{
		CPPUNIT_ASSERT(std::chrono::milliseconds(60) == catch_up_delay(false));
		CPPUNIT_ASSERT(std::chrono::milliseconds(400) == catch_up_delay(true));
	}

	void changes_are_sent_only_if_some_nodes_do_not_read()
	{
		CPPUNIT_ASSERT(all_nodes_read(2));
		CPPUNIT_ASSERT(!all_nodes_read(3));
	}
};

class shared_budgets_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(shared_budgets_test);
	CPPUNIT_TEST(census_keeps_the_maximum_number_of_nodes);
	CPPUNIT_TEST(connections_are_divided_and_at_least_one);
	CPPUNIT_TEST(warmup_has_one_sender_for_each_backend_server);
	CPPUNIT_TEST(warmup_view_of_half_the_region_is_accepted_a_smaller_one_is_not);
	CPPUNIT_TEST(warmup_rate_leaves_a_tenth);
	CPPUNIT_TEST(portions_are_proportional_to_the_rates_and_sum_up);
	CPPUNIT_TEST(portion_of_a_node_that_sends_nothing_is_empty_unless_no_node_sends);
	CPPUNIT_TEST(rates_of_others_are_summed_by_region);
	CPPUNIT_TEST_SUITE_END();

protected:
	void census_keeps_the_maximum_number_of_nodes()
	{
		node_count_maximum census;
		CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, census.sharers().nodes, 1e-9);
		census.on_nodes_counted(9, 3);
		census.on_nodes_counted(2, 1);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(9.0, census.sharers().nodes, 1e-9);
		CPPUNIT_ASSERT_EQUAL(std::size_t(3), census.max_in_region());
	}

	void connections_are_divided_and_at_least_one()
	{
		CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, connections_of_node(20, {8.0}), 1e-9);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, connections_of_node(20, {80.0}), 1e-9);
	}

	void warmup_has_one_sender_for_each_backend_server()
	{
		const std::vector<node_name> names{node_name("n1"), node_name("n2"), node_name("n3")};
		node_ring ring;
		ring.build(names);
		for (std::uint64_t place = 0; place < 50; ++place)
		{
			int chosen = 0;
			for (std::size_t node = 0; node < names.size(); ++node)
			{
				const bool is_owner = node == ring.owners_of(rendezvous_weight("", place)).first;
				const warmup_decision decision = plan_warmup(names.size(), 3, is_owner);
				CPPUNIT_ASSERT(warmup_reason::cut_off != decision.reason);
				chosen += warmup_reason::chosen == decision.reason ? 1 : 0;
				CPPUNIT_ASSERT_DOUBLES_EQUAL(
				    warmup_reason::chosen == decision.reason ? 1.0 : 0.0, decision.part, 1e-9);
			}
			CPPUNIT_ASSERT_EQUAL(1, chosen);
		}
	}

	void warmup_view_of_half_the_region_is_accepted_a_smaller_one_is_not()
	{
		CPPUNIT_ASSERT(warmup_reason::chosen == plan_warmup(1, 2, true).reason);
		const warmup_decision cut_off = plan_warmup(1, 4, true);
		CPPUNIT_ASSERT(warmup_reason::cut_off == cut_off.reason);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, cut_off.part, 1e-9);
	}

	void warmup_rate_leaves_a_tenth()
	{
		CPPUNIT_ASSERT_DOUBLES_EQUAL(4.5, warmup_rate(10.0, 0.5), 1e-9);
	}

	void portions_are_proportional_to_the_rates_and_sum_up()
	{
		const slot_portion low = portion_beside("n1", 30.0, "n2", 10.0);
		const slot_portion high = portion_beside("n2", 10.0, "n1", 30.0);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, low.begin, 1e-9);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.75, low.end, 1e-9);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(low.end, high.begin, 1e-9);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, high.end, 1e-9);
	}

	void portion_of_a_node_that_sends_nothing_is_empty_unless_no_node_sends()
	{
		const slot_portion none = portion_beside("n1", 0.0, "n2", 10.0);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, none.end - none.begin, 1e-9);
		const slot_portion all = portion_beside("n1", 0.0, "n2", 0.0);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, all.end - all.begin, 1e-9);
	}

	/// Demand, demand bound to one region, and sent rates of two nodes in one region and one node in another.
	void rates_of_others_are_summed_by_region()
	{
		const service_name shop("shop");
		const region_name east("east");
		fleet_rates rates;
		for (const char* name : {"n1", "n3"})
		{
			rates.add(node_name("n2"), sender(name, "east", 10.0));
		}
		rates.add(node_name("n2"), sender("n4", "west", 5.0));
		CPPUNIT_ASSERT_DOUBLES_EQUAL(20.0, rates.demand_of(shop).at(east), 1e-9);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, rates.demand_of(shop).at(region_name("west")), 1e-9);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(25.0, rates.sent_of(shop, east).total_per_s, 1e-9);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, rates.sent_of(shop, east).preceding_per_s, 1e-9); // n1 only.
		CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, rates.single_region_demand_of(shop).at(east), 1e-9);
		CPPUNIT_ASSERT(rates.demand_of(service_name("other")).empty());
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, rates.sent_of(shop, region_name("north")).total_per_s, 1e-9);
		rates.clear();
		CPPUNIT_ASSERT(rates.demand_of(shop).empty() && rates.single_region_demand_of(shop).empty());
	}

	/// A node that receives requests for the service "shop" and sends all of them to the region "east"; a
	/// tenth of them may run only there.
	static node_heartbeat sender(const std::string& _name, const std::string& _region, double _per_s)
	{
		const service_name shop("shop");
		const region_name east("east");
		node_heartbeat one;
		one.node = node_name(_name);
		one.region = region_name(_region);
		one.requests_per_s = {{shop, _per_s}};
		one.sent_per_s = {{shop, {{east, _per_s}}}, {pinned_requests_of(shop), {{east, _per_s / 10.0}}}};
		return one;
	}

	/// @returns Slot portion of a node in a fleet of two.
	static slot_portion portion_beside(
	    const std::string& _self, double _own_per_s, const std::string& _other, double _others_per_s)
	{
		fleet_rates rates;
		rates.add(node_name(_self), sender(_other, "east", _others_per_s));
		return plan_slot_portion(_own_per_s, rates.sent_of(service_name("shop"), region_name("east")));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(lookup_answer_test);
CPPUNIT_TEST_SUITE_REGISTRATION(node_liveness_test);
CPPUNIT_TEST_SUITE_REGISTRATION(store_readers_test);
CPPUNIT_TEST_SUITE_REGISTRATION(shared_budgets_test);
} // namespace larkrack
