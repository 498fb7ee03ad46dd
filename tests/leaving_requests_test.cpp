// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Backend servers that announce their shutdown in the headers of a response, while their registry entry says
/// that they are ready.

#include "entry_fixture.h"

namespace larkrack
{
class leaving_requests_test : public entry_fixture
{
	CPPUNIT_TEST_SUITE(leaving_requests_test);
	CPPUNIT_TEST(leaving_backend_server_gets_no_later_request_even_if_its_entry_says_ready);
	CPPUNIT_TEST(leaving_header_is_read_from_responses_that_are_not_passed_on);
	CPPUNIT_TEST(leaving_state_survives_a_lost_entry_and_ends_with_a_restart);
	CPPUNIT_TEST(queued_request_goes_to_another_backend_server);
	CPPUNIT_TEST_SUITE_END();

protected:
	static constexpr const char* k_leaving_header = "Larkrack-Leaving: 1\r\n";

	backend_record record_of(const std::string& _id, std::int64_t _born_ms = 0)
	{
		backend_record record;
		record.id = backend_id(_id);
		record.started_ms = _born_ms;
		record.service = service_name("shop");
		record.domain = domain_name("east-a");
		record.slots = 1;
		record.address = m_backends.back()->address();
		return record;
	}
	bool accepts(const std::string& _id) const
	{
		return m_registry->find(backend_id(_id))->accepts_new_requests();
	}

	/// Guards against new requests to a backend server that has announced its shutdown in its own responses.
	void leaving_backend_server_gets_no_later_request_even_if_its_entry_says_ready()
	{
		set_routes();
		scripted_backend& leaving = add_backend("b1");
		leaving.usual.bytes = scripted_backend::answer("bye", 200, k_leaving_header);
		const caller_response last = ask(request("GET", "/read/1", "r0"));
		CPPUNIT_ASSERT_EQUAL(std::string("bye"), last.body());
		CPPUNIT_ASSERT_EQUAL(std::string("1"), std::string(last["Larkrack-Leaving"])); // Passed on unchanged.
		m_registry->put(record_of("b1"), m_clock.steady()); // The entry says ready.
		add_backend("b2");
		for (int i = 1; i < 20; ++i)
		{
			const std::string id = "r" + std::to_string(i);
			const std::string cookie = "Cookie: Larkrack-Affinity=" + id + "\r\n";
			CPPUNIT_ASSERT_EQUAL(std::string("fine"), ask(request("GET", "/read/" + id, id, cookie)).body());
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), leaving.requests.size());
	}

	void leaving_header_is_read_from_responses_that_are_not_passed_on()
	{
		set_routes();
		const std::string late = "HTTP/1.1 200 X\r\nLarkrack-Request-Id: old\r\n" +
		                         std::string(k_leaving_header) + "Content-Length: 0\r\n\r\n";
		const std::vector<scripted_backend::step> answers = {
		    {scripted_backend::answer("", 503, std::string("Larkrack-Shed: 1\r\n") + k_leaving_header)},
		    {scripted_backend::answer("", 500, k_leaving_header)},
		    {late + scripted_backend::answer("fine")},
		    {"HTTP/1.1 200 X\r\nLarkrack-Request-Id: {id}\r\n" + std::string(k_leaving_header) +
		            "Content-Length: 9\r\n\r\npart",
		        true},
		};
		for (std::size_t i = 0; i < answers.size(); ++i)
		{
			const std::string id = "b" + std::to_string(i);
			add_backend(id).script = {answers[i]};
			ask(request("GET", "/read/1", "r" + std::to_string(i)));
			CPPUNIT_ASSERT_MESSAGE(id, !accepts(id));
		}
		add_backend("other").script = {{scripted_backend::answer("", 421, k_leaving_header)}};
		ask(request("GET", "/read/1", "r9"));
		CPPUNIT_ASSERT(accepts("other")); // The response is from another backend server.
	}

	void leaving_state_survives_a_lost_entry_and_ends_with_a_restart()
	{
		set_routes();
		add_backend("unused");
		m_registry->put(record_of("b1", 1000), m_clock.steady());
		m_registry->find(backend_id("b1"))->reported_leaving = true;
		m_registry->remove(backend_id("b1"), m_clock.steady());
		m_registry->put(record_of("b1", 1000), m_clock.steady());
		CPPUNIT_ASSERT(!accepts("b1"));
		m_registry->put(record_of("b1", 2000), m_clock.steady());
		CPPUNIT_ASSERT(accepts("b1"));
	}

	void queued_request_goes_to_another_backend_server()
	{
		set_routes();
		scripted_backend& leaving = add_backend("b1", 1);
		leaving.script = {{"", false, false, true}};
		raw_caller first = call();
		first.send(request("GET", "/read/1", "r1"));
		run_until(*m_context,
		    [&]
		    {
			    return 1 == leaving.requests.size();
		    });
		raw_caller second = call();
		second.send(request("GET", "/read/2", "r2"));
		run_until(*m_context,
		    [&]
		    {
			    return 1 == m_forwarder->counters().queued;
		    });
		m_registry->find(backend_id("b1"))->reported_leaving = true;
		add_backend("b2");
		m_forwarder->retry_waiting_requests();
		CPPUNIT_ASSERT_EQUAL(std::string("fine"), second.receive().body());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), leaving.requests.size());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(leaving_requests_test);
} // namespace larkrack
