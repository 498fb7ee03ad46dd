// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Forecast of waits, schedule of returns and detection of returns, each alone on a virtual clock.

#include "fixtures.h"

#include "steering/request_times_p.h"
#include "steering/retry_schedule_p.h"
#include "steering/return_detector_p.h"
#include "steering/wait_forecast_p.h"

#include <map>
#include <random>
#include <vector>

namespace larkrack
{
namespace
{
using ms = std::chrono::milliseconds;

steady_time at(ms _time)
{
	return steady_time{} + std::chrono::hours(1) + _time;
}
urgency rank(int _route)
{
	urgency one;
	one.of_route = _route;
	return one;
}
wait_request request(int _route, ms _arrived)
{
	wait_request one;
	one.rank = rank(_route);
	one.objective = ms(500);
	one.arrived_at = at(_arrived);
	one.deadline = at(_arrived + ms(10000));
	return one;
}
queue_ahead ahead(std::size_t _requests)
{
	return {_requests, _requests};
}
} // namespace

class steering_wait_forecast_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_wait_forecast_test);
	CPPUNIT_TEST(request_waits_until_its_latest_useful_start_or_is_refused_at_once);
	CPPUNIT_TEST(regular_slots_refuse_none_that_would_succeed_and_hold_none_in_vain);
	CPPUNIT_TEST(random_slots_hold_few_in_vain_and_stay_in_use);
	CPPUNIT_TEST(lost_capacity_counts_within_600_ms);
	CPPUNIT_TEST(stall_counts_without_any_event);
	CPPUNIT_TEST(evidence_of_an_earlier_overload_fades_to_the_prior);
	CPPUNIT_TEST(more_urgent_arrivals_refuse_a_less_urgent_request);
	CPPUNIT_TEST(margin_for_chance_counts_only_in_overload);
	CPPUNIT_TEST(late_request_waits_behind_all_others_and_only_for_room_left_over);
	CPPUNIT_TEST(late_request_leaves_a_slot_for_the_next_arrivals);
	CPPUNIT_TEST(caller_that_returned_waits_for_a_late_answer_and_a_first_arrival_is_refused);
	CPPUNIT_TEST(early_caller_is_ordered_last_and_not_sent_before_its_time);
	CPPUNIT_TEST(node_without_slots_refuses_at_once);
	CPPUNIT_TEST_SUITE_END();

