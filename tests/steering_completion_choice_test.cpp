// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Choice by expected completion: expected times, own and further servers, the bound of cold runs, slowness
/// and work times, the load header that carries them, and the rule that a service uses.

#include "fixtures.h"

#include "entry_node/answer_words_p.h"
#include "steering/rendezvous_p.h"
#include "steering/service_choice_p.h"

#include <ctime>
#include <iostream>

namespace larkrack
{
class steering_completion_choice_test : public CppUnit::TestFixture, private warmup_sharing_base
{
	CPPUNIT_TEST_SUITE(steering_completion_choice_test);
	CPPUNIT_TEST(load_header_valid_work_time_is_read);
	CPPUNIT_TEST(load_header_without_work_time_is_not_counted_as_invalid);
	CPPUNIT_TEST(load_header_invalid_work_time_counts_as_absent_and_keeps_the_load);
	CPPUNIT_TEST(slowness_without_reports_fades_to_the_mean_and_then_counts_as_usual);
	CPPUNIT_TEST(work_time_of_a_queued_request_does_not_raise_the_mean);
	CPPUNIT_TEST(key_with_a_short_queue_waits_at_its_first_server);
	CPPUNIT_TEST(key_whose_first_server_is_late_goes_to_a_further_server);
	CPPUNIT_TEST(key_never_goes_beyond_the_further_servers);
	CPPUNIT_TEST(key_with_a_late_first_server_stays_there_up_to_its_queue_depth);
	CPPUNIT_TEST(slow_first_server_runs_the_key_up_to_its_queue_depth);
	CPPUNIT_TEST(cold_runs_with_short_capacity_stay_within_the_nodes_part);
	CPPUNIT_TEST(first_run_at_its_own_server_is_not_bounded);
	CPPUNIT_TEST(queue_at_the_first_server_is_bounded_whatever_is_reported);
	CPPUNIT_TEST(request_without_a_key_avoids_a_slow_server);
	CPPUNIT_TEST(server_that_rejected_with_free_slots_may_be_tried_again);
	CPPUNIT_TEST(rejection_that_reports_free_slots_keeps_the_report);
	CPPUNIT_TEST(service_uses_the_rule_of_the_setting);
	CPPUNIT_TEST(choice_among_thousands_costs_little_more_than_by_count);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		m_servers.clear();
		m_candidates.clear();
		m_rule = completion_choice();
		add_servers(6);
		for (int i = 0; i < 200; ++i)
		{
			m_rule.works.on_answer({true, false, 1.0, 0.1});
			m_rule.works.on_answer({false, false, 1.0, 0.3});
		}
	}

protected:
	double warmup_share(const backend_state&) const override
	{
		return 1.0;
	}

	void add_servers(int _count)
	{
		for (int at = 0; at < _count; ++at)
		{
			auto server = std::make_unique<backend_state>();
			server->registered.id = backend_id("s" + std::to_string(at));
			server->registered.slots = 4;
			server->region = region_name("east");
			server->id_hash = short_hash(server->registered.id.text);
			m_candidates.push_back(server.get());
			m_servers.push_back(std::move(server));
		}
	}

	backend_query query(std::uint64_t _key)
	{
		backend_query built;
		built.candidates = &m_candidates;
		built.region = region_name("east");
		built.own_region = region_name("east");
		built.key = {_key};
		built.own_portion = {0.0, 0.0};
		built.rule = &m_rule;
		built.time_left_s = 0.5;
		return built;
	}

	backend_choice choose(const backend_query& _query)
	{
		return choose_backend(_query, *this, m_now);
	}

	/// @returns Servers in the order of a key.
	std::vector<backend_state*> order_of(std::uint64_t _key)
	{
		std::vector<backend_state*> order = m_candidates;
		std::sort(order.begin(), order.end(),
		    [_key](const backend_state* _left, const backend_state* _right)
		    {
			    return rendezvous_weight(_left->registered.id.text, _key) <
			           rendezvous_weight(_right->registered.id.text, _key);
		    });
		return order;
	}

