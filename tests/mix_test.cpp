// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of mix, mix_limiter and shift conditions: distribution of traffic among regions, and the limit on
/// how fast shares move.

#include "fixtures.h"

#include "larkrackd/mix_p.h"
#include "larkrackd/shift_p.h"

#include <rapidcheck.h>

#include <cmath>
#include <numeric>

namespace larkrack
{
class mix_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(mix_test);
	CPPUNIT_TEST(plan_when_shares_equal_demand_keeps_callers_home);
	CPPUNIT_TEST(plan_when_share_grows_takes_from_others_only);
	CPPUNIT_TEST(choice_when_point_is_same_is_same);
	CPPUNIT_TEST(shares_when_region_closed_move_in_proportion);
	CPPUNIT_TEST(shares_when_all_open_are_not_rounded);
	CPPUNIT_TEST(advance_when_target_is_far_gains_at_cap_rate);
	CPPUNIT_TEST(advance_when_region_closed_leaves_rest_unassigned);
	CPPUNIT_TEST(share_when_lowered_regains_at_cap_rate);
	CPPUNIT_TEST(gain_when_targets_are_random_never_exceeds_cap_in_any_window);
	CPPUNIT_TEST(shift_when_target_has_no_headroom_waits);
	CPPUNIT_TEST(shift_when_target_is_cold_waits);
	CPPUNIT_TEST(goal_when_domains_of_region_drained_moves_away);
	CPPUNIT_TEST_SUITE_END();

	static bool near(double _a, double _b)
	{
		return std::abs(_a - _b) < 1e-9;
	}

public:
	void plan_when_shares_equal_demand_keeps_callers_home()
	{
		const mix plan = plan_mix({0.5, 0.3, 0.2}, {0.5, 0.3, 0.2});
		CPPUNIT_ASSERT(near(1.0, plan.part[0]));
		CPPUNIT_ASSERT(near(1.0, plan.part[4]));
		CPPUNIT_ASSERT(near(1.0, plan.part[8]));
	}

	void plan_when_share_grows_takes_from_others_only()
	{
		const std::vector<double> demand = {0.4, 0.3, 0.3};
		const std::vector<double> shares = {0.6, 0.2, 0.2};
		const mix plan = plan_mix(demand, shares);
		CPPUNIT_ASSERT(near(1.0, plan.part[0]));
		for (std::size_t to = 0; to < 3; ++to)
		{
			double sum = 0.0;
			for (std::size_t home = 0; home < 3; ++home)
			{
				sum += demand[home] * plan.part[home * 3 + to];
			}
			CPPUNIT_ASSERT(near(shares[to], sum));
		}
	}

	void choice_when_point_is_same_is_same()
	{
		const mix plan = plan_mix({0.4, 0.3, 0.3}, {0.6, 0.2, 0.2});
		CPPUNIT_ASSERT(plan.choose({1}, 0.9) == plan.choose({1}, 0.9));
		CPPUNIT_ASSERT(region_handle{0} == plan.choose({1}, 0.1));
		CPPUNIT_ASSERT(region_handle{1} == plan.choose({1}, 0.9));
	}

	void shares_when_region_closed_move_in_proportion()
	{
		const std::vector<double> shares = redistribute_closed_shares({0.5, 0.3, 0.2}, {false, true, true});
		CPPUNIT_ASSERT(near(0.0, shares[0]));
		CPPUNIT_ASSERT(near(0.6, shares[1]));
		CPPUNIT_ASSERT(near(0.4, shares[2]));
	}

	void shares_when_all_open_are_not_rounded()
	{
		const std::vector<double> shares = {0.25, 0.5, 0.25 - 1e-16};
		CPPUNIT_ASSERT(shares == redistribute_closed_shares(shares, {true, true, true}));
		CPPUNIT_ASSERT(are_shares_equal(shares, {0.25, 0.5, 0.25}));
		CPPUNIT_ASSERT(!are_shares_equal(shares, {0.26, 0.49, 0.25}));
	}

