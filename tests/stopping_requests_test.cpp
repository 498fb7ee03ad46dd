// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Requests at a node during its planned stop: which of them are taken, and what their backend servers are
/// told.

#include "entry_fixture.h"

namespace larkrack
{
class stopping_requests_test : public entry_fixture
{
	CPPUNIT_TEST_SUITE(stopping_requests_test);
	CPPUNIT_TEST(request_that_ends_in_time_is_served);
	CPPUNIT_TEST(request_that_may_outlast_the_stop_is_refused_at_once_and_never_sent);
	CPPUNIT_TEST(request_of_a_route_whose_requests_end_in_time_is_served);
	CPPUNIT_TEST(backend_server_is_told_a_deadline_before_the_end_of_the_stop);
	CPPUNIT_TEST(order_of_an_unknown_route_that_may_outlast_the_stop_is_refused_from_its_begin);
	CPPUNIT_TEST(queued_request_that_may_outlast_the_stop_is_refused);
	CPPUNIT_TEST(rejected_request_that_may_outlast_the_stop_is_not_sent_again);
	CPPUNIT_TEST(upload_that_may_outlast_the_stop_is_refused_before_its_body);
	CPPUNIT_TEST(last_answers_refuse_what_waits_and_leave_what_runs);
	CPPUNIT_TEST(silence_on_a_path_ends_no_request_of_a_node_that_stops);
	CPPUNIT_TEST(refused_caller_is_sent_to_another_node_at_once_where_there_is_one);
	CPPUNIT_TEST_SUITE_END();

protected:
	/// Requests of this fixture have 1.5 s until their deadline.
	static constexpr std::chrono::milliseconds k_enough{2000};
	static constexpr std::chrono::milliseconds k_too_little{1200};

	/// Begins a stop that is in its second half.
	/// @param[in] _left Time until the end, without the margin before the kill.
	void begin_stop(std::chrono::milliseconds _left)
	{
		const std::chrono::milliseconds grace(20000);
		const std::chrono::milliseconds margin(500);
		m_forwarder->begin_stop({m_clock.steady() + _left + margin - grace, grace});
	}
	static int told_ms(const std::string& _request)
	{
		const std::string field = "Larkrack-Deadline-Ms: ";
		return std::stoi(_request.substr(_request.find(field) + field.size()));
	}
	void run_until_sent(std::uint64_t _attempts)
	{
		run_until(*m_context,
		    [&]
		    {
			    return _attempts == m_forwarder->counters().attempts;
		    });
	}

	void request_that_ends_in_time_is_served()
	{
		set_routes();
		add_backend("b1");
		begin_stop(k_enough);
		CPPUNIT_ASSERT_EQUAL(200U, ask(request("POST", "/pay/1", "r1", "", "x")).result_int());
	}

	/// Guards against a payment that is passed on and cut at the end of the stop (review/3).
	void request_that_may_outlast_the_stop_is_refused_at_once_and_never_sent()
	{
		set_routes();
		const scripted_backend& server = add_backend("b1");
		begin_stop(k_too_little);
		CPPUNIT_ASSERT_EQUAL(503U, ask(request("POST", "/pay/1", "r1", "", "x")).result_int());
		CPPUNIT_ASSERT(server.requests.empty());
	}

	void request_of_a_route_whose_requests_end_in_time_is_served()
	{
		set_routes();
		add_backend("b1");
		for (int i = 0; i < 10; ++i)
		{
			ask(request("POST", "/pay/1", "r" + std::to_string(i), "", "x"));
		}
		begin_stop(k_too_little);
		CPPUNIT_ASSERT_EQUAL(200U, ask(request("POST", "/pay/1", "last", "", "x")).result_int());
		CPPUNIT_ASSERT_EQUAL(503U, ask(request("GET", "/read/1", "of another route")).result_int());
	}

	void backend_server_is_told_a_deadline_before_the_end_of_the_stop()
	{
		set_routes();
		const scripted_backend& server = add_backend("b1");
		m_forwarder->begin_stop({m_clock.steady(), std::chrono::milliseconds(1700)});
		ask(request("GET", "/read/1", "r1"));
		CPPUNIT_ASSERT(told_ms(server.requests.at(0)) <= 1200);
	}

	/// Guards against payments that are taken with the first seconds of a stop and cut at its end, while
	/// their backend servers are at work.
	void order_of_an_unknown_route_that_may_outlast_the_stop_is_refused_from_its_begin()
	{
		set_routes();
		const scripted_backend& server = add_backend("b1");
		m_forwarder->begin_stop({m_clock.steady(), std::chrono::milliseconds(1700)});
		CPPUNIT_ASSERT_EQUAL(503U, ask(request("POST", "/pay/1", "r1", "", "x")).result_int());
		CPPUNIT_ASSERT(server.requests.empty());
	}