	static backend_report report_of(const std::string& _load)
	{
		header_names names;
		names.load = "Load";
		boost::beast::http::response_header<> head;
		head.result(200);
		head.set("Load", _load);
		return parse_backend_report(head, names, true, steady_time(std::chrono::seconds(1)));
	}

	void load_header_valid_work_time_is_read()
	{
		CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, report_of("1,2,3,250").slowness.value(), 1e-9);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.01, report_of("1,2,3, 1 ").slowness.value(), 1e-9);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(100.0, report_of("1,2,3,10000").slowness.value(), 1e-9);
		CPPUNIT_ASSERT(!report_of("1,2,3,250").invalid_slowness);
	}

	void load_header_without_work_time_is_not_counted_as_invalid()
	{
		for (const char* text : {"1,2,3", "1,2,3 ", "", "1,2", "x"})
		{
			CPPUNIT_ASSERT(!report_of(text).slowness);
			CPPUNIT_ASSERT(!report_of(text).invalid_slowness);
		}
	}

	/// Guards against false figures of a server that move requests, or that hide its load.
	void load_header_invalid_work_time_counts_as_absent_and_keeps_the_load()
	{
		for (const char* text :
		    {"1,2,3,0", "1,2,3,-100", "1,2,3,10001", "1,2,3,slow", "1,2,3,", "1,2,3,100,5", "1,2,3,nan",
		        "1,2,3,inf", "1,2,3,100x", "1,2,3,1e400", "1,2,3,99999999999999999999"})
		{
			const backend_report report = report_of(text);
			CPPUNIT_ASSERT_MESSAGE(text, !report.slowness);
			CPPUNIT_ASSERT_MESSAGE(text, report.invalid_slowness);
			CPPUNIT_ASSERT_MESSAGE(text, report.load && 2 == report.load->waiting);
		}
	}

	/// Guards against a server that stays slow in the eyes of a node because it gets no requests.
	void slowness_without_reports_fades_to_the_mean_and_then_counts_as_usual()
	{
		server_slowness slowness;
		CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, slowness.factor(m_now), 1e-9);
		for (int i = 0; i < 200; ++i)
		{
			slowness.on_report(1.2, m_now);
		}
		slowness.on_report(5.0, m_now);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, slowness.factor(m_now), 1e-9);
		const double half = slowness.factor(m_now + k_slowness_lifetime / 2);
		CPPUNIT_ASSERT(half > 2.5 && half < 4.0);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(1.39, slowness.factor(m_now + k_slowness_lifetime), 0.01);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, slowness.factor(m_now + k_slowness_mean_lifetime), 1e-9);
	}

	/// Guards against queues that raise the mean, so that requests leave the servers that know their key.
	void work_time_of_a_queued_request_does_not_raise_the_mean()
	{
		work_times works = m_rule.works;
		for (int i = 0; i < 100; ++i)
		{
			works.on_answer({true, true, 1.0, 0.8});
		}
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, works.own_s(), 0.001);
		works.on_answer({true, true, 1.0, 0.05});
		CPPUNIT_ASSERT(works.own_s() < 0.099);
		work_times slow = m_rule.works;
		slow.on_answer({true, false, 3.0, 0.3});
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, slow.own_s(), 0.001);
	}

	void key_with_a_short_queue_waits_at_its_first_server()
	{
		backend_state& first = *order_of(7)[0];
		first.load.in_flight = 9; // Expected: 6 of 4 slots ahead, 0.15 s, and 0.1 s of work.
		const backend_choice choice = choose(query(7));
		CPPUNIT_ASSERT(choice.backend == &first);
		CPPUNIT_ASSERT(backend_choice_reason::preferred_for_key == choice.why);
	}

	void key_whose_first_server_is_late_goes_to_a_further_server()
	{
		const std::vector<backend_state*> order = order_of(7);
		order[0]->load.in_flight = 11;
		order[0]->slowness.on_report(4.0, m_now);
		const backend_choice choice = choose(query(7));
		CPPUNIT_ASSERT(choice.backend == order[1]);
		CPPUNIT_ASSERT(backend_choice_reason::next_for_key == choice.why);
	}

	/// Guards against keys that become known at arbitrary idle servers.
	void key_never_goes_beyond_the_further_servers()
	{
		const std::vector<backend_state*> order = order_of(7);
		for (std::size_t at = 0; at <= k_further_servers; ++at)
		{
			order[at]->load.in_flight = 16;
		}
		const backend_choice choice = choose(query(7));
		CPPUNIT_ASSERT(nullptr == choice.backend);
		CPPUNIT_ASSERT(backend_choice_reason::no_slot == choice.why);
	}

	/// Guards against cold runs that are late anyway and fill the slots of known ones.
	void key_with_a_late_first_server_stays_there_up_to_its_queue_depth()
	{
		const std::vector<backend_state*> order = order_of(7);
		order[0]->load.in_flight = 9;
		backend_query late = query(7);
		late.time_left_s = 0.1;
		CPPUNIT_ASSERT(choose(late).backend == order[0]);
		order[0]->load.in_flight = 10; // k_max_queue_depth times 4 slots.
		CPPUNIT_ASSERT(choose(late).backend == order[1]);
		order[1]->load.in_flight = 7; // k_max_further_depth times 4 slots is 6.8.
		CPPUNIT_ASSERT(nullptr == choose(late).backend);
	}

	void slow_first_server_runs_the_key_up_to_its_queue_depth()
	{
		const std::vector<backend_state*> order = order_of(7);
		order[0]->slowness.on_report(10.0, m_now);
		CPPUNIT_ASSERT(choose(query(7)).backend == order[0]);
		order[0]->load.in_flight = 10;
		CPPUNIT_ASSERT(choose(query(7)).backend == order[1]);
	}

	/// Guards against an overload that sustains itself: with short capacity this node starts no more cold
	/// runs than its portion of their part of the slots permits.
	void cold_runs_with_short_capacity_stay_within_the_nodes_part()
	{
		const std::vector<backend_state*> order = order_of(7);
		for (backend_state* server : m_candidates)
		{
			server->load.in_flight = server == order[1] ? 3 : 16;
		}
		backend_query half = query(7);
		half.own_portion = {0.0, 0.5};
		int cold = 0;
		for (int ms = 0; ms < 10000; ms += 10)
		{
			cold += backend_choice_reason::next_for_key == choose(half).why ? 1 : 0;
			m_now += std::chrono::milliseconds(10);
		}
		// 24 slots, k_cold_run_part of them, half of these, each 0.3 s for 10 s.
		const double permitted = 24 * k_cold_run_part * 0.5 * 10.0 / 0.3;
		CPPUNIT_ASSERT(cold > 0.9 * permitted && cold <= permitted + k_cold_run_burst);
	}

	void first_run_at_its_own_server_is_not_bounded()
	{
		const std::vector<backend_state*> order = order_of(7);
		for (backend_state* server : m_candidates)
		{
			server->load.in_flight = server == order[0] ? 3 : 16;
		}
		for (int i = 0; i < 1000; ++i)
		{
			CPPUNIT_ASSERT(choose(query(7)).backend == order[0]);
		}
	}

	/// Guards against outdated or false figures that overload a server.
	void queue_at_the_first_server_is_bounded_whatever_is_reported()
	{
		const std::vector<backend_state*> order = order_of(7);
		order[0]->slowness.on_report(0.01, m_now);
		int sent = 0;
		while (choose(query(7)).backend == order[0])
		{
			++order[0]->load.in_flight;
			CPPUNIT_ASSERT(++sent < 100);
		}
		CPPUNIT_ASSERT_EQUAL(static_cast<int>(k_max_queue_depth * 4), sent);
	}

	void request_without_a_key_avoids_a_slow_server()
	{
		for (backend_state* server : m_candidates)
		{
			server->load.in_flight = 2;
		}
		m_candidates[3]->load.in_flight = 1;
		CPPUNIT_ASSERT(choose(query(0)).backend == m_candidates[3]);
		m_candidates[3]->slowness.on_report(2.5, m_now);
		const backend_choice choice = choose(query(0));
		CPPUNIT_ASSERT(nullptr != choice.backend && choice.backend != m_candidates[3]);
		CPPUNIT_ASSERT(backend_choice_reason::least_load == choice.why);
	}

	void server_that_rejected_with_free_slots_may_be_tried_again()
	{
		const std::vector<backend_state*> order = order_of(7);
		const std::vector<backend_id> first{order[0]->registered.id};
		backend_query retry = query(7);
		retry.tried = &first;
		CPPUNIT_ASSERT(choose(retry).backend == order[1]);
		retry.may_try_again = &first;
		CPPUNIT_ASSERT(choose(retry).backend == order[0]);
	}

	/// Guards against a server that looks full for 100 ms after one rejection.
	void rejection_that_reports_free_slots_keeps_the_report()
	{
		backend_state& server = *m_candidates[0];
		server.load.on_report({1, 0, 4}, m_now);
		server.on_exchange_end(backend_signal::refused, m_now, refusal_report::slots_free);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, server.estimated_load(m_now), 1e-9);
		server.on_exchange_end(backend_signal::refused, m_now);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(4.0, server.estimated_load(m_now), 1e-9);
		CPPUNIT_ASSERT((!backend_load{4, 0, 4}.has_free_slot()));
		CPPUNIT_ASSERT((!backend_load{1, 1, 4}.has_free_slot()));
	}

	void service_uses_the_rule_of_the_setting()
	{
		service_choice choice;
		CPPUNIT_ASSERT(&count_choice_rule() == &choice.rule());
		choice.on_work_time_reported();
		CPPUNIT_ASSERT(&choice.completion == &choice.rule());
		choice.set(backend_choice_setting::count);
		CPPUNIT_ASSERT(!choice.by_completion());
		service_choice fixed;
		fixed.set(backend_choice_setting::completion);
		CPPUNIT_ASSERT(fixed.by_completion());
	}

	double us_per_choice(backend_choice_rule_base& _rule, std::uint64_t _first_key)
	{
		constexpr int k_choices = 50;
		const std::clock_t begin = std::clock();
		for (int i = 0; i < k_choices; ++i)
		{
			backend_query one = query(0 == _first_key ? 0 : _first_key + static_cast<std::uint64_t>(i));
			one.rule = &_rule;
			CPPUNIT_ASSERT(nullptr != choose(one).backend);
			m_now += std::chrono::milliseconds(1);
		}
		return 1e6 * static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC / k_choices;
	}

	/// Guards against a rule that costs the nodes processor time. The least processor time of many tries
	/// counts, because other processes use the same cores.
	void choice_among_thousands_costs_little_more_than_by_count()
	{
		add_servers(3000);
		for (const std::uint64_t key : {std::uint64_t(1), std::uint64_t(0)})
		{
			double count_us = 1e9;
			double completion_us = 1e9;
			for (int i = 0; i < 60; ++i)
			{
				for (backend_state* server : m_candidates)
				{
					server->slowness.on_report(1.1, m_now);
				}
				count_us = std::min(count_us, us_per_choice(count_choice_rule(), key));
				completion_us = std::min(completion_us, us_per_choice(m_rule, key));
			}
			std::cout << (0 == key ? "without" : "with") << " a key: " << count_us << " us by count, "
			          << completion_us << " us by completion" << std::endl;
			CPPUNIT_ASSERT(completion_us <= 1.2 * count_us);
		}
	}

	std::vector<std::unique_ptr<backend_state>> m_servers;
	std::vector<backend_state*> m_candidates;
	completion_choice m_rule;
	steady_time m_now{std::chrono::seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_completion_choice_test);
} // namespace larkrack
