// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Requests to backend servers that report a work time: which rule a service uses, rejections that report
/// free slots, and the counters of late answers and invalid work times.

#include "entry_fixture.h"

namespace larkrack
{
class completion_requests_test : public entry_fixture
{
	CPPUNIT_TEST_SUITE(completion_requests_test);
	CPPUNIT_TEST(rejection_with_free_slots_is_retried_at_the_same_server);
	CPPUNIT_TEST(second_rejection_with_free_slots_excludes_the_server);
	CPPUNIT_TEST(rejection_of_a_full_server_is_not_retried_there);
	CPPUNIT_TEST(service_without_work_times_keeps_the_rule_by_count);
	CPPUNIT_TEST(setting_count_ignores_work_times);
	CPPUNIT_TEST(setting_completion_needs_no_work_times);
	CPPUNIT_TEST(invalid_work_time_is_counted_and_changes_no_rule);
	CPPUNIT_TEST(answer_after_the_objective_is_counted_and_delivered);
	CPPUNIT_TEST_SUITE_END();

protected:
	static scripted_backend::step answer_with(const std::string& _load)
	{
		return {scripted_backend::answer("fine", 200, "Larkrack-Load: " + _load + "\r\n")};
	}

	static scripted_backend::step rejection_with(const std::string& _load)
	{
		return {"HTTP/1.1 503 X\r\nLarkrack-Request-Id: {id}\r\nLarkrack-Shed: 1\r\nLarkrack-Load: " + _load +
		        "\r\nContent-Length: 0\r\n\r\n"};
	}

	unsigned status_of(const std::string& _id)
	{
		return ask(request("GET", "/read/1", _id)).result_int();
	}

	/// Guards against requests that are refused, or moved to a server that does not know their key, because
	/// one rejection makes a server look full.
	void rejection_with_free_slots_is_retried_at_the_same_server()
	{
		set_routes();
		scripted_backend& backend = add_backend("b1");
		backend.script = {answer_with("0,0,3,100"), rejection_with("0,0,3,100")};
		CPPUNIT_ASSERT_EQUAL(200U, status_of("r1"));
		CPPUNIT_ASSERT_EQUAL(200U, status_of("r2"));
		CPPUNIT_ASSERT_EQUAL(std::size_t(3), backend.requests.size());
	}

	/// Guards against false reports that use up all attempts of a request.
	void second_rejection_with_free_slots_excludes_the_server()
	{
		set_routes();
		scripted_backend& backend = add_backend("b1");
		backend.script = {answer_with("0,0,3,100"), rejection_with("0,0,3,100"), rejection_with("0,0,3,100")};
		CPPUNIT_ASSERT_EQUAL(200U, status_of("r1"));
		CPPUNIT_ASSERT_EQUAL(503U, status_of("r2"));
		CPPUNIT_ASSERT_EQUAL(std::size_t(3), backend.requests.size());
	}

	void rejection_of_a_full_server_is_not_retried_there()
	{
		set_routes();
		scripted_backend& backend = add_backend("b1");
		backend.script = {answer_with("0,0,3,100"), rejection_with("3,9,3,100")};
		CPPUNIT_ASSERT_EQUAL(200U, status_of("r1"));
		CPPUNIT_ASSERT_EQUAL(503U, status_of("r2"));
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), backend.requests.size());
	}

	void service_without_work_times_keeps_the_rule_by_count()
	{
		set_routes();
		scripted_backend& backend = add_backend("b1");
		backend.script = {answer_with("0,0,3"), rejection_with("0,0,3")};
		CPPUNIT_ASSERT_EQUAL(200U, status_of("r1"));
		CPPUNIT_ASSERT_EQUAL(503U, status_of("r2"));
	}

	void setting_count_ignores_work_times()
	{
		m_forwarder->set_backend_choice(backend_choice_setting::count);
		set_routes();
		scripted_backend& backend = add_backend("b1");
		backend.script = {answer_with("0,0,3,100"), rejection_with("0,0,3,100")};
		CPPUNIT_ASSERT_EQUAL(200U, status_of("r1"));
		CPPUNIT_ASSERT_EQUAL(503U, status_of("r2"));
	}

	void setting_completion_needs_no_work_times()
	{
		m_forwarder->set_backend_choice(backend_choice_setting::completion);
		set_routes();
		add_backend("b1").script = {rejection_with("0,0,3")};
		CPPUNIT_ASSERT_EQUAL(200U, status_of("r1"));
	}

	void invalid_work_time_is_counted_and_changes_no_rule()
	{
		set_routes();
		scripted_backend& backend = add_backend("b1");
		backend.script = {answer_with("0,0,3,slow"), rejection_with("0,0,3,0")};
		CPPUNIT_ASSERT_EQUAL(200U, status_of("r1"));
		CPPUNIT_ASSERT_EQUAL(503U, status_of("r2"));
		CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_forwarder->reports().invalid_work_times());
	}

	void answer_after_the_objective_is_counted_and_delivered()
	{
		set_routes();
		scripted_backend& backend = add_backend("b1");
		CPPUNIT_ASSERT_EQUAL(200U, status_of("r1"));
		CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_forwarder->counters().late_answers);
		backend.script = {{"", false, false, true}};
		raw_caller caller = call();
		caller.send(request("GET", "/read/1", "r2"));
		run_until(*m_context,
		    [&backend]
		    {
			    return 2 == backend.requests.size();
		    });
		m_clock.suspend(std::chrono::milliseconds(500)); // The objective is 400 ms.
		backend.respond_to_held("HTTP/1.1 200 X\r\nLarkrack-Request-Id: r2\r\nLarkrack-Signature: "
		                        "s\r\nContent-Length: 0\r\n\r\n");
		CPPUNIT_ASSERT_EQUAL(200U, caller.receive().result_int());
		CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_forwarder->counters().late_answers);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(completion_requests_test);
} // namespace larkrack
