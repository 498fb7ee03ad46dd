// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of watch_pacing, and a model of the ways in which the readers of a region notice that all their
/// connections have fallen silent. With LARKRACK_FIGURES set, prints age and calls of each way and size.

#include "fixtures.h"

#include "steering/watch_pacing_p.h"

#include <cstdlib>
#include <iostream>
#include <random>

namespace larkrack
{
class steering_watch_pacing_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_watch_pacing_test);
	CPPUNIT_TEST(interval_of_any_bounds_is_a_part_of_the_shortest_one);
	CPPUNIT_TEST(watch_on_an_unproven_connection_returns_at_once);
	CPPUNIT_TEST(watches_after_a_change_wait_by_rank_and_then_for_all_readers);
	CPPUNIT_TEST(patience_after_late_responses_grows_up_to_its_maximum);
	CPPUNIT_TEST(watch_that_lacks_what_others_know_ends_once_for_each_of_it);
	CPPUNIT_TEST(watch_that_has_just_begun_is_not_ended_for_what_others_know);
	CPPUNIT_TEST(silence_of_all_connections_is_noticed_in_time_at_any_size_without_more_calls);
	CPPUNIT_TEST_SUITE_END();

protected:
	using ms = std::chrono::milliseconds;
	static constexpr ms k_interval{800};

	static reader_decision position(std::size_t _rank, std::size_t _readers)
	{
		return {true, reader_reason::ranks_first, _rank, _readers};
	}
	static steady_time at(std::int64_t _ms)
	{
		return steady_time(ms(_ms));
	}
	/// Lets a pacing have a proven connection that has just brought changes.
	static void prove(watch_pacing& _pacing)
	{
		_pacing.on_response(_pacing.next(position(0, 3)), true, ms(5));
	}

	void interval_of_any_bounds_is_a_part_of_the_shortest_one()
	{
		CPPUNIT_ASSERT(ms(800) == word_interval({ms(2000), ms(2000)}));
		CPPUNIT_ASSERT(ms(400) == word_interval({ms(2500), ms(1000)}));
		CPPUNIT_ASSERT(ms(833) == word_interval({ms(2500), ms(2500)}));
		CPPUNIT_ASSERT(ms(833) == word_interval({ms(60000), ms(60000)}));
	}

	void watch_on_an_unproven_connection_returns_at_once()
	{
		watch_pacing pacing(k_interval);
		CPPUNIT_ASSERT(pacing.next(position(2, 3)).wait <= ms(1));
		prove(pacing);
		CPPUNIT_ASSERT(pacing.next(position(2, 3)).wait > ms(1));
		pacing.on_break();
		CPPUNIT_ASSERT(pacing.next(position(2, 3)).wait <= ms(1));
		CPPUNIT_ASSERT(pacing.next(position(2, 3)).patience >= ms(500));
	}

	void watches_after_a_change_wait_by_rank_and_then_for_all_readers()
	{
		for (const std::size_t readers : {std::size_t{1}, std::size_t{2}, std::size_t{3}})
		{
			for (std::size_t rank = 0; rank < readers; ++rank)
			{
				watch_pacing pacing(k_interval);
				prove(pacing);
				const watch_times first = pacing.next(position(rank, readers));
				CPPUNIT_ASSERT(k_interval * static_cast<int>(rank + 1) == first.wait);
				pacing.on_response(first, false, first.wait);
				CPPUNIT_ASSERT(
				    k_interval * static_cast<int>(readers) == pacing.next(position(rank, readers)).wait);
			}
		}
	}

	void patience_after_late_responses_grows_up_to_its_maximum()
	{
		watch_pacing pacing(k_interval);
		prove(pacing);
		const auto patience_after = [&](ms _late)
		{
			const watch_times times = pacing.next(position(0, 3));
			pacing.on_response(times, false, times.wait + _late);
			return pacing.next(position(0, 3)).patience;
		};
		CPPUNIT_ASSERT(patience_after(ms(10)) == ms(250));
		CPPUNIT_ASSERT(patience_after(ms(150)) == ms(450));
		CPPUNIT_ASSERT(patience_after(ms(600)) == ms(700));
		CPPUNIT_ASSERT(patience_after(ms(10)) == ms(250));
	}

	void watch_that_lacks_what_others_know_ends_once_for_each_of_it()
	{
		watch_pacing pacing(k_interval);
		prove(pacing);
		pacing.on_begin(at(0));
		CPPUNIT_ASSERT(!pacing.overdue(told_changes{7, 0}, at(1000)));
		CPPUNIT_ASSERT(!pacing.overdue(told_changes{7, 0}, at(1100)));
		CPPUNIT_ASSERT(pacing.overdue(told_changes{7, 0}, at(1150)));
		CPPUNIT_ASSERT(!pacing.overdue(told_changes{7, 0}, at(1500)));
		CPPUNIT_ASSERT(pacing.overdue(told_changes{7, 3}, at(1500)));
		CPPUNIT_ASSERT(!pacing.overdue(std::nullopt, at(1600)));
		CPPUNIT_ASSERT(!pacing.overdue(told_changes{8, 3}, at(1700)));
		CPPUNIT_ASSERT(pacing.overdue(told_changes{8, 3}, at(1850)));
	}

	void watch_that_has_just_begun_is_not_ended_for_what_others_know()
	{
		watch_pacing pacing(k_interval);
		prove(pacing);
		CPPUNIT_ASSERT(!pacing.overdue(told_changes{7, 0}, at(0)));
		CPPUNIT_ASSERT(!pacing.overdue(told_changes{7, 0}, at(500))); // None waits.
		pacing.on_begin(at(500));
		CPPUNIT_ASSERT(!pacing.overdue(told_changes{7, 0}, at(600)));
		CPPUNIT_ASSERT(pacing.overdue(told_changes{7, 0}, at(650)));
		pacing.on_break();
		pacing.on_begin(at(700));
		CPPUNIT_ASSERT(!pacing.overdue(told_changes{9, 0}, at(2000))); // A new connection.
	}

	/// How the readers of a region wait.
	enum class way
	{
		together, ///< 2.5 s and 0.7 s each, as before.
		brief,    ///< Each for the interval.
		in_turn,  ///< watch_pacing.
	};

	struct figures
	{
		ms worst{0};    ///< From the silence of all connections to the first word by a new one.
		ms quantile{0}; ///< The 99th percentile of it.
		double calls_per_s = 0.0;
	};

	static watch_times times_of(
	    way _way, const watch_pacing& _pacing, std::size_t _rank, std::size_t _readers)
	{
		switch (_way)
		{
		case way::together:
			return {ms(2500), ms(700)};
		case way::brief:
			return {k_interval, ms(700)};
		case way::in_turn:
			break;
		}
		return _pacing.next(position(_rank, _readers));
	}

	/// Plays changes at random times, each of which answers all watches, and a silence between two of them.
	static figures play(way _way, std::size_t _nodes, ms _mean_gap)
	{
		constexpr std::size_t k_regions = 3;
		constexpr std::size_t k_max_readers = 3;
		constexpr ms k_round_trip{70};
		constexpr ms k_batch{250};
		constexpr int k_silences = 4000;
		const std::size_t readers = std::min(k_max_readers, _nodes / k_regions);
		std::mt19937 random(1);
		std::exponential_distribution<double> gap(1.0 / static_cast<double>(_mean_gap.count()));
		std::uniform_real_distribution<double> part(0.0, 1.0);
		std::vector<ms> ages;
		double calls = 0.0;
		double seconds = 0.0;
		for (int i = 0; i < k_silences; ++i)
		{
			const ms end = k_batch + ms(static_cast<int>(gap(random)));
			const ms silence =
			    k_batch + ms(static_cast<int>(part(random) * static_cast<double>((end - k_batch).count())));
			ms first = ms::max();
			for (std::size_t rank = 0; rank < readers; ++rank)
			{
				watch_pacing pacing(k_interval);
				prove(pacing);
				bool noticed = false;
				for (ms begin = k_batch; begin < end;)
				{
					const watch_times times = times_of(_way, pacing, rank, readers);
					pacing.on_response(times, false, times.wait + k_round_trip);
					noticed = noticed || begin + times.wait >= silence;
					first = noticed && begin + times.wait >= silence
					            ? std::min(first, begin + times.wait + times.patience + 2 * k_round_trip)
					            : first;
					begin += times.wait + k_round_trip;
					calls += 1.0;
				}
			}
			seconds += static_cast<double>(end.count()) / 1000.0;
			ages.push_back(first == ms::max() ? ms(0) : first - silence);
		}
		std::sort(ages.begin(), ages.end());
		figures result;
		result.worst = ages.back();
		result.quantile = ages[ages.size() * 99 / 100];
		result.calls_per_s = calls / seconds * k_regions;
		if (nullptr != std::getenv("LARKRACK_FIGURES"))
		{
			const char* names[] = {"together", "brief", "in turn"};
			std::cout << "silence, " << _nodes << " nodes, a change each " << _mean_gap.count() << " ms, "
			          << names[static_cast<int>(_way)] << ": " << result.quantile.count()
			          << " ms at the 99th, " << result.worst.count() << " at most, " << result.calls_per_s
			          << " calls a second\n";
		}
		return result;
	}

	/// Guards the time in which a region hears the store again, and the calls of calm days.
	void silence_of_all_connections_is_noticed_in_time_at_any_size_without_more_calls()
	{
		constexpr ms k_calm_gap{30000};
		for (const std::size_t nodes : {std::size_t{9}, std::size_t{300}, std::size_t{2000}})
		{
			const figures before = play(way::together, nodes, k_calm_gap);
			play(way::brief, nodes, k_calm_gap);
			const figures chosen = play(way::in_turn, nodes, k_calm_gap);
			CPPUNIT_ASSERT(chosen.worst <= ms(1500));
			CPPUNIT_ASSERT(chosen.calls_per_s <= 1.2 * before.calls_per_s);
			for (const ms gap : {ms(1600), ms(5000)})
			{
				play(way::together, nodes, gap);
				play(way::brief, nodes, gap);
				CPPUNIT_ASSERT(play(way::in_turn, nodes, gap).worst <= ms(1500));
			}
		}
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_watch_pacing_test);
} // namespace larkrack
