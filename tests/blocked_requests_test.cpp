// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Blocked requests, their trials, and requests whose backend server breaks the connection; and requests at a
/// node whose VM was suspended.

#include "entry_fixture.h"

namespace larkrack
{
class blocked_requests_test : public entry_fixture
{
	CPPUNIT_TEST_SUITE(blocked_requests_test);
	CPPUNIT_TEST(blocked_request_is_refused_at_once_with_retry_after);
	CPPUNIT_TEST(blocked_request_with_a_granted_trial_is_served);
	CPPUNIT_TEST(blocked_request_without_a_trial_is_refused);
	CPPUNIT_TEST(request_on_trial_that_loses_its_connection_is_not_retried);
	CPPUNIT_TEST(trial_of_a_disconnected_caller_is_returned);
	CPPUNIT_TEST(same_request_under_another_id_has_the_same_fingerprint);
	CPPUNIT_TEST(request_that_may_not_be_retried_ends_as_unknown);
	CPPUNIT_TEST(response_is_reported_and_a_shed_request_is_not);
	CPPUNIT_TEST(refused_port_is_taken_for_a_crash_and_an_open_port_is_not);
	CPPUNIT_TEST(request_read_after_a_suspension_has_only_the_time_left_to_its_caller);
	CPPUNIT_TEST(request_read_after_its_deadline_is_refused_at_once);
	CPPUNIT_TEST(request_is_not_retried_after_a_suspension_past_its_deadline);
	CPPUNIT_TEST_SUITE_END();

protected:
	void block(block_decision _decision)
	{
		m_crashes.decision = _decision;
	}

	/// Adds a backend server that resets the connection of each request.
	scripted_backend& add_resetting(const std::string& _id)
	{
		scripted_backend& backend = add_backend(_id);
		backend.usual = {"", false, true, false};
		return backend;
	}

	void blocked_request_is_refused_at_once_with_retry_after()
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

	void blocked_request_with_a_granted_trial_is_served()
	{
		set_routes();
		const scripted_backend& backend = add_backend("b1");
		block(block_decision::may_request_trial);
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
		CPPUNIT_ASSERT_EQUAL(0, m_crashes.trials_returned);
	}

	void blocked_request_without_a_trial_is_refused()
	{
		set_routes();
		const scripted_backend& backend = add_backend("b1");
		block(block_decision::may_request_trial);
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

	void request_on_trial_that_loses_its_connection_is_not_retried()
	{
		set_routes();
		add_resetting("b1");
		add_resetting("b2");
		block(block_decision::may_request_trial);
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

	void trial_of_a_disconnected_caller_is_returned()
	{
		set_routes();
		add_backend("b1");
		block(block_decision::may_request_trial);
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
		CPPUNIT_ASSERT_EQUAL(1, m_crashes.trials_returned);
	}

	void same_request_under_another_id_has_the_same_fingerprint()
	{
		set_routes();
		add_resetting("b1");
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

	void request_that_may_not_be_retried_ends_as_unknown()
	{
		set_routes();
		const scripted_backend& first = add_resetting("b1");
		const scripted_backend& second = add_resetting("b2");
		m_crashes.resends = false;
		CPPUNIT_ASSERT_EQUAL(502U, ask(request("GET", "/read/1", "r1")).result_int());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.requests.size() + second.requests.size());
	}

	void response_is_reported_and_a_shed_request_is_not()
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

	/// @returns Whether a probe finds that the backend server has crashed.
	bool probe_finds_crash(const std::string& _id)
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

	void refused_port_is_taken_for_a_crash_and_an_open_port_is_not()
	{
		add_backend("b1");
		CPPUNIT_ASSERT(!probe_finds_crash("b1"));
		m_backends.clear();
		CPPUNIT_ASSERT(probe_finds_crash("b1"));
		m_registry->find(backend_id("b1"))->idle_connections = 1; // Another connection is still open.
		CPPUNIT_ASSERT(!probe_finds_crash("b1"));
	}

	/// Guards against timeouts that outlive the caller: a request that waited in the socket of a suspended
	/// node has used up a part of its time before it is read.
	void request_read_after_a_suspension_has_only_the_time_left_to_its_caller()
	{
		set_routes();
		const scripted_backend& backend = add_backend("b1");
		m_forwarder->tick();
		raw_caller caller = call();
		caller.send(request("GET", "/read/1", "r1")); // States a timeout of 1,500 ms.
		m_clock.suspend(std::chrono::milliseconds(1000));
		CPPUNIT_ASSERT_EQUAL(200U, caller.receive().result_int());
		const std::string& sent = backend.requests.front();
		const std::string name = "Larkrack-Deadline-Ms: ";
		const int left_ms = std::stoi(sent.substr(sent.find(name) + name.size()));
		CPPUNIT_ASSERT_MESSAGE(sent, left_ms <= 500);
	}

	void request_read_after_its_deadline_is_refused_at_once()
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

	void request_is_not_retried_after_a_suspension_past_its_deadline()
	{
		set_routes();
		scripted_backend& first = add_backend("b1");
		first.script = {{"", true}}; // Closes the connection.
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
