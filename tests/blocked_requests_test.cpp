// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Requests that are blocked, let through or on a backend server that ends; and requests of a node whose VM
/// was suspended.

#include "entry_fixture.h"

namespace larkrack
{
class blocked_requests_test : public entry_fixture
{
	CPPUNIT_TEST_SUITE(blocked_requests_test);
	CPPUNIT_TEST(blocked_request_is_refused_at_once_with_a_time_to_come_back);
	CPPUNIT_TEST(blocked_request_that_is_let_through_is_served);
	CPPUNIT_TEST(blocked_request_that_is_not_let_through_is_refused);
	CPPUNIT_TEST(request_let_through_whose_server_ends_is_not_sent_again);
	CPPUNIT_TEST(look_of_a_caller_that_left_is_given_back);
	CPPUNIT_TEST(same_request_under_another_id_has_the_same_fingerprint);
	CPPUNIT_TEST(request_that_may_not_be_sent_again_ends_as_unknown);
	CPPUNIT_TEST(answer_is_told_and_a_refusal_of_a_full_server_is_not);
	CPPUNIT_TEST(port_that_refuses_tells_an_end_and_an_open_one_does_not);
	CPPUNIT_TEST(request_that_lay_in_the_socket_has_only_the_time_that_its_caller_has);
	CPPUNIT_TEST(request_that_lay_longer_than_its_caller_waits_is_refused_at_once);
	CPPUNIT_TEST(request_is_not_sent_again_after_a_suspension_past_its_deadline);
	CPPUNIT_TEST_SUITE_END();

protected:
	void block(block_decision _decision)
	{
		m_crashes.decision = _decision;
	}

	/// Backend server that breaks the connection of each request.
	scripted_backend& add_breaking(const std::string& _id)
	{
		scripted_backend& backend = add_backend(_id);
		backend.usual = {"", false, true, false};
		return backend;
	}

	void blocked_request_is_refused_at_once_with_a_time_to_come_back()
	{
		set_routes();
		const scripted_backend& backend = add_backend("b1");
		block(block_decision::refuse);
		const steady_time begin = m_clock.steady();
		const caller_response answer = ask(request("GET", "/read/1", "r1"));
		CPPUNIT_ASSERT(m_clock.steady() - begin < std::chrono::milliseconds(100));
		CPPUNIT_ASSERT_EQUAL(503U, answer.result_int());
		CPPUNIT_ASSERT_EQUAL(std::string("30.00"), std::string(answer[http::field::retry_after]));
		CPPUNIT_ASSERT(backend.requests.empty());
	}

