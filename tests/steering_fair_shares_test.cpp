// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of the shares of the slots that groups get over all nodes of a region.

#include "fixtures.h"

#include "steering/fair_shares_p.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iostream>
#include <limits>
#include <map>
#include <numeric>
#include <rapidcheck.h>
#include <vector>

namespace larkrack
{
namespace
{
using ms = std::chrono::milliseconds;

admission_request make_request(std::uint64_t _number, std::uint64_t _group, double _weight = 1.0)
{
	admission_request made;
	made.number = {_number};
	made.group = {_group};
	made.weight = _weight;
	return made;
}

/// A node that can be told what other nodes report.
struct shares_under_test
{
	fair_shares shares{[](group_id)
	    {
		    return 1.0;
	    },
	    7};
	region_room room;
	steady_time now = steady_time{} + ms(1000);
	std::uint64_t last = 0; ///< Number of the last request.

	void send(std::uint64_t _group, int _requests, double _weight = 1.0)
	{
		for (int i = 0; i < _requests; ++i)
		{
			shares.on_sent(make_request(++last, _group, _weight));
		}
	}
	/// @returns The request that waits.
	request_number wait(std::uint64_t _group)
	{
		shares.on_waiting(make_request(++last, _group));
		return {last};
	}
	void tick(const std::vector<admission_report>& _others = {})
	{
		now += ms(100);
		std::vector<const admission_report*> others;
		others.reserve(_others.size());
		for (const admission_report& report : _others)
		{
			others.push_back(&report);
		}
		shares.tick(room, others, now);
	}
	bool within(std::uint64_t _group, double _weight = 1.0) const
	{
		return shares.within_share({_group}, _weight);
	}
};

/// @returns Requests of all groups that have room at a level.
double requests_at(const std::vector<group_demand>& _groups, double _level)
{
	return std::accumulate(_groups.begin(), _groups.end(), 0.0,
	    [_level](double _sum, const group_demand& _group)
	    {
		    return _sum + std::min(_group.requests, fair_cap(_group.weight, _level, 0.0));
	    });
}
} // namespace

class steering_fair_shares_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_fair_shares_test);
	CPPUNIT_TEST(groups_that_ask_for_less_leave_the_rest_to_the_others);
	CPPUNIT_TEST(level_of_random_groups_fills_the_room_and_starves_none);
	CPPUNIT_TEST(no_group_is_held_while_slots_are_free);
	CPPUNIT_TEST(no_group_is_held_while_nobody_else_waits);
	CPPUNIT_TEST(group_above_its_share_is_held_while_another_waits);
	CPPUNIT_TEST(wait_at_another_node_holds_a_large_group_here);
	CPPUNIT_TEST(running_requests_elsewhere_count_for_the_share);
	CPPUNIT_TEST(parts_of_all_nodes_add_up_to_the_cap);
	CPPUNIT_TEST(busy_slots_that_no_node_reports_are_not_divided);
	CPPUNIT_TEST(wait_is_forgotten_and_the_group_gets_all_slots_again);
	CPPUNIT_TEST(report_names_the_largest_groups_and_sums_up_the_rest);
	CPPUNIT_TEST(request_with_several_attempts_counts_once);
	CPPUNIT_TEST(report_is_empty_while_slots_are_free);
	CPPUNIT_TEST(invalid_reports_and_unmatched_ends_are_harmless);
	CPPUNIT_TEST(tick_with_the_reports_of_700_nodes_takes_less_than_a_millisecond);
	CPPUNIT_TEST_SUITE_END();

