// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "fixtures.h"

#include "steering/attempt_rules_p.h"
#include "steering/request_times_p.h"

namespace larkrack
{
class steering_attempt_rules_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_attempt_rules_test);
	CPPUNIT_TEST(rule_served_or_failed_at_most_once_passes_the_answer_on);
	CPPUNIT_TEST(rule_failed_repeatable_keeps_the_answer_and_costs_a_retry);
	CPPUNIT_TEST(rule_lost_at_most_once_never_permits_another_attempt);
	CPPUNIT_TEST(rule_lost_repeatable_costs_a_retry);
	CPPUNIT_TEST(rule_not_run_may_go_again_on_every_route);
	CPPUNIT_TEST(rule_not_sent_is_free_twice);
	CPPUNIT_TEST(resend_attempts_spent_or_deadline_over_is_denied);
	CPPUNIT_TEST(resend_nobody_took_it_is_free_until_three_were_unsent);
	CPPUNIT_TEST(end_kept_answer_comes_before_unknown_and_refusal);
	CPPUNIT_TEST(end_may_have_run_is_unknown_even_after_a_shed_attempt);
	CPPUNIT_TEST(end_nobody_ran_it_is_refused);
	CPPUNIT_TEST(deadline_sent_or_run_is_unknown_else_refused);
	CPPUNIT_TEST(timeout_smaller_of_caller_and_route_counts);
	CPPUNIT_TEST(timeout_unreadable_counts_as_the_default);
	CPPUNIT_TEST(timeout_stated_too_long_is_cut);
	CPPUNIT_TEST(retry_after_lies_between_its_bounds);
	CPPUNIT_TEST_SUITE_END();