protected:
	/// 10 slots and 200 ms: 50 freed slots a second.
	static wait_forecast forecast()
	{
		wait_forecast one;
		one.tick(10.0, 0.2, at(ms(0)));
		return one;
	}

	void request_waits_until_its_latest_useful_start_or_is_refused_at_once()
	{
		const wait_forecast one = forecast();
		const wait_answer waits = one.decide(request(0, ms(0)), ahead(10), 0.0, at(ms(0)));
		CPPUNIT_ASSERT(waits.waits);
		CPPUNIT_ASSERT(wait_band::in_time == waits.band);
		CPPUNIT_ASSERT(at(ms(300)) == waits.until);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.22, waits.expected_s, 1e-9);
		CPPUNIT_ASSERT(!one.decide(request(0, ms(0)), ahead(15), 0.0, at(ms(0))).waits);
		wait_request used = request(0, ms(0));
		used.used_up = ms(200);
		CPPUNIT_ASSERT(at(ms(100)) == one.decide(used, ahead(0), 0.0, at(ms(0))).until);
		wait_request hurried = request(0, ms(0));
		hurried.deadline = at(ms(250));
		CPPUNIT_ASSERT(at(ms(50)) == one.decide(hurried, ahead(0), 0.0, at(ms(0))).until);
	}

	/// Slots are freed every 20 ms; twice as many requests arrive, of one rank. Guards against refusals of
	/// requests for which a slot is freed in time, and against waits that end without one. The first 2 s are
	/// left out of the refusals: the margin for chance holds until the slots are known to be regular.
	void regular_slots_refuse_none_that_would_succeed_and_hold_none_in_vain()
	{
		wait_forecast one = forecast();
		std::map<int, steady_time> waiting; // Latest start by arrival.
		int in_vain = 0;
		int refused = 0;
		int refused_early = 0;
		for (int t = 0; t < 5000; t += 10)
		{
			const steady_time now = at(ms(t));
			if (0 == t % 20 && !waiting.empty())
			{
				in_vain += waiting.begin()->second < now ? 1 : 0;
				waiting.erase(waiting.begin());
				one.on_sent_from_queue(now);
			}
			one.on_arrival(rank(0), now);
			const wait_answer answer = one.decide(request(0, ms(t)), ahead(waiting.size()), 0.0, now);
			if (answer.waits)
			{
				waiting[t] = answer.until;
				one.on_waits(now);
				continue;
			}
			++refused;
			refused_early += t >= 2000 && waiting.size() < 10 ? 1 : 0;
		}
		CPPUNIT_ASSERT(refused > 200);
		CPPUNIT_ASSERT_EQUAL(0, in_vain);
		// Each refused request finds a queue that takes at least 200 of the 300 ms that it can wait.
		CPPUNIT_ASSERT_EQUAL(0, refused_early);
	}

	struct random_figures
	{
		double arrived = 0.0;
		double in_vain = 0.0; ///< Waited until the latest start, part of the refused.
		double served = 0.0;  ///< Part of all.
		double would_succeed =
		    0.0; ///< Refused at once although enough slots were freed in time, part of all.
	};
	/// Slots are freed at random, 50 a second; requests of one rank arrive at random.
	static random_figures run_random(double _arrivals_per_s)
	{
		std::minstd_rand random(7);
		std::exponential_distribution<double> pause(_arrivals_per_s);
		std::vector<double> freed_s;
		for (double t = 0.0; t < 110.0; t += std::exponential_distribution<double>(50.0)(random))
		{
			freed_s.push_back(t);
		}
		wait_forecast one = forecast();
		std::vector<steady_time> waiting; // Latest starts, in order.
		random_figures figures;
		double refused = 0.0;
		std::size_t next = 0;
		for (double t = pause(random); t < 100.0; t += pause(random))
		{
			for (; next < freed_s.size() && freed_s[next] <= t; ++next)
			{
				const steady_time freed = at(ms(static_cast<int>(1000.0 * freed_s[next])));
				while (!waiting.empty() && waiting.front() < freed)
				{
					waiting.erase(waiting.begin());
					figures.in_vain += 1.0;
					refused += 1.0;
				}
				if (!waiting.empty())
				{
					waiting.erase(waiting.begin());
					one.on_sent_from_queue(freed);
				}
				if (waiting.empty())
				{
					one.on_none_waiting(freed);
				}
			}
			const ms arrived(static_cast<int>(1000.0 * t));
			figures.arrived += 1.0;
			one.on_arrival(rank(0), at(arrived));
			const wait_answer answer =
			    one.decide(request(0, arrived), ahead(waiting.size()), 0.0, at(arrived));
			if (answer.waits)
			{
				waiting.push_back(answer.until);
				one.on_waits(at(arrived));
				continue;
			}
			refused += 1.0;
			const bool enough =
			    next + waiting.size() < freed_s.size() && freed_s[next + waiting.size()] <= t + 0.3;
			figures.would_succeed += enough ? 1.0 : 0.0;
		}
		figures.served = 1.0 - refused / figures.arrived;
		figures.in_vain /= std::max(1.0, refused);
		figures.would_succeed /= figures.arrived;
		return figures;
	}

	/// Guards against a margin that refuses what a calm queue would serve, against slots that stay free in
	/// overload, and against waits in vain there. Chance decides some requests either way, so the bounds are
	/// fractions.
	void random_slots_hold_few_in_vain_and_stay_in_use()
	{
		const random_figures calm = run_random(40.0);
		CPPUNIT_ASSERT(calm.would_succeed <= 0.06);
		CPPUNIT_ASSERT(calm.in_vain <= 0.08);
		const random_figures full = run_random(47.5);
		CPPUNIT_ASSERT(full.would_succeed <= 0.11);
		CPPUNIT_ASSERT(full.in_vain <= 0.03);
		const random_figures overload = run_random(100.0);
		CPPUNIT_ASSERT(overload.served >= 0.48);
		CPPUNIT_ASSERT(overload.in_vain <= 0.02);
	}

	static void send(wait_forecast& _forecast, int _from, int _until, int _step)
	{
		for (int t = _from; t < _until; t += _step)
		{
			_forecast.on_sent_from_queue(at(ms(t)));
		}
	}

	void lost_capacity_counts_within_600_ms()
	{
		wait_forecast one = forecast();
		one.on_waits(at(ms(0)));
		send(one, 20, 2000, 20);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(50.0, one.freed_per_s(at(ms(2000))), 3.0);
		send(one, 2100, 2600, 100);
		CPPUNIT_ASSERT(one.freed_per_s(at(ms(2600))) < 25.0);
		send(one, 2600, 3400, 100);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(11.0, one.freed_per_s(at(ms(3400))), 3.0);
	}

	void stall_counts_without_any_event()
	{
		wait_forecast one = forecast();
		one.on_waits(at(ms(0)));
		send(one, 20, 2000, 20);
		CPPUNIT_ASSERT(one.freed_per_s(at(ms(3000))) < 30.0);
		one.tick(10.0, 0.2, at(ms(3000)));
		CPPUNIT_ASSERT(one.freed_per_s(at(ms(3000))) < 15.0);
	}

	void evidence_of_an_earlier_overload_fades_to_the_prior()
	{
		wait_forecast one = forecast();
		one.on_waits(at(ms(0)));
		send(one, 100, 2000, 100);
		one.on_none_waiting(at(ms(2000)));
		CPPUNIT_ASSERT(one.freed_per_s(at(ms(2000))) < 20.0);
		one.on_waits(at(ms(12000)));
		CPPUNIT_ASSERT_DOUBLES_EQUAL(50.0, one.freed_per_s(at(ms(12000))), 1.0);
	}

	void more_urgent_arrivals_refuse_a_less_urgent_request()
	{
		wait_forecast one = forecast();
		CPPUNIT_ASSERT(one.decide(request(1, ms(0)), ahead(0), 0.0, at(ms(0))).waits);
		for (int t = 0; t < 500; t += 15)
		{
			one.on_arrival(rank(0), at(ms(t)));
		}
		CPPUNIT_ASSERT(!one.decide(request(1, ms(500)), ahead(0), 0.0, at(ms(500))).waits);
		CPPUNIT_ASSERT(one.decide(request(0, ms(500)), ahead(0), 0.0, at(ms(500))).waits);
		CPPUNIT_ASSERT(one.decide(request(1, ms(2000)), ahead(0), 0.0, at(ms(2000))).waits);
	}

	void margin_for_chance_counts_only_in_overload()
	{
		wait_forecast one = forecast();
		const double calm_s = one.decide(request(0, ms(0)), ahead(8), 0.0, at(ms(0))).expected_s;
		for (int t = 0; t < 2000; t += 10)
		{
			one.on_arrival(rank(0), at(ms(t)));
		}
		const double overload_s = one.decide(request(0, ms(2000)), ahead(8), 0.0, at(ms(2000))).expected_s;
		CPPUNIT_ASSERT_DOUBLES_EQUAL(calm_s + k_wait_deviations * 3.0 / 50.0, overload_s, 1e-9);
	}

	void late_request_waits_behind_all_others_and_only_for_room_left_over()
	{
		const wait_forecast one = forecast();
		wait_request late = request(0, ms(0));
		late.used_up = ms(900);
		CPPUNIT_ASSERT(wait_band::late == one.band(late, at(ms(0))));
		CPPUNIT_ASSERT(!one.decide(late, ahead(0), 0.0, at(ms(0))).waits);
		const wait_answer answer = one.decide(late, ahead(0), 5.0, at(ms(0)));
		CPPUNIT_ASSERT(answer.waits);
		CPPUNIT_ASSERT(at(ms(9800)) == answer.until);
		CPPUNIT_ASSERT(!one.decide(late, ahead(60), 5.0, at(ms(0))).waits);
		const wait_order least_urgent = wait_forecast::order(request(9, ms(0)), wait_band::in_time);
		CPPUNIT_ASSERT(least_urgent < wait_forecast::order(late, wait_band::late));
	}

	void late_request_leaves_a_slot_for_the_next_arrivals()
	{
		const wait_forecast one = forecast();
		CPPUNIT_ASSERT(!one.late_may_start(1.0, 40.0, at(ms(0))));
		CPPUNIT_ASSERT(one.late_may_start(2.0, 40.0, at(ms(0))));
		CPPUNIT_ASSERT(!one.late_may_start(2.0, 60.0, at(ms(0))));
	}

	void caller_that_returned_waits_for_a_late_answer_and_a_first_arrival_is_refused()
	{
		const wait_forecast one = forecast();
		wait_request returned = request(0, ms(0));
		returned.used_up = ms(200);
		CPPUNIT_ASSERT(wait_band::late == one.decide(returned, ahead(10), 5.0, at(ms(0))).band);
		CPPUNIT_ASSERT(one.decide(returned, ahead(10), 5.0, at(ms(0))).waits);
		CPPUNIT_ASSERT(!one.decide(request(0, ms(0)), ahead(20), 5.0, at(ms(0))).waits);
	}

	void early_caller_is_ordered_last_and_not_sent_before_its_time()
	{
		const wait_forecast one = forecast();
		wait_request early = request(0, ms(0));
		early.used_up = ms(50);
		early.early = true;
		early.not_before = at(ms(400));
		CPPUNIT_ASSERT(wait_band::early == one.decide(early, ahead(0), 5.0, at(ms(0))).band);
		const wait_order order = wait_forecast::order(early, wait_band::early);
		CPPUNIT_ASSERT(at(ms(400)) == order.not_before);
		CPPUNIT_ASSERT(wait_forecast::order(request(9, ms(0)), wait_band::late) < order);
	}

	/// Guards against a division by zero that holds requests forever.
	void node_without_slots_refuses_at_once()
	{
		wait_forecast one;
		one.tick(0.0, 0.2, at(ms(0)));
		CPPUNIT_ASSERT(!one.decide(request(0, ms(0)), ahead(0), 0.0, at(ms(0))).waits);
		CPPUNIT_ASSERT(!one.late_may_start(1.0, 0.0, at(ms(0))));
	}
};

