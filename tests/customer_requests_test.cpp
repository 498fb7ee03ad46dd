// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Requests of customers through a node: API keys, customer names, home regions and quotas.

#include "entry_fixture.h"

namespace larkrack
{
class customer_requests_test : public entry_fixture
{
	CPPUNIT_TEST_SUITE(customer_requests_test);
	CPPUNIT_TEST(request_with_a_key_reaches_the_backend_server_with_the_customer_name_only);
	CPPUNIT_TEST(request_without_a_known_key_gets_401);
	CPPUNIT_TEST(request_without_a_known_key_is_refused_before_its_body);
	CPPUNIT_TEST(request_before_any_configuration_gets_503);
	CPPUNIT_TEST(request_on_a_public_route_needs_no_key_and_passes_none_on);
	CPPUNIT_TEST(request_with_forged_customer_headers_loses_them);
	CPPUNIT_TEST(request_without_declared_customers_needs_no_key);
	CPPUNIT_TEST(request_of_a_customer_stays_in_its_home_regions);
	CPPUNIT_TEST(request_without_a_common_home_region_is_refused_at_once);
	CPPUNIT_TEST(request_above_the_quota_gets_429_and_retry_after);
	CPPUNIT_TEST(request_that_waits_for_a_token_runs_when_it_is_granted);
	CPPUNIT_TEST(request_that_reaches_no_backend_server_returns_its_token);
	CPPUNIT_TEST(request_of_a_customer_without_limit_takes_no_token);
	CPPUNIT_TEST(waiting_request_gets_401_when_its_key_is_removed);
	CPPUNIT_TEST(running_request_completes_when_its_key_is_removed);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		entry_fixture::setUp();
		m_listener->set_header_check(
		    [this](const caller_request& _request)
		    {
			    return m_forwarder->check_before_body(_request);
		    });
	}

protected:
	/// Sets the routes of the fixture plus "/open/" (public) and "/east/" (home region east), and the
	/// customers shop (keys k1 and k2), mill (key k3, home region west) and farm (key k4, with a quota).
	void set_customers(std::uint64_t _version = 1, const std::vector<std::string>& _shop_keys = {"k1", "k2"})
	{
		const auto plain = routes(_version);
		std::vector<route> all = plain->routes();
		route open = all.front();
		open.name = "open";
		open.path_prefix = "/open/";
		open.needs_key = false;
		route east = all.front();
		east.name = "east";
		east.path_prefix = "/east/";
		east.home_regions = {"east"};
		all.push_back(open);
		all.push_back(east);
		std::vector<customer_entry> entries(3);
		entries[2].who.name = customer_name("farm");
		entries[2].who.limit = {10.0, 10.0};
		entries[2].keys.emplace_back("k4");
		entries[0].who.name = customer_name("shop");
		for (const std::string& key : _shop_keys)
		{
			entries[0].keys.emplace_back(key);
		}
		entries[1].who.name = customer_name("mill");
		entries[1].who.home_regions = {"west"};
		entries[1].keys.emplace_back("k3");
		result<customer_directory> directory = customer_directory::build(std::move(entries));
		m_forwarder->set_routes(std::make_shared<const routing_table>(_version, std::move(all),
		    std::vector<routed_service>{{"shop", 0, 0.0}}, plain->limits(),
		    std::move(std::get<customer_directory>(directory))));
	}

	static std::string key(const std::string& _key)
	{
		return "Larkrack-Api-Key: " + _key + "\r\n";
	}