protected:
	static constexpr repeat_rule k_once = repeat_rule::at_most_once;
	static constexpr repeat_rule k_again = repeat_rule::repeatable;
	steady_time m_now{std::chrono::hours(1)};
	steady_time m_deadline = m_now + std::chrono::seconds(1);

	static attempt_history history(int _reached, int _unsent, bool _may_have_run = false)
	{
		attempt_history one;
		one.reached = _reached;
		one.unsent = _unsent;
		one.may_have_run = _may_have_run;
		return one;
	}

	void rule_served_or_failed_at_most_once_passes_the_answer_on()
	{
		CPPUNIT_ASSERT(attempt_end::served == end_of_answer(499));
		CPPUNIT_ASSERT(attempt_end::failed == end_of_answer(500));
		CPPUNIT_ASSERT(rule_after(attempt_end::served, k_once).pass_answer_on);
		CPPUNIT_ASSERT(rule_after(attempt_end::served, k_again).pass_answer_on);
		CPPUNIT_ASSERT(rule_after(attempt_end::failed, k_once).pass_answer_on);
	}

	void rule_failed_repeatable_keeps_the_answer_and_costs_a_retry()
	{
		const attempt_rule& rule = rule_after(attempt_end::failed, k_again);
		CPPUNIT_ASSERT(!rule.pass_answer_on && rule.keep_answer);
		CPPUNIT_ASSERT(resend_price::retry_budget == rule.price);
		attempt_history past;
		past.count(rule);
		CPPUNIT_ASSERT(1 == past.reached && 0 == past.unsent && past.may_have_run && past.answer_kept);
	}

	void rule_lost_at_most_once_never_permits_another_attempt()
	{
		const attempt_rule& rule = rule_after(attempt_end::lost, k_once);
		CPPUNIT_ASSERT(resend_price::never == rule.price && rule.may_have_run);
		CPPUNIT_ASSERT(reason::lost_answer == rule.why);
	}

	void rule_lost_repeatable_costs_a_retry()
	{
		const attempt_rule& rule = rule_after(attempt_end::lost, k_again);
		CPPUNIT_ASSERT(resend_price::retry_budget == rule.price && rule.may_have_run && rule.reached);
	}

	void rule_not_run_may_go_again_on_every_route()
	{
		for (const repeat_rule repeat : {k_once, k_again})
		{
			const attempt_rule& rule = rule_after(attempt_end::not_run, repeat);
			CPPUNIT_ASSERT(resend_price::retry_budget == rule.price);
			CPPUNIT_ASSERT(rule.reached && !rule.may_have_run && reason::shed == rule.why);
		}
	}

	void rule_not_sent_is_free_twice()
	{
		const attempt_rule& rule = rule_after(attempt_end::not_sent, k_once);
		CPPUNIT_ASSERT(!rule.reached && !rule.may_have_run && reason::unreachable == rule.why);
		attempt_history past;
		past.count(rule);
		CPPUNIT_ASSERT(may_resend_free(rule, past));
		past.count(rule);
		CPPUNIT_ASSERT(may_resend_free(rule, past));
		past.count(rule);
		CPPUNIT_ASSERT(!may_resend_free(rule, past));
		CPPUNIT_ASSERT(!may_resend_free(rule_after(attempt_end::not_run, k_once), attempt_history()));
	}

	void resend_attempts_spent_or_deadline_over_is_denied()
	{
		CPPUNIT_ASSERT(resend::within_budget == may_resend(history(2, 0), 3, m_now, m_deadline));
		CPPUNIT_ASSERT(resend::attempts_spent == may_resend(history(3, 0), 3, m_now, m_deadline));
		CPPUNIT_ASSERT(resend::deadline_over == may_resend(history(2, 0), 3, m_deadline, m_deadline));
	}

	void resend_nobody_took_it_is_free_until_three_were_unsent()
	{
		CPPUNIT_ASSERT(resend::free == may_resend(history(0, 2), 1, m_now, m_deadline));
		CPPUNIT_ASSERT(resend::unsent_spent == may_resend(history(0, 3), 1, m_now, m_deadline));
		CPPUNIT_ASSERT(resend::within_budget == may_resend(history(1, 3), 2, m_now, m_deadline));
	}

	void end_kept_answer_comes_before_unknown_and_refusal()
	{
		attempt_history past = history(2, 0, true);
		past.answer_kept = true;
		const final_answer end = answer_without_resend(past, reason::shed);
		CPPUNIT_ASSERT(end.kept_answer && outcome::served == end.end && reason::none == end.why);
	}

	void end_may_have_run_is_unknown_even_after_a_shed_attempt()
	{
		const final_answer end = answer_without_resend(history(2, 0, true), reason::shed);
		CPPUNIT_ASSERT(!end.kept_answer && outcome::unknown == end.end && reason::shed == end.why);
		CPPUNIT_ASSERT_EQUAL(502U, end.status);
	}

	void end_nobody_ran_it_is_refused()
	{
		const final_answer end = answer_without_resend(history(1, 2), reason::unreachable);
		CPPUNIT_ASSERT(outcome::not_run == end.end && reason::unreachable == end.why);
		CPPUNIT_ASSERT_EQUAL(503U, end.status);
	}

	void deadline_sent_or_run_is_unknown_else_refused()
	{
		const final_answer sent = answer_at_deadline(history(0, 0), true);
		CPPUNIT_ASSERT(outcome::unknown == sent.end && reason::deadline == sent.why);
		CPPUNIT_ASSERT_EQUAL(504U, sent.status);
		CPPUNIT_ASSERT(outcome::unknown == answer_at_deadline(history(1, 0, true), false).end);
		const final_answer unsent = answer_at_deadline(history(1, 1), false);
		CPPUNIT_ASSERT(outcome::not_run == unsent.end && reason::deadline == unsent.why);
		CPPUNIT_ASSERT_EQUAL(503U, unsent.status);
	}

	void timeout_smaller_of_caller_and_route_counts()
	{
		using ms = std::chrono::milliseconds;
		CPPUNIT_ASSERT(ms(1500) == request_timeout("1500", ms(2000)));
		CPPUNIT_ASSERT(ms(2000) == request_timeout("2500", ms(2000)));
		CPPUNIT_ASSERT(ms(2500) == request_timeout("2500", ms(0)));
		CPPUNIT_ASSERT(ms(2000) == request_timeout(std::nullopt, ms(2000)));
		CPPUNIT_ASSERT(k_default_timeout == request_timeout(std::nullopt, ms(0)));
	}

	void timeout_unreadable_counts_as_the_default()
	{
		using ms = std::chrono::milliseconds;
		CPPUNIT_ASSERT(k_default_timeout == request_timeout("soon", ms(0)));
		CPPUNIT_ASSERT(k_default_timeout == request_timeout("-5", ms(0)));
		CPPUNIT_ASSERT(ms(0) == request_timeout("0", ms(0)));
	}

	void timeout_stated_too_long_is_cut()
	{
		CPPUNIT_ASSERT(
		    k_longest_stated_timeout == request_timeout("999999999999", std::chrono::milliseconds(0)));
	}

	void retry_after_lies_between_its_bounds()
	{
		std::minstd_rand random(7);
		for (int i = 0; i < 1000; ++i)
		{
			const double after_s = retry_after_s(random);
			CPPUNIT_ASSERT(after_s >= k_retry_after_first_s && after_s <= k_retry_after_last_s);
		}
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_attempt_rules_test);
} // namespace larkrack