class steering_retry_schedule_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_retry_schedule_test);
	CPPUNIT_TEST(node_that_restarted_gives_times_between_the_fixed_limits);
	CPPUNIT_TEST(returns_of_any_second_stay_within_the_free_room);
	CPPUNIT_TEST(retry_time_is_within_the_patience_and_not_below_the_minimum);
	CPPUNIT_TEST(without_room_returns_are_spread_over_the_patience);
	CPPUNIT_TEST(early_caller_books_nothing);
	CPPUNIT_TEST(burst_of_two_seconds_does_not_count_as_usual_demand);
	CPPUNIT_TEST(lost_capacity_lowers_the_room_at_once);
	CPPUNIT_TEST(urgent_caller_takes_a_part_of_less_urgent_demand_when_there_is_no_room);
	CPPUNIT_TEST(shortest_and_mean_retry_time_of_a_past_refusal_are_known);
	CPPUNIT_TEST_SUITE_END();

protected:
	static constexpr ms k_known{20000};

	/// Runs some seconds of steady demand of two ranks, half each.
	static void run(retry_schedule& _schedule, int _from_s, int _until_s, int _per_s, double _capacity_per_s)
	{
		for (int s = _from_s; s < _until_s; ++s)
		{
			for (int i = 0; i < _per_s; ++i)
			{
				_schedule.count_first(rank(i % 2));
			}
			_schedule.tick(_capacity_per_s, at(ms(1000 * (s + 1))));
		}
	}
	static retry_schedule known(int _per_s, double _capacity_per_s)
	{
		retry_schedule schedule(1);
		schedule.tick(_capacity_per_s, at(ms(0)));
		run(schedule, 0, 20, _per_s, _capacity_per_s);
		return schedule;
	}

	void node_that_restarted_gives_times_between_the_fixed_limits()
	{
		retry_schedule schedule(1);
		schedule.tick(100.0, at(ms(0)));
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, schedule.spare_per_s(), 1e-9);
		for (int i = 0; i < 100; ++i)
		{
			const double after_s = schedule.retry_after_s(rank(0), ms(30000), false, at(ms(10)));
			CPPUNIT_ASSERT(after_s >= k_retry_after_min_s && after_s <= k_retry_after_max_s);
		}
	}

	void returns_of_any_second_stay_within_the_free_room()
	{
		for (const int per_s : {52, 75, 90}) // 43, 20 and 5 a second are free.
		{
			retry_schedule schedule = known(per_s, 100.0);
			CPPUNIT_ASSERT_DOUBLES_EQUAL(95.0 - per_s, schedule.free_per_s(), 1e-6);
			std::map<int, int> returns;
			const int callers = 5 * (95 - per_s);
			for (int i = 0; i < callers; ++i)
			{
				++returns[static_cast<int>(schedule.retry_after_s(rank(1), ms(30000), false, at(k_known)))];
			}
			for (const auto& [second, count] : returns)
			{
				CPPUNIT_ASSERT(count <= 95 - per_s + 1);
			}
		}
	}

	void retry_time_is_within_the_patience_and_not_below_the_minimum()
	{
		retry_schedule schedule = known(90, 100.0);
		for (const int left_ms : {0, 500, 1000, 3000, 30000, 3600000})
		{
			for (int i = 0; i < 100; ++i)
			{
				const double after_s = schedule.retry_after_s(rank(1), ms(left_ms), false, at(k_known));
				CPPUNIT_ASSERT(after_s >= k_retry_after_min_s);
				CPPUNIT_ASSERT(after_s <= std::max(k_retry_after_min_s, left_ms / 3000.0));
			}
		}
	}

	/// Guards against a node without any room that tells all callers the same time.
	void without_room_returns_are_spread_over_the_patience()
	{
		retry_schedule schedule = known(200, 100.0);
		std::map<int, int> returns;
		for (int i = 0; i < 970; ++i)
		{
			++returns[static_cast<int>(schedule.retry_after_s(rank(1), ms(30000), false, at(k_known)))];
		}
		for (int second = 1; second < 10; ++second)
		{
			CPPUNIT_ASSERT(std::abs(returns[second] - 100) <= 10);
		}
	}

	void early_caller_books_nothing()
	{
		retry_schedule schedule = known(90, 100.0);
		for (int i = 0; i < 1000; ++i)
		{
			schedule.retry_after_s(rank(1), ms(30000), true, at(k_known));
		}
		CPPUNIT_ASSERT(schedule.retry_after_s(rank(1), ms(30000), false, at(k_known)) < 1.0);
	}

	void burst_of_two_seconds_does_not_count_as_usual_demand()
	{
		retry_schedule schedule = known(50, 100.0);
		run(schedule, 20, 22, 300, 100.0);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(50.0, schedule.first_per_s(), 1e-6);
		run(schedule, 22, 37, 300, 100.0);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(300.0, schedule.first_per_s(), 1e-6);
	}

	void lost_capacity_lowers_the_room_at_once()
	{
		retry_schedule schedule = known(50, 100.0);
		schedule.tick(60.0, at(k_known + ms(100)));
		CPPUNIT_ASSERT_DOUBLES_EQUAL(7.0, schedule.free_per_s(), 1e-6);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(50.0, schedule.spare_per_s(), 1e-6);
	}

	void urgent_caller_takes_a_part_of_less_urgent_demand_when_there_is_no_room()
	{
		const retry_schedule schedule = known(100, 100.0);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, schedule.room_per_s(rank(1)), 1e-6);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(k_displaced_fraction * 45.0, schedule.room_per_s(rank(0)), 1e-6);
	}

	void shortest_and_mean_retry_time_of_a_past_refusal_are_known()
	{
		retry_schedule schedule = known(90, 100.0);
		double sum_s = 0.0;
		for (int i = 0; i < 10; ++i)
		{
			sum_s += schedule.retry_after_s(rank(1), ms(30000), false, at(k_known));
		}
		const given_retry_times given = schedule.given(ms(800), at(k_known + ms(800)));
		CPPUNIT_ASSERT_DOUBLES_EQUAL(sum_s / 10.0, given.mean_s, 1e-6);
		CPPUNIT_ASSERT(given.shortest_s < given.mean_s);
		const given_retry_times none = schedule.given(ms(800), at(k_known + ms(9000)));
		CPPUNIT_ASSERT_DOUBLES_EQUAL(k_retry_after_min_s, none.shortest_s, 1e-9);
	}
};