	void blocked_request_that_is_let_through_is_served()
	{
		set_routes();
		const scripted_backend& backend = add_backend("b1");
		block(block_decision::may_ask);
		raw_caller caller = call();
		caller.send(request("GET", "/read/1", "r1"));
		run_until(*m_context,
		    [this]
		    {
			    return nullptr != m_crashes.waiting;
		    });
		m_crashes.waiting(true);
		CPPUNIT_ASSERT_EQUAL(200U, caller.receive().result_int());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), backend.requests.size());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_crashes.answered.size());
		CPPUNIT_ASSERT_EQUAL(0, m_crashes.looks_returned);
	}

	void blocked_request_that_is_not_let_through_is_refused()
	{
		set_routes();
		const scripted_backend& backend = add_backend("b1");
		block(block_decision::may_ask);
		raw_caller caller = call();
		caller.send(request("GET", "/read/1", "r1"));
		run_until(*m_context,
		    [this]
		    {
			    return nullptr != m_crashes.waiting;
		    });
		m_crashes.waiting(false);
		CPPUNIT_ASSERT_EQUAL(503U, caller.receive().result_int());
		CPPUNIT_ASSERT(backend.requests.empty());
	}

	void request_let_through_whose_server_ends_is_not_sent_again()
	{
		set_routes();
		add_breaking("b1");
		add_breaking("b2");
		block(block_decision::may_ask);
		raw_caller caller = call();
		caller.send(request("GET", "/read/1", "r1"));
		run_until(*m_context,
		    [this]
		    {
			    return nullptr != m_crashes.waiting;
		    });
		m_crashes.waiting(true);
		CPPUNIT_ASSERT_EQUAL(502U, caller.receive().result_int());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_crashes.broken.size());
	}

	void look_of_a_caller_that_left_is_given_back()
	{
		set_routes();
		add_backend("b1");
		block(block_decision::may_ask);
		raw_caller caller = call();
		caller.send(request("GET", "/read/1", "r1"));
		run_until(*m_context,
		    [this]
		    {
			    return nullptr != m_crashes.waiting;
		    });
		caller.close();
		run_until(*m_context,
		    [this]
		    {
			    return 0 == m_forwarder->in_flight();
		    });
		m_crashes.waiting(true);
		CPPUNIT_ASSERT_EQUAL(1, m_crashes.looks_returned);
	}

	void same_request_under_another_id_has_the_same_fingerprint()
	{
		set_routes();
		add_breaking("b1");
		const auto pay = [this](const std::string& _id, const std::string& _body)
		{
			ask(request("POST", "/pay/1", _id, "", _body));
			return m_crashes.broken.back();
		};
		const request_fingerprint first = pay("r1", "ten");
		CPPUNIT_ASSERT(first == pay("r2", "ten"));
		CPPUNIT_ASSERT(!(first == pay("r3", "eleven")));
		CPPUNIT_ASSERT(first.head == m_crashes.broken.back().head && first.head != first.content);
	}

	void request_that_may_not_be_sent_again_ends_as_unknown()
	{
		set_routes();
		const scripted_backend& first = add_breaking("b1");
		const scripted_backend& second = add_breaking("b2");
		m_crashes.resends = false;
		CPPUNIT_ASSERT_EQUAL(502U, ask(request("GET", "/read/1", "r1")).result_int());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.requests.size() + second.requests.size());
	}

	void answer_is_told_and_a_refusal_of_a_full_server_is_not()
	{
		set_routes();
		scripted_backend& backend = add_backend("b1");
		backend.usual.bytes =
		    "HTTP/1.1 503 X\r\nLarkrack-Request-Id: {id}\r\nLarkrack-Shed: 1\r\nContent-Length: 0\r\n\r\n";
		ask(request("GET", "/read/1", "r1"));
		CPPUNIT_ASSERT(m_crashes.answered.empty());
		backend.usual.bytes = scripted_backend::answer("failed", 500);
		ask(request("GET", "/read/1", "r2"));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_crashes.answered.size());
	}

	/// @returns Whether a probe of a backend server finds it ended.
	bool probed(const std::string& _id)
	{
		std::optional<bool> ended;
		const auto probe = std::make_shared<crash_probe>(*m_context, m_registry->find(backend_id(_id)),
		    [&ended](bool _ended)
		    {
			    ended = _ended;
		    });
		probe->start();
		run_until(*m_context,
		    [&ended]
		    {
			    return ended.has_value();
		    });
		return *ended;
	}

	void port_that_refuses_tells_an_end_and_an_open_one_does_not()
	{
		add_backend("b1");
		CPPUNIT_ASSERT(!probed("b1"));
		m_backends.clear();
		CPPUNIT_ASSERT(probed("b1"));
		m_registry->find(backend_id("b1"))->idle_connections = 1; // Another connection is open still.
		CPPUNIT_ASSERT(!probed("b1"));
	}

	/// Guards against time-outs that outlive callers whose requests lay in the socket of a suspended node.
	void request_that_lay_in_the_socket_has_only_the_time_that_its_caller_has()
	{
		set_routes();
		const scripted_backend& backend = add_backend("b1");
		m_forwarder->tick();
		raw_caller caller = call();
		caller.send(request("GET", "/read/1", "r1")); // Its time is 1,500 ms.
		m_clock.suspend(std::chrono::milliseconds(1000));
		CPPUNIT_ASSERT_EQUAL(200U, caller.receive().result_int());
		const std::string& sent = backend.requests.front();
		const std::string name = "Larkrack-Deadline-Ms: ";
		const int left_ms = std::stoi(sent.substr(sent.find(name) + name.size()));
		CPPUNIT_ASSERT_MESSAGE(sent, left_ms <= 500);
	}

	void request_that_lay_longer_than_its_caller_waits_is_refused_at_once()
	{
		set_routes();
		const scripted_backend& backend = add_backend("b1");
		m_forwarder->tick();
		raw_caller caller = call();
		caller.send(request("GET", "/read/1", "r1"));
		m_clock.suspend(std::chrono::milliseconds(2000));
		CPPUNIT_ASSERT_EQUAL(503U, caller.receive().result_int());
		CPPUNIT_ASSERT(backend.requests.empty());
	}

	void request_is_not_sent_again_after_a_suspension_past_its_deadline()
	{
		set_routes();
		scripted_backend& first = add_backend("b1");
		first.script = {{"", true}}; // Breaks the connection.
		m_forwarder->tick();
		raw_caller caller = call();
		caller.send(request("GET", "/read/1", "r1"));
		run_until(*m_context,
		    [&first]
		    {
			    return !first.requests.empty();
		    });
		const scripted_backend& second = add_backend("b2");
		m_clock.suspend(std::chrono::milliseconds(3000));
		CPPUNIT_ASSERT_EQUAL(502U, caller.receive().result_int());
		CPPUNIT_ASSERT(second.requests.empty());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(blocked_requests_test);
} // namespace larkrack
