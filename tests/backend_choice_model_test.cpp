// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Load tests of the choice of a backend server in a model without a network: an overload that sustains
/// itself, servers of uneven speed, and failures. Each load is played with both rules. LARKRACK_FIGURES=1
/// prints the figures.

#include "fixtures.h"

#include "backend_choice_model.h"

#include <cstdio>
#include <cstdlib>

namespace larkrack
{
class backend_choice_model_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(backend_choice_model_test);
	CPPUNIT_TEST(start_without_known_keys_by_completion_is_in_time_after_4_s);
	CPPUNIT_TEST(rejections_at_random_by_completion_are_over_within_2_s);
	CPPUNIT_TEST(uneven_servers_by_completion_have_a_lower_p99_without_more_cold_runs);
	CPPUNIT_TEST(reports_that_stop_leave_the_fleet_working);
	CPPUNIT_TEST(false_reports_overload_no_server);
	CPPUNIT_TEST(restarted_server_learns_its_keys_again);
	CPPUNIT_TEST(lost_region_gives_each_key_one_place_elsewhere);
	CPPUNIT_TEST_SUITE_END();

protected:
	static constexpr unsigned k_seeds = 4;

	/// Load of 0.45 of the capacity if all keys are known, 1.5 if none is.
	static choice_model_options overload(bool _by_completion, unsigned _seed)
	{
		choice_model_options options;
		options.by_completion = _by_completion;
		options.seed = _seed;
		options.keys = 900;
		options.key_skew = 0.0;
		options.cold_work_s = 0.1;
		options.requests_per_s = 0.45 * 24 * options.slots / (options.cold_work_s * options.known_part);
		return options;
	}

	/// 15 in 100 servers work 2.5 times as long. Load of 0.8 of the capacity with 2 in 100 runs cold. The
	/// servers remember all of their own keys, so that cold runs come from the choice alone.
	static choice_model_options uneven(bool _by_completion, unsigned _seed)
	{
		choice_model_options options = overload(_by_completion, _seed);
		options.keys = 1000;
		options.key_skew = 0.3;
		options.min_known_keys = 64;
		options.max_known_keys = 64;
		options.known_at_start = true;
		options.slow_part = 0.15;
		options.lasts_s = 12.0;
		const double usual_s = options.cold_work_s * (options.known_part + (1.0 - options.known_part) * 0.02);
		const double mean_s = usual_s * (1.0 + options.slow_part * (options.slow_factor - 1.0));
		options.requests_per_s = 0.8 * 24 * options.slots / mean_s;
		return options;
	}

	static void print(const char* _what, bool _by_completion, double _first, double _second)
	{
		if (nullptr != std::getenv("LARKRACK_FIGURES"))
		{
			std::printf(
			    "%s, %s: %.3f %.3f\n", _what, _by_completion ? "completion" : "count", _first, _second);
		}
	}

	/// Guards against an overload that sustains itself: cold runs fill the slots, so that keys move and run
	/// cold again.
	void start_without_known_keys_by_completion_is_in_time_after_4_s()
	{
		for (unsigned seed = 1; seed <= k_seeds; ++seed)
		{
			choice_model by_count(overload(false, seed));
			by_count.run();
			choice_model by_completion(overload(true, seed));
			by_completion.run();
			print(
			    "start, in time 4 to 8 s, cold runs", false, by_count.in_time(4.0, 8.0), by_count.cold_runs);
			print("start, in time 4 to 8 s, cold runs", true, by_completion.in_time(4.0, 8.0),
			    by_completion.cold_runs);
			CPPUNIT_ASSERT(by_completion.in_time(4.0, 8.0) >= 0.9);
			// The rule that counts requests must fail this load, or the load shows nothing.
			CPPUNIT_ASSERT(by_count.in_time(4.0, 8.0) < 0.9);
		}
	}

	/// Guards against keys that move because one rejection makes a server look full.
	void rejections_at_random_by_completion_are_over_within_2_s()
	{
		for (unsigned seed = 1; seed <= k_seeds; ++seed)
		{
			double in_time[2] = {0.0, 0.0};
			for (const bool rule : {false, true})
			{
				choice_model_options options = overload(rule, seed);
				options.known_at_start = true;
				options.lasts_s = 10.0;
				options.rejects_from_s = 3.0;
				options.rejects_to_s = 6.0;
				choice_model model(options);
				model.run();
				in_time[rule ? 1 : 0] = model.in_time(8.0, 10.0);
				print("rejections, in time 3 to 6 s, 8 to 10 s", rule, model.in_time(3.0, 6.0),
				    in_time[rule ? 1 : 0]);
			}
			CPPUNIT_ASSERT(in_time[1] >= 0.9);
			CPPUNIT_ASSERT(in_time[0] < 0.9);
		}
	}