class steering_return_detector_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_return_detector_test);
	CPPUNIT_TEST(node_that_restarted_recognizes_no_return_before_50_requests);
	CPPUNIT_TEST(return_is_recognized_by_the_time_that_it_used_up);
	CPPUNIT_TEST(caller_that_returned_too_soon_is_early);
	CPPUNIT_TEST(request_without_stated_timeout_is_a_first_arrival);
	CPPUNIT_TEST(several_usual_timeouts_are_all_first_arrivals);
	CPPUNIT_TEST(rare_timeout_is_at_worst_treated_as_a_return);
	CPPUNIT_TEST(timeouts_without_a_common_value_recognize_no_return);
	CPPUNIT_TEST(changed_timeout_is_learned_and_the_old_one_forgotten);
	CPPUNIT_TEST(returns_in_large_numbers_do_not_displace_the_usual_timeout);
	CPPUNIT_TEST(number_of_known_routes_is_bounded);
	CPPUNIT_TEST_SUITE_END();

protected:
	static void count(return_detector& _detector, int _requests, ms _stated, std::uint64_t _route = 1)
	{
		for (int i = 0; i < _requests; ++i)
		{
			_detector.count(_route, _stated);
		}
	}

	void node_that_restarted_recognizes_no_return_before_50_requests()
	{
		return_detector detector;
		CPPUNIT_ASSERT(ms(0) == detector.used_up(1, ms(4000)));
		count(detector, 49, ms(5000));
		CPPUNIT_ASSERT(ms(0) == detector.used_up(1, ms(4000)));
		count(detector, 1, ms(5000));
		CPPUNIT_ASSERT(ms(1000) == detector.used_up(1, ms(4000)));
		CPPUNIT_ASSERT(ms(0) == detector.used_up(2, ms(4000)));
	}

	void return_is_recognized_by_the_time_that_it_used_up()
	{
		const caller_history history = return_detector::judge(ms(1000), 0.8);
		CPPUNIT_ASSERT(history.returning && !history.early);
		CPPUNIT_ASSERT(ms(1000) == history.used_up);
	}

	void caller_that_returned_too_soon_is_early()
	{
		CPPUNIT_ASSERT(return_detector::judge(ms(700), 0.8).early);
		CPPUNIT_ASSERT(!return_detector::judge(ms(700), 0.8).returning);
		CPPUNIT_ASSERT(return_detector::judge(ms(299), 0.0).early);
		CPPUNIT_ASSERT(!return_detector::judge(ms(0), 0.8).early);
	}

	void request_without_stated_timeout_is_a_first_arrival()
	{
		return_detector detector;
		count(detector, 100, ms(5000));
		CPPUNIT_ASSERT(ms(0) == detector.used_up(1, std::nullopt));
	}

	void several_usual_timeouts_are_all_first_arrivals()
	{
		return_detector detector;
		for (int i = 0; i < 100; ++i)
		{
			detector.count(1, 0 == i % 4 ? ms(2000) : ms(5000));
		}
		CPPUNIT_ASSERT(ms(0) == detector.used_up(1, ms(2000)));
		CPPUNIT_ASSERT(ms(0) == detector.used_up(1, ms(5000)));
		CPPUNIT_ASSERT(ms(400) == detector.used_up(1, ms(1600)));
		CPPUNIT_ASSERT(ms(1500) == detector.used_up(1, ms(3500)));
	}

	void rare_timeout_is_at_worst_treated_as_a_return()
	{
		return_detector detector;
		count(detector, 100, ms(5000));
		CPPUNIT_ASSERT(ms(4000) == detector.used_up(1, ms(1000)));
		CPPUNIT_ASSERT(ms(0) == detector.used_up(1, ms(9000)));
	}

	void timeouts_without_a_common_value_recognize_no_return()
	{
		return_detector detector;
		for (int i = 0; i < 1000; ++i)
		{
			detector.count(1, ms(1000 + 7 * i));
		}
		CPPUNIT_ASSERT(ms(0) == detector.used_up(1, ms(1500)));
	}

	void changed_timeout_is_learned_and_the_old_one_forgotten()
	{
		return_detector detector;
		count(detector, 1000, ms(5000));
		count(detector, 50, ms(3000));
		CPPUNIT_ASSERT(ms(0) == detector.used_up(1, ms(3000)));
		CPPUNIT_ASSERT(ms(500) == detector.used_up(1, ms(2500)));
		count(detector, 900, ms(3000));
		CPPUNIT_ASSERT(ms(0) == detector.used_up(1, ms(4000)));
	}

	void returns_in_large_numbers_do_not_displace_the_usual_timeout()
	{
		return_detector detector;
		for (int i = 0; i < 2000; ++i)
		{
			detector.count(1, 0 == i % 4 ? ms(5000) : ms(3400 + (7 * i) % 1300));
		}
		CPPUNIT_ASSERT(ms(0) == detector.used_up(1, ms(5000)));
		CPPUNIT_ASSERT(ms(1000) == detector.used_up(1, ms(4000)));
	}

	void number_of_known_routes_is_bounded()
	{
		return_detector detector;
		for (std::uint64_t route = 0; route < 10 * k_max_timeout_routes; ++route)
		{
			detector.count(route, ms(5000));
		}
		CPPUNIT_ASSERT_EQUAL(k_max_timeout_routes, detector.routes());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_wait_forecast_test);
CPPUNIT_TEST_SUITE_REGISTRATION(steering_retry_schedule_test);
CPPUNIT_TEST_SUITE_REGISTRATION(steering_return_detector_test);
} // namespace larkrack
