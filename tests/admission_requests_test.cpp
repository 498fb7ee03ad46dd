// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Requests through a node whose admission follows a script: what admission is told, and that a request
/// does what admission decides.

#include "entry_fixture.h"

#include "steering/rendezvous_p.h"

#include <fcntl.h>
#include <unistd.h>

namespace larkrack
{
class admission_requests_test : public entry_fixture
{
	CPPUNIT_TEST_SUITE(admission_requests_test);
	CPPUNIT_TEST(request_is_described_to_admission_once);
	CPPUNIT_TEST(request_of_a_customer_has_its_priority_id_and_limit);
	CPPUNIT_TEST(request_refused_on_arrival_gets_the_retry_time_and_is_never_sent);
	CPPUNIT_TEST(request_refused_without_slot_gets_the_retry_time_and_never_waits);
	CPPUNIT_TEST(request_that_waits_is_sent_when_a_slot_becomes_free);
	CPPUNIT_TEST(waiting_requests_are_tried_in_the_order_of_admission);
	CPPUNIT_TEST(request_whose_wait_is_over_is_refused_as_admission_decides);
	CPPUNIT_TEST(request_that_reaches_its_deadline_leaves_the_queue);
	CPPUNIT_TEST(waiting_request_of_a_caller_that_leaves_leaves_the_queue);
	CPPUNIT_TEST(end_of_an_answered_request_is_told_once);
	CPPUNIT_TEST(end_of_a_rejected_request_is_told_once);
	CPPUNIT_TEST(end_of_a_request_rejected_once_and_then_answered_is_no_rejection);
	CPPUNIT_TEST(end_of_a_lost_request_is_told_once);
	CPPUNIT_TEST(end_of_a_running_request_of_a_caller_that_leaves_is_told_once);
	CPPUNIT_TEST(end_of_a_waiting_request_of_a_stopping_node_is_told_once);
	CPPUNIT_TEST(request_refused_before_admission_is_not_told);
	CPPUNIT_TEST(tick_tells_rooms_rates_and_the_service_time);
	CPPUNIT_TEST(tick_tells_nothing_to_an_admission_without_conditions);
	CPPUNIT_TEST(admission_without_conditions_costs_no_reading_of_the_clock);
	CPPUNIT_TEST(line_of_a_refused_request_tells_the_decision_of_admission);
	CPPUNIT_TEST(line_of_a_request_without_such_an_admission_stays_as_it_was);
	CPPUNIT_TEST(load_level_in_another_band_is_logged_and_exported);
	CPPUNIT_TEST(metrics_tell_waits_returns_and_refusals_by_urgency);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		m_script = {};
		m_make_admission = [this](const admission_surroundings&)
		{
			return std::make_unique<scripted_admission>(m_script);
		};
		CPPUNIT_ASSERT_EQUAL(0, pipe(m_log_ends));
		CPPUNIT_ASSERT_EQUAL(0, fcntl(m_log_ends[0], F_SETFL, O_NONBLOCK));
		m_log_descriptor = m_log_ends[1];
		entry_fixture::setUp();
	}
	void tearDown() override
	{
		entry_fixture::tearDown();
		close(m_log_ends[0]);
		close(m_log_ends[1]);
	}

protected:
	/// @returns The lines of the log so far.
	std::string logged()
	{
		m_log->flush();
		std::string text(65536, '\0');
		const ssize_t size = read(m_log_ends[0], text.data(), text.size());
		text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
		return text;
	}
	static void assert_has(const std::string& _text, const std::string& _part)
	{
		CPPUNIT_ASSERT_MESSAGE(_part + " in " + _text, std::string::npos != _text.find(_part));
	}
	static void assert_lacks(const std::string& _text, const std::string& _part)
	{
		CPPUNIT_ASSERT_MESSAGE(_part + " in " + _text, std::string::npos == _text.find(_part));
	}
	/// Adds a backend server whose only slot is taken.
	scripted_backend& add_full_backend()
	{
		scripted_backend& backend = add_backend("b1", 1);
		m_registry->find(backend_id("b1"))->load.in_flight = 1;
		return backend;
	}
	void free_the_slot()
	{
		m_registry->find(backend_id("b1"))->load.in_flight = 0;
		m_forwarder->retry_waiting_requests();
	}
	void run_until_waiting(std::size_t _requests)
	{
		run_until(*m_context,
		    [&]
		    {
			    return _requests == m_script.waiting.size();
		    });
	}
	void run_until_ended(std::size_t _requests)
	{
		run_until(*m_context,
		    [&]
		    {
			    return _requests == m_script.ended.size();
		    });
	}
	static admission_decision refusal(double _retry_after_s)
	{
		admission_decision decision;
		decision.verdict = admission_verdict::refused;
		decision.why = reason::no_headroom;
		decision.retry_after_s = _retry_after_s;
		return decision;
	}
	/// Checks that one request arrived, that its end was told once, and that nothing is left of it.
	/// @returns The end that was told.
	admission_end only_end()
	{
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_script.arrived.size());
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_script.ended.size());
		CPPUNIT_ASSERT(m_script.arrived[0].number == m_script.ended[0].number);
		CPPUNIT_ASSERT(m_script.waiting.empty());
		CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_forwarder->in_flight());
		return m_script.ended[0].how;
	}
	static std::string retry_after(const caller_response& _response)
	{
		return std::string(_response[http::field::retry_after]);
	}
	static scripted_backend::step shed()
	{
		return {
		    "HTTP/1.1 503 X\r\nLarkrack-Request-Id: {id}\r\nLarkrack-Shed: 1\r\nContent-Length: 0\r\n\r\n"};
	}

	void request_is_described_to_admission_once()
	{
		set_routes();
		add_backend("b1");
		ask(request("POST", "/pay/1", "r1", "", "body"));
		ask("GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nLarkrack-Request-Id: r2\r\n\r\n");
		CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_script.arrived.size());
		const admission_request& first = m_script.arrived[0];
		const admission_request& second = m_script.arrived[1];
		CPPUNIT_ASSERT(first.number.any() && second.number.any() && !(first.number == second.number));
		CPPUNIT_ASSERT((urgency{0, 0} == first.rank));
		CPPUNIT_ASSERT_EQUAL(rendezvous_weight("east-a", 0), first.group.value);
		CPPUNIT_ASSERT_EQUAL(1.0, first.weight);
		CPPUNIT_ASSERT_EQUAL(rendezvous_weight("pay", 0), first.route);
		CPPUNIT_ASSERT_EQUAL(std::string("east"), first.region.text);
		CPPUNIT_ASSERT(std::chrono::milliseconds(400) == first.objective);
		CPPUNIT_ASSERT(std::chrono::milliseconds(1500) == first.stated_timeout);
		CPPUNIT_ASSERT(!second.stated_timeout);
		CPPUNIT_ASSERT(first.arrived_at + std::chrono::milliseconds(1500) == first.deadline);
		CPPUNIT_ASSERT_EQUAL(std::size_t{4}, first.bytes);
	}

	void request_of_a_customer_has_its_priority_id_and_limit()
	{
		std::vector<customer_entry> entries(1);
		entries[0].who.name = customer_name("farm");
		entries[0].who.priority = 3;
		entries[0].who.limit = {25.0, 10.0};
		entries[0].keys.emplace_back("k1");
		result<customer_directory> directory = customer_directory::build(std::move(entries));
		const auto plain = routes(1);
		std::vector<route> all = plain->routes();
		all[0].priority = 2;
		m_forwarder->set_routes(std::make_shared<const routing_table>(1, std::move(all),
		    std::vector<routed_service>{{"shop", 0, 0.0}}, plain->limits(),
		    std::move(std::get<customer_directory>(directory))));
		add_backend("b1");
		ask(request("GET", "/read/1", "r1", "Larkrack-Api-Key: k1\r\n"));
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_script.arrived.size());
		CPPUNIT_ASSERT((urgency{3, 2} == m_script.arrived[0].rank));
		CPPUNIT_ASSERT_EQUAL(customer_id("farm"), m_script.arrived[0].group.value);
		CPPUNIT_ASSERT_EQUAL(25.0, m_script.arrived[0].weight);
	}

	void request_refused_on_arrival_gets_the_retry_time_and_is_never_sent()
	{
		set_routes();
		scripted_backend& backend = add_backend("b1");
		m_script.on_arrival = refusal(7.25);
		const caller_response response = ask(request("GET", "/read/1", "r1"));
		CPPUNIT_ASSERT_EQUAL(503U, response.result_int());
		CPPUNIT_ASSERT_EQUAL(std::string("7.25"), retry_after(response));
		CPPUNIT_ASSERT(backend.requests.empty() && m_script.sent.empty());
		CPPUNIT_ASSERT(!only_end().sent);
	}

	void request_refused_without_slot_gets_the_retry_time_and_never_waits()
	{
		set_routes();
		add_full_backend();
		m_script.on_no_slot = refusal(3.5);
		const caller_response response = ask(request("GET", "/read/1", "r1"));
		CPPUNIT_ASSERT_EQUAL(503U, response.result_int());
		CPPUNIT_ASSERT_EQUAL(std::string("3.50"), retry_after(response));
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_forwarder->counters().queued);
		CPPUNIT_ASSERT(!only_end().sent);
	}

	void request_that_waits_is_sent_when_a_slot_becomes_free()
	{
		set_routes();
		add_full_backend();
		raw_caller caller = call();
		caller.send(request("GET", "/read/1", "r1"));
		run_until_waiting(1);
		CPPUNIT_ASSERT(m_script.sent.empty());
		free_the_slot();
		CPPUNIT_ASSERT_EQUAL(200U, caller.receive().result_int());
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_script.sent.size());
		CPPUNIT_ASSERT(only_end().answered);
	}

	void waiting_requests_are_tried_in_the_order_of_admission()
	{
		set_routes();
		scripted_backend& backend = add_full_backend();
		raw_caller first = call();
		raw_caller second = call();
		first.send(request("GET", "/read/1", "r1"));
		run_until_waiting(1);
		second.send(request("GET", "/read/1", "r2"));
		run_until_waiting(2);
		m_script.newest_first = true;
		free_the_slot();
		CPPUNIT_ASSERT_EQUAL(200U, second.receive().result_int());
		CPPUNIT_ASSERT_EQUAL(200U, first.receive().result_int());
		CPPUNIT_ASSERT(std::string::npos != backend.requests.at(0).find("Larkrack-Request-Id: r2"));
	}

	void request_whose_wait_is_over_is_refused_as_admission_decides()
	{
		set_routes();
		add_full_backend();
		m_script.wait = std::chrono::milliseconds(20);
		m_script.on_wait_over = refusal(9.0);
		const caller_response response = ask(request("GET", "/read/1", "r1"));
		CPPUNIT_ASSERT_EQUAL(503U, response.result_int());
		CPPUNIT_ASSERT_EQUAL(std::string("9.00"), retry_after(response));
		CPPUNIT_ASSERT_EQUAL(1, m_script.waits_over);
		only_end();
	}

	void request_that_reaches_its_deadline_leaves_the_queue()
	{
		set_routes();
		add_full_backend();
		const caller_response response = ask("GET /read/1 HTTP/1.1\r\nHost: shop.example\r\n"
		                                     "Larkrack-Request-Id: r1\r\nLarkrack-Deadline-Ms: 40\r\n\r\n");
		CPPUNIT_ASSERT_EQUAL(503U, response.result_int());
		CPPUNIT_ASSERT_EQUAL(0, m_script.waits_over);
		only_end(); // Without remove() the request would be tried again after its end.
	}

	void waiting_request_of_a_caller_that_leaves_leaves_the_queue()
	{
		set_routes();
		add_full_backend();
		raw_caller caller = call();
		caller.send(request("GET", "/read/1", "r1"));
		run_until_waiting(1);
		caller.close();
		run_until_ended(1);
		CPPUNIT_ASSERT(!only_end().sent);
	}

	void end_of_an_answered_request_is_told_once()
	{
		set_routes();
		add_backend("b1");
		CPPUNIT_ASSERT_EQUAL(200U, ask(request("GET", "/read/1", "r1")).result_int());
		const admission_end end = only_end();
		CPPUNIT_ASSERT(end.sent && end.answered && !end.rejected);
		CPPUNIT_ASSERT(end.service_time_s > 0.0 && end.service_time_s < 1.5);
	}

	void end_of_a_rejected_request_is_told_once()
	{
		set_routes();
		add_backend("b1").script = {shed(), shed()};
		add_backend("b2").script = {shed(), shed()};
		CPPUNIT_ASSERT_EQUAL(503U, ask(request("POST", "/pay/1", "r1", "", "x")).result_int());
		const admission_end end = only_end();
		CPPUNIT_ASSERT(end.sent && end.rejected && !end.answered);
		CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_script.sent.size());
	}

	void end_of_a_request_rejected_once_and_then_answered_is_no_rejection()
	{
		set_routes();
		add_backend("b1").script = {shed()};
		add_backend("b2").script = {shed()};
		raw_caller caller = call();
		caller.send(request("POST", "/pay/1", "r1", "", "x"));
		run_until(*m_context,
		    [&]
		    {
			    return 1 == m_backends[0]->requests.size() + m_backends[1]->requests.size();
		    });
		m_backends[0]->script.clear();
		m_backends[1]->script.clear();
		CPPUNIT_ASSERT_EQUAL(200U, caller.receive().result_int());
		const admission_end end = only_end();
		CPPUNIT_ASSERT(end.sent && end.answered && !end.rejected);
		CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_script.sent.size());
	}

	void end_of_a_lost_request_is_told_once()
	{
		set_routes();
		add_backend("b1").script = {{"", true}};
		CPPUNIT_ASSERT_EQUAL(502U, ask(request("POST", "/pay/1", "r1", "", "x")).result_int());
		const admission_end end = only_end();
		CPPUNIT_ASSERT(end.sent && !end.rejected && !end.answered);
	}

	void end_of_a_running_request_of_a_caller_that_leaves_is_told_once()
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
		run_until_ended(1);
		const admission_end end = only_end();
		CPPUNIT_ASSERT(end.sent && !end.answered && !end.rejected);
	}

	void end_of_a_waiting_request_of_a_stopping_node_is_told_once()
	{
		set_routes();
		add_full_backend();
		m_script.wait = std::chrono::milliseconds(50);
		raw_caller caller = call();
		caller.send(request("GET", "/read/1", "r1"));
		run_until_waiting(1);
		m_listener->begin_stop();
		m_forwarder->begin_stop();
		CPPUNIT_ASSERT_EQUAL(503U, caller.receive().result_int());
		CPPUNIT_ASSERT(!only_end().sent);
	}

	void request_refused_before_admission_is_not_told()
	{
		set_routes();
		add_backend("b1");
		CPPUNIT_ASSERT_EQUAL(404U, ask(request("GET", "/other/1", "r1")).result_int());
		m_forwarder->begin_stop();
		CPPUNIT_ASSERT_EQUAL(503U, ask(request("GET", "/read/1", "r2")).result_int());
		CPPUNIT_ASSERT(m_script.arrived.empty() && m_script.ended.empty());
	}

	void tick_tells_rooms_rates_and_the_service_time()
	{
		set_routes();
		add_backend("b1", 4);
		add_backend("b2", 2);
		ask(request("GET", "/read/1", "r1"));
		m_registry->find(backend_id("b1"))->load.in_flight = 3;
		m_registry->find(backend_id("b1"))->load.in_flight_elsewhere = 1;
		m_forwarder->tick();
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_script.conditions.size());
		const admission_conditions& told = m_script.conditions[0];
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, told.rooms.size());
		const region_room& east = told.rooms.at(region_name("east"));
		CPPUNIT_ASSERT_EQUAL(6.0, east.slots);
		CPPUNIT_ASSERT_EQUAL(4.0, east.busy);
		CPPUNIT_ASSERT_EQUAL(6.0, east.own_slots);
		CPPUNIT_ASSERT_EQUAL(3.0, east.in_flight);
		CPPUNIT_ASSERT(told.others.empty());
		CPPUNIT_ASSERT(told.service_time_s > 0.0 && told.service_time_s < k_initial_service_time_s);
		CPPUNIT_ASSERT(told.requests_per_s > 0.0);
	}

	/// Of an admission that does not use them, conditions would be computed at each tick in vain.
	void tick_tells_nothing_to_an_admission_without_conditions()
	{
		m_script.uses_conditions = false;
		set_routes();
		add_backend("b1");
		ask(request("GET", "/read/1", "r1"));
		m_forwarder->tick();
		CPPUNIT_ASSERT(m_script.conditions.empty());
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_script.ended.size());
	}

	/// Each reading of the clock moves a replayed day on, so that it would no longer be the same to the
	/// digit.
	void admission_without_conditions_costs_no_reading_of_the_clock()
	{
		m_script.uses_conditions = false;
		m_script.wait = std::chrono::milliseconds(20);
		set_routes();
		add_full_backend();
		ask(request("GET", "/read/1", "r1"));
		CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_script.times.size());
		for (const steady_time time : m_script.times)
		{
			CPPUNIT_ASSERT(m_script.arrived.at(0).arrived_at == time);
		}
	}

	void line_of_a_refused_request_tells_the_decision_of_admission()
	{
		set_routes();
		add_full_backend();
		m_script.on_arrival.returning = true;
		m_script.wait = std::chrono::milliseconds(20);
		m_script.on_wait_over = refusal(9.0);
		m_script.on_wait_over.why = reason::over_share;
		m_script.on_wait_over.level = 0.75;
		m_script.on_wait_over.share = 0.125;
		ask(request("GET", "/read/1", "r1"));
		const std::string line = logged();
		assert_has(line, R"("reason":"over_share")");
		assert_has(line, R"("level":0.750,"share":0.125,"return":1})");
		const std::size_t waited = line.find(R"("waited_ms":)");
		CPPUNIT_ASSERT(std::string::npos != waited);
		CPPUNIT_ASSERT(std::stoi(line.substr(waited + 12)) >= 20);
	}

	void line_of_a_request_without_such_an_admission_stays_as_it_was()
	{
		m_script.uses_conditions = false;
		set_routes();
		add_full_backend();
		m_script.on_no_slot = refusal(3.5);
		ask(request("GET", "/read/1", "r1"));
		const std::string line = logged();
		assert_has(line, R"("reason":"no_headroom")");
		for (const char* field : {"waited_ms", "level", "share", "return", "planned"})
		{
			assert_lacks(line, "\"" + std::string(field) + "\"");
		}
		for (const char* name : {"wait_seconds", "returns", "refusals", "load_level"})
		{
			assert_lacks(m_metrics.text(), "larkrack_" + std::string(name));
		}
	}

	void load_level_in_another_band_is_logged_and_exported()
	{
		set_routes();
		add_backend("b1");
		ask(request("GET", "/read/1", "r1"));
		logged();
		m_script.report.level[region_name("east")] = 0.6;
		m_forwarder->tick();
		assert_has(
		    logged(), R"("name":"load_level_changed","service":"shop","region":"east","level":0.600})");
		m_forwarder->tick();
		assert_lacks(logged(), "load_level_changed");
		CPPUNIT_ASSERT_EQUAL(
		    0.6, m_forwarder->load_levels().at(service_name("shop")).at(region_name("east")));
		m_script.report.level.clear();
		m_forwarder->tick();
		assert_has(logged(), R"("level":0.000})");
	}

	void metrics_tell_waits_returns_and_refusals_by_urgency()
	{
		set_routes();
		add_full_backend();
		m_script.on_arrival.returning = true;
		m_script.wait = std::chrono::milliseconds(20);
		ask(request("GET", "/read/1", "r1"));
		const std::string text = m_metrics.text();
		assert_has(text, "larkrack_returns_total 1\n");
		assert_has(text, "larkrack_wait_seconds_count 1\n");
		assert_has(
		    text, "larkrack_admission_refusals_total{customer_priority=\"0\",route_priority=\"0\"} 1\n");
		m_metrics.count_refusal(-1, 4000000);
		assert_has(m_metrics.text(), "{customer_priority=\"0\",route_priority=\"9\"} 1\n");
	}

private:
	int m_log_ends[2] = {-1, -1}; ///< Of a pipe: where the log is read and written.
	admission_script m_script;
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_requests_test);
} // namespace larkrack
