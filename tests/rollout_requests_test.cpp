// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Requests of a service during a roll-out: which version they go to, and which attempts are reported.

#include "entry_fixture.h"

namespace larkrack
{
class rollout_requests_test : public entry_fixture
{
	CPPUNIT_TEST_SUITE(rollout_requests_test);
	CPPUNIT_TEST(exposed_request_goes_to_the_target);
	CPPUNIT_TEST(other_request_avoids_the_target);
	CPPUNIT_TEST(exposed_request_that_failed_is_retried_on_the_other_versions);
	CPPUNIT_TEST(exposed_request_without_a_target_goes_to_the_other_versions_at_once);
	CPPUNIT_TEST(response_time_of_a_cold_backend_server_is_not_reported);
	CPPUNIT_TEST(request_that_the_backend_server_did_not_run_is_not_reported);
	CPPUNIT_TEST_SUITE_END();

protected:
	void set_up_versions(version_side _side)
	{
		set_routes();
		add_backend("old", 3, "v1");
		add_backend("new", 3, "v2");
		m_rollouts.rule = {_side, version_name("v2")};
	}

	std::size_t requests_of(std::size_t _backend) const
	{
		return m_backends.at(_backend)->requests.size();
	}

	void exposed_request_goes_to_the_target()
	{
		set_up_versions(version_side::target);
		CPPUNIT_ASSERT_EQUAL(200U, ask(request("POST", "/pay/1", "r1", "", "x")).result_int());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), requests_of(1));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_rollouts.attempts.size());
		const version_attempt& end = m_rollouts.attempts.front();
		CPPUNIT_ASSERT(version_name("v2") == end.version && "pay" == end.route);
		CPPUNIT_ASSERT(!end.failed && end.time);
	}

	void other_request_avoids_the_target()
	{
		set_up_versions(version_side::others);
		for (int i = 0; i < 5; ++i)
		{
			CPPUNIT_ASSERT_EQUAL(200U, ask(request("GET", "/read/1", "r" + std::to_string(i))).result_int());
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(5), requests_of(0));
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), requests_of(1));
	}

	void exposed_request_that_failed_is_retried_on_the_other_versions()
	{
		set_up_versions(version_side::target);
		m_backends[1]->script = {{scripted_backend::answer("bad", 500)}};
		CPPUNIT_ASSERT_EQUAL(200U, ask(request("GET", "/read/1", "r1")).result_int());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), requests_of(0));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), requests_of(1));
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_rollouts.attempts.size());
		CPPUNIT_ASSERT(m_rollouts.attempts[0].failed && version_name("v2") == m_rollouts.attempts[0].version);
		CPPUNIT_ASSERT(
		    !m_rollouts.attempts[1].failed && version_name("v1") == m_rollouts.attempts[1].version);
	}

	void exposed_request_without_a_target_goes_to_the_other_versions_at_once()
	{
		set_routes();
		add_backend("old", 3, "v1");
		m_rollouts.rule = {version_side::target, version_name("v2")};
		CPPUNIT_ASSERT_EQUAL(200U, ask(request("GET", "/read/1", "r1")).result_int());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), requests_of(0));
	}

	void response_time_of_a_cold_backend_server_is_not_reported()
	{
		set_up_versions(version_side::target);
		m_registry->find(backend_id("new"))->cold_until = m_clock.steady() + std::chrono::seconds(60);
		CPPUNIT_ASSERT_EQUAL(200U, ask(request("GET", "/read/1", "r1")).result_int());
		CPPUNIT_ASSERT(!m_rollouts.attempts.at(0).time && !m_rollouts.attempts.at(0).failed);
	}

	void request_that_the_backend_server_did_not_run_is_not_reported()
	{
		set_up_versions(version_side::target);
		m_backends[1]->script = {{scripted_backend::answer("full", 503, "Larkrack-Shed: 1\r\n")}};
		CPPUNIT_ASSERT_EQUAL(200U, ask(request("GET", "/read/1", "r1")).result_int());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_rollouts.attempts.size());
		CPPUNIT_ASSERT(version_name("v1") == m_rollouts.attempts[0].version);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(rollout_requests_test);
} // namespace larkrack