	/// Guards against queues at servers that are slow for a moment.
	void uneven_servers_by_completion_have_a_lower_p99_without_more_cold_runs()
	{
		double p99_s[2] = {0.0, 0.0};
		double cold[2] = {0.0, 0.0};
		for (unsigned seed = 1; seed <= k_seeds; ++seed)
		{
			for (const bool rule : {false, true})
			{
				choice_model model(uneven(rule, seed));
				model.run();
				p99_s[rule ? 1 : 0] += model.percentile(0.99, 2.0) / k_seeds;
				cold[rule ? 1 : 0] += model.cold_runs / static_cast<double>(k_seeds);
				print("uneven, p99 s, refused", rule, model.percentile(0.99, 2.0), model.refused(2.0));
			}
		}
		print("uneven, mean p99 s, cold runs", false, p99_s[0], cold[0]);
		print("uneven, mean p99 s, cold runs", true, p99_s[1], cold[1]);
		CPPUNIT_ASSERT(p99_s[1] <= 0.75 * p99_s[0]);
		CPPUNIT_ASSERT(cold[1] <= 1.1 * cold[0]);
	}

	/// Guards against servers that stay slow in the eyes of a node because nothing reports their speed.
	void reports_that_stop_leave_the_fleet_working()
	{
		choice_model with_reports(uneven(true, 1));
		with_reports.run();
		choice_model without(uneven(true, 1));
		without.at(3.0,
		    [&without]
		    {
			    without.stop_reports();
		    });
		without.run();
		print("reports stop, in time after 5 s, with and without", true, with_reports.in_time(5.0, 12.0),
		    without.in_time(5.0, 12.0));
		CPPUNIT_ASSERT(without.in_time(5.0, 12.0) >= with_reports.in_time(5.0, 12.0) - 0.05);
	}

	/// Guards against a queue beyond what a server holds: bounds by slots stay in force whatever is reported.
	void false_reports_overload_no_server()
	{
		for (const double slowness : {0.01, 100.0})
		{
			choice_model_options options = overload(true, 1);
			options.reported_slowness = slowness;
			choice_model model(options);
			model.run();
			print("false reports, in time, rejected", true, model.in_time(4.0, 8.0), model.rejected);
			CPPUNIT_ASSERT(model.most_at_a_server <= 4 * options.slots);
			CPPUNIT_ASSERT(model.rejected <= 0.01 * model.runs);
		}
	}

	/// Guards against keys that stay away from a server after a restart, and against cold runs of its keys at
	/// many other servers.
	void restarted_server_learns_its_keys_again()
	{
		choice_model_options options = overload(true, 1);
		options.known_at_start = true;
		choice_model model(options);
		model.at(3.0,
		    [&model]
		    {
			    model.restart(5);
		    });
		model.run();
		print("restart, in time 3 to 4 s, 5 to 8 s", true, model.in_time(3.0, 4.0), model.in_time(5.0, 8.0));
		CPPUNIT_ASSERT(model.in_time(5.0, 8.0) >= 0.9);
	}

	/// Guards against keys of a lost region that become known at many servers. The other regions have 13 of
	/// 24 servers, so half of the load has to be within their capacity.
	void lost_region_gives_each_key_one_place_elsewhere()
	{
		choice_model_options options = overload(true, 1);
		options.requests_per_s *= 0.5;
		options.min_known_keys = 90;
		options.max_known_keys = 90;
		options.known_at_start = true;
		choice_model model(options);
		model.at(3.0,
		    [&model]
		    {
			    model.lose_first_region();
		    });
		model.run();
		print("region lost, in time 5 to 8 s, cold runs", true, model.in_time(5.0, 8.0), model.cold_runs);
		CPPUNIT_ASSERT(model.in_time(5.0, 8.0) >= 0.9);
		// Each of at most 900 keys is learned once at its new place, and a quarter of them elsewhere.
		CPPUNIT_ASSERT(model.cold_runs <= 900 * 1.25);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_choice_model_test);
} // namespace larkrack
