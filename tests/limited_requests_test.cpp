// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Requests to backend servers that report a rate limit: tokens, waits for tokens, and what happens to
/// requests that get no token.

#include "entry_fixture.h"

namespace larkrack
{
class limited_requests_test : public entry_fixture
{
	CPPUNIT_TEST_SUITE(limited_requests_test);
	CPPUNIT_TEST(response_with_the_header_sets_the_limit_and_a_response_without_it_ends_it);
	CPPUNIT_TEST(response_of_another_server_or_a_refusal_without_the_header_keeps_the_limit);
	CPPUNIT_TEST(waiting_request_is_sent_when_its_token_is_granted);
	CPPUNIT_TEST(request_refused_a_token_goes_to_another_backend_server);
	CPPUNIT_TEST(request_without_a_token_and_without_another_backend_server_is_refused_at_once);
	CPPUNIT_TEST(token_granted_after_the_caller_disconnected_is_returned);
	CPPUNIT_TEST(restarted_backend_server_has_no_limit);
	CPPUNIT_TEST_SUITE_END();

protected:
	backend_server& find_backend(const std::string& _id)
	{
		return *m_registry->find(backend_id(_id));
	}

	scripted_backend& add_limited_backend(const std::string& _id)
	{
		scripted_backend& backend = add_backend(_id);
		backend.usual.bytes = scripted_backend::answer("limited", 200, "Larkrack-Limit: 2.9\r\n");
		find_backend(_id).limit.take_report({2.9, m_clock.steady()});
		return backend;
	}

	void response_with_the_header_sets_the_limit_and_a_response_without_it_ends_it()
	{
		set_routes();
		scripted_backend& backend = add_backend("b1");
		backend.script = {{scripted_backend::answer("fine", 200, "Larkrack-Limit: 2.9\r\n")},
		    {scripted_backend::answer("fine", 200, "Larkrack-Limit: many\r\n")}};
		ask(request("GET", "/read/1", "r1"));
		CPPUNIT_ASSERT_EQUAL(2.9, *find_backend("b1").limit.report().per_s);
		ask(request("GET", "/read/1", "r2"));
		CPPUNIT_ASSERT(find_backend("b1").limit.limited()); // An invalid value changes nothing.
		ask(request("GET", "/read/1", "r3"));
		CPPUNIT_ASSERT(!find_backend("b1").limit.limited());
	}

	void response_of_another_server_or_a_refusal_without_the_header_keeps_the_limit()
	{
		set_routes();
		scripted_backend& backend = add_limited_backend("b1");
		for (const char* refusal : {"421 X\r\n", "503 X\r\nLarkrack-Shed: 1\r\n"})
		{
			backend.script = {{std::string("HTTP/1.1 ") + refusal +
			                   "Larkrack-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"}};
			ask(request("GET", "/read/1", "r1"));
			CPPUNIT_ASSERT(find_backend("b1").limit.limited());
		}
	}

	void waiting_request_is_sent_when_its_token_is_granted()
	{
		set_routes();
		add_limited_backend("b1");
		m_limits.answer = quota_answer::waits;
		raw_caller caller = call();
		caller.send(request("GET", "/read/1", "r1"));
		run_until(*m_context,
		    [this]
		    {
			    return nullptr != m_limits.waiting;
		    });
		CPPUNIT_ASSERT(m_backends[0]->requests.empty());
		m_limits.waiting(quota_answer::granted);
		CPPUNIT_ASSERT_EQUAL(std::string("limited"), caller.receive().body());
	}

	void request_refused_a_token_goes_to_another_backend_server()
	{
		set_routes();
		add_limited_backend("b1");
		raw_caller caller = call();
		m_limits.answer = quota_answer::waits;
		caller.send(request("GET", "/read/1", "r1"));
		run_until(*m_context,
		    [this]
		    {
			    return nullptr != m_limits.waiting;
		    });
		add_backend("b2");
		m_limits.waiting(quota_answer::over_limit);
		CPPUNIT_ASSERT_EQUAL(std::string("fine"), caller.receive().body());
		CPPUNIT_ASSERT(m_backends[0]->requests.empty());
	}

	void request_without_a_token_and_without_another_backend_server_is_refused_at_once()
	{
		set_routes();
		add_limited_backend("b1");
		m_limits.answer = quota_answer::over_limit;
		const caller_response refused = ask(request("GET", "/read/1", "r1"));
		CPPUNIT_ASSERT_EQUAL(503U, refused.result_int());
		CPPUNIT_ASSERT(refused.end() != refused.find(http::field::retry_after));
		CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_forwarder->counters().queued);
	}

	void token_granted_after_the_caller_disconnected_is_returned()
	{
		set_routes();
		add_limited_backend("b1");
		m_limits.answer = quota_answer::waits;
		raw_caller caller = call();
		caller.send(request("GET", "/read/1", "r1"));
		run_until(*m_context,
		    [this]
		    {
			    return nullptr != m_limits.waiting;
		    });
		caller.close();
		run_until(*m_context,
		    [this]
		    {
			    return 0 == m_forwarder->in_flight();
		    });
		m_limits.waiting(quota_answer::granted);
		CPPUNIT_ASSERT_EQUAL(1, m_limits.given_back);
		CPPUNIT_ASSERT(m_backends[0]->requests.empty());
	}

	void restarted_backend_server_has_no_limit()
	{
		add_limited_backend("b1");
		backend_record record;
		static_cast<backend_registration&>(record) = find_backend("b1").registered;
		record.address = m_backends[0]->address();
		record.started_ms = 5;
		m_registry->put(record, m_clock.steady());
		CPPUNIT_ASSERT(!find_backend("b1").limit.limited());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(limited_requests_test);
} // namespace larkrack