protected:
	/// Guards against equal shares of which small groups leave a part unused.
	void groups_that_ask_for_less_leave_the_rest_to_the_others()
	{
		const std::vector<group_demand> groups = {{10.0, 1.0}, {100.0, 1.0}, {100.0, 2.0}};
		const std::optional<double> level = fair_level(groups, 100.0, 0.0);
		CPPUNIT_ASSERT(level.has_value());
		CPPUNIT_ASSERT_DOUBLES_EQUAL(30.0, *level, 1e-9); // 10, 30 and 60 of 100.
		CPPUNIT_ASSERT(!fair_level(groups, 210.0, 0.0).has_value());
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, *fair_level(groups, 0.0, 0.0), 1e-9);
		CPPUNIT_ASSERT(!fair_level({}, 0.0, 0.0).has_value());
	}

	/// Weighted max-min fairness: the caps fill the room exactly if the requests exceed it.
	void level_of_random_groups_fills_the_room_and_starves_none()
	{
		const bool held = rc::check("max-min",
		    []()
		    {
			    std::vector<group_demand> groups;
			    double all = 0.0;
			    for (const int requests : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 200)))
			    {
				    groups.push_back({1.0 * requests, 1.0 * *rc::gen::inRange(1, 100)});
				    all += requests;
			    }
			    const double room = *rc::gen::inRange(0, 2000);
			    const std::optional<double> level = fair_level(groups, room, 0.0);
			    RC_ASSERT(level.has_value() == (all > room));
			    RC_ASSERT(!level.has_value() || std::abs(requests_at(groups, *level) - room) < 1e-6);
			    const std::optional<double> with_variation = fair_level(groups, room, k_share_variation);
			    RC_ASSERT(!with_variation.has_value() || *with_variation <= level.value_or(1e300) + 1e-9);
		    });
		CPPUNIT_ASSERT(held);
	}

	/// Guards against refusals while the service has free slots.
	void no_group_is_held_while_slots_are_free()
	{
		shares_under_test node;
		node.room = {100.0, 60.0, 100.0, 60.0};
		node.send(1, 60);
		node.wait(2);
		node.tick();
		CPPUNIT_ASSERT(node.within(1));
		CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, node.shares.share_of({1}), 1e-9);
	}

	/// Guards against shares that are kept free for groups that do not ask for them.
	void no_group_is_held_while_nobody_else_waits()
	{
		shares_under_test node;
		node.room = {100.0, 100.0, 100.0, 100.0};
		node.send(1, 95);
		node.send(2, 5);
		node.wait(1);
		for (int i = 0; i < 5; ++i)
		{
			node.tick();
			CPPUNIT_ASSERT(node.within(1));
		}
	}

	/// Guards against a large group that takes each slot that becomes free.
	void group_above_its_share_is_held_while_another_waits()
	{
		shares_under_test node;
		node.room = {100.0, 100.0, 100.0, 100.0};
		node.send(1, 90);
		node.send(2, 10);
		node.tick();
		CPPUNIT_ASSERT(node.within(1));
		node.wait(2);
		node.tick();
		CPPUNIT_ASSERT(!node.within(1));
		CPPUNIT_ASSERT(node.within(2));
		CPPUNIT_ASSERT(node.shares.share_of({1}) < 0.9);
		CPPUNIT_ASSERT(node.within(1, 1000.0)); // The same requests of a group with a high weight.
	}

	/// Guards against a node that sees only the large group and gives it the slots that others wait for.
	void wait_at_another_node_holds_a_large_group_here()
	{
		shares_under_test here;
		here.room = {100.0, 100.0, 50.0, 80.0};
		here.send(1, 80);
		shares_under_test there;
		there.room = {100.0, 100.0, 50.0, 20.0};
		there.send(2, 10);
		there.send(3, 10);
		there.wait(2);
		std::vector<admission_report> of_here(1);
		std::vector<admission_report> of_there(1);
		for (int i = 0; i < 3; ++i)
		{
			here.tick(of_there);
			there.tick(of_here);
			here.shares.report(of_here[0]);
			there.shares.report(of_there[0]);
		}
		CPPUNIT_ASSERT(!here.within(1));
		CPPUNIT_ASSERT(there.within(2));
		CPPUNIT_ASSERT(there.within(3));
	}

	/// Guards against a group that gets a full share at each node.
	void running_requests_elsewhere_count_for_the_share()
	{
		shares_under_test node;
		node.room = {100.0, 100.0, 50.0, 20.0};
		node.send(1, 10);
		node.send(2, 10);
		node.wait(2);
		admission_report other;
		other.running = {{group_id{1}, 80.0}};
		node.tick({other});
		node.tick({other});
		CPPUNIT_ASSERT(!node.within(1));
		CPPUNIT_ASSERT(node.within(2));
	}

	/// Guards against rounding that lets each node add a request, or that holds a group at nodes with few.
	void parts_of_all_nodes_add_up_to_the_cap()
	{
		constexpr int k_nodes = 40;
		constexpr int k_ticks = 200;
		admission_report others; // Each node has one request of the large group and one of another.
		others.running = {{group_id{1}, k_nodes - 1.0}};
		others.waiting = 1.0;
		others.running_rest = 20.0;
		double allowed = 0.0;
		double cap = 0.0;
		for (std::uint64_t salt = 1; salt <= k_nodes; ++salt)
		{
			fair_shares shares(nullptr, salt * 1000);
			shares.on_sent(make_request(1, 1));
			for (int i = 1; i <= k_ticks; ++i)
			{
				const region_room room{50.0, 60.0, 1.0, 1.0};
				shares.tick(room, {&others}, steady_time{} + i * ms(100));
				cap = shares.share_of({1}) * room.slots;
				// One request runs; whether it would have been sent again.
				shares.on_end({1});
				allowed += shares.within_share({1}, 1.0) ? 1.0 : 0.0;
				shares.on_sent(make_request(1, 1));
			}
		}
		CPPUNIT_ASSERT(cap < k_nodes);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(cap, allowed / k_ticks, 0.05 * k_nodes);
	}

	/// Guards against nodes without news that take the requests of others for free capacity.
	void busy_slots_that_no_node_reports_are_not_divided()
	{
		shares_under_test node;
		node.room = {100.0, 100.0, 100.0, 40.0};
		node.send(1, 35);
		node.send(2, 5);
		node.wait(2);
		node.tick();
		node.tick();
		CPPUNIT_ASSERT(!node.within(1)); // 35 of the 40 slots that this node has.
		CPPUNIT_ASSERT(node.within(2));
	}

	/// Guards against slots that stay free after the last wait of another group.
	void wait_is_forgotten_and_the_group_gets_all_slots_again()
	{
		shares_under_test node;
		node.room = {100.0, 90.0, 100.0, 90.0};
		node.send(1, 85);
		node.send(2, 5);
		const request_number waiting = node.wait(2);
		node.tick();
		node.shares.on_wait_end(waiting);
		for (int i = 0; i < 100; ++i)
		{
			node.tick();
		}
		CPPUNIT_ASSERT(!node.shares.enforced());
		CPPUNIT_ASSERT(node.within(1));
	}

	/// Guards against messages that grow with the customers.
	void report_names_the_largest_groups_and_sums_up_the_rest()
	{
		shares_under_test node;
		node.room = {100.0, 100.0, 100.0, 100.0};
		for (int group = 1; group <= 20000; ++group)
		{
			node.send(static_cast<std::uint64_t>(group), group > 19992 ? 3 : 1);
		}
		node.tick();
		admission_report report;
		node.shares.report(report);
		CPPUNIT_ASSERT_EQUAL(k_reported_groups, report.running.size());
		for (const auto& [group, running] : report.running)
		{
			CPPUNIT_ASSERT(group.value > 19992);
			CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, running, 1e-9);
		}
		CPPUNIT_ASSERT_DOUBLES_EQUAL(19992.0, report.running_rest, 1e-9);
		node.wait(1);
		node.tick();
		node.shares.report(report);
		CPPUNIT_ASSERT_EQUAL(k_reported_groups, report.running.size());
		CPPUNIT_ASSERT(report.waiting > 0.0);
		for (std::uint64_t number = 1; number <= node.last; ++number)
		{
			node.shares.on_end({number});
		}
		node.tick();
		node.shares.report(report);
		CPPUNIT_ASSERT(report.running.empty());
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, report.running_rest, 1e-9);
	}

	/// Guards against a second attempt that counts twice, of which one would never end.
	void request_with_several_attempts_counts_once()
	{
		shares_under_test node;
		node.room = {10.0, 10.0, 10.0, 10.0};
		const admission_request request = make_request(1, 5);
		node.shares.on_waiting(request);
		node.shares.on_sent(request);
		node.shares.on_sent(request);
		node.tick();
		admission_report report;
		node.shares.report(report);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), report.running.size());
		CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, report.running.front().second, 1e-9);
		node.shares.on_wait_end({1}); // It runs, so it does not wait.
		node.shares.report(report);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), report.running.size());
		node.shares.on_end({1});
		node.shares.on_end({1});
		node.shares.report(report);
		CPPUNIT_ASSERT(report.running.empty());
	}

	/// Guards against bytes in heartbeats while nothing is short.
	void report_is_empty_while_slots_are_free()
	{
		shares_under_test node;
		node.room = {100.0, 50.0, 100.0, 50.0};
		node.send(1, 50);
		node.tick();
		admission_report report;
		node.shares.report(report);
		CPPUNIT_ASSERT(report.running.empty());
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, report.running_rest, 1e-9);
	}

	/// Guards against a false report that stops admission at the nodes that hear it.
	void invalid_reports_and_unmatched_ends_are_harmless()
	{
		shares_under_test node;
		node.shares.on_end({1});
		node.shares.on_wait_end({1});
		node.tick();
		CPPUNIT_ASSERT(node.within(1));
		node.room = {100.0, 100.0, 100.0, 50.0};
		node.send(1, 50);
		node.wait(2);
		admission_report other;
		other.running = {{group_id{1}, -5.0}, {group_id{2}, std::nan("")}, {group_id{3}, 1e300}};
		other.waiting = std::nan("");
		other.running_rest = std::numeric_limits<double>::infinity();
		node.tick({other});
		node.tick({other});
		CPPUNIT_ASSERT(node.within(4));
		CPPUNIT_ASSERT(node.shares.share_of({1}) >= 0.0);
		CPPUNIT_ASSERT(node.shares.share_of({1}) <= 1.0);
		node.tick();
		node.tick();
		CPPUNIT_ASSERT(node.within(2));
	}

	/// Guards against a tick that delays the requests of a node of a large fleet.
	void tick_with_the_reports_of_700_nodes_takes_less_than_a_millisecond()
	{
		shares_under_test node;
		node.room = {4000.0, 4000.0, 10.0, 10.0};
		std::vector<admission_report> others(700);
		for (std::size_t i = 0; i < others.size() * k_reported_groups; ++i)
		{
			const std::uint64_t group = 1 + i * 7919 % 2000;
			others[i / k_reported_groups].running.emplace_back(
			    group_id{group}, 1.0 + static_cast<double>(i % 13));
		}
		others[0].waiting = 3.0;
		node.send(1, 10);
		auto shortest = std::chrono::steady_clock::duration::max();
		for (int i = 0; i < 50; ++i)
		{
			const auto begin = std::chrono::steady_clock::now();
			node.tick(others);
			shortest = std::min(shortest, std::chrono::steady_clock::now() - begin);
		}
		if (nullptr != std::getenv("LARKRACK_FIGURES"))
		{
			std::cout << "tick with 5,600 entries: "
			          << std::chrono::duration_cast<std::chrono::microseconds>(shortest).count() << " us\n";
		}
		CPPUNIT_ASSERT(shortest < ms(1));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_fair_shares_test);
} // namespace larkrack
