// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Retry rules: what follows each end of an attempt, how a request ends without a response, and the bounds of
/// timeouts and retry times.

#include "fixtures.h"

#include "steering/attempt_rules_p.h"
#include "steering/request_times_p.h"

namespace larkrack
{
class steering_attempt_rules_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_attempt_rules_test);
	CPPUNIT_TEST(rule_served_or_failed_at_most_once_forwards_the_response);
	CPPUNIT_TEST(rule_failed_repeatable_keeps_the_response_and_costs_a_retry);
	CPPUNIT_TEST(rule_lost_at_most_once_never_permits_another_attempt);
	CPPUNIT_TEST(rule_lost_repeatable_costs_a_retry);
	CPPUNIT_TEST(rule_not_run_may_be_retried_on_every_route);
	CPPUNIT_TEST(rule_not_sent_is_free_twice);
	CPPUNIT_TEST(retry_attempts_exhausted_or_deadline_exceeded_is_denied);
	CPPUNIT_TEST(retry_request_not_reached_any_server_is_free_until_three_were_unsent);
	CPPUNIT_TEST(end_kept_response_takes_precedence_over_unknown_and_refusal);
	CPPUNIT_TEST(end_may_have_run_is_unknown_even_after_a_shed_attempt);
	CPPUNIT_TEST(end_request_not_run_is_refused);
	CPPUNIT_TEST(deadline_sent_or_run_is_unknown_else_refused);
	CPPUNIT_TEST(timeout_smaller_of_caller_and_route_is_used);
	CPPUNIT_TEST(timeout_invalid_is_replaced_by_the_default);
	CPPUNIT_TEST(timeout_above_the_maximum_is_cut);
	CPPUNIT_TEST(retry_after_lies_between_its_bounds);
	CPPUNIT_TEST_SUITE_END();

