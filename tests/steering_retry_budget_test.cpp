// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of the retry budget and of the token bucket.

#include "fixtures.h"

#include "steering/retry_budget_p.h"
#include "steering/token_bucket_p.h"

namespace larkrack
{
class steering_retry_budget_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_retry_budget_test);
	CPPUNIT_TEST(budget_in_any_window_stays_within_ratio_and_slack);
	CPPUNIT_TEST(budget_spent_late_in_an_interval_is_not_granted_again_within_the_window);
	CPPUNIT_TEST(budget_slack_is_used_by_the_part_of_the_node);
	CPPUNIT_TEST(budget_drops_first_attempts_after_their_window);
	CPPUNIT_TEST(new_bucket_is_empty_then_grants_at_its_rate);
	CPPUNIT_TEST_SUITE_END();

protected:
	void budget_in_any_window_stays_within_ratio_and_slack()
	{
		retry_budget budget(
		    {0.2 / k_retry_used_fraction, 5.0 / k_slack_used_fraction, std::chrono::milliseconds(10000)});
		budget.set_slack_part(1.0);
		steady_time now{std::chrono::hours(1)};
		std::vector<std::pair<steady_time, bool>> history;
		for (int i = 0; i < 6000; ++i)
		{
			now += std::chrono::milliseconds(10);
			// Bursts: 5 s of first attempts, then 5 s without.
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
			double retries = 0;
			double first_attempts = 0;
			for (const auto& [at, is_retry] : history)
			{
				// An external observer may take the window of the first attempts half a window earlier.
				retries += is_retry && at >= history[first].first &&
				                   at < history[first].first + std::chrono::seconds(10)
				               ? 1
				               : 0;
				first_attempts += !is_retry && at >= history[first].first - std::chrono::seconds(5) &&
				                          at < history[first].first + std::chrono::seconds(10)
				                      ? 1
				                      : 0;
			}
			CPPUNIT_ASSERT(retries <= 0.2 * first_attempts * 1.5 + 5.0);
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

	/// Guards against a window that forgets an interval before all of its retries are a window old.
	void budget_spent_late_in_an_interval_is_not_granted_again_within_the_window()
	{
		const std::chrono::milliseconds window(10000);
		retry_budget budget({0.0, 40.0 / k_slack_used_fraction, window});
		budget.set_slack_part(1.0);
		const steady_time begin{std::chrono::hours(1)};
		CPPUNIT_ASSERT(budget.spend(begin));
		const steady_time late = begin + std::chrono::milliseconds(990);
		CPPUNIT_ASSERT_EQUAL(39, granted(budget, late));
		CPPUNIT_ASSERT(granted(budget, late + window - std::chrono::milliseconds(1)) <= 1);
		CPPUNIT_ASSERT(granted(budget, late + 2 * window) >= 39);
	}

	void budget_slack_is_used_by_the_part_of_the_node()
	{
		const steady_time now{std::chrono::hours(1)};
		const retry_limits limits{0.0, 40.0 / k_slack_used_fraction, std::chrono::milliseconds(10000)};
		retry_budget unset(limits);
		CPPUNIT_ASSERT_EQUAL(0, granted(unset, now));
		retry_budget alone(limits);
		alone.set_slack_part(1.0);
		CPPUNIT_ASSERT_EQUAL(40, granted(alone, now));
		retry_budget one_of_ten(limits);
		one_of_ten.set_slack_part(0.1);
		CPPUNIT_ASSERT_EQUAL(4, granted(one_of_ten, now));
	}

	void budget_drops_first_attempts_after_their_window()
	{
		steady_time now{std::chrono::hours(1)};
		retry_budget budget({0.2 / k_retry_used_fraction, 0.0, std::chrono::milliseconds(10000)});
		for (int i = 0; i < 50; ++i)
		{
			budget.earn(now);
		}
		now += std::chrono::milliseconds(9999);
		CPPUNIT_ASSERT(budget.spend(now));
		now += std::chrono::milliseconds(1);
		CPPUNIT_ASSERT(!budget.spend(now));
	}

	void new_bucket_is_empty_then_grants_at_its_rate()
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
