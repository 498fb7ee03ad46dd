// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "fixtures.h"

#include "steering/retry_budget_p.h"
#include "steering/token_bucket_p.h"

namespace larkrack
{
class steering_retry_budget_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_retry_budget_test);
	CPPUNIT_TEST(budget_any_window_stays_within_ratio_and_slack);
	CPPUNIT_TEST(budget_slack_is_divided_by_the_nodes);
	CPPUNIT_TEST(budget_window_passed_earns_nothing_more);
	CPPUNIT_TEST(bucket_new_is_empty_then_grants_at_its_rate);
	CPPUNIT_TEST_SUITE_END();

protected:
	void budget_any_window_stays_within_ratio_and_slack()
	{
		retry_budget budget(
		    {0.2 / k_retry_used_part, 5.0 / k_retry_used_part, std::chrono::milliseconds(10000)});
		budget.set_nodes(1.0);
		steady_time now{std::chrono::hours(1)};
		std::vector<std::pair<steady_time, bool>> history;
		for (int i = 0; i < 6000; ++i)
		{
			now += std::chrono::milliseconds(10);
			// Bursts: none for 5 s, then many.
			if ((i / 500) % 2 == 0)
			{
				budget.earn(now);
				history.emplace_back(now, false);
			}
			if (budget.spend(now))
			{
				history.emplace_back(now, true);
			}
		}
		for (std::size_t first = 0; first < history.size(); first += 50)
		{
			double repeats = 0;
			double tries = 0;
			for (const auto& [at, repeat] : history)
			{
				// A judge may take the window of the first tries half a window earlier.
				repeats += repeat && at >= history[first].first &&
				                   at < history[first].first + std::chrono::seconds(10)
				               ? 1
				               : 0;
				tries += !repeat && at >= history[first].first - std::chrono::seconds(5) &&
				                 at < history[first].first + std::chrono::seconds(10)
				             ? 1
				             : 0;
			}
			CPPUNIT_ASSERT(repeats <= 0.2 * tries * 1.5 + 5.0);
		}
	}

	static int granted(retry_budget& _budget, steady_time _now)
	{
		int granted = 0;
		while (_budget.spend(_now))
		{
			++granted;
		}
		return granted;
	}

	void budget_slack_is_divided_by_the_nodes()
	{
		const steady_time now{std::chrono::hours(1)};
		const retry_limits limits{0.0, 40.0 / k_retry_used_part, std::chrono::milliseconds(10000)};
		retry_budget unset(limits);
		CPPUNIT_ASSERT_EQUAL(0, granted(unset, now));
		retry_budget alone(limits);
		alone.set_nodes(0.0);
		CPPUNIT_ASSERT_EQUAL(40, granted(alone, now));
		retry_budget one_of_ten(limits);
		one_of_ten.set_nodes(10.0);
		CPPUNIT_ASSERT_EQUAL(4, granted(one_of_ten, now));
	}

	void budget_window_passed_earns_nothing_more()
	{
		steady_time now{std::chrono::hours(1)};
		retry_budget budget({0.2 / k_retry_used_part, 0.0, std::chrono::milliseconds(10000)});
		for (int i = 0; i < 50; ++i)
		{
			budget.earn(now);
		}
		now += std::chrono::milliseconds(9999);
		CPPUNIT_ASSERT(budget.spend(now));
		now += std::chrono::milliseconds(1);
		CPPUNIT_ASSERT(!budget.spend(now));
	}

	void bucket_new_is_empty_then_grants_at_its_rate()
	{
		steady_time now{std::chrono::hours(1)};
		token_bucket bucket;
		CPPUNIT_ASSERT(!bucket.take(2.0, 1.0, now));
		now += std::chrono::milliseconds(499);
		CPPUNIT_ASSERT(!bucket.take(2.0, 1.0, now));
		now += std::chrono::milliseconds(2);
		CPPUNIT_ASSERT(bucket.take(2.0, 1.0, now));
		now += std::chrono::seconds(10);
		CPPUNIT_ASSERT(bucket.take(2.0, 1.0, now));
		CPPUNIT_ASSERT(!bucket.take(2.0, 1.0, now));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_retry_budget_test);
} // namespace larkrack
