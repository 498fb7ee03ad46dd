// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of requests that wait for a verdict on a path after an attempt has reached a backend server.

#include "entry_fixture.h"

namespace larkrack
{
class waiting_requests_test : public entry_fixture
{
	CPPUNIT_TEST_SUITE(waiting_requests_test);
	CPPUNIT_TEST(request_that_reached_a_server_is_never_refused_as_not_run_after_its_wait);
	CPPUNIT_TEST_SUITE_END();

protected:
	/// Guards the promise of a 503: no backend server has run the request.
	void request_that_reached_a_server_is_never_refused_as_not_run_after_its_wait()
	{
		set_routes();
		m_paths.in_examination = true;
		tcp::acceptor server(*m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
		tcp::socket connection(*m_context);
		bool accepted = false;
		server.async_accept(connection,
		    [&accepted](beast::error_code)
		    {
			    accepted = true;
		    });
		add_backend_at("b1", server.local_endpoint());
		raw_caller caller = call();
		caller.send(request("GET", "/read/1", "q1"));
		run_until(*m_context,
		    [&accepted]
		    {
			    return accepted;
		    });
		m_context->run_for(std::chrono::milliseconds(20)); // The request is sent.
		add_unreachable_backend("b2");
		server.close();
		connection.close();
		m_context->run_for(std::chrono::milliseconds(100));
		m_registry->remove(backend_id("b2"), m_clock.steady());
		CPPUNIT_ASSERT_EQUAL(http::status::bad_gateway, caller.receive().result());
	}

	/// Adds a backend server whose address refuses connections.
	void add_unreachable_backend(const std::string& _id)
	{
		tcp::acceptor closed(*m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
		add_backend_at(_id, closed.local_endpoint());
	}

	void add_backend_at(const std::string& _id, const tcp::endpoint& _address)
	{
		backend_record record;
		record.id = backend_id(_id);
		record.service = service_name("shop");
		record.domain = domain_name("east-a");
		record.slots = 3;
		record.version = version_name("v1");
		record.address = _address;
		m_registry->put(record, m_clock.steady());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(waiting_requests_test);
} // namespace larkrack