	void request_with_a_key_reaches_the_backend_server_with_the_customer_name_only()
	{
		set_customers();
		scripted_backend& backend = add_backend("b1");
		CPPUNIT_ASSERT_EQUAL(200U, ask(request("GET", "/read/1", "r1", key("k2"))).result_int());
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, backend.requests.size());
		CPPUNIT_ASSERT(std::string::npos != backend.requests[0].find("Larkrack-Customer: shop\r\n"));
		CPPUNIT_ASSERT(std::string::npos == backend.requests[0].find("k2"));
		CPPUNIT_ASSERT(std::string::npos == backend.requests[0].find("Api-Key"));
	}

	void request_without_a_known_key_gets_401()
	{
		set_customers();
		scripted_backend& backend = add_backend("b1");
		const std::string bad[] = {"", key("k9"), key(""), key("k1") + key("k1"), key("k1") + key("k2"),
		    key("K1"), key("k1, k2"), key("\xc3\x28\x80"), key(std::string(1500, 'x')),
		    "Larkrack_Api_Key: k1\r\n"};
		for (const std::string& headers : bad)
		{
			CPPUNIT_ASSERT_EQUAL(401U, ask(request("GET", "/read/1", "r1", headers)).result_int());
		}
		CPPUNIT_ASSERT_EQUAL(
		    431U, ask(request("GET", "/read/1", "r1", key(std::string(16384, 'x')))).result_int());
		CPPUNIT_ASSERT(backend.requests.empty());
	}

	void request_without_a_known_key_is_refused_before_its_body()
	{
		set_customers();
		add_backend("b1");
		raw_caller caller = call();
		caller.send("POST /pay/1 HTTP/1.1\r\nHost: shop.example\r\nLarkrack-Request-Id: r1\r\n"
		            "Content-Length: 90000\r\n" +
		            key("k9") + "\r\nfirst part");
		CPPUNIT_ASSERT_EQUAL(401U, caller.receive().result_int());
	}

	void request_before_any_configuration_gets_503()
	{
		CPPUNIT_ASSERT_EQUAL(503U, ask(request("GET", "/read/1", "r1", key("k9"))).result_int());
		CPPUNIT_ASSERT_EQUAL(503U, ask(request("POST", "/pay/1", "r2", key("k9"), "body")).result_int());
	}

	void request_on_a_public_route_needs_no_key_and_passes_none_on()
	{
		set_customers();
		scripted_backend& backend = add_backend("b1");
		for (const std::string& headers : {std::string(), key("k9"), key("k1")})
		{
			CPPUNIT_ASSERT_EQUAL(200U, ask(request("GET", "/open/1", "r1", headers)).result_int());
			CPPUNIT_ASSERT(std::string::npos == backend.requests.back().find("Api-Key"));
		}
		CPPUNIT_ASSERT(std::string::npos == backend.requests[0].find("Larkrack-Customer"));
		CPPUNIT_ASSERT(std::string::npos == backend.requests[1].find("Larkrack-Customer"));
		CPPUNIT_ASSERT(std::string::npos != backend.requests[2].find("Larkrack-Customer: shop\r\n"));
	}

	void request_with_forged_customer_headers_loses_them()
	{
		set_customers();
		scripted_backend& backend = add_backend("b1");
		const std::string forged = "Larkrack-Customer: mill\r\nLARKRACK-CUSTOMER: mill\r\n"
		                           "larkrack_customer: mill\r\nlarkrack_api-key: k1\r\n";
		ask(request("GET", "/read/1", "r1", key("k1") + forged));
		ask(request("GET", "/open/1", "r2", forged));
		CPPUNIT_ASSERT_EQUAL(std::size_t{2}, backend.requests.size());
		for (const std::string& text : backend.requests)
		{
			CPPUNIT_ASSERT(std::string::npos == text.find("mill"));
			CPPUNIT_ASSERT(std::string::npos == text.find("k1"));
		}
	}

	void request_without_declared_customers_needs_no_key()
	{
		set_routes();
		scripted_backend& backend = add_backend("b1");
		CPPUNIT_ASSERT_EQUAL(200U, ask(request("GET", "/read/1", "r1")).result_int());
		CPPUNIT_ASSERT(std::string::npos == backend.requests[0].find("Larkrack-Customer"));
	}

	void request_of_a_customer_stays_in_its_home_regions()
	{
		set_customers();
		scripted_backend& east = add_backend("b1");
		CPPUNIT_ASSERT_EQUAL(503U, ask(request("GET", "/read/1", "r1", key("k3"))).result_int());
		CPPUNIT_ASSERT(east.requests.empty());
		CPPUNIT_ASSERT_EQUAL(200U, ask(request("GET", "/read/1", "r2", key("k1"))).result_int());
	}

	void request_without_a_common_home_region_is_refused_at_once()
	{
		set_customers();
		add_backend("b1");
		const steady_time before = m_clock.steady();
		const caller_response refused = ask(request("GET", "/east/1", "r1", key("k3")));
		CPPUNIT_ASSERT_EQUAL(503U, refused.result_int());
		CPPUNIT_ASSERT(m_clock.steady() - before < std::chrono::milliseconds(30));
		CPPUNIT_ASSERT_EQUAL(200U, ask(request("GET", "/east/1", "r2", key("k1"))).result_int());
	}

	void request_above_the_quota_gets_429_and_retry_after()
	{
		set_customers();
		scripted_backend& backend = add_backend("b1");
		m_quotas.answer = quota_answer::over_limit;
		const caller_response refused = ask(request("GET", "/read/1", "r1", key("k4")));
		CPPUNIT_ASSERT_EQUAL(429U, refused.result_int());
		const double pause_s = std::stod(std::string(refused[http::field::retry_after]));
		CPPUNIT_ASSERT(pause_s >= 1.0 && pause_s <= 2.0); // Spread below the 2 s of scripted_quotas.
		CPPUNIT_ASSERT(backend.requests.empty() && m_quotas.given_back.empty());
		m_quotas.answer = quota_answer::unknown;
		CPPUNIT_ASSERT_EQUAL(503U, ask(request("GET", "/read/1", "r2", key("k4"))).result_int());
	}

	void request_that_waits_for_a_token_runs_when_it_is_granted()
	{
		set_customers();
		scripted_backend& backend = add_backend("b1");
		m_quotas.answer = quota_answer::waits;
		raw_caller caller = call();
		caller.send(request("GET", "/read/1", "r1", key("k4")));
		run_until(*m_context,
		    [this]
		    {
			    return nullptr != m_quotas.waiting;
		    });
		CPPUNIT_ASSERT(backend.requests.empty());
		// Moved out, since the handler holds the request, and the request needs the fixture's context.
		const quota_admission_base::handler decide = std::exchange(m_quotas.waiting, nullptr);
		decide(quota_answer::granted);
		CPPUNIT_ASSERT_EQUAL(200U, caller.receive().result_int());
		CPPUNIT_ASSERT(m_quotas.given_back.empty());
	}

	void request_that_reaches_no_backend_server_returns_its_token()
	{
		set_customers();
		CPPUNIT_ASSERT_EQUAL(503U, ask(request("GET", "/read/1", "r1", key("k4"))).result_int());
		CPPUNIT_ASSERT(std::vector<std::string>{"farm"} == m_quotas.given_back);
	}

	void request_of_a_customer_without_limit_takes_no_token()
	{
		set_customers();
		add_backend("b1");
		CPPUNIT_ASSERT_EQUAL(200U, ask(request("GET", "/read/1", "r1", key("k1"))).result_int());
		CPPUNIT_ASSERT(m_quotas.asked.empty());
	}

	void waiting_request_gets_401_when_its_key_is_removed()
	{
		set_customers();
		add_backend("b1", 1).script = {{"", false, false, true}, {"", false, false, true}};
		raw_caller first = call();
		first.send(request("GET", "/read/1", "r1", key("k1")));
		raw_caller second = call();
		second.send(request("GET", "/read/1", "r2", key("k1")));
		raw_caller third = call();
		third.send(request("GET", "/read/1", "r3", key("k1")));
		run_until(*m_context,
		    [this]
		    {
			    return 1 == m_forwarder->counters().queued;
		    });
		set_customers(2, {"k2"});
		m_forwarder->retry_waiting_requests();
		CPPUNIT_ASSERT_EQUAL(401U, third.receive().result_int());
	}

	void running_request_completes_when_its_key_is_removed()
	{
		set_customers();
		scripted_backend& backend = add_backend("b1");
		raw_caller caller = call();
		caller.send(request("GET", "/read/1", "r1", key("k1")));
		run_until(*m_context,
		    [&backend]
		    {
			    return 1 == backend.requests.size();
		    });
		set_customers(2, {"k2"});
		CPPUNIT_ASSERT_EQUAL(200U, caller.receive().result_int());
		CPPUNIT_ASSERT_EQUAL(401U, ask(request("GET", "/read/1", "r2", key("k1"))).result_int());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(customer_requests_test);
} // namespace larkrack
