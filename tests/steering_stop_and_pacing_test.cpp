// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of the steps of a graceful shutdown, and of backoff and registration at the store.

#include "fixtures.h"

#include "steering/planned_stop_p.h"
#include "steering/store_pacing_p.h"

namespace larkrack
{
class planned_stop_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(planned_stop_test);
	CPPUNIT_TEST(stop_at_its_start_changes_nothing);
	CPPUNIT_TEST(idle_connections_are_closed_after_a_second_and_a_half);
	CPPUNIT_TEST(new_requests_are_refused_from_45_percent_of_the_grace_on);
	CPPUNIT_TEST(node_without_requests_ends_not_before_the_minimum_time);
	CPPUNIT_TEST(node_with_an_open_request_ends_just_before_the_kill);
	CPPUNIT_TEST(node_with_recent_requests_keeps_running);
	CPPUNIT_TEST_SUITE_END();

protected:
	static stop_decision plan(int _passed_ms, std::size_t _busy, int _since_request_ms)
	{
		return plan_stop({std::chrono::milliseconds(_passed_ms), std::chrono::milliseconds(10000), _busy,
		    std::chrono::milliseconds(_since_request_ms)});
	}

	void stop_at_its_start_changes_nothing()
	{
		const stop_decision decision = plan(0, 0, 0);
		CPPUNIT_ASSERT(!decision.close_idle && !decision.refuse_new && !decision.end);
		CPPUNIT_ASSERT(stop_reason::serving == decision.reason);
	}

	void idle_connections_are_closed_after_a_second_and_a_half()
	{
		CPPUNIT_ASSERT(!plan(1499, 1, 0).close_idle);
		CPPUNIT_ASSERT(plan(1500, 1, 0).close_idle);
	}

	void new_requests_are_refused_from_45_percent_of_the_grace_on()
	{
		CPPUNIT_ASSERT(!plan(4499, 1, 0).refuse_new);
		CPPUNIT_ASSERT(plan(4500, 1, 0).refuse_new);
	}

	void node_without_requests_ends_not_before_the_minimum_time()
	{
		CPPUNIT_ASSERT(!plan(2499, 0, 2499).end);
		CPPUNIT_ASSERT(plan(2500, 0, 500).end);
		CPPUNIT_ASSERT(stop_reason::quiet == plan(2500, 0, 500).reason);
	}

	void node_with_an_open_request_ends_just_before_the_kill()
	{
		CPPUNIT_ASSERT(!plan(9499, 1, 9000).end);
		CPPUNIT_ASSERT(plan(9500, 1, 9000).end);
		CPPUNIT_ASSERT(stop_reason::grace_period_over == plan(9500, 1, 9000).reason);
	}

	void node_with_recent_requests_keeps_running()
	{
		CPPUNIT_ASSERT(!plan(4000, 0, 499).end);
	}
};

class store_pacing_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(store_pacing_test);
	CPPUNIT_TEST(backoff_doubles_up_to_its_bound_and_has_jitter);
	CPPUNIT_TEST(registration_expires_only_by_an_answer_of_the_store);
	CPPUNIT_TEST(registration_is_renewed_three_times_in_its_time_to_live);
	CPPUNIT_TEST_SUITE_END();

protected:
	void backoff_doubles_up_to_its_bound_and_has_jitter()
	{
		std::minstd_rand random(1);
		const int bounds_ms[] = {100, 200, 400, 800, 800, 800, 800};
		for (int tries = 0; tries < 7; ++tries)
		{
			auto shortest = std::chrono::milliseconds::max();
			auto longest = std::chrono::milliseconds::min();
			for (int i = 0; i < 1000; ++i)
			{
				const std::chrono::milliseconds pause = draw_backoff(tries, random);
				shortest = std::min(shortest, pause);
				longest = std::max(longest, pause);
			}
			CPPUNIT_ASSERT(shortest >= std::chrono::milliseconds(bounds_ms[tries] / 2));
			CPPUNIT_ASSERT(longest <= std::chrono::milliseconds(bounds_ms[tries]));
			CPPUNIT_ASSERT(longest - shortest > std::chrono::milliseconds(bounds_ms[tries] / 4));
		}
	}

	void registration_expires_only_by_an_answer_of_the_store()
	{
		CPPUNIT_ASSERT(registration_expired(true, std::chrono::seconds(0)));
		CPPUNIT_ASSERT(!registration_expired(true, std::chrono::seconds(30)));
		CPPUNIT_ASSERT(!registration_expired(false, std::chrono::seconds(0)));
	}

	void registration_is_renewed_three_times_in_its_time_to_live()
	{
		CPPUNIT_ASSERT(3 * k_registration_renewal <= k_registration_ttl);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(planned_stop_test);
CPPUNIT_TEST_SUITE_REGISTRATION(store_pacing_test);
} // namespace larkrack
