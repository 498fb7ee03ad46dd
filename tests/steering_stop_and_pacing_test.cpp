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
	CPPUNIT_TEST(request_that_ends_before_its_end_for_certain_is_taken_all_through_the_stop);
	CPPUNIT_TEST(request_that_may_run_longer_is_taken_in_the_first_seconds_only);
	CPPUNIT_TEST(request_that_must_not_run_twice_is_taken_only_if_it_ends_in_time);
	CPPUNIT_TEST(request_of_a_fast_route_is_taken_as_long_as_twice_its_slowest_time_is_left);
	CPPUNIT_TEST(request_that_usually_takes_longer_than_what_is_left_is_refused_at_once);
	CPPUNIT_TEST(node_without_requests_ends_not_before_the_minimum_time);
	CPPUNIT_TEST(idle_node_ends_just_before_the_kill);
	CPPUNIT_TEST(node_with_an_open_request_runs_until_the_kill);
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
		CPPUNIT_ASSERT(!decision.close_idle && !decision.last_answers && !decision.end);
		CPPUNIT_ASSERT(stop_reason::serving == decision.reason);
	}

	void idle_connections_are_closed_after_a_second_and_a_half()
	{
		CPPUNIT_ASSERT(!plan(1499, 1, 0).close_idle);
		CPPUNIT_ASSERT(plan(1500, 1, 0).close_idle);
	}

	/// @param[in] _deadline_ms Time until the deadline of the request.
	/// @returns Whether a node with a grace period of 10 s takes a request.
	static bool takes(
	    int _passed_ms, int _deadline_ms, const route_time_estimate& _known = {}, bool _at_most_once = false)
	{
		const steady_time began(std::chrono::hours(1));
		return takes_while_stopping({began, std::chrono::milliseconds(10000)},
		    {std::chrono::milliseconds(_deadline_ms), _known, _at_most_once},
		    began + std::chrono::milliseconds(_passed_ms));
	}
	static route_time_estimate known(int _usual_ms, int _slowest_ms)
	{
		return {std::chrono::milliseconds(_usual_ms), std::chrono::milliseconds(_slowest_ms)};
	}

	void request_that_ends_before_its_end_for_certain_is_taken_all_through_the_stop()
	{
		CPPUNIT_ASSERT(takes(4500, 5000));
		CPPUNIT_ASSERT(!takes(4500, 5001));
		CPPUNIT_ASSERT(takes(9200, 300));
		CPPUNIT_ASSERT(!takes(9500, 0));
	}

	/// Guards against payments that are taken more than three seconds after the stop request and cut at its
	/// end (review/3).
	void request_that_may_run_longer_is_taken_in_the_first_seconds_only()
	{
		CPPUNIT_ASSERT(takes(2999, 8000));
		CPPUNIT_ASSERT(!takes(3000, 8000));
		CPPUNIT_ASSERT(!takes(4200, 8000));
	}

	void request_that_must_not_run_twice_is_taken_only_if_it_ends_in_time()
	{
		CPPUNIT_ASSERT(!takes(0, 9501, {}, true));
		CPPUNIT_ASSERT(takes(0, 9500, {}, true));
		CPPUNIT_ASSERT(takes(1500, 15000, known(1000, 4000), true));
		CPPUNIT_ASSERT(!takes(1501, 15000, known(1000, 4000), true));
	}

	void request_of_a_fast_route_is_taken_as_long_as_twice_its_slowest_time_is_left()
	{
		CPPUNIT_ASSERT(takes(5000, 8000, known(50, 60)));
		CPPUNIT_ASSERT(takes(9380, 8000, known(50, 60)));
		CPPUNIT_ASSERT(!takes(9381, 8000, known(50, 60)));
		CPPUNIT_ASSERT(!takes(5000, 8000, known(50, 3000)));
	}

	void request_that_usually_takes_longer_than_what_is_left_is_refused_at_once()
	{
		CPPUNIT_ASSERT(takes(0, 20000, known(9000, 12000)));
		CPPUNIT_ASSERT(!takes(600, 20000, known(9000, 12000)));
	}

	void node_without_requests_ends_not_before_the_minimum_time()
	{
		CPPUNIT_ASSERT(!plan(2499, 0, 2499).end);
		CPPUNIT_ASSERT(plan(2500, 0, 500).end);
		CPPUNIT_ASSERT(stop_reason::quiet == plan(2500, 0, 500).reason);
	}

	void idle_node_ends_just_before_the_kill()
	{
		CPPUNIT_ASSERT(!plan(9499, 0, 0).end);
		CPPUNIT_ASSERT(plan(9500, 0, 0).end);
		CPPUNIT_ASSERT(stop_reason::grace_period_over == plan(9500, 0, 0).reason);
	}

	/// Guards against answers that are cut although the platform would have waited for them.
	void node_with_an_open_request_runs_until_the_kill()
	{
		CPPUNIT_ASSERT(!plan(9499, 1, 0).last_answers);
		CPPUNIT_ASSERT(plan(9500, 1, 0).last_answers);
		CPPUNIT_ASSERT(!plan(9999, 1, 0).end);
		CPPUNIT_ASSERT(plan(10000, 1, 0).end);
	}

	void node_with_recent_requests_keeps_running()
	{
		CPPUNIT_ASSERT(!plan(4000, 0, 499).end);
	}
};

class route_times_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(route_times_test);
	CPPUNIT_TEST(times_of_few_requests_tell_nothing);
	CPPUNIT_TEST(slowest_and_usual_time_are_those_of_the_last_requests);
	CPPUNIT_TEST(running_request_that_is_older_than_all_ended_ones_hides_the_slowest_time);
	CPPUNIT_TEST(running_requests_raise_the_usual_time);
	CPPUNIT_TEST_SUITE_END();

protected:
	static route_times times(int _count, int _ms)
	{
		route_times all;
		for (int i = 0; i < _count; ++i)
		{
			all.add(std::chrono::milliseconds(_ms));
		}
		return all;
	}

	void times_of_few_requests_tell_nothing()
	{
		const route_time_estimate known = times(7, 50).estimate({});
		CPPUNIT_ASSERT(!known.usual && !known.slowest);
	}

	void slowest_and_usual_time_are_those_of_the_last_requests()
	{
		route_times all = times(40, 9000);
		for (int ms = 1; ms <= 32; ++ms)
		{
			all.add(std::chrono::milliseconds(ms));
		}
		const route_time_estimate known = all.estimate({std::chrono::milliseconds(32)});
		CPPUNIT_ASSERT(std::chrono::milliseconds(32) == known.slowest);
		CPPUNIT_ASSERT(std::chrono::milliseconds(17) == known.usual);
	}

	/// Guards against a route that looks fast because only its short requests have ended.
	void running_request_that_is_older_than_all_ended_ones_hides_the_slowest_time()
	{
		CPPUNIT_ASSERT(!times(20, 50).estimate({std::chrono::milliseconds(51)}).slowest);
	}

	void running_requests_raise_the_usual_time()
	{
		const std::vector<steady_time::duration> running(8, std::chrono::seconds(3));
		CPPUNIT_ASSERT(std::chrono::seconds(3) == times(20, 50).estimate(running).usual);
		CPPUNIT_ASSERT(std::chrono::seconds(3) == route_times().estimate(running).usual);
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
CPPUNIT_TEST_SUITE_REGISTRATION(route_times_test);
CPPUNIT_TEST_SUITE_REGISTRATION(store_pacing_test);
} // namespace larkrack