	void advance_when_target_is_far_gains_at_cap_rate()
	{
		clock_virtual clock;
		mix_limiter limiter(0.1, std::chrono::seconds(10));
		limiter.reset({0.5, 0.5}, clock.steady());
		for (int tick = 0; tick < 100; ++tick)
		{
			clock.advance(std::chrono::milliseconds(100));
			limiter.advance({1.0, 0.0}, {true, true}, clock.steady());
		}
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.6, limiter.current()[0], 0.002);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, limiter.current()[1], 0.002);
	}

	void advance_when_region_closed_leaves_rest_unassigned()
	{
		clock_virtual clock;
		mix_limiter limiter(0.1, std::chrono::seconds(10));
		limiter.reset({0.5, 0.5}, clock.steady());
		clock.advance(std::chrono::seconds(1));
		limiter.advance({0.0, 1.0}, {false, true}, clock.steady());
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, limiter.current()[0], 1e-9);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.51, limiter.current()[1], 1e-9);
	}

	void share_when_lowered_regains_at_cap_rate()
	{
		clock_virtual clock;
		mix_limiter limiter(0.1, std::chrono::seconds(10));
		limiter.reset({0.5, 0.5}, clock.steady());
		limiter.lower(0, 0.2, clock.steady());
		clock.advance(std::chrono::seconds(5));
		limiter.advance({0.5, 0.5}, {true, true}, clock.steady());
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, limiter.current()[0], 1e-9);
	}

	void gain_when_targets_are_random_never_exceeds_cap_in_any_window()
	{
		const bool held = rc::check("no region gains more than the cap in a window",
		    [](const std::vector<std::uint8_t>& _steps)
		    {
			    constexpr double k_cap = 0.1;
			    const auto window = std::chrono::seconds(2);
			    clock_virtual clock;
			    mix_limiter limiter(k_cap, window);
			    limiter.reset({0.4, 0.3, 0.3}, clock.steady());
			    std::vector<std::pair<steady_time, std::vector<double>>> history;
			    for (const std::uint8_t step : _steps)
			    {
				    clock.advance(std::chrono::milliseconds(20 + step));
				    std::vector<bool> open = {0 != step % 5, 0 != step % 7, true};
				    std::vector<double> target = {(step % 4) / 4.0, 0.0, 0.0};
				    target[1] = (1.0 - target[0]) / 2;
				    target[2] = 1.0 - target[0] - target[1];
				    limiter.advance(redistribute_closed_shares(target, open), open, clock.steady());
				    const std::vector<double>& now = limiter.current();
				    RC_ASSERT(std::accumulate(now.begin(), now.end(), 0.0) <= 1.0 + 1e-9);
				    for (const auto& [at, shares] : history)
				    {
					    for (std::size_t region = 0; at + window >= clock.steady() && region < 3; ++region)
					    {
						    RC_ASSERT(now[region] <= shares[region] + k_cap + 1e-9);
					    }
				    }
				    history.emplace_back(clock.steady(), now);
			    }
		    });
		CPPUNIT_ASSERT(held);
	}

	void shift_when_target_has_no_headroom_waits()
	{
		const region_capacity full{true, 100, 99, 100, false};
		const region_capacity free{true, 100, 10, 100, false};
		CPPUNIT_ASSERT_EQUAL(std::string("headroom"), waits_for({0.5, 0.5}, {0.6, 0.4}, {full, free}));
		CPPUNIT_ASSERT_EQUAL(std::string(), waits_for({0.5, 0.5}, {0.4, 0.6}, {full, free}));
	}

	void shift_when_target_is_cold_waits()
	{
		const region_capacity cold{true, 100, 10, 100, true};
		CPPUNIT_ASSERT_EQUAL(std::string("cold"), waits_for({0.5, 0.5}, {0.6, 0.4}, {cold, cold}));
	}

	void goal_when_domains_of_region_drained_moves_away()
	{
		config_state state = small_configuration();
		put(state, "domain/east-a", {{"region", "east"}, {"drain", true}});
		const policy_ptr rules = std::get<policy_ptr>(build_policy(state));
		const std::vector<double> goal = goal_shares(*rules, rules->services[0]);
		CPPUNIT_ASSERT(near(0.0, goal[0]));
		CPPUNIT_ASSERT(near(0.5, goal[1]));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(mix_test);
} // namespace larkrack
