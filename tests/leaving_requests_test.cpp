// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Backend servers that say beside an answer that they leave, while their entry says nothing of it.

#include "entry_fixture.h"

namespace larkrack
{
class leaving_requests_test : public entry_fixture
{
	CPPUNIT_TEST_SUITE(leaving_requests_test);
	CPPUNIT_TEST(backend_server_that_says_so_gets_no_later_request_whatever_its_entry_says);
	CPPUNIT_TEST(word_is_heard_beside_answers_that_are_not_passed_on);
	CPPUNIT_TEST(word_holds_through_a_lost_entry_and_ends_with_the_life_of_the_backend_server);
	CPPUNIT_TEST(request_in_the_queue_goes_to_another_one);
	CPPUNIT_TEST_SUITE_END();

protected:
	static constexpr const char* k_word = "Larkrack-Leaving: 1\r\n";

	backend_record record_of(const std::string& _id, std::int64_t _born_ms = 0)
	{
		backend_record record;
		record.id = backend_id(_id);
		record.born_ms = _born_ms;
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

	/// Guards against requests to a backend server that has said in its own answers that it leaves.
	void backend_server_that_says_so_gets_no_later_request_whatever_its_entry_says()
	{
		set_routes();
		scripted_backend& leaving = add_backend("b1");
		leaving.usual.bytes = scripted_backend::answer("bye", 200, k_word);
		const caller_response last = ask(request("GET", "/read/1", "r0"));
		CPPUNIT_ASSERT_EQUAL(std::string("bye"), last.body());
		CPPUNIT_ASSERT_EQUAL(
		    std::string("1"), std::string(last["Larkrack-Leaving"])); // Passed on as it came.
		m_registry->put(record_of("b1"), m_clock.steady());           // Its entry says ready.
		add_backend("b2");
		for (int i = 1; i < 20; ++i)
		{
			const std::string id = "r" + std::to_string(i);
			const std::string cookie = "Cookie: Larkrack-Affinity=" + id + "\r\n";
			CPPUNIT_ASSERT_EQUAL(std::string("fine"), ask(request("GET", "/read/" + id, id, cookie)).body());
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), leaving.requests.size());
	}

	void word_is_heard_beside_answers_that_are_not_passed_on()
	{
		set_routes();
		const std::string late = "HTTP/1.1 200 X\r\nLarkrack-Request-Id: old\r\n" + std::string(k_word) +
		                         "Content-Length: 0\r\n\r\n";
		const std::vector<scripted_backend::step> answers = {
		    {scripted_backend::answer("", 503, std::string("Larkrack-Shed: 1\r\n") + k_word)},
		    {scripted_backend::answer("", 500, k_word)},
		    {late + scripted_backend::answer("fine")},
		    {"HTTP/1.1 200 X\r\nLarkrack-Request-Id: {id}\r\n" + std::string(k_word) +
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
		add_backend("other").script = {{scripted_backend::answer("", 421, k_word)}};
		ask(request("GET", "/read/1", "r9"));
		CPPUNIT_ASSERT(accepts("other")); // Another backend server has said it.
	}

	void word_holds_through_a_lost_entry_and_ends_with_the_life_of_the_backend_server()
	{
		set_routes();
		add_backend("unused");
		m_registry->put(record_of("b1", 1000), m_clock.steady());
		m_registry->find(backend_id("b1"))->said_leaving = true;
		m_registry->remove(backend_id("b1"), m_clock.steady());
		m_registry->put(record_of("b1", 1000), m_clock.steady());
		CPPUNIT_ASSERT(!accepts("b1"));
		m_registry->put(record_of("b1", 2000), m_clock.steady());
		CPPUNIT_ASSERT(accepts("b1"));
	}

	void request_in_the_queue_goes_to_another_one()
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
		m_registry->find(backend_id("b1"))->said_leaving = true;
		add_backend("b2");
		m_forwarder->pump();
		CPPUNIT_ASSERT_EQUAL(std::string("fine"), second.receive().body());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), leaving.requests.size());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(leaving_requests_test);
} // namespace larkrack
