// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Requests through a node to backend servers: what is forwarded and returned, retries, refusals, and
/// responses of backend servers that are late, broken or from another server.

#include "entry_fixture.h"

namespace larkrack
{
class forwarder_test : public entry_fixture
{
	CPPUNIT_TEST_SUITE(forwarder_test);
	CPPUNIT_TEST(plain_request_arrives_unchanged_and_its_response_is_returned);
	CPPUNIT_TEST(request_without_configuration_gets_503);
	CPPUNIT_TEST(request_without_route_gets_404);
	CPPUNIT_TEST(request_carries_the_time_left_to_the_backend_server);
	CPPUNIT_TEST(response_with_headers_as_large_as_those_of_callers_is_passed_on);
	CPPUNIT_TEST(request_with_slow_body_carries_the_time_left_since_its_headers);
	CPPUNIT_TEST(head_request_gets_no_body);
	CPPUNIT_TEST(repeatable_request_with_lost_response_is_retried_elsewhere);
	CPPUNIT_TEST(at_most_once_request_with_lost_response_is_never_retried);
	CPPUNIT_TEST(at_most_once_request_that_is_shed_is_retried_elsewhere);
	CPPUNIT_TEST(at_most_once_request_shed_by_all_is_refused_with_retry_after);
	CPPUNIT_TEST(at_most_once_request_with_status_421_is_retried_elsewhere);
	CPPUNIT_TEST(response_to_another_request_is_skipped);
	CPPUNIT_TEST(response_with_extra_bytes_closes_the_connection);
	CPPUNIT_TEST(response_without_length_is_passed_on_without_a_length);
	CPPUNIT_TEST(response_without_length_ended_by_reset_is_lost);
	CPPUNIT_TEST(truncated_response_is_never_passed_on);
	CPPUNIT_TEST(invalid_http_response_is_never_passed_on);
	CPPUNIT_TEST(response_before_the_whole_request_was_sent_closes_the_connection);
	CPPUNIT_TEST(caller_disconnect_cancels_the_work_of_the_backend_server);
	CPPUNIT_TEST(failure_of_a_backend_server_keeps_its_status_and_signature);
	CPPUNIT_TEST(request_with_all_slots_taken_is_refused_before_its_deadline);
	CPPUNIT_TEST(waiting_request_is_sent_when_a_slot_becomes_free);
	CPPUNIT_TEST(retry_budget_used_up_stops_retries);
	CPPUNIT_TEST(older_configuration_is_ignored);
	CPPUNIT_TEST(stopping_node_refuses_new_requests_and_completes_the_others);
	CPPUNIT_TEST_SUITE_END();

protected:
	void plain_request_arrives_unchanged_and_its_response_is_returned()
	{
		set_routes();
		scripted_backend& backend = add_backend("b1");
		const caller_response response = ask(request("POST", "/pay/a%20b?x=1", "r1",
		    "X-Own: 7\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n", "body"));
		CPPUNIT_ASSERT_EQUAL(200U, response.result_int());
		CPPUNIT_ASSERT_EQUAL(std::string("fine"), response.body());
		CPPUNIT_ASSERT_EQUAL(std::string("s"), std::string(response["Larkrack-Signature"]));
		const std::string& sent = backend.requests.at(0);
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), sent.find("POST /pay/a%20b?x=1 HTTP/1.1\r\n"));
		CPPUNIT_ASSERT(std::string::npos != sent.find("X-Own: 7\r\n"));
		CPPUNIT_ASSERT(std::string::npos != sent.find("Larkrack-Backend: b1\r\n"));
		CPPUNIT_ASSERT(std::string::npos == sent.find("X-Hop"));
		CPPUNIT_ASSERT(std::string::npos != sent.find("\r\n\r\nbody"));
	}

	void request_without_configuration_gets_503()
	{
		CPPUNIT_ASSERT_EQUAL(503U, ask(request("GET", "/read/1", "r1")).result_int());
	}

	void request_without_route_gets_404()
	{
		set_routes();
		CPPUNIT_ASSERT_EQUAL(404U, ask(request("GET", "/other/1", "r1")).result_int());
	}

	void request_carries_the_time_left_to_the_backend_server()
	{
		set_routes();
		scripted_backend& backend = add_backend("b1");
		ask(request("GET", "/read/1", "r1"));
		const std::string& sent = backend.requests.at(0);
		const std::size_t at = sent.find("Larkrack-Deadline-Ms: ");
		const int left = std::stoi(sent.substr(at + 22));
		CPPUNIT_ASSERT(left > 0 && left <= 1500);
		CPPUNIT_ASSERT(std::string::npos == sent.find("Larkrack-Deadline-Ms: ", at + 1));
	}

	/// Guards against a 502 for a request that has run, because the headers of its response are large.
	void response_with_headers_as_large_as_those_of_callers_is_passed_on()
	{
		set_routes();
		add_backend("b1").usual.bytes =
		    scripted_backend::answer("fine", 200, "Large: " + std::string(15000, 'h') + "\r\n");
		raw_caller caller = call();
		caller.set_max_header_bytes(20000);
		caller.send(request("POST", "/pay/1", "r1", "", "x"));
		const caller_response response = caller.receive();
		CPPUNIT_ASSERT_EQUAL(200U, response.result_int());
		CPPUNIT_ASSERT_EQUAL(std::size_t(15000), std::size_t(response["Large"].size()));
	}

	/// Guards against a backend server that works on for the time that its caller took to send the body.
	void request_with_slow_body_carries_the_time_left_since_its_headers()
	{
		constexpr std::chrono::milliseconds k_sending{200};
		set_routes();
		scripted_backend& server = add_backend("b1");
		raw_caller caller = call();
		caller.send(request("POST", "/pay/1", "r1", "Content-Length: 4\r\n"));
		m_context->run_for(k_sending);
		caller.send("body");
		CPPUNIT_ASSERT_EQUAL(200U, caller.receive().result_int());
		const std::string& sent = server.requests.at(0);
		const std::string field = "Larkrack-Deadline-Ms: ";
		const int left_ms = std::stoi(sent.substr(sent.find(field) + field.size()));
		CPPUNIT_ASSERT_MESSAGE(std::to_string(left_ms), left_ms <= 1500 - k_sending.count() + 10);
	}

	void head_request_gets_no_body()
	{
		set_routes();
		const std::string whole = scripted_backend::answer("fine");
		add_backend("b1").script = {{whole.substr(0, whole.size() - 4)}};
		raw_caller caller = call();
		caller.send(request("HEAD", "/read/1", "r1"));
		const caller_response head = caller.receive(true);
		CPPUNIT_ASSERT_EQUAL(std::string("4"), std::string(head[http::field::content_length]));
		// A body in the first response would be read as the beginning of the second response.
		caller.send(request("GET", "/read/2", "r2"));
		CPPUNIT_ASSERT_EQUAL(std::string("fine"), caller.receive().body());
	}

	void repeatable_request_with_lost_response_is_retried_elsewhere()
	{
		set_routes();
		add_backend("b1").script = {{"", true}};
		add_backend("b2").script = {{"", true}};
		m_backends[1]->script.clear();
		const caller_response first = ask(request("GET", "/read/1", "r1"));
		CPPUNIT_ASSERT_EQUAL(200U, first.result_int());
	}

	void at_most_once_request_with_lost_response_is_never_retried()
	{
		set_routes();
		add_backend("b1").script = {{"", true}, {"", true}};
		add_backend("b2").script = {{"", true}, {"", true}};
		CPPUNIT_ASSERT_EQUAL(502U, ask(request("POST", "/pay/1", "r1", "", "x")).result_int());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_backends[0]->requests.size() + m_backends[1]->requests.size());
	}

	static scripted_backend::step shed()
	{
		return {
		    "HTTP/1.1 503 X\r\nLarkrack-Request-Id: {id}\r\nLarkrack-Shed: 1\r\nContent-Length: 0\r\n\r\n"};
	}

	void at_most_once_request_that_is_shed_is_retried_elsewhere()
	{
		set_routes();
		add_backend("b1").script = {shed()};
		add_backend("b2");
		m_backends[1]->script = {};
		int served = 0;
		for (int i = 0; i < 4; ++i)
		{
			served +=
			    200 == ask(request("POST", "/pay/1", "r" + std::to_string(i), "", "x")).result_int() ? 1 : 0;
		}
		CPPUNIT_ASSERT_EQUAL(4, served);
	}

	void at_most_once_request_shed_by_all_is_refused_with_retry_after()
	{
		set_routes();
		add_backend("b1").script = {shed(), shed()};
		add_backend("b2").script = {shed(), shed()};
		const caller_response response = ask(request("POST", "/pay/1", "r1", "", "x"));
		CPPUNIT_ASSERT_EQUAL(503U, response.result_int());
		const double pause = std::stod(std::string(response[http::field::retry_after]));
		CPPUNIT_ASSERT(pause > 0.0 && pause < 1.0);
	}

	void at_most_once_request_with_status_421_is_retried_elsewhere()
	{
		set_routes();
		const scripted_backend::step wrong{
		    "HTTP/1.1 421 X\r\nLarkrack-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"};
		add_backend("b1").script = {wrong};
		add_backend("b2").script = {wrong};
		m_backends[1]->script.clear();
		CPPUNIT_ASSERT_EQUAL(200U, ask(request("POST", "/pay/1", "r1", "", "x")).result_int());
	}

	void response_to_another_request_is_skipped()
	{
		set_routes();
		add_backend("b1").script = {{"HTTP/1.1 200 X\r\nLarkrack-Request-Id: other\r\nLarkrack-Signature: "
		                             "s\r\nContent-Length: 5\r\n\r\nwrong" +
		                             scripted_backend::answer("right")}};
		CPPUNIT_ASSERT_EQUAL(std::string("right"), ask(request("POST", "/pay/1", "r1", "", "x")).body());
	}

	void response_with_extra_bytes_closes_the_connection()
	{
		set_routes();
		scripted_backend& backend = add_backend("b1");
		backend.script = {{scripted_backend::answer("one") + scripted_backend::answer("surplus")}};
		CPPUNIT_ASSERT_EQUAL(std::string("one"), ask(request("GET", "/read/1", "r1")).body());
		CPPUNIT_ASSERT_EQUAL(std::string("fine"), ask(request("GET", "/read/1", "r2")).body());
		CPPUNIT_ASSERT_EQUAL(2, backend.connections);
	}

	void response_without_length_is_passed_on_without_a_length()
	{
		set_routes();
		add_backend("b1").script = {
		    {"HTTP/1.1 200 X\r\nLarkrack-Request-Id: {id}\r\nLarkrack-Signature: s\r\n\r\nwhole", true}};
		const caller_response response = ask(request("POST", "/pay/1", "r1", "", "x"));
		CPPUNIT_ASSERT_EQUAL(std::string("whole"), response.body());
		CPPUNIT_ASSERT(!response.has_content_length() && !response.chunked());
		CPPUNIT_ASSERT(!response.keep_alive());
	}

	void response_without_length_ended_by_reset_is_lost()
	{
		set_routes();
		add_backend("b1").script = {
		    {"HTTP/1.1 200 X\r\nLarkrack-Request-Id: {id}\r\nLarkrack-Signature: s\r\n\r\npart", false,
		        true}};
		CPPUNIT_ASSERT_EQUAL(502U, ask(request("POST", "/pay/1", "r1", "", "x")).result_int());
	}

	void truncated_response_is_never_passed_on()
	{
		set_routes();
		const std::string whole = scripted_backend::answer("a long answer");
		add_backend("b1").script = {{whole.substr(0, whole.size() - 4), true}};
		CPPUNIT_ASSERT_EQUAL(502U, ask(request("POST", "/pay/1", "r1", "", "x")).result_int());
	}

	void invalid_http_response_is_never_passed_on()
	{
		set_routes();
		add_backend("b1").script = {{"garbage\r\n\r\nmore garbage"}};
		CPPUNIT_ASSERT_EQUAL(502U, ask(request("POST", "/pay/1", "r1", "", "x")).result_int());
	}

	void response_before_the_whole_request_was_sent_closes_the_connection()
	{
		set_routes();
		// The request is larger than the buffers of loopback; the response comes after its header.
		asio::io_context& context = *m_context;
		tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
		backend_record record;
		record.id = backend_id("early");
		record.service = service_name("shop");
		record.domain = domain_name("east-a");
		record.slots = 3;
		record.address = acceptor.local_endpoint();
		m_registry->put(record, m_clock.steady());
		tcp::socket peer(context);
		std::string head(20000, '\0');
		acceptor.async_accept(peer,
		    [&](beast::error_code)
		    {
			    peer.set_option(asio::socket_base::receive_buffer_size(4096));
			    peer.async_read_some(asio::buffer(head),
			        [&](beast::error_code, std::size_t)
			        {
				        asio::write(peer, asio::buffer(std::string(
				                              "HTTP/1.1 400 X\r\nLarkrack-Request-Id: "
				                              "r1\r\nLarkrack-Signature: s\r\nContent-Length: 0\r\n\r\n")));
			        });
		    });
		m_forwarder->set_routes(large_body_routes());
		m_listener->set_limits(m_forwarder->routes()->limits());
		const caller_response response =
		    ask(request("POST", "/pay/1", "r1", "", std::string(16UL * 1024 * 1024, 'x')));
		CPPUNIT_ASSERT_EQUAL(400U, response.result_int());
		CPPUNIT_ASSERT(0 == m_registry->find(backend_id("early"))->idle_connections);
	}

	static std::shared_ptr<const routing_table> large_body_routes()
	{
		caller_limits limits;
		limits.body_bytes = 64UL * 1024 * 1024;
		return std::make_shared<const routing_table>(
		    2, routes(1)->routes(), std::vector<routed_service>{{"shop", 0, 0.0}}, limits);
	}

	void caller_disconnect_cancels_the_work_of_the_backend_server()
	{
		set_routes();
		scripted_backend& backend = add_backend("b1");
		backend.script = {{"", false, false, true}};
		raw_caller caller = call();
		caller.send(request("GET", "/read/1", "r1"));
		run_until(*m_context,
		    [&]
		    {
			    return 1 == backend.requests.size();
		    });
		caller.close();
		run_until(*m_context,
		    [&]
		    {
			    return 1 == backend.closed_by_peer;
		    });
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_forwarder->in_flight());
		CPPUNIT_ASSERT_EQUAL(0, m_registry->find(backend_id("b1"))->load.in_flight);
	}

	void failure_of_a_backend_server_keeps_its_status_and_signature()
	{
		set_routes();
		add_backend("b1").script = {{scripted_backend::answer("bad", 500)}};
		const caller_response response = ask(request("POST", "/pay/1", "r1", "", "x"));
		CPPUNIT_ASSERT_EQUAL(500U, response.result_int());
		CPPUNIT_ASSERT_EQUAL(std::string("s"), std::string(response["Larkrack-Signature"]));
	}

	void request_with_all_slots_taken_is_refused_before_its_deadline()
	{
		set_routes();
		add_backend("b1", 1).script = {{"", false, false, true}};
		raw_caller first = call();
		first.send(request("GET", "/read/1", "r1"));
		run_until(*m_context,
		    [&]
		    {
			    return 1 == m_backends[0]->requests.size();
		    });
		const steady_time begin = m_clock.steady();
		const caller_response response = ask(request("GET", "/read/1", "r2"));
		CPPUNIT_ASSERT_EQUAL(503U, response.result_int());
		// The wait for a slot is a quarter of the objective; the rest is allowance for a busy host.
		CPPUNIT_ASSERT(m_clock.steady() - begin < std::chrono::milliseconds(1400));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_backends[0]->requests.size());
	}

	void waiting_request_is_sent_when_a_slot_becomes_free()
	{
		set_routes();
		add_backend("b1", 1);
		m_registry->find(backend_id("b1"))->load.in_flight = 1;
		raw_caller waiting = call();
		waiting.send(request("GET", "/read/1", "r2"));
		run_until(*m_context,
		    [&]
		    {
			    return 1 == m_forwarder->counters().queued;
		    });
		m_registry->find(backend_id("b1"))->load.in_flight = 0;
		m_forwarder->retry_waiting_requests();
		CPPUNIT_ASSERT_EQUAL(200U, waiting.receive().result_int());
	}

	void retry_budget_used_up_stops_retries()
	{
		m_fleet.nodes = 1000; // Leaves this node no share of the slack.
		set_routes();
		add_backend("b1").script.assign(20, {"", true});
		add_backend("b2").script.assign(20, {"", true});
		for (int i = 0; i < 5; ++i)
		{
			ask(request("GET", "/read/1", "r" + std::to_string(i)));
		}
		const std::size_t arrivals = m_backends[0]->requests.size() + m_backends[1]->requests.size();
		CPPUNIT_ASSERT(arrivals <= 6);
		CPPUNIT_ASSERT(m_forwarder->counters().retries_denied > 0);
	}

	void older_configuration_is_ignored()
	{
		set_routes(7);
		m_forwarder->set_routes(routes(6));
		CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), m_forwarder->routes()->version());
	}

	void stopping_node_refuses_new_requests_and_completes_the_others()
	{
		set_routes();
		scripted_backend& backend = add_backend("b1");
		raw_caller early = call();
		early.send(request("POST", "/pay/1", "r1", "", "x"));
		run_until(*m_context,
		    [&]
		    {
			    return 1 == m_forwarder->counters().attempts;
		    });
		m_listener->begin_stop();
		m_forwarder->begin_stop();
		const caller_response late = ask(request("POST", "/pay/1", "r2", "", "x"));
		CPPUNIT_ASSERT_EQUAL(503U, late.result_int());
		CPPUNIT_ASSERT(late.count(http::field::retry_after) > 0);
		const caller_response ended = early.receive();
		CPPUNIT_ASSERT_EQUAL(200U, ended.result_int());
		CPPUNIT_ASSERT_EQUAL(std::string("close"), std::string(ended[http::field::connection]));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), backend.requests.size());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(forwarder_test);
} // namespace larkrack