protected:
	static constexpr repeat_rule k_at_most_once = repeat_rule::at_most_once;
	static constexpr repeat_rule k_repeatable = repeat_rule::repeatable;
	steady_time m_now{std::chrono::hours(1)};
	steady_time m_deadline = m_now + std::chrono::seconds(1);

	static attempt_history history(int _reached, int _unsent, bool _may_have_run = false)
	{
		attempt_history built_history;
		built_history.reached = _reached;
		built_history.unsent = _unsent;
		built_history.may_have_run = _may_have_run;
		return built_history;
	}

	void rule_served_or_failed_at_most_once_forwards_the_response()
	{
		CPPUNIT_ASSERT(attempt_end::served == attempt_end_of_status(499));
		CPPUNIT_ASSERT(attempt_end::failed == attempt_end_of_status(500));
		CPPUNIT_ASSERT(attempt_rule_for(attempt_end::served, k_at_most_once).forward_response);
		CPPUNIT_ASSERT(attempt_rule_for(attempt_end::served, k_repeatable).forward_response);
		CPPUNIT_ASSERT(attempt_rule_for(attempt_end::failed, k_at_most_once).forward_response);
	}

	void rule_failed_repeatable_keeps_the_response_and_costs_a_retry()
	{
		const attempt_rule& rule = attempt_rule_for(attempt_end::failed, k_repeatable);
		CPPUNIT_ASSERT(!rule.forward_response && rule.keep_response);
		CPPUNIT_ASSERT(retry_allowance::retry_budget == rule.allowance);
		attempt_history history_so_far;
		history_so_far.count(rule);
		CPPUNIT_ASSERT(1 == history_so_far.reached && 0 == history_so_far.unsent &&
		               history_so_far.may_have_run && history_so_far.response_kept);
	}

	void rule_lost_at_most_once_never_permits_another_attempt()
	{
		const attempt_rule& rule = attempt_rule_for(attempt_end::lost, k_at_most_once);
		CPPUNIT_ASSERT(retry_allowance::never == rule.allowance && rule.may_have_run);
		CPPUNIT_ASSERT(reason::lost_answer == rule.why);
	}

	void rule_lost_repeatable_costs_a_retry()
	{
		const attempt_rule& rule = attempt_rule_for(attempt_end::lost, k_repeatable);
		CPPUNIT_ASSERT(retry_allowance::retry_budget == rule.allowance && rule.may_have_run && rule.reached);
	}

	void rule_not_run_may_be_retried_on_every_route()
	{
		for (const repeat_rule repeat : {k_at_most_once, k_repeatable})
		{
			const attempt_rule& rule = attempt_rule_for(attempt_end::not_run, repeat);
			CPPUNIT_ASSERT(retry_allowance::retry_budget == rule.allowance);
			CPPUNIT_ASSERT(rule.reached && !rule.may_have_run && reason::shed == rule.why);
		}
	}

	void rule_not_sent_is_free_twice()
	{
		const attempt_rule& rule = attempt_rule_for(attempt_end::not_sent, k_at_most_once);
		CPPUNIT_ASSERT(!rule.reached && !rule.may_have_run && reason::unreachable == rule.why);
		attempt_history history_so_far;
		history_so_far.count(rule);
		CPPUNIT_ASSERT(may_retry_free(rule, history_so_far));
		history_so_far.count(rule);
		CPPUNIT_ASSERT(may_retry_free(rule, history_so_far));
		history_so_far.count(rule);
		CPPUNIT_ASSERT(!may_retry_free(rule, history_so_far));
		CPPUNIT_ASSERT(
		    !may_retry_free(attempt_rule_for(attempt_end::not_run, k_at_most_once), attempt_history()));
	}

	void retry_attempts_exhausted_or_deadline_exceeded_is_denied()
	{
		CPPUNIT_ASSERT(retry_permission::needs_budget == may_retry(history(2, 0), 3, m_now, m_deadline));
		CPPUNIT_ASSERT(
		    retry_permission::attempts_exhausted == may_retry(history(3, 0), 3, m_now, m_deadline));
		CPPUNIT_ASSERT(
		    retry_permission::deadline_exceeded == may_retry(history(2, 0), 3, m_deadline, m_deadline));
	}

	void retry_request_not_reached_any_server_is_free_until_three_were_unsent()
	{
		CPPUNIT_ASSERT(retry_permission::free == may_retry(history(0, 2), 1, m_now, m_deadline));
		CPPUNIT_ASSERT(retry_permission::unsent_exhausted == may_retry(history(0, 3), 1, m_now, m_deadline));
		CPPUNIT_ASSERT(retry_permission::needs_budget == may_retry(history(1, 3), 2, m_now, m_deadline));
	}

	void end_kept_response_takes_precedence_over_unknown_and_refusal()
	{
		attempt_history history_so_far = history(2, 0, true);
		history_so_far.response_kept = true;
		const final_response end = response_without_retry(history_so_far, reason::shed);
		CPPUNIT_ASSERT(end.kept_response && outcome::served == end.end && reason::none == end.why);
	}

	void end_may_have_run_is_unknown_even_after_a_shed_attempt()
	{
		const final_response end = response_without_retry(history(2, 0, true), reason::shed);
		CPPUNIT_ASSERT(!end.kept_response && outcome::unknown == end.end && reason::shed == end.why);
		CPPUNIT_ASSERT_EQUAL(502U, end.status);
	}

	void end_request_not_run_is_refused()
	{
		const final_response end = response_without_retry(history(1, 2), reason::unreachable);
		CPPUNIT_ASSERT(outcome::not_run == end.end && reason::unreachable == end.why);
		CPPUNIT_ASSERT_EQUAL(503U, end.status);
	}

	void deadline_sent_or_run_is_unknown_else_refused()
	{
		const final_response sent = response_at_deadline(history(0, 0), true);
		CPPUNIT_ASSERT(outcome::unknown == sent.end && reason::deadline == sent.why);
		CPPUNIT_ASSERT_EQUAL(504U, sent.status);
		CPPUNIT_ASSERT(outcome::unknown == response_at_deadline(history(1, 0, true), false).end);
		const final_response unsent = response_at_deadline(history(1, 1), false);
		CPPUNIT_ASSERT(outcome::not_run == unsent.end && reason::deadline == unsent.why);
		CPPUNIT_ASSERT_EQUAL(503U, unsent.status);
	}

	void timeout_smaller_of_caller_and_route_is_used()
	{
		using ms = std::chrono::milliseconds;
		CPPUNIT_ASSERT(ms(1500) == request_timeout("1500", ms(2000)));
		CPPUNIT_ASSERT(ms(2000) == request_timeout("2500", ms(2000)));
		CPPUNIT_ASSERT(ms(2500) == request_timeout("2500", ms(0)));
		CPPUNIT_ASSERT(ms(2000) == request_timeout(std::nullopt, ms(2000)));
		CPPUNIT_ASSERT(k_default_timeout == request_timeout(std::nullopt, ms(0)));
	}

	void timeout_invalid_is_replaced_by_the_default()
	{
		using ms = std::chrono::milliseconds;
		CPPUNIT_ASSERT(k_default_timeout == request_timeout("soon", ms(0)));
		CPPUNIT_ASSERT(k_default_timeout == request_timeout("-5", ms(0)));
		CPPUNIT_ASSERT(ms(0) == request_timeout("0", ms(0)));
	}

	void timeout_above_the_maximum_is_cut()
	{
		CPPUNIT_ASSERT(k_max_stated_timeout == request_timeout("999999999999", std::chrono::milliseconds(0)));
	}

	void retry_after_lies_between_its_bounds()
	{
		std::minstd_rand random(7);
		for (int i = 0; i < 1000; ++i)
		{
			const double after_s = retry_after_s(random);
			CPPUNIT_ASSERT(after_s >= k_retry_after_min_s && after_s <= k_retry_after_max_s);
		}
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_attempt_rules_test);
} // namespace larkrack
