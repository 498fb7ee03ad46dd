// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// What any answer of a backend server proves, over all combinations of its marks, and what a refusal needs.

#include "entry_node/final_answer_p.h"
#include "steering/answer_verdict_p.h"
#include "steering/promise_ledger_p.h"

#include "fixtures.h"

namespace larkrack
{
class steering_answer_verdict_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_answer_verdict_test);
	CPPUNIT_TEST(answer_without_the_id_is_foreign_whatever_else_it_has);
	CPPUNIT_TEST(rejection_needs_id_status_and_mark);
	CPPUNIT_TEST(status_that_promises_is_never_the_answer_to_an_at_most_once_request);
	CPPUNIT_TEST(forwarded_answer_never_promises_of_an_at_most_once_request);
	CPPUNIT_TEST(refusal_needs_that_no_attempt_has_run_or_is_under_way);
	CPPUNIT_TEST(promise_is_checked_until_newer_ones_take_its_place);
	CPPUNIT_TEST_SUITE_END();

protected:
	static constexpr unsigned k_statuses[] = {
	    200, 204, 302, 400, 404, 408, 421, 425, 429, 500, 502, 503, 504};

	/// Calls a function with each combination of marks.
	template <typename Function>
	static void for_each_answer(Function _check)
	{
		for (const unsigned status : k_statuses)
		{
			for (const answer_id id : {answer_id::none, answer_id::own, answer_id::other})
			{
				for (int bits = 0; bits < 16; ++bits)
				{
					_check(answer_marks{
					    status, id, 0 != (bits & 1), 0 != (bits & 2), 0 != (bits & 4), 0 != (bits & 8)});
				}
			}
		}
	}

	void answer_without_the_id_is_foreign_whatever_else_it_has()
	{
		for_each_answer(
		    [](const answer_marks& _marks)
		    {
			    const bool foreign =
			        answer_verdict::foreign == judge_answer(_marks, true, repeat_rule::repeatable);
			    CPPUNIT_ASSERT_EQUAL_MESSAGE(to_string(_marks), answer_id::own != _marks.id, foreign);
			    const bool without_id =
			        answer_verdict::foreign == judge_answer(_marks, false, repeat_rule::repeatable);
			    CPPUNIT_ASSERT_EQUAL_MESSAGE(to_string(_marks), answer_id::other == _marks.id, without_id);
		    });
	}
	void rejection_needs_id_status_and_mark()
	{
		for_each_answer(
		    [](const answer_marks& _marks)
		    {
			    const bool rejected =
			        answer_verdict::rejected == judge_answer(_marks, true, repeat_rule::at_most_once);
			    const bool status = 400 == _marks.status || 421 == _marks.status || 429 == _marks.status ||
			                        503 == _marks.status;
			    const bool stated = _marks.not_run || (421 == _marks.status && !_marks.has_signature);
			    const bool due = answer_id::own == _marks.id && status && stated;
			    CPPUNIT_ASSERT_EQUAL_MESSAGE(to_string(_marks), due, rejected);
			    CPPUNIT_ASSERT_EQUAL(due, rejection_proof::of_answer(_marks, true).has_value());
		    });
	}
	/// Guards against a promise that is passed on since a backend server gave that status.
	void status_that_promises_is_never_the_answer_to_an_at_most_once_request()
	{
		for_each_answer(
		    [](const answer_marks& _marks)
		    {
			    const answer_verdict once = judge_answer(_marks, true, repeat_rule::at_most_once);
			    CPPUNIT_ASSERT_MESSAGE(
			        to_string(_marks), answer_verdict::answered != once || !is_promise(_marks.status));
			    const bool is_success = 200 <= _marks.status && _marks.status < 300;
			    const bool sound = answer_id::own == _marks.id && !_marks.not_run &&
			                       !is_promise(_marks.status) &&
			                       (!is_success || (_marks.has_signature && !_marks.odd_signature));
			    CPPUNIT_ASSERT_EQUAL_MESSAGE(to_string(_marks), sound, answer_verdict::answered == once);
		    });
	}
	void forwarded_answer_never_promises_of_an_at_most_once_request()
	{
		for (const unsigned status : k_statuses)
		{
			caller_response response(http::status::ok, 11);
			response.result(status);
			response.set("Larkrack-Signature", "s");
			caller_response same = response;
			final_answer once = final_answer::forward(
			    std::move(response), response_framing::by_length, repeat_rule::at_most_once);
			CPPUNIT_ASSERT_EQUAL(is_promise(status) ? 502U : status, once.status());
			const caller_response sent = once.take_response();
			CPPUNIT_ASSERT_EQUAL(is_promise(status), sent.end() == sent.find("Larkrack-Signature"));
			CPPUNIT_ASSERT_EQUAL(status,
			    final_answer::forward(std::move(same), response_framing::by_length, repeat_rule::repeatable)
			        .status());
		}
	}
	void refusal_needs_that_no_attempt_has_run_or_is_under_way()
	{
		attempt_history history;
		CPPUNIT_ASSERT(!not_run_proof::of_attempts(history, true));
		CPPUNIT_ASSERT(not_run_evidence::unsent == not_run_proof::of_attempts(history, false)->evidence());
		history.count(attempt_rule_for(attempt_end::not_run, repeat_rule::at_most_once));
		CPPUNIT_ASSERT(not_run_evidence::rejected == not_run_proof::of_attempts(history, false)->evidence());
		history.count(attempt_rule_for(attempt_end::lost, repeat_rule::at_most_once));
		CPPUNIT_ASSERT(!not_run_proof::of_attempts(history, false));
	}
	void promise_is_checked_until_newer_ones_take_its_place()
	{
		promise_ledger ledger;
		std::vector<std::string> broken;
		ledger.set_breach_handler(
		    [&broken](const promise_breach& _breach)
		    {
			    broken.push_back(std::string(_breach.request_id) + " " + to_string(_breach.kind) + " " +
			                     std::to_string(_breach.status));
		    });
		const clock_system clock;
		const steady_time start{std::chrono::seconds(5)};
		ledger.on_sent("a", clock);
		ledger.record("a", 503, start);
		ledger.record("", 503, start);
		ledger.on_sent("b", clock);
		CPPUNIT_ASSERT(broken.empty());
		ledger.on_sent("a", clock);
		ledger.on_ran("a", clock);
		CPPUNIT_ASSERT(broken == std::vector<std::string>({"a sent 503", "a ran 503"}));
		for (int i = 0; i < 20000; ++i)
		{
			ledger.record("n" + std::to_string(i), 429, start + std::chrono::milliseconds(1 + i));
		}
		ledger.on_sent("a", clock);
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), broken.size());
		ledger.on_sent("n19999", clock);
		CPPUNIT_ASSERT_EQUAL(std::size_t(3), broken.size());
		CPPUNIT_ASSERT_EQUAL(std::uint64_t(20001), ledger.promises());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_answer_verdict_test);
} // namespace larkrack