	void queued_request_that_may_outlast_the_stop_is_refused()
	{
		set_routes();
		scripted_backend& server = add_backend("b1", 1);
		server.script = {{"", false, false, true}};
		raw_caller first = call();
		first.send(request("POST", "/pay/1", "first", "", "x"));
		run_until_sent(1);
		raw_caller second = call();
		second.send(request("POST", "/pay/1", "second", "", "x"));
		run_until(*m_context,
		    [this]
		    {
			    return 1 == m_forwarder->counters().queued;
		    });
		begin_stop(k_too_little);
		m_registry->find(backend_id("b1"))->registered.slots = 2;
		m_forwarder->retry_waiting_requests();
		CPPUNIT_ASSERT_EQUAL(503U, second.receive().result_int());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.requests.size());
	}

	void rejected_request_that_may_outlast_the_stop_is_not_sent_again()
	{
		set_routes();
		scripted_backend& server = add_backend("b1");
		server.usual.bytes = scripted_backend::answer("", 503, "Larkrack-Shed: 1\r\n");
		scripted_backend& other = add_backend("b2");
		other.usual.bytes = server.usual.bytes;
		raw_caller caller = call();
		caller.send(request("POST", "/pay/1", "r1", "", "x"));
		run_until_sent(1);
		begin_stop(k_too_little);
		CPPUNIT_ASSERT_EQUAL(503U, caller.receive().result_int());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.requests.size() + other.requests.size());
	}

	void upload_that_may_outlast_the_stop_is_refused_before_its_body()
	{
		set_routes();
		add_backend("b1");
		m_listener->set_header_check(
		    [this](const caller_request& _request)
		    {
			    return m_forwarder->check_before_body(_request);
		    });
		begin_stop(k_too_little);
		raw_caller caller = call();
		caller.send(request("POST", "/pay/1", "r1", "Content-Length: 90000\r\n"));
		CPPUNIT_ASSERT_EQUAL(503U, caller.receive().result_int());
	}

	/// Guards against long requests that a stopping node breaks off since its short ones have ceased, so that
	/// their path looks silent (review/6).
	void silence_on_a_path_ends_no_request_of_a_node_that_stops()
	{
		set_routes();
		scripted_backend& server = add_backend("b1");
		server.script = {{"", false, false, true}};
		add_backend("b2").script = {{"", false, false, true}};
		raw_caller caller = call();
		caller.send(request("GET", "/read/1", "r1"));
		run_until(*m_context,
		    [this]
		    {
			    return 1 == m_backends[0]->requests.size() + m_backends[1]->requests.size();
		    });
		m_forwarder->begin_stop();
		m_forwarder->abandon_exchanges(domain_name("east-a"));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_forwarder->in_flight());
		for (const auto& each : m_backends)
		{
			each->respond_to_held("HTTP/1.1 200 X\r\nLarkrack-Request-Id: r1\r\nLarkrack-Signature: "
			                      "s\r\nContent-Length: 0\r\n\r\n");
		}
		CPPUNIT_ASSERT_EQUAL(200U, caller.receive().result_int());
		CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_forwarder->counters().attempts);
	}

	/// Guards against requests that wait for a slot until the process is killed, and end without an answer.
	void last_answers_refuse_what_waits_and_leave_what_runs()
	{
		set_routes();
		scripted_backend& server = add_backend("b1", 1);
		server.script = {{"", false, false, true}};
		raw_caller running = call();
		running.send(request("POST", "/pay/1", "running", "", "x"));
		run_until_sent(1);
		raw_caller waiting = call();
		waiting.send(request("POST", "/pay/1", "waiting", "", "x"));
		run_until(*m_context,
		    [this]
		    {
			    return 1 == m_forwarder->counters().queued;
		    });
		m_forwarder->begin_stop();
		m_forwarder->refuse_waiting();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_forwarder->in_flight()); // At once, not as its wait ends.
		CPPUNIT_ASSERT_EQUAL(503U, waiting.receive().result_int());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_forwarder->in_flight());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.requests.size());
	}

	void refused_caller_is_sent_to_another_node_at_once_where_there_is_one()
	{
		set_routes();
		add_backend("b1");
		m_forwarder->begin_stop();
		m_fleet.nodes = 2.0;
		CPPUNIT_ASSERT_EQUAL(
		    std::string("0.00"), std::string(ask(request("GET", "/read/1", "r1"))[http::field::retry_after]));
		m_fleet.nodes = 1.0;
		const caller_response alone = ask(request("GET", "/read/1", "r2"));
		CPPUNIT_ASSERT(std::string("0.00") != std::string(alone[http::field::retry_after]));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(stopping_requests_test);
} // namespace larkrack
