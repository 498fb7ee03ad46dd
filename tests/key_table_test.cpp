// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of key_table and of grants: each key runs at most once, further attempts get the stored answer.

#include "fixtures.h"

#include "larkrackd/grant_p.h"
#include "larkrackd/key_table_p.h"

#include <rapidcheck.h>

namespace larkrack
{
class key_table_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(key_table_test);
	CPPUNIT_TEST(key_when_new_runs);
	CPPUNIT_TEST(key_when_in_flight_waits_and_gets_answer);
	CPPUNIT_TEST(key_when_finished_gets_stored_answer);
	CPPUNIT_TEST(key_when_not_run_may_run_again);
	CPPUNIT_TEST(key_when_unknown_never_runs_again);
	CPPUNIT_TEST(key_when_in_flight_beyond_forget_time_is_not_removed);
	CPPUNIT_TEST(table_when_full_refuses);
	CPPUNIT_TEST(runs_when_attempts_are_random_happen_once);
	CPPUNIT_TEST(grant_when_signed_is_read_back);
	CPPUNIT_TEST(grant_when_changed_is_refused);
	CPPUNIT_TEST_SUITE_END();

	key_decision begin(const std::string& _key)
	{
		return m_table.begin(
		    _key, m_clock.steady() + std::chrono::seconds(60),
		    [this](const kept_answer_ptr& _answer)
		    {
			    m_answer = _answer;
		    },
		    m_clock.steady());
	}

	static kept_response answer_of(outcome _outcome)
	{
		kept_response answer;
		answer.result = _outcome;
		answer.status = 200;
		answer.body = "done";
		return answer;
	}

	clock_virtual m_clock;
	key_table m_table{3};
	kept_answer_ptr m_answer;

public:
	void key_when_new_runs()
	{
		CPPUNIT_ASSERT(key_decision::action::run == begin("k").next);
	}

	void key_when_in_flight_waits_and_gets_answer()
	{
		begin("k");
		CPPUNIT_ASSERT(key_decision::action::wait == begin("k").next);
		m_table.finish("k", answer_of(outcome::served));
		CPPUNIT_ASSERT(m_answer && "done" == m_answer->body);
	}

	void key_when_finished_gets_stored_answer()
	{
		begin("k");
		m_table.finish("k", answer_of(outcome::served));
		const key_decision decision = begin("k");
		CPPUNIT_ASSERT(key_decision::action::kept == decision.next);
		CPPUNIT_ASSERT_EQUAL(200, decision.answer->status);
	}

	void key_when_not_run_may_run_again()
	{
		begin("k");
		m_table.finish("k", answer_of(outcome::not_run));
		CPPUNIT_ASSERT(key_decision::action::run == begin("k").next);
	}

	void key_when_unknown_never_runs_again()
	{
		begin("k");
		m_table.finish("k", answer_of(outcome::unknown));
		CPPUNIT_ASSERT(key_decision::action::kept == begin("k").next);
	}

	void key_when_in_flight_beyond_forget_time_is_not_removed()
	{
		begin("k");
		m_clock.advance(std::chrono::hours(1));
		CPPUNIT_ASSERT(key_decision::action::wait == begin("k").next);
	}

	void table_when_full_refuses()
	{
		begin("a");
		begin("b");
		begin("c");
		CPPUNIT_ASSERT(key_decision::action::full == begin("d").next);
		m_table.finish("a", answer_of(outcome::served));
		m_clock.advance(std::chrono::seconds(61));
		CPPUNIT_ASSERT(key_decision::action::run == begin("d").next);
	}

	void runs_when_attempts_are_random_happen_once()
	{
		const bool held = rc::check("no key runs twice once it may have run",
		    [](const std::vector<std::uint8_t>& _steps)
		    {
			    clock_virtual clock;
			    key_table table;
			    std::map<std::string, int> ran;
			    std::map<std::string, bool> in_flight;
			    for (const std::uint8_t step : _steps)
			    {
				    const std::string key = std::string(1, static_cast<char>('a' + step % 4));
				    clock.advance(std::chrono::milliseconds(step));
				    if (in_flight[key] && 0 != (step & 16))
				    {
					    const auto result = 0 != (step & 32) ? outcome::not_run : outcome::unknown;
					    ran[key] -= outcome::not_run == result ? 1 : 0;
					    table.finish(key, answer_of(result));
					    in_flight[key] = false;
					    continue;
				    }
				    const auto decision = table.begin(
				        key, clock.steady() + std::chrono::hours(1),
				        [](const kept_answer_ptr&)
				        {
				        },
				        clock.steady());
				    if (key_decision::action::run == decision.next)
				    {
					    ++ran[key];
					    in_flight[key] = true;
				    }
				    RC_ASSERT(ran[key] <= 1);
			    }
		    });
		CPPUNIT_ASSERT(held);
	}

	void grant_when_signed_is_read_back()
	{
		const signer sign("a secret of sixteen");
		grant one;
		one.service = "shop";
		one.entry_vm = "east-1";
		one.life = {77};
		one.expires = from_us(1000);
		const result<grant> read = sign.read(sign.sign(one) + "/mine");
		CPPUNIT_ASSERT(std::holds_alternative<grant>(read));
		CPPUNIT_ASSERT_EQUAL(std::string("east-1"), std::get<grant>(read).entry_vm);
		CPPUNIT_ASSERT(incarnation{77} == std::get<grant>(read).life);
	}

	void grant_when_changed_is_refused()
	{
		const signer sign("a secret of sixteen");
		grant one;
		one.service = "shop";
		one.entry_vm = "east-1";
		std::string text = sign.sign(one);
		text.replace(text.find("east-1"), 6, "west-1");
		CPPUNIT_ASSERT(std::holds_alternative<error>(sign.read(text)));
		CPPUNIT_ASSERT(std::holds_alternative<error>(sign.read("g1:::::::")));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(key_table_test);
} // namespace larkrack
