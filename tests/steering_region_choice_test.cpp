// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of the choice of a region for a request, and of the rate limit for requests that leave their region.

#include "fixtures.h"

#include "steering/region_choice_p.h"

namespace larkrack
{
class steering_region_choice_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_region_choice_test);
	CPPUNIT_TEST(equal_keys_on_two_routes_differ);
	CPPUNIT_TEST(position_with_key_is_stable_and_without_key_random);
	CPPUNIT_TEST(choice_with_key_follows_the_shares_of_keys);
	CPPUNIT_TEST(choice_with_key_in_a_far_region_follows_the_demand);
	CPPUNIT_TEST(choice_with_key_in_own_region_is_never_too_far);
	CPPUNIT_TEST(choice_with_large_answer_follows_the_demand);
	CPPUNIT_TEST(choice_without_shares_is_empty);
	CPPUNIT_TEST(regions_planned_first_then_by_falling_share);
	CPPUNIT_TEST(regions_outside_the_home_regions_are_not_tried);
	CPPUNIT_TEST(regions_without_any_share_are_the_home_regions);
	CPPUNIT_TEST(overflow_from_a_region_outside_the_home_regions_takes_no_token);
	CPPUNIT_TEST(overflow_is_limited_to_three_percent);
	CPPUNIT_TEST(overflow_with_few_requests_is_limited_to_one_per_second);
	CPPUNIT_TEST_SUITE_END();

protected:
	const region_name m_east{"east"};
	const region_name m_north{"north"};
	const region_name m_west{"west"};
	steady_time m_now{std::chrono::hours(1)};
	std::minstd_rand m_random{7};
	region_distances m_distances;

	/// The shares by demand are all in the east, the shares of keys all in the west.
	service_shares shares() const
	{
		service_shares by_rule{region_shares(m_east, {1.0, 1.0}), region_shares(region_name(), {1.0, 1.0})};
		by_rule.by_demand.move_towards({{{m_east, 1.0}}, true}, m_now);
		by_rule.of_keys.move_towards({{{m_west, 1.0}}, true}, m_now);
		return by_rule;
	}

	static route plain_route()
	{
		route entry;
		entry.objective = std::chrono::milliseconds(200);
		return entry;
	}

	void equal_keys_on_two_routes_differ()
	{
		CPPUNIT_ASSERT(make_affinity_key("k1", "/a/").hash == make_affinity_key("k1", "/a/").hash);
		CPPUNIT_ASSERT(make_affinity_key("k1", "/a/").hash != make_affinity_key("k1", "/b/").hash);
		CPPUNIT_ASSERT(!make_affinity_key("", "/a/").any());
	}

	void position_with_key_is_stable_and_without_key_random()
	{
		const affinity_key key = make_affinity_key("k1", "/a/");
		const double position = affinity_position(key, m_random);
		CPPUNIT_ASSERT(position >= 0.0 && position < 1.0);
		CPPUNIT_ASSERT_EQUAL(position, affinity_position(key, m_random));
		CPPUNIT_ASSERT(affinity_position({}, m_random) != affinity_position({}, m_random));
	}

	void choice_with_key_follows_the_shares_of_keys()
	{
		service_shares by_rule = shares();
		const region_choice choice =
		    choose_region({5}, plain_route(), m_east, m_distances, by_rule, m_random);
		CPPUNIT_ASSERT(m_west == choice.region && region_rule::by_key == choice.rule);
	}

	void choice_with_key_in_a_far_region_follows_the_demand()
	{
		service_shares by_rule = shares();
		m_distances.add_connect_time(m_west, std::chrono::milliseconds(51));
		const region_choice choice =
		    choose_region({5}, plain_route(), m_east, m_distances, by_rule, m_random);
		CPPUNIT_ASSERT(m_east == choice.region && region_rule::by_share == choice.rule);
	}

	void choice_with_key_in_own_region_is_never_too_far()
	{
		service_shares by_rule = shares();
		m_distances.add_connect_time(m_west, std::chrono::milliseconds(500));
		const region_choice choice =
		    choose_region({5}, plain_route(), m_west, m_distances, by_rule, m_random);
		CPPUNIT_ASSERT(m_west == choice.region && region_rule::by_key == choice.rule);
	}

	void choice_with_large_answer_follows_the_demand()
	{
		service_shares by_rule = shares();
		route large = plain_route();
		large.large_answers = true;
		const region_choice choice = choose_region({5}, large, m_east, m_distances, by_rule, m_random);
		CPPUNIT_ASSERT(m_east == choice.region && region_rule::by_share == choice.rule);
	}

	void choice_without_shares_is_empty()
	{
		service_shares none{region_shares(m_east, {1.0, 1.0}), region_shares(region_name(), {1.0, 1.0})};
		CPPUNIT_ASSERT(choose_region({5}, plain_route(), m_east, m_distances, none, m_random).region.empty());
		CPPUNIT_ASSERT(choose_region({}, plain_route(), m_east, m_distances, none, m_random).region.empty());
	}

	void regions_planned_first_then_by_falling_share()
	{
		const std::vector<region_name> regions =
		    regions_to_try(m_east, {{m_east, 0.1}, {m_north, 0.3}, {m_west, 0.6}}, {});
		CPPUNIT_ASSERT((std::vector<region_name>{m_east, m_west, m_north}) == regions);
	}

	void regions_outside_the_home_regions_are_not_tried()
	{
		const std::vector<region_name> regions =
		    regions_to_try(m_east, {{m_east, 0.1}, {m_north, 0.3}, {m_west, 0.6}}, {"north"});
		CPPUNIT_ASSERT(std::vector<region_name>{m_north} == regions);
	}

	void regions_without_any_share_are_the_home_regions()
	{
		const std::vector<region_name> regions = regions_to_try(m_east, {{m_east, 1.0}}, {"west", "north"});
		CPPUNIT_ASSERT((std::vector<region_name>{m_west, m_north}) == regions);
		CPPUNIT_ASSERT(regions_to_try(region_name(), {}, {}).empty());
	}

	void overflow_from_a_region_outside_the_home_regions_takes_no_token()
	{
		CPPUNIT_ASSERT(must_leave(m_east, {"west"}) && must_leave(region_name(), {}));
		CPPUNIT_ASSERT(!must_leave(m_east, {}) && !must_leave(m_east, {"west", "east"}));
		overflow_bucket bucket;
		for (int i = 0; i < 10; ++i)
		{
			CPPUNIT_ASSERT(overflow_decision::no_choice == bucket.may_leave(m_east, {"west"}, 100.0, m_now));
			CPPUNIT_ASSERT(overflow_decision::no_choice == bucket.may_leave(region_name(), {}, 100.0, m_now));
		}
	}

	int overflowed_in(std::chrono::seconds _time, double _per_s)
	{
		overflow_bucket bucket;
		int overflowed = 0;
		for (const steady_time end = m_now + _time; m_now < end; m_now += std::chrono::milliseconds(10))
		{
			overflowed +=
			    overflow_decision::overflow == bucket.may_leave(m_east, {"east"}, _per_s, m_now) ? 1 : 0;
		}
		return overflowed;
	}

	void overflow_is_limited_to_three_percent()
	{
		const int overflowed = overflowed_in(std::chrono::seconds(10), 100.0);
		CPPUNIT_ASSERT(overflowed >= 28 && overflowed <= 30);
	}

	void overflow_with_few_requests_is_limited_to_one_per_second()
	{
		const int overflowed = overflowed_in(std::chrono::seconds(10), 2.0);
		CPPUNIT_ASSERT(overflowed >= 9 && overflowed <= 10);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_region_choice_test);
} // namespace larkrack
