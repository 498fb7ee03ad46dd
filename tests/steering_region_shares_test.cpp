// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of planned shares, of the shares in force, and of the distances between regions.

#include "fixtures.h"

#include "steering/region_distances_p.h"
#include "steering/region_shares_p.h"

#include <cmath>

namespace larkrack
{
class steering_region_shares_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_region_shares_test);
	CPPUNIT_TEST(plan_with_demand_above_home_capacity_spills_in_proportion_to_spare);
	CPPUNIT_TEST(plan_with_all_regions_overloaded_grants_each_the_same_fraction);
	CPPUNIT_TEST(plan_with_home_without_capacity_sends_all_elsewhere);
	CPPUNIT_TEST(shares_after_sudden_demand_move_no_faster_than_the_pace);
	CPPUNIT_TEST(shares_after_a_failure_follow_the_plan_at_once);
	CPPUNIT_TEST(next_region_of_many_requests_keeps_to_the_shares_in_every_window);
	CPPUNIT_TEST(next_region_of_the_same_key_is_the_same);
	CPPUNIT_TEST(region_of_a_key_is_independent_of_other_requests);
	CPPUNIT_TEST(region_of_a_key_changes_only_at_the_border_of_changed_shares);
	CPPUNIT_TEST(distance_beyond_a_quarter_of_the_objective_is_too_far);
	CPPUNIT_TEST(distance_follows_a_slow_connection_slowly_and_a_fast_one_at_once);
	CPPUNIT_TEST_SUITE_END();

protected:
	static constexpr share_pace k_pace{0.05, 0.015};
	const region_name m_east{"east"};
	const region_name m_north{"north"};
	const region_name m_west{"west"};
	steady_time m_now{std::chrono::hours(1)};

	void plan_with_demand_above_home_capacity_spills_in_proportion_to_spare()
	{
		const share_by_region shares =
		    plan_shares(m_east, {{m_east, {60, 20}}, {m_north, {40, 100}}, {m_west, {20, 40}}});
		CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0 / 3.0, shares.at(m_east), 1e-6);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0 / 3.0 * 60 / 80, shares.at(m_north), 1e-6);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0 / 3.0 * 20 / 80, shares.at(m_west), 1e-6);
	}

	void plan_with_all_regions_overloaded_grants_each_the_same_fraction()
	{
		const share_by_region shares = plan_shares(m_east, {{m_east, {100, 20}}, {m_west, {100, 80}}});
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, shares.at(m_east), 1e-6);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.6, shares.at(m_west), 1e-6);
	}

	void plan_with_home_without_capacity_sends_all_elsewhere()
	{
		const share_by_region shares = plan_shares(m_east, {{m_east, {10, 0}}, {m_west, {10, 80}}});
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, shares.at(m_east), 1e-6);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, shares.at(m_west), 1e-6);
	}

	void shares_after_sudden_demand_move_no_faster_than_the_pace()
	{
		region_shares shares(m_east, k_pace);
		shares.move_towards({{{m_east, 1.0}}, false}, m_now);
		for (int step = 1; step <= 8; ++step)
		{
			m_now += std::chrono::milliseconds(250);
			shares.move_towards({{{m_east, 0.2}, {m_west, 0.8}}, false}, m_now);
		}
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, shares.shares().at(m_west), 1e-6);
		for (int step = 1; step <= 4; ++step)
		{
			m_now += std::chrono::milliseconds(250);
			shares.move_towards({{{m_east, 1.0}}, false}, m_now);
		}
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.085, shares.shares().at(m_west), 1e-6);
	}

	void shares_after_a_failure_follow_the_plan_at_once()
	{
		region_shares shares(m_east, k_pace);
		shares.move_towards({{{m_east, 1.0}}, false}, m_now);
		m_now += std::chrono::milliseconds(250);
		shares.move_towards({{{m_east, 0.0}, {m_west, 1.0}}, true}, m_now);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, shares.shares().at(m_west), 1e-6);
	}

	void next_region_of_many_requests_keeps_to_the_shares_in_every_window()
	{
		region_shares shares(m_east, k_pace);
		shares.move_towards({{{m_east, 0.3}, {m_west, 0.7}}, false}, m_now);
		// All positions belong to one region; the shares hold nevertheless.
		for (int window = 0; window < 20; ++window)
		{
			int east = 0;
			for (int i = 0; i < 100; ++i)
			{
				east += m_east == shares.next_region(0.1) ? 1 : 0;
			}
			CPPUNIT_ASSERT(std::abs(east - 30) <= 6);
		}
	}

	void next_region_of_the_same_key_is_the_same()
	{
		region_shares shares(m_east, k_pace);
		shares.move_towards({{{m_east, 0.5}, {m_west, 0.5}}, false}, m_now);
		for (int i = 0; i < 100; ++i)
		{
			CPPUNIT_ASSERT_EQUAL(std::string("east"), shares.next_region(0.2).text);
			CPPUNIT_ASSERT_EQUAL(std::string("west"), shares.next_region(0.8).text);
			shares.next_region(0.5 + 0.002 * (i % 10)); // Keys next to the border compensate for the rest.
		}
	}

	void region_of_a_key_is_independent_of_other_requests()
	{
		region_shares shares(region_name(), k_pace);
		shares.move_towards({{{m_east, 0.5}, {m_west, 0.5}}, false}, m_now);
		for (int i = 0; i < 100; ++i)
		{
			// All requests have keys of one region.
			CPPUNIT_ASSERT_EQUAL(std::string("east"), shares.region_of(0.49).text);
		}
		CPPUNIT_ASSERT_EQUAL(std::string("west"), shares.region_of(0.51).text);
	}

	void region_of_a_key_changes_only_at_the_border_of_changed_shares()
	{
		region_shares shares(region_name(), k_pace);
		shares.move_towards({{{m_east, 0.5}, {m_west, 0.5}}, false}, m_now);
		m_now += std::chrono::seconds(2);
		shares.move_towards({{{m_east, 0.0}, {m_west, 1.0}}, false}, m_now);
		CPPUNIT_ASSERT_EQUAL(std::string("east"), shares.region_of(0.39).text);
		CPPUNIT_ASSERT_EQUAL(std::string("west"), shares.region_of(0.41).text);
	}

	void distance_beyond_a_quarter_of_the_objective_is_too_far()
	{
		region_distances distances;
		CPPUNIT_ASSERT(distances.near_enough(m_west, std::chrono::milliseconds(100)));
		distances.add_connect_time(m_west, std::chrono::milliseconds(70));
		CPPUNIT_ASSERT(distances.near_enough(m_west, std::chrono::milliseconds(300)));
		CPPUNIT_ASSERT(!distances.near_enough(m_west, std::chrono::milliseconds(200)));
		CPPUNIT_ASSERT(distances.near_enough(m_west, std::chrono::milliseconds(0)));
	}

	void distance_follows_a_slow_connection_slowly_and_a_fast_one_at_once()
	{
		region_distances distances;
		distances.add_connect_time(m_west, std::chrono::milliseconds(70));
		distances.add_connect_time(m_west, std::chrono::milliseconds(570));
		CPPUNIT_ASSERT(distances.near_enough(m_west, std::chrono::milliseconds(304)));
		distances.add_connect_time(m_west, std::chrono::milliseconds(20));
		CPPUNIT_ASSERT(distances.near_enough(m_west, std::chrono::milliseconds(80)));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_region_shares_test);
} // namespace larkrack
